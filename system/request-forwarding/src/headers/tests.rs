use super::*;

fn map(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pairs = pairs
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_str(value).unwrap()));
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.append(name, value);
    }
    map
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let headers = map(&[
        ("connection", "keep-alive, X-Own"),
        ("x-own", "1"),
        ("proxy-connection", "close"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("previous", "40c8"),
        ("cookie", "a"),
        ("cookie", "b"),
    ]);
    assert_eq!(forwarded(&headers), map(&[("previous", "40c8"), ("cookie", "a"), ("cookie", "b")]));
}

#[test]
fn a_repeated_or_empty_id_is_ignored() {
    assert_eq!(single(&map(&[("attempt-id", "a")]), &ATTEMPT_ID), Some("a"));
    assert_eq!(single(&map(&[("attempt-id", "a"), ("attempt-id", "a")]), &ATTEMPT_ID), None);
    assert_eq!(single(&map(&[("attempt-id", "")]), &ATTEMPT_ID), None);
}

#[test]
fn idle_connections_are_reused_for_less_than_the_keep_alive_timeout() {
    assert_eq!(idle_time(&map(&[("keep-alive", "timeout=2, max=5")])), Duration::from_millis(1500));
    assert_eq!(idle_time(&map(&[("keep-alive", "timeout=0")])), Duration::ZERO);
    assert_eq!(idle_time(&map(&[])), Duration::from_secs(4));
}

#[test]
fn numbers_and_token_usage_are_parsed() {
    assert_eq!(token_usage(&map(&[("token-usage", "1460, 80")])), Some((1460, 80)));
    assert_eq!(token_usage(&map(&[("token-usage", "1460")])), None);
    assert_eq!(number(&map(&[("deadline-remaining", "12.7")]), "deadline-remaining"), Some(12));
    assert_eq!(number(&map(&[("deadline-remaining", "-1")]), "deadline-remaining"), None);
}

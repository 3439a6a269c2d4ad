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
fn what_concerns_one_connection_is_not_passed_along() {
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
fn an_id_given_twice_is_none() {
    assert_eq!(single(&map(&[("attempt-id", "a")]), &ATTEMPT_ID), Some("a"));
    assert_eq!(single(&map(&[("attempt-id", "a"), ("attempt-id", "a")]), &ATTEMPT_ID), None);
    assert_eq!(single(&map(&[("attempt-id", "")]), &ATTEMPT_ID), None);
}

#[test]
fn an_idle_connection_is_left_before_the_told_time_is_over() {
    assert_eq!(idle_time(&map(&[("keep-alive", "timeout=2, max=5")])), Duration::from_millis(1500));
    assert_eq!(idle_time(&map(&[("keep-alive", "timeout=0")])), Duration::ZERO);
    assert_eq!(idle_time(&map(&[])), Duration::from_secs(4));
}

#[test]
fn sizes_are_read() {
    assert_eq!(token_usage(&map(&[("token-usage", "1460, 80")])), Some((1460, 80)));
    assert_eq!(token_usage(&map(&[("token-usage", "1460")])), None);
    assert_eq!(number(&map(&[("deadline-remaining", "12.7")]), "deadline-remaining"), Some(12));
    assert_eq!(number(&map(&[("deadline-remaining", "-1")]), "deadline-remaining"), None);
}

//! Calls to endpoints: possible execution, reported waits, batches, draining and the order of a key.
use super::harness::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// An address that refuses connections.
async fn closed_address() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Guards against counting a refused connection as an attempt that may have executed: even an unsafe message
/// is retried, at the address that discovery has reported meanwhile.
#[tokio::test]
async fn a_refused_connection_does_not_count_as_executed() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", closed_address().await, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // An entry of an unknown kind is ignored, and the next one is applied.
    let unknown_kind = member("s-0", endpoint.address, "new-kind", "SERVING");
    platform.send_list_change(&[unknown_kind, member("s-1", endpoint.address, "single", "SERVING")]);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against executing a message twice: a call whose connection broke after the request was sent may
/// have executed. An unsafe message then fails; a keyed one is retried with its idempotency key.
#[tokio::test]
async fn a_reset_after_the_request_may_have_executed() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("once", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    assert_eq!(platform.next_notice().await, json!({"id": "once", "state": "failed"}));
    assert_eq!(node.submit("again", "keyed", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    let call = endpoint.next_call().await;
    assert_eq!((call.id(), call.http.header("idempotency-key")), ("again", Some("idem-again")));
    call.ok();
    assert!(endpoint.no_call_for(Duration::from_millis(200)).await, "a completed message was sent again");
}

/// Guards against losing a message to a stale connection, or sending it twice: after an endpoint closed the
/// connection between calls, the next message goes out once, on a new connection, even if it must not be
/// retried.
#[tokio::test]
async fn a_connection_closed_between_calls_costs_no_attempt() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // The answer announces that the connection will be closed, as an idle timer would do it.
    let first = endpoint.next_call().await;
    first.reply(response("200 OK", "Connection: close\r\n", ""));
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.reply(Reply::Disconnect);
    assert_eq!(platform.next_notice().await, json!({"id": "m2", "state": "failed"}));
}

/// Guards against sending anything to a destination before its `Retry-After` has passed.
#[tokio::test]
async fn retry_after_pauses_the_destination() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let answered_at = Instant::now();
    call.reply(response("429 Too Many Requests", "Retry-After: 0.75\r\n", ""));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        assert!(answered_at.elapsed() >= Duration::from_millis(750), "{:?}", answered_at.elapsed());
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
}

/// Guards against a returned message whose client does not learn when to resubmit it: the notice contains the
/// remaining `Retry-After` of the destination.
#[tokio::test]
async fn a_returned_message_reports_the_remaining_wait() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let one_attempt =
        |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], one_attempt).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 10\r\n", ""));
    let notice = platform.next_notice().await;
    assert_eq!((&notice["id"], &notice["state"]), (&json!("m1"), &json!("returned")));
    let after = notice["after_ms"].as_u64().unwrap();
    assert!((1..=10_000).contains(&after), "{after}");
}

/// Guards against applying one outcome to a whole batch, and against ignoring the `Retry-After` of a batch's
/// answer.
#[tokio::test]
async fn each_message_of_a_batch_has_its_own_outcome() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "batching", "SERVING")]).await;
    // During the reported wait, messages accumulate for one call.
    assert_eq!(node.submit("first", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("410 Gone", "Retry-After: 1.0\r\n", ""));
    for (id, class) in [("ok", "unsafe"), ("error", "unsafe"), ("later", "unsafe"), ("gone", "keyed")] {
        assert_eq!(node.submit(id, class, "").await.status(), 202);
    }
    let call = endpoint.next_call().await;
    assert_eq!(call.http.start_line, "POST /hook/batch HTTP/1.1");
    let sent = call.http.json();
    let items = sent.as_array().unwrap();
    assert_eq!(items.len(), 4);
    let ok = items.iter().find(|i| i["id"] == "ok").unwrap();
    assert_eq!((&ok["key"], &ok["body"]), (&json!("idem-ok"), &json!("b2s=")));
    let outcomes: Vec<_> = items.iter().map(|i| json!({"id": i["id"], "state": i["id"]})).collect();
    let answered_at = Instant::now();
    call.reply(response("200 OK", "Retry-After: 0.5\r\n", &json!(outcomes).to_string()));
    assert_eq!(platform.next_notice().await, json!({"id": "error", "state": "failed"}));
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "later");
    assert!(answered_at.elapsed() >= Duration::from_millis(500), "{:?}", answered_at.elapsed());
    call.ok();
    assert!(endpoint.no_call_for(Duration::from_millis(200)).await, "a completed message was sent again");
}

/// Guards against new calls to an endpoint that discovery reported as draining.
#[tokio::test]
async fn a_draining_endpoint_gets_no_new_calls() {
    let (mut old, mut new, platform) =
        (MockServer::start().await, MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", old.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("before", "unsafe", "").await.status(), 202);
    let before = old.next_call().await;
    platform.send_list_change(&[
        member("s-1", old.address, "single", "DRAINING"),
        member("s-2", new.address, "single", "SERVING"),
    ]);
    // Both changes come in one message: once the new endpoint is called, the sender has applied the drain.
    let mut drain_applied = false;
    for n in 0..400 {
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        tokio::select! {
            call = old.next_call() => {
                assert!(!drain_applied, "{} went to a draining endpoint", call.id());
                call.ok();
            }
            call = new.next_call() => {
                call.ok();
                if std::mem::replace(&mut drain_applied, true) {
                    break;
                }
            }
        }
    }
    assert!(drain_applied);
    before.ok();
    assert!(old.no_call_for(Duration::from_millis(100)).await);
}

/// Guards against sending the next message of a key before the platform has acknowledged the notice of the
/// previous one: until then the previous message counts as open.
#[tokio::test]
async fn a_key_waits_for_the_notice_of_its_previous_message() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.ignore_notices.store(true, Ordering::SeqCst);
    assert_eq!(node.submit_with_deadline("m1", "ordered", "k", "0.5").await.status(), 202);
    let first = endpoint.next_call().await;
    assert_eq!(node.submit("m2", "ordered", "k").await.status(), 202);
    // A message with another key of the same destination shows that the endpoint is not paused.
    assert_eq!(node.submit("other", "ordered", "l").await.status(), 202);
    let other = endpoint.next_call().await;
    assert_eq!(other.id(), "other");
    other.ok();
    assert!(
        endpoint.no_call_for(Duration::from_millis(900)).await,
        "the next message of the key was sent too early"
    );
    platform.ignore_notices.store(false, Ordering::SeqCst);
    assert_eq!(platform.next_notice().await["id"], "m1");
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
    drop(first);
}

/// Guards against one notice that the platform rejects as unreadable blocking all later ones.
#[tokio::test]
async fn a_rejected_notice_does_not_block_others() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    for id in ["unreadable", "m2"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
        endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    }
    assert_eq!(platform.next_notice().await, json!({"id": "m2", "state": "failed"}));
}

/// Guards against a lost answer occupying its slot until the time-out, here after 45 s: once many later calls
/// were answered, the call is given up in favor of the waiting messages.
#[tokio::test]
async fn a_lost_answer_releases_its_slot() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let long_timeouts = |config: &mut serde_json::Value| {
        config["settings"]["specifics"]["max_calls"] = json!(2);
        config["settings"]["lanes"][0]["aim"] = json!(20_000_000);
        config["settings"]["lanes"][0]["hard_limit"] = json!(90_000_000);
    };
    let node =
        Node::start_with(&platform, &[member("s-1", endpoint.address, "single", "SERVING")], long_timeouts)
            .await;
    assert_eq!(node.submit_with_deadline("lost", "unsafe", "", "90").await.status(), 202);
    let lost = endpoint.next_call().await;
    let others = async {
        for n in 0.. {
            assert_eq!(node.submit_with_deadline(&format!("m{n}"), "unsafe", "", "90").await.status(), 202);
            endpoint.next_call().await.ok();
        }
    };
    let notice = tokio::select! {
        notice = platform.next_notice() => notice,
        () = others => unreachable!(),
    };
    assert_eq!(notice, json!({"id": "lost", "state": "failed"}));
    drop(lost);
}

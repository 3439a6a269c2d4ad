//! Kills, planned restarts and reloads of the configuration.
use super::harness::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Guards against losing accepted messages, and against repeating what may have executed: after a kill each
/// message continues as its class permits, in the order of its key, and unacknowledged notices are sent.
#[tokio::test]
async fn a_killed_sender_recovers_its_messages() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.ignore_notices.store(true, Ordering::SeqCst);
    assert_eq!(node.submit("unheard", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let mut in_flight = Vec::new();
    for (id, class) in [("once", "unsafe"), ("k1", "ordered")] {
        assert_eq!(node.submit(id, class, "k").await.status(), 202);
        in_flight.push(endpoint.next_call().await);
    }
    for id in ["k2", "k3"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
    }
    node.kill();
    drop(in_flight);
    // The kill left an incomplete record.
    let mut journal = std::fs::OpenOptions::new().append(true).open(node.journal()).unwrap();
    journal.write_all(&[40, 0, 0, 0, 1, 2, 3]).unwrap();
    platform.ignore_notices.store(false, Ordering::SeqCst);
    node.start_process().await;
    for (id, key) in [("k1", "idem-k1"), ("k2", "idem-k2"), ("k3", "idem-k3")] {
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.http.header("idempotency-key")), (id, Some(key)));
        assert_eq!(call.http.body, id.as_bytes());
        assert!(
            endpoint.no_call_for(Duration::from_millis(50)).await,
            "two messages of a key were in flight"
        );
        call.ok();
    }
    let failed = ["once", "unheard"].map(|id| (id.to_owned(), "failed".to_owned()));
    assert_eq!(platform.final_states(2).await, failed.into());
    // Once the next message of the key is in flight, all before it are complete, for the next process too.
    assert_eq!(node.submit("k4", "ordered", "k").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    assert_eq!(in_flight.id(), "k4");
    node.kill();
    drop(in_flight);
    node.start_process().await;
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "k4");
    call.ok();
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "a completed message was sent again");
}

/// Guards against exceeding the limit of attempts: those before a restart count.
#[tokio::test]
async fn attempts_before_a_restart_count() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let two_attempts =
        |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(2);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[member], two_attempts).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let first = endpoint.next_call().await;
    node.kill();
    drop(first);
    node.start_process().await;
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let notice = platform.next_notice().await;
    assert_eq!((&notice["id"], &notice["state"]), (&json!("m1"), &json!("returned")));
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await);
}

/// Guards against a planned restart that interrupts calls or answers: calls in flight complete, clients are
/// answered and told to close, the process exits, and the next one continues with the remaining messages.
#[tokio::test]
async fn a_terminated_sender_shuts_down_in_order() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    assert_eq!(node.submit("left", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("503 Service Unavailable", "Retry-After: 4.5\r\n", ""));
    node.terminate();
    let mut ready = 200;
    while ready == 200 {
        ready = node.request("GET /-/ready", "", b"").await.status();
    }
    assert_eq!(ready, 503);
    let answer = node.submit("late", "unsafe", "").await;
    assert!([202, 503].contains(&answer.status()), "{}", answer.start_line);
    assert_eq!(answer.header("connection"), Some("close"));
    in_flight.ok();
    assert!(node.exits_cleanly().await);
    node.start_process().await;
    let mut remaining = vec!["left"];
    remaining.extend((answer.status() == 202).then_some("late"));
    for _ in 0..remaining.len() {
        let call = endpoint.next_call().await;
        let position = remaining.iter().position(|id| *id == call.id());
        remaining.remove(position.unwrap_or_else(|| panic!("{} was complete", call.id())));
        call.ok();
    }
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "a completed message was sent again");
}

/// Guards against exiting on SIGHUP, and against staying with the former discovery address: the watch and the
/// notices move to the address that the file then names. An unusable file changes nothing.
#[tokio::test]
async fn a_reload_changes_the_discovery_address() {
    let (mut endpoint, mut old, mut new) =
        (MockServer::start().await, Platform::start().await, Platform::start().await);
    let one_attempt =
        |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let node = Node::start_with(&old, &[], one_attempt).await;
    old.send_list_change(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let error = || response("500 Internal Server Error", "", "");
    for bad in ["", "{", "{\"discovery\": \"127.0.0.1:1\"}"] {
        node.reload(bad);
        let id = format!("after {}", bad.len());
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(error());
    assert_eq!(old.next_notice().await["id"], "m1");
    node.reload(&node.config_with_discovery(new.address));
    let mut moved = MockServer::start().await;
    new.send_list_change(&[
        member("s-1", endpoint.address, "single", "DELETED"),
        member("s-2", moved.address, "single", "SERVING"),
    ]);
    let mut n = 0;
    let call = loop {
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        n += 1;
        tokio::select! {
            call = endpoint.next_call() => call.ok(),
            call = moved.next_call() => break call,
        }
    };
    let id = call.id().to_owned();
    call.reply(error());
    assert_eq!(new.next_notice().await["id"], id.as_str());
}

/// Guards against partial reloads: new settings apply to new messages soon after the signal, while pending
/// messages keep their class, even across a kill. A file with any error in it changes nothing.
#[tokio::test]
async fn a_reload_applies_all_settings_or_none() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start(&platform, &[member]).await;
    assert_eq!(node.submit("old", "keyed", "").await.status(), 202);
    let old = endpoint.next_call().await;
    let mut new = node.config.clone();
    let mut strict = new["settings"]["lanes"][0].clone();
    strict["name"] = json!("strict");
    new["settings"]["lanes"] = json!([strict, new["settings"]["lanes"][2]]);
    new["settings"]["limits"]["max_attempts"] = json!(1);
    let with_value = |path: &str, value: serde_json::Value| {
        let mut broken = new.clone();
        *broken.pointer_mut(path).unwrap() = value;
        // Shows whether a part of a broken file was applied.
        broken["discovery"] = json!("127.0.0.1:1");
        broken.to_string()
    };
    let mut without_setting = new.clone();
    without_setting["settings"]["invariants"].as_object_mut().unwrap().remove("must_ask_in");
    let mut without_class_field = new.clone();
    without_class_field["settings"]["lanes"][0].as_object_mut().unwrap().remove("fifo_by_key");
    let broken = [
        String::new(),
        new.to_string()[..900].to_owned(),
        without_setting.to_string(),
        without_class_field.to_string(),
        with_value("/settings/lanes/0/hard_limit", json!(0)),
        with_value("/settings/lanes/0/hard_limit", json!(-1)),
        with_value("/settings/limits/max_attempts", json!(0)),
        with_value("/settings/lanes/1/name", json!("strict")),
        with_value("/settings/kinds", json!(["single", "other"])),
    ];
    for (n, text) in broken.iter().enumerate() {
        node.reload(text);
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert_eq!(node.submit(&format!("s{n}"), "strict", "").await.status(), 400, "{text}");
        assert_eq!(node.submit(&format!("u{n}"), "unsafe", "").await.status(), 202, "{text}");
        endpoint.next_call().await.ok();
    }
    node.reload(&new.to_string());
    let mut n = 0;
    while node.submit(&format!("strict{n}"), "strict", "").await.status() != 202 {
        n += 1;
        assert!(n < 100, "the new class is still unknown");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Now there is only one attempt, and this one did not execute.
    endpoint.next_call().await.reply(response("503 Service Unavailable", "", ""));
    assert_eq!(platform.next_notice().await["state"], "returned");
    assert_eq!(node.submit("gone", "unsafe", "").await.status(), 400);
    node.config = new;
    node.kill();
    drop(old);
    node.start_process().await;
    // The settings no longer contain its class. It was accepted as keyed, so it is returned to its client, as it has
    // no attempt left here.
    let mut notice = platform.next_notice().await;
    while notice["id"] != "old" {
        // Notices whose acknowledgement the journal lacks because of the kill are sent again.
        notice = platform.next_notice().await;
    }
    assert_eq!(notice["state"], "returned");
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "an attempt too many");
}

/// How the endpoint answers the restarted sender.
#[derive(Clone, Copy, Debug)]
enum EndpointBehavior {
    Healthy,
    Hangs,
    ReportsWait,
    LowersLimit,
}

/// Fills the journal with messages without attempts, as the list has no endpoint for them, and restarts the sender with
/// settings that name neither their classes nor their tenant, while new submissions reach the limit again. Each of the
/// messages must be sent.
async fn check_unattempted_messages(behavior: EndpointBehavior, planned: bool) {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[]).await;
    let classes = ["unsafe", "keyed", "ordered"];
    let mut pending = BTreeSet::new();
    // One fewer than the number at which the policy starts to shed.
    for n in 0..47 {
        let id = format!("m{n}");
        assert_eq!(node.submit(&id, classes[n % 3], &format!("key{}", n % 9)).await.status(), 202);
        pending.insert(id);
    }
    // This process has requested the list, so the next request is that of the next process.
    platform.wait_for_list_request(0).await;
    if planned {
        node.terminate();
        assert!(node.exits_cleanly().await);
    } else {
        node.kill();
    }
    for (n, lane) in node.config["settings"]["lanes"].as_array_mut().unwrap().iter_mut().enumerate() {
        lane["name"] = json!(format!("renamed{n}"));
    }
    node.config["settings"]["tenants"] = json!([{"name": "other", "allowance_per_s": 10.0}]);
    let list_requests = platform.list_requests();
    node.start_process().await;
    let new_headers = "X-Lane: renamed0\r\nX-Remaining: 30.0\r\nX-Envelope: dest=7\r\n";
    for n in 0..5 {
        let headers = format!("X-Txn: new{n}\r\n{new_headers}");
        let status = node.request("POST /api", &headers, b"new").await.status();
        assert!([202, 503].contains(&status), "{status}");
    }
    // Only now the list has their endpoint.
    platform.wait_for_list_request(list_requests).await;
    platform.send_list_change(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let (mut attempted, mut delivered) = (BTreeSet::new(), BTreeSet::new());
    let (mut calls, mut unanswered) = (0, Vec::new());
    let min_delivered = pending.len() - if matches!(behavior, EndpointBehavior::Hangs) { 2 } else { 0 };
    while !pending.is_subset(&attempted) || pending.intersection(&delivered).count() < min_delivered {
        let call = endpoint.next_call().await;
        calls += 1;
        attempted.insert(call.id().to_owned());
        match behavior {
            // Unanswered until 20 others were delivered. A message given up before that may have executed: it is not
            // repeated, and fails.
            EndpointBehavior::Hangs if calls <= 2 => unanswered.push(call),
            EndpointBehavior::ReportsWait if calls == 1 => {
                call.reply(response("429 Too Many Requests", "Retry-After: 0.3\r\n", ""));
            }
            EndpointBehavior::LowersLimit if calls <= 3 => {
                call.reply(response("503 Service Unavailable", "", ""));
            }
            _ => {
                delivered.insert(call.id().to_owned());
                call.ok();
            }
        }
        if delivered.len() == 20 {
            for call in unanswered.drain(..) {
                call.ok();
            }
        }
    }
    let mut noticed = Vec::new();
    while let Ok(notice) = tokio::time::timeout(Duration::from_millis(100), platform.next_notice()).await {
        noticed.push(notice["id"].as_str().unwrap().to_owned());
    }
    let unattempted: Vec<_> =
        noticed.iter().filter(|id| pending.contains(*id) && !attempted.contains(*id)).collect();
    assert!(
        unattempted.is_empty(),
        "{behavior:?}, planned {planned}: given up without a call: {unattempted:?}"
    );
}

/// Guards against a restart that gives up unattempted messages without a call: in favor of new messages, or
/// because the settings no longer name their class or tenant.
#[tokio::test]
async fn unattempted_messages_are_sent_after_a_kill() {
    check_unattempted_messages(EndpointBehavior::Healthy, false).await;
}

#[tokio::test]
async fn unattempted_messages_are_sent_after_a_planned_restart() {
    check_unattempted_messages(EndpointBehavior::Healthy, true).await;
}

#[tokio::test]
async fn unattempted_messages_are_sent_to_a_hanging_endpoint() {
    check_unattempted_messages(EndpointBehavior::Hangs, false).await;
}

#[tokio::test]
async fn unattempted_messages_are_sent_after_a_retry_after() {
    check_unattempted_messages(EndpointBehavior::ReportsWait, true).await;
}

#[tokio::test]
async fn unattempted_messages_are_sent_under_a_lowered_limit() {
    check_unattempted_messages(EndpointBehavior::LowersLimit, false).await;
}

/// Guards against a second copy of a message that its client resubmits under the same id because the answer
/// was lost: while it is pending, and after a kill between acceptance and answer. Other ids are not delayed.
#[tokio::test]
async fn a_resubmitted_id_is_accepted_once() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[]).await;
    for _ in 0..2 {
        assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    }
    // The sender reads this request completely, and its client doesn't read the answer.
    let mut unread_client = tokio::net::TcpStream::connect(node.address).await.unwrap();
    let head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: m2\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\n\
                X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut unread_client, head.as_bytes()).await.unwrap();
    node.metrics_when(|metrics| metrics.get("pending") == 2.0).await;
    // This process has requested the list, so the next request is that of the next process.
    platform.wait_for_list_request(0).await;
    node.kill();
    let list_requests = platform.list_requests();
    node.start_process().await;
    for id in ["m1", "m2"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
    }
    platform.wait_for_list_request(list_requests).await;
    platform.send_list_change(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "a second copy was sent");
}

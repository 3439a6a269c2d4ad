//! `telemetry` at the admin endpoint: totals that add up in all cases, and callers that delay no others.
use super::harness::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Limit for the admin endpoint's answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

async fn endpoint_and_platform() -> (MockServer, Platform, Value) {
    let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    (endpoint, platform, member)
}

/// Guards against counting a message twice, or never, for each final outcome.
#[tokio::test]
async fn every_accepted_message_is_pending_or_counted_once() {
    let (mut endpoint, mut platform, member) = endpoint_and_platform().await;
    let node = Node::start(&platform, &[member]).await;
    let initial = node.metrics().await;
    assert_eq!((initial.sum("taken_on_total"), initial.get("members")), (0.0, 1.0));

    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let pending = node.metrics().await;
    assert_eq!((pending.get("pending"), pending.get("pending_bytes")), (1.0, 2.0));
    assert_eq!((pending.get("attempts_total"), pending.get("queue_seconds")), (1.0, 1.0));
    call.ok();
    let done = node.metrics_when(|f| f.get("pending") == 0.0).await;
    assert_eq!(done.finished("unsafe", "completed"), 1.0);
    assert_eq!(done.get("attempt_ends_total{outcome=success}"), 1.0);
    assert_eq!(done.get("upstream_connections_total{origin=opened}"), 1.0);

    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    assert_eq!(platform.final_state("m2").await, "failed");
    let failed = node.metrics_when(|f| f.get("notices_pending") == 0.0).await;
    assert_eq!((failed.finished("unsafe", "failed"), failed.get("upstream_requests_total")), (1.0, 2.0));
    assert_eq!(failed.get("upstream_connections_total{origin=reused}"), 1.0);

    assert_eq!(node.admin_request("exclude s-1").await, "done\n");
    assert_eq!(node.submit_with_deadline("m3", "keyed", "", "0.4").await.status(), 202);
    assert_eq!(platform.final_state("m3").await, "returned");
    let rejected = node.metrics_when(|f| f.finished("keyed", "rejected") == 1.0).await;
    assert_eq!((rejected.get("members"), rejected.get("members_unavailable")), (1.0, 1.0));

    let before = node.admin_request("telemetry").await;
    assert_eq!(node.submit("m4", "nonesuch", "").await.status(), 400);
    let after = node.admin_request("telemetry").await;
    assert_eq!(Metrics::read(&after).get("turned_away_total{reason=malformed}"), 1.0);
    assert!(!after.contains("nonesuch"), "a client's text became a label");
    assert_eq!(before.lines().count(), after.lines().count());
}

/// Guards against descriptors that are missing from the metrics, or still counted under a use that has closed
/// them.
#[tokio::test]
async fn descriptors_are_reported_by_use() {
    let (mut endpoint, platform, member) = endpoint_and_platform().await;
    let node = Node::start(&platform, &[member]).await;
    let by_use = |metrics: &Metrics| {
        let used_by = |what: &str| metrics.get(&format!("descriptors{{use={what}}}"));
        (used_by("clients"), used_by("endpoints"), used_by("journal"))
    };
    assert_eq!(by_use(&node.metrics().await), (0.0, 0.0, 2.0));
    let mut client = TcpStream::connect(node.address).await.unwrap();
    client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    let open = node.metrics_when(|f| by_use(f) == (1.0, 1.0, 2.0) && f.get("pending") == 0.0).await;
    // The reported sum includes the connection of the scrape itself, which is closed by now.
    let (reported, open_descriptors) = (open.sum("descriptors"), node.descriptors() as f64);
    assert!(
        (open_descriptors..=open_descriptors + 2.0).contains(&reported),
        "{reported} reported, {open_descriptors} open"
    );
    drop(client);
    node.metrics_when(|f| by_use(f).0 == 0.0).await;
}

/// Guards against endpoints that accumulate as they are replaced, against losing an exclusion when its
/// endpoint is forgotten, and against reusing the number of a forgotten endpoint: calls still find theirs.
#[tokio::test]
async fn replaced_endpoints_are_forgotten_and_exclusions_are_not() {
    let (mut endpoint, platform, first) = endpoint_and_platform().await;
    let node = Node::start(&platform, &[first]).await;
    assert_eq!(node.admin_request("exclude s-1").await, "done\n");
    let change = |id: String, phase: &str| member(&id, endpoint.address, "single", phase);
    for n in 2..40 {
        platform.send_list_change(&[
            change(format!("s-{n}"), "SERVING"),
            change(format!("s-{}", n - 1), "DELETED"),
        ]);
        let known = format!("include s-{n}");
        while node.admin_request(&known).await != "done\n" {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    let metrics = node.metrics().await;
    assert_eq!(metrics.get("members"), 1.0);
    assert!(metrics.get("endpoints_remembered") <= 4.0, "{metrics:?}");
    assert!(node.admin_request("exclude s-20").await.starts_with("error "));
    platform.send_list_change(&[change("s-1".to_owned(), "SERVING"), change("s-39".to_owned(), "DELETED")]);
    node.metrics_when(|f| f.get("members_unavailable") == 1.0).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    assert!(endpoint.no_call_for(Duration::from_millis(200)).await, "the exclusion was lost");
    assert_eq!(node.admin_request("include s-1").await, "done\n");
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    node.metrics_when(|f| f.finished("unsafe", "completed") == 1.0).await;
}

/// Guards against totals that do not add up in a process that continues with the messages of an earlier one.
#[tokio::test]
async fn recovered_messages_count_as_resumed() {
    let (mut endpoint, mut platform, member) = endpoint_and_platform().await;
    let mut node = Node::start(&platform, &[member]).await;
    for id in ["keyed", "unsafe"] {
        assert_eq!(node.submit(id, id, "").await.status(), 202);
    }
    let calls = [endpoint.next_call().await, endpoint.next_call().await];
    // A third message fails, and the platform does not acknowledge its notice.
    platform.ignore_notices.store(true, Ordering::SeqCst);
    assert_eq!(node.submit("over", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    node.metrics_when(|f| f.get("notices_pending") == 1.0).await;
    node.kill();
    node.start_process().await;
    node.metrics_when(|f| f.get("notices_pending") == 2.0 && f.finished("unsafe", "failed") == 1.0).await;
    platform.ignore_notices.store(false, Ordering::SeqCst);
    let failed = |id: &str| (id.to_owned(), "failed".to_owned());
    assert_eq!(platform.final_states(2).await, [failed("over"), failed("unsafe")].into());
    let retried = endpoint.next_call().await;
    let resumed = node.metrics().await;
    assert_eq!(resumed.get("taken_on_total{origin=resumed}"), 2.0);
    assert_eq!((resumed.get("pending"), resumed.finished("unsafe", "failed")), (1.0, 1.0));

    let mut new = node.second_process();
    new.start_process().await;
    let taken_over = new.metrics().await;
    assert_eq!((taken_over.get("taken_on_total{origin=resumed}"), taken_over.get("pending")), (1.0, 1.0));
    retried.ok();
    let ended = new.metrics_when(|f| f.get("pending") == 0.0).await;
    assert_eq!(ended.finished("keyed", "completed"), 1.0);
    drop(calls);
}

/// Guards against an old process that still reports metrics of messages which it has handed over.
#[tokio::test]
async fn a_process_that_handed_over_reports_no_metrics() {
    let (mut endpoint, platform, member) = endpoint_and_platform().await;
    let node = Node::start(&platform, &[member]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let mut new = node.second_process();
    new.start_process().await;
    let old = node.admin_request("telemetry").await;
    assert!(old.starts_with("error ") && old.lines().count() == 1, "{old:?}");
    call.ok();
    new.metrics_when(|f| f.finished("unsafe", "completed") == 1.0).await;
}

/// Guards against losing the metrics with the process: after an orderly shutdown they are in its log.
#[tokio::test]
async fn a_process_that_exits_logs_its_metrics() {
    let (mut endpoint, platform, member) = endpoint_and_platform().await;
    let mut node = Node::start(&platform, &[member]).await;
    for id in ["m1", "m2"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    node.metrics_when(|f| f.finished("unsafe", "completed") == 2.0).await;
    node.terminate();
    assert!(node.exits_cleanly().await);
    let line = node.wait_for_log("in all: ").await;
    for field in ["taken_on=2 ", "completed=2 ", "failed=0 ", "pending=0 ", "attempts=2 ", "cpu_user_ms="] {
        assert!(line.contains(field), "{field:?} is not in {line:?}");
    }
}

/// Guards against class names that break the text format, and against classes that a reload removes or adds.
#[tokio::test]
async fn labels_escape_the_names_of_the_settings() {
    let (mut endpoint, platform, member) = endpoint_and_platform().await;
    let special_name = |config: &mut Value| config["settings"]["lanes"][0]["name"] = json!("a\\b c");
    let node = Node::start_with(&platform, &[member], special_name).await;
    assert_eq!(node.submit("m1", "a\\b c", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let mut config = node.config.clone();
    config["settings"]["lanes"][0]["name"] = json!("new");
    node.reload(&config.to_string());
    let reloaded = node.metrics_when(|f| f.get("config_reloads_total") == 1.0).await;
    assert_eq!(reloaded.finished("new", "completed"), 0.0);
    call.ok();
    let text = loop {
        let text = node.admin_request("telemetry").await;
        if Metrics::read(&text).get("pending") == 0.0 {
            break text;
        }
    };
    assert!(text.contains(r#"{lane="a\\b c",result="completed"} 1"#), "{text}");
    node.reload("{");
    node.metrics_when(|f| f.get("config_reload_errors_total") == 1.0).await;
}

/// Guards against scrapes that are late, truncated or inconsistent while the sender is fully loaded, and
/// against failing with sixteen concurrent callers.
#[tokio::test]
async fn scrapes_under_load_are_complete_and_in_time() {
    let (mut endpoint, platform, member) = endpoint_and_platform().await;
    let many_pending = |config: &mut Value| config["settings"]["limits"]["most_held"] = json!(1_000);
    let node = std::sync::Arc::new(Node::start_with(&platform, &[member], many_pending).await);
    let mut clients = JoinSet::new();
    for client in 0..8 {
        let node = node.clone();
        clients.spawn(async move {
            for n in 0..40 {
                assert_eq!(node.submit(&format!("m{client}-{n}"), "keyed", "").await.status(), 202);
            }
        });
    }
    let answering = tokio::spawn(async move {
        for _ in 0..320 {
            endpoint.next_call().await.ok();
        }
    });
    for _ in 0..5 {
        let mut scrapes = JoinSet::new();
        for _ in 0..16 {
            let node = node.clone();
            scrapes.spawn(async move {
                let started = Instant::now();
                node.metrics().await;
                started.elapsed()
            });
        }
        for elapsed in scrapes.join_all().await {
            assert!(elapsed < ANSWER_TIMEOUT, "{elapsed:?}");
        }
    }
    clients.join_all().await;
    answering.await.unwrap();
    let finished = node.metrics_when(|f| f.finished("keyed", "completed") == 320.0).await;
    assert_eq!((finished.get("attempts_total") >= 320.0, finished.get("pending")), (true, 0.0));
}

/// Guards against callers that request the metrics and do not read them: other callers are answered in time.
#[tokio::test]
async fn callers_that_do_not_read_delay_no_others() {
    let (_endpoint, platform, member) = endpoint_and_platform().await;
    let node = Node::start(&platform, &[member]).await;
    let mut not_reading = Vec::new();
    for _ in 0..40 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        let mut stream: TcpStream = socket.connect(node.admin_address).await.unwrap();
        stream.write_all(b"telemetry\n").await.unwrap();
        not_reading.push(stream);
    }
    for line in ["readyz", "telemetry", "exclude s-1", "include s-1"] {
        let started = Instant::now();
        let answer = node.admin_request(line).await;
        assert!(answer == "done\n" || answer.ends_with("end\n"), "{answer:?}");
        assert!(started.elapsed() < 2 * ANSWER_TIMEOUT, "{line} took {:?}", started.elapsed());
    }
    // Callers that read at last get as much as their buffer could hold, and then a close.
    for mut stream in not_reading {
        let mut got = Vec::new();
        let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut got)).await.expect("a close");
    }
}

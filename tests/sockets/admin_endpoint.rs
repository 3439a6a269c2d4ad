//! The admin endpoint and its commands.
use super::harness::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limit for the admin endpoint's answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against misinterpreting a request: an invalid one gets an error with the reason, and changes
/// nothing.
#[tokio::test]
async fn invalid_requests_get_an_error_with_a_reason() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.admin_request("readyz").await, "done\n");
    let long = format!("exclude {}", "x".repeat(100_000));
    let invalid =
        ["", "reboot", "exclude", "exclude s-1 s-2", "exclude s-9", "include s-9", "evacuate all", &long];
    for line in invalid {
        let answer = node.admin_request(line).await;
        assert!(answer.starts_with("error ") && answer.len() > 10, "{answer:?}");
    }
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
}

/// Guards against callers that send nothing, or part of a request, and against long intervals between steps:
/// neither delays the answers to others, and silent callers are disconnected.
#[tokio::test]
async fn silent_callers_delay_no_others() {
    let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let long_period = |config: &mut serde_json::Value| config["settings"]["period"] = json!(3_000_000);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], long_period).await;
    let mut silent = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(node.admin_address).await.unwrap();
        if n % 2 == 0 {
            stream.write_all(b"exclude s-").await.unwrap();
        }
        silent.push(stream);
    }
    for line in ["readyz", "exclude s-1", "include s-1", "evacuate", "activate"] {
        let started = Instant::now();
        assert_eq!(node.admin_request(line).await, "done\n");
        assert!(started.elapsed() < ANSWER_TIMEOUT, "{line} took {:?}", started.elapsed());
    }
    for mut stream in silent {
        let mut answer = String::new();
        let read = timeout(Duration::from_secs(4), stream.read_to_string(&mut answer)).await;
        // Evicted callers get a close without an answer.
        let accepted = read.expect("a close").is_ok() && answer.starts_with("done");
        assert!(!accepted, "{answer:?}");
    }
}

/// Guards against evicting callers whose request line is on its way in favor of later ones.
#[tokio::test]
async fn many_concurrent_callers_are_all_answered() {
    let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let callers = loop {
        let started = Instant::now();
        let mut callers = Vec::new();
        for _ in 0..40 {
            callers.push(TcpStream::connect(node.admin_address).await.unwrap());
        }
        for (n, caller) in callers.iter_mut().enumerate() {
            let line: &[u8] = if n < 16 { b"readyz\n" } else { b"telemetry\n" };
            // An evicted caller is detected below.
            let _ = caller.write_all(line).await;
        }
        // If this took longer, callers may have been evicted because they had not sent their line yet.
        if started.elapsed() < Duration::from_millis(30) {
            break callers;
        }
    };
    for mut caller in callers {
        let mut answer = String::new();
        timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await.expect("a close").expect("an answer");
        assert!(answer == "done\n" || answer.ends_with("\nend\n"), "{answer:?}");
    }
}

/// Guards against an exclusion that ends without a request: neither discovery nor a restart returns the
/// endpoint to service, and a single `include` does, however often it was excluded.
#[tokio::test]
async fn an_excluded_endpoint_gets_nothing_until_it_is_included() {
    let (mut excluded, mut other, platform) =
        (MockServer::start().await, MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", excluded.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m0", "unsafe", "").await.status(), 202);
    excluded.next_call().await.ok();
    for _ in 0..2 {
        assert_eq!(node.admin_request("exclude s-1").await, "done\n");
    }
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    assert!(excluded.no_call_for(Duration::from_millis(300)).await, "a message went to an excluded endpoint");
    platform.send_list_change(&[
        member("s-1", excluded.address, "single", "SERVING"),
        member("s-2", other.address, "single", "SERVING"),
    ]);
    let call = other.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    platform.send_list_change(&[member("s-2", other.address, "single", "DELETED")]);
    node.kill();
    node.start_process().await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    platform.send_list_change(&[member("s-1", excluded.address, "single", "SERVING")]);
    assert!(excluded.no_call_for(Duration::from_millis(500)).await, "a restart ended the exclusion");
    assert_eq!(node.admin_request("include s-1").await, "done\n");
    loop {
        let call = excluded.next_call().await;
        let id = call.id().to_owned();
        call.ok();
        if id == "m2" {
            break;
        }
    }
}

/// Guards against a drain that keeps clients: readiness fails, answers announce the close, idle connections
/// are closed, and pending messages are delivered. A single `activate` reverts all of it.
#[tokio::test]
async fn a_draining_sender_closes_its_client_connections() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut idle = TcpStream::connect(node.address).await.unwrap();
    idle.write_all(ready).await.unwrap();
    assert_eq!(HttpMessage::read(&mut idle).await.unwrap().status(), 200);
    assert_eq!(node.submit("held", "unsafe", "").await.status(), 202);
    assert_eq!(node.admin_request("evacuate").await, "done\n");
    let unready = node.request("GET /-/ready", "", b"").await;
    assert_eq!((unready.status(), unready.header("connection")), (503, Some("close")));
    let late = node.submit("late", "unsafe", "").await;
    assert_eq!((late.status(), late.header("connection")), (202, Some("close")));
    let closed = timeout(Duration::from_secs(2), idle.read(&mut [0; 1])).await;
    assert_eq!(closed.expect("a close of the idle connection").unwrap(), 0);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        ids.push(call.id().to_owned());
        call.ok();
    }
    assert_eq!(ids, ["held", "late"]);
    assert_eq!(node.admin_request("readyz").await, "done\n", "the process can serve");
    assert_eq!(node.admin_request("activate").await, "done\n");
    let mut persistent = TcpStream::connect(node.address).await.unwrap();
    for _ in 0..2 {
        persistent.write_all(ready).await.unwrap();
        let ready_answer = HttpMessage::read(&mut persistent).await.unwrap();
        assert_eq!((ready_answer.status(), ready_answer.header("connection")), (200, None));
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

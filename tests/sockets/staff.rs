//! The second address, and what staff do there.
use super::world::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Answers are due within a second.
const DUE: Duration = Duration::from_secs(1);

/// Guards against a call that is misread: what is wrong gets an error with its reason, and changes nothing.
#[tokio::test]
async fn wrong_calls_get_an_error_and_a_reason() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.staff("readyz").await, "done\n");
    let long = format!("exclude {}", "x".repeat(100_000));
    let wrong =
        ["", "reboot", "exclude", "exclude s-1 s-2", "exclude s-9", "include s-9", "evacuate all", &long];
    for line in wrong {
        let answer = node.staff(line).await;
        assert!(answer.starts_with("error ") && answer.len() > 10, "{answer:?}");
    }
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    endpoint.call().await.ok();
}

/// Guards against callers that say nothing, or half a call, and against steps that are far apart: none of them
/// delays anybody's answer, and the silent are cut off.
#[tokio::test]
async fn silent_callers_delay_nobody() {
    let (endpoint, platform) = (Peer::start().await, Platform::start().await);
    let far_apart = |config: &mut serde_json::Value| config["settings"]["period"] = json!(3_000_000);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], far_apart).await;
    let mut silent = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(node.mgmt).await.unwrap();
        if n % 2 == 0 {
            stream.write_all(b"exclude s-").await.unwrap();
        }
        silent.push(stream);
    }
    for line in ["readyz", "exclude s-1", "include s-1", "evacuate", "activate"] {
        let began = Instant::now();
        assert_eq!(node.staff(line).await, "done\n");
        assert!(began.elapsed() < DUE, "{line} took {:?}", began.elapsed());
    }
    for mut stream in silent {
        let mut answer = String::new();
        let read = timeout(Duration::from_secs(4), stream.read_to_string(&mut answer)).await;
        // Those that made room were closed with no word.
        let told = read.expect("an end").is_ok() && answer.starts_with("done");
        assert!(!told, "{answer:?}");
    }
}

/// Guards against cutting off callers whose line is on its way, for others that came after them.
#[tokio::test]
async fn many_callers_at_once_are_all_answered() {
    let (endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let callers = loop {
        let began = Instant::now();
        let mut callers = Vec::new();
        for _ in 0..40 {
            callers.push(TcpStream::connect(node.mgmt).await.unwrap());
        }
        for (n, caller) in callers.iter_mut().enumerate() {
            let line: &[u8] = if n < 16 { b"readyz\n" } else { b"telemetry\n" };
            // One that was cut off shows below.
            let _ = caller.write_all(line).await;
        }
        // Where this machine took so long, they may have been cut off for their silence.
        if began.elapsed() < Duration::from_millis(30) {
            break callers;
        }
    };
    for mut caller in callers {
        let mut answer = String::new();
        timeout(PATIENCE, caller.read_to_string(&mut answer)).await.expect("an end").expect("an answer");
        assert!(answer == "done\n" || answer.ends_with("\nend\n"), "{answer:?}");
    }
}

/// Guards against a ban that ends by itself: neither discovery nor a restart puts the endpoint back, and one
/// call does, however often it was excluded.
#[tokio::test]
async fn an_excluded_endpoint_gets_nothing_until_it_is_included() {
    let (mut banned, mut other, platform) =
        (Peer::start().await, Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", banned.address, "single", "SERVING")]).await;
    assert_eq!(node.hand_in("m0", "unsafe", "").await.status(), 202);
    banned.call().await.ok();
    for _ in 0..2 {
        assert_eq!(node.staff("exclude s-1").await, "done\n");
    }
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    assert!(banned.quiet(Duration::from_millis(300)).await, "a message went to an excluded endpoint");
    platform.tell(&[
        member("s-1", banned.address, "single", "SERVING"),
        member("s-2", other.address, "single", "SERVING"),
    ]);
    let call = other.call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    platform.tell(&[member("s-2", other.address, "single", "DELETED")]);
    node.kill();
    node.begin().await;
    assert_eq!(node.hand_in("m2", "unsafe", "").await.status(), 202);
    platform.tell(&[member("s-1", banned.address, "single", "SERVING")]);
    assert!(banned.quiet(Duration::from_millis(500)).await, "a restart ended the ban");
    assert_eq!(node.staff("include s-1").await, "done\n");
    loop {
        let call = banned.call().await;
        let id = call.id().to_owned();
        call.ok();
        if id == "m2" {
            break;
        }
    }
}

/// Guards against a drain that leaves clients behind: readiness says no, last answers say so, idle connections
/// are closed, and what is held is delivered. One call has all of it back.
#[tokio::test]
async fn a_drained_sender_sends_its_clients_away() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut idle = TcpStream::connect(node.address).await.unwrap();
    idle.write_all(ready).await.unwrap();
    assert_eq!(Http::read(&mut idle).await.unwrap().status(), 200);
    assert_eq!(node.hand_in("held", "unsafe", "").await.status(), 202);
    assert_eq!(node.staff("evacuate").await, "done\n");
    let no = node.request("GET /-/ready", "", b"").await;
    assert_eq!((no.status(), no.header("connection")), (503, Some("close")));
    let late = node.hand_in("late", "unsafe", "").await;
    assert_eq!((late.status(), late.header("connection")), (202, Some("close")));
    let closed = timeout(Duration::from_secs(2), idle.read(&mut [0; 1])).await;
    assert_eq!(closed.expect("an end of the idle connection").unwrap(), 0);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.call().await;
        ids.push(call.id().to_owned());
        call.ok();
    }
    assert_eq!(ids, ["held", "late"]);
    assert_eq!(node.staff("readyz").await, "done\n", "the process can serve");
    assert_eq!(node.staff("activate").await, "done\n");
    let mut kept = TcpStream::connect(node.address).await.unwrap();
    for _ in 0..2 {
        kept.write_all(ready).await.unwrap();
        let yes = Http::read(&mut kept).await.unwrap();
        assert_eq!((yes.status(), yes.header("connection")), (200, None));
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
}

//! Handover from a running process to a new one.
use super::harness::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Guards against a message that both processes deliver, or neither: calls in flight complete once, reported
/// waits and exclusions stay in force, an old connection is answered, a draining sender keeps draining, and
/// the old process exits.
#[tokio::test]
async fn a_new_process_continues_from_the_old_state() {
    let (mut endpoint, mut excluded, platform) =
        (MockServer::start().await, MockServer::start().await, Platform::start().await);
    let members = [
        member("s-1", endpoint.address, "single", "SERVING"),
        member("s-2", excluded.address, "single", "SERVING"),
    ];
    let mut old = Node::start(&platform, &members).await;
    assert_eq!(old.admin_request("exclude s-2").await, "done\n");
    assert_eq!(old.submit("out", "unsafe", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    assert_eq!(old.submit("told", "unsafe", "").await.status(), 202);
    let answered_at = Instant::now();
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 1.5\r\n", ""));
    let mut client = TcpStream::connect(old.address).await.unwrap();
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    client.write_all(ready).await.unwrap();
    assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
    assert_eq!(old.admin_request("evacuate").await, "done\n");
    let mut new = old.second_process();
    new.start_process().await;
    assert_eq!(new.address, old.address);
    assert!(
        old.admin_request("readyz").await.starts_with("error "),
        "the old process still reports that it serves"
    );
    assert_eq!(new.request("GET /-/ready", "", b"").await.status(), 503, "the drain was lost");
    assert_eq!(old.admin_request("activate").await, "done\n", "forwarded to the new process");
    assert_eq!(new.request("GET /-/ready", "", b"").await.status(), 200);
    let head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: late\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\n\
                X-Envelope: dest=7\r\nContent-Length: 4\r\n\r\nlate";
    client.write_all(head.as_bytes()).await.unwrap();
    let accepted = HttpMessage::read(&mut client).await.unwrap();
    assert_eq!((accepted.status(), accepted.header("connection")), (202, Some("close")));
    in_flight.ok();
    assert!(old.exits_cleanly().await);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        assert!(
            answered_at.elapsed() >= Duration::from_millis(1500),
            "{:?}: sent before the reported wait had passed",
            answered_at.elapsed()
        );
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["late", "told"]);
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "a completed message was sent again");
    assert!(excluded.no_call_for(Duration::from_millis(10)).await, "the upgrade ended an exclusion");
    // A second upgrade, from the process that took over: completed messages stay complete.
    assert_eq!(new.submit("last", "unsafe", "").await.status(), 202);
    let last = endpoint.next_call().await;
    let mut newest = new.second_process();
    newest.start_process().await;
    last.ok();
    assert!(new.exits_cleanly().await);
    newest.kill();
    newest.start_process().await;
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "a delivered message was sent again");
}

/// Guards against a connection that is reset or left unread while two processes share the address.
#[tokio::test]
async fn an_upgrade_resets_no_client_connection() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let answering = tokio::spawn(async move {
        loop {
            endpoint.next_call().await.ok();
        }
    });
    let address = node.address;
    let clients = (0..4).map(|client| {
        tokio::spawn(async move {
            let mut served = 0;
            let until = Instant::now() + Duration::from_secs(2);
            while Instant::now() < until {
                let mut stream = TcpStream::connect(address).await.unwrap();
                let head = format!(
                    "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: c{client}-{served}\r\nX-Lane: keyed\r\nX-Remaining: 30\r\n\
                     X-Envelope: dest=7\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"
                );
                stream.write_all(head.as_bytes()).await.unwrap();
                let answer = timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream)).await.unwrap();
                // Accepted or refused: the request was read in both cases.
                assert!([202, 503].contains(&answer.expect("an answer").status()));
                served += 1;
            }
            served
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep(Duration::from_millis(300)).await;
    let mut running = node;
    for _ in 0..3 {
        let mut new = running.second_process();
        new.start_process().await;
        assert!(running.exits_cleanly().await);
        running = new;
    }
    for client in clients {
        assert!(client.await.unwrap() > 0);
    }
    answering.abort();
}

/// Guards against an upgrade that hangs or loses messages because the old process does: it is killed with a
/// call in flight, or is unresponsive until it is killed. What may have executed is not repeated, and the
/// rest is sent.
#[tokio::test]
async fn an_old_process_that_dies_or_hangs_is_replaced() {
    let (mut endpoint, mut platform) = (MockServer::start().await, Platform::start().await);
    let mut old = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(old.submit("m1", "unsafe", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    let mut new = old.second_process();
    new.start_process().await;
    old.kill();
    drop(in_flight);
    assert_eq!(platform.next_notice().await["id"], "m1");
    assert_eq!(new.submit("m2", "keyed", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    new.suspend();
    let mut newest = new.second_process();
    let kill_later = async {
        sleep(Duration::from_millis(700)).await;
        new.kill();
        drop(in_flight);
    };
    tokio::join!(newest.start_process(), kill_later);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
}

/// Guards against a caller at the handover socket that disconnects, or sends garbage: the process continues.
#[tokio::test]
async fn an_aborted_handover_changes_nothing() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let socket = node.journal().with_file_name("handover.sock");
    // A complete hello: four bytes of length, the variant, the version. Then silence, or a close.
    for (n, (sent, hold_ms)) in
        [(&[2, 0, 0, 0, 0, 1][..], 1300), (&[2, 0, 0, 0, 0, 1], 0), (&[255; 40], 0), (&[], 0)]
            .iter()
            .enumerate()
    {
        let mut stream = tokio::net::UnixStream::connect(&socket).await.unwrap();
        stream.write_all(sent).await.unwrap();
        sleep(Duration::from_millis(*hold_ms)).await;
        let _ = timeout(Duration::from_millis(50), stream.read(&mut [0; 64])).await;
        drop(stream);
        let id = format!("m{n}");
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
    assert_eq!(node.admin_request("readyz").await, "done\n");
}

/// Guards against two concurrent attempts of a message when upgrades follow each other closely: a third
/// process takes over only once the first one's calls have completed, and a message is sent once.
#[tokio::test]
async fn consecutive_upgrades_do_not_overlap() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut first = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(first.submit("out", "keyed", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    let mut second = first.second_process();
    second.start_process().await;
    let mut third = second.second_process();
    let complete_call = async {
        assert!(endpoint.no_call_for(Duration::from_millis(700)).await, "two attempts of one message");
        assert_eq!(
            second.admin_request("readyz").await,
            "done\n",
            "handed over while another process had calls in flight"
        );
        in_flight.ok();
        assert!(first.exits_cleanly().await);
    };
    tokio::join!(third.start_process(), complete_call);
    assert!(second.exits_cleanly().await);
    assert!(endpoint.no_call_for(Duration::from_millis(500)).await, "a delivered message was sent again");
}

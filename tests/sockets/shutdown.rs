//! Requests and calls during an orderly shutdown, as the client, the endpoint and the next process see them.
use super::harness::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

fn submission(id: &str, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 30.0\r\n\
         X-Envelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// The answer on a connection, and whether an orderly close followed it instead of a reset.
async fn read_answer_and_close(stream: &mut TcpStream) -> (Option<HttpMessage>, bool) {
    let answer = timeout(TEST_TIMEOUT, HttpMessage::read(stream)).await.expect("an answer or a close");
    let end = timeout(TEST_TIMEOUT, stream.read(&mut [0; 64])).await.expect("a close");
    // A reset after the end of the stream is only visible as the socket's error.
    (answer, matches!(end, Ok(0)) && stream.take_error().unwrap().is_none())
}

/// Waits until the process reports that it is shutting down.
async fn wait_for_shutdown(node: &Node) {
    while node.admin_request("readyz").await == "done\n" {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a shutdown that drops a half-read request: it arrives completely before the process exits,
/// so it gets an answer. If the answer accepts the message, the next process delivers it.
#[tokio::test]
async fn a_half_read_request_is_answered_at_shutdown() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    stream.write_all(submission("half", 8).as_bytes()).await.unwrap();
    stream.write_all(b"half").await.unwrap();
    // Served later on another connection, so the sender has read the first half by now.
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    node.terminate();
    // Until the sender has closed its listener, and the kernel refuses new connections.
    while TcpStream::connect(node.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"half").await.unwrap();
    let (answer, in_order) = read_answer_and_close(&mut stream).await;
    let status = answer.expect("an answer").status();
    assert!([202, 503].contains(&status) && in_order, "{status}, ended in order: {in_order}");
    assert!(node.exits_cleanly().await);
    node.start_process().await;
    if status == 202 {
        endpoint.next_call().await.ok();
    }
    assert!(endpoint.no_call_for(Duration::from_millis(300)).await, "more was sent than was accepted");
}

/// Guards against clients that wait in the backlog of a process which is exiting: once it stops accepting
/// connections, new ones are refused at once, however long a call remains in flight.
#[tokio::test]
async fn connections_are_refused_once_the_listener_is_closed() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let in_flight = endpoint.next_call().await;
    node.terminate();
    wait_for_shutdown(&node).await;
    let refused = async {
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(2), refused).await.expect("refused while the call is in flight");
    assert!(node.is_running(), "the process must wait for its call");
    in_flight.ok();
    assert!(node.exits_cleanly().await);
}

/// Guards against closing a connection with unread bytes, which sends a reset that can destroy the answer
/// just written: what follows the request is read, and never submitted.
#[tokio::test]
async fn unread_bytes_do_not_reset_an_answer() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    node.terminate();
    wait_for_shutdown(&node).await;
    for n in 0..20 {
        let Ok(mut stream) = TcpStream::connect(node.address).await else { break };
        let (first, second) =
            (submission(&format!("first{n}"), 4), submission(&format!("second{n}"), 40_000));
        stream.write_all(format!("{first}body{second}").as_bytes()).await.unwrap();
        stream.write_all(&[b'x'; 40_000]).await.unwrap();
        let (answer, in_order) = read_answer_and_close(&mut stream).await;
        assert!([202, 503].contains(&answer.expect("an answer").status()) && in_order);
    }
    while let Ok(call) = timeout(Duration::from_millis(300), endpoint.next_call()).await {
        assert!(call.id().starts_with("first"), "{} was submitted", call.id());
        call.ok();
    }
    assert!(node.exits_cleanly().await);
}

/// Guards against idle clients that delay the shutdown, or are reset by it: each sees an orderly close.
#[tokio::test]
async fn idle_clients_are_closed_in_order() {
    let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut idle = Vec::new();
    for sent in
        ["", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\nPOST /a"]
    {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        if !sent.is_empty() {
            assert_eq!(
                timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream)).await.unwrap().unwrap().status(),
                200
            );
        }
        idle.push(stream);
    }
    node.terminate();
    for stream in &mut idle {
        let end = timeout(TEST_TIMEOUT, stream.read(&mut [0; 64])).await.expect("a close");
        assert!(matches!(end, Ok(0)), "{end:?}");
    }
    assert!(node.exits_cleanly().await);
}

/// Guards against silently closing the connection of a client whose first request is late: once the head has
/// arrived it gets an error, within the 3 s limit for clients without a valid request.
#[tokio::test]
async fn a_late_first_request_gets_an_error() {
    let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let (mut stream, started) = (TcpStream::connect(node.address).await.unwrap(), std::time::Instant::now());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    stream.write_all(submission("late", 8).as_bytes()).await.unwrap();
    let (answer, in_order) = read_answer_and_close(&mut stream).await;
    assert_eq!((answer.expect("an answer").status(), in_order), (408, true));
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// Guards against a second SIGTERM, or a SIGHUP besides it, that ends the process before its calls: in either
/// order the call in flight completes, and the process exits cleanly.
#[tokio::test]
async fn further_signals_do_not_cut_a_shutdown_short() {
    for reload_first in [true, false] {
        let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
        let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
        assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
        let in_flight = endpoint.next_call().await;
        let unchanged = node.config.to_string();
        if reload_first {
            node.reload(&unchanged);
        }
        node.terminate();
        wait_for_shutdown(&node).await;
        node.terminate();
        if !reload_first {
            node.reload(&unchanged);
        }
        // Once the listener is closed, both signals have arrived long before.
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(node.is_running(), "the process must wait for its call");
        in_flight.ok();
        assert!(node.exits_cleanly().await);
        node.start_process().await;
        assert!(endpoint.no_call_for(Duration::from_millis(200)).await, "a delivered message was sent again");
    }
}

//! What crosses an end in order: the verdict is the client's, the endpoint's and the next process's.
use super::world::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

fn hand_in(id: &str, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 30.0\r\n\
         X-Envelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// The answer on a connection, and whether its end came after that in order, rather than as a reset.
async fn answer_and_end(stream: &mut TcpStream) -> (Option<Http>, bool) {
    let answer = timeout(PATIENCE, Http::read(stream)).await.expect("an answer or an end");
    let end = timeout(PATIENCE, stream.read(&mut [0; 64])).await.expect("an end");
    // A reset behind the end shows in the socket alone.
    (answer, matches!(end, Ok(0)) && stream.take_error().unwrap().is_none())
}

/// Waits until the process has begun to wind down, by its own word.
async fn winding_down(node: &Node) {
    while node.staff("readyz").await == "done\n" {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against an end that comes over a request which is half read: all of it has come before the process is
/// gone, so it has an answer. What that answer promises, the next process keeps.
#[tokio::test]
async fn a_request_that_is_half_read_at_the_end_is_answered() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    stream.write_all(hand_in("half", 8).as_bytes()).await.unwrap();
    stream.write_all(b"half").await.unwrap();
    // Served after it on another connection, so the sender has read that much.
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    node.terminate();
    // The doors are shut: the system turns new clients away.
    while TcpStream::connect(node.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    stream.write_all(b"half").await.unwrap();
    let (answer, in_order) = answer_and_end(&mut stream).await;
    let status = answer.expect("an answer").status();
    assert!([202, 503].contains(&status) && in_order, "{status}, ended in order: {in_order}");
    assert!(node.ends_well().await);
    node.begin().await;
    if status == 202 {
        endpoint.call().await.ok();
    }
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "more went out than was taken on");
}

/// Guards against clients that wait in vain for a process which ends: once its doors are shut a connection is refused
/// at once, however long a call is still out.
#[tokio::test]
async fn nobody_waits_at_a_door_that_is_shut() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.hand_in("out", "unsafe", "").await.status(), 202);
    let out = endpoint.call().await;
    node.terminate();
    winding_down(&node).await;
    let refused = async {
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(2), refused).await.expect("refused while the call is out");
    assert!(node.runs(), "the process waits for its call");
    out.ok();
    assert!(node.ends_well().await);
}

/// Guards against a close over unread bytes, which is a reset and takes the answer just written with it: what came
/// on the connection behind the request is read, and never sent on.
#[tokio::test]
async fn an_answer_outlives_the_bytes_behind_its_request() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    node.terminate();
    winding_down(&node).await;
    for n in 0..20 {
        let Ok(mut stream) = TcpStream::connect(node.address).await else { break };
        let (first, second) = (hand_in(&format!("first{n}"), 4), hand_in(&format!("second{n}"), 40_000));
        stream.write_all(format!("{first}body{second}").as_bytes()).await.unwrap();
        stream.write_all(&[b'x'; 40_000]).await.unwrap();
        let (answer, in_order) = answer_and_end(&mut stream).await;
        assert!([202, 503].contains(&answer.expect("an answer").status()) && in_order);
    }
    while let Ok(call) = timeout(Duration::from_millis(300), endpoint.call()).await {
        assert!(call.id().starts_with("first"), "{} was sent on", call.id());
        call.ok();
    }
    assert!(node.ends_well().await);
}

/// Guards against an end that resting clients hold up, or that resets them: each sees an end in order.
#[tokio::test]
async fn resting_clients_see_an_end_in_order() {
    let (endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut resting = Vec::new();
    for sent in
        ["", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\nPOST /a"]
    {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        if !sent.is_empty() {
            assert_eq!(timeout(PATIENCE, Http::read(&mut stream)).await.unwrap().unwrap().status(), 200);
        }
        resting.push(stream);
    }
    node.terminate();
    for stream in &mut resting {
        let end = timeout(PATIENCE, stream.read(&mut [0; 64])).await.expect("an end");
        assert!(matches!(end, Ok(0)), "{end:?}");
    }
    assert!(node.ends_well().await);
}

/// Guards against a close without a word on a client that is late with its first request: once the head has come it
/// hears an error, and that within the time that a stranger is owed one.
#[tokio::test]
async fn a_first_request_that_comes_late_has_an_answer() {
    let (endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let (mut stream, began) = (TcpStream::connect(node.address).await.unwrap(), std::time::Instant::now());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    stream.write_all(hand_in("late", 8).as_bytes()).await.unwrap();
    let (answer, in_order) = answer_and_end(&mut stream).await;
    assert_eq!((answer.expect("an answer").status(), in_order), (408, true));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// Guards against a second SIGTERM, or a SIGHUP beside it, that ends the process before its calls have: in either order
/// the call that is out comes to its end, and the process ends well.
#[tokio::test]
async fn other_signals_do_not_cut_an_end_short() {
    for reload_first in [true, false] {
        let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
        let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
        assert_eq!(node.hand_in("out", "unsafe", "").await.status(), 202);
        let out = endpoint.call().await;
        let same = node.config.to_string();
        if reload_first {
            node.reload(&same);
        }
        node.terminate();
        winding_down(&node).await;
        node.terminate();
        if !reload_first {
            node.reload(&same);
        }
        // The doors are shut, so both signals were there long before.
        while TcpStream::connect(node.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(node.runs(), "the process waits for its call");
        out.ok();
        assert!(node.ends_well().await);
        node.begin().await;
        assert!(endpoint.quiet(Duration::from_millis(200)).await, "a delivered message went out again");
    }
}

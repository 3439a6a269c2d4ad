//! Client connections: forwarding, malformed requests, and limits on memory, disk and descriptors.
use super::harness::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Guards against changing a message on its way: id, idempotency key and body reach the endpoint byte for
/// byte.
#[tokio::test]
async fn a_message_is_forwarded_unchanged() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let headers = "X-Txn: ab12\r\nX-Lane: keyed\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n\
                   Idempotency-Key: once\r\n";
    let body = [0, 255, b'\r', b'\n', b'\r', b'\n', 7];
    assert_eq!(node.request("POST /api", headers, &body).await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.http.start_line, "POST /hook HTTP/1.1");
    assert_eq!((call.id(), call.http.header("idempotency-key")), ("ab12", Some("once")));
    assert_eq!(call.http.body, body);
    let remaining: f64 = call.http.header("x-remaining").unwrap().parse().unwrap();
    assert!(remaining > 0.0 && remaining <= 30.0, "{remaining}");
    call.ok();
}

/// Guards against a panic on malformed input, and against accepting it.
#[tokio::test]
async fn malformed_requests_are_rejected() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let valid_headers = [
        ("X-Txn", "m"),
        ("X-Lane", "keyed"),
        ("X-Org", "acme"),
        ("X-Remaining", "5"),
        ("X-Envelope", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let headers_with = |name: &str, value: Option<&str>| -> String {
        let fields = valid_headers.iter().filter_map(|(n, v)| match (*n == name, value) {
            (true, None) => None,
            (true, Some(other)) => Some(format!("{n}: {other}\r\n")),
            (false, _) => Some(format!("{n}: {v}\r\n")),
        });
        fields.collect()
    };
    let long = "x".repeat(5_000);
    let invalid_headers = [
        ("X-Txn", None),
        ("X-Txn", Some(long.as_str())),
        ("X-Txn", Some("\u{e9}")),
        ("X-Lane", None),
        ("X-Lane", Some("no-such-class")),
        ("X-Org", Some("nobody")),
        ("X-Remaining", None),
        ("X-Remaining", Some("soon")),
        ("X-Remaining", Some("NaN")),
        ("X-Remaining", Some("-1")),
        ("X-Remaining", Some("0")),
        ("X-Envelope", None),
        ("X-Envelope", Some("dest=-3")),
        ("X-Envelope", Some("cell=7")),
        ("Idempotency-Key", None),
    ];
    for (name, value) in invalid_headers {
        let answer = node.request("POST /api", &headers_with(name, value), b"body").await;
        assert_eq!(answer.status(), 400, "{name}: {value:?}");
    }
    let valid = headers_with("", None);
    assert_eq!(node.request("POST /api", &valid, &vec![b'x'; 64 * 1024 + 1]).await.status(), 413);
    assert_eq!(node.request("GET /api", &valid, b"").await.status(), 405);
    assert_eq!(node.request("POST /nowhere", &valid, b"").await.status(), 404);
    assert_eq!(node.request("GARBAGE", "", b"").await.status(), 400);
    assert!(endpoint.no_call_for(Duration::from_millis(100)).await, "a rejected message was sent");
    assert_eq!(node.request("POST /api", &valid, &vec![b'x'; 64 * 1024]).await.status(), 202);
    endpoint.next_call().await.ok();
}

/// Guards against holding more messages than the settings allow: further submissions are refused, and
/// accepted again once messages have completed.
#[tokio::test]
async fn submissions_beyond_the_limit_are_refused() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    // Steps are so far apart that the messages accumulate before the policy handles them.
    let small_limit = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["most_held"] = json!(3);
        config["settings"]["period"] = json!(2_000_000);
    };
    let node = Node::start_with(&platform, &[member], small_limit).await;
    for id in ["m1", "m2", "m3"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
    }
    assert_eq!(node.submit("m4", "unsafe", "").await.status(), 503);
    // The policy sheds one to make room for the next submission; the others are delivered.
    let delivered = [endpoint.next_call().await, endpoint.next_call().await];
    assert!(delivered.iter().all(|call| call.id() != "m4"), "a refused message was sent");
    delivered.into_iter().for_each(Call::ok);
    let mut n = 5;
    while node.submit(&format!("m{n}"), "unsafe", "").await.status() == 503 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        n += 1;
        assert!(n < 400, "submissions are still refused");
    }
    endpoint.next_call().await.ok();
}

/// Guards against failing on a full disk: the sender refuses what the journal cannot hold, and continues.
#[tokio::test]
async fn a_full_disk_refuses_submissions() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let small_disk = |config: &mut Value| config["limits"]["disk_mb"] = json!(0.1);
    let node = Node::start_with(&platform, &[member], small_disk).await;
    let headers = "X-Txn: big\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", headers, &[b'x'; 40_000]).await.status(), 503);
    assert_eq!(node.submit("small", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "small");
    call.ok();
}

/// Guards against running out of descriptors: however many connections are open, a further client is served,
/// and the configured limit holds.
#[tokio::test]
async fn open_connections_do_not_exhaust_descriptors() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let few_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(64);
    let node = Node::start_with(&platform, &[member], few_descriptors).await;
    let mut open = Vec::new();
    for n in 0..120 {
        open.push(TcpStream::connect(node.address).await.unwrap());
        if n % 10 == 9 {
            assert_eq!(node.submit(&format!("m{n}"), "unsafe", "").await.status(), 202);
            endpoint.next_call().await.ok();
            assert!(node.descriptors() <= 64, "{} descriptors", node.descriptors());
        }
    }
}

/// Guards against clients that occupy a connection with an incomplete or invalid request, or none: each gets
/// an error or a close within 3 s. A client that has sent a valid request keeps its connection.
#[tokio::test]
async fn clients_without_a_valid_request_are_rejected_in_time() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut client = TcpStream::connect(node.address).await.unwrap();
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    client.write_all(ready).await.unwrap();
    assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
    let fields = "X-Txn: s\r\nX-Lane: unsafe\r\nX-Remaining: 9\r\nX-Envelope: dest=7\r\n";
    let invalid_requests = [
        String::new(),
        "POST /ap".to_owned(),
        format!("POST /api HTTP/1.1\r\nHost: a\r\n{fields}"),
        format!("POST /api HTTP/1.1\r\nHost: a\r\n{fields}Content-Length: 9\r\n\r\nhalf"),
        format!(
            "POST /api HTTP/1.1\r\nHost: a\r\n{fields}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        ),
        format!("POST /api HTTP/1.1\r\nHost: a\r\n{fields}Content-Length: 62914560\r\n\r\nhuge"),
        format!("POST /api HTTP/1.1\r\n{fields}Content-Length: 4\r\n\r\nbody"),
        format!("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\n{fields}Content-Length: 4\r\n\r\nbody"),
    ];
    let results = invalid_requests.map(|sent| {
        let address = node.address;
        tokio::spawn(async move {
            let (mut stream, started) = (TcpStream::connect(address).await.unwrap(), Instant::now());
            stream.write_all(sent.as_bytes()).await.unwrap();
            // An error, or a close without an answer.
            let status = HttpMessage::read(&mut stream).await.map_or(400, |answer| answer.status());
            (sent, status, started.elapsed())
        })
    });
    for result in results {
        let (sent, status, elapsed) =
            timeout(TEST_TIMEOUT, result).await.expect("an answer or a close").unwrap();
        assert!(status >= 400 && elapsed < Duration::from_secs(3), "{status} after {elapsed:?}: {sent}");
    }
    client.write_all(ready).await.unwrap();
    assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
    assert!(
        endpoint.no_call_for(Duration::from_millis(100)).await,
        "the message of a rejected request was sent"
    );
}

/// Guards against heads of unlimited length: hundreds of them must not fill the memory.
#[tokio::test]
async fn an_endless_head_is_rejected() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    let fields =
        "X-Txn: s\r\nX-Lane: unsafe\r\nX-Remaining: 9\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n";
    stream.write_all(format!("POST /api HTTP/1.1\r\nHost: a\r\n{fields}X-Fill: ").as_bytes()).await.unwrap();
    for _ in 0..100 {
        // The sender may have closed the connection by then.
        let _ = stream.write_all(&[b'x'; 1000]).await;
    }
    let _ = stream.write_all(b"\r\n\r\n").await;
    let status = timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream))
        .await
        .unwrap()
        .map_or(400, |answer| answer.status());
    assert!(status >= 400, "{status}");
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against treating a fragment as a whole request, or as an invalid one: fragmented requests are
/// served, several on one connection, and also one whose client closes its sending side after it.
#[tokio::test]
async fn fragmented_requests_are_served() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for id in ["p1", "p2"] {
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 9\r\n\
             X-Envelope: dest=7\r\nContent-Length: 6\r\n\r\npieces"
        );
        for piece in request.as_bytes().chunks(9) {
            stream.write_all(piece).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        if id == "p2" {
            stream.shutdown().await.unwrap();
        }
        let answer = timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream)).await.unwrap();
        assert_eq!(answer.expect("an answer").status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), &call.http.body[..]), (id, &b"pieces"[..]));
        call.ok();
    }
}

/// Guards against keeping the resources of disconnected clients. A message counts as submitted only once it
/// has arrived completely; then it is delivered even if its client has disconnected.
#[tokio::test]
async fn disconnected_clients_release_their_resources() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let before = node.descriptors();
    let head = |id: &str| {
        format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\n\
             X-Envelope: dest=7\r\nContent-Length: 4\r\n\r\n"
        )
    };
    for n in 0..40 {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(format!("{}ha", head(&format!("half{n}"))).as_bytes()).await.unwrap();
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(&head("x").as_bytes()[..n]).await.unwrap();
    }
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    stream.write_all(format!("{}body", head("whole")).as_bytes()).await.unwrap();
    drop(stream);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "whole");
    call.ok();
    let until = Instant::now() + Duration::from_secs(2);
    while node.descriptors() > before + 2 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // One idle connection to the endpoint stays open, and one more descriptor may be closing.
    assert!(node.descriptors() <= before + 2, "{} descriptors, {before} before", node.descriptors());
    assert!(endpoint.no_call_for(Duration::from_millis(100)).await, "an incomplete message was sent");
}

/// Guards against filling the memory with bodies that are being read: a body that exceeds the limit is
/// refused at once, small messages are still accepted, and a client that stops halfway releases its permits.
#[tokio::test]
async fn bodies_being_read_stay_within_their_memory_limit() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let little_memory = |config: &mut Value| config["limits"]["memory_mb"] = json!(1);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], little_memory).await;
    let head = |id: &str, length: usize| {
        format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 20.0\r\n\
             X-Envelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    // The limit is 125 KB: room for two of these.
    let mut incomplete = Vec::new();
    for id in ["h1", "h2"] {
        let mut half = TcpStream::connect(node.address).await.unwrap();
        half.write_all(head(id, 60_000).as_bytes()).await.unwrap();
        half.write_all(&[b'x'; 100]).await.unwrap();
        incomplete.push(half);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut third = TcpStream::connect(node.address).await.unwrap();
    third.write_all(head("h3", 60_000).as_bytes()).await.unwrap();
    let refused = timeout(TEST_TIMEOUT, HttpMessage::read(&mut third)).await.expect("an answer").unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(node.submit("small", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    for half in &mut incomplete {
        timeout(TEST_TIMEOUT, half.read_to_end(&mut Vec::new())).await.expect("a close").unwrap();
    }
    let mut again = TcpStream::connect(node.address).await.unwrap();
    again.write_all(head("h4", 60_000).as_bytes()).await.unwrap();
    again.write_all(&[b'x'; 60_000]).await.unwrap();
    assert_eq!(
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut again)).await.expect("an answer").unwrap().status(),
        202
    );
    assert_eq!(endpoint.next_call().await.http.body.len(), 60_000);
}

/// Guards against a disk limit above the memory limit: pending messages occupy both, so the lower one
/// applies.
#[tokio::test]
async fn pending_bodies_stay_within_their_memory_limit() {
    let (_endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let large_disk = |config: &mut Value| {
        config["limits"]["memory_mb"] = json!(1);
        config["limits"]["disk_mb"] = json!(1_000);
    };
    let node = Node::start_with(&platform, &[], large_disk).await;
    let mut accepted = 0;
    loop {
        let head =
            format!("X-Txn: m{accepted}\r\nX-Lane: unsafe\r\nX-Remaining: 25.0\r\nX-Envelope: dest=7\r\n");
        match node.request("POST /api", &head, &[b'x'; 60_000]).await.status() {
            202 => accepted += 1,
            status => break assert_eq!(status, 503),
        }
        assert!(accepted < 10, "{accepted} bodies of 60 KB pending in 1 MB");
    }
    assert!(accepted >= 2 && node.metrics().await.get("pending_bytes") <= 250_000.0);
}

/// Guards against calls that get no descriptor because clients occupy all of them.
#[tokio::test]
async fn calls_continue_while_clients_use_all_their_descriptors() {
    let (mut endpoint, platform) = (MockServer::start().await, Platform::start().await);
    let few_descriptors = |config: &mut Value| config["limits"]["sockets"] = json!(80);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], few_descriptors).await;
    let mut open_clients = Vec::new();
    for round in 0..2 {
        for _ in 0..24 {
            let mut stream = TcpStream::connect(node.address).await.unwrap();
            let _ = stream.write_all(b"POST /api HTTP/1.1\r\nHost").await;
            open_clients.push(stream);
        }
        // The clients' half of the descriptors that remain beside the process's own.
        let clients = node.metrics().await.get("descriptors{use=clients}");
        assert!(clients <= 16.0 && node.descriptors() <= 80, "{clients} clients");
        let id = format!("m{round}");
        let accepted = async { while node.submit(&id, "unsafe", "").await.status() != 202 {} };
        timeout(TEST_TIMEOUT, accepted).await.expect("an accepted submission");
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
}

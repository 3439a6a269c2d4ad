//! The side of the clients.
use super::world::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Guards against changing what is carried: id, key and body go on as they came.
#[tokio::test]
async fn a_message_goes_on_unchanged() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let headers = "X-Txn: ab12\r\nX-Lane: keyed\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n\
                   Idempotency-Key: once\r\n";
    let body = [0, 255, b'\r', b'\n', b'\r', b'\n', 7];
    assert_eq!(node.request("POST /api", headers, &body).await.status(), 202);
    let call = endpoint.call().await;
    assert_eq!(call.http.first, "POST /hook HTTP/1.1");
    assert_eq!((call.id(), call.http.header("idempotency-key")), ("ab12", Some("once")));
    assert_eq!(call.http.body, body);
    let remaining: f64 = call.http.header("x-remaining").unwrap().parse().unwrap();
    assert!(remaining > 0.0 && remaining <= 30.0, "{remaining}");
    call.ok();
}

/// Guards against a panic, or a promise, on input that cannot be understood.
#[tokio::test]
async fn malformed_requests_are_turned_down_one_by_one() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let good = [
        ("X-Txn", "m"),
        ("X-Lane", "keyed"),
        ("X-Org", "acme"),
        ("X-Remaining", "5"),
        ("X-Envelope", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let with = |name: &str, value: Option<&str>| -> String {
        let fields = good.iter().filter_map(|(n, v)| match (*n == name, value) {
            (true, None) => None,
            (true, Some(other)) => Some(format!("{n}: {other}\r\n")),
            (false, _) => Some(format!("{n}: {v}\r\n")),
        });
        fields.collect()
    };
    let long = "x".repeat(5_000);
    let bad = [
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
    for (name, value) in bad {
        let answer = node.request("POST /api", &with(name, value), b"body").await;
        assert_eq!(answer.status(), 400, "{name}: {value:?}");
    }
    let fine = with("", None);
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024 + 1]).await.status(), 413);
    assert_eq!(node.request("GET /api", &fine, b"").await.status(), 405);
    assert_eq!(node.request("POST /nowhere", &fine, b"").await.status(), 404);
    assert_eq!(node.request("GARBAGE", "", b"").await.status(), 400);
    assert!(endpoint.quiet(Duration::from_millis(100)).await, "a message that was turned down went out");
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024]).await.status(), 202);
    endpoint.call().await.ok();
}

/// Guards against holding more than the settings allow: the door refuses, and opens again once messages end.
#[tokio::test]
async fn a_full_house_refuses_at_the_door() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    // Steps are so far apart that the messages gather before the module looks at them.
    let few = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["most_held"] = json!(3);
        config["settings"]["period"] = json!(2_000_000);
    };
    let node = Node::start_with(&platform, &[member], few).await;
    for id in ["m1", "m2", "m3"] {
        assert_eq!(node.hand_in(id, "unsafe", "").await.status(), 202);
    }
    assert_eq!(node.hand_in("m4", "unsafe", "").await.status(), 503);
    // The module sheds one for the next to come; the others are delivered.
    let delivered = [endpoint.call().await, endpoint.call().await];
    assert!(delivered.iter().all(|call| call.id() != "m4"), "a refused message went out");
    delivered.into_iter().for_each(Call::ok);
    let mut n = 5;
    while node.hand_in(&format!("m{n}"), "unsafe", "").await.status() == 503 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        n += 1;
        assert!(n < 400, "the door stayed shut");
    }
    endpoint.call().await.ok();
}

/// Guards against a full disk: the sender refuses what the journal cannot hold, and goes on.
#[tokio::test]
async fn a_full_disk_refuses() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let small = |config: &mut Value| config["limits"]["disk_mb"] = json!(0.1);
    let node = Node::start_with(&platform, &[member], small).await;
    let headers = "X-Txn: big\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", headers, &[b'x'; 40_000]).await.status(), 503);
    assert_eq!(node.hand_in("small", "unsafe", "").await.status(), 202);
    let call = endpoint.call().await;
    assert_eq!(call.id(), "small");
    call.ok();
}

/// Guards against running out of descriptors: however many connections stand open, a further client is served
/// and the configured limit holds.
#[tokio::test]
async fn connections_that_stand_open_leave_room_for_others() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let few = |config: &mut Value| config["limits"]["sockets"] = json!(64);
    let node = Node::start_with(&platform, &[member], few).await;
    let mut open = Vec::new();
    for n in 0..120 {
        open.push(TcpStream::connect(node.address).await.unwrap());
        if n % 10 == 9 {
            assert_eq!(node.hand_in(&format!("m{n}"), "unsafe", "").await.status(), 202);
            endpoint.call().await.ok();
            assert!(node.descriptors() <= 64, "{} descriptors", node.descriptors());
        }
    }
}

/// Guards against strangers who hold a connection with half a request, or none: each gets an error or a close
/// within 3 s. A client that has been heard keeps its connection.
#[tokio::test]
async fn strangers_are_turned_away_in_time() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut client = TcpStream::connect(node.address).await.unwrap();
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    client.write_all(ready).await.unwrap();
    assert_eq!(Http::read(&mut client).await.unwrap().status(), 200);
    let fields = "X-Txn: s\r\nX-Lane: unsafe\r\nX-Remaining: 9\r\nX-Envelope: dest=7\r\n";
    let strangers = [
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
    let ends = strangers.map(|sent| {
        let address = node.address;
        tokio::spawn(async move {
            let (mut stream, began) = (TcpStream::connect(address).await.unwrap(), Instant::now());
            stream.write_all(sent.as_bytes()).await.unwrap();
            // An error, or nothing but the end.
            let status = Http::read(&mut stream).await.map_or(400, |answer| answer.status());
            (sent, status, began.elapsed())
        })
    });
    for end in ends {
        let (sent, status, took) = timeout(PATIENCE, end).await.expect("an end").unwrap();
        assert!(status >= 400 && took < Duration::from_secs(3), "{status} after {took:?}: {sent}");
    }
    client.write_all(ready).await.unwrap();
    assert_eq!(Http::read(&mut client).await.unwrap().status(), 200);
    assert!(endpoint.quiet(Duration::from_millis(100)).await, "a stranger's message went out");
}

/// Guards against a head that grows without end: hundreds of those must not fill the memory.
#[tokio::test]
async fn a_head_without_end_is_turned_away() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    let fields =
        "X-Txn: s\r\nX-Lane: unsafe\r\nX-Remaining: 9\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n";
    stream.write_all(format!("POST /api HTTP/1.1\r\nHost: a\r\n{fields}X-Fill: ").as_bytes()).await.unwrap();
    for _ in 0..100 {
        // The sender may have closed by then.
        let _ = stream.write_all(&[b'x'; 1000]).await;
    }
    let _ = stream.write_all(b"\r\n\r\n").await;
    let status =
        timeout(PATIENCE, Http::read(&mut stream)).await.unwrap().map_or(400, |answer| answer.status());
    assert!(status >= 400, "{status}");
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against taking pieces for the whole, or for strangers: requests that come bit by bit are served, one
/// after the other on a connection, and so is one that ends its sending with its request.
#[tokio::test]
async fn requests_in_pieces_are_served() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
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
        let answer = timeout(PATIENCE, Http::read(&mut stream)).await.unwrap();
        assert_eq!(answer.expect("an answer").status(), 202);
        let call = endpoint.call().await;
        assert_eq!((call.id(), &call.http.body[..]), (id, &b"pieces"[..]));
        call.ok();
    }
}

/// Guards against holding on to clients that have gone: what they held is free again, and a message counts as
/// handed in only once all of it came; then it is delivered, whoever has gone.
#[tokio::test]
async fn clients_that_go_leave_nothing_but_their_messages() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
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
    let call = endpoint.call().await;
    assert_eq!(call.id(), "whole");
    call.ok();
    let until = Instant::now() + Duration::from_secs(2);
    while node.descriptors() > before + 2 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // One connection to the endpoint is kept, and one descriptor may be on its way.
    assert!(node.descriptors() <= before + 2, "{} descriptors, {before} before", node.descriptors());
    assert!(endpoint.quiet(Duration::from_millis(100)).await, "half a message went out");
}

/// Guards against bodies that fill the memory while they are read: what has no room is refused at once, small messages
/// still get in, and a client that stops in the middle gives its room back.
#[tokio::test]
async fn bodies_being_read_keep_within_their_part_of_the_memory() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let little = |config: &mut Value| config["limits"]["memory_mb"] = json!(1);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], little).await;
    let head = |id: &str, length: usize| {
        format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 20.0\r\n\
             X-Envelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    // 125 KB in all: room for two of these.
    let mut halves = Vec::new();
    for id in ["h1", "h2"] {
        let mut half = TcpStream::connect(node.address).await.unwrap();
        half.write_all(head(id, 60_000).as_bytes()).await.unwrap();
        half.write_all(&[b'x'; 100]).await.unwrap();
        halves.push(half);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut third = TcpStream::connect(node.address).await.unwrap();
    third.write_all(head("h3", 60_000).as_bytes()).await.unwrap();
    let refused = timeout(PATIENCE, Http::read(&mut third)).await.expect("an answer").unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(node.hand_in("small", "unsafe", "").await.status(), 202);
    endpoint.call().await.ok();
    for half in &mut halves {
        timeout(PATIENCE, half.read_to_end(&mut Vec::new())).await.expect("an end").unwrap();
    }
    let mut again = TcpStream::connect(node.address).await.unwrap();
    again.write_all(head("h4", 60_000).as_bytes()).await.unwrap();
    again.write_all(&[b'x'; 60_000]).await.unwrap();
    assert_eq!(timeout(PATIENCE, Http::read(&mut again)).await.expect("an answer").unwrap().status(), 202);
    assert_eq!(endpoint.call().await.http.body.len(), 60_000);
}

/// Guards against a disk larger than the memory: what is held is in both, and the smaller one binds.
#[tokio::test]
async fn held_bodies_keep_within_their_part_of_the_memory() {
    let (_endpoint, platform) = (Peer::start().await, Platform::start().await);
    let wide = |config: &mut Value| {
        config["limits"]["memory_mb"] = json!(1);
        config["limits"]["disk_mb"] = json!(1_000);
    };
    let node = Node::start_with(&platform, &[], wide).await;
    let mut taken = 0;
    loop {
        let head =
            format!("X-Txn: m{taken}\r\nX-Lane: unsafe\r\nX-Remaining: 25.0\r\nX-Envelope: dest=7\r\n");
        match node.request("POST /api", &head, &[b'x'; 60_000]).await.status() {
            202 => taken += 1,
            status => break assert_eq!(status, 503),
        }
        assert!(taken < 10, "{taken} bodies of 60 KB held in 1 MB");
    }
    assert!(taken >= 2 && node.figures().await.get("pending_bytes") <= 250_000.0);
}

/// Guards against calls that find no descriptor because clients have them all.
#[tokio::test]
async fn calls_go_on_while_clients_take_all_descriptors_they_can() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let few = |config: &mut Value| config["limits"]["sockets"] = json!(80);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[member], few).await;
    let mut crowd = Vec::new();
    for round in 0..2 {
        for _ in 0..24 {
            let mut stream = TcpStream::connect(node.address).await.unwrap();
            let _ = stream.write_all(b"POST /api HTTP/1.1\r\nHost").await;
            crowd.push(stream);
        }
        // Half of what the sender leaves over for itself.
        let clients = node.figures().await.get("descriptors{use=clients}");
        assert!(clients <= 16.0 && node.descriptors() <= 80, "{clients} clients");
        let id = format!("m{round}");
        let handed_in = async { while node.hand_in(&id, "unsafe", "").await.status() != 202 {} };
        timeout(PATIENCE, handed_in).await.expect("a place");
        let call = endpoint.call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
}

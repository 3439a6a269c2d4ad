//! A new process takes over from a running one.
use super::world::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Guards against two owners, or none: calls that are out end once, told waits and bans go on, an old
/// connection is answered, a drained sender stays drained, and the old process ends by itself.
#[tokio::test]
async fn a_new_process_goes_on_where_the_old_one_was() {
    let (mut endpoint, mut banned, platform) =
        (Peer::start().await, Peer::start().await, Platform::start().await);
    let members = [
        member("s-1", endpoint.address, "single", "SERVING"),
        member("s-2", banned.address, "single", "SERVING"),
    ];
    let mut old = Node::start(&platform, &members).await;
    assert_eq!(old.staff("exclude s-2").await, "done\n");
    assert_eq!(old.hand_in("out", "unsafe", "").await.status(), 202);
    let out = endpoint.call().await;
    assert_eq!(old.hand_in("told", "unsafe", "").await.status(), 202);
    let told = Instant::now();
    endpoint.call().await.reply(answer("429 Too Many Requests", "Retry-After: 1.5\r\n", ""));
    let mut client = TcpStream::connect(old.address).await.unwrap();
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    client.write_all(ready).await.unwrap();
    assert_eq!(Http::read(&mut client).await.unwrap().status(), 200);
    assert_eq!(old.staff("evacuate").await, "done\n");
    let mut new = old.beside();
    new.begin().await;
    assert_eq!(new.address, old.address);
    assert!(old.staff("readyz").await.starts_with("error "), "the old process serves no more");
    assert_eq!(new.request("GET /-/ready", "", b"").await.status(), 503, "the drain was forgotten");
    assert_eq!(old.staff("activate").await, "done\n", "passed on");
    assert_eq!(new.request("GET /-/ready", "", b"").await.status(), 200);
    let head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: late\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\n\
                X-Envelope: dest=7\r\nContent-Length: 4\r\n\r\nlate";
    client.write_all(head.as_bytes()).await.unwrap();
    let taken = Http::read(&mut client).await.unwrap();
    assert_eq!((taken.status(), taken.header("connection")), (202, Some("close")));
    out.ok();
    assert!(old.ends_well().await);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.call().await;
        assert!(told.elapsed() >= Duration::from_millis(1500), "{:?}: a told wait broken", told.elapsed());
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["late", "told"]);
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "a message went out after its end");
    assert!(banned.quiet(Duration::from_millis(10)).await, "the upgrade ended a ban");
    // And once more, with the one that took over; what is done by then stays done.
    assert_eq!(new.hand_in("last", "unsafe", "").await.status(), 202);
    let last = endpoint.call().await;
    let mut newest = new.beside();
    newest.begin().await;
    last.ok();
    assert!(new.ends_well().await);
    newest.kill();
    newest.begin().await;
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "a delivered message went out again");
}

/// Guards against a connection that is reset or left unread while two processes share the address.
#[tokio::test]
async fn no_client_meets_a_closed_door() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let answering = tokio::spawn(async move {
        loop {
            endpoint.call().await.ok();
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
                let answer = timeout(PATIENCE, Http::read(&mut stream)).await.unwrap();
                // Full or taken on: read in any case.
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
        let mut new = running.beside();
        new.begin().await;
        assert!(running.ends_well().await);
        running = new;
    }
    for client in clients {
        assert!(client.await.unwrap() > 0);
    }
    answering.abort();
}

/// Guards against an upgrade that hangs or loses something because the old process does: killed with a call out,
/// or silent until it is killed. What may have run is not repeated, and the rest goes out.
#[tokio::test]
async fn an_old_process_that_dies_or_hangs_is_replaced() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let mut old = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(old.hand_in("m1", "unsafe", "").await.status(), 202);
    let out = endpoint.call().await;
    let mut new = old.beside();
    new.begin().await;
    old.kill();
    drop(out);
    assert_eq!(platform.notice().await["id"], "m1");
    assert_eq!(new.hand_in("m2", "keyed", "").await.status(), 202);
    let out = endpoint.call().await;
    new.stop();
    let mut newest = new.beside();
    let killing = async {
        sleep(Duration::from_millis(700)).await;
        new.kill();
        drop(out);
    };
    tokio::join!(newest.begin(), killing);
    let call = endpoint.call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
}

/// Guards against a caller at the handover socket that goes away, or talks nonsense: the process goes on.
#[tokio::test]
async fn a_handover_that_breaks_off_changes_nothing() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let socket = node.journal().with_file_name("handover.sock");
    // A whole hello: four bytes of length, the variant, the version. Then nothing, or the end.
    for (n, (sent, hold)) in
        [(&[2, 0, 0, 0, 0, 1][..], 1300), (&[2, 0, 0, 0, 0, 1], 0), (&[255; 40], 0), (&[], 0)]
            .iter()
            .enumerate()
    {
        let mut stream = tokio::net::UnixStream::connect(&socket).await.unwrap();
        stream.write_all(sent).await.unwrap();
        sleep(Duration::from_millis(*hold)).await;
        let _ = timeout(Duration::from_millis(50), stream.read(&mut [0; 64])).await;
        drop(stream);
        let id = format!("m{n}");
        assert_eq!(node.hand_in(&id, "unsafe", "").await.status(), 202);
        let call = endpoint.call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
    assert_eq!(node.staff("readyz").await, "done\n");
}

/// Guards against two attempts of a message at once where upgrades follow each other closely: a third process takes
/// over only when the first one's calls have ended, and a message goes out once.
#[tokio::test]
async fn upgrades_follow_each_other_one_at_a_time() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut first = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(first.hand_in("out", "keyed", "").await.status(), 202);
    let out = endpoint.call().await;
    let mut second = first.beside();
    second.begin().await;
    let mut third = second.beside();
    let finishing = async {
        assert!(endpoint.quiet(Duration::from_millis(700)).await, "two attempts of one message");
        assert_eq!(second.staff("readyz").await, "done\n", "handed over while calls were out elsewhere");
        out.ok();
        assert!(first.ends_well().await);
    };
    tokio::join!(third.begin(), finishing);
    assert!(second.ends_well().await);
    assert!(endpoint.quiet(Duration::from_millis(500)).await, "a delivered message went out again");
}

use super::*;
use http_body_util::BodyExt;
use hyper::StatusCode;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as Blocking};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn post(to: SocketAddr) -> Builder {
    request(Method::POST, "/hook", to)
}

/// A connection, the peer's end of it, and a second handle on ours, to see what the system holds for it.
async fn pair() -> (Connection, Blocking, Blocking, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ours = Blocking::connect(address).unwrap();
    let (peer, _) = listener.accept().unwrap();
    peer.set_read_timeout(Some(PATIENCE)).unwrap();
    let seen = ours.try_clone().unwrap();
    ours.set_nonblocking(true).unwrap();
    let stream = TcpStream::from_std(ours).unwrap();
    (Connection::over(stream).await.unwrap(), peer, seen, address)
}

/// Reads one request whole, on a thread of its own, and answers it.
fn answer_one(mut peer: Blocking) -> std::thread::JoinHandle<Blocking> {
    std::thread::spawn(move || {
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\nwhole") {
            let mut piece = [0; 512];
            let read = peer.read(&mut piece).unwrap();
            assert!(read > 0, "no whole request");
            got.extend_from_slice(&piece[..read]);
        }
        peer.write_all(ANSWER).unwrap();
        peer
    })
}

/// A connection that has carried one call, and its peer.
async fn used() -> (Connection, Blocking, Blocking) {
    let (mut connection, peer, seen, address) = pair().await;
    let answering = answer_one(peer);
    let answer = timeout(PATIENCE, connection.send(post(address), "whole".into())).await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    answer.into_body().collect().await.unwrap();
    let peer = tokio::task::spawn_blocking(|| answering.join().unwrap()).await.unwrap();
    (connection, peer, seen)
}

/// Waits until the system holds what the peer did for us. It blocks, so that the runtime cannot look at its own
/// sockets meanwhile: the next call meets bytes that nobody has seen.
fn arrived(seen: &Blocking) {
    let began = std::time::Instant::now();
    // An error is a reset, and that has arrived too.
    while matches!(seen.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
        assert!(began.elapsed() < PATIENCE);
        std::thread::yield_now();
    }
}

/// Guards against reading a surplus answer, or stray bytes, on an idle connection as the answer to the next call:
/// the message would count as delivered though nobody has read it.
#[tokio::test]
async fn bytes_on_an_idle_connection_answer_no_call() {
    for stray in [ANSWER, b"HTTP/1.1 200 OK\r\n", b"x"] {
        let (mut connection, mut peer, seen) = used().await;
        peer.write_all(stray).unwrap();
        arrived(&seen);
        let address = peer.local_addr().unwrap();
        let answer = timeout(PATIENCE, connection.send(post(address), "whole".into())).await.unwrap();
        assert!(matches!(answer, Err(CallError::Stale(_))), "{answer:?}");
        drop((connection, seen));
        // Either end of it is an end: a close over unread bytes may come as a reset.
        assert_eq!(peer.read(&mut [0; 512]).unwrap_or(0), 0, "something went out");
    }
}

/// Guards against a call on a connection that its peer has closed or reset meanwhile: nothing goes out, so that it
/// is known for certain that the call never ran. The other order is `a_break_after_the_last_byte_is_known`.
#[tokio::test]
async fn a_connection_closed_in_the_moment_of_its_next_call_is_stale() {
    for reset in [false, true] {
        let (mut connection, peer, seen) = used().await;
        let address = peer.local_addr().unwrap();
        if reset {
            SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(peer);
        arrived(&seen);
        let answer = timeout(PATIENCE, connection.send(post(address), "whole".into())).await.unwrap();
        assert!(matches!(answer, Err(CallError::Stale(_))), "reset {reset}: {answer:?}");
        assert!(!connection.request_written());
    }
}

/// Guards against an exchange that fails for a kept connection's sake: it goes to a new one, once.
#[tokio::test]
async fn an_exchange_goes_past_a_stale_connection() {
    let (connection, peer, seen) = used().await;
    let address = peer.local_addr().unwrap();
    drop(peer);
    arrived(&seen);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let new = listener.local_addr().unwrap();
    assert_ne!(new, address);
    let answering = std::thread::spawn(move || answer_one(listener.accept().unwrap().0).join().unwrap());
    let done = Connection::exchange(Some(connection), new, PATIENCE, || post(new), "whole".into());
    let (_, answer) = timeout(PATIENCE, done).await.unwrap().unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    answering.join().unwrap();
}

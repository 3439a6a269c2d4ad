use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

fn post(to: SocketAddr) -> Builder {
    request(Method::POST, HOOK, to)
}

/// Guards against taking a call for one that may have run though its last byte was never written: the
/// peer takes some of a body that no buffer on the way holds whole, and breaks off.
#[tokio::test]
async fn a_break_before_the_last_byte_is_known() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 100]).await.unwrap();
    };
    let mut connection = Connection::open(address, Duration::from_secs(20)).await.unwrap();
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    let (answer, ()) = tokio::join!(connection.send(post(address), body), peer);
    assert!(matches!(answer, Err(CallError::Unsent(_))), "{answer:?}");
}

/// Guards against the opposite: read whole and then broken off, it may have run, also where the
/// connection had carried a call before.
#[tokio::test]
async fn a_break_after_the_last_byte_is_known() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut got = Vec::new();
        for answer in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
            while !got.ends_with(b"\r\n\r\nwhole") {
                stream.read_buf(&mut got).await.unwrap();
            }
            got.clear();
            stream.write_all(answer).await.unwrap();
        }
    };
    let calls = async {
        let mut connection = Connection::open(address, Duration::from_secs(20)).await.unwrap();
        let first = connection.send(post(address), "whole".into()).await;
        assert!(first.unwrap().into_body().collect().await.is_ok());
        connection.send(post(address), "whole".into()).await
    };
    let (second, ()) = tokio::join!(calls, peer);
    assert!(matches!(second, Err(CallError::Reset(_))), "{second:?}");
}

/// Guards against taking a full table of connections for a refusal by the partner behind it: only a new
/// connection can find no room.
#[tokio::test]
async fn a_new_connection_that_is_turned_away_found_no_room() {
    let full = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let busy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let cases = [(full, true, Outcome::NoRoom), (busy, true, Outcome::Full(None))];
    for (answer, fresh, outcome) in cases.into_iter().chain([(full, false, Outcome::Full(None))]) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_whole(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
        };
        let kept = match fresh {
            true => None,
            false => Some(Connection::open(address, Duration::from_secs(20)).await.unwrap()),
        };
        let (((called, _), ..), ()) =
            within(async { tokio::join!(made(call_to(address, "whole"), kept), peer) }).await;
        assert_eq!(called.ends, [(1, outcome, false)], "new: {fresh}, {answer}");
    }
}

/// Guards against handing out a connection that has been idle for longer than others lived.
#[tokio::test]
async fn a_connection_idle_for_too_long_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut pool = Pool::new(Duration::from_secs(60));
    (0..20).for_each(|_| pool.learn(Some(Duration::from_millis(60)), true));
    pool.put(address, Connection::open(address, Duration::from_secs(20)).await.unwrap());
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(pool.take(address).is_none());
    let (mut stream, _) = listener.accept().await.unwrap();
    assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "closed");
}

/// A call with one message, due in 20 s.
fn call_to(address: SocketAddr, body: impl Into<Bytes>) -> Call {
    Call {
        number: 1,
        endpoint: EndpointId(0),
        address,
        parcels: vec![Parcel { number: 1, id: "m1".to_owned(), idempotency_key: None, body: body.into() }],
        expires: Instant::now() + Duration::from_secs(20),
        connect_timeout: Duration::from_secs(20),
    }
}

/// A call that goes wrong must fail its test, also where a peer still waits for it.
async fn within<T>(all: impl Future<Output = T>) -> T {
    timeout(Duration::from_secs(20), all).await.expect("an end of all")
}

/// Makes a call that may go out whenever it asks: how it ended and when that was told, how often it asked, whether its connection is kept.
async fn made(call: Call, kept: Option<Connection>) -> ((Called, Instant), usize, bool) {
    let (to_host, mut host) = tokio::sync::mpsc::unbounded_channel();
    let (_call_off, called_off) = oneshot::channel();
    let kept = kept.map(|connection| (connection, Duration::from_millis(5)));
    let hosting = async {
        let (mut ended, mut asked) = (None, 0);
        while let Some(input) = host.recv().await {
            match input {
                Input::Connected { may_begin, .. } => {
                    asked += 1;
                    let _ = may_begin.send(true);
                }
                Input::Called(called) => {
                    assert!(ended.replace((called, Instant::now())).is_none(), "one end")
                }
                _ => panic!("neither asked nor ended"),
            }
        }
        (ended.expect("an end"), asked)
    };
    let making = async {
        let connection =
            call.run(kept, ReportFields { left: false, limit: false }, called_off, &to_host).await;
        drop(to_host);
        connection.is_some()
    };
    let (kept, (called, asked)) = within(async { tokio::join!(making, hosting) }).await;
    (called, asked, kept)
}

async fn read_whole(stream: &mut tokio::net::TcpStream) {
    let mut got = Vec::new();
    while !got.ends_with(b"whole") {
        assert!(stream.read_buf(&mut got).await.unwrap() > 0, "no whole request");
    }
}

/// Guards against a message that loses a try, or its only one, to a connection that its endpoint closed in the
/// moment in which it was taken: nothing went out, and the call is made on a new one.
#[tokio::test]
async fn a_call_goes_past_a_connection_that_closes_as_it_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut kept = Connection::open(address, Duration::from_secs(20)).await.unwrap();
    let (mut first, _) = listener.accept().await.unwrap();
    let peer = async {
        read_whole(&mut first).await;
        first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    };
    let (answer, ()) = tokio::join!(kept.send(post(address), "whole".into()), peer);
    answer.unwrap().into_body().collect().await.unwrap();
    assert!(kept.is_alive().await);
    // No turn of the runtime lies between the close and the call.
    drop(first.into_std().unwrap());
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_whole(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        stream
    };
    let (((called, _), asked, kept), _stream) =
        within(async { tokio::join!(made(call_to(address, "whole"), Some(kept)), peer) }).await;
    assert_eq!((called.ends, asked, kept), (vec![(1, Outcome::Success, true)], 1, true));
    assert_eq!(called.idle, None, "it went out on a new connection");
}

/// Guards against a second copy: an answer with a bad status whose body never ends still holds its call, so that the
/// connection is closed before the message can go out again. So is one that never ends after a 200, which counts.
#[tokio::test]
async fn an_answer_that_never_ends_is_closed_before_its_call_has_ended() {
    let cases = [
        ("500 Internal Server Error", Outcome::Failure, false),
        ("503 Service Unavailable", Outcome::Full(None), false),
        ("429 Too Many Requests\r\nRetry-After: 0.5", Outcome::Full(Some(Span(500_000))), false),
        ("200 OK", Outcome::Success, true),
    ];
    for (status, outcome, over) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (closed, seen_closed) = oneshot::channel();
        let peer = async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_whole(&mut stream).await;
            let began = Instant::now();
            stream
                .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 9\r\n\r\nhal").as_bytes())
                .await
                .unwrap();
            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
            let _ = closed.send(began.elapsed());
        };
        let (((called, told), _, kept), ()) =
            within(async { tokio::join!(made(call_to(address, "whole"), None), peer) }).await;
        assert_eq!((called.ends, kept), (vec![(1, outcome, over)], false), "{status}");
        let held = seen_closed.await.unwrap();
        assert!(held < Duration::from_secs(5), "{status}: open for {held:?}");
        // The end was told only with the close, and a wait runs from when the answer came.
        assert!(told - called.at >= REST_PATIENCE, "{status}: told after {:?}", told - called.at);
    }
}

/// Guards against taking a 200 for this call's that came before its last byte was written: no call has begun then.
#[tokio::test]
async fn an_answer_before_the_last_byte_delivers_nothing() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 100]).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        stream
    };
    let (((called, _), _, kept), _stream) =
        within(async { tokio::join!(made(call_to(address, vec![b'x'; 64 << 20]), None), peer) }).await;
    assert_eq!((called.ends, kept), (vec![(1, Outcome::ConnectFailed, false)], false));
}

/// Guards against reading half a status line as anything: behind it an end or a reset is a reset that may have run,
/// silence is a time-out, and no such connection carries another call.
#[tokio::test]
async fn half_a_status_line_is_no_answer() {
    let (end, reset, silence) = (Outcome::Reset, Outcome::Reset, Outcome::TimedOut);
    for (n, outcome) in [end, reset, silence].into_iter().enumerate() {
        for half in ["H", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Le"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let peer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_whole(&mut stream).await;
                stream.write_all(half.as_bytes()).await.unwrap();
                match n {
                    0 => drop(stream),
                    1 => {
                        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                        drop(stream);
                    }
                    // Until the call has been given up.
                    _ => assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0),
                }
            };
            let patience = if n == 2 { Duration::from_millis(300) } else { Duration::from_secs(20) };
            let call = Call { expires: Instant::now() + patience, ..call_to(address, "whole") };
            let (((called, _), _, kept), ()) = within(async { tokio::join!(made(call, None), peer) }).await;
            assert_eq!((called.ends, kept), (vec![(1, outcome, false)], false), "{half:?}, {n}");
        }
    }
}

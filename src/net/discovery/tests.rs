use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const BROKEN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[{\"ok";

/// Guards against a hundred senders that retry at a busy agent every 50 ms (800 calls a second in short runs at full
/// size, where most senders never succeeded): the backoff grows with each kind of failure.
#[tokio::test]
async fn calls_to_a_failing_agent_back_off() {
    for answer in [BUSY, BROKEN, ""] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_move, address) = watch::channel(listener.local_addr().unwrap());
        let (host, mut received) = unbounded_channel();
        let watching =
            tokio::spawn(watch(address, 7, Pauses::new(1, 1, Duration::from_secs(5)), host, Arc::default()));
        let mut calls = 0;
        let _ = timeout(Duration::from_secs(2), async {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut got = Vec::new();
                while !got.ends_with(b"\r\n\r\n") && stream.read_buf(&mut got).await.unwrap() > 0 {}
                stream.write_all(answer.as_bytes()).await.unwrap();
                calls += 1;
            }
        })
        .await;
        assert!((2..=10).contains(&calls), "{calls} calls in two seconds answered {answer:?}");
        assert!(received.try_recv().is_err(), "the last good list stays");
        watching.abort();
    }
}

/// Guards against senders that are rejected together and then all retry at the same time.
#[test]
fn backoff_grows_to_its_cap_with_jitter() {
    for (senders, first) in [(1, MIN_BACKOFF), (20, Duration::from_secs(1))] {
        let most = Duration::from_secs(9);
        let all: Vec<Vec<Duration>> = (0..50)
            .map(|seed| {
                let mut pauses = Pauses::new(seed, senders, most);
                (0..9).map(|_| pauses.again()).collect()
            })
            .collect();
        for turn in 0..9 {
            let full = (first * 2u32.pow(turn)).min(most * 2 / 3);
            let mut at: Vec<Duration> = all.iter().map(|pauses| pauses[turn as usize]).collect();
            at.sort();
            assert!(at[0] >= full / 2 && at[49] <= most && at[49] <= full * 3 / 2, "{at:?}");
            assert!(at[49] - at[0] > full / 2, "apart: {at:?}");
        }
        let mut pauses = Pauses::new(1, senders, most);
        assert!((0..9).map(|_| pauses.again()).max() > Some(most / 4));
        pauses.start_over();
        assert!(pauses.again() <= first * 3 / 2, "short again after an answer");
    }
}

/// Guards against a fleet that starts together and calls the agent at the same time (in short runs at full size the
/// first 38 of a hundred senders were served, and none of the others for half a minute).
#[tokio::test]
async fn senders_that_start_together_spread_their_first_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_move, address) = watch::channel(listener.local_addr().unwrap());
    let (host, _received) = unbounded_channel();
    let began = std::time::Instant::now();
    for seed in 0..40 {
        let pauses = Pauses::new(seed, 40, Duration::from_secs(9));
        tokio::spawn(watch(address.clone(), 7, pauses, host.clone(), Arc::default()));
    }
    let mut calls = Vec::new();
    while calls.len() < 40 {
        // Kept open without an answer, so that no sender calls twice meanwhile.
        let (stream, _) = timeout(Duration::from_secs(20), listener.accept()).await.unwrap().unwrap();
        calls.push((began.elapsed(), stream));
    }
    let (early, late) = (calls[9].0, calls[39].0);
    assert!(late > Duration::from_millis(1000), "over two seconds: {late:?}");
    assert!(early > Duration::from_millis(100), "not at once: ten had called after {early:?}");
}

/// Reads one request for the list.
async fn read_request(stream: &mut tokio::net::TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut got).await.unwrap() > 0, "no request");
    }
    String::from_utf8(got).unwrap()
}

/// An answer with a complete, empty list of that revision.
fn list(revision: u64) -> String {
    let list = format!(r#"{{"revision":{revision},"complete":true,"members":[]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
}

/// Guards against a sender of a large fleet that waits too long after its watch got no answer: changes missed by the
/// watch count as delivered 2 s after its time limit, and the usual backoff of a large fleet is longer. The agent is
/// silent from the start, or stops in the middle of an answer.
#[tokio::test(start_paused = true)]
async fn an_unanswered_watch_is_retried_in_time_at_any_fleet_size() {
    for said in ["", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\""] {
        for senders in [1, 300, 3000] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_move, address) = watch::channel(listener.local_addr().unwrap());
            let (host, mut received) = unbounded_channel();
            let pauses = Pauses::new(senders as u64, senders, Duration::from_secs(10));
            let watching = tokio::spawn(watch(address, 7, pauses, host, Arc::default()));
            let (mut silent, _) = listener.accept().await.unwrap();
            read_request(&mut silent).await;
            let began = Instant::now();
            silent.write_all(said.as_bytes()).await.unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.write_all(list(8).as_bytes()).await.unwrap();
            assert!(matches!(received.recv().await, Some(Input::Targets(targets)) if targets.revision == 8));
            let took = began.elapsed();
            assert!(took < HOLD + Duration::from_millis(1500), "{senders} senders: {took:?}");
            watching.abort();
        }
    }
}

/// Guards against a sender of a large fleet that backs off for too long after discovery has moved: all senders call the
/// new address at once, some are rejected, and changes count as delivered to all of them 4 s later.
#[tokio::test(start_paused = true)]
async fn a_busy_agent_at_a_new_address_is_retried_in_time() {
    for senders in [1, 300, 3000] {
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (moves, address) = watch::channel(old.local_addr().unwrap());
        let (host, mut received) = unbounded_channel();
        let pauses = Pauses::new(senders as u64, senders, Duration::from_secs(10));
        let watching = tokio::spawn(watch(address, 7, pauses, host, Arc::default()));
        let (mut before, _) = old.accept().await.unwrap();
        read_request(&mut before).await;
        let began = Instant::now();
        moves.send_replace(new.local_addr().unwrap());
        let (mut busy, _) = new.accept().await.unwrap();
        read_request(&mut busy).await;
        busy.write_all(BUSY.as_bytes()).await.unwrap();
        let (mut stream, _) = new.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(list(8).as_bytes()).await.unwrap();
        assert!(received.recv().await.is_some());
        let took = began.elapsed();
        assert!(took < Duration::from_secs(2), "{senders} senders: {took:?}");
        watching.abort();
    }
}

/// Guards against a watch from a revision that the service doesn't know: a restarted service counts from a lower
/// revision, which the sender adopts. A truncated answer is requested again from the last complete one.
#[tokio::test(start_paused = true)]
async fn the_watch_continues_from_the_last_complete_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_move, address) = watch::channel(listener.local_addr().unwrap());
    let (host, mut received) = unbounded_channel();
    tokio::spawn(watch(address, 7, Pauses::new(1, 1, Duration::from_secs(10)), host, Arc::default()));
    // Complete; truncated; from a service that restarted its revisions.
    let cut = list(9);
    let answers = [list(8), cut[..cut.len() - 9].to_owned(), list(3), String::new()];
    for (text, from) in answers.iter().zip([7, 8, 8, 3]) {
        let (mut stream, _) = listener.accept().await.unwrap();
        let first = read_request(&mut stream).await;
        assert!(first.starts_with(&format!("GET /api/targets?from={from}&")), "{first}");
        // Each answer closes its connection: the next call arrives on a new one.
        stream.write_all(text.as_bytes()).await.unwrap();
    }
    let revisions = [received.recv().await, received.recv().await].map(|input| match input {
        Some(Input::Targets(targets)) => targets.revision,
        _ => 0,
    });
    assert_eq!(revisions, [8, 3]);
}

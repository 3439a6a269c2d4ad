//! Calls and pushes over loopback sockets.

#[path = "../../../tests/common/outgoing_ports.rs"]
mod outgoing_ports;
mod samples;

use byte_mutation::mutated;
use fleet_model::{Answer, Ballot, Call, Frame, ListVersion, Push};
use googletest::prelude::*;
use outgoing_ports::{OWN_PORT_TIMEOUT, sockets_with_port};
use peer_wire::{
    CallFailure, CallLimits, HELLO_LEN, Handler, PeerClient, PeerServer, Pusher, decode, encode,
};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::Instant;

const FLEET: u16 = 12;

/// Far longer than any call here takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers `Inspect` with the topic; a topic that starts with `blocked` only after its release.
#[derive(Default)]
struct Echo {
    blocked_calls: Cell<usize>,
    call_blocked: Notify,
    release: Notify,
    callers: RefCell<Vec<SocketAddr>>,
    pushers: RefCell<Vec<Pusher>>,
}

impl Handler for Echo {
    async fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        self.callers.borrow_mut().push(from);
        match call {
            Call::Inspect { topic } => {
                if topic.starts_with("blocked") {
                    self.blocked_calls.set(self.blocked_calls.get() + 1);
                    self.call_blocked.notify_one();
                    self.release.notified().await;
                }
                Answer::View(topic)
            }
            Call::Subscribe { .. } => {
                pusher.try_push(&Push::Heartbeat { age_ms: 0, proxies: 0 });
                self.pushers.borrow_mut().push(pusher);
                Answer::Done
            }
            Call::ReadChain { .. } => {
                Answer::Chain { text: vec![1; 17 << 20].into(), missing: None, served_by: None }
            }
            _ => Answer::NotReady,
        }
    }
}

/// A busy machine may take long to connect.
fn limits() -> CallLimits {
    CallLimits { connect_timeout: LONG_TIMEOUT, ..CallLimits::default() }
}

struct EchoServer {
    echo: Rc<Echo>,
    server: PeerServer<Echo>,
    address: SocketAddrV4,
    task: JoinHandle<()>,
}

async fn listen(address: SocketAddrV4) -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind(address).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    (listener, address)
}

async fn serve_at(address: SocketAddrV4) -> EchoServer {
    let (listener, address) = listen(address).await;
    let echo = Rc::new(Echo::default());
    let server = PeerServer::new(FLEET, echo.clone());
    let task = spawn_local({
        let server = server.clone();
        async move { server.serve(listener).await }
    });
    EchoServer { echo, server, address, task }
}

async fn serve() -> EchoServer {
    serve_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await
}

impl EchoServer {
    fn client(&self) -> PeerClient {
        PeerClient::with_limits(self.address, FLEET, None, limits())
    }

    async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

fn inspect(topic: &str) -> Call {
    Call::Inspect { topic: topic.into() }
}

fn subscribe() -> Call {
    let (value, list) = (Ballot::default(), ListVersion::default());
    Call::Subscribe { ip: Ipv4Addr::LOCALHOST, zone: "a".into(), urgent: false, value, list }
}

fn view(topic: &str) -> Answer {
    Answer::View(topic.into())
}

fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn concurrent_calls_share_one_connection_and_each_gets_its_own_answer() {
    local(async {
        let peer = serve().await;
        let client = peer.client();
        let calls: Vec<_> = (0..1000)
            .map(|number| {
                let client = client.clone();
                spawn_local(async move { client.call(inspect(&number.to_string()), LONG_TIMEOUT).await })
            })
            .collect();

        for (number, call) in calls.into_iter().enumerate() {
            assert_that!(call.await.unwrap(), ok(eq(&view(&number.to_string()))));
        }
        let callers = peer.echo.callers.borrow();
        assert_that!(callers.len(), eq(1000));
        assert!(callers.iter().all(|caller| *caller == callers[0]), "more than one connection");
    });
}

#[test]
fn a_slow_call_does_not_block_a_later_one() {
    local(async {
        let peer = serve().await;
        let client = peer.client();
        let first = spawn_local({
            let client = client.clone();
            async move { client.call(inspect("blocked"), LONG_TIMEOUT).await }
        });
        peer.echo.call_blocked.notified().await;

        assert_that!(client.call(inspect("quick"), LONG_TIMEOUT).await, ok(eq(&view("quick"))));
        assert!(!first.is_finished());
        peer.echo.release.notify_one();
        assert_that!(first.await.unwrap(), ok(eq(&view("blocked"))));
    });
}

#[test]
fn the_late_answer_of_a_timed_out_call_reaches_no_other_call() {
    local(async {
        let peer = serve().await;
        let limits = CallLimits { silence_timeout: LONG_TIMEOUT, ..limits() };
        let client = PeerClient::with_limits(peer.address, FLEET, None, limits);
        client.call(inspect("open"), LONG_TIMEOUT).await.unwrap();
        let late = client.call(inspect("blocked"), Duration::from_millis(20)).await;
        assert_that!(late, err(eq(&CallFailure::TimedOut)));

        peer.echo.release.notify_one();
        assert_that!(client.call(inspect("next"), LONG_TIMEOUT).await, ok(eq(&view("next"))));
    });
}

#[test]
fn connections_are_bound_to_the_given_local_address() {
    local(async {
        let peer = serve().await;
        let local = Ipv4Addr::new(127, 0, 0, 9);
        let client = PeerClient::with_limits(peer.address, FLEET, Some(local), limits());
        client.call(inspect("x"), LONG_TIMEOUT).await.unwrap();
        assert_that!(peer.echo.callers.borrow()[0].ip(), eq(local));
    });
}

#[test]
fn calls_fail_as_unreachable_without_a_connection_attempt_during_backoff() {
    local(async {
        let (listener, address) = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await;
        drop(listener);
        let limits = CallLimits { initial_backoff: LONG_TIMEOUT, max_backoff: LONG_TIMEOUT, ..limits() };
        let client = PeerClient::with_limits(address, FLEET, None, limits);
        assert_that!(client.call(inspect("x"), LONG_TIMEOUT).await, err(eq(&CallFailure::Unreachable)));

        let peer = serve_at(address).await;
        assert_that!(client.call(inspect("x"), LONG_TIMEOUT).await, err(eq(&CallFailure::Unreachable)));
        assert_that!(peer.client().call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&view("x"))));
    });
}

#[test]
fn a_lost_in_flight_call_is_distinguished_from_an_unreachable_peer() {
    local(async {
        let peer = serve().await;
        let client = peer.client();
        let in_flight = spawn_local({
            let client = client.clone();
            async move { client.call(inspect("blocked"), LONG_TIMEOUT).await }
        });
        peer.echo.call_blocked.notified().await;
        let address = peer.address;
        peer.stop().await;

        assert_that!(in_flight.await.unwrap(), err(eq(&CallFailure::Lost)));
        assert_that!(client.call(inspect("x"), LONG_TIMEOUT).await, err(eq(&CallFailure::Unreachable)));

        let _back = serve_at(address).await;
        // Fails at once while the pause lasts, so that this ends.
        let mut failures = vec![];
        let answer = loop {
            match client.call(inspect("again"), LONG_TIMEOUT).await {
                Ok(answer) => break answer,
                Err(failure) => failures.push(failure),
            }
            tokio::task::yield_now().await;
        };
        assert_that!(answer, eq(&view("again")));
        assert_that!(failures, each(eq(&CallFailure::Unreachable)));
    });
}

#[test]
fn an_unresponsive_connection_is_closed_and_the_next_call_opens_another() {
    local(async {
        let (listener, address) = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await;
        let (accepted, mut connections) = mpsc::unbounded_channel();
        spawn_local(async move {
            loop {
                // Sends the same hello and answers one call, and then sends nothing.
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut hello = [0; HELLO_LEN];
                stream.read_exact(&mut hello).await.unwrap();
                stream.write_all(&hello).await.unwrap();
                let len = stream.read_u32().await.unwrap();
                let mut call = vec![0; len as usize];
                stream.read_exact(&mut call).await.unwrap();
                // Under the call's own number: those of one client rise over all of its connections.
                let Ok(Frame::Call(number, _)) = decode(&call) else { panic!("no call") };
                let answer = encode(&Frame::Answer(number, Answer::Done)).unwrap();
                stream.write_u32(answer.len() as u32).await.unwrap();
                stream.write_all(&answer).await.unwrap();
                accepted.send(stream).unwrap();
            }
        });
        let limits = CallLimits { silence_timeout: Duration::from_millis(60), ..limits() };
        let client = PeerClient::with_limits(address, FLEET, None, limits);
        assert_that!(client.call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&Answer::Done)));
        let mut first = connections.recv().await.unwrap();
        let short = client.call(inspect("x"), Duration::from_millis(5)).await;
        assert_that!(short, err(eq(&CallFailure::TimedOut)));

        // Closed without any further call.
        let mut rest = vec![];
        first.read_to_end(&mut rest).await.unwrap();
        assert_that!(client.call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&Answer::Done)));
        assert!(connections.recv().await.is_some());
    });
}

#[test]
fn pushes_arrive_in_order_and_both_sides_notice_the_end() {
    local(async {
        let peer = serve().await;
        let (answer, mut pushes) = peer.client().subscribe(subscribe(), LONG_TIMEOUT).await.unwrap();
        assert_that!(answer, eq(&Answer::Done));
        let pusher = peer.echo.pushers.borrow()[0].clone();
        for age_ms in 1..200 {
            assert!(pusher.try_push(&Push::Heartbeat { age_ms, proxies: 1 }));
        }
        // The first was pushed before the answer.
        for age in 0..200 {
            let push = pushes.next().await;
            assert!(
                matches!(push, Some(Push::Heartbeat { age_ms, .. }) if age_ms == age),
                "{push:?} after {age}"
            );
        }

        assert!(!pusher.is_closed());
        drop(pushes);
        pusher.closed().await;
        assert!(!pusher.try_push(&Push::Heartbeat { age_ms: 0, proxies: 0 }));

        let (_, mut pushes) = peer.client().subscribe(subscribe(), LONG_TIMEOUT).await.unwrap();
        assert!(pushes.next().await.is_some());
        peer.stop().await;
        assert_that!(pushes.next().await, none());
    });
}

#[test]
fn a_subscriber_that_does_not_read_fills_its_queue_only() {
    local(async {
        let peer = serve().await;
        let (_, _pushes) = peer.client().subscribe(subscribe(), LONG_TIMEOUT).await.unwrap();
        let pusher = peer.echo.pushers.borrow()[0].clone();
        let heartbeat = Push::Heartbeat { age_ms: 0, proxies: 0 };
        let accepted = (0..100_000).take_while(|_| pusher.try_push(&heartbeat)).count();
        assert_that!(accepted, all![gt(100), lt(100_000)]);
        assert_that!(peer.client().call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&view("x"))));
    });
}

#[test]
fn an_answer_too_long_for_a_frame_becomes_not_ready() {
    local(async {
        let peer = serve().await;
        let chain = Call::ReadChain { epoch: 1, attempt: "a".into() };
        assert_that!(peer.client().call(chain, LONG_TIMEOUT).await, ok(eq(&Answer::NotReady)));
    });
}

async fn send_and_receive(address: SocketAddrV4, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut received = vec![];
    // Reset where bytes were left unread.
    let _ = stream.read_to_end(&mut received).await;
    received
}

fn hello(fleet: u16) -> Vec<u8> {
    [b"MDpw".as_slice(), &1_u16.to_be_bytes(), &fleet.to_be_bytes()].concat()
}

#[test]
fn invalid_connections_are_rejected_and_counted() {
    local(async {
        let peer = serve().await;
        let invalid = [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            hello(FLEET + 1),
            [hello(FLEET), vec![0xff; 4]].concat(),
            [hello(FLEET), vec![0, 0, 0, 3, 1, 2, 3]].concat(),
            vec![],
        ];
        for (bytes, count) in invalid.iter().zip(1..) {
            let received = send_and_receive(peer.address, bytes).await;
            assert!(received.is_empty() || received == hello(FLEET), "{received:?}");
            assert_that!(peer.server.rejected_connections(), eq(count));
        }

        let foreign_client = PeerClient::new(peer.address, FLEET + 1, None);
        assert_that!(
            foreign_client.call(inspect("x"), LONG_TIMEOUT).await,
            err(eq(&CallFailure::Unreachable))
        );
        let subscribed = foreign_client.subscribe(subscribe(), LONG_TIMEOUT).await;
        assert!(matches!(subscribed, Err(CallFailure::Unreachable)));
        assert_that!(peer.server.rejected_connections(), eq(7));
        assert_that!(peer.client().call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&view("x"))));
        assert_that!(peer.server.rejected_connections(), eq(7));
    });
}

#[test]
fn connections_that_send_other_frames_than_calls_are_rejected_and_counted() {
    local(async {
        let peer = serve().await;
        // Given changed frames that are no calls, and frames that are none.
        let samples: Vec<Vec<u8>> =
            samples::frames().iter().map(|frame| encode(frame).unwrap().to_vec()).collect();
        let strategy = mutated(samples.clone());
        let mut runner = TestRunner::deterministic();
        let mut invalid = samples;
        invalid.extend((0..300).map(|_| strategy.new_tree(&mut runner).unwrap().current()));
        invalid.retain(|bytes| !matches!(decode(bytes), Ok(Frame::Call(..))));
        assert_that!(invalid.len(), gt(200));
        // When they are sent after a hello, then each connection is closed and counted, and nothing is answered.
        for (bytes, count) in invalid.iter().zip(1..) {
            let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
            let received =
                send_and_receive(peer.address, &[&hello(FLEET)[..], &length, bytes].concat()).await;
            assert!(received.is_empty() || received == hello(FLEET), "{received:?}");
            assert_that!(peer.server.rejected_connections(), eq(count));
        }
        assert_that!(peer.client().call(inspect("x"), LONG_TIMEOUT).await, ok(eq(&view("x"))));
    });
}

#[test]
fn dropping_a_client_closes_its_connection() {
    local(async {
        let peer = serve().await;
        let client = peer.client();
        // With the connection, the handler keeps a pusher of it.
        client.call(subscribe(), LONG_TIMEOUT).await.unwrap();
        let pusher = peer.echo.pushers.borrow()[0].clone();
        assert!(!pusher.is_closed());
        drop(client);
        pusher.closed().await;
    });
}

#[test]
fn a_connection_to_a_peer_holds_the_port_of_a_listener_that_is_away() {
    local(async {
        let until = Instant::now() + OWN_PORT_TIMEOUT;
        // The kernel may give a connection of another program the same port: that one would hold it.
        while Instant::now() < until {
            // It begins its search at a port that depends on the peer's.
            let peer = serve().await;
            let client = peer.client();
            assert_that!(client.call(inspect("a"), LONG_TIMEOUT).await, ok(eq(&view("a"))));
            let from = *peer.echo.callers.borrow().last().unwrap();
            if sockets_with_port(from.port()) > 1 {
                continue;
            }
            assert_that!(TcpListener::bind(from).await, ok(anything()));
            assert_that!(client.call(inspect("b"), LONG_TIMEOUT).await, ok(eq(&view("b"))));
            return;
        }
        panic!("no connection had a port of its own");
    });
}

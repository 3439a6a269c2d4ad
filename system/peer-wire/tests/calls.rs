//! Calls and pushes over loopback sockets.

mod samples;

use byte_mutation::mutated;
use fleet_model::{Answer, Ballot, Call, Frame, ListVersion, Push};
use googletest::prelude::*;
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

const FLEET: u16 = 12;

/// Far more than any call here takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Answers `Inspect` with the topic, but after `hold` only once it was let go.
#[derive(Default)]
struct Echo {
    held: Cell<usize>,
    hold_came: Notify,
    let_go: Notify,
    callers: RefCell<Vec<SocketAddr>>,
    pushers: RefCell<Vec<Pusher>>,
}

impl Handler for Echo {
    async fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        self.callers.borrow_mut().push(from);
        match call {
            Call::Inspect { topic } => {
                if topic.starts_with("hold") {
                    self.held.set(self.held.get() + 1);
                    self.hold_came.notify_one();
                    self.let_go.notified().await;
                }
                Answer::View(topic)
            }
            Call::Subscribe { .. } => {
                pusher.try_push(&Push::Heartbeat { age_ms: 0, proxies: 0 });
                self.pushers.borrow_mut().push(pusher);
                Answer::Done
            }
            Call::ReadChain { .. } => Answer::Chain { text: vec![1; 17 << 20].into(), missing: None },
            _ => Answer::NotReady,
        }
    }
}

/// A busy machine may take long to connect.
fn limits() -> CallLimits {
    CallLimits { connect_timeout: PATIENCE, ..CallLimits::default() }
}

struct Served {
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

async fn serve_at(address: SocketAddrV4) -> Served {
    let (listener, address) = listen(address).await;
    let echo = Rc::new(Echo::default());
    let server = PeerServer::new(FLEET, echo.clone());
    let task = spawn_local({
        let server = server.clone();
        async move { server.serve(listener).await }
    });
    Served { echo, server, address, task }
}

async fn serve() -> Served {
    serve_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await
}

impl Served {
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

fn local(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, story);
}

#[test]
fn given_many_calls_at_once_when_answered_then_each_gets_its_own_over_one_connection() {
    local(async {
        let served = serve().await;
        let client = served.client();
        let calls: Vec<_> = (0..1000)
            .map(|number| {
                let client = client.clone();
                spawn_local(async move { client.call(inspect(&number.to_string()), PATIENCE).await })
            })
            .collect();

        for (number, call) in calls.into_iter().enumerate() {
            assert_that!(call.await.unwrap(), ok(eq(&view(&number.to_string()))));
        }
        let callers = served.echo.callers.borrow();
        assert_that!(callers.len(), eq(1000));
        assert!(callers.iter().all(|caller| *caller == callers[0]), "more than one connection");
    });
}

#[test]
fn given_a_call_that_lasts_when_another_comes_then_the_later_one_is_answered_first() {
    local(async {
        let served = serve().await;
        let client = served.client();
        let first = spawn_local({
            let client = client.clone();
            async move { client.call(inspect("hold"), PATIENCE).await }
        });
        served.echo.hold_came.notified().await;

        assert_that!(client.call(inspect("quick"), PATIENCE).await, ok(eq(&view("quick"))));
        assert!(!first.is_finished());
        served.echo.let_go.notify_one();
        assert_that!(first.await.unwrap(), ok(eq(&view("hold"))));
    });
}

#[test]
fn given_a_call_that_timed_out_when_its_answer_comes_then_no_other_call_gets_it() {
    local(async {
        let served = serve().await;
        let limits = CallLimits { silence_timeout: PATIENCE, ..limits() };
        let client = PeerClient::with_limits(served.address, FLEET, None, limits);
        client.call(inspect("open"), PATIENCE).await.unwrap();
        let late = client.call(inspect("hold"), Duration::from_millis(20)).await;
        assert_that!(late, err(eq(&CallFailure::TimedOut)));

        served.echo.let_go.notify_one();
        assert_that!(client.call(inspect("next"), PATIENCE).await, ok(eq(&view("next"))));
    });
}

#[test]
fn given_an_address_of_ones_own_when_calling_then_the_call_comes_from_it() {
    local(async {
        let served = serve().await;
        let local = Ipv4Addr::new(127, 0, 0, 9);
        let client = PeerClient::with_limits(served.address, FLEET, Some(local), limits());
        client.call(inspect("x"), PATIENCE).await.unwrap();
        assert_that!(served.echo.callers.borrow()[0].ip(), eq(local));
    });
}

#[test]
fn given_nobody_listens_when_called_then_it_is_unreachable_and_in_the_pause_nothing_is_tried() {
    local(async {
        let (listener, address) = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await;
        drop(listener);
        let limits = CallLimits { initial_backoff: PATIENCE, max_backoff: PATIENCE, ..limits() };
        let client = PeerClient::with_limits(address, FLEET, None, limits);
        assert_that!(client.call(inspect("x"), PATIENCE).await, err(eq(&CallFailure::Unreachable)));

        let served = serve_at(address).await;
        assert_that!(client.call(inspect("x"), PATIENCE).await, err(eq(&CallFailure::Unreachable)));
        assert_that!(served.client().call(inspect("x"), PATIENCE).await, ok(eq(&view("x"))));
    });
}

#[test]
fn given_the_peer_went_with_a_call_under_way_when_called_again_then_lost_and_unreachable_are_told_apart() {
    local(async {
        let served = serve().await;
        let client = served.client();
        let under_way = spawn_local({
            let client = client.clone();
            async move { client.call(inspect("hold"), PATIENCE).await }
        });
        served.echo.hold_came.notified().await;
        let address = served.address;
        served.stop().await;

        assert_that!(under_way.await.unwrap(), err(eq(&CallFailure::Lost)));
        assert_that!(client.call(inspect("x"), PATIENCE).await, err(eq(&CallFailure::Unreachable)));

        let _back = serve_at(address).await;
        // Fails at once while the pause lasts, so that this ends.
        let mut failures = vec![];
        let answer = loop {
            match client.call(inspect("again"), PATIENCE).await {
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
fn given_a_peer_that_says_nothing_when_calls_time_out_then_the_next_call_opens_another_connection() {
    local(async {
        let (listener, address) = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await;
        let (accepted, mut connections) = mpsc::unbounded_channel();
        spawn_local(async move {
            loop {
                // Says the same hello and answers one call, and then says nothing.
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
        assert_that!(client.call(inspect("x"), PATIENCE).await, ok(eq(&Answer::Done)));
        let mut first = connections.recv().await.unwrap();
        let short = client.call(inspect("x"), Duration::from_millis(5)).await;
        assert_that!(short, err(eq(&CallFailure::TimedOut)));

        // Closed without any further call.
        let mut rest = vec![];
        first.read_to_end(&mut rest).await.unwrap();
        assert_that!(client.call(inspect("x"), PATIENCE).await, ok(eq(&Answer::Done)));
        assert!(connections.recv().await.is_some());
    });
}

#[test]
fn given_a_subscription_when_pushed_then_all_come_in_order_and_the_end_is_told_on_both_sides() {
    local(async {
        let served = serve().await;
        let (answer, mut pushes) = served.client().subscribe(subscribe(), PATIENCE).await.unwrap();
        assert_that!(answer, eq(&Answer::Done));
        let pusher = served.echo.pushers.borrow()[0].clone();
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

        let (_, mut pushes) = served.client().subscribe(subscribe(), PATIENCE).await.unwrap();
        assert!(pushes.next().await.is_some());
        served.stop().await;
        assert_that!(pushes.next().await, none());
    });
}

#[test]
fn given_a_subscriber_that_does_not_read_when_pushed_then_the_link_is_full_and_others_are_served() {
    local(async {
        let served = serve().await;
        let (_, _pushes) = served.client().subscribe(subscribe(), PATIENCE).await.unwrap();
        let pusher = served.echo.pushers.borrow()[0].clone();
        let beat = Push::Heartbeat { age_ms: 0, proxies: 0 };
        let taken = (0..100_000).take_while(|_| pusher.try_push(&beat)).count();
        assert_that!(taken, all![gt(100), lt(100_000)]);
        assert_that!(served.client().call(inspect("x"), PATIENCE).await, ok(eq(&view("x"))));
    });
}

#[test]
fn given_an_answer_too_long_for_a_frame_when_called_then_the_caller_learns_that_it_cannot_be_had() {
    local(async {
        let served = serve().await;
        let chain = Call::ReadChain { epoch: 1, attempt: "a".into() };
        assert_that!(served.client().call(chain, PATIENCE).await, ok(eq(&Answer::NotReady)));
    });
}

async fn say(address: SocketAddrV4, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut heard = vec![];
    // Reset where bytes were left unread.
    let _ = stream.read_to_end(&mut heard).await;
    heard
}

fn hello(fleet: u16) -> Vec<u8> {
    [b"MDpw".as_slice(), &1_u16.to_be_bytes(), &fleet.to_be_bytes()].concat()
}

#[test]
fn given_strangers_when_they_speak_then_they_are_closed_and_counted() {
    local(async {
        let served = serve().await;
        let strange = [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            hello(FLEET + 1),
            [hello(FLEET), vec![0xff; 4]].concat(),
            [hello(FLEET), vec![0, 0, 0, 3, 1, 2, 3]].concat(),
            vec![],
        ];
        for (bytes, count) in strange.iter().zip(1..) {
            let heard = say(served.address, bytes).await;
            assert!(heard.is_empty() || heard == hello(FLEET), "{heard:?}");
            assert_that!(served.server.rejected_connections(), eq(count));
        }

        let stranger = PeerClient::new(served.address, FLEET + 1, None);
        assert_that!(stranger.call(inspect("x"), PATIENCE).await, err(eq(&CallFailure::Unreachable)));
        let subscribed = stranger.subscribe(subscribe(), PATIENCE).await;
        assert!(matches!(subscribed, Err(CallFailure::Unreachable)));
        assert_that!(served.server.rejected_connections(), eq(7));
        assert_that!(served.client().call(inspect("x"), PATIENCE).await, ok(eq(&view("x"))));
        assert_that!(served.server.rejected_connections(), eq(7));
    });
}

#[test]
fn given_frames_that_are_no_calls_when_sent_then_each_sender_is_closed_and_counted() {
    local(async {
        let served = serve().await;
        // Given changed frames that are no calls, and frames that are none.
        let samples: Vec<Vec<u8>> =
            samples::frames().iter().map(|frame| encode(frame).unwrap().to_vec()).collect();
        let strategy = mutated(samples.clone());
        let mut runner = TestRunner::deterministic();
        let mut strange = samples;
        strange.extend((0..300).map(|_| strategy.new_tree(&mut runner).unwrap().current()));
        strange.retain(|bytes| !matches!(decode(bytes), Ok(Frame::Call(..))));
        assert_that!(strange.len(), gt(200));
        // When they are sent after a hello, then each connection is closed and counted, and nothing is answered.
        for (bytes, count) in strange.iter().zip(1..) {
            let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
            let heard = say(served.address, &[&hello(FLEET)[..], &length, bytes].concat()).await;
            assert!(heard.is_empty() || heard == hello(FLEET), "{heard:?}");
            assert_that!(served.server.rejected_connections(), eq(count));
        }
        assert_that!(served.client().call(inspect("x"), PATIENCE).await, ok(eq(&view("x"))));
    });
}

#[test]
fn given_a_client_when_dropped_then_its_connection_is_closed() {
    local(async {
        let served = serve().await;
        let client = served.client();
        // With the connection, the handler keeps a pusher of it.
        client.call(subscribe(), PATIENCE).await.unwrap();
        let pusher = served.echo.pushers.borrow()[0].clone();
        assert!(!pusher.is_closed());
        drop(client);
        pusher.closed().await;
    });
}

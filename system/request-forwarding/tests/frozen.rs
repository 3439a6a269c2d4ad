//! A proxy that stood still while calls were under way: what it does with them once it wakes.

mod fixtures;

use fixtures::{TestProxy, Wire, post, run_within};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;
use operator_config::OperatorConfig;
use request_forwarding::SystemState;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;

/// For stories in which much time is let pass.
const LONG: Duration = Duration::from_secs(1_000);
/// Longer than any request here may take.
const STANDSTILL: Duration = Duration::from_secs(30);
/// So often is looked for a connection before a story fails.
const MOST_LOOKS: usize = 10_000;

/// An endpoint of which only the listener works: connections come up, and the story plays the rest.
struct Listening {
    listener: TcpListener,
    address: SocketAddrV4,
}

impl Listening {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        Self { listener, address }
    }

    /// The next connection, as soon as it is up. The proxy has not seen yet that it is, as it runs after the story.
    async fn accept(&self) -> Wire {
        for _ in 0..MOST_LOOKS {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                return Wire::new(tokio::net::TcpStream::from_std(stream).unwrap());
            }
            yield_now().await;
        }
        panic!("no connection came");
    }

    fn has_connection_waiting(&self) -> bool {
        self.listener.accept().is_ok()
    }

    async fn world(&self) -> TestProxy {
        let endpoint = Endpoint {
            instance_id: "i-1".into(),
            service: "s".into(),
            address: self.address,
            zone: "z".into(),
            capacity_slots: 8,
            state: EndpointState::Ready,
        };
        let world = TestProxy::unconfigured().await;
        let config = OperatorConfig::read(fixtures::CONFIG.as_bytes()).unwrap();
        let list = EndpointList { version: ListVersion::new(1, 1), endpoints: vec![endpoint] };
        world.forwarder.update(SystemState {
            config: Some(Rc::new(config)),
            list: Some(Rc::new(list)),
            proxies: 1,
        });
        world
    }
}

/// The proxy stands still: time passes before it runs again.
async fn stand_still() {
    stand_still_for(STANDSTILL).await;
}

async fn stand_still_for(duration: Duration) {
    tokio::time::pause();
    tokio::time::advance(duration).await;
    tokio::time::resume();
}

fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

#[gtest]
fn a_request_whose_deadline_passed_while_its_connection_came_up_is_not_sent() {
    run_within(LONG, async {
        for path in ["/plain/", "/unsafe/"] {
            // Given a request whose connection has just come up,
            let endpoint = Listening::start();
            let world = endpoint.world().await;
            let mut client = world.client().await;
            client.write(post(path, "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
            let mut connection = endpoint.accept().await;
            // when the proxy stands still past its deadline and wakes,
            stand_still().await;
            // then the client is told that it did not run, and the endpoint gets not a byte of it.
            expect_that!(client.message().await.map(|answer| answer.status()), some(eq(503)));
            expect_true!(connection.ends().await);
            expect_false!(endpoint.has_connection_waiting());
            expect_that!(world.forwarder.metrics().sends, eq(0));
        }
    });
}

#[gtest]
fn a_late_answer_of_a_call_that_was_given_up_reaches_nobody() {
    run_within(LONG, async {
        // Given a call that the endpoint has read, and a proxy that stands still past its deadline.
        let endpoint = Listening::start();
        let world = endpoint.world().await;
        let mut client = world.client().await;
        client.write(post("/unsafe/", "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
        let mut first = endpoint.accept().await;
        expect_that!(first.message().await.unwrap().header("attempt-id"), some(eq("a")));
        stand_still().await;
        // When it has given the call up, and the answer comes,
        let given_up = client.message().await.unwrap();
        expect_that!(given_up.status(), eq(504));
        let _ = first.stream.try_write(answer("a", "late").as_bytes());
        // then the next request goes by another connection and gets its own answer.
        client.write(post("/unsafe/", "b", "", "body").bytes()).await;
        let mut second = endpoint.accept().await;
        expect_that!(second.message().await.unwrap().header("attempt-id"), some(eq("b")));
        second.write(answer("b", "own")).await;
        let own = client.message().await.unwrap();
        expect_that!((own.status(), own.header("attempt-id"), own.text()), eq((200, Some("b"), "own")));
        expect_true!(first.ends().await);
    });
}

#[gtest]
fn a_late_answer_that_lies_there_at_the_waking_reaches_its_own_client_or_nobody() {
    run_within(LONG, async {
        let endpoint = Listening::start();
        let world = endpoint.world().await;
        let mut client = world.client().await;
        client.write(post("/unsafe/", "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
        let mut first = endpoint.accept().await;
        first.message().await.unwrap();
        // Given an answer that came while the proxy stood still, when it wakes,
        let late = answer("a", "late");
        expect_that!(first.stream.try_write(late.as_bytes()).unwrap(), eq(late.len()));
        stand_still().await;
        let told = client.message().await.unwrap();
        // then its client has it or is told that nothing came in time, and the next one gets its own.
        let of_own = (told.status(), told.text()) == (200, "late");
        expect_true!(of_own || told.status() == 504, "{told:?}");
        drop(first);
        client.write(post("/unsafe/", "b", "", "body").bytes()).await;
        let mut second = endpoint.accept().await;
        expect_that!(second.message().await.unwrap().header("attempt-id"), some(eq("b")));
        second.write(answer("b", "own")).await;
        let own = client.message().await.unwrap();
        expect_that!((own.status(), own.header("attempt-id"), own.text()), eq((200, Some("b"), "own")));
    });
}

/// Number of scheduler steps of the proxy at each of which it is stopped once.
const MAX_STEPS: usize = 24;
/// A standstill that ends within the time by which a call may outlast a deadline of 300 ms.
const JUST_PAST_DEADLINE: Duration = Duration::from_millis(320);

#[gtest]
fn at_whatever_step_it_stands_still_nothing_is_sent_after_the_deadline() {
    for steps in 0..MAX_STEPS {
        for duration in [JUST_PAST_DEADLINE, STANDSTILL] {
            run_within(LONG, stand_still_after(steps, duration));
        }
    }
}

/// Two idle connections, of which the endpoint has closed the newer one; the proxy stands still `steps` steps after a request
/// has come.
async fn stand_still_after(steps: usize, duration: Duration) {
    let endpoint = Listening::start();
    let world = endpoint.world().await;
    let (mut first, mut second) = (world.client().await, world.client().await);
    first.write(post("/unsafe/", "a", "", "body").bytes()).await;
    let mut older = endpoint.accept().await;
    older.message().await.unwrap();
    second.write(post("/unsafe/", "b", "", "body").bytes()).await;
    let mut newer = endpoint.accept().await;
    newer.message().await.unwrap();
    older.write(answer("a", "own")).await;
    expect_that!(first.message().await.unwrap().status(), eq(200));
    newer.write(answer("b", "own")).await;
    expect_that!(second.message().await.unwrap().status(), eq(200));
    // Both answers are complete, and their connections are idle once the proxy has had its turns.
    for _ in 0..MAX_STEPS {
        yield_now().await;
    }
    drop(newer);
    first.write(post("/unsafe/", "c", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
    for _ in 0..steps {
        yield_now().await;
    }
    let has_read = world.forwarder.metrics().requests == 3;
    let was_sent = has_bytes(&older);
    stand_still_for(duration).await;
    let status = first.message().await.map(|answer| answer.status());
    if has_read {
        expect_that!(
            has_bytes(&older),
            eq(was_sent),
            "after {steps} steps, {duration:?}, answered {status:?}"
        );
        expect_that!(status, some(eq(if was_sent { 504 } else { 503 })), "after {steps} steps, {duration:?}");
    }
}

/// Whether the proxy has sent anything that the endpoint has not read, asked of the system itself.
fn has_bytes(wire: &Wire) -> bool {
    let socket = std::net::TcpStream::from(wire.stream.as_fd().try_clone_to_owned().unwrap());
    socket.peek(&mut [0]).is_ok_and(|count| count > 0)
}

//! A proxy process that is suspended while calls are in flight, and what it does with them when it resumes.

mod fixtures;

use fixtures::{HttpConnection, TestProxy, post, run_within};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;
use operator_config::OperatorConfig;
use request_forwarding::SystemState;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;

/// Time limit of scenarios that skip much time.
const TIME_LIMIT: Duration = Duration::from_secs(1_000);
/// Longer than the deadline of any request here.
const SUSPENSION: Duration = Duration::from_secs(30);
/// Number of polls for a connection before a scenario fails.
const MAX_ACCEPT_POLLS: usize = 10_000;

/// An endpoint that only listens: connections are established, and the scenario does everything else.
struct ListeningEndpoint {
    listener: TcpListener,
    address: SocketAddrV4,
}

impl ListeningEndpoint {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        Self { listener, address }
    }

    /// Accepts the next connection as soon as it is established. The proxy has not noticed that yet, since it runs
    /// after the scenario.
    async fn accept(&self) -> HttpConnection {
        for _ in 0..MAX_ACCEPT_POLLS {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                return HttpConnection::new(tokio::net::TcpStream::from_std(stream).unwrap());
            }
            yield_now().await;
        }
        panic!("no connection was established");
    }

    fn has_connection_waiting(&self) -> bool {
        self.listener.accept().is_ok()
    }

    async fn start_proxy(&self) -> TestProxy {
        let endpoint = Endpoint {
            instance_id: "i-1".into(),
            service: "s".into(),
            address: self.address,
            zone: "z".into(),
            capacity_slots: 8,
            state: EndpointState::Ready,
        };
        let proxy = TestProxy::unconfigured().await;
        let config = OperatorConfig::read(fixtures::CONFIG.as_bytes()).unwrap();
        let list = EndpointList { version: ListVersion::new(1, 1), endpoints: vec![endpoint] };
        proxy.forwarder.update(SystemState {
            config: Some(Rc::new(config)),
            list: Some(Rc::new(list)),
            proxies: 1,
        });
        proxy
    }
}

/// Suspends the proxy: time passes before it runs again.
async fn suspend() {
    suspend_for(SUSPENSION).await;
}

async fn suspend_for(duration: Duration) {
    tokio::time::pause();
    tokio::time::advance(duration).await;
    tokio::time::resume();
}

fn response(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

#[gtest]
fn a_request_whose_deadline_passed_while_connecting_is_not_sent() {
    run_within(TIME_LIMIT, async {
        for path in ["/plain/", "/unsafe/"] {
            // Given a request whose connection was just established,
            let endpoint = ListeningEndpoint::start();
            let proxy = endpoint.start_proxy().await;
            let mut client = proxy.client().await;
            client.write(post(path, "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
            let mut connection = endpoint.accept().await;
            // when the proxy is suspended past the deadline and resumes,
            suspend().await;
            // then the client gets a guarantee that it was not executed, and the endpoint receives no bytes.
            expect_that!(client.read_message().await.map(|response| response.status()), some(eq(503)));
            expect_true!(connection.is_closed_by_peer().await);
            expect_false!(endpoint.has_connection_waiting());
            expect_that!(proxy.forwarder.metrics().sends, eq(0));
        }
    });
}

#[gtest]
fn a_late_response_to_an_abandoned_call_is_discarded() {
    run_within(TIME_LIMIT, async {
        // Given a call that the endpoint has read, and a proxy that is suspended past its deadline.
        let endpoint = ListeningEndpoint::start();
        let proxy = endpoint.start_proxy().await;
        let mut client = proxy.client().await;
        client.write(post("/unsafe/", "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
        let mut first = endpoint.accept().await;
        expect_that!(first.read_message().await.unwrap().header("attempt-id"), some(eq("a")));
        suspend().await;
        // When the proxy has abandoned the call and the response arrives,
        let given_up = client.read_message().await.unwrap();
        expect_that!(given_up.status(), eq(504));
        let _ = first.stream.try_write(response("a", "late").as_bytes());
        // then the next request uses another connection and gets its own response.
        client.write(post("/unsafe/", "b", "", "body").bytes()).await;
        let mut second = endpoint.accept().await;
        expect_that!(second.read_message().await.unwrap().header("attempt-id"), some(eq("b")));
        second.write(response("b", "own")).await;
        let own = client.read_message().await.unwrap();
        expect_that!((own.status(), own.header("attempt-id"), own.text()), eq((200, Some("b"), "own")));
        expect_true!(first.is_closed_by_peer().await);
    });
}

#[gtest]
fn a_response_received_during_suspension_reaches_its_own_client_or_is_discarded() {
    run_within(TIME_LIMIT, async {
        let endpoint = ListeningEndpoint::start();
        let proxy = endpoint.start_proxy().await;
        let mut client = proxy.client().await;
        client.write(post("/unsafe/", "a", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
        let mut first = endpoint.accept().await;
        first.read_message().await.unwrap();
        // Given a response that arrived while the proxy was suspended, when it resumes,
        let late = response("a", "late");
        expect_that!(first.stream.try_write(late.as_bytes()).unwrap(), eq(late.len()));
        suspend().await;
        let outcome = client.read_message().await.unwrap();
        // then its client gets that response or a 504, and the next client gets its own response.
        let is_own_response = (outcome.status(), outcome.text()) == (200, "late");
        expect_true!(is_own_response || outcome.status() == 504, "{outcome:?}");
        drop(first);
        client.write(post("/unsafe/", "b", "", "body").bytes()).await;
        let mut second = endpoint.accept().await;
        expect_that!(second.read_message().await.unwrap().header("attempt-id"), some(eq("b")));
        second.write(response("b", "own")).await;
        let own = client.read_message().await.unwrap();
        expect_that!((own.status(), own.header("attempt-id"), own.text()), eq((200, Some("b"), "own")));
    });
}

/// Number of scheduler steps after each of which the proxy is suspended once.
const MAX_STEPS: usize = 24;
/// A suspension that ends after a deadline of 300 ms, but within the 50 ms grace period for calls.
const JUST_PAST_DEADLINE: Duration = Duration::from_millis(320);

#[gtest]
fn nothing_is_sent_after_the_deadline_at_whatever_step_the_proxy_is_suspended() {
    for steps in 0..MAX_STEPS {
        for duration in [JUST_PAST_DEADLINE, SUSPENSION] {
            run_within(TIME_LIMIT, suspend_after_steps(steps, duration));
        }
    }
}

/// Given two idle connections of which the endpoint has closed the newer one, suspends the proxy `steps` scheduler
/// steps after the arrival of a request.
async fn suspend_after_steps(steps: usize, duration: Duration) {
    let endpoint = ListeningEndpoint::start();
    let proxy = endpoint.start_proxy().await;
    let (mut first, mut second) = (proxy.client().await, proxy.client().await);
    first.write(post("/unsafe/", "a", "", "body").bytes()).await;
    let mut older = endpoint.accept().await;
    older.read_message().await.unwrap();
    second.write(post("/unsafe/", "b", "", "body").bytes()).await;
    let mut newer = endpoint.accept().await;
    newer.read_message().await.unwrap();
    older.write(response("a", "own")).await;
    expect_that!(first.read_message().await.unwrap().status(), eq(200));
    newer.write(response("b", "own")).await;
    expect_that!(second.read_message().await.unwrap().status(), eq(200));
    // Both responses are complete; after enough scheduler steps of the proxy their connections are idle.
    for _ in 0..MAX_STEPS {
        yield_now().await;
    }
    drop(newer);
    first.write(post("/unsafe/", "c", "Deadline-Remaining: 300\r\n", "body").bytes()).await;
    for _ in 0..steps {
        yield_now().await;
    }
    let has_read = proxy.forwarder.metrics().requests == 3;
    let was_sent = has_unread_bytes(&older);
    suspend_for(duration).await;
    let status = first.read_message().await.map(|response| response.status());
    if has_read {
        expect_that!(
            has_unread_bytes(&older),
            eq(was_sent),
            "after {steps} steps, {duration:?}, response status {status:?}"
        );
        expect_that!(status, some(eq(if was_sent { 504 } else { 503 })), "after {steps} steps, {duration:?}");
    }
}

/// Whether the socket holds bytes from the proxy that the endpoint has not read.
fn has_unread_bytes(connection: &HttpConnection) -> bool {
    let socket = std::net::TcpStream::from(connection.stream.as_fd().try_clone_to_owned().unwrap());
    socket.peek(&mut [0]).is_ok_and(|count| count > 0)
}

//! What a proxy answers from the moment in which it is told to end.

use crate::machines::{Machine, Source, chosen, own_address, run, state_with};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How long the endpoint works on its request after SIGTERM; readiness is asked for all the while.
const WORKS_ON: Duration = Duration::from_millis(500);
/// The longest time from SIGTERM to the answer that it is not ready.
const NOT_READY_AFTER: Duration = Duration::from_secs(4);
/// Between two questions.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// Longest time from the start to "ready".
const BECOMES_READY: Duration = Duration::from_secs(10);
/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"plain","hostname":"a.example","path_prefix":"/plain/","route_type":"non_idempotent","timeout_ms":6000,"service":"s"}],
 "services":[{"name":"s"}]}"#;
const REQUEST: &str = "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\nDeadline-Remaining: 5000\r\nContent-Length: 4\r\n\r\nbody";
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: seal-a\r\nContent-Length: 4\r\n\r\ndone";

/// The status that readiness is answered with; none where nobody answers.
async fn readiness(address: SocketAddr) -> Option<u16> {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /sedgewood/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
        status(&mut stream).await
    };
    timeout(PATIENCE, asking).await.expect("an answer in time")
}

/// The status of the answer on a connection.
async fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    std::str::from_utf8(&bytes).ok()?.split(' ').nth(1)?.parse().ok()
}

async fn readiness_becomes(address: SocketAddr, status: u16, within: Duration) {
    let becomes = async {
        while readiness(address).await != Some(status) {
            sleep(ASK_AGAIN).await;
        }
    };
    timeout(within, becomes).await.unwrap_or_else(|_| panic!("readiness answers no {status}"));
}

/// The proxy's program, which ends with the story.
struct Proxy(Child);

impl Proxy {
    fn start(settings: &Path) -> Self {
        let program = env!("CARGO_BIN_EXE_request-proxy");
        Self(Command::new(program).arg("--settings").arg(settings).spawn().unwrap())
    }

    fn sigterm(&self) {
        let sent = Command::new("kill").arg("-TERM").arg(self.0.id().to_string()).status().unwrap();
        assert!(sent.success());
    }

    /// How it ended, if it has.
    fn shutdown_requested(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().unwrap()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn endpoint_at(address: SocketAddrV4) -> Endpoint {
    Endpoint {
        instance_id: "i-1".into(),
        service: "s".into(),
        address,
        zone: "a".into(),
        capacity_slots: 8,
        state: EndpointState::Ready,
    }
}

#[gtest]
fn from_sigterm_on_no_answer_says_ready_and_what_was_read_is_answered() {
    run(async {
        // Given a proxy that is ready, and a request that it has read and its endpoint works on.
        let feed_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let feed_port = feed_listener.local_addr().unwrap().port();
        let machine = Machine::new(own_address(), "a", feed_port - 1);
        let feed = Source::start(&machine.process, feed_listener);
        let endpoint = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let SocketAddr::V4(address) = endpoint.local_addr().unwrap() else { unreachable!() };
        feed.update_value(chosen(1, &state_with(CONFIG)));
        feed.update_list(EndpointList {
            version: ListVersion::new(1, 1),
            endpoints: vec![endpoint_at(address)],
        });
        let folder = tempfile::tempdir().unwrap();
        let settings = folder.path().join("node.yaml");
        std::fs::write(&settings, &machine.settings).unwrap();
        let mut proxy = Proxy::start(&settings);
        readiness_becomes(machine.readiness(), 200, BECOMES_READY).await;
        let mut client = TcpStream::connect(machine.front()).await.unwrap();
        client.write_all(REQUEST.as_bytes()).await.unwrap();
        let (mut call, _) = timeout(PATIENCE, endpoint.accept()).await.unwrap().unwrap();
        let mut got = Vec::new();
        while !got.ends_with(b"body") {
            expect_that!(timeout(PATIENCE, call.read_buf(&mut got)).await.unwrap().unwrap(), gt(0));
        }
        // When SIGTERM comes, then readiness says so in time and goes on saying so,
        let signalled = Instant::now();
        proxy.sigterm();
        readiness_becomes(machine.readiness(), 503, NOT_READY_AFTER).await;
        while signalled.elapsed() < WORKS_ON {
            expect_that!(readiness(machine.readiness()).await, some(eq(503)));
            sleep(ASK_AGAIN).await;
        }
        // and the request is answered by its endpoint's answer.
        call.write_all(ANSWER.as_bytes()).await.unwrap();
        expect_that!(timeout(PATIENCE, status(&mut client)).await.unwrap(), some(eq(200)));
        // The process ends in its time, and is not ready in between.
        let grace = Duration::from_secs_f64(machine.process.settings().bounds.grace_period_s);
        let status = loop {
            match proxy.shutdown_requested() {
                Some(status) => break status,
                None => expect_that!(readiness(machine.readiness()).await, not(some(eq(200)))),
            }
            sleep(ASK_AGAIN).await;
        };
        expect_that!(signalled.elapsed(), lt(grace));
        expect_true!(status.success());
    });
}

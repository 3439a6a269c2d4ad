//! What a proxy answers from the moment in which it is told to end, and when it is told to read its settings again.

use crate::machines::{Machine, Source, chosen, own_address, run, state_with};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::rc::Rc;
use std::time::{Duration, Instant};
use system_programs::feed::Feed;
use tempfile::TempDir;
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

fn request(id: &str) -> String {
    format!(
        "POST /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: 5000\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-a\r\nContent-Length: 4\r\n\r\ndone")
}

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

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(name).arg(self.0.id().to_string()).status().unwrap();
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

/// A proxy that is ready, with a request that it has read and its endpoint works on.
struct Scene {
    machine: Machine,
    _feed: Rc<Feed>,
    _folder: TempDir,
    settings: PathBuf,
    proxy: Proxy,
    client: TcpStream,
    call: TcpStream,
}

impl Scene {
    async fn start() -> Self {
        let ip = own_address();
        let feed_listener = TcpListener::bind((ip, 0)).await.unwrap();
        let peer_port = feed_listener.local_addr().unwrap().port();
        let machine = Machine::new(ip, "a", peer_port);
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
        let proxy = Proxy::start(&settings);
        readiness_becomes(machine.readiness(), 200, BECOMES_READY).await;
        let mut client = TcpStream::connect(machine.front()).await.unwrap();
        client.write_all(request("a").as_bytes()).await.unwrap();
        let (mut call, _) = timeout(PATIENCE, endpoint.accept()).await.unwrap().unwrap();
        read_until(&mut call, b"body").await;
        Self { machine, _feed: feed, _folder: folder, settings, proxy, client, call }
    }

    /// The endpoint answers the request of that id; whether the client gets that answer whole.
    async fn answered(&mut self, id: &str) -> bool {
        self.call.write_all(answer(id).as_bytes()).await.unwrap();
        let got = read_until(&mut self.client, b"done").await;
        got.starts_with("HTTP/1.1 200 ") && got.contains("seal-a")
    }

    /// The client sends a further request on its connection, and the endpoint gets it on its own.
    async fn ask_again(&mut self, id: &str) {
        self.client.write_all(request(id).as_bytes()).await.unwrap();
        read_until(&mut self.call, b"body").await;
    }
}

/// What comes up to these bytes, or up to the connection's end.
async fn read_until(stream: &mut TcpStream, end: &[u8]) -> String {
    let mut got = Vec::new();
    while !got.ends_with(end) {
        if timeout(PATIENCE, stream.read_buf(&mut got)).await.unwrap().unwrap() == 0 {
            break;
        }
    }
    String::from_utf8(got).unwrap()
}

#[gtest]
fn from_sigterm_on_no_answer_says_ready_and_what_was_read_is_answered() {
    run(async {
        // Given a proxy that is ready, and a request that it has read and its endpoint works on.
        let mut scene = Scene::start().await;
        // When SIGTERM comes, then readiness says so in time and goes on saying so,
        let signalled = Instant::now();
        scene.proxy.signal("-TERM");
        readiness_becomes(scene.machine.readiness(), 503, NOT_READY_AFTER).await;
        while signalled.elapsed() < WORKS_ON {
            expect_that!(readiness(scene.machine.readiness()).await, some(eq(503)));
            sleep(ASK_AGAIN).await;
        }
        // and the request is answered by its endpoint's answer.
        expect_true!(scene.answered("a").await);
        // The process ends in its time, and is not ready in between.
        let grace = Duration::from_secs_f64(scene.machine.process.settings().bounds.grace_period_s);
        let status = loop {
            match scene.proxy.shutdown_requested() {
                Some(status) => break status,
                None => expect_that!(readiness(scene.machine.readiness()).await, not(some(eq(200)))),
            }
            sleep(ASK_AGAIN).await;
        };
        expect_that!(signalled.elapsed(), lt(grace));
        expect_true!(status.success());
    });
}

#[gtest]
fn sighup_with_the_same_a_changed_or_a_broken_file_cuts_no_request() {
    run(async {
        // Given a request at its endpoint and a settings file that is the same, changed, broken or empty,
        let mut scene = Scene::start().await;
        let same = scene.machine.settings.clone();
        let changed = format!("{same}a_field_of_a_later_release: 1\n");
        let mut id = "a".to_owned();
        for text in [&same, &changed, "node_name: [", ""] {
            std::fs::write(&scene.settings, text).unwrap();
            // when SIGHUP comes several times, then the proxy stays ready,
            let signalled = Instant::now();
            (0..3).for_each(|_| scene.proxy.signal("-HUP"));
            while signalled.elapsed() < WORKS_ON {
                expect_that!(readiness(scene.machine.readiness()).await, some(eq(200)), "{text}");
                sleep(ASK_AGAIN).await;
            }
            // the request gets its endpoint's answer, and the next one is passed on between the same connections.
            expect_true!(scene.answered(&id).await, "{text}");
            id.push('a');
            scene.ask_again(&id).await;
        }
        expect_true!(scene.answered(&id).await);
        expect_true!(scene.proxy.shutdown_requested().is_none());
    });
}

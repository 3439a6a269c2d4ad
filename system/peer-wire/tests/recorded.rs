//! Compatibility with recorded frames of earlier releases: they decode to the same values and encode to the same bytes.

mod samples;

use fleet_model::{Answer, Call};
use googletest::prelude::*;
use peer_wire::{CallLimits, Handler, PeerClient, PeerServer, Pusher, decode, encode};
use samples::frames;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Far more than anything here takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn bytes(digits: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.as_bytes().chunks(2).map(byte).collect()
}

/// A recorded file, an entry a line: words on it, then its bytes in hexadecimal digits.
fn recorded(name: &str) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/recorded/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    text.lines().map(|line| bytes(line.rsplit_once(' ').unwrap().1)).collect()
}

#[gtest]
fn recorded_frames_of_every_kind_decode_and_encode_unchanged() {
    let recorded = recorded("frames");
    expect_that!(recorded.len(), eq(frames().len()));
    for (frame, bytes) in frames().into_iter().zip(recorded) {
        expect_that!(decode(&bytes).unwrap(), eq(&frame));
        expect_that!(encode(&frame).unwrap().to_vec(), eq(&bytes), "{frame:?}");
    }
}

const FLEET: u16 = 12;
const TOPIC: &str = "members";
const VIEW: &str = r#"{"members":3}"#;

/// Answers staff.
struct Viewer;

impl Handler for Viewer {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        match call {
            Call::Inspect { topic } if topic == TOPIC => Answer::View(VIEW.into()),
            _ => Answer::NotReady,
        }
    }
}

fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    (listener, address)
}

/// What a client and its server said in one call: hello and frame of each.
fn conversation() -> [Vec<u8>; 4] {
    recorded("connection").try_into().unwrap()
}

async fn next_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut received = vec![0; count];
    timeout(LONG_TIMEOUT, stream.read_exact(&mut received)).await.unwrap().unwrap();
    received
}

#[test]
fn a_client_says_what_it_said_before() {
    local(async {
        // Given a server that sends the recorded bytes.
        let [hello, call, hello_back, answer] = conversation();
        let (listener, address) = listen().await;
        let lengths = (hello.len(), call.len());
        let serving = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let hello = next_bytes(&mut stream, lengths.0).await;
            stream.write_all(&hello_back).await.unwrap();
            let call = next_bytes(&mut stream, lengths.1).await;
            stream.write_all(&answer).await.unwrap();
            (hello, call, stream)
        });
        // When a client calls, then it is answered.
        let limits = CallLimits { connect_timeout: LONG_TIMEOUT, ..CallLimits::default() };
        let client = PeerClient::with_limits(address, FLEET, None, limits);
        let answered = client.call(Call::Inspect { topic: TOPIC.into() }, LONG_TIMEOUT).await;
        assert_that!(answered, ok(eq(&Answer::View(VIEW.into()))));
        // And it said what was recorded.
        let (received, called, _stream) = serving.await.unwrap();
        assert_that!(received, eq(&hello));
        assert_that!(called, eq(&call));
    });
}

#[test]
fn a_server_says_what_it_said_before() {
    local(async {
        let [hello, call, hello_back, answer] = conversation();
        let (listener, address) = listen().await;
        let server = PeerServer::new(FLEET, Rc::new(Viewer));
        let serving = spawn_local(async move { server.serve(listener).await });
        // When a client sends the recorded bytes, then so does the server.
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&hello).await.unwrap();
        assert_that!(next_bytes(&mut stream, hello_back.len()).await, eq(&hello_back));
        stream.write_all(&call).await.unwrap();
        assert_that!(next_bytes(&mut stream, answer.len()).await, eq(&answer));
        serving.abort();
    });
}

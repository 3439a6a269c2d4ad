//! Callers that close their connection while the server's thread stands still: their requests are not carried out.
//!
//! The server runs on the test's thread, so it stands still while the test uses sockets that block.

use crate::caller::Caller;
use crate::stand_in::{Served, with_server};
use control_node::ApplicationReply;
use googletest::prelude::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use system_programs::control_api::ApiLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// How long the server stands still.
const STANDSTILL: Duration = Duration::from_millis(50);

/// A request with a body of this many bytes.
fn put(len: usize) -> String {
    let body = format!(r#"{{"value":"{}","enabled":0}}"#, "v".repeat(len));
    let headers = format!("Host: x\r\nContent-Length: {}", body.len());
    format!("PUT /sedgewood/cells/gone HTTP/1.1\r\n{headers}\r\n\r\n{body}")
}

fn requests() -> [String; 4] {
    [
        put(16),
        put(60_000),
        "GET /sedgewood/cells/gone HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
        put(16).replace("Host: x", "Host: x\r\nConnection: close"),
    ]
}

fn send_and_close(address: SocketAddr, request: &str) {
    TcpStream::connect(address).unwrap().write_all(request.as_bytes()).unwrap();
}

fn send_and_reset(address: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Waits until the server has accepted all connections and found each closed.
async fn all_ended(served: &Served) {
    // A call that is made now is accepted after them.
    let mut caller = Caller::connect(served.address).await;
    caller.call("GET", "/sedgewood/config", "").await;
    served.until(|served| served.load.counts().connections == 1).await;
}

#[gtest]
fn a_request_whose_caller_closed_a_new_connection_is_not_carried_out() {
    for ending in [send_and_close, send_and_reset] {
        for request in requests() {
            with_server(ApiLimits::default(), async |served| {
                for _ in 0..40 {
                    ending(served.address, &request);
                }
                std::thread::sleep(STANDSTILL);
                all_ended(&served).await;
                expect_that!(served.service.requests.take(), is_empty(), "{request:.80}");
            });
        }
    }
}

#[gtest]
fn a_request_whose_caller_closed_a_kept_connection_is_not_carried_out() {
    for request in requests() {
        with_server(ApiLimits::default(), async |served| {
            served.service.reply.replace(ApplicationReply::Key(None));
            for round in 0..10 {
                let mut stream = tokio::net::TcpStream::connect(served.address).await.unwrap();
                stream.write_all(b"GET /sedgewood/cells/kept HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
                let mut response = [0; 1_024];
                expect_that!(stream.read(&mut response).await.unwrap(), gt(0));
                expect_that!(served.service.requests.take(), len(eq(1)));

                let mut stream = stream.into_std().unwrap();
                stream.set_nonblocking(false).unwrap();
                // The server may be in the middle of the request when its thread stops, or before it.
                let (start, end) = request.split_at(request.len() / 2 * (round % 2));
                stream.write_all(start.as_bytes()).unwrap();
                sleep(Duration::from_millis(5)).await;
                stream.write_all(end.as_bytes()).unwrap();
                drop(stream);
                std::thread::sleep(STANDSTILL);
            }
            all_ended(&served).await;
            expect_that!(served.service.requests.take(), is_empty(), "{request:.80}");
        });
    }
}

#[gtest]
fn given_callers_that_stayed_among_those_that_left_then_only_theirs_are_carried_out() {
    with_server(ApiLimits::default(), async |served| {
        served.service.reply.replace(ApplicationReply::Key(None));
        let mut staying = Vec::new();
        for _ in 0..60 {
            send_and_close(served.address, &put(16));
            let mut stream = TcpStream::connect(served.address).unwrap();
            stream.write_all(b"GET /sedgewood/cells/stayed HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            staying.push(stream);
        }
        std::thread::sleep(STANDSTILL);
        served.until(|served| served.service.requests.borrow().len() >= 60).await;
        drop(staying);
        all_ended(&served).await;
        let requests = served.service.requests.take();
        expect_that!(requests.len(), eq(60));
        expect_that!(format!("{requests:?}"), not(contains_substring("gone")));
    });
}

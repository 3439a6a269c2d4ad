//! Graceful shutdown.

mod fixtures;

use fixtures::{Reply, StreamPart, TestEndpoint, TestProxy, get, post, run};
use googletest::prelude::*;
use request_forwarding::ShutdownPhase;
use tokio::sync::mpsc;
use tokio::task::yield_now;

#[gtest]
fn a_stream_in_progress_completes_during_shutdown() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = TestEndpoint::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let mut client = proxy.client().await;
        client.write(post("/events/", "t1", "", "input").bytes()).await;
        client.read_head().await.unwrap();
        proxy.shutdown_phase.send_replace(ShutdownPhase::Draining);
        proxy.shutdown_phase.send_replace(ShutdownPhase::Closing);
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        parts.send(StreamPart::End).ok().unwrap();
        expect_that!(client.read_chunk().await, some(eq(b"")));
        expect_true!(client.is_closed_by_peer().await);
        proxy.serving.await.unwrap();
    });
}

#[gtest]
fn requests_during_draining_are_served_and_close_their_connections() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        proxy.shutdown_phase.send_replace(ShutdownPhase::Draining);
        let mut client = proxy.client().await;
        let response = client.send_request(&get("/plain/", "a")).await;
        expect_that!((response.status(), response.header("connection")), eq((200, Some("close"))));
        expect_true!(client.is_closed_by_peer().await);
    });
}

#[gtest]
fn idle_connections_are_closed_when_draining_begins() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        let response = client.send_request(&get("/plain/", "a")).await;
        expect_that!(response.header("connection"), none());
        proxy.shutdown_phase.send_replace(ShutdownPhase::Draining);
        expect_true!(client.is_closed_by_peer().await);
    });
}

#[gtest]
fn a_partially_read_request_is_served_at_shutdown() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        // A connection that has served a request already could be mistaken for an idle one.
        client.send_request(&get("/plain/", "a")).await;
        let request = post("/unsafe/", "b", "", "body").bytes();
        let (beginning, rest) = request.split_at(30);
        client.write(beginning).await;
        proxy.shutdown_phase.send_replace(ShutdownPhase::Closing);
        for _ in 0..50 {
            yield_now().await;
        }
        client.write(rest).await;
        let response = client.read_message().await.unwrap();
        expect_that!((response.status(), response.header("connection")), eq((200, Some("close"))));
        proxy.serving.await.unwrap();
    });
}

#[gtest]
fn a_received_but_unread_request_is_served_at_shutdown() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        client.send_request(&get("/plain/", "a")).await;
        // The request and the phase change happen without a scheduler step between them.
        let request = get("/plain/", "b").bytes();
        expect_that!(client.stream.try_write(&request).unwrap(), eq(request.len()));
        proxy.shutdown_phase.send_replace(ShutdownPhase::Closing);
        let response = client.read_message().await.unwrap();
        expect_that!((response.status(), response.header("connection")), eq((200, Some("close"))));
        proxy.serving.await.unwrap();
    });
}

#[gtest]
fn connections_in_the_listen_backlog_are_served_before_the_listener_closes() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let late = std::net::TcpStream::connect(proxy.client_address).unwrap();
        proxy.shutdown_phase.send_replace(ShutdownPhase::Closing);
        late.set_nonblocking(true).unwrap();
        let mut late = fixtures::HttpConnection::new(tokio::net::TcpStream::from_std(late).unwrap());
        expect_that!(late.send_request(&get("/plain/", "a")).await.status(), eq(200));
        proxy.serving.await.unwrap();
        expect_that!(tokio::net::TcpStream::connect(proxy.client_address).await, err(anything()));
    });
}

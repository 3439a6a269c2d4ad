//! Winding down.

mod fixtures;

use fixtures::{Part, Reply, Server, TestProxy, get, post, run};
use googletest::prelude::*;
use request_forwarding::ShutdownPhase;
use tokio::sync::mpsc;
use tokio::task::yield_now;

#[gtest]
fn while_it_drains_a_stream_under_way_is_finished() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = Server::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let mut client = world.client().await;
        client.write(post("/events/", "t1", "", "input").bytes()).await;
        client.head().await.unwrap();
        world.stage.send_replace(ShutdownPhase::Draining);
        world.stage.send_replace(ShutdownPhase::Closing);
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        expect_that!(client.chunk().await, some(anything()));
        parts.send(Part::End).ok().unwrap();
        expect_that!(client.chunk().await, some(eq(b"")));
        expect_true!(client.ends().await);
        world.serving.await.unwrap();
    });
}

#[gtest]
fn while_it_drains_new_requests_are_answered_and_are_the_last_of_their_connections() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        world.stage.send_replace(ShutdownPhase::Draining);
        let mut client = world.client().await;
        let answer = client.send_request(&get("/plain/", "a")).await;
        expect_that!((answer.status(), answer.header("connection")), eq((200, Some("close"))));
        expect_true!(client.ends().await);
    });
}

#[gtest]
fn idle_connections_are_closed_at_once() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        let answer = client.send_request(&get("/plain/", "a")).await;
        expect_that!(answer.header("connection"), none());
        world.stage.send_replace(ShutdownPhase::Draining);
        expect_true!(client.ends().await);
    });
}

#[gtest]
fn a_request_that_is_being_read_in_that_moment_is_answered() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        // On a connection that has carried one, so that it could pass for idle.
        client.send_request(&get("/plain/", "a")).await;
        let request = post("/unsafe/", "b", "", "body").bytes();
        let (begin, rest) = request.split_at(30);
        client.write(begin).await;
        world.stage.send_replace(ShutdownPhase::Closing);
        for _ in 0..50 {
            yield_now().await;
        }
        client.write(rest).await;
        let answer = client.message().await.unwrap();
        expect_that!((answer.status(), answer.header("connection")), eq((200, Some("close"))));
        world.serving.await.unwrap();
    });
}

#[gtest]
fn a_request_that_has_come_unread_in_that_moment_is_answered() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        client.send_request(&get("/plain/", "a")).await;
        // Both without a turn of the runtime between them.
        let request = get("/plain/", "b").bytes();
        expect_that!(client.stream.try_write(&request).unwrap(), eq(request.len()));
        world.stage.send_replace(ShutdownPhase::Closing);
        let answer = client.message().await.unwrap();
        expect_that!((answer.status(), answer.header("connection")), eq((200, Some("close"))));
        world.serving.await.unwrap();
    });
}

#[gtest]
fn whoever_is_still_in_the_listener_is_served_before_it_closes() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let late = std::net::TcpStream::connect(world.front).unwrap();
        world.stage.send_replace(ShutdownPhase::Closing);
        late.set_nonblocking(true).unwrap();
        let mut late = fixtures::Wire::new(tokio::net::TcpStream::from_std(late).unwrap());
        expect_that!(late.send_request(&get("/plain/", "a")).await.status(), eq(200));
        world.serving.await.unwrap();
        expect_that!(tokio::net::TcpStream::connect(world.front).await, err(anything()));
    });
}

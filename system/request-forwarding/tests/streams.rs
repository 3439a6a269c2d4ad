//! Streams and the turns that are stored from them.

mod fixtures;

use bytes::Bytes;
use fixtures::{HttpConnection, Message, Reply, StreamPart, TestEndpoint, TestProxy, post, run};
use googletest::prelude::*;
use request_forwarding::{Chain, ChainLookup, ReserveOutcome};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const TURN: &str = "Program: p\r\nSession: x\r\nBudget: 500\r\nToken-Usage: 40,12\r\n";

/// Starts an endpoint with one stream; returns it with the sender of the stream's parts.
async fn start_streaming_endpoint() -> (TestEndpoint, mpsc::UnboundedSender<StreamPart>) {
    let (parts, receiver) = mpsc::unbounded_channel();
    let mut receiver = Some(receiver);
    let server = TestEndpoint::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
    (server, parts)
}

/// Sends a turn and reads the response head.
async fn start_turn(proxy: &TestProxy, path: &str, headers: &str) -> (HttpConnection, Message) {
    let mut client = proxy.client().await;
    client.write(post(path, "t1", headers, "input").bytes()).await;
    let head = client.read_head().await.unwrap();
    (client, head)
}

async fn wait_for_settled(proxy: &TestProxy) -> Vec<(String, String, u32)> {
    proxy.turns.settle_count.subscribe().wait_for(|count| *count > 0).await.unwrap();
    proxy.turns.settled.borrow().clone()
}

#[gtest]
fn events_are_forwarded_as_they_arrive_and_the_turn_is_stored_before_the_end() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        proxy.turns.store_result.send_replace(None);
        *proxy.turns.chain_result.borrow_mut() =
            ChainLookup::Found(Chain { text: Bytes::from_static(b"earlier\n"), served_by: None });
        let headers = format!("{TURN}Previous: t0\r\n");
        let (mut client, head) = start_turn(&proxy, "/turns/", &headers).await;
        expect_that!((head.status(), head.header("server-seal")), eq((200, Some("seal-t1"))));
        expect_that!(head.header("content-length"), none());
        for event in ["id: 1\ndata: one\n\n", "id: 2\ndata: t", "wo\ndata: more\n\n"] {
            parts.send(StreamPart::Bytes(event)).ok().unwrap();
            expect_that!(client.read_chunk().await, some(eq(event.as_bytes())));
        }
        parts.send(StreamPart::End).ok().unwrap();
        proxy.turns.store_count.subscribe().wait_for(|count| *count == 1).await.unwrap();
        // The end is held back until the turn is stored.
        expect_that!(timeout(Duration::from_millis(50), client.read_chunk()).await, err(anything()));
        proxy.turns.store_result.send_replace(Some(true));
        expect_that!(client.read_chunk().await, some(eq(b"")));

        expect_that!(server.received.borrow()[0].text(), eq("earlier\ninput"));
        expect_that!(server.received.borrow()[0].header("priority"), some(eq("3")));
        expect_that!(*proxy.turns.reserved.borrow(), eq(&vec![("p".into(), "t1".into(), 12, 500)]));
        expect_that!(*proxy.turns.chain_lookups.borrow(), eq(&vec!["t0".to_owned()]));
        let stored = proxy.turns.stored.borrow();
        expect_that!(stored.len(), eq(1));
        expect_that!(stored[0].input, eq(&Bytes::from_static(b"input")));
        expect_that!(stored[0].output, eq(&Bytes::from_static(b"one\ntwo\nmore\n")));
        expect_that!((stored[0].tokens, stored[0].retention_ms), eq((4, 60_000)));
        expect_that!((stored[0].attempt.as_str(), stored[0].previous.as_deref()), eq(("t1", Some("t0"))));
        expect_that!(proxy.turns.settled.borrow().len(), eq(0));
    });
}

#[gtest]
fn the_response_is_aborted_if_its_turn_cannot_be_stored() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        proxy.turns.store_result.send_replace(Some(false));
        let (mut client, _) = start_turn(&proxy, "/turns/", TURN).await;
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        parts.send(StreamPart::End).ok().unwrap();
        expect_that!(client.read_chunk().await, some(eq(b"data: one\n\n")));
        expect_that!(client.read_chunk().await, none());
        expect_that!(wait_for_settled(&proxy).await, eq(&vec![("p".into(), "t1".into(), 2)]));
    });
}

#[gtest]
fn an_interrupted_stream_is_aborted_and_its_turn_is_not_stored() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = start_turn(&proxy, "/turns/", TURN).await;
        parts.send(StreamPart::Bytes("data: one\n\ndata: tw")).ok().unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        parts.send(StreamPart::Break).ok().unwrap();
        expect_that!(client.read_chunk().await, none());
        // The incomplete event counts, since the client has received a part of it.
        expect_that!(wait_for_settled(&proxy).await, eq(&vec![("p".into(), "t1".into(), 4)]));
        expect_that!(proxy.turns.stored.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_turn_that_ends_within_an_event_is_not_stored() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = start_turn(&proxy, "/turns/", TURN).await;
        parts.send(StreamPart::Bytes("data: one\n\ndata: tw")).ok().unwrap();
        parts.send(StreamPart::End).ok().unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        expect_that!(client.read_chunk().await, none());
        expect_that!(proxy.turns.stored.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_client_disconnect_cancels_the_stream_and_settles_the_delivered_tokens() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = start_turn(&proxy, "/turns/", TURN).await;
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        drop(client);
        server.wait_for_closed(1).await;
        expect_that!(wait_for_settled(&proxy).await, eq(&vec![("p".into(), "t1".into(), 2)]));
    });
}

#[gtest]
fn without_retention_the_response_ends_when_the_endpoint_ends_its_stream() {
    run(async {
        let (server, parts) = start_streaming_endpoint().await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        proxy.turns.store_result.send_replace(Some(false));
        let (mut client, _) = start_turn(&proxy, "/events/", "Previous: t0\r\n").await;
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        parts.send(StreamPart::End).ok().unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        expect_that!(client.read_chunk().await, some(eq(b"")));
        expect_that!(server.received.borrow()[0].text(), eq("input"));
        expect_that!(proxy.turns.chain_lookups.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_turn_that_the_turn_storage_rejects_is_not_sent() {
    let found = ChainLookup::Found(Chain::default());
    let cases = [
        (ReserveOutcome::BudgetExhausted, found.clone(), 402, 0),
        (ReserveOutcome::Unavailable, found, 503, 1),
        (ReserveOutcome::Granted, ChainLookup::NotFound, 404, 1),
        (ReserveOutcome::Granted, ChainLookup::Unavailable, 503, 1),
        (ReserveOutcome::BudgetExhausted, ChainLookup::Unavailable, 402, 0),
    ];
    for (reserve, chain, status, settle_count) in cases {
        run(async move {
            let (server, _parts) = start_streaming_endpoint().await;
            let proxy = TestProxy::start(&[(&server, "m")]).await;
            proxy.turns.reserve_result.set(reserve);
            *proxy.turns.chain_result.borrow_mut() = chain.clone();
            let response =
                proxy.send_request(&post("/turns/", "t1", &format!("{TURN}Previous: t0\r\n"), "input")).await;
            expect_that!(response.status(), eq(status), "{reserve:?} {chain:?}");
            expect_that!(response.header("retry-after").is_some(), eq(status == 503));
            expect_that!(proxy.turns.settled.borrow().len(), eq(settle_count), "{reserve:?} {chain:?}");
            expect_that!(server.received.borrow().len(), eq(0));
        });
    }
}

#[gtest]
fn a_turn_declined_by_the_endpoint_is_settled_with_no_tokens() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(503, "Not-Executed: 1\r\n", "")).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let response = proxy.send_request(&post("/turns/", "t1", TURN, "input")).await;
        expect_that!(response.status(), eq(503));
        expect_that!(wait_for_settled(&proxy).await, eq(&vec![("p".into(), "t1".into(), 0)]));
    });
}

#[gtest]
fn an_endpoints_own_402_is_not_forwarded() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(402, "", "")).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let response = proxy.send_request(&post("/turns/", "t1", TURN, "input")).await;
        expect_that!(response.status(), eq(502));
    });
}

//! Streams and the turns that are kept of them.

mod fixtures;

use bytes::Bytes;
use fixtures::{Message, Part, Reply, Server, TestProxy, Wire, post, run};
use googletest::prelude::*;
use request_forwarding::{Chain, ChainLookup, ReserveOutcome};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const TURN: &str = "Program: p\r\nSession: x\r\nBudget: 500\r\nToken-Usage: 40,12\r\n";

/// An endpoint with one stream, and where its parts go in.
async fn streaming() -> (Server, mpsc::UnboundedSender<Part>) {
    let (parts, receiver) = mpsc::unbounded_channel();
    let mut receiver = Some(receiver);
    let server = Server::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
    (server, parts)
}

/// A client whose turn has its head.
async fn begun(world: &TestProxy, path: &str, headers: &str) -> (Wire, Message) {
    let mut client = world.client().await;
    client.write(post(path, "t1", headers, "input").bytes()).await;
    let head = client.head().await.unwrap();
    (client, head)
}

async fn settled(world: &TestProxy) -> Vec<(String, String, u32)> {
    world.turns.settles.subscribe().wait_for(|count| *count > 0).await.unwrap();
    world.turns.settled.borrow().clone()
}

#[gtest]
fn events_are_passed_on_one_by_one_and_the_turn_is_kept_before_the_end() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        world.turns.keep.send_replace(None);
        *world.turns.chain.borrow_mut() =
            ChainLookup::Found(Chain { text: Bytes::from_static(b"earlier\n"), served_by: None });
        let headers = format!("{TURN}Previous: t0\r\n");
        let (mut client, head) = begun(&world, "/turns/", &headers).await;
        expect_that!((head.status(), head.header("server-seal")), eq((200, Some("seal-t1"))));
        expect_that!(head.header("content-length"), none());
        for event in ["id: 1\ndata: one\n\n", "id: 2\ndata: t", "wo\ndata: more\n\n"] {
            parts.send(Part::Bytes(event)).ok().unwrap();
            expect_that!(client.chunk().await, some(eq(event.as_bytes())));
        }
        parts.send(Part::End).ok().unwrap();
        world.turns.keeps.subscribe().wait_for(|count| *count == 1).await.unwrap();
        // The end is held back until the turn is kept.
        expect_that!(timeout(Duration::from_millis(50), client.chunk()).await, err(anything()));
        world.turns.keep.send_replace(Some(true));
        expect_that!(client.chunk().await, some(eq(b"")));

        expect_that!(server.seen.borrow()[0].text(), eq("earlier\ninput"));
        expect_that!(server.seen.borrow()[0].header("priority"), some(eq("3")));
        expect_that!(*world.turns.reserved.borrow(), eq(&vec![("p".into(), "t1".into(), 12, 500)]));
        expect_that!(*world.turns.asked.borrow(), eq(&vec!["t0".to_owned()]));
        let kept = world.turns.kept.borrow();
        expect_that!(kept.len(), eq(1));
        expect_that!(kept[0].input, eq(&Bytes::from_static(b"input")));
        expect_that!(kept[0].output, eq(&Bytes::from_static(b"one\ntwo\nmore\n")));
        expect_that!((kept[0].tokens, kept[0].retention_ms), eq((4, 60_000)));
        expect_that!((kept[0].attempt.as_str(), kept[0].previous.as_deref()), eq(("t1", Some("t0"))));
        expect_that!(world.turns.settled.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_turn_that_could_not_be_kept_breaks_off() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        world.turns.keep.send_replace(Some(false));
        let (mut client, _) = begun(&world, "/turns/", TURN).await;
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        parts.send(Part::End).ok().unwrap();
        expect_that!(client.chunk().await, some(eq(b"data: one\n\n")));
        expect_that!(client.chunk().await, none());
        expect_that!(settled(&world).await, eq(&vec![("p".into(), "t1".into(), 2)]));
    });
}

#[gtest]
fn what_the_endpoint_breaks_off_does_not_look_whole_and_is_not_kept() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = begun(&world, "/turns/", TURN).await;
        parts.send(Part::Bytes("data: one\n\ndata: tw")).ok().unwrap();
        expect_that!(client.chunk().await, some(anything()));
        parts.send(Part::Break).ok().unwrap();
        expect_that!(client.chunk().await, none());
        // The event that had begun counts: the client has some of it.
        expect_that!(settled(&world).await, eq(&vec![("p".into(), "t1".into(), 4)]));
        expect_that!(world.turns.kept.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_turn_that_ends_inside_an_event_is_not_kept() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = begun(&world, "/turns/", TURN).await;
        parts.send(Part::Bytes("data: one\n\ndata: tw")).ok().unwrap();
        parts.send(Part::End).ok().unwrap();
        expect_that!(client.chunk().await, some(anything()));
        expect_that!(client.chunk().await, none());
        expect_that!(world.turns.kept.borrow().len(), eq(0));
    });
}

#[gtest]
fn with_the_client_the_stream_goes_and_what_it_had_is_settled() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let (mut client, _) = begun(&world, "/turns/", TURN).await;
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        expect_that!(client.chunk().await, some(anything()));
        drop(client);
        server.has_closed(1).await;
        expect_that!(settled(&world).await, eq(&vec![("p".into(), "t1".into(), 2)]));
    });
}

#[gtest]
fn a_stream_that_is_not_kept_ends_with_the_endpoints() {
    run(async {
        let (server, parts) = streaming().await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        world.turns.keep.send_replace(Some(false));
        let (mut client, _) = begun(&world, "/events/", "Previous: t0\r\n").await;
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        parts.send(Part::End).ok().unwrap();
        expect_that!(client.chunk().await, some(anything()));
        expect_that!(client.chunk().await, some(eq(b"")));
        expect_that!(server.seen.borrow()[0].text(), eq("input"));
        expect_that!(world.turns.asked.borrow().len(), eq(0));
    });
}

#[gtest]
fn what_the_keepers_do_not_allow_reaches_no_endpoint() {
    let text = ChainLookup::Found(Chain::default());
    let stories = [
        (ReserveOutcome::BudgetExhausted, text.clone(), 402, 0),
        (ReserveOutcome::Unavailable, text, 503, 1),
        (ReserveOutcome::Granted, ChainLookup::NotFound, 404, 1),
        (ReserveOutcome::Granted, ChainLookup::Unavailable, 503, 1),
        (ReserveOutcome::BudgetExhausted, ChainLookup::Unavailable, 402, 0),
    ];
    for (reserve, chain, status, settles) in stories {
        run(async move {
            let (server, _parts) = streaming().await;
            let world = TestProxy::start(&[(&server, "m")]).await;
            world.turns.reserve.set(reserve);
            *world.turns.chain.borrow_mut() = chain.clone();
            let answer =
                world.send_request(&post("/turns/", "t1", &format!("{TURN}Previous: t0\r\n"), "input")).await;
            expect_that!(answer.status(), eq(status), "{reserve:?} {chain:?}");
            expect_that!(answer.header("retry-after").is_some(), eq(status == 503));
            expect_that!(world.turns.settled.borrow().len(), eq(settles), "{reserve:?} {chain:?}");
            expect_that!(server.seen.borrow().len(), eq(0));
        });
    }
}

#[gtest]
fn a_turn_refused_by_the_endpoint_has_handed_out_nothing() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(503, "Not-Executed: 1\r\n", "")).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let answer = world.send_request(&post("/turns/", "t1", TURN, "input")).await;
        expect_that!(answer.status(), eq(503));
        expect_that!(settled(&world).await, eq(&vec![("p".into(), "t1".into(), 0)]));
    });
}

#[gtest]
fn an_endpoints_own_402_is_no_promise_of_ours() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(402, "", "")).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let answer = world.send_request(&post("/turns/", "t1", TURN, "input")).await;
        expect_that!(answer.status(), eq(502));
    });
}

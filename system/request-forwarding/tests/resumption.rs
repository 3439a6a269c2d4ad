//! Resumable streams whose endpoint fails: before the first event they go again, after it they go on elsewhere.

mod fixtures;

use bytes::Bytes;
use fixtures::{Message, Part, Reply, Server, TestProxy, Wire, post, run};
use googletest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

const TURN: &str = "Program: p\r\nSession: x\r\nBudget: 500\r\nToken-Usage: 40,12\r\n";

/// The replies of both endpoints, in the order in which they are asked.
type Replies = Rc<RefCell<std::collections::VecDeque<Reply>>>;

/// A world with two endpoints, whichever of which is asked gives the next reply.
struct Story {
    world: TestProxy,
    servers: [Server; 2],
    streams: Vec<mpsc::UnboundedSender<Part>>,
}

impl Story {
    /// `None` stands for a stream.
    async fn with(replies: Vec<Option<Reply>>) -> Self {
        let mut streams = Vec::new();
        let replies = replies.into_iter().map(|reply| {
            reply.unwrap_or_else(|| {
                let (parts, receiver) = mpsc::unbounded_channel();
                streams.push(parts);
                Reply::Stream(receiver)
            })
        });
        let replies: Replies = Rc::new(RefCell::new(replies.collect()));
        let server =
            |name, replies: Replies| Server::start(name, move |_| replies.borrow_mut().pop_front().unwrap());
        let servers = [server("i-1", replies.clone()).await, server("i-2", replies).await];
        let world = TestProxy::start(&[(&servers[0], "m"), (&servers[1], "m")]).await;
        Self { world, servers, streams }
    }

    fn send(&self, stream: usize, part: Part) {
        self.streams[stream].send(part).ok().unwrap();
    }

    async fn client(&self, path: &str) -> Wire {
        self.client_with(path, TURN).await
    }

    async fn client_with(&self, path: &str, headers: &str) -> Wire {
        let mut client = self.world.client().await;
        client.write(post(path, "t1", headers, "input").bytes()).await;
        client
    }

    /// The `Last-Event-Id` of each request that came, sorted; nothing where there was none.
    fn last_event_ids(&self) -> Vec<String> {
        let seen = self.seen().0;
        let mut ids: Vec<String> = seen
            .iter()
            .map(|request| request.header("last-event-id").unwrap_or_default().to_owned())
            .collect();
        ids.sort_unstable();
        ids
    }

    /// All requests that came, and how many endpoints they came to.
    fn seen(&self) -> (Vec<Message>, usize) {
        let by_server: Vec<Vec<Message>> =
            self.servers.iter().map(|server| server.seen.borrow().clone()).collect();
        let endpoints = by_server.iter().filter(|seen| !seen.is_empty()).count();
        (by_server.concat(), endpoints)
    }
}

#[gtest]
fn given_a_stream_that_breaks_off_then_another_endpoint_goes_on_after_the_last_whole_event() {
    run(async {
        let story = Story::with(vec![None, None]).await;
        let mut client = story.client("/resumable/").await;
        story.send(0, Part::Bytes("id: 1\ndata: one\n\nid: 2\ndata: tw"));
        let head = client.head().await.unwrap();
        expect_that!((head.status(), head.header("server-seal")), eq((200, Some("seal-t1"))));
        // The event that has not ended is held back: the other endpoint will send it whole.
        expect_that!(client.chunk().await, some(eq(b"id: 1\ndata: one\n\n")));
        story.send(0, Part::Break);
        story.send(1, Part::Bytes("id: 2\ndata: two\n\n"));
        expect_that!(client.chunk().await, some(eq(b"id: 2\ndata: two\n\n")));
        story.world.turns.keep.send_replace(Some(true));
        story.send(1, Part::End);
        expect_that!(client.chunk().await, some(eq(b"")));

        let (seen, endpoints) = story.seen();
        expect_that!((seen.len(), endpoints), eq((2, 2)));
        let ids: Vec<_> =
            seen.iter().map(|request| request.header("last-event-id").map(str::to_owned)).collect();
        expect_that!(ids, unordered_elements_are![none(), some(eq("1"))]);
        expect_that!(seen.iter().all(|request| request.header("attempt-id") == Some("t1")), eq(true));
        let kept = story.world.turns.kept.borrow();
        expect_that!(kept.len(), eq(1));
        expect_that!(kept[0].output, eq(&Bytes::from_static(b"one\ntwo\n")));
        expect_that!(kept[0].tokens, eq(4));
        expect_that!(story.world.forwarder.metrics().streams_resumed, eq(1));
    });
}

#[gtest]
fn given_a_break_before_the_first_event_then_the_request_goes_again_as_it_was() {
    run(async {
        let story = Story::with(vec![None, None]).await;
        story.send(0, Part::Break);
        let mut client = story.client("/resumable/").await;
        story.send(1, Part::Bytes("id: 1\ndata: one\n\n"));
        expect_that!(client.head().await.unwrap().status(), eq(200));
        expect_that!(client.chunk().await, some(eq(b"id: 1\ndata: one\n\n")));
        story.world.turns.keep.send_replace(Some(true));
        story.send(1, Part::End);
        expect_that!(client.chunk().await, some(eq(b"")));
        let (seen, endpoints) = story.seen();
        expect_that!((seen.len(), endpoints), eq((2, 2)));
        expect_that!(seen.iter().all(|request| request.header("last-event-id").is_none()), eq(true));
    });
}

#[gtest]
fn given_a_client_that_goes_on_after_an_event_then_each_endpoint_is_told_where_also_after_breaks() {
    run(async {
        let story = Story::with(vec![None, None]).await;
        let headers = format!("{TURN}Last-Event-Id: 4\r\n");
        story.send(0, Part::Break);
        let mut client = story.client_with("/resumable/", &headers).await;
        story.send(1, Part::Bytes("id: 5\ndata: five\n\n"));
        expect_that!(client.head().await.unwrap().status(), eq(200));
        expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
        expect_eq!(story.last_event_ids(), ["4", "4"]);

        let story = Story::with(vec![None, None]).await;
        let mut client = story.client_with("/resumable/", &headers).await;
        story.send(0, Part::Bytes("id: 5\ndata: five\n\n"));
        expect_that!(client.head().await.unwrap().status(), eq(200));
        expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
        story.send(0, Part::Break);
        story.send(1, Part::Bytes("id: 6\ndata: six\n\n"));
        expect_that!(client.chunk().await, some(eq(b"id: 6\ndata: six\n\n")));
        expect_eq!(story.last_event_ids(), ["4", "5"]);
    });
}

#[gtest]
fn given_a_client_that_goes_on_after_an_event_then_the_turn_is_not_kept_as_its_tail() {
    run(async {
        let story = Story::with(vec![None]).await;
        let mut client = story.client_with("/resumable/", &format!("{TURN}Last-Event-Id: 4\r\n")).await;
        story.send(0, Part::Bytes("id: 5\ndata: five\n\n"));
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
        story.world.turns.keep.send_replace(Some(true));
        story.send(0, Part::End);
        client.chunk().await;
        // Events 1 to 4 belong to the turn's output as well.
        let kept = story.world.turns.kept.borrow();
        expect_that!(kept.iter().any(|turn| turn.output == Bytes::from_static(b"five\n")), eq(false));
    });
}

#[gtest]
fn given_a_client_that_goes_on_after_an_event_then_its_turn_has_no_end_and_its_tokens_are_settled() {
    run(async {
        // Whether the endpoint heeds the header does not show, so the route need not be resumable.
        for path in ["/resumable/", "/turns/"] {
            let story = Story::with(vec![None]).await;
            let headers = format!("{TURN}Previous: t0\r\nLast-Event-Id: 4\r\n");
            let mut client = story.client_with(path, &headers).await;
            story.send(0, Part::Bytes("id: 5\ndata: five\n\n"));
            expect_that!(client.head().await.unwrap().status(), eq(200));
            expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
            story.world.turns.keep.send_replace(Some(true));
            story.send(0, Part::End);
            // An end would promise a turn that the next one may name.
            expect_that!(client.chunk().await, none());
            expect_that!(story.world.turns.kept.borrow().len(), eq(0));
            story.world.turns.settles.subscribe().wait_for(|count| *count > 0).await.unwrap();
            expect_that!(*story.world.turns.settled.borrow(), eq(&vec![("p".into(), "t1".into(), 2)]));
            expect_that!(story.world.forwarder.metrics().turns_unkept, eq(1));
        }
    });
}

#[gtest]
fn given_a_break_after_a_client_went_on_after_an_event_then_the_joined_tail_is_not_kept_either() {
    run(async {
        let story = Story::with(vec![None, None]).await;
        let headers = format!("{TURN}Last-Event-Id: 4\r\n");
        let mut client = story.client_with("/resumable/", &headers).await;
        story.send(0, Part::Bytes("id: 5\ndata: five\n\n"));
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
        story.send(0, Part::Break);
        story.send(1, Part::Bytes("id: 6\ndata: six\n\n"));
        expect_that!(client.chunk().await, some(eq(b"id: 6\ndata: six\n\n")));
        story.world.turns.keep.send_replace(Some(true));
        story.send(1, Part::End);
        expect_that!(client.chunk().await, none());
        expect_that!(story.world.turns.kept.borrow().len(), eq(0));
    });
}

#[gtest]
fn given_a_route_that_retains_no_turns_then_what_a_client_goes_on_with_ends_as_complete() {
    run(async {
        let story = Story::with(vec![None]).await;
        let mut client = story.client_with("/events/", "Last-Event-Id: 4\r\n").await;
        story.send(0, Part::Bytes("id: 5\ndata: five\n\n"));
        expect_that!(client.head().await.unwrap().status(), eq(200));
        expect_that!(client.chunk().await, some(eq(b"id: 5\ndata: five\n\n")));
        story.send(0, Part::End);
        expect_that!(client.chunk().await, some(eq(b"")));
        expect_eq!(story.last_event_ids(), ["4"]);
    });
}

#[gtest]
fn given_a_connection_that_is_reset_before_the_head_then_the_request_goes_again() {
    run(async {
        let story = Story::with(vec![Some(Reply::Reset), None]).await;
        let mut client = story.client("/resumable/").await;
        story.send(0, Part::Bytes("id: 1\ndata: one\n\n"));
        expect_that!(client.head().await.unwrap().status(), eq(200));
        expect_that!(story.seen().1, eq(2));
    });
}

#[gtest]
fn given_a_route_that_is_not_resumable_then_a_reset_is_no_reason_to_send_again() {
    run(async {
        let story = Story::with(vec![Some(Reply::Reset)]).await;
        let mut client = story.client("/turns/").await;
        expect_that!(client.head().await.unwrap().status(), eq(502));
        expect_that!(story.seen().0.len(), eq(1));
    });
}

#[gtest]
fn given_no_attempt_left_or_no_stream_elsewhere_then_the_answer_breaks_off() {
    run(async {
        for second in [Some(Reply::Answer(500, "", "no")), None] {
            let is_stream = second.is_none();
            let story = Story::with(vec![None, second]).await;
            let mut client = story.client("/resumable/").await;
            story.send(0, Part::Bytes("id: 1\ndata: one\n\n"));
            client.head().await.unwrap();
            expect_that!(client.chunk().await, some(eq(b"id: 1\ndata: one\n\n")));
            story.send(0, Part::Break);
            if is_stream {
                story.send(1, Part::Bytes("id: 2\ndata: two\n\n"));
                expect_that!(client.chunk().await, some(eq(b"id: 2\ndata: two\n\n")));
                story.send(1, Part::Break);
            }
            expect_that!(client.chunk().await, none());
            expect_that!(story.world.turns.kept.borrow().len(), eq(0));
            // Two events at most were handed out, of two tokens each.
            story.world.turns.settles.subscribe().wait_for(|count| *count > 0).await.unwrap();
            let handed = if is_stream { 4 } else { 2 };
            expect_that!(*story.world.turns.settled.borrow(), eq(&vec![("p".into(), "t1".into(), handed)]));
        }
    });
}

#[gtest]
fn given_a_stream_without_ids_when_it_breaks_off_then_nothing_is_sent_again() {
    run(async {
        let story = Story::with(vec![None]).await;
        let mut client = story.client("/resumable/").await;
        story.send(0, Part::Bytes("data: one\n\n"));
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(eq(b"data: one\n\n")));
        story.send(0, Part::Break);
        expect_that!(client.chunk().await, none());
        expect_that!(story.seen().0.len(), eq(1));
    });
}

#[gtest]
fn given_a_client_that_leaves_while_its_stream_is_resumed_then_the_second_call_ends_too() {
    run(async {
        let story = Story::with(vec![None, Some(Reply::Silence)]).await;
        let mut client = story.client("/resumable/").await;
        story.send(0, Part::Bytes("id: 1\ndata: one\n\n"));
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(anything()));
        story.send(0, Part::Break);
        let mut second = story.servers.iter().map(|server| server.requests.clone());
        let (mut one, mut two) = (second.next().unwrap(), second.next().unwrap());
        while *one.borrow() + *two.borrow() < 2 {
            tokio::select! {
                changed = one.changed() => changed.unwrap(),
                changed = two.changed() => changed.unwrap(),
            }
        }
        drop(client);
        story.world.turns.settles.subscribe().wait_for(|count| *count > 0).await.unwrap();
        for server in &story.servers {
            server.has_closed(1).await;
        }
    });
}

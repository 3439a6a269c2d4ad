//! Conversations whose turns arrive at different proxies.

mod fixtures;

use fixtures::{Reply, StreamPart, TestEndpoint, TestProxy, post, run};
use googletest::prelude::*;
use request_forwarding::{Chain, ChainLookup};
use tokio::sync::mpsc;

const INSTANCES: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// Number of conversations. With four endpoints, random routing would return each to its endpoint with probability 1/4.
const CONVERSATIONS: usize = 12;

/// Starts an endpoint that ends each stream after one event.
async fn engine(instance: &'static str) -> TestEndpoint {
    TestEndpoint::start(instance, |_| {
        let (parts, receiver) = mpsc::unbounded_channel();
        parts.send(StreamPart::Bytes("id: 1\ndata: one\n\n")).ok().unwrap();
        parts.send(StreamPart::End).ok().unwrap();
        Reply::Stream(receiver)
    })
    .await
}

#[gtest]
fn a_turn_at_another_proxy_is_routed_to_the_endpoint_that_served_its_conversation() {
    run(async {
        let mut engines = Vec::new();
        for instance in INSTANCES {
            engines.push(engine(instance).await);
        }
        let listed: Vec<_> = engines.iter().map(|engine| (engine, "m")).collect();
        let (first, second) = (TestProxy::start(&listed).await, TestProxy::start(&listed).await);
        for number in 0..CONVERSATIONS {
            let attempt = format!("t{number}");
            let headers = format!("Session: s{number}\r\n");
            first.send_request(&post("/turns/", &attempt, &headers, "input")).await;
            let served_by = first.turns.stored.borrow().last().unwrap().served_by.clone();
            expect_that!(served_by, some(anything()));

            let next_attempt = format!("next-{number}");
            let chain = Chain { text: "input\none\n".into(), served_by: served_by.clone() };
            *second.turns.chain_result.borrow_mut() = ChainLookup::Found(chain);
            let headers = format!("Session: s{number}\r\nPrevious: {attempt}\r\n");
            second.send_request(&post("/turns/", &next_attempt, &headers, "input")).await;
            let reached = engines.iter().find(|engine| engine.ids().contains(&next_attempt)).unwrap();
            expect_that!(Some(reached.instance), eq(served_by.as_deref()), "conversation {number}");
        }
    });
}

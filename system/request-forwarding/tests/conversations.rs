//! Conversations whose turns come in at several proxies.

mod fixtures;

use fixtures::{Part, Reply, Server, TestProxy, post, run};
use googletest::prelude::*;
use request_forwarding::{Chain, ChainLookup};
use tokio::sync::mpsc;

const INSTANCES: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// Conversations, each of which would meet its endpoint by chance once in four.
const CONVERSATIONS: usize = 12;

/// An endpoint that ends each stream after one event.
async fn engine(instance: &'static str) -> Server {
    Server::start(instance, |_| {
        let (parts, receiver) = mpsc::unbounded_channel();
        parts.send(Part::Bytes("id: 1\ndata: one\n\n")).ok().unwrap();
        parts.send(Part::End).ok().unwrap();
        Reply::Stream(receiver)
    })
    .await
}

#[gtest]
fn a_turn_that_comes_in_at_another_proxy_goes_to_the_endpoint_that_has_its_conversation() {
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
            let served_by = first.turns.kept.borrow().last().unwrap().served_by.clone();
            expect_that!(served_by, some(anything()));

            let next = format!("next-{number}");
            let chain = Chain { text: "input\none\n".into(), served_by: served_by.clone() };
            *second.turns.chain.borrow_mut() = ChainLookup::Found(chain);
            let headers = format!("Session: s{number}\r\nPrevious: {attempt}\r\n");
            second.send_request(&post("/turns/", &next, &headers, "input")).await;
            let met = engines.iter().find(|engine| engine.ids().contains(&next)).unwrap();
            expect_that!(Some(met.instance), eq(served_by.as_deref()), "conversation {number}");
        }
    });
}

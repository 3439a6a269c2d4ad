//! Waiting watches.

use crate::caller::Caller;
use crate::stand_in::with_server;
use control_node::ApplicationReply;
use coordination::KeyEvent;
use googletest::prelude::*;
use system_programs::control_api::ApiLimits;
use tokio::task::spawn_local;

const WATCH: &str = "/sedgewood/watch/g1.?after=3&wait_ms=60000";

fn one_event() -> ApplicationReply {
    let event = KeyEvent { key: "g1.a".to_owned(), value: "v".to_owned(), revision: 4 };
    ApplicationReply::Events { events: vec![event], revision: 4 }
}

#[gtest]
fn given_several_watches_when_one_event_occurs_then_all_are_answered() {
    with_server(ApiLimits::default(), async |served| {
        served.service.watches_wait.set(true);
        let address = served.address;
        let watches: Vec<_> = (0..200)
            .map(|_| spawn_local(async move { Caller::connect(address).await.call("GET", WATCH, "").await }))
            .collect();
        served.until(|served| served.load.counts().waiting_watches == 200).await;

        served.service.reply.replace(one_event());
        served.service.event.notify_waiters();
        for watch in watches {
            let received = watch.await.unwrap();
            expect_that!(received.status.as_u16(), eq(200));
            let expected = r#"{"events":[{"name":"g1.a","value":"v","revision":4}],"revision":4}"#;
            expect_that!(received.body, eq(expected));
        }
        expect_that!(served.load.counts().waiting_watches, eq(0));
    });
}

#[gtest]
fn given_a_waiting_watch_when_its_caller_leaves_then_it_ends() {
    with_server(ApiLimits::default(), async |served| {
        served.service.watches_wait.set(true);
        let address = served.address;
        let watch = spawn_local(async move { Caller::connect(address).await.call("GET", WATCH, "").await });
        served.until(|served| served.load.counts().waiting_watches == 1).await;
        watch.abort();
        served.until(|served| served.load.counts().waiting_watches == 0).await;
        served.until(|served| served.load.counts().connections == 0).await;
    });
}

#[gtest]
fn given_as_many_watches_as_may_wait_then_one_more_is_rejected_and_other_calls_go_on() {
    let limits = ApiLimits { waiting_watches: 20, ..ApiLimits::default() };
    with_server(limits, async |served| {
        served.service.watches_wait.set(true);
        let address = served.address;
        for _ in 0..20 {
            spawn_local(async move { Caller::connect(address).await.call("GET", WATCH, "").await });
        }
        served.until(|served| served.load.counts().waiting_watches == 20).await;

        let mut caller = Caller::connect(address).await;
        let received = caller.call("GET", WATCH, "").await;
        expect_that!(received.status.as_u16(), eq(429));
        expect_that!(received.header("Retry-After"), some(eq("0.2")));
        expect_that!(served.load.counts().rejected, eq(1));
        served.service.reply.replace(ApplicationReply::Key(None));
        expect_that!(caller.call("GET", "/sedgewood/cells/a", "").await.status.as_u16(), eq(404));
        expect_that!(caller.call("GET", "/sedgewood/config", "").await.status.as_u16(), eq(200));
    });
}

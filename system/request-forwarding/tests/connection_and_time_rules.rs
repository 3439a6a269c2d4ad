//! Rules that came later: what a connection may be used for, how long a request is held, and what is left to endpoints
//! of a client that has gone.

mod fixtures;

use bytes::Bytes;
use fixtures::{Part, Reply, Server, TestProxy, get, post, run, run_within};
use fleet_model::EndpointList;
use googletest::prelude::*;
use operator_config::OperatorConfig;
use request_forwarding::{Chain, ChainLookup, ReserveOutcome, SystemState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// For stories in which much time is let pass.
const LONG: Duration = Duration::from_secs(1_000);

/// The stand-in's configuration with something in it changed.
fn changed(from: &str, to: &str) -> SystemState {
    assert!(fixtures::CONFIG.contains(from));
    let config = OperatorConfig::read(fixtures::CONFIG.replace(from, to).as_bytes()).unwrap();
    SystemState { config: Some(Rc::new(config)), list: None, proxies: 1 }
}

/// Lets time pass at once.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[gtest]
fn a_connection_that_rested_for_four_fifths_of_the_newest_idle_time_is_taken_up() {
    run_within(LONG, async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        // Given a connection from before a configuration that raised the idle time from 15 s to 60 s.
        let mut client = world.client().await;
        expect_that!(client.send_request(&get("/plain/", "a")).await.status(), eq(200));
        world.forwarder.update(changed(r#""idle_timeout_ms":15000"#, r#""idle_timeout_ms":60000"#));
        // When it has rested for four fifths of the new one, then it is still there.
        pass(Duration::from_secs(24)).await;
        expect_that!(timeout(Duration::from_millis(50), client.ends()).await, err(anything()));
        pass(Duration::from_secs(24)).await;
        expect_that!(client.send_request(&get("/plain/", "b")).await.status(), eq(200));
        // And beyond the whole of it, it is closed.
        pass(Duration::from_secs(61)).await;
        expect_true!(client.ends().await);
    });
}

#[gtest]
fn a_request_that_comes_as_the_idle_time_ends_is_answered_or_was_not_read() {
    run_within(LONG, async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        for place in 0..20 {
            let mut client = world.client().await;
            expect_that!(client.send_request(&get("/plain/", "a")).await.status(), eq(200));
            // Both are there before the proxy looks again.
            let request = post("/unsafe/", &format!("b{place}"), "", "body").bytes();
            expect_that!(client.stream.try_write(&request).unwrap(), eq(request.len()));
            pass(Duration::from_secs(16)).await;
            let answer = client.message().await;
            expect_that!(answer.map(|answer| answer.status()), some(eq(200)));
        }
        expect_that!(server.seen.borrow().len(), eq(40));
    });
}

#[gtest]
fn with_the_client_the_call_goes_also_where_more_requests_lie_behind() {
    for last in ["GET /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b\r\n\r\n", "GET /pl"] {
        run(async move {
            let server = Server::start("i-1", |_| Reply::Silence).await;
            let world = TestProxy::start(&[(&server, "s")]).await;
            let mut client = world.client().await;
            let mut bytes = post("/unsafe/", "a", "", "b").bytes();
            bytes.extend_from_slice(last.as_bytes());
            client.write(bytes).await;
            server.has_seen(1).await;
            drop(client);
            let closed = timeout(Duration::from_millis(500), server.has_closed(1)).await;
            expect_that!(closed, ok(anything()), "behind it: {last:?}");
            expect_that!(server.ids(), elements_are![eq("a")]);
        });
    }
}

#[gtest]
fn with_the_client_the_stream_goes_also_where_more_requests_lie_behind() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = Server::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let mut client = world.client().await;
        let mut bytes = post("/events/", "a", "", "b").bytes();
        bytes.extend_from_slice(b"GET /plain/ HT");
        client.write(bytes).await;
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(anything()));
        drop(client);
        expect_that!(timeout(Duration::from_millis(500), server.has_closed(1)).await, ok(anything()));
    });
}

#[gtest]
fn a_client_that_leaves_the_queue_reaches_no_endpoint() {
    run(async {
        // Given an endpoint that is full, and a client that waits for it and leaves.
        let server =
            Server::start("i-1", |_| Reply::Answer(503, "Not-Executed: 1\r\nRetry-After: 0.06\r\n", ""))
                .await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        client.write(post("/unsafe/", "a", "", "b").bytes()).await;
        server.has_seen(1).await;
        drop(client);
        // When the endpoint is open again, then nothing comes.
        let more = timeout(Duration::from_millis(200), server.has_seen(2)).await;
        expect_that!(more, err(anything()));
    });
}

#[gtest]
fn a_request_goes_by_the_time_out_of_the_newest_configuration_when_it_comes() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Silence).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        world.forwarder.update(changed(
            r#""path_prefix":"/unsafe/","route_type":"non_idempotent","timeout_ms":6000"#,
            r#""path_prefix":"/unsafe/","route_type":"non_idempotent","timeout_ms":100"#,
        ));
        let began = Instant::now();
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(answer.status(), eq(504));
        expect_that!(began.elapsed(), lt(Duration::from_millis(600)));
        let left: u64 = server.seen.borrow()[0].header("deadline-remaining").unwrap().parse().unwrap();
        expect_that!(left, le(100));
    });
}

#[gtest]
fn a_stream_or_body_that_lasts_longer_than_its_route_allows_has_its_end_then() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = Server::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        world.forwarder.update(changed(
            r#""path_prefix":"/events/","route_type":"streaming","timeout_ms":6000"#,
            r#""path_prefix":"/events/","route_type":"streaming","timeout_ms":100"#,
        ));
        let began = Instant::now();
        let mut client = world.client().await;
        client.write(post("/events/", "a", "", "b").bytes()).await;
        parts.send(Part::Bytes("data: one\n\n")).ok().unwrap();
        client.head().await.unwrap();
        expect_that!(client.chunk().await, some(anything()));
        expect_that!(client.chunk().await, none());
        // The same of a body that does not come: it has not run.
        let mut client = world.client().await;
        client
            .write(
                "POST /events/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b\r\nContent-Length: 4\r\n\r\nbo",
            )
            .await;
        expect_that!(client.message().await.unwrap().status(), eq(408));
        expect_that!(began.elapsed(), lt(Duration::from_millis(1_000)));
    });
}

#[gtest]
fn the_time_that_is_left_is_always_told_and_shrinks_with_each_send() {
    run(async {
        let mut asked = 0;
        let server = Server::start("i-1", move |_| {
            asked += 1;
            match asked {
                1 => Reply::Answer(503, "Not-Executed: 1\r\nRetry-After: 0.05\r\n", ""),
                _ => Reply::Answer(200, "", ""),
            }
        })
        .await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        // Without a time of its own it has its route's.
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\n\r\n").await;
        expect_that!(client.message().await.unwrap().status(), eq(200));
        let left: Vec<u64> = server
            .seen
            .borrow()
            .iter()
            .map(|request| request.header("deadline-remaining").unwrap().parse().unwrap())
            .collect();
        expect_that!(left.len(), eq(2));
        expect_that!(left[0], all![gt(5_000), le(6_000)]);
        expect_that!(left[1], gt(5_000));
        expect_that!(left[0] - left[1], ge(50));
    });
}

#[gtest]
fn while_no_configuration_is_known_nothing_is_denied() {
    run(async {
        let world = TestProxy::unconfigured().await;
        let long = "x".repeat(5 << 20);
        for request in [
            get("/nowhere/", "a"),
            post("/turns/", "b", "Previous: t\r\n", ""),
            post("/unsafe/", "c", "", &long),
        ] {
            let mut client = world.client().await;
            // Answered before it has come whole, if it is too long.
            let _ = timeout(Duration::from_millis(300), async {
                use tokio::io::AsyncWriteExt;
                let _ = client.stream.write_all(&request.bytes()).await;
            })
            .await;
            let answer = client.message().await.unwrap();
            expect_that!((answer.status(), answer.header("retry-after")), eq((503, Some("0.250"))));
        }
        let mut client = world.client().await;
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\n\r\n").await;
        expect_that!(client.message().await.unwrap().status(), eq(503));
    });
}

#[gtest]
fn an_endpoint_with_other_weights_than_were_asked_for_is_no_other_incarnation() {
    run(async {
        let server = Server::start("i-1", |request| match request.header("expect-version") {
            Some(_) => Reply::Answer(421, "", ""),
            None => Reply::Answer(200, "Versions: 3\r\n", "done"),
        })
        .await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let refused = world.send_request(&post("/unsafe/", "a", "Expect-Version: 2\r\n", "b")).await;
        expect_that!((refused.status(), refused.header("retry-after").is_some()), eq((503, true)));
        let answer = world.send_request(&post("/unsafe/", "b", "", "b")).await;
        expect_that!((answer.status(), answer.header("versions")), eq((200, Some("3"))));
    });
}

#[gtest]
fn an_event_that_begins_with_its_versions_is_passed_on_and_kept_without_that_line() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = Server::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        let mut client = world.client().await;
        client
            .write(post("/turns/", "t1", "Program: p\r\nBudget: 50\r\nToken-Usage: 4,6\r\n", "in").bytes())
            .await;
        client.head().await.unwrap();
        for event in ["id: 1\ndata: one\n\n", "versions: 4\nid: 2\ndata: two\n\n"] {
            parts.send(Part::Bytes(event)).ok().unwrap();
            expect_that!(client.chunk().await, some(eq(event.as_bytes())));
        }
        parts.send(Part::End).ok().unwrap();
        expect_that!(client.chunk().await, some(eq(b"")));
        let kept = world.turns.kept.borrow();
        expect_that!(kept[0].output, eq(&Bytes::from_static(b"one\ntwo\n")));
        expect_that!(kept[0].tokens, eq(4));
    });
}

#[gtest]
fn a_program_that_comes_again_after_its_budget_was_spent_is_turned_away_again() {
    run(async {
        let server = Server::start("i-1", |_| unreachable!("nothing is sent")).await;
        let world = TestProxy::start(&[(&server, "m")]).await;
        world.turns.reserve.set(ReserveOutcome::BudgetExhausted);
        *world.turns.chain.borrow_mut() = ChainLookup::Found(Chain::default());
        for id in ["t1", "t2", "t3"] {
            let headers = "Program: p\r\nBudget: 50\r\nToken-Usage: 4,6\r\n";
            let answer = world.send_request(&post("/turns/", id, headers, "in")).await;
            expect_that!((answer.status(), answer.header("server-seal")), eq((402, None)));
        }
        expect_that!(world.turns.reserved.borrow().len(), eq(3));
    });
}

#[gtest]
fn an_endpoint_that_reads_a_body_after_its_answer_gets_that_body_and_nothing_else() {
    run(async {
        // Given an endpoint that answers at the head of a long request and reads on later.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let stub = Server::start("i-0", |_| unreachable!()).await;
        let server = Server { instance: "i-1", address, ..stub };
        let world = TestProxy::start(&[]).await;
        world.forwarder.update(changed(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#));
        let list = fixtures::listed(&[(&server, "s")]);
        let config = changed(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#).config;
        world.forwarder.update(SystemState { config, list: Some(Rc::<EndpointList>::new(list)), proxies: 1 });
        let body = "x".repeat(7_000_000);
        let asked = async {
            let mut client = world.client().await;
            let first = client.send_request(&post("/unsafe/", "a", "", &body)).await;
            let second = client.send_request(&post("/unsafe/", "b", "", "second")).await;
            (first.status(), second.status())
        };
        let played = async {
            let (stream, _) = listener.accept().await.unwrap();
            let mut wire = fixtures::Wire::new(stream);
            let head = wire.head().await.unwrap();
            let answer = |id: &str| {
                format!("HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok")
            };
            wire.write(answer("a")).await;
            // The next request comes on another connection, as the rest of this one's body is due here.
            let (stream, _) = listener.accept().await.unwrap();
            let mut next = fixtures::Wire::new(stream);
            let second = next.message().await.unwrap();
            next.write(answer("b")).await;
            let mut first = head;
            wire.body_of(&mut first).await;
            (first, second)
        };
        let (statuses, (first, second)) = tokio::join!(asked, played);
        expect_that!(statuses, eq((200, 200)));
        expect_that!((second.header("attempt-id"), second.text()), eq((Some("b"), "second")));
        expect_true!(first.body.iter().all(|byte| *byte == b'x'));
    });
}

#[gtest]
fn a_request_whose_body_was_written_in_part_may_have_run() {
    run(async {
        // Given an endpoint that begins work at the head, and then resets.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let stub = Server::start("i-0", |_| unreachable!()).await;
        let server = Server { instance: "i-1", address, ..stub };
        let other = Server::start("i-2", |_| Reply::Answer(200, "", "done")).await;
        let world = TestProxy::start(&[]).await;
        let config = changed(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#).config;
        let list = fixtures::listed(&[(&server, "s")]);
        world.forwarder.update(SystemState { config: config.clone(), list: Some(Rc::new(list)), proxies: 1 });
        let body = "x".repeat(7_000_000);
        let request = post("/unsafe/", "a", "", &body);
        let asked = world.send_request(&request);
        let played = async {
            let (stream, _) = listener.accept().await.unwrap();
            let mut wire = fixtures::Wire::new(stream);
            wire.head().await.unwrap();
            let list = fixtures::listed(&[(&server, "s"), (&other, "s")]);
            world.forwarder.update(SystemState { config, list: Some(Rc::new(list)), proxies: 1 });
            wire.stream.set_zero_linger().unwrap();
        };
        let (answer, ()) = tokio::join!(asked, played);
        // Then no other gets it.
        expect_that!(answer.status(), eq(502));
        expect_that!(other.seen.borrow().len(), eq(0));
    });
}

//! Reuse and timeouts of connections, request deadlines, and cancellation after a client has disconnected.

mod fixtures;

use bytes::Bytes;
use fixtures::{Reply, StreamPart, TestEndpoint, TestProxy, get, post, run, run_within};
use fleet_model::EndpointList;
use googletest::prelude::*;
use operator_config::OperatorConfig;
use request_forwarding::{Chain, ChainLookup, ReserveOutcome, SystemState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Time limit of scenarios that skip much time.
const TIME_LIMIT: Duration = Duration::from_secs(1_000);

/// The test configuration with one replacement.
fn modified_config(from: &str, to: &str) -> SystemState {
    assert!(fixtures::CONFIG.contains(from));
    let config = OperatorConfig::read(fixtures::CONFIG.replace(from, to).as_bytes()).unwrap();
    SystemState { config: Some(Rc::new(config)), list: None, proxies: 1 }
}

/// Skips this time.
async fn skip(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[gtest]
fn a_raised_idle_timeout_applies_to_existing_connections() {
    run_within(TIME_LIMIT, async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        // Given a connection older than a configuration that raised the idle timeout from 15 s to 60 s.
        let mut client = proxy.client().await;
        expect_that!(client.send_request(&get("/plain/", "a")).await.status(), eq(200));
        proxy.forwarder.update(modified_config(r#""idle_timeout_ms":15000"#, r#""idle_timeout_ms":60000"#));
        // When it has been idle for four fifths of the new timeout, then it is still open.
        skip(Duration::from_secs(24)).await;
        expect_that!(timeout(Duration::from_millis(50), client.is_closed_by_peer()).await, err(anything()));
        skip(Duration::from_secs(24)).await;
        expect_that!(client.send_request(&get("/plain/", "b")).await.status(), eq(200));
        // And once the new timeout has passed, it is closed.
        skip(Duration::from_secs(61)).await;
        expect_true!(client.is_closed_by_peer().await);
    });
}

#[gtest]
fn a_request_that_arrives_as_the_idle_timeout_expires_is_served() {
    run_within(TIME_LIMIT, async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        for number in 0..20 {
            let mut client = proxy.client().await;
            expect_that!(client.send_request(&get("/plain/", "a")).await.status(), eq(200));
            // The request has arrived and the timeout has expired before the proxy checks the connection again.
            let request = post("/unsafe/", &format!("b{number}"), "", "body").bytes();
            expect_that!(client.stream.try_write(&request).unwrap(), eq(request.len()));
            skip(Duration::from_secs(16)).await;
            let response = client.read_message().await;
            expect_that!(response.map(|response| response.status()), some(eq(200)));
        }
        expect_that!(server.received.borrow().len(), eq(40));
    });
}

#[gtest]
fn a_disconnect_cancels_the_call_even_behind_pipelined_bytes() {
    for pipelined in ["GET /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b\r\n\r\n", "GET /pl"] {
        run(async move {
            let server = TestEndpoint::start("i-1", |_| Reply::Silence).await;
            let proxy = TestProxy::start(&[(&server, "s")]).await;
            let mut client = proxy.client().await;
            let mut bytes = post("/unsafe/", "a", "", "b").bytes();
            bytes.extend_from_slice(pipelined.as_bytes());
            client.write(bytes).await;
            server.wait_for_requests(1).await;
            drop(client);
            let closed = timeout(Duration::from_millis(500), server.wait_for_closed(1)).await;
            expect_that!(closed, ok(anything()), "pipelined: {pipelined:?}");
            expect_that!(server.ids(), elements_are![eq("a")]);
        });
    }
}

#[gtest]
fn a_disconnect_cancels_the_stream_even_behind_pipelined_bytes() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = TestEndpoint::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let mut client = proxy.client().await;
        let mut bytes = post("/events/", "a", "", "b").bytes();
        bytes.extend_from_slice(b"GET /plain/ HT");
        client.write(bytes).await;
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        client.read_head().await.unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        drop(client);
        expect_that!(timeout(Duration::from_millis(500), server.wait_for_closed(1)).await, ok(anything()));
    });
}

#[gtest]
fn the_request_of_a_client_that_disconnects_while_waiting_is_not_sent() {
    run(async {
        // Given an endpoint that is full, and a client that disconnects while its request waits.
        let server = TestEndpoint::start("i-1", |_| {
            Reply::Answer(503, "Not-Executed: 1\r\nRetry-After: 0.06\r\n", "")
        })
        .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        client.write(post("/unsafe/", "a", "", "b").bytes()).await;
        server.wait_for_requests(1).await;
        drop(client);
        // When the endpoint's `Retry-After` has passed, then no request arrives.
        let more = timeout(Duration::from_millis(200), server.wait_for_requests(2)).await;
        expect_that!(more, err(anything()));
    });
}

#[gtest]
fn a_request_uses_the_route_timeout_of_the_configuration_at_its_arrival() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Silence).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        proxy.forwarder.update(modified_config(
            r#""path_prefix":"/unsafe/","route_type":"non_idempotent","timeout_ms":6000"#,
            r#""path_prefix":"/unsafe/","route_type":"non_idempotent","timeout_ms":100"#,
        ));
        let started_at = Instant::now();
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(response.status(), eq(504));
        expect_that!(started_at.elapsed(), lt(Duration::from_millis(600)));
        let remaining: u64 =
            server.received.borrow()[0].header("deadline-remaining").unwrap().parse().unwrap();
        expect_that!(remaining, le(100));
    });
}

#[gtest]
fn a_stream_or_request_body_that_exceeds_the_route_timeout_is_ended() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = TestEndpoint::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        proxy.forwarder.update(modified_config(
            r#""path_prefix":"/events/","route_type":"streaming","timeout_ms":6000"#,
            r#""path_prefix":"/events/","route_type":"streaming","timeout_ms":100"#,
        ));
        let started_at = Instant::now();
        let mut client = proxy.client().await;
        client.write(post("/events/", "a", "", "b").bytes()).await;
        parts.send(StreamPart::Bytes("data: one\n\n")).ok().unwrap();
        client.read_head().await.unwrap();
        expect_that!(client.read_chunk().await, some(anything()));
        expect_that!(client.read_chunk().await, none());
        // The same for a request body that does not arrive: the 408 guarantees that the request was not executed.
        let mut client = proxy.client().await;
        client
            .write(
                "POST /events/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b\r\nContent-Length: 4\r\n\r\nbo",
            )
            .await;
        expect_that!(client.read_message().await.unwrap().status(), eq(408));
        expect_that!(started_at.elapsed(), lt(Duration::from_millis(1_000)));
    });
}

#[gtest]
fn every_send_states_the_remaining_time_until_the_deadline() {
    run(async {
        let mut requests = 0;
        let server = TestEndpoint::start("i-1", move |_| {
            requests += 1;
            match requests {
                1 => Reply::Answer(503, "Not-Executed: 1\r\nRetry-After: 0.05\r\n", ""),
                _ => Reply::Answer(200, "", ""),
            }
        })
        .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        // A request without `Deadline-Remaining` gets its route's timeout.
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a\r\n\r\n").await;
        expect_that!(client.read_message().await.unwrap().status(), eq(200));
        let remaining: Vec<u64> = server
            .received
            .borrow()
            .iter()
            .map(|request| request.header("deadline-remaining").unwrap().parse().unwrap())
            .collect();
        expect_that!(remaining.len(), eq(2));
        expect_that!(remaining[0], all![gt(5_000), le(6_000)]);
        expect_that!(remaining[1], gt(5_000));
        expect_that!(remaining[0] - remaining[1], ge(50));
    });
}

#[gtest]
fn without_a_configuration_every_request_is_refused_with_503() {
    run(async {
        let proxy = TestProxy::unconfigured().await;
        let long = "x".repeat(5 << 20);
        for request in [
            get("/nowhere/", "a"),
            post("/turns/", "b", "Previous: t\r\n", ""),
            post("/unsafe/", "c", "", &long),
        ] {
            let mut client = proxy.client().await;
            // A request that is too long is responded to before it was received completely.
            let _ = timeout(Duration::from_millis(300), async {
                use tokio::io::AsyncWriteExt;
                let _ = client.stream.write_all(&request.bytes()).await;
            })
            .await;
            let response = client.read_message().await.unwrap();
            expect_that!((response.status(), response.header("retry-after")), eq((503, Some("0.250"))));
        }
        let mut client = proxy.client().await;
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\n\r\n").await;
        expect_that!(client.read_message().await.unwrap().status(), eq(503));
    });
}

#[gtest]
fn a_421_for_another_version_of_the_weights_does_not_mean_another_incarnation() {
    run(async {
        let server = TestEndpoint::start("i-1", |request| match request.header("expect-version") {
            Some(_) => Reply::Answer(421, "", ""),
            None => Reply::Answer(200, "Versions: 3\r\n", "done"),
        })
        .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let refused = proxy.send_request(&post("/unsafe/", "a", "Expect-Version: 2\r\n", "b")).await;
        expect_that!((refused.status(), refused.header("retry-after").is_some()), eq((503, true)));
        let response = proxy.send_request(&post("/unsafe/", "b", "", "b")).await;
        expect_that!((response.status(), response.header("versions")), eq((200, Some("3"))));
    });
}

#[gtest]
fn an_events_versions_line_is_forwarded_but_not_stored() {
    run(async {
        let (parts, receiver) = mpsc::unbounded_channel();
        let mut receiver = Some(receiver);
        let server = TestEndpoint::start("i-1", move |_| Reply::Stream(receiver.take().unwrap())).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        let mut client = proxy.client().await;
        client
            .write(post("/turns/", "t1", "Program: p\r\nBudget: 50\r\nToken-Usage: 4,6\r\n", "in").bytes())
            .await;
        client.read_head().await.unwrap();
        for event in ["id: 1\ndata: one\n\n", "versions: 4\nid: 2\ndata: two\n\n"] {
            parts.send(StreamPart::Bytes(event)).ok().unwrap();
            expect_that!(client.read_chunk().await, some(eq(event.as_bytes())));
        }
        parts.send(StreamPart::End).ok().unwrap();
        expect_that!(client.read_chunk().await, some(eq(b"")));
        let stored = proxy.turns.stored.borrow();
        expect_that!(stored[0].output, eq(&Bytes::from_static(b"one\ntwo\n")));
        expect_that!(stored[0].tokens, eq(4));
    });
}

#[gtest]
fn a_program_with_an_exhausted_budget_is_rejected_each_time() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| unreachable!("nothing is sent")).await;
        let proxy = TestProxy::start(&[(&server, "m")]).await;
        proxy.turns.reserve_result.set(ReserveOutcome::BudgetExhausted);
        *proxy.turns.chain_result.borrow_mut() = ChainLookup::Found(Chain::default());
        for id in ["t1", "t2", "t3"] {
            let headers = "Program: p\r\nBudget: 50\r\nToken-Usage: 4,6\r\n";
            let response = proxy.send_request(&post("/turns/", id, headers, "in")).await;
            expect_that!((response.status(), response.header("server-seal")), eq((402, None)));
        }
        expect_that!(proxy.turns.reserved.borrow().len(), eq(3));
    });
}

#[gtest]
fn a_connection_with_an_unfinished_request_body_is_not_reused() {
    run(async {
        // Given an endpoint that responds to the head of a long request and reads its body later.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let stub = TestEndpoint::start("i-0", |_| unreachable!()).await;
        let server = TestEndpoint { instance: "i-1", address, ..stub };
        let proxy = TestProxy::start(&[]).await;
        proxy.forwarder.update(modified_config(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#));
        let list = fixtures::endpoint_list(&[(&server, "s")]);
        let config = modified_config(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#).config;
        proxy.forwarder.update(SystemState { config, list: Some(Rc::<EndpointList>::new(list)), proxies: 1 });
        let body = "x".repeat(7_000_000);
        let client_side = async {
            let mut client = proxy.client().await;
            let first = client.send_request(&post("/unsafe/", "a", "", &body)).await;
            let second = client.send_request(&post("/unsafe/", "b", "", "second")).await;
            (first.status(), second.status())
        };
        let endpoint_side = async {
            let (stream, _) = listener.accept().await.unwrap();
            let mut connection = fixtures::HttpConnection::new(stream);
            let head = connection.read_head().await.unwrap();
            let response = |id: &str| {
                format!("HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok")
            };
            connection.write(response("a")).await;
            // The next request arrives on another connection, since the rest of the first body is still to be written
            // here.
            let (stream, _) = listener.accept().await.unwrap();
            let mut next = fixtures::HttpConnection::new(stream);
            let second = next.read_message().await.unwrap();
            next.write(response("b")).await;
            let mut first = head;
            connection.read_body(&mut first).await;
            (first, second)
        };
        let (statuses, (first, second)) = tokio::join!(client_side, endpoint_side);
        expect_that!(statuses, eq((200, 200)));
        expect_that!((second.header("attempt-id"), second.text()), eq((Some("b"), "second")));
        expect_true!(first.body.iter().all(|byte| *byte == b'x'));
    });
}

#[gtest]
fn a_request_whose_body_was_partly_written_counts_as_possibly_executed() {
    run(async {
        // Given an endpoint that starts execution at the head, and then resets.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let stub = TestEndpoint::start("i-0", |_| unreachable!()).await;
        let server = TestEndpoint { instance: "i-1", address, ..stub };
        let other = TestEndpoint::start("i-2", |_| Reply::Answer(200, "", "done")).await;
        let proxy = TestProxy::start(&[]).await;
        let config = modified_config(r#""max_body_bytes":1000"#, r#""max_body_bytes":8000000"#).config;
        let list = fixtures::endpoint_list(&[(&server, "s")]);
        proxy.forwarder.update(SystemState { config: config.clone(), list: Some(Rc::new(list)), proxies: 1 });
        let body = "x".repeat(7_000_000);
        let request = post("/unsafe/", "a", "", &body);
        let client_side = proxy.send_request(&request);
        let endpoint_side = async {
            let (stream, _) = listener.accept().await.unwrap();
            let mut connection = fixtures::HttpConnection::new(stream);
            connection.read_head().await.unwrap();
            let list = fixtures::endpoint_list(&[(&server, "s"), (&other, "s")]);
            proxy.forwarder.update(SystemState { config, list: Some(Rc::new(list)), proxies: 1 });
            connection.stream.set_zero_linger().unwrap();
        };
        let (response, ()) = tokio::join!(client_side, endpoint_side);
        // Then it is not sent to the other endpoint.
        expect_that!(response.status(), eq(502));
        expect_that!(other.received.borrow().len(), eq(0));
    });
}

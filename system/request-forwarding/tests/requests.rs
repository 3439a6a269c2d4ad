//! Requests without streaming: which endpoint receives them, how often they are sent, and the response to the client.

mod fixtures;

use fixtures::{HttpConnection, Reply, TestEndpoint, TestProxy, get, post, run};
use googletest::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const DECLINE: Reply = Reply::Answer(503, "Not-Executed: 1\r\n", "full");

/// Starts two endpoints. Whichever receives the first request reacts with `first`; all other requests succeed.
async fn start_two(first: impl Fn() -> Reply + 'static) -> (TestEndpoint, TestEndpoint) {
    let was_called = Rc::new(Cell::new(false));
    let first = Rc::new(first);
    let reply = move || {
        let (was_called, first) = (was_called.clone(), first.clone());
        move |_: &fixtures::Message| match was_called.replace(true) {
            false => first(),
            true => Reply::Answer(200, "", "done"),
        }
    };
    (TestEndpoint::start("i-1", reply()).await, TestEndpoint::start("i-2", reply()).await)
}

fn sends(servers: &(TestEndpoint, TestEndpoint)) -> usize {
    servers.0.received.borrow().len() + servers.1.received.borrow().len()
}

#[gtest]
fn requests_and_responses_are_forwarded_unchanged_except_for_hop_by_hop_headers() {
    run(async {
        let server =
            TestEndpoint::start("i-1", |_| Reply::Answer(201, "Keep-Alive: timeout=5\r\nX: y\r\n", "bytes"))
                .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let headers =
            "Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nX-Own: 2\r\nPrevious: p\r\nFinish-Ms: 800\r\n";
        let response = proxy.send_request(&post("/unsafe/a%20b?c=d", "id-1", headers, "body")).await;
        expect_that!(response.status(), eq(201));
        expect_that!(response.text(), eq("bytes"));
        expect_that!(response.header("server-seal"), some(eq("seal-id-1")));
        expect_that!(response.header("attempt-id"), some(eq("id-1")));
        expect_that!(response.header("x"), some(eq("y")));
        expect_that!(response.header("keep-alive"), none());
        let received = server.received.borrow();
        expect_that!(received[0].start_line, eq("POST /unsafe/a%20b?c=d HTTP/1.1"));
        expect_that!(received[0].text(), eq("body"));
        expect_that!(received[0].header("host"), some(eq("a.example")));
        expect_that!(received[0].header("expect-instance"), some(eq("i-1")));
        expect_that!(received[0].header("priority"), some(eq("0")));
        expect_that!(received[0].header("previous"), some(eq("p")));
        expect_that!(received[0].header("x-own"), some(eq("2")));
        expect_that!(received[0].header("x-hop"), none());
        let remaining: u64 = received[0].header("deadline-remaining").unwrap().parse().unwrap();
        expect_that!(remaining, all!(gt(3000), le(5000)));
    });
}

#[gtest]
fn a_chunked_request_body_reaches_the_endpoint_completely() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        client.write("POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        client.write("3\r\nabc\r\n").await;
        client.write("4\r\ndefg\r\n0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        expect_that!(response.status(), eq(200));
        expect_that!(server.received.borrow()[0].text(), eq("abcdefg"));
        // And the connection stays usable.
        expect_that!(client.send_request(&get("/plain/", "d")).await.status(), eq(200));
    });
}

#[gtest]
fn requests_without_route_or_id_or_beyond_a_limit_are_rejected_locally() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "")).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let missing = proxy.send_request(&get("/nowhere/", "a")).await;
        expect_that!((missing.status(), missing.header("attempt-id")), eq((404, Some("a"))));
        let mut client = proxy.client().await;
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\n\r\n").await;
        expect_that!(client.read_message().await.unwrap().status(), eq(400));
        expect_that!(
            proxy.send_request(&post("/unsafe/", "b", "", &"x".repeat(1001))).await.status(),
            eq(413)
        );
        expect_that!(server.received.borrow().len(), eq(0));
    });
}

#[gtest]
fn without_a_configuration_the_response_has_a_retry_after() {
    run(async {
        let proxy = TestProxy::unconfigured().await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((response.status(), response.header("retry-after")), eq((503, Some("0.250"))));
    });
}

#[gtest]
fn a_421_of_another_incarnation_is_retried_at_another_endpoint() {
    run(async {
        let servers = start_two(|| Reply::Answer(421, "Not-Executed: 1\r\n", "")).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((response.status(), response.text()), eq((200, "done")));
        expect_that!((servers.0.received.borrow().len(), servers.1.received.borrow().len()), eq((1, 1)));
    });
}

#[gtest]
fn a_declined_non_idempotent_request_is_retried_at_another_endpoint() {
    run(async {
        let servers = start_two(|| DECLINE).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(response.status(), eq(200));
        expect_that!((servers.0.received.borrow().len(), servers.1.received.borrow().len()), eq((1, 1)));
    });
}

#[gtest]
fn a_request_declined_everywhere_is_refused_with_retry_after() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| DECLINE).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(response.status(), eq(503));
        expect_that!(response.header("retry-after").unwrap().parse::<f64>().unwrap(), gt(0.0));
        expect_that!(response.header("server-seal"), none());
    });
}

#[gtest]
fn a_non_idempotent_request_fails_after_a_reset() {
    run(async {
        let servers = start_two(|| Reply::Reset).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(response.status(), eq(502));
        expect_that!(sends(&servers), eq(1));
    });
}

#[gtest]
fn an_idempotent_request_is_retried_after_a_reset_or_an_unusable_response() {
    let truncated = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf";
    let unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\nhalf";
    let noise = "\u{1}\u{2} this is no answer\r\n\r\n";
    for first in [None, Some(truncated), Some(unframed), Some(noise)] {
        run(async move {
            let servers = start_two(move || first.map_or(Reply::Reset, Reply::RawClose)).await;
            let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let response = proxy.send_request(&get("/plain/", "a")).await;
            expect_that!((response.status(), response.text()), eq((200, "done")), "after {first:?}");
            expect_that!(sends(&servers), eq(2));
        });
    }
}

#[gtest]
fn a_truncated_response_to_a_non_idempotent_request_is_not_forwarded() {
    run(async {
        let truncated =
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf";
        let servers = start_two(move || Reply::RawClose(truncated)).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((response.status(), sends(&servers)), eq((502, 1)));
    });
}

#[gtest]
fn a_response_to_another_request_or_without_a_seal_is_not_forwarded() {
    let foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nalien";
    let foreign_refusal =
        "HTTP/1.1 503 X\r\nAttempt-Id: other\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nalien";
    let unsealed = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 5\r\n\r\nalien";
    for first in [foreign, foreign_refusal, unsealed] {
        run(async move {
            let servers = start_two(move || Reply::Raw(first)).await;
            let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
            expect_that!((response.status(), response.text()), eq((502, "Bad Gateway")), "after {first:?}");
            expect_that!(sends(&servers), eq(1));
        });
    }
}

#[gtest]
fn bytes_after_a_complete_response_are_not_taken_for_the_next_response() {
    run(async {
        let with_extra_response = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nalien";
        let servers = start_two(move || Reply::Raw(with_extra_response)).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let mut client = proxy.client().await;
        let response = client.send_request(&get("/plain/", "a")).await;
        expect_that!((response.status(), response.text()), eq((200, "ok")));
        let response = client.send_request(&post("/unsafe/", "b", "", "b")).await;
        expect_that!((response.status(), response.text()), eq((200, "done")));
    });
}

#[gtest]
fn a_refusal_without_a_not_executed_statement_is_not_retried() {
    for status in [503, 429, 408] {
        run(async move {
            let servers = start_two(move || Reply::Answer(status, "Retry-After: 1\r\n", "")).await;
            let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
            expect_that!((response.status(), sends(&servers)), eq((502, 1)), "after {status}");
        });
    }
}

#[gtest]
fn an_idempotent_request_is_retried_elsewhere_if_the_endpoint_is_silent() {
    run(async {
        let servers = start_two(|| Reply::Silence).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&get("/plain/", "a")).await;
        expect_that!((response.status(), response.text()), eq((200, "done")));
        expect_that!(sends(&servers), eq(2));
    });
}

#[gtest]
fn a_non_idempotent_request_waits_for_a_silent_endpoint() {
    run(async {
        let servers = start_two(|| Reply::Silence).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        // The route's timeout is 150 ms.
        let response = proxy.send_request(&post("/short/", "a", "", "b")).await;
        expect_that!((response.status(), sends(&servers)), eq((504, 1)));
    });
}

#[gtest]
fn a_connection_idle_for_as_long_as_a_lost_one_is_not_reused() {
    run(async {
        // The endpoint drops a connection silently after its first request: the next request on it is reset.
        let count = Rc::new(Cell::new(0));
        let server = TestEndpoint::start("i-1", move |_| {
            count.set(count.get() + 1);
            match count.get() {
                2 => Reply::Reset,
                _ => Reply::Answer(200, "", "done"),
            }
        })
        .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let skip_idle_time = async || {
            tokio::time::pause();
            tokio::time::advance(std::time::Duration::from_millis(120)).await;
            tokio::time::resume();
        };
        expect_that!(proxy.send_request(&post("/unsafe/", "a", "", "b")).await.status(), eq(200));
        skip_idle_time().await;
        expect_that!(proxy.send_request(&post("/unsafe/", "b", "", "b")).await.status(), eq(502));
        // The connection that was reset has ended; the next request opens another, which is then idle for the same time.
        expect_that!(proxy.send_request(&post("/unsafe/", "c", "", "b")).await.status(), eq(200));
        skip_idle_time().await;
        expect_that!(proxy.send_request(&post("/unsafe/", "d", "", "b")).await.status(), eq(200));
        expect_that!(proxy.forwarder.metrics().connections_opened, eq(3));
    });
}

#[gtest]
fn an_endpoints_500_is_forwarded() {
    run(async {
        let servers = start_two(|| Reply::Answer(500, "", "own words")).await;
        let proxy = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let response = proxy.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((response.status(), response.text()), eq((500, "own words")));
        expect_that!(response.header("server-seal"), some(eq("seal-a")));
        expect_that!(sends(&servers), eq(1));
    });
}

#[gtest]
fn a_failed_connection_attempt_allows_a_retry_of_a_non_idempotent_request() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let unreachable_endpoint = TestEndpoint::start("i-2", |_| Reply::Silence).await;
        let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let std::net::SocketAddr::V4(unused_address) = unused_address else { unreachable!() };
        let unreachable_endpoint = TestEndpoint { address: unused_address, ..unreachable_endpoint };
        let proxy = TestProxy::start(&[(&unreachable_endpoint, "s"), (&server, "s")]).await;
        for _ in 0..4 {
            expect_that!(proxy.send_request(&post("/unsafe/", "a", "", "b")).await.status(), eq(200));
        }
    });
}

#[gtest]
fn a_sent_request_fails_with_504_at_its_deadline() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Silence).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let response = proxy.send_request(&post("/short/", "a", "", "b")).await;
        expect_that!(response.status(), eq(504));
        server.wait_for_closed(1).await;
        expect_that!(server.received.borrow().len(), eq(1));
    });
}

#[gtest]
fn a_client_disconnect_cancels_the_call() {
    run(async {
        let server = TestEndpoint::start("i-1", |_| Reply::Silence).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        client.write(post("/unsafe/", "a", "", "b").bytes()).await;
        server.wait_for_requests(1).await;
        drop(client);
        server.wait_for_closed(1).await;
    });
}

#[gtest]
fn endpoint_connections_are_reused_unless_the_endpoint_closes_them() {
    run(async {
        let server = TestEndpoint::start("i-1", |request| match request.header("attempt-id") {
            Some("b") => Reply::Answer(200, "Connection: close\r\n", ""),
            _ => Reply::Answer(200, "", ""),
        })
        .await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let mut client = proxy.client().await;
        for (id, opened) in [("a", 1), ("b", 1), ("c", 2)] {
            expect_that!(client.send_request(&get("/plain/", id)).await.status(), eq(200));
            expect_that!(proxy.forwarder.metrics().connections_opened, eq(opened), "after {id}");
        }
    });
}

#[gtest]
fn a_large_response_is_streamed_with_its_content_length() {
    run(async {
        let body: &'static str = Box::leak("0123456789abcdef".repeat(100_000).into_boxed_str());
        let server = TestEndpoint::start("i-1", move |_| Reply::Answer(200, "", body)).await;
        let proxy = TestProxy::start(&[(&server, "s")]).await;
        let response = proxy.send_request(&get("/plain/", "a")).await;
        expect_that!(response.header("content-length"), some(eq("1600000")));
        expect_true!(response.complete && response.text() == body);
    });
}

#[gtest]
fn the_readiness_probe_returns_the_current_state() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ready = Rc::new(Cell::new(false));
        let current = ready.clone();
        spawn_local(request_forwarding::serve_readiness(listener, move || current.get()));
        for (is_ready, status) in [(false, 503), (true, 200)] {
            ready.set(is_ready);
            let mut prober = HttpConnection::open(address).await;
            prober.write("GET /sedgewood/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await;
            expect_that!(prober.read_message().await.unwrap().status(), eq(status));
        }
    });
}

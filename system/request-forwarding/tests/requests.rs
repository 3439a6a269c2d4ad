//! Plain requests: who gets them, how often, and what the client is told.

mod fixtures;

use fixtures::{Reply, Server, TestProxy, Wire, get, post, run};
use googletest::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const REFUSAL: Reply = Reply::Answer(503, "Not-Executed: 1\r\n", "full");

/// Two endpoints of one service, of which the first that is asked does something else than the other.
async fn two(first: impl Fn() -> Reply + 'static) -> (Server, Server) {
    let asked = Rc::new(Cell::new(false));
    let first = Rc::new(first);
    let reply = move || {
        let (asked, first) = (asked.clone(), first.clone());
        move |_: &fixtures::Message| match asked.replace(true) {
            false => first(),
            true => Reply::Answer(200, "", "done"),
        }
    };
    (Server::start("i-1", reply()).await, Server::start("i-2", reply()).await)
}

fn sends(servers: &(Server, Server)) -> usize {
    servers.0.seen.borrow().len() + servers.1.seen.borrow().len()
}

#[gtest]
fn a_request_is_passed_on_as_it_is_and_so_is_its_answer() {
    run(async {
        let server =
            Server::start("i-1", |_| Reply::Answer(201, "Keep-Alive: timeout=5\r\nX: y\r\n", "bytes")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let headers =
            "Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nX-Own: 2\r\nPrevious: p\r\nFinish-Ms: 800\r\n";
        let answer = world.send_request(&post("/unsafe/a%20b?c=d", "id-1", headers, "body")).await;
        expect_that!(answer.status(), eq(201));
        expect_that!(answer.text(), eq("bytes"));
        expect_that!(answer.header("server-seal"), some(eq("seal-id-1")));
        expect_that!(answer.header("attempt-id"), some(eq("id-1")));
        expect_that!(answer.header("x"), some(eq("y")));
        expect_that!(answer.header("keep-alive"), none());
        let seen = server.seen.borrow();
        expect_that!(seen[0].first, eq("POST /unsafe/a%20b?c=d HTTP/1.1"));
        expect_that!(seen[0].text(), eq("body"));
        expect_that!(seen[0].header("host"), some(eq("a.example")));
        expect_that!(seen[0].header("expect-instance"), some(eq("i-1")));
        expect_that!(seen[0].header("priority"), some(eq("0")));
        expect_that!(seen[0].header("previous"), some(eq("p")));
        expect_that!(seen[0].header("x-own"), some(eq("2")));
        expect_that!(seen[0].header("x-hop"), none());
        let left: u64 = seen[0].header("deadline-remaining").unwrap().parse().unwrap();
        expect_that!(left, all!(gt(3000), le(5000)));
    });
}

#[gtest]
fn a_body_in_chunks_reaches_the_endpoint_whole() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        client.write("POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        client.write("3\r\nabc\r\n").await;
        client.write("4\r\ndefg\r\n0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        expect_that!(answer.status(), eq(200));
        expect_that!(server.seen.borrow()[0].text(), eq("abcdefg"));
        // And the connection goes on.
        expect_that!(client.send_request(&get("/plain/", "d")).await.status(), eq(200));
    });
}

#[gtest]
fn what_no_route_or_limit_allows_is_answered_here() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "")).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let missing = world.send_request(&get("/nowhere/", "a")).await;
        expect_that!((missing.status(), missing.header("attempt-id")), eq((404, Some("a"))));
        let mut client = world.client().await;
        client.write("GET /plain/ HTTP/1.1\r\nHost: a.example\r\n\r\n").await;
        expect_that!(client.message().await.unwrap().status(), eq(400));
        expect_that!(
            world.send_request(&post("/unsafe/", "b", "", &"x".repeat(1001))).await.status(),
            eq(413)
        );
        expect_that!(server.seen.borrow().len(), eq(0));
    });
}

#[gtest]
fn without_a_configuration_the_client_is_to_come_again() {
    run(async {
        let world = TestProxy::unconfigured().await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((answer.status(), answer.header("retry-after")), eq((503, Some("0.250"))));
    });
}

#[gtest]
fn another_incarnation_is_not_shown_to_the_client() {
    run(async {
        let servers = two(|| Reply::Answer(421, "Not-Executed: 1\r\n", "")).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((answer.status(), answer.text()), eq((200, "done")));
        expect_that!((servers.0.seen.borrow().len(), servers.1.seen.borrow().len()), eq((1, 1)));
    });
}

#[gtest]
fn a_refused_request_that_cannot_be_repeated_goes_to_another_endpoint() {
    run(async {
        let servers = two(|| REFUSAL).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(answer.status(), eq(200));
        expect_that!((servers.0.seen.borrow().len(), servers.1.seen.borrow().len()), eq((1, 1)));
    });
}

#[gtest]
fn refused_everywhere_it_is_refused_with_a_time() {
    run(async {
        let server = Server::start("i-1", |_| REFUSAL).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(answer.status(), eq(503));
        expect_that!(answer.header("retry-after").unwrap().parse::<f64>().unwrap(), gt(0.0));
        expect_that!(answer.header("server-seal"), none());
    });
}

#[gtest]
fn after_a_reset_a_request_that_cannot_be_repeated_has_failed() {
    run(async {
        let servers = two(|| Reply::Reset).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!(answer.status(), eq(502));
        expect_that!(sends(&servers), eq(1));
    });
}

#[gtest]
fn after_a_reset_or_an_answer_cut_short_an_idempotent_request_goes_again() {
    let cut = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf";
    let unending = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\nhalf";
    let noise = "\u{1}\u{2} this is no answer\r\n\r\n";
    for first in [None, Some(cut), Some(unending), Some(noise)] {
        run(async move {
            let servers = two(move || first.map_or(Reply::Reset, Reply::RawClose)).await;
            let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let answer = world.send_request(&get("/plain/", "a")).await;
            expect_that!((answer.status(), answer.text()), eq((200, "done")), "after {first:?}");
            expect_that!(sends(&servers), eq(2));
        });
    }
}

#[gtest]
fn an_answer_cut_short_is_not_passed_on_where_the_request_cannot_be_repeated() {
    run(async {
        let cut = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf";
        let servers = two(move || Reply::RawClose(cut)).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((answer.status(), sends(&servers)), eq((502, 1)));
    });
}

#[gtest]
fn an_answer_to_another_request_or_without_a_seal_is_never_shown() {
    let foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nalien";
    let foreign_refusal =
        "HTTP/1.1 503 X\r\nAttempt-Id: other\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nalien";
    let unsealed = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 5\r\n\r\nalien";
    for first in [foreign, foreign_refusal, unsealed] {
        run(async move {
            let servers = two(move || Reply::Raw(first)).await;
            let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
            expect_that!((answer.status(), answer.text()), eq((502, "Bad Gateway")), "after {first:?}");
            expect_that!(sends(&servers), eq(1));
        });
    }
}

#[gtest]
fn bytes_after_a_whole_answer_belong_to_no_request() {
    run(async {
        let with_more = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nalien";
        let servers = two(move || Reply::Raw(with_more)).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let mut client = world.client().await;
        let answer = client.send_request(&get("/plain/", "a")).await;
        expect_that!((answer.status(), answer.text()), eq((200, "ok")));
        let answer = client.send_request(&post("/unsafe/", "b", "", "b")).await;
        expect_that!((answer.status(), answer.text()), eq((200, "done")));
    });
}

#[gtest]
fn a_refusal_that_does_not_say_it_never_ran_is_no_promise() {
    for status in [503, 429, 408] {
        run(async move {
            let servers = two(move || Reply::Answer(status, "Retry-After: 1\r\n", "")).await;
            let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
            let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
            expect_that!((answer.status(), sends(&servers)), eq((502, 1)), "after {status}");
        });
    }
}

#[gtest]
fn a_silent_endpoint_is_left_for_another_where_the_request_may_run_twice() {
    run(async {
        let servers = two(|| Reply::Silence).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&get("/plain/", "a")).await;
        expect_that!((answer.status(), answer.text()), eq((200, "done")));
        expect_that!(sends(&servers), eq(2));
    });
}

#[gtest]
fn a_silent_endpoint_is_waited_for_where_the_request_cannot_be_repeated() {
    run(async {
        let servers = two(|| Reply::Silence).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        // Its route's whole time is 150 ms.
        let answer = world.send_request(&post("/short/", "a", "", "b")).await;
        expect_that!((answer.status(), sends(&servers)), eq((504, 1)));
    });
}

#[gtest]
fn a_connection_idle_for_longer_than_others_lived_is_not_used() {
    run(async {
        // Each connection is forgotten once it has carried one request: the next one on it is reset.
        let connection = Rc::new(Cell::new(0));
        let count = connection.clone();
        let server = Server::start("i-1", move |_| {
            count.set(count.get() + 1);
            match count.get() {
                2 => Reply::Reset,
                _ => Reply::Answer(200, "", "done"),
            }
        })
        .await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let idle = async || {
            tokio::time::pause();
            tokio::time::advance(std::time::Duration::from_millis(120)).await;
            tokio::time::resume();
        };
        expect_that!(world.send_request(&post("/unsafe/", "a", "", "b")).await.status(), eq(200));
        idle().await;
        expect_that!(world.send_request(&post("/unsafe/", "b", "", "b")).await.status(), eq(502));
        // The connection that was reset has ended; the next request opens another, which goes idle as long.
        expect_that!(world.send_request(&post("/unsafe/", "c", "", "b")).await.status(), eq(200));
        idle().await;
        expect_that!(world.send_request(&post("/unsafe/", "d", "", "b")).await.status(), eq(200));
        expect_that!(world.forwarder.metrics().connections_opened, eq(3));
    });
}

#[gtest]
fn an_endpoints_own_error_is_passed_on() {
    run(async {
        let servers = two(|| Reply::Answer(500, "", "own words")).await;
        let world = TestProxy::start(&[(&servers.0, "s"), (&servers.1, "s")]).await;
        let answer = world.send_request(&post("/unsafe/", "a", "", "b")).await;
        expect_that!((answer.status(), answer.text()), eq((500, "own words")));
        expect_that!(answer.header("server-seal"), some(eq("seal-a")));
        expect_that!(sends(&servers), eq(1));
    });
}

#[gtest]
fn no_connection_means_that_nothing_ran() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Answer(200, "", "done")).await;
        let gone = Server::start("i-2", |_| Reply::Silence).await;
        let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let std::net::SocketAddr::V4(free) = free else { unreachable!() };
        let gone = Server { address: free, ..gone };
        let world = TestProxy::start(&[(&gone, "s"), (&server, "s")]).await;
        for _ in 0..4 {
            expect_that!(world.send_request(&post("/unsafe/", "a", "", "b")).await.status(), eq(200));
        }
    });
}

#[gtest]
fn at_the_deadline_a_request_that_was_sent_has_failed() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Silence).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let answer = world.send_request(&post("/short/", "a", "", "b")).await;
        expect_that!(answer.status(), eq(504));
        server.has_closed(1).await;
        expect_that!(server.seen.borrow().len(), eq(1));
    });
}

#[gtest]
fn with_the_client_the_call_goes() {
    run(async {
        let server = Server::start("i-1", |_| Reply::Silence).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        client.write(post("/unsafe/", "a", "", "b").bytes()).await;
        server.has_seen(1).await;
        drop(client);
        server.has_closed(1).await;
    });
}

#[gtest]
fn a_connection_is_used_again_unless_the_endpoint_ends_it() {
    run(async {
        let server = Server::start("i-1", |request| match request.header("attempt-id") {
            Some("b") => Reply::Answer(200, "Connection: close\r\n", ""),
            _ => Reply::Answer(200, "", ""),
        })
        .await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let mut client = world.client().await;
        for (id, opened) in [("a", 1), ("b", 1), ("c", 2)] {
            expect_that!(client.send_request(&get("/plain/", id)).await.status(), eq(200));
            expect_that!(world.forwarder.metrics().connections_opened, eq(opened), "after {id}");
        }
    });
}

#[gtest]
fn a_large_answer_is_passed_on_with_its_length() {
    run(async {
        let body: &'static str = Box::leak("0123456789abcdef".repeat(100_000).into_boxed_str());
        let server = Server::start("i-1", move |_| Reply::Answer(200, "", body)).await;
        let world = TestProxy::start(&[(&server, "s")]).await;
        let answer = world.send_request(&get("/plain/", "a")).await;
        expect_that!(answer.header("content-length"), some(eq("1600000")));
        expect_true!(answer.whole && answer.text() == body);
    });
}

#[gtest]
fn readiness_is_told() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ready = Rc::new(Cell::new(false));
        let told = ready.clone();
        spawn_local(request_forwarding::serve_readiness(listener, move || told.get()));
        for (is_ready, status) in [(false, 503), (true, 200)] {
            ready.set(is_ready);
            let mut asker = Wire::open(address).await;
            asker.write("GET /sedgewood/readiness HTTP/1.1\r\nHost: x\r\n\r\n").await;
            expect_that!(asker.message().await.unwrap().status(), eq(status));
        }
    });
}

//! Answers of endpoints that were changed in many ways, over sockets: a client gets an endpoint's answer only as its own.

mod fixtures;

use byte_mutation::mutated;
use fixtures::{Reply, Server, TestProxy, get, post, run};
use googletest::prelude::*;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;

const SAMPLES: &[&str] = &[
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nServer-Load: 3, 2, 16\r\nKeep-Alive: timeout=5, max=9\r\nContent-Length: 4\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 0.250\r\nServer-Load: 16, 40, 16\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 X\r\nAttempt-Id: {id}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 204 X\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nKeep-Alive: timeout=18446744073709551615\r\n\r\n",
    "HTTP/1.0 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\none",
];

/// Changed answers, the same in every run.
fn answers(count: usize) -> Vec<&'static str> {
    let samples: Vec<Vec<u8>> = SAMPLES.iter().map(|sample| sample.as_bytes().to_vec()).collect();
    let strategy = mutated(samples);
    let mut runner = TestRunner::deterministic();
    let changed = (0..count).map(|_| strategy.new_tree(&mut runner).unwrap().current());
    let texts = changed.map(|bytes| &*String::from_utf8_lossy(&bytes).into_owned().leak());
    SAMPLES.iter().copied().chain(texts).collect()
}

/// Whether these bytes stand in that order in what was sent: chunks have their sizes between.
fn follows(bytes: &[u8], sent: &[u8]) -> bool {
    let mut sent = sent.iter();
    bytes.iter().all(|byte| sent.any(|sent| sent == byte))
}

#[gtest]
fn given_changed_answers_then_a_client_gets_none_that_is_not_its_own_and_the_next_is_served() {
    run(async {
        let (mut successes, mut others) = (0, 0);
        for (number, answer) in answers(400).into_iter().enumerate() {
            // Given an endpoint that answers so once, closes, and is well from then on.
            let mut first = true;
            let server = Server::start("i-1", move |_| match std::mem::take(&mut first) {
                true => Reply::RawClose(answer),
                false => Reply::Answer(200, "", "well"),
            })
            .await;
            let world = TestProxy::start(&[(&server, "s")]).await;
            // When a request that must not be repeated comes, and then one that may be.
            let id = format!("id-{number}");
            let mut client = world.client().await;
            client.write(post("/unsafe/a", &id, "", "body").bytes()).await;
            let got = client.message().await;
            // Then it is sent again only if the endpoint said that it has not run.
            let sends = server.seen.borrow().len();
            let refused = answer.to_ascii_lowercase().contains("\r\nnot-executed");
            expect_that!(sends, le(if refused { 2 } else { 1 }), "{answer:?}");
            let last = if sends == 2 { "well" } else { answer };
            // And a success is the last answer, with its seal.
            match got {
                Some(got) if (200..300).contains(&got.status()) => {
                    successes += 1;
                    expect_that!(got.header("attempt-id"), some(eq(id.as_str())), "{answer:?}");
                    expect_that!(got.header("server-seal").is_some(), eq(true), "{answer:?}");
                    expect_that!(follows(&got.body, last.as_bytes()), eq(true), "{answer:?}");
                }
                _ => others += 1,
            }
            let next = format!("next-{number}");
            let mut client = world.client().await;
            client.write(get("/plain/a", &next).bytes()).await;
            let served = client.message().await.map(|message| message.status());
            // An endpoint that refused, or was misdirected to, may be left alone for a while.
            expect_that!(served, some(any!(eq(200), eq(503))), "{answer:?}");
        }
        println!("{successes} successes, {others} others");
        expect_that!(successes, gt(40));
        expect_that!(others, gt(100));
    });
}

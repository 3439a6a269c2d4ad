//! Mutated endpoint responses, over sockets: a client must never receive a response that does not belong to its request.

mod fixtures;

use byte_mutation::mutated;
use fixtures::{Reply, TestEndpoint, TestProxy, get, post, run};
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

/// The samples and mutations of them, the same in every run.
fn responses(count: usize) -> Vec<&'static str> {
    let samples: Vec<Vec<u8>> = SAMPLES.iter().map(|sample| sample.as_bytes().to_vec()).collect();
    let strategy = mutated(samples);
    let mut runner = TestRunner::deterministic();
    let mutations = (0..count).map(|_| strategy.new_tree(&mut runner).unwrap().current());
    let texts = mutations.map(|bytes| &*String::from_utf8_lossy(&bytes).into_owned().leak());
    SAMPLES.iter().copied().chain(texts).collect()
}

/// Whether these bytes occur in this order in the sent bytes, which may have chunk sizes between them.
fn is_subsequence(bytes: &[u8], sent: &[u8]) -> bool {
    let mut sent = sent.iter();
    bytes.iter().all(|byte| sent.any(|sent| sent == byte))
}

#[gtest]
fn given_mutated_responses_then_a_client_gets_only_its_own_and_the_next_request_is_served() {
    run(async {
        let (mut successes, mut others) = (0, 0);
        for (number, response) in responses(400).into_iter().enumerate() {
            // Given an endpoint that responds with the mutated bytes once, closes, and is healthy from then on.
            let mut first = true;
            let server = TestEndpoint::start("i-1", move |_| match std::mem::take(&mut first) {
                true => Reply::RawClose(response),
                false => Reply::Answer(200, "", "well"),
            })
            .await;
            let proxy = TestProxy::start(&[(&server, "s")]).await;
            // When a non-idempotent request arrives, and then an idempotent one.
            let id = format!("id-{number}");
            let mut client = proxy.client().await;
            client.write(post("/unsafe/a", &id, "", "body").bytes()).await;
            let received = client.read_message().await;
            // Then the first is retried only if the endpoint stated that it was not executed.
            let sends = server.received.borrow().len();
            let declined = response.to_ascii_lowercase().contains("\r\nnot-executed");
            expect_that!(sends, le(if declined { 2 } else { 1 }), "{response:?}");
            let last = if sends == 2 { "well" } else { response };
            // And a success is the last response, with its seal.
            match received {
                Some(received) if (200..300).contains(&received.status()) => {
                    successes += 1;
                    expect_that!(received.header("attempt-id"), some(eq(id.as_str())), "{response:?}");
                    expect_that!(received.header("server-seal").is_some(), eq(true), "{response:?}");
                    expect_that!(is_subsequence(&received.body, last.as_bytes()), eq(true), "{response:?}");
                }
                _ => others += 1,
            }
            let next = format!("next-{number}");
            let mut client = proxy.client().await;
            client.write(get("/plain/a", &next).bytes()).await;
            let served = client.read_message().await.map(|message| message.status());
            // An endpoint that declined or was another incarnation may be avoided for a while.
            expect_that!(served, some(any!(eq(200), eq(503))), "{response:?}");
        }
        println!("{successes} successes, {others} others");
        expect_that!(successes, gt(40));
        expect_that!(others, gt(100));
    });
}

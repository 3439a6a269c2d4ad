//! Sequences of endpoint faults: a non-idempotent request is executed at most once, no response guarantees
//! non-execution of an executed request, and clients and endpoints receive only bytes that belong to their requests.

mod fixtures;

use fixtures::{HttpConnection, Message, TestEndpoint, TestProxy, run};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, spawn_local};

/// Number of scenarios that run concurrently.
const MAX_CONCURRENT: usize = 81;

/// An endpoint's behavior for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Answer,
    /// Sends the response twice in a row.
    AnswerTwice,
    /// Sends the response once more before the connection's next response.
    AnswerAgainLater,
    /// Responds before it has read the body.
    AnswerBeforeBody,
    /// Responds, and then closes or resets the connection.
    AnswerAndClose,
    AnswerAndReset,
    /// Executes the request, and resets the connection before the response, after its head, or within its body.
    ResetBeforeAnswer,
    ResetAfterHead,
    ResetInBody,
    ResetWithoutLength,
    Silence,
    ForeignAnswer,
    /// States that it has not executed the request; `DeclineAgainLater` repeats this before the connection's next
    /// response.
    Decline,
    DeclineAgainLater,
    DeclineBeforeBody,
    AnotherIncarnation,
    /// Executes the request and responds with 503, which guarantees non-execution only together with `Not-Executed`.
    UnstatedPromise,
    Failure,
}

const BEHAVIORS: [Behavior; 18] = [
    Behavior::Answer,
    Behavior::AnswerTwice,
    Behavior::AnswerAgainLater,
    Behavior::AnswerBeforeBody,
    Behavior::AnswerAndClose,
    Behavior::AnswerAndReset,
    Behavior::ResetBeforeAnswer,
    Behavior::ResetAfterHead,
    Behavior::ResetInBody,
    Behavior::ResetWithoutLength,
    Behavior::Silence,
    Behavior::ForeignAnswer,
    Behavior::Decline,
    Behavior::DeclineAgainLater,
    Behavior::DeclineBeforeBody,
    Behavior::AnotherIncarnation,
    Behavior::UnstatedPromise,
    Behavior::Failure,
];

impl Behavior {
    fn executes(self) -> bool {
        !matches!(
            self,
            Self::Decline | Self::DeclineAgainLater | Self::DeclineBeforeBody | Self::AnotherIncarnation
        )
    }
}

/// State that the endpoints of a scenario share: the behaviors to come, and a record of what happened.
#[derive(Default)]
struct Endpoints {
    behaviors: RefCell<std::vec::IntoIter<Behavior>>,
    /// Number of executions by request id.
    executions: RefCell<HashMap<String, usize>>,
    /// Response statuses by request id.
    statuses: RefCell<HashMap<String, Vec<u16>>>,
    /// Received requests that no client sent in this form.
    foreign: RefCell<Vec<Message>>,
}

fn response(status: u16, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

fn body_of(id: &str) -> String {
    format!("what was made for {id}")
}

fn input_of(id: &str) -> String {
    format!("what {id} has sent")
}

impl Endpoints {
    async fn listen(self: &Rc<Self>) -> SocketAddrV4 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let endpoints = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoints = endpoints.clone();
                spawn_local(async move { endpoints.serve(stream).await });
            }
        });
        address
    }

    fn record_status(&self, id: &str, status: u16) {
        self.statuses.borrow_mut().entry(id.to_owned()).or_default().push(status);
    }

    /// Records the request as foreign unless it equals what a client sent.
    fn check_request(&self, request: &Message) {
        let id = request.header("attempt-id").unwrap_or_default();
        let path = request.start_line.split(' ').nth(1).unwrap_or_default();
        let is_own = request.complete
            && path
                .strip_suffix(id)
                .is_some_and(|prefix| ["/plain/", "/unsafe/", "/events/"].contains(&prefix))
            && request.body == input_of(id).as_bytes();
        if !is_own {
            self.foreign.borrow_mut().push(request.clone());
        }
    }

    /// Serves one connection until it ends.
    #[allow(clippy::too_many_lines, reason = "one arm for each behavior")]
    async fn serve(&self, stream: TcpStream) {
        let mut connection = HttpConnection::new(stream);
        let mut repeated: Option<String> = None;
        while let Some(mut request) = connection.read_head().await {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let behavior = self.behaviors.borrow_mut().next().unwrap_or(Behavior::Answer);
            if behavior.executes() {
                *self.executions.borrow_mut().entry(id.clone()).or_default() += 1;
            }
            let (success, decline) = (
                response(200, &id, "", &body_of(&id)),
                response(503, &id, "Not-Executed: 1\r\nRetry-After: 0.01\r\n", ""),
            );
            let early = match behavior {
                Behavior::AnswerBeforeBody => Some((200, &success)),
                Behavior::DeclineBeforeBody => Some((503, &decline)),
                _ => None,
            };
            if let Some((status, early)) = early {
                self.record_status(&id, status);
                send(&mut connection, early).await;
            }
            connection.read_body(&mut request).await;
            if !request.complete {
                return;
            }
            self.check_request(&request);
            if let Some(repeated) = repeated.take() {
                send(&mut connection, &repeated).await;
            }
            let mut reply = async |status: u16, bytes: &str| {
                self.record_status(&id, status);
                send(&mut connection, bytes).await;
            };
            match behavior {
                Behavior::AnswerBeforeBody | Behavior::DeclineBeforeBody => {}
                Behavior::Answer => reply(200, &success).await,
                Behavior::AnswerTwice => reply(200, &success.repeat(2)).await,
                Behavior::AnswerAgainLater => {
                    reply(200, &success).await;
                    repeated = Some(success);
                }
                Behavior::AnswerAndClose => return reply(200, &success).await,
                Behavior::AnswerAndReset => {
                    reply(200, &success).await;
                    return reset(&connection);
                }
                Behavior::ResetBeforeAnswer => return reset(&connection),
                Behavior::ResetAfterHead => {
                    let head = success.find("\r\n\r\n").unwrap() + 4;
                    reply(200, &success[..head]).await;
                    return reset(&connection);
                }
                Behavior::ResetInBody => {
                    reply(200, &success[..success.len() - 3]).await;
                    return reset(&connection);
                }
                Behavior::ResetWithoutLength => {
                    let body = body_of(&id);
                    reply(
                        200,
                        &format!(
                            "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n\r\n{body}"
                        ),
                    )
                    .await;
                    return reset(&connection);
                }
                Behavior::Silence => {
                    // Until the caller closes the connection.
                    let _ = connection.read_head().await;
                    return;
                }
                Behavior::ForeignAnswer => reply(200, &response(200, "nobody", "", "alien")).await,
                Behavior::Decline => reply(503, &decline).await,
                Behavior::DeclineAgainLater => {
                    reply(503, &decline).await;
                    repeated = Some(decline);
                }
                Behavior::AnotherIncarnation => reply(421, &response(421, &id, "", "")).await,
                Behavior::UnstatedPromise => reply(503, &response(503, &id, "", "")).await,
                Behavior::Failure => reply(500, &response(500, &id, "", "own words")).await,
            }
        }
    }
}

/// Writes bytes; the peer may have closed the connection already.
async fn send(connection: &mut HttpConnection, bytes: &str) {
    use tokio::io::AsyncWriteExt;
    let _ = connection.stream.write_all(bytes.as_bytes()).await;
}

fn reset(connection: &HttpConnection) {
    connection.stream.set_zero_linger().unwrap();
}

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Plain,
    Unsafe,
    Events,
}

const KINDS: [Kind; 3] = [Kind::Plain, Kind::Unsafe, Kind::Events];

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Plain => "/plain/",
            Self::Unsafe => "/unsafe/",
            Self::Events => "/events/",
        }
    }

    /// Whether the status guarantees that the request was not executed and never will be.
    fn guarantees_not_executed(self, status: u16) -> bool {
        matches!(status, 408 | 421 | 429 | 503) || self == Self::Events && status == 402
    }
}

/// Requests of a client, and the endpoints' behaviors.
#[derive(Clone, Debug)]
struct Scenario {
    requests: Vec<Kind>,
    /// Whether the client sends all requests before it reads the first response.
    pipelined: bool,
    behaviors: Vec<Behavior>,
}

fn bytes_of(kind: Kind, id: &str) -> String {
    let (path, input) = (kind.path(), input_of(id));
    let length = input.len();
    format!(
        "POST {path}{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: 400\r\nContent-Length: {length}\r\n\r\n{input}"
    )
}

/// Describes what is wrong with a response to a request.
fn response_fault(kind: Kind, id: &str, response: &Message, endpoints: &Endpoints) -> Option<String> {
    let status = response.status();
    if response.header("attempt-id") != Some(id) {
        return Some("the response belongs to another request".into());
    }
    if let Some(seal) = response.header("server-seal") {
        let sent = endpoints.statuses.borrow().get(id).is_some_and(|sent| sent.contains(&status));
        if !sent || seal != format!("seal-{id}") {
            return Some(format!("no endpoint sent a sealed response with status {status}"));
        }
    }
    match status {
        200 if !response.complete && kind == Kind::Events => None,
        _ if !response.complete => Some("the response is truncated".into()),
        200 if response.body != body_of(id).as_bytes() => {
            Some("the response body differs from the endpoint's".into())
        }
        _ => None,
    }
}

async fn run_scenario(scenario: &Scenario) -> std::result::Result<(), String> {
    let endpoints = Rc::new(Endpoints {
        behaviors: RefCell::new(scenario.behaviors.clone().into_iter()),
        ..Endpoints::default()
    });
    let stub = TestEndpoint::start("i-0", |_| unreachable!()).await;
    let first = TestEndpoint { instance: "i-1", address: endpoints.listen().await, ..stub };
    let stub = TestEndpoint::start("i-0", |_| unreachable!()).await;
    let second = TestEndpoint { instance: "i-2", address: endpoints.listen().await, ..stub };
    let proxy = TestProxy::start(&[(&first, "s"), (&second, "s"), (&first, "m"), (&second, "m")]).await;
    let requests: Vec<(Kind, String)> =
        scenario.requests.iter().enumerate().map(|(index, kind)| (*kind, format!("r{index}"))).collect();
    let mut responses: Vec<Option<Message>> = Vec::new();
    let mut client = proxy.client().await;
    if scenario.pipelined {
        let all: String = requests.iter().map(|(kind, id)| bytes_of(*kind, id)).collect();
        client.write(all).await;
    }
    for (kind, id) in &requests {
        if !scenario.pipelined {
            client.write(bytes_of(*kind, id)).await;
        }
        let response = client.read_message().await;
        let is_complete = response.as_ref().is_some_and(|response| response.complete);
        if let Some(fault) =
            response.as_ref().and_then(|response| response_fault(*kind, id, response, &endpoints))
        {
            return Err(format!("{id}: {fault}: {response:?}"));
        }
        responses.push(response);
        if !is_complete {
            if scenario.pipelined {
                // The connection ended with this response, so the pipelined requests behind it have none.
                break;
            }
            client = proxy.client().await;
        }
    }
    if let Some(foreign) = endpoints.foreign.borrow().first() {
        return Err(format!("an endpoint received a foreign request: {foreign:?}"));
    }
    for (index, (kind, id)) in requests.iter().enumerate() {
        let executions = endpoints.executions.borrow().get(id).copied().unwrap_or(0);
        if *kind != Kind::Plain && executions > 1 {
            return Err(format!("{id} was executed {executions} times"));
        }
        match responses.get(index) {
            Some(Some(response))
                if *kind != Kind::Plain
                    && kind.guarantees_not_executed(response.status())
                    && executions > 0 =>
            {
                return Err(format!("{id} was executed, but its response has status {}", response.status()));
            }
            Some(None) => return Err(format!("{id} got no response")),
            _ => {}
        }
    }
    Ok(())
}

/// Runs all scenarios, a limited number concurrently; returns their number.
fn run_scenarios(scenarios: impl IntoIterator<Item = Scenario>) -> usize {
    let mut scenarios = scenarios.into_iter().peekable();
    let mut count = 0;
    while scenarios.peek().is_some() {
        let batch: Vec<Scenario> = scenarios.by_ref().take(MAX_CONCURRENT).collect();
        count += batch.len();
        run(async move {
            let mut running = JoinSet::new();
            for scenario in batch {
                running.spawn_local(async move { (run_scenario(&scenario).await, scenario) });
            }
            while let Some(finished) = running.join_next().await {
                let (result, scenario) = finished.unwrap();
                expect_that!(result, ok(()), "{scenario:?}");
            }
        });
    }
    count
}

#[gtest]
fn given_every_pair_of_endpoint_behaviors_then_executions_and_responses_are_valid() {
    let scenarios = KINDS.into_iter().flat_map(|kind| {
        BEHAVIORS.into_iter().flat_map(move |first| {
            BEHAVIORS.into_iter().map(move |second| Scenario {
                requests: vec![kind, kind],
                pipelined: false,
                behaviors: vec![first, second],
            })
        })
    });
    expect_that!(run_scenarios(scenarios), eq(972));
}

#[gtest]
fn given_longer_sequences_of_endpoint_behaviors_then_executions_and_responses_are_valid() {
    let strategy = (
        prop::collection::vec(prop::sample::select(KINDS.to_vec()), 1..6),
        any::<bool>(),
        prop::collection::vec(prop::sample::select(BEHAVIORS.to_vec()), 2..10),
    );
    let mut runner = TestRunner::deterministic();
    let scenarios = (0..400).map(|_| {
        let (requests, pipelined, behaviors) = strategy.new_tree(&mut runner).unwrap().current();
        Scenario { requests, pipelined, behaviors }
    });
    expect_that!(run_scenarios(scenarios.collect::<Vec<_>>()), eq(400));
}

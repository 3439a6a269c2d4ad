//! Over every order of what endpoints do to the sends of requests: a request that cannot be repeated runs at most once,
//! nothing is promised of one that ran, and no bytes reach a client or an endpoint but their own.

mod fixtures;

use fixtures::{Message, Server, TestProxy, Wire, run};
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

/// Plays that go on at once.
const AT_ONCE: usize = 81;

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answer,
    /// The answer comes once more, at once.
    AnswerTwice,
    /// The answer comes once more, in the place of the connection's next one.
    AnswerAgainLater,
    /// It answers before it has read the body.
    AnswerBeforeBody,
    /// It answers, and forgets the connection with a word, or without.
    AnswerAndClose,
    AnswerAndReset,
    /// It runs the request, and resets before the first byte, after the head, or in the body of its answer.
    ResetBeforeAnswer,
    ResetAfterHead,
    ResetInBody,
    ResetWithoutLength,
    Silence,
    ForeignAnswer,
    /// It does not run it and says so; again in the place of the connection's next answer.
    Decline,
    DeclineAgainLater,
    DeclineBeforeBody,
    AnotherIncarnation,
    /// It runs it and answers with a status that is a promise only where it comes with the statement.
    UnstatedPromise,
    Failure,
}

const FATES: [Fate; 18] = [
    Fate::Answer,
    Fate::AnswerTwice,
    Fate::AnswerAgainLater,
    Fate::AnswerBeforeBody,
    Fate::AnswerAndClose,
    Fate::AnswerAndReset,
    Fate::ResetBeforeAnswer,
    Fate::ResetAfterHead,
    Fate::ResetInBody,
    Fate::ResetWithoutLength,
    Fate::Silence,
    Fate::ForeignAnswer,
    Fate::Decline,
    Fate::DeclineAgainLater,
    Fate::DeclineBeforeBody,
    Fate::AnotherIncarnation,
    Fate::UnstatedPromise,
    Fate::Failure,
];

impl Fate {
    fn runs(self) -> bool {
        !matches!(
            self,
            Self::Decline | Self::DeclineAgainLater | Self::DeclineBeforeBody | Self::AnotherIncarnation
        )
    }
}

/// The endpoints of a play together: what they are to do, and what they did.
#[derive(Default)]
struct Endpoints {
    fates: RefCell<std::vec::IntoIter<Fate>>,
    /// How often each request was begun.
    runs: RefCell<HashMap<String, usize>>,
    /// The statuses that were answered to each.
    statuses: RefCell<HashMap<String, Vec<u16>>>,
    /// Requests that no client sent so.
    foreign: RefCell<Vec<Message>>,
}

fn answer(status: u16, id: &str, more: &str, body: &str) -> String {
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
                spawn_local(async move { endpoints.attend(stream).await });
            }
        });
        address
    }

    fn note(&self, id: &str, status: u16) {
        self.statuses.borrow_mut().entry(id.to_owned()).or_default().push(status);
    }

    /// Whether it is a request as a client has sent it.
    fn check(&self, request: &Message) {
        let id = request.header("attempt-id").unwrap_or_default();
        let path = request.first.split(' ').nth(1).unwrap_or_default();
        let is_own = request.whole
            && path
                .strip_suffix(id)
                .is_some_and(|prefix| ["/plain/", "/unsafe/", "/events/"].contains(&prefix))
            && request.body == input_of(id).as_bytes();
        if !is_own {
            self.foreign.borrow_mut().push(request.clone());
        }
    }

    /// One connection, to its end.
    #[allow(clippy::too_many_lines, reason = "one arm for each kind of fault")]
    async fn attend(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        let mut due: Option<String> = None;
        while let Some(mut request) = wire.head().await {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let fate = self.fates.borrow_mut().next().unwrap_or(Fate::Answer);
            if fate.runs() {
                *self.runs.borrow_mut().entry(id.clone()).or_default() += 1;
            }
            let (good, decline) = (
                answer(200, &id, "", &body_of(&id)),
                answer(503, &id, "Not-Executed: 1\r\nRetry-After: 0.01\r\n", ""),
            );
            let early = match fate {
                Fate::AnswerBeforeBody => Some((200, &good)),
                Fate::DeclineBeforeBody => Some((503, &decline)),
                _ => None,
            };
            if let Some((status, early)) = early {
                self.note(&id, status);
                send(&mut wire, early).await;
            }
            wire.body_of(&mut request).await;
            if !request.whole {
                return;
            }
            self.check(&request);
            if let Some(due) = due.take() {
                send(&mut wire, &due).await;
            }
            let mut reply = async |status: u16, bytes: &str| {
                self.note(&id, status);
                send(&mut wire, bytes).await;
            };
            match fate {
                Fate::AnswerBeforeBody | Fate::DeclineBeforeBody => {}
                Fate::Answer => reply(200, &good).await,
                Fate::AnswerTwice => reply(200, &good.repeat(2)).await,
                Fate::AnswerAgainLater => {
                    reply(200, &good).await;
                    due = Some(good);
                }
                Fate::AnswerAndClose => return reply(200, &good).await,
                Fate::AnswerAndReset => {
                    reply(200, &good).await;
                    return reset(&wire);
                }
                Fate::ResetBeforeAnswer => return reset(&wire),
                Fate::ResetAfterHead => {
                    let head = good.find("\r\n\r\n").unwrap() + 4;
                    reply(200, &good[..head]).await;
                    return reset(&wire);
                }
                Fate::ResetInBody => {
                    reply(200, &good[..good.len() - 3]).await;
                    return reset(&wire);
                }
                Fate::ResetWithoutLength => {
                    let body = body_of(&id);
                    reply(
                        200,
                        &format!(
                            "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n\r\n{body}"
                        ),
                    )
                    .await;
                    return reset(&wire);
                }
                Fate::Silence => {
                    // Until the caller gives it up.
                    let _ = wire.head().await;
                    return;
                }
                Fate::ForeignAnswer => reply(200, &answer(200, "nobody", "", "alien")).await,
                Fate::Decline => reply(503, &decline).await,
                Fate::DeclineAgainLater => {
                    reply(503, &decline).await;
                    due = Some(decline);
                }
                Fate::AnotherIncarnation => reply(421, &answer(421, &id, "", "")).await,
                Fate::UnstatedPromise => reply(503, &answer(503, &id, "", "")).await,
                Fate::Failure => reply(500, &answer(500, &id, "", "own words")).await,
            }
        }
    }
}

/// Writes what may find nobody any more.
async fn send(wire: &mut Wire, bytes: &str) {
    use tokio::io::AsyncWriteExt;
    let _ = wire.stream.write_all(bytes.as_bytes()).await;
}

fn reset(wire: &Wire) {
    wire.stream.set_zero_linger().unwrap();
}

/// A request of a client.
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

    /// Whether the status promises that it has not run and never will.
    fn promised(self, status: u16) -> bool {
        matches!(status, 408 | 421 | 429 | 503) || self == Self::Events && status == 402
    }
}

/// What clients send, and what endpoints do to it.
#[derive(Clone, Debug)]
struct Play {
    requests: Vec<Kind>,
    /// Whether the client sends each request before it has the answer to the one before.
    pipelined: bool,
    fates: Vec<Fate>,
}

fn bytes_of(kind: Kind, id: &str) -> String {
    let (path, input) = (kind.path(), input_of(id));
    let length = input.len();
    format!(
        "POST {path}{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: 400\r\nContent-Length: {length}\r\n\r\n{input}"
    )
}

/// What is wrong with an answer to a request.
fn fault_of(kind: Kind, id: &str, answer: &Message, endpoints: &Endpoints) -> Option<String> {
    let status = answer.status();
    if answer.header("attempt-id") != Some(id) {
        return Some("it belongs to another request".into());
    }
    if let Some(seal) = answer.header("server-seal") {
        let given = endpoints.statuses.borrow().get(id).is_some_and(|given| given.contains(&status));
        if !given || seal != format!("seal-{id}") {
            return Some(format!("no endpoint has sealed {status}"));
        }
    }
    match status {
        200 if !answer.whole && kind == Kind::Events => None,
        _ if !answer.whole => Some("it breaks off".into()),
        200 if answer.body != body_of(id).as_bytes() => Some("its body is not the endpoint's".into()),
        _ => None,
    }
}

async fn play(play: &Play) -> std::result::Result<(), String> {
    let endpoints =
        Rc::new(Endpoints { fates: RefCell::new(play.fates.clone().into_iter()), ..Endpoints::default() });
    let stub = Server::start("i-0", |_| unreachable!()).await;
    let first = Server { instance: "i-1", address: endpoints.listen().await, ..stub };
    let stub = Server::start("i-0", |_| unreachable!()).await;
    let second = Server { instance: "i-2", address: endpoints.listen().await, ..stub };
    let world = TestProxy::start(&[(&first, "s"), (&second, "s"), (&first, "m"), (&second, "m")]).await;
    let requests: Vec<(Kind, String)> =
        play.requests.iter().enumerate().map(|(place, kind)| (*kind, format!("r{place}"))).collect();
    let mut answers: Vec<Option<Message>> = Vec::new();
    let mut client = world.client().await;
    if play.pipelined {
        let all: String = requests.iter().map(|(kind, id)| bytes_of(*kind, id)).collect();
        client.write(all).await;
    }
    for (kind, id) in &requests {
        if !play.pipelined {
            client.write(bytes_of(*kind, id)).await;
        }
        let answer = client.message().await;
        let goes_on = answer.as_ref().is_some_and(|answer| answer.whole);
        if let Some(fault) = answer.as_ref().and_then(|answer| fault_of(*kind, id, answer, &endpoints)) {
            return Err(format!("{id}: {fault}: {answer:?}"));
        }
        answers.push(answer);
        if !goes_on {
            if play.pipelined {
                // With its answer the connection broke off, and the requests behind it have none.
                break;
            }
            client = world.client().await;
        }
    }
    if let Some(foreign) = endpoints.foreign.borrow().first() {
        return Err(format!("an endpoint got {foreign:?}"));
    }
    for (place, (kind, id)) in requests.iter().enumerate() {
        let ran = endpoints.runs.borrow().get(id).copied().unwrap_or(0);
        if *kind != Kind::Plain && ran > 1 {
            return Err(format!("{id} ran {ran} times"));
        }
        match answers.get(place) {
            Some(Some(answer)) if *kind != Kind::Plain && kind.promised(answer.status()) && ran > 0 => {
                return Err(format!("{id} ran and was answered {}", answer.status()));
            }
            Some(None) => return Err(format!("{id} got no answer")),
            _ => {}
        }
    }
    Ok(())
}

/// Plays all, some at once; counts them.
fn play_all(plays: impl IntoIterator<Item = Play>) -> usize {
    let mut plays = plays.into_iter().peekable();
    let mut played = 0;
    while plays.peek().is_some() {
        let some: Vec<Play> = plays.by_ref().take(AT_ONCE).collect();
        played += some.len();
        run(async move {
            let mut running = JoinSet::new();
            for one in some {
                running.spawn_local(async move { (play(&one).await, one) });
            }
            while let Some(ended) = running.join_next().await {
                let (told, one) = ended.unwrap();
                expect_that!(told, ok(()), "{one:?}");
            }
        });
    }
    played
}

#[gtest]
fn given_every_pair_of_fates_of_one_request_then_it_runs_and_is_answered_as_is_allowed() {
    let plays = KINDS.into_iter().flat_map(|kind| {
        FATES.into_iter().flat_map(move |first| {
            FATES.into_iter().map(move |second| Play {
                requests: vec![kind, kind],
                pipelined: false,
                fates: vec![first, second],
            })
        })
    });
    expect_that!(play_all(plays), eq(972));
}

#[gtest]
fn given_any_longer_order_of_fates_then_each_request_runs_and_is_answered_as_is_allowed() {
    let strategy = (
        prop::collection::vec(prop::sample::select(KINDS.to_vec()), 1..6),
        any::<bool>(),
        prop::collection::vec(prop::sample::select(FATES.to_vec()), 2..10),
    );
    let mut runner = TestRunner::deterministic();
    let plays = (0..400).map(|_| {
        let (requests, pipelined, fates) = strategy.new_tree(&mut runner).unwrap().current();
        Play { requests, pipelined, fates }
    });
    expect_that!(play_all(plays.collect::<Vec<_>>()), eq(400));
}

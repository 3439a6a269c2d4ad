//! An answer reaches exactly its own call or none: over every sequence in which a peer answers, answers twice or late,
//! answers calls of an earlier connection, or closes the connection.

use fleet_model::{Answer, Call, Frame};
use googletest::prelude::*;
use peer_wire::{CallFailure, CallLimits, HELLO_LEN, PeerClient, decode, encode};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const FLEET: u16 = 12;

/// Far longer than any call here takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Backoff between attempts to connect.
const BACKOFF: Duration = Duration::from_millis(1);

/// What the peer does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerAction {
    Answer,
    AnswerTwice,
    /// It answers all earlier calls, also those of earlier connections, and then this one.
    AnswerOldCallsFirst,
    /// It answers calls that were not sent yet, and then this one.
    AnswerFutureCallsFirst,
    /// No answer now; the caller gives up.
    Withhold,
    /// It answers nothing and ends the connection.
    EndConnection,
    /// It answers and ends the connection.
    AnswerAndEnd,
}

const PEER_ACTIONS: [PeerAction; 7] = [
    PeerAction::Answer,
    PeerAction::AnswerTwice,
    PeerAction::AnswerOldCallsFirst,
    PeerAction::AnswerFutureCallsFirst,
    PeerAction::Withhold,
    PeerAction::EndConnection,
    PeerAction::AnswerAndEnd,
];

/// The peer: its action for each call, and all calls that it has received.
struct Peer {
    actions: Vec<PeerAction>,
    received_calls: RefCell<Vec<(u64, String)>>,
}

async fn write(stream: &mut TcpStream, number: u64, text: &str) {
    let frame = encode(&Frame::Answer(number, Answer::View(text.into()))).unwrap();
    let length = u32::try_from(frame.len()).unwrap().to_be_bytes();
    // Fails if the client has ended the connection.
    let _ = stream.write_all(&[&length[..], &frame].concat()).await;
}

async fn read(stream: &mut TcpStream) -> Option<(u64, String)> {
    let length = stream.read_u32().await.ok()?;
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.ok()?;
    match decode(&frame) {
        Ok(Frame::Call(number, Call::Inspect { topic })) => Some((number, topic)),
        other => panic!("no call: {other:?}"),
    }
}

impl Peer {
    /// Serves one connection until it ends.
    async fn serve_connection(&self, mut stream: TcpStream) {
        let mut hello = [0; HELLO_LEN];
        if stream.read_exact(&mut hello).await.is_err() || stream.write_all(&hello).await.is_err() {
            return;
        }
        while let Some((number, topic)) = read(&mut stream).await {
            let action = self.actions[topic.parse::<usize>().unwrap()];
            let before = self.received_calls.borrow().clone();
            self.received_calls.borrow_mut().push((number, topic.clone()));
            match action {
                PeerAction::Answer | PeerAction::AnswerAndEnd => {}
                PeerAction::AnswerTwice => write(&mut stream, number, &topic).await,
                PeerAction::AnswerOldCallsFirst => {
                    for (number, topic) in before {
                        write(&mut stream, number, &topic).await;
                    }
                }
                PeerAction::AnswerFutureCallsFirst => {
                    for next in 1..4 {
                        write(&mut stream, number + next, "of the future").await;
                    }
                }
                PeerAction::Withhold => continue,
                PeerAction::EndConnection => return,
            }
            write(&mut stream, number, &topic).await;
            if action == PeerAction::AnswerAndEnd {
                return;
            }
        }
    }
}

/// Makes a call for each action, one after the other; the error describes a wrong answer.
async fn run_calls(actions: Vec<PeerAction>) -> std::result::Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let peer = Rc::new(Peer { actions: actions.clone(), received_calls: RefCell::default() });
    let serving = spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let peer = peer.clone();
            spawn_local(async move { peer.serve_connection(stream).await });
        }
    });
    let limits = CallLimits {
        connect_timeout: LONG_TIMEOUT,
        silence_timeout: LONG_TIMEOUT,
        initial_backoff: BACKOFF,
        max_backoff: BACKOFF,
    };
    let client = PeerClient::with_limits(address, FLEET, None, limits);
    let mut result = Ok(());
    for (index, action) in actions.iter().enumerate() {
        let topic = index.to_string();
        let answers = !matches!(action, PeerAction::Withhold | PeerAction::EndConnection);
        let timeout = if *action == PeerAction::Withhold { Duration::from_millis(15) } else { LONG_TIMEOUT };
        let outcome = loop {
            match client.call(Call::Inspect { topic: topic.clone() }, timeout).await {
                // The end of the last connection shows only now: this call is made again.
                Err(CallFailure::Unreachable | CallFailure::Lost) if answers => {
                    tokio::task::yield_now().await
                }
                outcome => break outcome,
            }
        };
        let fits = match &outcome {
            Ok(Answer::View(text)) => answers && *text == topic,
            Ok(_) => false,
            Err(_) => !answers,
        };
        if !fits {
            result = Err(format!("call {topic} got {outcome:?} with {actions:?}"));
            break;
        }
    }
    serving.abort();
    result
}

fn run_all(sequences: impl IntoIterator<Item = Vec<PeerAction>>) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut runs = 0;
    for sequence in sequences {
        LocalSet::new().block_on(&runtime, async {
            expect_that!(run_calls(sequence).await, ok(()));
        });
        runs += 1;
    }
    runs
}

#[gtest]
fn each_call_gets_its_own_answer_or_none_over_all_sequences_of_three_actions() {
    let count = PEER_ACTIONS.len();
    let sequences = (0..count.pow(3)).map(|number| {
        (0..3).map(|index| PEER_ACTIONS[number / count.pow(index) % count]).collect::<Vec<_>>()
    });
    expect_that!(run_all(sequences), eq(343));
}

#[gtest]
fn each_call_gets_its_own_answer_or_none_over_random_longer_sequences() {
    let strategy = prop::collection::vec(prop::sample::select(PEER_ACTIONS.to_vec()), 4..12);
    let mut runner = TestRunner::deterministic();
    let sequences = (0..100).map(|_| strategy.new_tree(&mut runner).unwrap().current());
    expect_that!(run_all(sequences.collect::<Vec<_>>()), eq(100));
}

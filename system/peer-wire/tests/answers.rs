//! An answer reaches the call that it answers, or nobody: over every order in which a peer answers, answers twice,
//! answers late, says what was asked on a former connection, or ends the connection.

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

/// Far more than any call here takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Between attempts to connect.
const PAUSE: Duration = Duration::from_millis(1);

/// What the peer does when a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Answer,
    AnswerTwice,
    /// It answers all that it ever was asked, on whichever connection, and then this one.
    AnswerOldCallsFirst,
    /// It answers the calls that are to come, and then this one.
    AnswerFutureCallsFirst,
    /// No answer now; the caller gives up.
    Withhold,
    /// It answers nothing and ends the connection.
    EndConnection,
    /// It answers and ends the connection.
    AnswerAndEnd,
}

const ACTS: [Act; 7] = [
    Act::Answer,
    Act::AnswerTwice,
    Act::AnswerOldCallsFirst,
    Act::AnswerFutureCallsFirst,
    Act::Withhold,
    Act::EndConnection,
    Act::AnswerAndEnd,
];

/// The peer: what it is to do, and all that it was asked.
struct Peer {
    acts: Vec<Act>,
    asked: RefCell<Vec<(u64, String)>>,
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
    /// One connection, to its end.
    async fn converse(&self, mut stream: TcpStream) {
        let mut hello = [0; HELLO_LEN];
        if stream.read_exact(&mut hello).await.is_err() || stream.write_all(&hello).await.is_err() {
            return;
        }
        while let Some((number, topic)) = read(&mut stream).await {
            let act = self.acts[topic.parse::<usize>().unwrap()];
            let before = self.asked.borrow().clone();
            self.asked.borrow_mut().push((number, topic.clone()));
            match act {
                Act::Answer | Act::AnswerAndEnd => {}
                Act::AnswerTwice => write(&mut stream, number, &topic).await,
                Act::AnswerOldCallsFirst => {
                    for (number, topic) in before {
                        write(&mut stream, number, &topic).await;
                    }
                }
                Act::AnswerFutureCallsFirst => {
                    for next in 1..4 {
                        write(&mut stream, number + next, "of the future").await;
                    }
                }
                Act::Withhold => continue,
                Act::EndConnection => return,
            }
            write(&mut stream, number, &topic).await;
            if act == Act::AnswerAndEnd {
                return;
            }
        }
    }
}

/// Makes a call for each act, one after the other; the error says whose answer came to whom.
async fn play(acts: Vec<Act>) -> std::result::Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let peer = Rc::new(Peer { acts: acts.clone(), asked: RefCell::default() });
    let serving = spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let peer = peer.clone();
            spawn_local(async move { peer.converse(stream).await });
        }
    });
    let limits = CallLimits {
        connect_timeout: PATIENCE,
        silence_timeout: PATIENCE,
        initial_backoff: PAUSE,
        max_backoff: PAUSE,
    };
    let client = PeerClient::with_limits(address, FLEET, None, limits);
    let mut told = Ok(());
    for (place, act) in acts.iter().enumerate() {
        let topic = place.to_string();
        let answers = !matches!(act, Act::Withhold | Act::EndConnection);
        let patience = if *act == Act::Withhold { Duration::from_millis(15) } else { PATIENCE };
        let came = loop {
            match client.call(Call::Inspect { topic: topic.clone() }, patience).await {
                // The end of the last connection shows only now: this call is made again.
                Err(CallFailure::Unreachable | CallFailure::Lost) if answers => {
                    tokio::task::yield_now().await
                }
                came => break came,
            }
        };
        let fits = match &came {
            Ok(Answer::View(text)) => answers && *text == topic,
            Ok(_) => false,
            Err(_) => !answers,
        };
        if !fits {
            told = Err(format!("call {topic} got {came:?} with {acts:?}"));
            break;
        }
    }
    serving.abort();
    told
}

fn play_all(orders: impl IntoIterator<Item = Vec<Act>>) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut played = 0;
    for order in orders {
        LocalSet::new().block_on(&runtime, async {
            expect_that!(play(order).await, ok(()));
        });
        played += 1;
    }
    played
}

#[gtest]
fn given_every_order_of_three_answers_then_each_call_gets_its_own_or_none() {
    let count = ACTS.len();
    let orders = (0..count.pow(3))
        .map(|number| (0..3).map(|place| ACTS[number / count.pow(place) % count]).collect::<Vec<_>>());
    expect_that!(play_all(orders), eq(343));
}

#[gtest]
fn given_longer_orders_then_each_call_gets_its_own_or_none() {
    let strategy = prop::collection::vec(prop::sample::select(ACTS.to_vec()), 4..12);
    let mut runner = TestRunner::deterministic();
    let orders = (0..100).map(|_| strategy.new_tree(&mut runner).unwrap().current());
    expect_that!(play_all(orders.collect::<Vec<_>>()), eq(100));
}

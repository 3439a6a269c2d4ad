//! The second address, for staff: a line in, a line out, but for the figures. It runs on a thread of its own, so that neither a busy
//! step nor the clients' traffic delays its accept loop; only calls that change something, or ask for figures, wait
//! for the host.
use super::fleet::{self, Look};
use super::telemetry::{self, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Connections at once. Past that the oldest caller that has not sent its line makes room, after its grace.
pub const MOST_CALLERS: usize = 16;
/// Longest line: a word and an id.
const MOST_LINE: usize = 512;
/// A caller that has not sent its line by then is told so and cut off.
const LINE_PATIENCE: Duration = Duration::from_secs(2);
/// Nobody makes room sooner: who has just connected is about to send its line. Short, as whoever waits for that room
/// is owed an answer within a second.
const GRACE: Duration = Duration::from_millis(50);
/// Answers are due within a second: a host that takes longer is not waited for, and the call is void.
const HOST_PATIENCE: Duration = Duration::from_millis(800);
/// What keepers have to agree on takes longer, and is told of as not agreed after 8 s.
const FLEET_PATIENCE: Duration = Duration::from_secs(10);
/// For a caller to take its answer, and to close after it.
const LAST_PATIENCE: Duration = Duration::from_millis(500);

/// What a caller may ask for that changes the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Nothing more to this endpoint, until it is included again.
    Exclude(String),
    /// The end of its exclusion, however often that was asked for.
    Include(String),
    /// Send the clients away; deliver what is held.
    Evacuate,
    /// The end of that.
    Activate,
}

/// What is asked of the host, with the place for its answer: none is waited for once that is closed.
pub enum Asked {
    Order {
        order: Order,
        answer: oneshot::Sender<Result<(), String>>,
    },
    /// Its figures, as they are between two turns.
    Figures(oneshot::Sender<Result<Box<Snapshot>, String>>),
}

/// Whether this process can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Starting,
    Serving,
    Ending,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
enum CallError {
    #[error("no call in the line")]
    Empty,
    #[error("unknown call {0:?}")]
    Unknown(String),
    #[error("{0} needs the id of an endpoint")]
    NoId(&'static str),
    #[error("fleet needs one of view, roster, keepers, mark, remove NAME, leave, refound")]
    Fleet,
    #[error("this sender knows no fleet: its configuration has no part `fleet`")]
    NoFleet,
    #[error("{0:?} is a word too many")]
    Extra(String),
}

#[derive(Debug, PartialEq, Eq)]
enum Parsed {
    Ready,
    Figures,
    Order(Order),
    Look(Look),
    Fleet(sender_membership::Command),
}

/// What is asked of the fleet's part.
fn parse_fleet<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Parsed, CallError> {
    use sender_membership::Command;
    Ok(match words.next().ok_or(CallError::Fleet)? {
        "view" => Parsed::Look(Look::View),
        "roster" => Parsed::Look(Look::Roster),
        "keepers" => Parsed::Look(Look::Keepers),
        "mark" => Parsed::Look(Look::Mark),
        "remove" => Parsed::Fleet(Command::Remove(words.next().ok_or(CallError::Fleet)?.to_owned())),
        "leave" => Parsed::Fleet(Command::Leave),
        "refound" => Parsed::Fleet(Command::Refound),
        _ => return Err(CallError::Fleet),
    })
}

fn parse(line: &str) -> Result<Parsed, CallError> {
    let mut words = line.split_ascii_whitespace();
    let call = words.next().ok_or(CallError::Empty)?;
    let mut id = |call| words.next().map(str::to_owned).ok_or(CallError::NoId(call));
    let parsed = match call {
        "readyz" => Parsed::Ready,
        "telemetry" => Parsed::Figures,
        "exclude" => Parsed::Order(Order::Exclude(id("exclude")?)),
        "include" => Parsed::Order(Order::Include(id("include")?)),
        "evacuate" => Parsed::Order(Order::Evacuate),
        "activate" => Parsed::Order(Order::Activate),
        "fleet" => parse_fleet(&mut words)?,
        other => return Err(CallError::Unknown(other.to_owned())),
    };
    match words.next() {
        None => Ok(parsed),
        Some(extra) => Err(CallError::Extra(extra.to_owned())),
    }
}

/// Answers callers on a thread of its own, for as long as the process lives.
pub fn spawn(
    listener: std::net::TcpListener,
    orders: Sender<Asked>,
    standing: watch::Receiver<Standing>,
    fleet: Option<Sender<fleet::Asked>>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serving = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, orders, standing, fleet).await,
            Err(e) => tracing::warn!("second address: {e}"),
        }
    };
    std::thread::Builder::new().name("mgmt".to_owned()).spawn(move || runtime.block_on(serving))?;
    Ok(())
}

async fn serve(
    listener: TcpListener,
    orders: Sender<Asked>,
    standing: watch::Receiver<Standing>,
    fleet: Option<Sender<fleet::Asked>>,
) {
    let room = Arc::new(Semaphore::new(MOST_CALLERS));
    // Those whose line has not come, the oldest first.
    let mut silent: VecDeque<(Instant, oneshot::Sender<()>)> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("second address: accepting: {e}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        silent.retain(|(_, caller)| !caller.is_closed());
        let permit = loop {
            let patience = silent.front().map(|(since, _)| *since + GRACE);
            tokio::select! {
                biased;
                permit = room.clone().acquire_owned() => match permit {
                    Ok(permit) => break permit,
                    Err(_) => return,
                },
                () = sleep_until(patience.unwrap_or_else(Instant::now)), if patience.is_some() => {
                    // One that has sent its line meanwhile hears nothing of this.
                    let _ = silent.pop_front().map(|(_, caller)| caller.send(()));
                }
            }
        };
        let (make_room, asked_to_leave) = oneshot::channel();
        silent.push_back((Instant::now(), make_room));
        let (orders, standing, fleet) = (orders.clone(), standing.clone(), fleet.clone());
        tokio::spawn(async move {
            // A caller that breaks off has nobody to be told of it.
            let _ = caller(stream, asked_to_leave, &orders, &standing, fleet.as_ref()).await;
            drop(permit);
        });
    }
}

async fn caller(
    stream: TcpStream,
    asked_to_leave: oneshot::Receiver<()>,
    orders: &Sender<Asked>,
    standing: &watch::Receiver<Standing>,
    fleet: Option<&Sender<fleet::Asked>>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = Vec::new();
    let read = {
        let mut limited = (&mut stream).take(MOST_LINE as u64 + 1);
        tokio::select! {
            read = timeout(LINE_PATIENCE, limited.read_until(b'\n', &mut line)) => read,
            Ok(()) = asked_to_leave => return Ok(()),
        }
    };
    let answer = match read {
        Err(_) => Err("no whole line came in time".to_owned()),
        Ok(Err(e)) => return Err(e),
        Ok(Ok(_)) if line.len() > MOST_LINE => Err(format!("the line is longer than {MOST_LINE} bytes")),
        Ok(Ok(0)) => return Ok(()),
        // Half a line could be half an id.
        Ok(Ok(_)) if line.last() != Some(&b'\n') => Err("the line has no end".to_owned()),
        Ok(Ok(_)) => match std::str::from_utf8(&line).map(parse) {
            Err(_) => Err("the line is not text".to_owned()),
            Ok(Err(e)) => Err(e.to_string()),
            Ok(Ok(Parsed::Ready)) => match *standing.borrow() {
                Standing::Serving => Ok("done\n".to_owned()),
                Standing::Starting => Err("starting".to_owned()),
                Standing::Ending => Err("this process is ending".to_owned()),
            },
            Ok(Ok(Parsed::Order(order))) => {
                let done = ask(orders, |answer| Asked::Order { order, answer }).await;
                done.map(|()| "done\n".to_owned())
            }
            Ok(Ok(Parsed::Look(look))) => {
                ask_fleet(fleet, HOST_PATIENCE, |answer| fleet::Asked::Look(look, answer)).await
            }
            Ok(Ok(Parsed::Fleet(order))) => {
                ask_fleet(fleet, FLEET_PATIENCE, |answer| fleet::Asked::Order(order, answer)).await
            }
            Ok(Ok(Parsed::Figures)) => {
                // A fleet's part that has no time leaves its figures out, and holds up nobody's.
                let known = match fleet {
                    Some(fleet) => ask_in(fleet, HOST_PATIENCE / 2, fleet::Asked::Figures).await.ok(),
                    None => None,
                };
                ask(orders, Asked::Figures).await.map(|snapshot| telemetry::scrape(&snapshot, known.as_ref()))
            }
        },
    };
    let text = answer.unwrap_or_else(|why| format!("error {why}\n"));
    let rest = async {
        stream.get_mut().write_all(text.as_bytes()).await?;
        stream.get_mut().shutdown().await?;
        // What was sent beyond the line is read, or closing would take back the answer with a reset.
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    let _ = timeout(LAST_PATIENCE, rest).await;
    Ok(())
}

async fn ask_fleet(
    fleet: Option<&Sender<fleet::Asked>>,
    patience: Duration,
    asked: impl FnOnce(oneshot::Sender<Result<String, String>>) -> fleet::Asked,
) -> Result<String, String> {
    let fleet = fleet.ok_or_else(|| CallError::NoFleet.to_string())?;
    let text = ask_in(fleet, patience, asked).await?;
    Ok(if text.is_empty() { "done\n".to_owned() } else { format!("done {text}\n") })
}

async fn ask<T>(
    orders: &Sender<Asked>,
    asked: impl FnOnce(oneshot::Sender<Result<T, String>>) -> Asked,
) -> Result<T, String> {
    ask_in(orders, HOST_PATIENCE, asked).await
}

async fn ask_in<A, T>(
    orders: &Sender<A>,
    patience: Duration,
    asked: impl FnOnce(oneshot::Sender<Result<T, String>>) -> A,
) -> Result<T, String> {
    let (answer, answered) = oneshot::channel();
    let asking = async {
        if orders.send(asked(answer)).await.is_err() {
            return pending().await;
        }
        answered.await
    };
    match timeout(patience, asking).await {
        Ok(Ok(answer)) => answer,
        _ => Err("the sender is busy, starting or ending: not done in time".to_owned()),
    }
}

#[cfg(test)]
mod tests;

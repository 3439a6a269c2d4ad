//! The admin endpoint on the second address: a request line in, a response line out (metrics have many lines).
//!
//! It runs on its own thread, so that neither a busy step nor the clients' traffic delays its accept loop. Only
//! commands and requests for metrics wait for the host.
use super::fleet::{self, Query};
use super::telemetry::{self, Snapshot};
use process_lifecycle::supervisor::FailureReporter;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Maximum concurrent connections. Beyond it the oldest one that has not sent its request line is evicted, after
/// `EVICTION_GRACE`.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum length of a request line: a word and an id.
const MAX_LINE_BYTES: usize = 512;
/// A caller that has not sent its request line by then gets an error, and its connection is closed.
const REQUEST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// No connection is evicted sooner: a new one is about to send its line. Short, as the caller that waits for its
/// place is due an answer within a second.
const EVICTION_GRACE: Duration = Duration::from_millis(50);
/// Answers are due within a second: a host that takes longer is not waited for, and the request is void.
const HOST_TIMEOUT: Duration = Duration::from_millis(800);
/// What the voters have to agree on takes longer, and is reported as not agreed after 8 s.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(10);
/// For a caller to read its answer, and to close after it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A command that changes the sender. Handovers pass it on: the order of variants must stay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Send nothing more to this endpoint, until it is included again.
    Exclude(String),
    /// End its exclusion, however often that was requested.
    Include(String),
    /// Drain: close client connections and deliver the pending messages.
    Evacuate,
    /// End draining.
    Activate,
}

/// A request to the host, with the channel for its answer: void once that is closed.
pub enum AdminRequest {
    /// Carry out a command.
    Command {
        /// The command.
        command: Command,
        /// Where the result goes.
        answer: oneshot::Sender<Result<(), String>>,
    },
    /// Its metrics, as of between two steps.
    Figures(oneshot::Sender<Result<Box<Snapshot>, String>>),
}

/// Whether this process can serve (readiness).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Not ready yet.
    Starting,
    /// Ready.
    Serving,
    /// Shutting down, or handing over.
    Stopping,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
enum CallError {
    #[error("empty request line")]
    Empty,
    #[error("unknown command {0:?}")]
    Unknown(String),
    #[error("{0} requires the id of an endpoint")]
    NoId(&'static str),
    #[error("fleet requires one of view, roster, keepers, mark, remove NAME, leave, refound")]
    Fleet,
    #[error("this sender knows no fleet: its configuration has no part `fleet`")]
    NoFleet,
    #[error("unexpected argument {0:?}")]
    Extra(String),
}

#[derive(Debug, PartialEq, Eq)]
enum Parsed {
    Ready,
    Figures,
    Command(Command),
    Query(Query),
    Fleet(sender_membership::Command),
}

/// Parses a request to the membership thread.
fn parse_fleet<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Parsed, CallError> {
    use sender_membership::Command as Membership;
    Ok(match words.next().ok_or(CallError::Fleet)? {
        "view" => Parsed::Query(Query::View),
        "roster" => Parsed::Query(Query::MemberList),
        "keepers" => Parsed::Query(Query::Voters),
        "mark" => Parsed::Query(Query::Digests),
        "remove" => Parsed::Fleet(Membership::Remove(words.next().ok_or(CallError::Fleet)?.to_owned())),
        "leave" => Parsed::Fleet(Membership::Leave),
        "refound" => Parsed::Fleet(Membership::Refound),
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
        "exclude" => Parsed::Command(Command::Exclude(id("exclude")?)),
        "include" => Parsed::Command(Command::Include(id("include")?)),
        "evacuate" => Parsed::Command(Command::Evacuate),
        "activate" => Parsed::Command(Command::Activate),
        "fleet" => parse_fleet(&mut words)?,
        other => return Err(CallError::Unknown(other.to_owned())),
    };
    match words.next() {
        None => Ok(parsed),
        Some(extra) => Err(CallError::Extra(extra.to_owned())),
    }
}

/// Answers callers on its own thread, until the sender of `run` is dropped.
///
/// # Errors
/// The listener cannot be made non-blocking, or the runtime or the thread cannot be started.
pub fn spawn(
    listener: std::net::TcpListener,
    requests: Sender<AdminRequest>,
    state: watch::Receiver<ServiceState>,
    fleet: Option<Sender<fleet::Asked>>,
    mut run: watch::Receiver<()>,
    reporter: FailureReporter,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = {
        let _guard = runtime.enter();
        TcpListener::from_std(listener)?
    };
    let serving = async move {
        tokio::select! {
            () = serve(listener, requests, state, fleet) => {}
            () = async { while run.changed().await.is_ok() {} } => {}
        }
    };
    let serve_on_thread = move || {
        if catch_unwind(AssertUnwindSafe(|| runtime.block_on(serving))).is_err() {
            reporter.report("it panicked");
        }
    };
    std::thread::Builder::new().name("mgmt".to_owned()).spawn(serve_on_thread)?;
    Ok(())
}

async fn serve(
    listener: TcpListener,
    requests: Sender<AdminRequest>,
    state: watch::Receiver<ServiceState>,
    fleet: Option<Sender<fleet::Asked>>,
) {
    let capacity = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Callers whose request line has not arrived, the oldest first.
    let mut idle_callers: VecDeque<(Instant, oneshot::Sender<()>)> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("second address: accepting: {e}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        idle_callers.retain(|(_, caller)| !caller.is_closed());
        let permit = loop {
            let evict_at = idle_callers.front().map(|(since, _)| *since + EVICTION_GRACE);
            tokio::select! {
                biased;
                permit = capacity.clone().acquire_owned() => match permit {
                    Ok(permit) => break permit,
                    Err(_) => return,
                },
                () = sleep_until(evict_at.unwrap_or_else(Instant::now)), if evict_at.is_some() => {
                    // One that has sent its line meanwhile is not evicted: its receiver is gone.
                    let _ = idle_callers.pop_front().map(|(_, caller)| caller.send(()));
                }
            }
        };
        let (evict, evicted) = oneshot::channel();
        idle_callers.push_back((Instant::now(), evict));
        let (requests, state, fleet) = (requests.clone(), state.clone(), fleet.clone());
        tokio::spawn(async move {
            // An error here means that the caller is gone: there is nobody to report it to.
            let _ = serve_caller(stream, evicted, &requests, &state, fleet.as_ref()).await;
            drop(permit);
        });
    }
}

async fn serve_caller(
    stream: TcpStream,
    evicted: oneshot::Receiver<()>,
    requests: &Sender<AdminRequest>,
    state: &watch::Receiver<ServiceState>,
    fleet: Option<&Sender<fleet::Asked>>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = Vec::new();
    let read = {
        let mut limited = (&mut stream).take(MAX_LINE_BYTES as u64 + 1);
        tokio::select! {
            read = timeout(REQUEST_LINE_TIMEOUT, limited.read_until(b'\n', &mut line)) => read,
            Ok(()) = evicted => return Ok(()),
        }
    };
    let answer = match read {
        Err(_) => Err("timed out while reading the request line".to_owned()),
        Ok(Err(e)) => return Err(e),
        Ok(Ok(_)) if line.len() > MAX_LINE_BYTES => {
            Err(format!("the line is longer than {MAX_LINE_BYTES} bytes"))
        }
        Ok(Ok(0)) => return Ok(()),
        // Half a line could be half an id.
        Ok(Ok(_)) if line.last() != Some(&b'\n') => Err("the request line has no newline".to_owned()),
        Ok(Ok(_)) => match std::str::from_utf8(&line).map(parse) {
            Err(_) => Err("the line is not text".to_owned()),
            Ok(Err(e)) => Err(e.to_string()),
            Ok(Ok(Parsed::Ready)) => match *state.borrow() {
                ServiceState::Serving => Ok("done\n".to_owned()),
                ServiceState::Starting => Err("starting".to_owned()),
                ServiceState::Stopping => Err("this process is ending".to_owned()),
            },
            Ok(Ok(Parsed::Command(command))) => {
                let done = request_host(requests, |answer| AdminRequest::Command { command, answer }).await;
                done.map(|()| "done\n".to_owned())
            }
            Ok(Ok(Parsed::Query(query))) => {
                request_fleet(fleet, HOST_TIMEOUT, |answer| fleet::Asked::Query(query, answer)).await
            }
            Ok(Ok(Parsed::Fleet(command))) => {
                request_fleet(fleet, MEMBERSHIP_TIMEOUT, |answer| fleet::Asked::Order(command, answer)).await
            }
            Ok(Ok(Parsed::Figures)) => {
                // If the membership thread is busy, its metrics are omitted, without delaying the others.
                let known = match fleet {
                    Some(fleet) => request_within(fleet, HOST_TIMEOUT / 2, fleet::Asked::Metrics).await.ok(),
                    None => None,
                };
                request_host(requests, AdminRequest::Figures)
                    .await
                    .map(|snapshot| telemetry::scrape(&snapshot, known.as_ref()))
            }
        },
    };
    let text = answer.unwrap_or_else(|why| format!("error {why}\n"));
    let rest = async {
        stream.get_mut().write_all(text.as_bytes()).await?;
        stream.get_mut().shutdown().await?;
        // Data after the line is read, or closing would reset the connection and lose the answer.
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    let _ = timeout(CLOSE_TIMEOUT, rest).await;
    Ok(())
}

async fn request_fleet(
    fleet: Option<&Sender<fleet::Asked>>,
    time_limit: Duration,
    request: impl FnOnce(oneshot::Sender<Result<String, String>>) -> fleet::Asked,
) -> Result<String, String> {
    let fleet = fleet.ok_or_else(|| CallError::NoFleet.to_string())?;
    let text = request_within(fleet, time_limit, request).await?;
    Ok(if text.is_empty() { "done\n".to_owned() } else { format!("done {text}\n") })
}

async fn request_host<T>(
    requests: &Sender<AdminRequest>,
    request: impl FnOnce(oneshot::Sender<Result<T, String>>) -> AdminRequest,
) -> Result<T, String> {
    request_within(requests, HOST_TIMEOUT, request).await
}

async fn request_within<A, T>(
    requests: &Sender<A>,
    time_limit: Duration,
    request: impl FnOnce(oneshot::Sender<Result<T, String>>) -> A,
) -> Result<T, String> {
    let (answer, answered) = oneshot::channel();
    let reply = async {
        if requests.send(request(answer)).await.is_err() {
            return pending().await;
        }
        answered.await
    };
    match timeout(time_limit, reply).await {
        Ok(Ok(answer)) => answer,
        _ => Err("the sender is busy, starting or ending: not done in time".to_owned()),
    }
}

#[cfg(test)]
mod tests;

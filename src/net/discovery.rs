//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::host::Input;
use super::pool::{Connection, request};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long one call of the watch may wait for news: short, as an agent that fell silent shows only by it.
const HOLD: Duration = Duration::from_secs(5);
/// An answer that takes this much longer than it may wait does not come any more.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a first failed call: inside the 200 ms within which a watch goes on, whatever chance adds.
const PAUSE: Duration = Duration::from_millis(100);
/// No list is longer.
const MOST_BYTES: usize = 8 << 20;

/// A version of the list, or the changes that led to it.
#[derive(Debug, Deserialize)]
pub struct Targets {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One endpoint of the list.
#[derive(Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    pub locality: String,
    pub flavor: String,
    pub cell: u64,
    pub phase: Phase,
    #[serde(default)]
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    Serving,
    Draining,
    Deleted,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] super::pool::CallError),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("reading the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("the answer is not a list: {0}")]
    Json(#[from] serde_json::Error),
}

/// Pauses between calls that fail: doubling up to a cap, each by chance between half of that and the whole. The
/// agent is one for all senders and takes their calls in turn: those of a hundred that asked again at once kept
/// its queue full, and most were never heard.
pub struct Pauses {
    chance: ChaCha8Rng,
    most: Duration,
    next: Duration,
}

impl Pauses {
    /// None is longer than `most`.
    pub fn new(seed: u64, most: Duration) -> Self {
        Self { chance: ChaCha8Rng::seed_from_u64(seed), most, next: PAUSE }
    }

    fn next(&mut self) -> Duration {
        let full = self.next.min(self.most);
        self.next = (full * 2).min(self.most);
        full.mul_f64(0.5 + 0.5 * f64::from(self.chance.next_u32()) / f64::from(u32::MAX))
    }

    fn start_over(&mut self) {
        self.next = PAUSE;
    }
}

/// Watches the list from `revision` on, for as long as the host listens, at the address that is told last.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut revision: u64,
    mut pauses: Pauses,
    host: UnboundedSender<Input>,
) {
    let mut connection = None;
    let mut failing = false;
    loop {
        let agent = *address.borrow_and_update();
        let answer = tokio::select! {
            // The old address answers no more: the watch goes on at the new one, from what was told.
            Ok(()) = address.changed() => {
                connection = None;
                continue;
            }
            answer = timeout(HOLD + PATIENCE, next(agent, revision, &mut connection)) => answer,
        };
        match answer.unwrap_or(Err(WatchError::Silent)) {
            Ok(targets) => {
                failing = false;
                pauses.start_over();
                revision = targets.revision;
                if host.send(Input::Targets(targets)).is_err() {
                    return;
                }
            }
            Err(e) => {
                // One line an outage, not one a call.
                if !failing {
                    eprintln!("discovery: {e}");
                }
                failing = true;
                connection = None;
                // A new address is asked at once.
                tokio::select! {
                    Ok(()) = address.changed() => pauses.start_over(),
                    () = sleep(pauses.next()) => {}
                }
            }
        }
    }
}

async fn next(
    agent: SocketAddr,
    revision: u64,
    kept: &mut Option<Connection>,
) -> Result<Targets, WatchError> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(agent, HOLD).await?,
    };
    let path = format!("/api/targets?from={revision}&hold_ms={}", HOLD.as_millis());
    let answer = connection.send(request(Method::GET, &path, agent), Bytes::new()).await?;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    let body = http_body_util::Limited::new(answer.into_body(), MOST_BYTES).collect().await;
    let targets = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(targets)
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc::unbounded_channel;

    const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    const BROKEN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[{\"ok";

    /// Guards against a hundred senders that ask a busy agent again every 50 ms (800 calls a second on quick days
    /// at size, of which most senders never got one through): the pauses grow, whatever the failure.
    #[tokio::test]
    async fn a_failing_agent_is_asked_ever_more_rarely() {
        for answer in [BUSY, BROKEN, ""] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_move, address) = watch::channel(listener.local_addr().unwrap());
            let (host, mut heard) = unbounded_channel();
            let watching = tokio::spawn(watch(address, 7, Pauses::new(1, Duration::from_secs(5)), host));
            let mut calls = 0;
            let _ = timeout(Duration::from_secs(2), async {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut got = Vec::new();
                    while !got.ends_with(b"\r\n\r\n") && stream.read_buf(&mut got).await.unwrap() > 0 {}
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    calls += 1;
                }
            })
            .await;
            assert!((2..=10).contains(&calls), "{calls} calls in two seconds answered {answer:?}");
            assert!(heard.try_recv().is_err(), "the last good list stays");
            watching.abort();
        }
    }

    /// Guards against senders that were all turned away at one moment and all come back at another.
    #[test]
    fn pauses_grow_to_their_cap_and_lie_apart() {
        let most = Duration::from_secs(5);
        let all: Vec<Vec<Duration>> = (0..50)
            .map(|seed| {
                let mut pauses = Pauses::new(seed, most);
                (0..9).map(|_| pauses.next()).collect()
            })
            .collect();
        for turn in 0..9 {
            let full = (PAUSE * 2u32.pow(turn)).min(most);
            let mut at: Vec<Duration> = all.iter().map(|pauses| pauses[turn as usize]).collect();
            at.sort();
            assert!(at[0] >= full / 2 && at[49] <= full, "{at:?}");
            assert!(at[49] - at[0] > full / 4, "apart: {at:?}");
        }
        let mut pauses = Pauses::new(1, most);
        assert!((0..9).map(|_| pauses.next()).max() > Some(most / 2));
        pauses.start_over();
        assert!(pauses.next() <= PAUSE, "short again after an answer");
    }
}

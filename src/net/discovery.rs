//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::connection::{Connection, request};
use super::input::Input;
use super::telemetry::Shared;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use micadrum::wire::{TARGETS, Targets};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long one call of the watch may wait for news: short, as an agent that fell silent shows only by it.
const HOLD: Duration = Duration::from_secs(5);
/// An answer that takes this much longer than it may wait does not come any more.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a first failed call, at least: inside the 200 ms within which a watch goes on, whatever chance adds.
const PAUSE: Duration = Duration::from_millis(100);
/// What discovery is given for the call of each sender.
const CALL: Duration = Duration::from_millis(50);
/// More senders than these are not reckoned with: beyond, the longest pause counts.
const MOST_ROUND: u32 = 100_000;
/// No list is longer.
const MOST_BYTES: usize = 8 << 20;

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] super::connection::CallError),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("reading the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("the answer is not a list: {0}")]
    Json(#[from] serde_json::Error),
}

/// Pauses before calls that begin a watch. The agent is one for all senders and takes their calls in turn: a
/// hundred that ask at one moment overfill its queue, and what it turns away would come back at another.
pub struct Pauses {
    chance: ChaCha8Rng,
    /// The time in which all senders can ask, each once.
    round: Duration,
    /// Before the second try, on average.
    start: Duration,
    most: Duration,
    next: Duration,
}

impl Pauses {
    /// Those of one of so many senders; none is longer than `most`.
    pub fn new(seed: u64, senders: usize, most: Duration) -> Self {
        let round = CALL * u32::try_from(senders).unwrap_or(u32::MAX).min(MOST_ROUND);
        Self { round, ..Self::between(seed, round.max(PAUSE), most) }
    }

    /// Pauses between tries where no others are reckoned with.
    pub fn between(seed: u64, start: Duration, most: Duration) -> Self {
        let chance = ChaCha8Rng::seed_from_u64(seed);
        Self { chance, round: Duration::ZERO, start, most, next: start }
    }

    /// Before the first call: all senders may be starting together.
    fn first(&mut self) -> Duration {
        self.round.min(self.most).mul_f64(self.chance())
    }

    /// After a failed call: doubling up to the cap, by chance apart.
    pub fn again(&mut self) -> Duration {
        let full = self.next.min(self.most * 2 / 3);
        self.next = full * 2;
        full.mul_f64(0.5 + self.chance())
    }

    /// The next failure is the first one again.
    pub fn start_over(&mut self) {
        self.next = self.start;
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Watches the list from `revision` on, for as long as the host listens, at the address that is told last.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut revision: u64,
    mut pauses: Pauses,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
) {
    let mut connection = None;
    let mut failing = false;
    sleep(pauses.first()).await;
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
        let answer = answer.unwrap_or(Err(WatchError::Silent));
        shared.discovery_calls.count(answer.is_ok());
        match answer {
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
                    tracing::warn!("discovery: {e}");
                }
                failing = true;
                connection = None;
                // A new address is asked at once.
                tokio::select! {
                    Ok(()) = address.changed() => pauses.start_over(),
                    () = sleep(pauses.again()) => {}
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
    let path = format!("{TARGETS}?from={revision}&hold_ms={}", HOLD.as_millis());
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
            let watching = tokio::spawn(watch(
                address,
                7,
                Pauses::new(1, 1, Duration::from_secs(5)),
                host,
                Arc::default(),
            ));
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
        for (senders, first) in [(1, PAUSE), (20, Duration::from_secs(1))] {
            let most = Duration::from_secs(9);
            let all: Vec<Vec<Duration>> = (0..50)
                .map(|seed| {
                    let mut pauses = Pauses::new(seed, senders, most);
                    (0..9).map(|_| pauses.again()).collect()
                })
                .collect();
            for turn in 0..9 {
                let full = (first * 2u32.pow(turn)).min(most * 2 / 3);
                let mut at: Vec<Duration> = all.iter().map(|pauses| pauses[turn as usize]).collect();
                at.sort();
                assert!(at[0] >= full / 2 && at[49] <= most && at[49] <= full * 3 / 2, "{at:?}");
                assert!(at[49] - at[0] > full / 2, "apart: {at:?}");
            }
            let mut pauses = Pauses::new(1, senders, most);
            assert!((0..9).map(|_| pauses.again()).max() > Some(most / 4));
            pauses.start_over();
            assert!(pauses.again() <= first * 3 / 2, "short again after an answer");
        }
    }

    /// Guards against a fleet that starts at one moment and asks at one (quick days at size: the first 38 of a
    /// hundred were heard, of the others none for half a minute).
    #[tokio::test]
    async fn senders_that_start_together_ask_one_after_the_other() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_move, address) = watch::channel(listener.local_addr().unwrap());
        let (host, _heard) = unbounded_channel();
        let began = std::time::Instant::now();
        for seed in 0..40 {
            let pauses = Pauses::new(seed, 40, Duration::from_secs(9));
            tokio::spawn(watch(address.clone(), 7, pauses, host.clone(), Arc::default()));
        }
        let mut calls = Vec::new();
        while calls.len() < 40 {
            // Kept open and unanswered: nobody asks twice meanwhile.
            let (stream, _) = timeout(Duration::from_secs(20), listener.accept()).await.unwrap().unwrap();
            calls.push((began.elapsed(), stream));
        }
        let (early, late) = (calls[9].0, calls[39].0);
        assert!(late > Duration::from_millis(1000), "over two seconds: {late:?}");
        assert!(early > Duration::from_millis(100), "not at once: ten had asked after {early:?}");
    }
}

//! The list of endpoints: an unbroken watch on the agent of this machine.
use super::connection::{Connection, request};
use super::input::Input;
use super::telemetry::Shared;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use message_sender::wire::{TARGETS, Targets};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// How long one call of the watch may wait for news: short, as an agent that fell silent shows only by it.
const HOLD: Duration = Duration::from_secs(5);
/// An answer that takes this much longer than it may wait does not come any more.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a first failed call, at least: inside the 200 ms within which a watch goes on, whatever chance adds.
const PAUSE: Duration = Duration::from_millis(100);
/// For so long after a move a call that fails is soon made again: what there is to tell counts as told 4 s after it.
const MOVING: Duration = Duration::from_secs(4);
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

    /// The longest pause soon after a move.
    fn while_moving(&mut self) -> Duration {
        (MOVING / 4).mul_f64(0.5 + self.chance())
    }

    /// After a call that no answer came to: what it misses counts as told a second after its time, and others of the
    /// fleet began theirs at other moments, so that nobody asks in step.
    fn after_silence(&mut self) -> Duration {
        PAUSE.mul_f64(0.5 + self.chance())
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
    // Until when a call that has failed is soon made again: who has moved there counts as told 4 s later.
    let mut urgent = Instant::now();
    sleep(pauses.first()).await;
    loop {
        let agent = *address.borrow_and_update();
        let answer = tokio::select! {
            // The old address answers no more: the watch goes on at the new one, from what was told.
            Ok(()) = address.changed() => {
                connection = None;
                urgent = Instant::now() + MOVING;
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
                let pause = match e {
                    WatchError::Silent if !failing => pauses.after_silence(),
                    _ if Instant::now() < urgent => pauses.again().min(pauses.while_moving()),
                    _ => pauses.again(),
                };
                // One line an outage, not one a call.
                if !failing {
                    tracing::warn!("discovery: {e}");
                }
                failing = true;
                connection = None;
                // A new address is asked at once.
                tokio::select! {
                    Ok(()) = address.changed() => {
                        urgent = Instant::now() + MOVING;
                        pauses.start_over();
                    }
                    () = sleep(pause) => {}
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
    let path = format!("{TARGETS}?from={revision}&hold_ms={}", HOLD.as_millis());
    let head = || request(Method::GET, &path, agent);
    let (connection, answer) = Connection::exchange(kept.take(), agent, HOLD, head, Bytes::new()).await?;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    let body = http_body_util::Limited::new(answer.into_body(), MOST_BYTES).collect().await;
    let targets = serde_json::from_slice(&body.map_err(WatchError::Body)?.to_bytes())?;
    *kept = Some(connection);
    Ok(targets)
}

#[cfg(test)]
mod tests;

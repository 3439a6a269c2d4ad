//! Watches the list of endpoints by long polling the discovery agent on this machine.
use super::connection::{Connection, request};
use super::input::Input;
use super::received_body::{ReadError, read_body};
use super::telemetry::Shared;
use bytes::Bytes;
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

/// Maximum time that the agent holds a long poll open. Short, as a silent agent is detected only by its expiry.
const HOLD: Duration = Duration::from_secs(5);
/// Extra time after `HOLD` before a call counts as unanswered.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Minimum backoff after a first failed call: with jitter it stays below the 200 ms within which a watch must resume.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Time after an address change in which failed calls are retried soon: changes count as delivered 4 s after the move.
const URGENT_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Time that the discovery service is allowed for each sender's call.
const TIME_PER_SENDER: Duration = Duration::from_millis(50);
/// Cap on the number of senders in the computation: beyond it, the maximum backoff applies anyway.
const MAX_SENDERS: u32 = 100_000;
/// Maximum length of a list.
const MAX_LIST_BYTES: usize = 8 << 20;

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] super::connection::CallError),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("cannot read the answer: {0}")]
    Body(#[from] ReadError),
    #[error("the answer is not a list of endpoints: {0}")]
    Json(#[from] serde_json::Error),
}

/// Backoff with jitter between calls. All senders share one agent, which handles their calls in sequence: a hundred
/// simultaneous calls overflow its queue, and without jitter the rejected ones would be retried simultaneously too.
pub struct Pauses {
    rng: ChaCha8Rng,
    /// The time in which every sender can make one call.
    round: Duration,
    /// Mean backoff before the second attempt.
    start: Duration,
    max: Duration,
    next: Duration,
}

impl Pauses {
    /// Backoff for one of `senders` senders, never longer than `max`.
    pub fn new(seed: u64, senders: usize, max: Duration) -> Self {
        let round = TIME_PER_SENDER * u32::try_from(senders).unwrap_or(u32::MAX).min(MAX_SENDERS);
        Self { round, ..Self::between(seed, round.max(MIN_BACKOFF), max) }
    }

    /// Backoff from `start` on average up to `max`, regardless of other senders.
    pub fn between(seed: u64, start: Duration, max: Duration) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng, round: Duration::ZERO, start, max, next: start }
    }

    /// Delay before the first call: all senders may start together.
    fn first(&mut self) -> Duration {
        self.round.min(self.max).mul_f64(self.random())
    }

    /// Backoff after a failed call: doubles up to the cap, with jitter.
    pub fn again(&mut self) -> Duration {
        let full = self.next.min(self.max * 2 / 3);
        self.next = full * 2;
        full.mul_f64(0.5 + self.random())
    }

    /// Maximum backoff soon after an address change.
    fn while_moving(&mut self) -> Duration {
        (URGENT_AFTER_MOVE / 4).mul_f64(0.5 + self.random())
    }

    /// Backoff after a call without an answer. It is short, as changes missed by the call count as delivered a second
    /// after its time limit; the senders' calls started at different times, so their retries don't coincide.
    fn after_silence(&mut self) -> Duration {
        MIN_BACKOFF.mul_f64(0.5 + self.random())
    }

    /// Resets the backoff after a success.
    pub fn start_over(&mut self) {
        self.next = self.start;
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Watches the list from `revision` on at the current `address`, until the host ends.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    mut revision: u64,
    mut pauses: Pauses,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
) {
    let mut connection = None;
    let mut failing = false;
    // Until then a failed call is retried soon: changes at a new address count as delivered 4 s after the move.
    let mut urgent_until = Instant::now();
    sleep(pauses.first()).await;
    loop {
        let agent = *address.borrow_and_update();
        let answer = tokio::select! {
            // The old address no longer answers: continue at the new one from the last known revision.
            Ok(()) = address.changed() => {
                connection = None;
                urgent_until = Instant::now() + URGENT_AFTER_MOVE;
                continue;
            }
            answer = timeout(HOLD + ANSWER_MARGIN, fetch_next(agent, revision, &mut connection)) => answer,
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
                    _ if Instant::now() < urgent_until => pauses.again().min(pauses.while_moving()),
                    _ => pauses.again(),
                };
                // Log once per outage, not once per call.
                if !failing {
                    tracing::warn!("discovery: {e}");
                }
                failing = true;
                connection = None;
                // A new address is called immediately.
                tokio::select! {
                    Ok(()) = address.changed() => {
                        urgent_until = Instant::now() + URGENT_AFTER_MOVE;
                        pauses.start_over();
                    }
                    () = sleep(pause) => {}
                }
            }
        }
    }
}

async fn fetch_next(
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
    let targets = serde_json::from_slice(&read_body(answer.into_body(), MAX_LIST_BYTES).await?)?;
    *kept = Some(connection);
    Ok(targets)
}

#[cfg(test)]
mod tests;

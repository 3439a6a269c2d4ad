//! Retries with exponential backoff and jitter.

use super::Sender;
use super::state::{PendingMessage, Progress};
use crate::interface::{Action, MessageId, Outcome, Span, Time};

/// First backoff as a share of the latency target, so that several attempts fit before the value drops much.
pub(super) const BACKOFF_TARGET_SHARE: f64 = 0.14;
/// Maximum backoff, in first backoffs (the original write-up: 10 s over 1 s).
const MAX_BACKOFF_FACTOR: f64 = 10.0;
/// Maximum jitter, in first backoffs (the original write-up: 500 ms over 1 s).
const BACKOFF_JITTER_FACTOR: f64 = 0.5;

impl Sender {
    /// After an attempt that did not complete the message: schedules a retry, or ends the message.
    pub(super) fn retry(&mut self, id: MessageId, outcome: Outcome, actions: &mut Vec<Action>) {
        let jitter = self.random();
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let first_backoff = pending.message.class.latency_target.0 as f64 * BACKOFF_TARGET_SHARE;
        let backoff = first_backoff
            * f64::from(1u32 << pending.attempts.saturating_sub(1).min(8)).min(MAX_BACKOFF_FACTOR);
        let wait = match outcome {
            // All senders with a `Retry-After` return at its end: jitter spreads them over a backoff or that
            // wait.
            Outcome::Full(Some(Span(wait))) => wait as f64 + jitter * backoff.max(wait as f64),
            _ => backoff + jitter * first_backoff * BACKOFF_JITTER_FACTOR,
        };
        let retry_at = self.now.after(wait);
        pending.progress = Progress::Waiting(retry_at);
        if self.is_exhausted(&self.pending[&id], retry_at) {
            self.end_undelivered(id, actions);
        }
    }

    /// Whether a message that waits until `retry_at` can have no further attempt then.
    pub(super) fn is_exhausted(&self, pending: &PendingMessage, retry_at: Time) -> bool {
        let attempts_used_up = pending.attempts >= self.settings.max_attempts;
        attempts_used_up || retry_at >= self.latest_end(pending) || !self.is_retryable(pending, retry_at)
    }
}

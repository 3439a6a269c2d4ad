//! The idempotency rule: whether, when and where a message that may have executed can be retried.

use super::Sender;
use super::state::{Endpoint, PendingMessage};
use crate::interface::{Group, Repeat, Time};

impl Sender {
    /// Rule 2: a message that may have executed is retried only as its class permits, within the
    /// deduplication window.
    pub(super) fn rule_idempotency(&self, pending: &PendingMessage, target: &Endpoint) -> bool {
        let repeat = pending.message.class.repeat;
        let same_zone = matches!(repeat, Repeat::Keyed { group: Group::Zone, .. });
        self.is_retryable(pending, self.now)
            && pending.executed.is_none_or(|first| !same_zone || target.zone == first.zone)
    }

    /// Whether the idempotency rule permits another attempt at `time`, at some endpoint.
    pub(super) fn is_retryable(&self, pending: &PendingMessage, time: Time) -> bool {
        let Some(first) = pending.executed else { return true };
        match pending.message.class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { window, .. } => time.since(first.sent) + self.settings.period.0 < window.0,
        }
    }
}

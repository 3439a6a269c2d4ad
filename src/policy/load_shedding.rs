//! Admission control, and load shedding by the value of messages.

use super::Sender;
use super::state::{PendingMessage, Progress};
use crate::interface::{Action, Time};

/// Load shedding reserves 1 / `HEADROOM_DIVISOR` of the capacity for new messages.
const HEADROOM_DIVISOR: usize = 16;

impl Sender {
    /// Whether there is capacity for a message beside the `pending` ones, and time before shutdown.
    pub fn admits(&self, now: Time, pending: usize) -> bool {
        let time_left = self.shutdown_at.is_none_or(|end| now.0 + self.settings.connect_timeout.0 < end.0);
        pending < self.settings.max_pending && time_left
    }

    /// The value of delivering the message after a further `delay` in microseconds.
    pub(super) fn value_after(&self, pending: &PendingMessage, delay: f64) -> f64 {
        let class = &pending.message.class;
        let age = self.now.0 as f64 + delay - pending.deadline.0 as f64 + class.deadline.0 as f64;
        class.value * class.share_left(age, self.settings.decay)
    }

    /// Refuses the least valuable waiting messages while the capacity is almost exhausted.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let capacity =
            (self.settings.max_pending - (self.settings.max_pending / HEADROOM_DIVISOR).max(1)).max(1);
        while self.pending.len() > capacity {
            let least_valuable = (self.pending.iter())
                .filter(|(_, pending)| {
                    matches!(pending.progress, Progress::Waiting(_))
                        && pending.executed.is_none()
                        && !pending.untried
                })
                .map(|(id, pending)| (self.value_after(pending, 0.0), *id))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, id)) = least_valuable else { return };
            self.end_undelivered(id, actions);
        }
    }
}

//! Admission and load shedding by the value of messages.

use super::Sender;
use super::state::{PendingMessage, Progress};
use crate::interface::{Action, Time};

/// One part in so many of the capacity is kept free for new messages by shedding the least valuable.
const HEADROOM_DIVISOR: usize = 16;

impl Sender {
    /// Whether there is capacity for a message beside the `pending` ones, and time to deliver it.
    pub fn admits(&self, now: Time, pending: usize) -> bool {
        let time = self.shutdown_at.is_none_or(|end| now.0 + self.settings.connect_timeout.0 < end.0);
        pending < self.settings.max_pending && time
    }

    /// The value of delivering the message after a further `delay` in microseconds.
    pub(super) fn value_after(&self, pending: &PendingMessage, delay: f64) -> f64 {
        let class = &pending.message.class;
        let late = self.now.0 as f64 + delay - pending.deadline.0 as f64 + class.deadline.0 as f64;
        class.value * class.share_left(late, self.settings.decay)
    }

    /// With the capacity almost exhausted, the least valuable message is refused.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let capacity =
            (self.settings.max_pending - (self.settings.max_pending / HEADROOM_DIVISOR).max(1)).max(1);
        while self.pending.len() > capacity {
            let least = (self.pending.iter())
                .filter(|(_, h)| {
                    matches!(h.progress, Progress::Waiting(_)) && h.executed.is_none() && !h.untried
                })
                .map(|(id, h)| (self.value_after(h, 0.0), *id))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, id)) = least else { return };
            self.end_undelivered(id, actions);
        }
    }
}

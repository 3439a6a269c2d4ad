//! Admission and load shedding by the value of messages.

use super::Sender;
use super::state::{Held, Stage};
use crate::interface::{Action, Time};

/// Part of the room for messages that is kept free for newcomers by shedding what is worth least.
const SPARE_ROOM: usize = 16;

impl Sender {
    /// Whether there is room for one more message beside the `held` ones, and time to deliver it.
    pub fn admits(&self, now: Time, held: usize) -> bool {
        let time = self.ends_at.is_none_or(|end| now.0 + self.settings.connect_timeout.0 < end.0);
        held < self.settings.max_pending && time
    }

    /// What delivering the message after `delay` more would earn.
    pub(super) fn worth(&self, held: &Held, delay: f64) -> f64 {
        let class = &held.message.class;
        let late = self.now.0 as f64 + delay - held.deadline.0 as f64 + class.deadline.0 as f64;
        class.value * class.share_left(late, self.settings.decay)
    }

    /// With the room almost full, the message worth least is refused for the newcomers' sake.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        let room = (self.settings.max_pending - (self.settings.max_pending / SPARE_ROOM).max(1)).max(1);
        while self.held.len() > room {
            let least = (self.held.iter())
                .filter(|(_, h)| matches!(h.stage, Stage::Waiting(_)) && h.ran.is_none() && !h.untried)
                .map(|(id, h)| (self.worth(h, 0.0), *id))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, id)) = least else { return };
            self.end(id, actions);
        }
    }
}

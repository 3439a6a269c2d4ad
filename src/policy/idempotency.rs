//! Whether a message that may have executed can be sent again, when and where.

use super::Sender;
use super::state::{Endpoint, Held};
use crate::interface::{Group, Repeat, Time};

impl Sender {
    /// Rule 2: what may have run is repeated as its kind permits, in the window of the first such try.
    pub(super) fn rule_effect(&self, held: &Held, at: &Endpoint) -> bool {
        let repeat = held.message.class.repeat;
        let here = matches!(repeat, Repeat::Keyed { group: Group::Zone, .. });
        self.repeatable(held, self.now) && held.ran.is_none_or(|ran| !here || at.zone == ran.zone)
    }

    /// Whether some endpoint could still be sent the message at `at` by the effect rule.
    pub(super) fn repeatable(&self, held: &Held, at: Time) -> bool {
        let Some(ran) = held.ran else { return true };
        match held.message.class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { window, .. } => at.since(ran.sent) + self.settings.period.0 < window.0,
        }
    }
}

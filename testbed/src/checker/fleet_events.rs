//! What happens to senders, partners and connections.

use super::{Rule, RuleChecker, WITNESS_SHARE};
use crate::plan::Micros;

impl RuleChecker {
    /// A sender was notified that an endpoint drains or has departed, or that it serves again.
    pub fn endpoint_reported(
        &mut self,
        now: Micros,
        sender: usize,
        partner: usize,
        endpoint: usize,
        serves: bool,
    ) {
        if serves {
            self.drained.remove(&(sender, partner, endpoint));
        } else {
            self.drained.entry((sender, partner, endpoint)).or_insert(now);
        }
    }

    /// A sender's process has ended.
    pub fn sender_down(&mut self, now: Micros, sender: usize) {
        self.down.push((sender, now, Micros::MAX));
        self.waits.retain(|(who, _), _| *who != sender);
    }

    /// A sender is ready again.
    pub fn sender_ready(&mut self, now: Micros, sender: usize) {
        for (who, _, ready) in self.down.iter_mut().filter(|(_, _, ready)| *ready == Micros::MAX) {
            if *who == sender {
                *ready = now;
            }
        }
    }

    /// A connection was made to an endpoint.
    pub fn connected(&mut self, now: Micros) {
        self.counts.connections += 1;
        self.span(now).connections += 1;
    }

    /// A stranger has disconnected; whether it had an error or a close in time.
    pub fn stranger(&mut self, served: bool) {
        self.counts.strangers += 1;
        self.counts.strangers_left += u64::from(!served);
    }

    /// A partner fell over.
    pub fn fell(&mut self, now: Micros, partner: usize, by_witnesses: f64) {
        self.counts.falls += 1;
        self.event(now, format!("partner {partner} fell over"));
        if by_witnesses >= WITNESS_SHARE {
            let share = by_witnesses * 100.0;
            self.breach(Rule::Fall, now, format!("partner {partner}: {share:.0}% by those who saw it fail"));
        }
    }
}

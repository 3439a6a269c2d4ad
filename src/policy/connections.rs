//! Connection limits of endpoints, and idle connections that are dead or not worth their place.

use super::state::{Health, Line, Try};
use super::timeouts::OVERDUE_DEVS;
use super::{Sender, seconds};
use crate::interface::{Action, Outcome, Time};

/// Longest wait for the next call, in `fall`s, for which a connection into a small table is kept ...
pub(super) const MOST_KEPT: f64 = 2.0;
/// ... halved with each call that gets none, so often at most; it grows by this share with each other one.
const LESS_KEPT: (i32, f64) = (6, 0.02);

impl Sender {
    /// Idle connections can be dead without a word: each call on one is lost, though the endpoint is well.
    /// After silence they are closed; and those idle for as long as the lost call's was are used nowhere, a
    /// span that grows again. They also fill small tables, no one knowing its part: who expects no call
    /// within the time for which a kind's tables leave room keeps none. Both cost handshakes where a
    /// partner is merely slow or down.
    pub(super) fn distrust(&mut self, tried: Try, outcome: Outcome, actions: &mut Vec<Action>) {
        let at = &self.endpoints[&tried.endpoint];
        let (line, kind) = (&self.lines[at.line], at.kind);
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let crowded = matches!(outcome, Outcome::ConnectFailed | Outcome::NoRoom);
        if !silent {
            let (kept, (halvings, growth)) = (&mut self.kept[kind.0], LESS_KEPT);
            *kept *= if crowded { 0.5 } else { 1.0 + growth };
            *kept = kept.clamp(MOST_KEPT * 0.5f64.powi(halvings), MOST_KEPT);
        }
        let span = self.kept[kind.0] * seconds(self.settings.rules.overload_tolerance.0);
        let rare =
            |line: &Line| self.kept[kind.0] < MOST_KEPT && line.rate * span < 1.0 && line.out.len() <= 1;
        if silent || rare(line) {
            actions.push(Action::CloseIdle(tried.endpoint));
        }
        if outcome == Outcome::NoRoom {
            let others = self.endpoints.iter().filter(|(_, e)| e.kind == kind && rare(&self.lines[e.line]));
            actions.extend(others.map(|(endpoint, _)| Action::CloseIdle(*endpoint)));
        }
        let healthy = seconds(line.slowest(OVERDUE_DEVS) as u64);
        if let Some(call) = self.calls.get(&tried.call).filter(|call| silent && call.idle > healthy) {
            self.trusted_idle = self.trusted_idle.min(call.idle);
        }
    }

    /// An endpoint that answers and has no connection for one call more has a full table, not an outage: no
    /// more calls go there at once than it held, and in time one more is tried.
    pub(super) fn no_room(&mut self, at: usize, sent: Time, rank: usize, outcome: Outcome) -> bool {
        let (now, rules) = (self.now, self.settings.rules);
        let quick = now.since(sent) < self.settings.connect_timeout.0 / 2;
        let line = &mut self.lines[at];
        let answers = quick && rank > 1 && sent.since(line.last_success) < rules.overload_tolerance.0;
        match outcome {
            Outcome::NoRoom if line.health != Health::Up => false,
            Outcome::ConnectFailed | Outcome::NoRoom if outcome == Outcome::NoRoom || answers => {
                if line.endpoint.is_some() {
                    let held = (rank - 1).max(1);
                    line.room = if line.room == 0 { held } else { line.room.min(held) };
                    line.room_at = now;
                    // Connections that find no room cost the endpoint work too: all senders together try no
                    // more of them than it takes calls.
                    let part = line.limit / self.settings.senders as f64;
                    if part > 0.0 && outcome == Outcome::NoRoom {
                        line.pace = line.pace.min(part.max(line.rate));
                        line.tokens = line.tokens.min(0.0);
                    }
                }
                true
            }
            Outcome::Success if line.room > 0 && rank >= line.room => {
                if now.since(line.room_at) >= rules.overload_tolerance.0 {
                    (line.room, line.room_at) = (line.room + 1, now);
                }
                false
            }
            _ => false,
        }
    }
}

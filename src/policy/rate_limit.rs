//! Rate limiting of a route: a token bucket whose rate adapts to rejections, slow start after an outage, and
//! the time at which a route or destination next accepts a call.

use super::state::{Health, Line};
use super::{RATE_S, Sender, seconds};
use crate::interface::{DestinationId, EndpointId, Settings, Span, Time};

/// Share of the slots that one line may fill, so that one silent partner cannot take them all.
const LINE_SLOTS: f64 = 0.5;
/// Sending rate left after a refusal above the limit, as a share of what got through.
pub(super) const SLOW_DOWN: f64 = 0.8;
/// Growth of that rate per second while nothing is refused.
const SPEED_UP: f64 = 0.25;
/// A returning line is sent at most this share of what the recovery rule allows (others return too).
const RETURN_SHARE: f64 = 0.9;
/// Seconds of the pace that may be sent at once on a healthy line.
const BURST_S: f64 = 0.5;

impl Line {
    /// When the line has its next token: on the ramp too early while far off, as the rate rises meanwhile.
    fn token_at(&self, s: &Settings) -> Time {
        let missing = 1.0 - self.tokens;
        let (from, wait) = match self.health {
            _ if missing <= 0.0 => (Time(0), 0.0),
            Health::Returning(began) => {
                let from = self.tokens_at.max(began);
                let longest = missing / self.return_rate(from, began, s);
                (from, missing / self.return_rate(from.after(longest * 1e6), began, s))
            }
            Health::Up => (self.tokens_at, (missing * SPEED_UP / self.pace).ln_1p() / SPEED_UP),
            Health::Down(_) => (self.tokens_at, missing / self.pace),
        };
        from.after((wait * 1e6).ceil())
    }

    /// Until when nobody gets anything here, as far as is known.
    pub(super) fn shut_until(&self) -> Time {
        let away = if let Health::Down(at) | Health::Returning(at) = self.health { at } else { Time(0) };
        self.told_until.max(self.hold_until).max(away)
    }

    /// The first moment at which the line may let a call through; none where an end has to come before.
    pub(super) fn opens(&self, now: Time, s: &Settings) -> Option<Time> {
        let full = self.room > 0 && self.out.len() >= self.room;
        let tried = matches!(self.health, Health::Down(_)) && !self.out.is_empty();
        let paused = self.shut_until().max(self.token_at(s));
        (!full && !tried).then(|| self.stalled_until(now).map_or(paused, |at| at.max(paused)))
    }

    /// Brings the learned rate and the pace's tokens up to `now`: on use, as a list may be long.
    pub(super) fn refresh(&mut self, now: Time, s: &Settings) {
        let mut dt = seconds(now.since(self.tokens_at));
        if let Health::Returning(began) = self.health {
            dt = dt.min(seconds(now.since(began)));
            if now.since(began) >= s.rules.slow_start.0 {
                self.health = Health::Up;
            }
        }
        self.tokens_at = now;
        let pace = self.pace;
        if self.health == Health::Up {
            self.rate *= (-dt / RATE_S).exp();
            self.pace *= (SPEED_UP * dt).exp();
        }
        self.failing *= (-dt / seconds(s.rules.slow_start.0.max(1))).exp(); // unseen failures fade
        // What the pace adds up to meanwhile, so that it is the same however often this is asked.
        let (gained, depth) = match self.health {
            Health::Returning(began) => {
                (self.return_rate(Time(now.0 - (dt * 5e5) as u64), began, s) * dt, 1.0)
            }
            Health::Up => ((self.pace - pace) / SPEED_UP, (pace * BURST_S).max(1.0)),
            Health::Down(_) => (pace * dt, (pace * BURST_S).max(1.0)),
        };
        self.tokens = if gained.is_finite() { (self.tokens + gained).min(depth) } else { depth };
    }

    /// Calls a second that this sender alone may add to a line coming back: its share of what the line took
    /// before, times what the rule allows at this point of the ramp; at least one a `fall` between senders.
    fn return_rate(&self, now: Time, began: Time, s: &Settings) -> f64 {
        let r = &s.rules;
        let warm = now.since(began) as f64 / r.slow_start.0.max(1) as f64;
        let share = r.slow_start_share + (1.0 - r.slow_start_share) * warm.min(1.0);
        let equal = self.limit / s.senders as f64 * SLOW_DOWN;
        let usual = self.rate.max(equal).max(1.0 / seconds(r.slow_start.0).max(0.1));
        (usual * share * r.overload_factor * RETURN_SHARE).min(self.pace).max(self.trial_rate(s))
    }

    /// Calls a second that are safe while nothing is known of the line's health: this sender's part of what
    /// the rule lets all of them send to one that is cold. Where no limit is known that is one a `fall`; but
    /// only those with a message waiting call, so each may send the cold share of one message a ramp.
    pub(super) fn trial_rate(&self, s: &Settings) -> f64 {
        let cold = s.rules.slow_start_share * s.rules.overload_factor * RETURN_SHARE;
        let equal = 1.0 / (s.senders as f64 * seconds(s.rules.overload_tolerance.0).max(0.1));
        equal.max(cold * (self.limit / s.senders as f64).max(1.0 / seconds(s.rules.slow_start.0).max(0.1)))
    }

    /// The pace that refusals never push below: half the known limit's equal part, and half of that with each
    /// further one in a row, down to what chance makes of the parts of so many senders, or to the cold share.
    /// Where no limit is known, the rate of trials.
    pub(super) fn least_rate(&self, s: &Settings) -> f64 {
        let chance = (1.0 / s.senders as f64).sqrt().max(s.rules.slow_start_share).min(0.5);
        let part = self.limit / s.senders as f64 * 0.5f64.powi(self.fulls.clamp(1, 9) as i32).max(chance);
        if part > 0.0 { part } else { self.trial_rate(s) }
    }
}

impl Sender {
    pub(super) fn told(&mut self, endpoint: EndpointId, wait: Span) {
        let Some(at) = self.endpoints.get(&endpoint) else { return };
        let shared = self.destinations.get(&at.destination).and_then(|d| d.shared);
        let line = &mut self.lines[shared.unwrap_or(at.line)];
        line.told_until = line.told_until.max(Time(self.now.0 + wait.0));
    }

    /// Brings all lines of a destination up to now; false where the list never named it.
    pub(super) fn refresh(&mut self, destination: DestinationId) -> bool {
        let Some(d) = self.destinations.get(&destination) else { return false };
        for line in d.endpoints.iter().map(|e| self.endpoints[e].line).chain(d.shared) {
            self.lines[line].refresh(self.now, &self.settings);
        }
        true
    }

    /// Limits of our own making beside the rules': pauses after a refusal, silence, learned pace and room.
    pub(super) fn paced(&self, line: &Line) -> bool {
        line.opens(self.now, &self.settings).is_some_and(|at| at <= self.now)
    }

    /// When some endpoint of the destination and the destination itself open, whatever the message.
    pub(super) fn opening(
        &self,
        destination: DestinationId,
        opens: impl Fn(&Line) -> Option<Time>,
    ) -> Option<Time> {
        let d = self.destinations.get(&destination)?;
        let active = d.endpoints.iter().map(|e| &self.endpoints[e]).filter(|at| self.rule_drain(at));
        let own = active.filter_map(|at| opens(&self.lines[at.line])).min()?;
        Some(own.max(d.shared.map_or(Some(own), |line| opens(&self.lines[line]))?))
    }

    /// When a new call may go to the destination.
    pub(super) fn next_call_to(&self, destination: DestinationId) -> Option<Time> {
        let opening = self.opening(destination, |line| line.opens(self.now, &self.settings));
        opening.filter(|_| self.slots_left(destination))
    }

    /// Share of the slots that one destination may fill, whatever its routes.
    pub(super) fn slots_left(&self, destination: DestinationId) -> bool {
        let most = ((self.settings.slots as f64 * LINE_SLOTS) as usize).max(2);
        self.destinations.get(&destination).is_some_and(|d| d.calls < most)
    }
}

//! What is known of one incarnation of an endpoint, and what it may be sent.

use crate::outlier::{Failure, OutlierDetector};
use crate::policy::RoutingPolicy;
use crate::types::*;
use fleet_model::EndpointState;
use message_sender::{Outcome, Span, Time};
use std::sync::Arc;

/// Reported load counts half after this, in microseconds.
const LOAD_HALF_LIFE: f64 = 300_000.0;
/// First time for which a refusal as full closes an endpoint; it doubles while refusals go on.
const CLOSED: u64 = 30_000;
/// Most such doublings: up to 480 ms.
const CLOSED_DOUBLINGS: u32 = 4;
/// Chance adds up to this share.
const CLOSED_JITTER: f64 = 0.25;
/// Weight of one more time to the first byte in its mean.
const LEARNING_RATE: f64 = 0.2;
/// What was learned of an endpoint's pace counts half after this, in microseconds.
const PACE_HALF_LIFE: f64 = 5_000_000.0;

/// Whether the list has it, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    Ready,
    /// Once draining it stays so: an endpoint that is leaving does not come back under its name.
    Draining,
    Unlisted,
}

/// What the service's terms and the number of proxies make of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    pub engine: bool,
    pub proxies: u32,
    /// Connections of this proxy to one endpoint.
    pub connections: u32,
    pub default_slots: u32,
    /// Tokens that an endpoint's memory holds; 0 where nothing tells them.
    pub cache_tokens: u64,
}

/// A call that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    pub outcome: Outcome,
    /// Time to its first byte.
    pub elapsed: Span,
    /// Whether its service can do without the endpoint.
    pub may_eject: bool,
    /// Drawn within 0 and 1.
    pub jitter: f64,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub key: EndpointKey,
    pub listed: fleet_model::Endpoint,
    pub instance_id: Arc<str>,
    /// Hash of the incarnation's id, for ranks.
    pub hash: u64,
    pub presence: Presence,
    pub in_flight: u32,
    pub connections: u32,
    misdirected: bool,
    outliers: OutlierDetector,
    closed_until: Time,
    refusals: u32,
    /// Calls of other proxies that it reported, and when.
    reported: (f64, Time),
    /// Mean time to the first byte, and when it was last learned.
    pace: (f64, Time),
}

impl Endpoint {
    pub fn new(key: EndpointKey, listed: &fleet_model::Endpoint) -> Endpoint {
        Endpoint {
            key,
            instance_id: Arc::from(listed.instance_id.as_str()),
            hash: crate::hash::hash(listed.instance_id.as_bytes()),
            presence: presence(listed),
            listed: listed.clone(),
            in_flight: 0,
            connections: 0,
            misdirected: false,
            outliers: OutlierDetector::new(),
            closed_until: Time(0),
            refusals: 0,
            reported: (0.0, Time(0)),
            pace: (0.0, Time(0)),
        }
    }

    /// Takes what the list says of this incarnation now.
    pub fn list(&mut self, listed: &fleet_model::Endpoint) {
        if self.presence != Presence::Draining {
            self.presence = presence(listed);
        }
        if self.listed != *listed {
            self.misdirected = false;
            self.listed = listed.clone();
        }
    }

    pub fn slots(&self, bounds: &Bounds) -> u32 {
        if self.listed.capacity_slots > 0 { self.listed.capacity_slots } else { bounds.default_slots.max(1) }
    }

    /// Calls there: this proxy's, and those of others as far as reported.
    pub fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    fn others(&self, now: Time) -> f64 {
        let (calls, index) = self.reported;
        if calls <= 0.0 { 0.0 } else { calls * (-(now.since(index) as f64) / LOAD_HALF_LIFE).exp2() }
    }

    /// Calls of this proxy that it may have.
    pub fn limit(&self, bounds: &Bounds, load: f64) -> u32 {
        let slots = self.slots(bounds);
        let calls = if bounds.engine {
            slots
        } else if load >= f64::from(slots) {
            (slots + 2).min((2 * slots).div_ceil(bounds.proxies).max(2))
        } else {
            slots + 2
        };
        calls.min(bounds.connections)
    }

    /// Whether it takes new calls but for those that it has, its refusals and failures.
    pub fn in_service(&self) -> bool {
        self.presence == Presence::Ready && !self.misdirected
    }

    /// Closed by a refusal.
    pub fn closed(&self, now: Time) -> bool {
        now < self.closed_until
    }

    /// Ejected, or its one trial is out.
    pub fn ejected(&self, now: Time) -> bool {
        self.outliers.ejected(now)
    }

    /// It has been ejected and has not proved itself since.
    pub fn unproven(&self) -> bool {
        self.outliers.unproven()
    }

    /// When it is usable again as far as refusals and failures go.
    pub fn opens(&self, now: Time) -> Time {
        self.outliers.ejected_until(now).unwrap_or(now).max(self.closed_until).max(now)
    }

    /// What its recent failures add to its load, in shares of its slots.
    pub fn penalty(&self, now: Time) -> f64 {
        self.outliers.penalty(now)
    }

    /// Its time to the first byte against its service's mean; 1 unless it is much slower.
    pub fn slowness(&self, now: Time, mean: f64) -> f64 {
        let (pace, index) = self.pace;
        if pace <= 0.0 || mean <= 0.0 {
            return 1.0;
        }
        let kept = (-(now.since(index) as f64) / PACE_HALF_LIFE).exp2();
        let ratio = 1.0 + (pace / mean - 1.0) * kept;
        if ratio > 1.5 { ratio.min(3.0) } else { 1.0 }
    }

    /// A new connection is within this proxy's share; calls that have none yet are opening theirs.
    pub fn may_open(&self, bounds: &Bounds) -> bool {
        self.connections.max(self.in_flight) < bounds.connections
    }

    /// A call goes there.
    pub fn send(&mut self) {
        self.in_flight += 1;
        self.outliers.sent();
    }

    pub fn misdirect(&mut self) {
        self.misdirected = true;
    }

    pub fn report(&mut self, now: Time, load: ServerLoad) {
        let calls = load.running.saturating_add(load.waiting).saturating_sub(self.in_flight);
        self.reported = (f64::from(calls), now);
    }

    /// Takes the end of one of its calls.
    pub fn end(&mut self, now: Time, call: &EndedCall, bounds: &Bounds, policy: &RoutingPolicy) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let may_eject = call.may_eject && policy.outlier_ejection;
        match call.outcome {
            Outcome::Success => {
                self.outliers.succeeded();
                self.refusals = 0;
                self.learn_pace(now, call.elapsed);
            }
            Outcome::Full(wait) => {
                self.outliers.succeeded();
                self.refuse(now, wait, policy, call.jitter);
                self.assume_full(now, bounds);
            }
            Outcome::NoRoom => {
                self.outliers.inconclusive(now);
                self.refuse(now, None, policy, call.jitter);
            }
            Outcome::ConnectFailed => self.outliers.failed(now, Failure::Connect, may_eject),
            Outcome::Reset | Outcome::TimedOut | Outcome::Failure => {
                self.outliers.failed(now, Failure::Answer, may_eject);
            }
            Outcome::Cancelled | Outcome::Void => self.outliers.inconclusive(now),
        }
    }

    fn learn_pace(&mut self, now: Time, elapsed: Span) {
        let (pace, _) = self.pace;
        let took = elapsed.0 as f64;
        self.pace = (if pace > 0.0 { pace + LEARNING_RATE * (took - pace) } else { took }, now);
    }

    /// It refused as full: others have what this proxy does not.
    fn assume_full(&mut self, now: Time, bounds: &Bounds) {
        let missing = f64::from(self.slots(bounds)) - self.load(now);
        if missing > 0.0 {
            self.reported = (self.others(now) + missing, now);
        }
    }

    /// Closes it for all messages. Refusals that arrive while it is closed are of calls sent before: they count once.
    fn refuse(&mut self, now: Time, wait: Option<Span>, policy: &RoutingPolicy, jitter: f64) {
        if let Some(wait) = wait {
            self.closed_until = self.closed_until.max(now.after(wait.0 as f64));
        } else if !self.closed(now) && policy.refusal_backoff {
            let wait = (CLOSED << self.refusals.min(CLOSED_DOUBLINGS)) as f64;
            self.closed_until = now.after(wait * (1.0 + CLOSED_JITTER * jitter));
            self.refusals += 1;
        }
    }

    /// For staff.
    pub fn view(&self, now: Time, bounds: &Bounds) -> EndpointView {
        let load = self.load(now);
        let unavailable = match (self.presence, self.outliers.ejected_until(now)) {
            (Presence::Draining, _) => Some(UnavailableReason::Draining),
            (Presence::Unlisted, _) => Some(UnavailableReason::Unlisted),
            (Presence::Ready, _) if self.misdirected => Some(UnavailableReason::Misdirected),
            (Presence::Ready, Some(until)) => Some(UnavailableReason::Ejected { until }),
            (Presence::Ready, None) if self.outliers.on_trial() => Some(UnavailableReason::Probing),
            (Presence::Ready, None) if self.closed(now) => {
                Some(UnavailableReason::BackingOff { until: self.closed_until })
            }
            (Presence::Ready, None) if self.in_flight >= self.limit(bounds, load) => {
                Some(UnavailableReason::AtCapacity)
            }
            (Presence::Ready, None) => None,
        };
        EndpointView {
            key: self.key,
            instance_id: self.instance_id.clone(),
            service: self.listed.service.clone(),
            address: self.listed.address,
            zone: self.listed.zone.clone(),
            in_flight: self.in_flight,
            connections: self.connections,
            slots: self.slots(bounds),
            reported_load: load - f64::from(self.in_flight),
            unavailable,
        }
    }
}

fn presence(listed: &fleet_model::Endpoint) -> Presence {
    match listed.state {
        EndpointState::Ready => Presence::Ready,
        EndpointState::Draining => Presence::Draining,
    }
}

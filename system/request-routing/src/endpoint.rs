//! State of one endpoint incarnation: its presence in the list, load, latency, refusals and outlier detection, and the
//! number of calls that this proxy may have in flight to it.

use crate::decay::DecayingValue;
use crate::outlier::{Failure, OutlierDetector};
use crate::policy::RoutingPolicy;
use crate::types::{EndpointKey, EndpointView, ServerLoad, UnavailableReason};
use fleet_model::EndpointState;
use message_sender::{Outcome, Span, Time};
use std::sync::Arc;

/// Half-life of a load report's weight, in microseconds.
const REPORTED_LOAD_HALF_LIFE_MICROS: f64 = 300_000.0;
/// First backoff after a refusal for lack of capacity, in microseconds; it doubles with each further refusal.
const FIRST_REFUSAL_BACKOFF_MICROS: u64 = 30_000;
/// Upper bound on the doublings: the backoff reaches at most 480 ms before jitter.
const MAX_REFUSAL_BACKOFF_DOUBLINGS: u32 = 4;
/// Jitter added to a refusal backoff, as a share of it.
const REFUSAL_BACKOFF_JITTER: f64 = 0.25;
/// Weight of a new observation in the moving mean of the time to first byte.
const TTFB_SMOOTHING_FACTOR: f64 = 0.2;
/// Half-life of the weight of an endpoint's mean time to first byte, in microseconds.
const TTFB_HALF_LIFE_MICROS: f64 = 5_000_000.0;

/// Presence of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Listed and accepting calls.
    Ready,
    /// Listed as draining. This is final: a draining incarnation does not become ready again.
    Draining,
    /// No longer listed, but calls are still in flight.
    Unlisted,
}

/// Limits of an endpoint that follow from its service's settings and the number of proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointLimits {
    /// The service's endpoints are model engines, which batch calls in a fixed number of slots.
    pub(crate) engine: bool,
    /// Number of proxies that share the endpoint.
    pub(crate) proxies: u32,
    /// Upper bound on this proxy's connections to one endpoint.
    pub(crate) max_connections: u32,
    /// Slots of an endpoint whose list entry states none.
    pub(crate) default_slots: u32,
    /// Capacity of an endpoint's prefix cache in tokens; 0 if unknown.
    pub(crate) cache_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedCall {
    pub(crate) outcome: Outcome,
    pub(crate) time_to_first_byte: Span,
    /// Whether the service has enough other endpoints to eject this one.
    pub(crate) may_eject: bool,
    /// Random value between 0 and 1 for the refusal backoff.
    pub(crate) jitter: f64,
}

/// This proxy's view of one endpoint incarnation.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) key: EndpointKey,
    /// Entry in the newest list that contained the endpoint.
    pub(crate) listed: fleet_model::Endpoint,
    pub(crate) instance_id: Arc<str>,
    /// Hash of the instance id, for rendezvous hashing.
    pub(crate) hash: u64,
    pub(crate) presence: Presence,
    /// This proxy's calls in flight to the endpoint.
    pub(crate) in_flight: u32,
    /// This proxy's open connections to the endpoint.
    pub(crate) connections: u32,
    /// Whether another incarnation responds at the listed address.
    misdirected: bool,
    outlier_detector: OutlierDetector,
    backing_off_until: Time,
    /// Consecutive refusals for lack of capacity.
    refusals: u32,
    /// Calls of other proxies, as of the last load report.
    reported_load: DecayingValue,
    /// Moving mean of the time to first byte, in microseconds; 0 before the first response.
    mean_ttfb: DecayingValue,
}

impl Endpoint {
    pub(crate) fn new(key: EndpointKey, listed: &fleet_model::Endpoint) -> Endpoint {
        Endpoint {
            key,
            instance_id: Arc::from(listed.instance_id.as_str()),
            hash: crate::hash::hash(listed.instance_id.as_bytes()),
            presence: presence(listed),
            listed: listed.clone(),
            in_flight: 0,
            connections: 0,
            misdirected: false,
            outlier_detector: OutlierDetector::new(),
            backing_off_until: Time(0),
            refusals: 0,
            reported_load: DecayingValue::ZERO,
            mean_ttfb: DecayingValue::ZERO,
        }
    }

    /// Applies this incarnation's entry in a new list.
    pub(crate) fn update_from_list(&mut self, listed: &fleet_model::Endpoint) {
        if self.presence != Presence::Draining {
            self.presence = presence(listed);
        }
        if self.listed != *listed {
            self.misdirected = false;
            self.listed = listed.clone();
        }
    }

    /// Number of calls that the endpoint runs concurrently.
    pub(crate) fn slots(&self, limits: &EndpointLimits) -> u32 {
        if self.listed.capacity_slots > 0 { self.listed.capacity_slots } else { limits.default_slots.max(1) }
    }

    /// Estimated number of calls at the endpoint: this proxy's, plus the decayed report of other proxies' calls.
    pub(crate) fn load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.load_of_other_proxies(now)
    }

    pub(crate) fn load_of_other_proxies(&self, now: Time) -> f64 {
        self.reported_load.decayed(now, REPORTED_LOAD_HALF_LIFE_MICROS)
    }

    /// Weight of the load report, which halves with each half-life; 0 without a report.
    pub(crate) fn report_weight(&self, now: Time) -> f64 {
        if self.reported_load.updated_at == Time(0) {
            return 0.0;
        }
        self.reported_load.remaining_share(now, REPORTED_LOAD_HALF_LIFE_MICROS)
    }

    /// Upper bound on this proxy's calls in flight to the endpoint.
    pub(crate) fn max_in_flight(&self, limits: &EndpointLimits, load: f64) -> u32 {
        let slots = self.slots(limits);
        let calls = if limits.engine {
            slots
        } else if load >= f64::from(slots) {
            (slots + 2).min((2 * slots).div_ceil(limits.proxies).max(2))
        } else {
            slots + 2
        };
        calls.min(limits.max_connections)
    }

    /// Whether the endpoint accepts new calls, apart from capacity, refusals and failures.
    pub(crate) fn is_in_service(&self) -> bool {
        self.presence == Presence::Ready && !self.misdirected
    }

    pub(crate) fn is_backing_off(&self, now: Time) -> bool {
        now < self.backing_off_until
    }

    /// Whether the endpoint is ejected, or its probe call is in flight.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        self.outlier_detector.is_ejected(now)
    }

    /// Whether the endpoint was ejected and has had no success since.
    pub(crate) fn is_unproven(&self) -> bool {
        self.outlier_detector.is_unproven()
    }

    /// End of the current refusal backoff and ejection; `now` without one.
    pub(crate) fn usable_at(&self, now: Time) -> Time {
        self.outlier_detector.ejected_until(now).unwrap_or(now).max(self.backing_off_until).max(now)
    }

    /// Load penalty of recent failures, as a share of the slots.
    pub(crate) fn failure_penalty(&self, now: Time) -> f64 {
        self.outlier_detector.penalty(now)
    }

    /// Ratio of the endpoint's time to first byte to the service's `service_mean` (in microseconds), between 1 and 3; 1
    /// unless the endpoint is much slower.
    pub(crate) fn latency_weight(&self, now: Time, service_mean: f64) -> f64 {
        let own_mean = self.mean_ttfb.value;
        if own_mean <= 0.0 || service_mean <= 0.0 {
            return 1.0;
        }
        let weight = self.mean_ttfb.remaining_share(now, TTFB_HALF_LIFE_MICROS);
        let ratio = 1.0 + (own_mean / service_mean - 1.0) * weight;
        if ratio > 1.5 { ratio.min(3.0) } else { 1.0 }
    }

    /// Whether a new connection is within this proxy's share. A call in flight without a connection is opening one, so
    /// it counts as a connection.
    pub(crate) fn may_open(&self, limits: &EndpointLimits) -> bool {
        self.connections.max(self.in_flight) < limits.max_connections
    }

    pub(crate) fn record_send(&mut self) {
        self.in_flight += 1;
        self.outlier_detector.record_send();
    }

    /// Records that another incarnation responds at the listed address.
    pub(crate) fn mark_misdirected(&mut self) {
        self.misdirected = true;
    }

    /// Records a load report. The reported calls beyond this proxy's own are attributed to other proxies.
    pub(crate) fn record_load(&mut self, now: Time, load: ServerLoad) {
        let calls = load.running.saturating_add(load.waiting).saturating_sub(self.in_flight);
        self.reported_load = DecayingValue { value: f64::from(calls), updated_at: now };
    }

    /// Records the completion of one of this proxy's calls to the endpoint.
    pub(crate) fn record_completion(
        &mut self,
        now: Time,
        call: &CompletedCall,
        limits: &EndpointLimits,
        policy: &RoutingPolicy,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let may_eject = call.may_eject && policy.outlier_ejection;
        match call.outcome {
            Outcome::Success => {
                self.outlier_detector.record_success();
                self.refusals = 0;
                self.update_mean_ttfb(now, call.time_to_first_byte);
            }
            Outcome::Full(wait) => {
                self.outlier_detector.record_success();
                self.record_refusal(now, wait, policy, call.jitter);
                self.assume_full(now, limits);
            }
            Outcome::NoRoom => {
                self.outlier_detector.record_inconclusive(now);
                self.record_refusal(now, None, policy, call.jitter);
            }
            Outcome::ConnectFailed => self.outlier_detector.record_failure(now, Failure::Connect, may_eject),
            Outcome::Reset | Outcome::TimedOut | Outcome::Failure => {
                self.outlier_detector.record_failure(now, Failure::Response, may_eject);
            }
            Outcome::Cancelled | Outcome::Void => self.outlier_detector.record_inconclusive(now),
        }
    }

    fn update_mean_ttfb(&mut self, now: Time, time_to_first_byte: Span) {
        let mean = self.mean_ttfb.value;
        let sample = time_to_first_byte.0 as f64;
        let value = if mean > 0.0 { mean + TTFB_SMOOTHING_FACTOR * (sample - mean) } else { sample };
        self.mean_ttfb = DecayingValue { value, updated_at: now };
    }

    /// Applies a refusal for lack of capacity to the load: attributes all slots that this proxy does not use to other
    /// proxies.
    fn assume_full(&mut self, now: Time, limits: &EndpointLimits) {
        let missing = f64::from(self.slots(limits)) - self.load(now);
        if missing > 0.0 {
            self.reported_load =
                DecayingValue { value: self.load_of_other_proxies(now) + missing, updated_at: now };
        }
    }

    /// Begins a refusal backoff: for `wait` if the endpoint stated it, else exponential. Refusals without `wait` during
    /// a backoff belong to calls sent before it and are not counted.
    fn record_refusal(&mut self, now: Time, wait: Option<Span>, policy: &RoutingPolicy, jitter: f64) {
        if let Some(wait) = wait {
            self.backing_off_until = self.backing_off_until.max(now.after(wait.0 as f64));
        } else if !self.is_backing_off(now) && policy.refusal_backoff {
            let wait =
                (FIRST_REFUSAL_BACKOFF_MICROS << self.refusals.min(MAX_REFUSAL_BACKOFF_DOUBLINGS)) as f64;
            self.backing_off_until = now.after(wait * (1.0 + REFUSAL_BACKOFF_JITTER * jitter));
            self.refusals += 1;
        }
    }

    /// Snapshot for the admin endpoint.
    pub(crate) fn view(&self, now: Time, limits: &EndpointLimits) -> EndpointView {
        let load = self.load(now);
        let unavailable = match (self.presence, self.outlier_detector.ejected_until(now)) {
            (Presence::Draining, _) => Some(UnavailableReason::Draining),
            (Presence::Unlisted, _) => Some(UnavailableReason::Unlisted),
            (Presence::Ready, _) if self.misdirected => Some(UnavailableReason::Misdirected),
            (Presence::Ready, Some(until)) => Some(UnavailableReason::Ejected { until }),
            (Presence::Ready, None) if self.outlier_detector.is_probing() => Some(UnavailableReason::Probing),
            (Presence::Ready, None) if self.is_backing_off(now) => {
                Some(UnavailableReason::BackingOff { until: self.backing_off_until })
            }
            (Presence::Ready, None) if self.in_flight >= self.max_in_flight(limits, load) => {
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
            slots: self.slots(limits),
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

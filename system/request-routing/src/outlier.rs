//! Outlier detection for one endpoint, as a circuit breaker: consecutive failures eject the endpoint for an
//! exponentially growing time, after which a single probe call decides whether it is readmitted. An endpoint whose
//! failures are interspersed with successes is never ejected; its recent failures add a decaying penalty to its load
//! instead.

use crate::decay::DecayingValue;
use message_sender::Time;

/// Consecutive failures that eject an endpoint.
const EJECTION_THRESHOLD: u32 = 4;
/// Number of failures that a failed connection attempt counts for.
const CONNECT_FAILURE_WEIGHT: u32 = 2;
/// Duration of the first ejection, in microseconds; it doubles with each further one.
const FIRST_EJECTION_MICROS: u64 = 200_000;
/// Upper bound of an ejection's duration, in microseconds.
const MAX_EJECTION_MICROS: u64 = 5_000_000;
/// Half-life of a failure's weight in endpoint selection, in microseconds.
const FAILURE_HALF_LIFE_MICROS: f64 = 2_000_000.0;
/// Initial load penalty of one failure, as a share of the endpoint's slots.
const FAILURE_PENALTY: f64 = 0.5;
/// Penalties below this are treated as none.
const MIN_PENALTY: f64 = FAILURE_PENALTY / 8.0;
/// Upper bound of the decayed failure count.
const MAX_COUNTED_FAILURES: f64 = 4.0;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection was not established.
    Connect,
    /// The connection was established, but no usable response was received.
    Response,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Receives calls; `failures` is the number of consecutive failures, capped at the threshold.
    InUse { failures: u32 },
    /// Ejected until `until`, after which one call probes it; `ejections` counts those since its last success.
    Ejected { until: Time, ejections: u32 },
    /// The probe call is in flight.
    Probing { ejections: u32 },
}

/// Circuit breaker and failure penalty of one endpoint.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    state: State,
    /// Decayed number of failures.
    failures: DecayingValue,
}

impl OutlierDetector {
    pub(crate) fn new() -> Self {
        Self { state: State::InUse { failures: 0 }, failures: DecayingValue::ZERO }
    }

    /// Whether the endpoint is ejected, or its probe call is in flight.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        match self.state {
            State::InUse { .. } => false,
            State::Ejected { until, .. } => now < until,
            State::Probing { .. } => true,
        }
    }

    /// End of the current ejection.
    pub(crate) fn ejected_until(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Ejected { until, .. } if now < until => Some(until),
            _ => None,
        }
    }

    pub(crate) fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// Whether the endpoint was ejected and has had no success since.
    pub(crate) fn is_unproven(&self) -> bool {
        !matches!(self.state, State::InUse { .. })
    }

    /// Load penalty of recent failures, as a share of the endpoint's slots.
    pub(crate) fn penalty(&self, now: Time) -> f64 {
        let penalty = FAILURE_PENALTY * self.decayed_failures(now);
        // An ejected endpoint is readmitted by a probe, which the penalty would only delay.
        if self.is_unproven() || penalty < MIN_PENALTY { 0.0 } else { penalty }
    }

    fn decayed_failures(&self, now: Time) -> f64 {
        self.failures.decayed(now, FAILURE_HALF_LIFE_MICROS)
    }

    /// Records that a call is sent to the endpoint: after an ejection, this call is the probe.
    pub(crate) fn record_send(&mut self) {
        if let State::Ejected { ejections, .. } = self.state {
            self.state = State::Probing { ejections };
        }
    }

    /// Records a response, which closes the circuit breaker.
    pub(crate) fn record_success(&mut self) {
        self.state = State::InUse { failures: 0 };
    }

    /// Records a call that neither proves nor disproves the endpoint's health. If it was the probe, another may follow
    /// at once.
    pub(crate) fn record_inconclusive(&mut self, now: Time) {
        if let State::Probing { ejections } = self.state {
            self.state = State::Ejected { until: now, ejections };
        }
    }

    /// Records a failed attempt. `may_eject` states whether the service has enough other endpoints to eject this one.
    pub(crate) fn record_failure(&mut self, now: Time, failure: Failure, may_eject: bool) {
        self.failures = DecayingValue {
            value: (self.decayed_failures(now) + 1.0).min(MAX_COUNTED_FAILURES),
            updated_at: now,
        };
        let weight = match failure {
            Failure::Connect => CONNECT_FAILURE_WEIGHT,
            Failure::Response => 1,
        };
        let eject = |ejections: u32| {
            let span = (FIRST_EJECTION_MICROS << (ejections - 1).min(10)).min(MAX_EJECTION_MICROS);
            State::Ejected { until: now.after(span as f64), ejections }
        };
        self.state = match self.state {
            State::InUse { failures } if failures + weight >= EJECTION_THRESHOLD && may_eject => eject(1),
            State::InUse { failures } => {
                State::InUse { failures: failures.saturating_add(weight).min(EJECTION_THRESHOLD) }
            }
            // The failed call was sent before the ejection.
            State::Ejected { until, ejections } if now < until => State::Ejected { until, ejections },
            State::Ejected { ejections, .. } | State::Probing { ejections } => eject(ejections + 1),
        };
    }
}

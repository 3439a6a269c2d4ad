//! Outlier detection for one endpoint: attempts that fail in a row eject it for a growing time, and single calls let it
//! back in. One that fails only part of its attempts is never ejected: what failed lately adds to its load, whatever
//! succeeded between.

use message_sender::Time;

/// Attempts in a row without a usable answer that eject an endpoint.
const EJECTING_FAILURES: u32 = 4;
/// A connection that was not made counts for so many of them.
const CONNECT_FAILURE_WEIGHT: u32 = 2;
/// First time for which an endpoint is ejected, in microseconds.
const FIRST_EJECTION: u64 = 200_000;
/// The longest.
const LONGEST_EJECTION: u64 = 5_000_000;
/// A failure counts half in the choice after this, in microseconds.
const FAILURE_HALF_LIFE: f64 = 2_000_000.0;
/// What a failure adds to an endpoint's load at first, in shares of its slots.
const PENALTY: f64 = 0.5;
/// A penalty below this is none.
const LEAST_PENALTY: f64 = PENALTY / 8.0;
/// Failures that count at most.
const MOST_FAILURES: f64 = 4.0;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was made.
    Connect,
    /// Anything else.
    Answer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In use, after so many failures in a row.
    InUse { failures: u32 },
    /// Out of use until then, for the n-th time; after that one call tries it.
    Ejected { until: Time, times: u32 },
    /// That call is out.
    Probing { times: u32 },
}

/// Whether an endpoint's attempts fail.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    state: State,
    /// Failures as they counted at the last one, and when that was.
    failures: (f64, Time),
}

impl OutlierDetector {
    pub fn new() -> Self {
        Self { state: State::InUse { failures: 0 }, failures: (0.0, Time(0)) }
    }

    /// Ejected, or its one trial is out.
    pub fn ejected(&self, now: Time) -> bool {
        match self.state {
            State::InUse { .. } => false,
            State::Ejected { until, .. } => now < until,
            State::Probing { .. } => true,
        }
    }

    /// When an ejection that is under way ends.
    pub fn ejected_until(&self, now: Time) -> Option<Time> {
        match self.state {
            State::Ejected { until, .. } if now < until => Some(until),
            _ => None,
        }
    }

    pub fn on_trial(&self) -> bool {
        matches!(self.state, State::Probing { .. })
    }

    /// It has been ejected and has not proved itself since.
    pub fn unproven(&self) -> bool {
        !matches!(self.state, State::InUse { .. })
    }

    /// What failures add to the endpoint's load, in shares of its slots.
    pub fn penalty(&self, now: Time) -> f64 {
        let penalty = PENALTY * self.failures(now);
        // One that was ejected is let back in by a trial, which the penalty would only put off.
        if self.unproven() || penalty < LEAST_PENALTY { 0.0 } else { penalty }
    }

    /// Failures, each by how long ago it was.
    fn failures(&self, now: Time) -> f64 {
        let (failures, index) = self.failures;
        if failures <= 0.0 { 0.0 } else { failures * (-(now.since(index) as f64) / FAILURE_HALF_LIFE).exp2() }
    }

    /// A call goes there.
    pub fn sent(&mut self) {
        if let State::Ejected { times, .. } = self.state {
            self.state = State::Probing { times };
        }
    }

    /// It answers, so it is there.
    pub fn succeeded(&mut self) {
        self.state = State::InUse { failures: 0 };
    }

    /// A trial that told nothing: another may go.
    pub fn inconclusive(&mut self, now: Time) {
        if let State::Probing { times } = self.state {
            self.state = State::Ejected { until: now, times };
        }
    }

    /// An attempt failed. `may_eject` is whether its service can do without it.
    pub fn failed(&mut self, now: Time, failure: Failure, may_eject: bool) {
        self.failures = ((self.failures(now) + 1.0).min(MOST_FAILURES), now);
        let weight = match failure {
            Failure::Connect => CONNECT_FAILURE_WEIGHT,
            Failure::Answer => 1,
        };
        let eject = |times: u32| {
            let span = (FIRST_EJECTION << (times - 1).min(10)).min(LONGEST_EJECTION);
            State::Ejected { until: now.after(span as f64), times }
        };
        self.state = match self.state {
            State::InUse { failures } if failures + weight >= EJECTING_FAILURES && may_eject => eject(1),
            State::InUse { failures } => {
                State::InUse { failures: failures.saturating_add(weight).min(EJECTING_FAILURES) }
            }
            // Of calls sent before.
            State::Ejected { until, times } if now < until => State::Ejected { until, times },
            State::Ejected { times, .. } | State::Probing { times } => eject(times + 1),
        };
    }
}

//! Outlier detection for one endpoint: attempts that fail in a row eject it for a growing time, and single calls let it
//! back in.

use micadrum::Time;

/// Attempts in a row without a usable answer that eject an endpoint.
const EJECTING_FAILURES: u32 = 4;
/// A connection that was not made counts for so many of them.
const CONNECT_FAILURE_WEIGHT: u32 = 2;
/// First time for which an endpoint is ejected, in microseconds.
const FIRST_EJECTION: u64 = 200_000;
/// The longest.
const LONGEST_EJECTION: u64 = 5_000_000;
/// A failure counts in the choice for this long, in microseconds.
const RECENT: u64 = 1_000_000;
/// What each recent failure adds to an endpoint's load, in shares of its slots.
const PENALTY: f64 = 0.5;

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
    OnTrial { times: u32 },
}

/// Whether an endpoint's attempts fail.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    state: State,
    failed_at: Option<Time>,
}

impl OutlierDetector {
    pub fn new() -> Self {
        Self { state: State::InUse { failures: 0 }, failed_at: None }
    }

    /// Ejected, or its one trial is out.
    pub fn ejected(&self, now: Time) -> bool {
        match self.state {
            State::InUse { .. } => false,
            State::Ejected { until, .. } => now < until,
            State::OnTrial { .. } => true,
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
        matches!(self.state, State::OnTrial { .. })
    }

    /// It has been ejected and has not proved itself since.
    pub fn unproven(&self) -> bool {
        !matches!(self.state, State::InUse { .. })
    }

    /// What recent failures add to the endpoint's load, in shares of its slots.
    pub fn penalty(&self, now: Time) -> f64 {
        match (self.state, self.failed_at) {
            (State::InUse { failures }, Some(at)) if now.since(at) < RECENT => PENALTY * f64::from(failures),
            _ => 0.0,
        }
    }

    /// A call goes there.
    pub fn sent(&mut self) {
        if let State::Ejected { times, .. } = self.state {
            self.state = State::OnTrial { times };
        }
    }

    /// It answers, so it is there.
    pub fn succeeded(&mut self) {
        self.state = State::InUse { failures: 0 };
    }

    /// A trial that told nothing: another may go.
    pub fn inconclusive(&mut self, now: Time) {
        if let State::OnTrial { times } = self.state {
            self.state = State::Ejected { until: now, times };
        }
    }

    /// An attempt failed. `may_eject` is whether its service can do without it.
    pub fn failed(&mut self, now: Time, failure: Failure, may_eject: bool) {
        self.failed_at = Some(now);
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
            State::Ejected { times, .. } | State::OnTrial { times } => eject(times + 1),
        };
    }
}

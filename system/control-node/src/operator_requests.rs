//! Orders of operators, with what becomes of them. Who serves operators translates.

use crate::{ControlBackend, ControlNode};
use bytes::Bytes;
use controllers::{ConfigVerdict, RetireVerdict};
use fleet_model::{CommittedVersion, ControlState};
use node_runtime::Runtime;
use operator_config::{Findings, OperatorConfig, digest};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// An operator waits about a second for an answer: within this it gets one, if only that there is no majority.
const ANSWER_WITHIN: Duration = Duration::from_millis(850);

/// What becomes of a configuration that an operator sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutConfigOutcome {
    /// This version is committed, now or before.
    Committed(u64),
    /// The operator goes by another version than the current one, which is this.
    OtherVersion(u64),
    /// Its version is not above the current one.
    NotAbove,
    /// It has faults.
    Invalid(Findings),
    /// The order does not say which version it replaces.
    NoBase,
    /// It is not known what becomes of it: no majority answered in time, or what became of it is no longer remembered.
    Unavailable,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CurrentConfig {
    /// There is none yet.
    Nothing,
    /// The state that has it, confirmed since it was asked for.
    Current(Rc<ControlState>),
    /// It cannot be told: no majority answered in time.
    Unavailable,
}

/// What becomes of the retirement of a storage machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireOutcome {
    /// This, where so many machines have to stay.
    Progress {
        /// How far it is.
        verdict: RetireVerdict,
        /// Machines that have to stay.
        min_storage_nodes: usize,
    },
    /// It is not known: no majority answered in time.
    Unavailable,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Takes a configuration on top of the version `expected`.
    pub async fn put_config(&self, expected: Option<u64>, body: Bytes) -> PutConfigOutcome {
        let config = match OperatorConfig::read(&body) {
            Ok(config) => config,
            Err(findings) => return PutConfigOutcome::Invalid(findings),
        };
        let Some(expected) = expected else { return PutConfigOutcome::NoBase };
        let taken = CommittedVersion { version: config.version, digest: digest(&body) };
        let verdict = Cell::new(None);
        let done = self
            .change(ANSWER_WITHIN, |state| {
                let (wanted, judged) = controllers::put_config(state, expected, &taken, &body);
                verdict.set(Some(judged));
                wanted.into()
            })
            .await;
        match verdict.take().filter(|_| done) {
            Some(ConfigVerdict::Committed) => PutConfigOutcome::Committed(taken.version),
            Some(ConfigVerdict::VersionMismatch(current)) => PutConfigOutcome::OtherVersion(current),
            Some(ConfigVerdict::NotNewer) => PutConfigOutcome::NotAbove,
            Some(ConfigVerdict::Indeterminate) | None => PutConfigOutcome::Unavailable,
        }
    }

    /// The configuration in force.
    pub async fn config(&self) -> CurrentConfig {
        if !self.confirm_now(ANSWER_WITHIN).await {
            return CurrentConfig::Unavailable;
        }
        let state = self.feed.state();
        match state.version() {
            0 => CurrentConfig::Nothing,
            _ => CurrentConfig::Current(state),
        }
    }

    /// Begins to empty a storage machine.
    pub async fn retire(&self, name: &str) -> RetireOutcome {
        let min_storage_nodes = self.min_storage_nodes();
        let verdict = Cell::new(None);
        let done = self
            .change(ANSWER_WITHIN, |state| {
                let (wanted, judged) = controllers::retire(state, name, min_storage_nodes);
                verdict.set(Some(judged));
                wanted.into()
            })
            .await;
        let verdict = verdict.take().filter(|_| done);
        verdict.map_or(RetireOutcome::Unavailable, |verdict| RetireOutcome::Progress {
            verdict,
            min_storage_nodes,
        })
    }

    /// How far that is.
    pub async fn retiring(&self, name: &str) -> RetireOutcome {
        if !self.confirm_now(ANSWER_WITHIN).await {
            return RetireOutcome::Unavailable;
        }
        let verdict = controllers::retire_status(&self.feed.state(), name);
        RetireOutcome::Progress { verdict, min_storage_nodes: self.min_storage_nodes() }
    }
}

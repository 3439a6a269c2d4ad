//! Operator requests and their outcomes; the host translates them from and to HTTP.

use crate::{ControlBackend, ControlNode};
use bytes::Bytes;
use fleet_model::{CommittedVersion, ConfigVerdict, ControlState, Order, OrderVerdict, RetireVerdict};
use node_runtime::Runtime;
use operator_config::{Findings, OperatorConfig, digest};
use std::rc::Rc;
use std::time::Duration;

/// Deadline for the reply to an operator, whose client waits about a second. Without a majority by then, the reply is
/// `Unavailable`.
const OPERATOR_REPLY_TIMEOUT: Duration = Duration::from_millis(850);

/// The outcome of a request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutConfigOutcome {
    /// This version is committed, by this request or an earlier one.
    Committed(u64),
    /// The request would replace another version than the current one, which is given here.
    VersionMismatch(u64),
    /// The configuration's version is not higher than the current one.
    VersionNotNewer,
    /// The configuration was rejected by validation, with these findings.
    Invalid(Findings),
    /// The request does not state the version that it replaces.
    MissingExpectedVersion,
    /// The outcome is unknown: no majority replied in time, or the outcome is no longer stored.
    Unavailable,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CurrentConfig {
    /// No configuration has been committed yet.
    Unset,
    /// The state with the configuration, confirmed by a quorum read after the request arrived.
    Current(Rc<ControlState>),
    /// Unknown: no majority replied in time.
    Unavailable,
}

/// The outcome of a request to retire a storage node, or of a query about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireOutcome {
    /// The retirement's state is known.
    Progress {
        /// How far the retirement has come, or why it is not possible.
        verdict: RetireVerdict,
        /// The number of storage nodes that must remain.
        min_storage_nodes: usize,
    },
    /// Unknown: no majority replied in time.
    Unavailable,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Replaces the configuration if the current version is `expected`, which the request must state.
    pub async fn put_config(&self, expected: Option<u64>, body: Bytes) -> PutConfigOutcome {
        let config = match OperatorConfig::read(&body) {
            Ok(config) => config,
            Err(findings) => return PutConfigOutcome::Invalid(findings),
        };
        let Some(expected) = expected else { return PutConfigOutcome::MissingExpectedVersion };
        let version = config.version;
        let sent = CommittedVersion { version, digest: digest(&body) };
        let order = Order::PutConfig { expected, sent, body };
        match self.submit(order, OPERATOR_REPLY_TIMEOUT).await {
            Some(OrderVerdict::PutConfig(ConfigVerdict::Committed)) => PutConfigOutcome::Committed(version),
            Some(OrderVerdict::PutConfig(ConfigVerdict::VersionMismatch(current))) => {
                PutConfigOutcome::VersionMismatch(current)
            }
            Some(OrderVerdict::PutConfig(ConfigVerdict::NotNewer)) => PutConfigOutcome::VersionNotNewer,
            Some(OrderVerdict::PutConfig(ConfigVerdict::Indeterminate) | OrderVerdict::Retire(_)) | None => {
                PutConfigOutcome::Unavailable
            }
        }
    }

    /// The configuration in force, confirmed by a quorum read.
    pub async fn config(&self) -> CurrentConfig {
        if !self.confirm_now(OPERATOR_REPLY_TIMEOUT).await {
            return CurrentConfig::Unavailable;
        }
        let state = self.feed.state();
        match state.version() {
            0 => CurrentConfig::Unset,
            _ => CurrentConfig::Current(state),
        }
    }

    /// Starts to retire a storage node: its data is moved to the other storage nodes.
    pub async fn retire(&self, name: &str) -> RetireOutcome {
        let min_storage_nodes = self.min_storage_nodes();
        let order = Order::Retire { machine: name.to_owned() };
        match self.submit(order, OPERATOR_REPLY_TIMEOUT).await {
            Some(OrderVerdict::Retire(verdict)) => RetireOutcome::Progress { verdict, min_storage_nodes },
            Some(OrderVerdict::PutConfig(_)) | None => RetireOutcome::Unavailable,
        }
    }

    /// The progress of a storage node's retirement, confirmed by a quorum read.
    pub async fn retire_progress(&self, name: &str) -> RetireOutcome {
        if !self.confirm_now(OPERATOR_REPLY_TIMEOUT).await {
            return RetireOutcome::Unavailable;
        }
        let verdict = controllers::retire_status(&self.feed.state(), name);
        RetireOutcome::Progress { verdict, min_storage_nodes: self.min_storage_nodes() }
    }
}

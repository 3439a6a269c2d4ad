//! Orders of operators to change the control state, and the verdicts on them.

use crate::CommittedVersion;
use bytes::Bytes;

/// An order of an operator. It is judged on a state that a proposer has read from a majority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Replace the configuration.
    PutConfig {
        /// The version that the operator expects to be current.
        expected: u64,
        /// Version and digest of the configuration.
        sent: CommittedVersion,
        /// Its bytes, which are a valid configuration.
        body: Bytes,
    },
    /// Retire a storage machine.
    Retire {
        /// Name of the machine.
        machine: String,
    },
}

/// The verdict on an order; valid once the state that it was judged on, with the order's change, is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// Of [`Order::PutConfig`].
    PutConfig(ConfigVerdict),
    /// Of [`Order::Retire`].
    Retire(RetireVerdict),
}

/// The verdict on a valid configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigVerdict {
    /// It is committed, now or before.
    Committed,
    /// The expected version is not the current one, which is this.
    VersionMismatch(u64),
    /// Its version is not above the current one.
    NotNewer,
    /// It may have been committed so long ago that its version was pruned, or its rejection cannot be stored: neither outcome
    /// may be reported.
    Indeterminate,
}

/// Progress of the retirement of a machine, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireVerdict {
    /// The machine is being retired: its records are moved to other nodes.
    Active,
    /// The machine has left the roster.
    Completed,
    /// The machine serves, and its retirement was not requested.
    Serving,
    /// The roster has no machine of this name.
    Unknown,
    /// Too few machines would remain.
    TooFew {
        /// Number of machines that would remain.
        remaining: usize,
    },
}

//! Operators' configurations: which one is taken, and what every other is answered, once and again.
//!
//! An order is a configuration's number and bytes with the version that it goes by. It is judged on a state that a run has read
//! from a majority, and the verdict counts once that run has ended with its value chosen. Then:
//!
//! - *Taken* stays taken: it is remembered, and where it no longer is, the verdict is [`ConfigVerdict::Indeterminate`].
//! - *Refused* stays refused. Versions in force only rise. So an order that goes by a lower one than that in force, or whose
//!   number is not above it, can never be taken later. One that goes by a version *above* that in force could be, by a second
//!   copy of the call that another machine still works on when that version is taken. So such a refusal is kept in the
//!   state, and told only once that is chosen.

use bytes::Bytes;
use fleet_model::{CommittedVersion, ControlState, RejectedConfig};
use std::cmp::Ordering;

/// Versions taken that are remembered: an operator repeats a call for some seconds.
const MAX_COMMITTED_VERSIONS: usize = 512;
/// Refusals that are kept until the version that their orders go by is passed.
const MAX_REJECTED_CONFIGS: usize = 32;

/// What becomes of a configuration without fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfigVerdict {
    /// It is taken, now or before.
    Committed,
    /// The operator goes by another version than the current one, which is this.
    VersionMismatch(u64),
    /// Its version is not above the current one.
    NotNewer,
    /// It may have been taken so long ago that this is forgotten, or its refusal cannot be kept: neither is to be told.
    Indeterminate,
}

/// Judges a configuration that an operator sends on top of the version `expected`; with the state that has it, or keeps its
/// refusal, if that is another. The verdict is told only when that state is chosen, or the one that was read.
pub fn put_config(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> (Option<ControlState>, ConfigVerdict) {
    let current = state.version();
    let refusal = RejectedConfig { expected, sent: sent.clone() };
    if state.committed.contains(sent) {
        return (None, ConfigVerdict::Committed);
    }
    if may_be_forgotten(state, &refusal) {
        return (None, ConfigVerdict::Indeterminate);
    }
    if state.rejected.contains(&refusal) {
        return (None, ConfigVerdict::VersionMismatch(current));
    }
    match current.cmp(&expected) {
        Ordering::Greater => (None, ConfigVerdict::VersionMismatch(current)),
        Ordering::Less => refuse_for_good(state, refusal),
        Ordering::Equal if sent.version <= current => (None, ConfigVerdict::NotNewer),
        Ordering::Equal => (Some(take(state, sent, body)), ConfigVerdict::Committed),
    }
}

/// Whether it can be one of those that were taken and are remembered no more. Whatever was taken is above what it went by.
fn may_be_forgotten(state: &ControlState, order: &RejectedConfig) -> bool {
    order.sent.version <= state.highest_pruned && order.expected < order.sent.version
}

/// Refuses an order that goes by a version which may yet come.
fn refuse_for_good(state: &ControlState, refusal: RejectedConfig) -> (Option<ControlState>, ConfigVerdict) {
    let verdict = ConfigVerdict::VersionMismatch(state.version());
    if refusal.sent.version <= refusal.expected {
        // It is refused on top of that one too.
        return (None, verdict);
    }
    if state.rejected.len() == MAX_REJECTED_CONFIGS {
        return (None, ConfigVerdict::Indeterminate);
    }
    let mut next = state.clone();
    next.rejected.push(refusal);
    (Some(next), verdict)
}

fn take(state: &ControlState, sent: &CommittedVersion, body: &Bytes) -> ControlState {
    let mut next = state.clone();
    next.config = body.clone();
    next.committed.push(sent.clone());
    let extra = next.committed.len().saturating_sub(MAX_COMMITTED_VERSIONS);
    if let Some(last) = next.committed.drain(..extra).next_back() {
        next.highest_pruned = last.version;
    }
    // What goes by an earlier version is refused for that.
    next.rejected.retain(|refused| refused.expected >= sent.version);
    next
}

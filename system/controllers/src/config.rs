//! Evaluation of operators' configurations: which one is committed, and which verdict the others get, also when repeated.
//!
//! A request consists of a configuration's version and bytes and the version that the operator expects to be current. It is
//! evaluated against a state that a proposal has read from a majority. The verdict is valid once that proposal's value is
//! chosen.
//!
//! - A *committed* configuration stays committed. Its version is recorded in the state; once that record may have been pruned,
//!   the verdict is [`ConfigVerdict::Indeterminate`].
//! - A *rejected* configuration stays rejected. Current versions only increase, so a request that expects a lower version than
//!   the current one, or whose own version is not above it, can never be committed later. A request that expects a *higher*
//!   version could be committed later: another node may still process a second copy of the call when that version is
//!   committed. Such a rejection is therefore stored in the state, and reported only once that state is chosen.

use bytes::Bytes;
use fleet_model::{CommittedVersion, ConfigVerdict, ControlState, RejectedConfig};
use std::cmp::Ordering;

/// Number of committed versions that the state records: operators repeat a call for some seconds.
const MAX_COMMITTED_VERSIONS: usize = 512;
/// Number of rejections that are stored until the version that their requests expect has been superseded.
const MAX_REJECTED_CONFIGS: usize = 32;

/// Evaluates a configuration that an operator sent while expecting the version `expected` to be current.
///
/// Returns the state that commits the configuration or stores its rejection, or `None` if the state need not change, and the
/// verdict. The verdict may be reported only once that state is chosen or, without a change, the state that was read.
pub fn put_config(
    state: &ControlState,
    expected: u64,
    sent: &CommittedVersion,
    body: &Bytes,
) -> (Option<ControlState>, ConfigVerdict) {
    let current = state.version();
    let request = RejectedConfig { expected, sent: sent.clone() };
    if state.committed.contains(sent) {
        return (None, ConfigVerdict::Committed);
    }
    if may_be_pruned(state, &request) {
        return (None, ConfigVerdict::Indeterminate);
    }
    if state.rejected.contains(&request) {
        return (None, ConfigVerdict::VersionMismatch(current));
    }
    match current.cmp(&expected) {
        Ordering::Greater => (None, ConfigVerdict::VersionMismatch(current)),
        Ordering::Less => reject_permanently(state, request),
        Ordering::Equal if sent.version <= current => (None, ConfigVerdict::NotNewer),
        Ordering::Equal => (Some(commit(state, sent, body)), ConfigVerdict::Committed),
    }
}

/// Whether the configuration may have been committed and its record pruned. A committed version is above its expected one.
fn may_be_pruned(state: &ControlState, request: &RejectedConfig) -> bool {
    request.sent.version <= state.highest_pruned && request.expected < request.sent.version
}

/// Rejects a request that expects a version which may be committed later.
fn reject_permanently(
    state: &ControlState,
    request: RejectedConfig,
) -> (Option<ControlState>, ConfigVerdict) {
    let verdict = ConfigVerdict::VersionMismatch(state.version());
    if request.sent.version <= request.expected {
        // Once the expected version is current, the request is still rejected, because its own version is not newer.
        return (None, verdict);
    }
    if state.rejected.len() == MAX_REJECTED_CONFIGS {
        return (None, ConfigVerdict::Indeterminate);
    }
    let mut next = state.clone();
    next.rejected.push(request);
    (Some(next), verdict)
}

fn commit(state: &ControlState, sent: &CommittedVersion, body: &Bytes) -> ControlState {
    let mut next = state.clone();
    next.config = body.clone();
    next.committed.push(sent.clone());
    let excess = next.committed.len().saturating_sub(MAX_COMMITTED_VERSIONS);
    if let Some(last) = next.committed.drain(..excess).next_back() {
        next.highest_pruned = last.version;
    }
    // Requests that expect an earlier version are rejected by the version check, without a stored rejection.
    next.rejected.retain(|rejected| rejected.expected >= sent.version);
    next
}

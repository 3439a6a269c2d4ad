use bytes::Bytes;
use fleet_model::{ControlState, TakenVersion};

/// Versions taken that are remembered: an operator repeats a call for some seconds.
const MOST_TAKEN: usize = 512;

/// What becomes of a configuration without fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigVerdict {
    /// It is taken, now or before.
    Taken,
    /// The operator goes by another version than the current one, which is this.
    OtherVersion(u64),
    /// Its version is not above the current one.
    NotAbove,
}

/// Judges a configuration that an operator sends on top of the version `expected`; with the state that has it, if that
/// is another.
pub fn put_config(
    state: &ControlState,
    expected: u64,
    sent: &TakenVersion,
    body: &Bytes,
) -> (Option<ControlState>, ConfigVerdict) {
    let current = state.version();
    if state.taken.contains(sent) {
        return (None, ConfigVerdict::Taken);
    }
    if current != expected {
        return (None, ConfigVerdict::OtherVersion(current));
    }
    if sent.version <= current {
        return (None, ConfigVerdict::NotAbove);
    }
    let mut next = state.clone();
    next.config = body.clone();
    next.taken.push(sent.clone());
    let extra = next.taken.len().saturating_sub(MOST_TAKEN);
    next.taken.drain(..extra);
    (Some(next), ConfigVerdict::Taken)
}

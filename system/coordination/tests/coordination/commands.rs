//! Helpers that build commands, batches and expected outcomes.

use coordination::CoordinationState;
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome};

/// The `history_ms` of the batches that [`batch`] builds.
pub(crate) const HISTORY_MS: u64 = 20_000;

pub(crate) fn acquire(lock: &str, holder: &str, hold_ms: u64) -> CoordinationCommand {
    acquire_after_expiry(lock, holder, hold_ms, None)
}

/// An acquisition that the leader has proposed with the grant that it found expired.
pub(crate) fn acquire_after_expiry(
    lock: &str,
    holder: &str,
    hold_ms: u64,
    expired_grant: Option<u64>,
) -> CoordinationCommand {
    let (lock, holder) = (lock.to_owned(), holder.to_owned());
    CoordinationCommand::AcquireLock { lock, holder, hold_ms, expired_grant }
}

pub(crate) fn renew(lock: &str, holder: &str, fence: u64, hold_ms: u64) -> CoordinationCommand {
    CoordinationCommand::RenewLock { lock: lock.to_owned(), holder: holder.to_owned(), fence, hold_ms }
}

pub(crate) fn release(lock: &str, holder: &str, fence: u64) -> CoordinationCommand {
    CoordinationCommand::ReleaseLock { lock: lock.to_owned(), holder: holder.to_owned(), fence }
}

pub(crate) fn next_number(name: &str) -> CoordinationCommand {
    CoordinationCommand::NextNumber { name: name.to_owned() }
}

pub(crate) fn put(key: &str, value: &str, expected: Option<u64>) -> CoordinationCommand {
    CoordinationCommand::PutKey { key: key.to_owned(), value: value.to_owned(), expected }
}

pub(crate) fn batch(elapsed_ms: u64, commands: Vec<CoordinationCommand>) -> CoordinationBatch {
    CoordinationBatch { elapsed_ms, history_ms: HISTORY_MS, commands }
}

/// Applies one command without advancing the logical clock.
pub(crate) fn apply(state: &mut CoordinationState, command: CoordinationCommand) -> CoordinationOutcome {
    let mut outcomes = state.apply(&batch(0, vec![command]));
    assert_eq!(outcomes.len(), 1);
    outcomes.remove(0)
}

/// Advances the logical clock without a command.
pub(crate) fn advance_clock(state: &mut CoordinationState, elapsed_ms: u64) {
    assert_eq!(state.apply(&batch(elapsed_ms, Vec::new())), Vec::new());
}

pub(crate) fn granted(fence: u64) -> CoordinationOutcome {
    CoordinationOutcome::LockGranted { fence }
}

pub(crate) fn stored(revision: u64) -> CoordinationOutcome {
    CoordinationOutcome::KeyStored { revision }
}

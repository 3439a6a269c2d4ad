//! Short forms of commands and batches.

use coordination::CoordinationState;
use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome};

/// The history of the batches here, in milliseconds.
pub(crate) const HISTORY_MS: u64 = 20_000;

pub(crate) fn acquire(lock: &str, holder: &str, hold_ms: u64) -> CoordinationCommand {
    take(lock, holder, hold_ms, None)
}

pub(crate) fn take(
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

pub(crate) fn next(name: &str) -> CoordinationCommand {
    CoordinationCommand::NextNumber { name: name.to_owned() }
}

pub(crate) fn put(key: &str, value: &str, expected: Option<u64>) -> CoordinationCommand {
    CoordinationCommand::PutKey { key: key.to_owned(), value: value.to_owned(), expected }
}

pub(crate) fn batch(elapsed_ms: u64, commands: Vec<CoordinationCommand>) -> CoordinationBatch {
    CoordinationBatch { elapsed_ms, history_ms: HISTORY_MS, commands }
}

/// Applies one command at the same logical time as the last.
pub(crate) fn apply(state: &mut CoordinationState, command: CoordinationCommand) -> CoordinationOutcome {
    let mut outcomes = state.apply(&batch(0, vec![command]));
    assert_eq!(outcomes.len(), 1);
    outcomes.remove(0)
}

/// Lets logical time pass.
pub(crate) fn elapse(state: &mut CoordinationState, elapsed_ms: u64) {
    assert_eq!(state.apply(&batch(elapsed_ms, Vec::new())), Vec::new());
}

pub(crate) fn granted(fence: u64) -> CoordinationOutcome {
    CoordinationOutcome::LockGranted { fence }
}

pub(crate) fn stored(revision: u64) -> CoordinationOutcome {
    CoordinationOutcome::KeyStored { revision }
}

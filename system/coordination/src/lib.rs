//! The state machine of the coordination service: locks with fencing tokens, counters, and keys in groups whose changes can be
//! watched.
//!
//! The replicated log orders the commands; each replica applies them to its [`CoordinationState`], and all reach the same state.
//! Nothing here does I/O, reads a clock or draws random numbers: the only time in the state is the one that the leader proposes
//! with each batch. [`HoldTracker`] is not part of the state: with it a process measures holds on its own steady clock.

mod counters;
mod hold_tracker;
mod key_event;
mod keys;
mod limits;
mod locks;
mod snapshot;
mod state;

pub use hold_tracker::{HoldTracker, MIN_CLOCK_RATE_ALLOWANCE_MS, RELATIVE_CLOCK_RATE_ALLOWANCE};
pub use key_event::KeyEvent;
pub use keys::{EventsPruned, GroupSummary, HISTORY_MARGIN_MS, group_of};
pub use limits::{MAX_COUNTERS, MAX_HOLD_MS, MAX_KEYS, MAX_LOCKS, MAX_TEXT_BYTES};
pub use locks::Lock;
pub use snapshot::{SNAPSHOT_FORMAT, SnapshotError};
pub use state::CoordinationState;

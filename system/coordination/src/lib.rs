//! The state machine of the coordination service: locks with fencing tokens, counters, and keys in groups whose changes can be
//! watched.
//!
//! The replicated log orders the commands. Each replica applies them to its [`CoordinationState`], so that all replicas reach the
//! same state. The crate does no I/O, reads no clock and generates no random numbers: the only time in the state is the logical
//! time that the leader proposes with each batch.
//!
//! A lock is granted for a limited time, its *hold* (a lease). [`HoldTracker`] is not part of the state: each process uses one to
//! measure holds on its own monotonic clock.

mod counters;
mod hold_tracker;
mod key_event;
mod keys;
mod limits;
mod locks;
mod snapshot;
mod state;

pub use hold_tracker::{CLOCK_RATE_ALLOWANCE_DIVISOR, HoldTracker, MIN_CLOCK_RATE_ALLOWANCE_MS};
pub use key_event::KeyEvent;
pub use keys::{EventsPruned, GroupSummary, HISTORY_MARGIN_MS, group_of};
pub use limits::{MAX_COUNTERS, MAX_HOLD_MS, MAX_KEYS, MAX_LOCKS, MAX_TEXT_BYTES};
pub use locks::Lock;
pub use snapshot::{SNAPSHOT_FORMAT, SnapshotError};
pub use state::CoordinationState;

//! The state machine of the coordination service: locks with fencing tokens, counters, and keys in groups whose changes can be
//! watched.
//!
//! The replicated log orders the commands; each replica applies them here, and all reach the same state. Nothing here does I/O,
//! reads a clock or draws random numbers: the only time is the one that the leader proposes with each batch.

mod key_event;

pub use key_event::KeyEvent;

//! Tests of the coordination state machine.

mod commands;
mod counters;
mod hold_tracker;
mod keys;
mod lock_interleavings;
mod locks;
mod random_batches;
mod snapshot;

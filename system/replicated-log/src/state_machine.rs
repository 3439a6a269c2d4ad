//! The interface of the replicated state machine.

use fleet_model::{CoordinationBatch, CoordinationOutcome};

/// A deterministic state machine: replicas that apply the same batches reach the same state.
pub trait StateMachine: Default {
    /// Applies a chosen batch. Returns one outcome for each command, in order.
    fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome>;

    /// Encodes the entire state, for [`StateMachine::restore`] at another replica or after a restart.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a decoded snapshot. Returns `false` and leaves the state unchanged if the snapshot cannot be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

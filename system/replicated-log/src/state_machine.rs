//! The state machine that a replica applies chosen batches to.

use fleet_model::{CoordinationBatch, CoordinationOutcome};

/// A deterministic state machine: replicas that apply the same batches reach the same state.
pub trait StateMachine: Default {
    /// Applies a chosen batch; one outcome for each command, in their order.
    fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome>;

    /// The encoded state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one; returns `false` and keeps its state if that cannot be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

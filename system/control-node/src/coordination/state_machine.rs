//! The coordination state as the log's state machine.

use coordination::CoordinationState;
use fleet_model::{CoordinationBatch, CoordinationOutcome};
use replicated_log::StateMachine;

/// Adapts the coordination state to the log.
#[derive(Debug, Default)]
pub(crate) struct CoordinationMachine {
    /// The state after all applied slots.
    pub(crate) state: CoordinationState,
}

impl StateMachine for CoordinationMachine {
    fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        self.state.apply(batch)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let restored = CoordinationState::restore(snapshot);
        if let Ok(state) = restored {
            self.state = state;
            return true;
        }
        false
    }
}

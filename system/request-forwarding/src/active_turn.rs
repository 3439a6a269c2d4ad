//! State of a turn in progress: its token reservation, and the record to store once it is complete.

use crate::turn_storage::{CompletedTurn, TurnStorage};
use std::rc::Rc;

/// Storage state of a stream; for streams that are not turns, both parts are empty.
pub(crate) struct ActiveTurn<T: TurnStorage> {
    pub(crate) reservation: Option<Reservation<T>>,
    pub(crate) record: TurnRecord,
    pub(crate) tokens_per_event: u32,
}

impl<T: TurnStorage> ActiveTurn<T> {
    /// Marks the reservation as settled elsewhere, so that dropping it does not settle it again.
    pub(crate) fn mark_settled(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settled = true;
        }
    }

    /// Drops the record, for a response that is not a turn.
    pub(crate) fn without_storage(mut self) -> Self {
        self.record = TurnRecord::NotRetained;
        self
    }
}

/// What to store when a stream ends.
pub(crate) enum TurnRecord {
    /// Nothing: its route retains no turns, or its response is not a turn.
    NotRetained,
    /// A turn whose output is everything that the endpoint sends.
    Complete(CompletedTurn),
    /// A turn that cannot be stored: its client resumes after an event, and the output up to that event is unknown here.
    TailOnly,
}

/// Tokens reserved for an attempt. When dropped, it is settled with the number of tokens sent to the client.
pub(crate) struct Reservation<T: TurnStorage> {
    pub(crate) turns: Rc<T>,
    pub(crate) program: String,
    pub(crate) attempt_id: String,
    pub(crate) delivered_tokens: u32,
    pub(crate) settled: bool,
}

impl<T: TurnStorage> Drop for Reservation<T> {
    fn drop(&mut self) {
        if !self.settled {
            self.turns.settle(&self.program, &self.attempt_id, self.delivered_tokens);
        }
    }
}

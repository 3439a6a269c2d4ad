//! What hangs on a turn while it is under way: its reservation, and what is to be kept of it.

use crate::turn_storage::{CompletedTurn, TurnStorage};
use std::rc::Rc;

/// What hangs on a stream.
pub(crate) struct ActiveTurn<T: TurnStorage> {
    pub(crate) reservation: Option<Reservation<T>>,
    pub(crate) record: TurnRecord,
    pub(crate) tokens_per_event: u32,
}

impl<T: TurnStorage> ActiveTurn<T> {
    pub(crate) fn forget_reservation(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settled = true;
        }
    }

    /// For an answer that is no turn.
    pub(crate) fn without_storage(mut self) -> Self {
        self.record = TurnRecord::NotRetained;
        self
    }
}

/// What is to be stored of a stream.
pub(crate) enum TurnRecord {
    /// Nothing: its route retains no turns, or its answer is no turn.
    NotRetained,
    /// A turn whose output is all that the endpoint sends.
    Whole(CompletedTurn),
    /// A turn that cannot be stored: its client goes on after an event, and the output up to there is not known here.
    TailOnly,
}

/// Tokens reserved for an attempt; settled with what was handed out when it is dropped.
pub(crate) struct Reservation<T: TurnStorage> {
    pub(crate) turns: Rc<T>,
    pub(crate) program: String,
    pub(crate) attempt: String,
    pub(crate) handed: u32,
    pub(crate) settled: bool,
}

impl<T: TurnStorage> Drop for Reservation<T> {
    fn drop(&mut self) {
        if !self.settled {
            self.turns.settle(&self.program, &self.attempt, self.handed);
        }
    }
}

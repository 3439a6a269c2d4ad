//! What hangs on a turn while it is under way: its reservation, and what is to be kept of it.

use crate::turns::{NewTurn, TurnKeeping};
use std::rc::Rc;

/// What hangs on a stream.
pub(crate) struct Turn<T: TurnKeeping> {
    pub(crate) reservation: Option<Reservation<T>>,
    pub(crate) keeping: Option<NewTurn>,
    pub(crate) tokens_per_event: u32,
}

impl<T: TurnKeeping> Turn<T> {
    pub(crate) fn forget_reservation(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settled = true;
        }
    }

    /// For an answer that is no turn.
    pub(crate) fn unkept(mut self) -> Self {
        self.keeping = None;
        self
    }
}

/// Tokens reserved for an attempt; settled with what was handed out when it is dropped.
pub(crate) struct Reservation<T: TurnKeeping> {
    pub(crate) turns: Rc<T>,
    pub(crate) program: String,
    pub(crate) attempt: String,
    pub(crate) handed: u32,
    pub(crate) settled: bool,
}

impl<T: TurnKeeping> Drop for Reservation<T> {
    fn drop(&mut self) {
        if !self.settled {
            self.turns.settle(&self.program, &self.attempt, self.handed);
        }
    }
}

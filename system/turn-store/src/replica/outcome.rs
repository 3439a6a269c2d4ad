//! The outcome of a call: the answer, the writes, and whether the answer waits for them.

use crate::disk::Write;
use fleet_model::Answer;

/// When the answer of an [`Outcome`] may be sent, relative to its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// At once: there are no writes.
    NoWrites,
    /// At once: the writes may follow later.
    Deferred,
    /// When the writes, and all writes of earlier outcomes, are synced; if that fails, the host answers
    /// [`Answer::NotReady`] instead.
    Synced,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The answer to the caller.
    pub answer: Answer,
    /// The writes, to be applied in this order.
    pub writes: Vec<Write>,
    /// When the answer may be sent.
    pub durability: Durability,
}

impl Outcome {
    /// An answer without writes.
    pub(super) fn without_writes(answer: Answer) -> Self {
        Self { answer, writes: Vec::new(), durability: Durability::NoWrites }
    }

    /// An answer that does not wait for its writes.
    pub(super) fn deferred(answer: Answer, writes: Vec<Write>) -> Self {
        let durability = if writes.is_empty() { Durability::NoWrites } else { Durability::Deferred };
        Self { answer, writes, durability }
    }

    /// An answer that waits for its writes.
    pub(super) fn synced(answer: Answer, writes: Vec<Write>) -> Self {
        Self { answer, writes, durability: Durability::Synced }
    }
}

//! What a call comes to: the answer, the writes, and whether the answer waits for them.

use crate::disk::Write;
use fleet_model::Answer;

/// How the answer of an [`Outcome`] hangs on its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// There are no writes to wait for.
    Free,
    /// The answer may go at once; the writes follow.
    Lazy,
    /// The answer goes when the writes, and all writes of earlier outcomes, are synced; if that fails, `Unready` goes.
    Synced,
}

/// What a call comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// What the caller is told.
    pub answer: Answer,
    /// What is to be written.
    pub writes: Vec<Write>,
    /// Whether the answer waits for that.
    pub durability: Durability,
}

impl Outcome {
    pub(super) fn free(answer: Answer) -> Self {
        Self { answer, writes: Vec::new(), durability: Durability::Free }
    }

    pub(super) fn lazy(answer: Answer, writes: Vec<Write>) -> Self {
        let durability = if writes.is_empty() { Durability::Free } else { Durability::Lazy };
        Self { answer, writes, durability }
    }

    pub(super) fn synced(answer: Answer, writes: Vec<Write>) -> Self {
        Self { answer, writes, durability: Durability::Synced }
    }
}

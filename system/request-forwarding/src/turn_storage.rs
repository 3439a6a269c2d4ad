//! What the forwarder asks of those who keep turns and budgets.

use bytes::Bytes;
use std::sync::Arc;

/// What became of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Granted,
    /// The budget does not hold them.
    BudgetExhausted,
    /// Nobody can tell now.
    Unavailable,
}

/// A chain of turns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Inputs and outputs of all its turns, oldest first.
    pub text: Bytes,
    /// Instance id of the endpoint that served the last turn, if it is known.
    pub served_by: Option<Arc<str>>,
}

/// What came of asking for a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// The chain.
    Found(Chain),
    /// It is certain that there is no such turn.
    NotFound,
    /// Nobody can tell now.
    Unavailable,
}

/// A turn whose answer has come whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedTurn {
    /// Its `AttemptResult-Id`.
    pub attempt: String,
    /// The turn it continues from.
    pub previous: Option<String>,
    /// Its program, if it named one.
    pub program: String,
    /// Its new input.
    pub input: Bytes,
    /// The data of its events, each with a line feed after it.
    pub output: Bytes,
    /// How long it is to be held.
    pub retention_ms: u64,
    /// The tokens that it handed out.
    pub tokens: u32,
    /// Instance id of the endpoint that served it, if it is known.
    pub served_by: Option<Arc<str>>,
}

/// Storage of turns and budgets.
///
/// `settle` follows every `reserve` that was begun, unless it said `BudgetExhausted` or `keep` said true for the same attempt:
/// also one that was given up half-way.
#[expect(async_fn_in_trait, reason = "all of it runs on one thread")]
pub trait TurnStorage: 'static {
    /// Reserves the `most` tokens that an attempt may hand out, out of the program's `budget`.
    async fn reserve(&self, program: &str, attempt: &str, most: u32, budget: u32) -> ReserveOutcome;
    /// Tells what an attempt has handed out at last; in the background.
    fn settle(&self, program: &str, attempt: &str, tokens: u32);
    /// The chain that ends with `previous`.
    async fn chain(&self, previous: &str) -> ChainLookup;
    /// Keeps a turn, and settles its tokens; true once it is synced on enough machines.
    async fn store_turn(&self, turn: CompletedTurn) -> bool;
}

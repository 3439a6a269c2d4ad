//! What the forwarder asks of those who keep turns and budgets.

use bytes::Bytes;

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

/// What came of asking for a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// Inputs and outputs of all turns of the chain, oldest first.
    Text(Bytes),
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
    /// The text of the chain that ends with `previous`.
    async fn chain(&self, previous: &str) -> ChainLookup;
    /// Keeps a turn, and settles its tokens; true once it is synced on enough machines.
    async fn store_turn(&self, turn: CompletedTurn) -> bool;
}

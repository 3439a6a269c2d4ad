//! Interface to the storage of turns and token budgets, which the host of the forwarder implements.

use bytes::Bytes;
use std::sync::Arc;

/// Result of [`TurnStorage::reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Granted,
    /// The program's budget has fewer tokens left than requested.
    BudgetExhausted,
    /// The storage cannot decide at present, for example for lack of a quorum; the client may retry.
    Unavailable,
}

/// A conversation up to one of its turns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// Inputs and outputs of all its turns, oldest first; they precede the input of the next turn.
    pub text: Bytes,
    /// Instance id of the endpoint that served the last turn, if it is known.
    pub served_by: Option<Arc<str>>,
}

/// Result of [`TurnStorage::chain`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainLookup {
    /// The chain that ends with the requested turn.
    Found(Chain),
    /// The turn certainly does not exist.
    NotFound,
    /// Whether the turn exists is unknown at present; the client may retry.
    Unavailable,
}

/// A turn whose response was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedTurn {
    /// `Attempt-Id` of the request; later turns name it in `Previous`.
    pub attempt: String,
    /// `Attempt-Id` of the turn that it continues; `None` for the first turn of a conversation.
    pub previous: Option<String>,
    /// Value of the request's `Program` header; empty without one.
    pub program: String,
    /// The request body, without the text of the chain.
    pub input: Bytes,
    /// The data of its events, each with a line feed after it.
    pub output: Bytes,
    /// How long the turn must stay available, in milliseconds; set by the route.
    pub retention_ms: u64,
    /// Number of tokens sent to the client.
    pub tokens: u32,
    /// Instance id of the endpoint that served it, if it is known.
    pub served_by: Option<Arc<str>>,
}

/// Storage of turns and token budgets.
///
/// Every call of `reserve` is followed by `settle`, even if its future was dropped before it completed. The
/// exceptions are a `reserve` that returned `BudgetExhausted`, and an attempt for which `store_turn` returned true.
#[expect(async_fn_in_trait, reason = "all of it runs on one thread")]
pub trait TurnStorage: 'static {
    /// Reserves `max_tokens` for an attempt out of the program's `budget`, also in tokens.
    async fn reserve(&self, program: &str, attempt: &str, max_tokens: u32, budget: u32) -> ReserveOutcome;
    /// Records how many tokens an attempt sent to the client in the end, and releases the rest of its reservation.
    /// Returns at once; the work continues in the background.
    fn settle(&self, program: &str, attempt: &str, tokens: u32);
    /// Looks up the chain that ends with the turn `previous`.
    async fn chain(&self, previous: &str) -> ChainLookup;
    /// Stores a turn and settles its tokens. Returns true once a sufficient number of replicas have synced it, and
    /// false if it could not be stored.
    async fn store_turn(&self, turn: CompletedTurn) -> bool;
}

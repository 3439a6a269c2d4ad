//! The texts of turns, which a replica reads from its host's storage.

use fleet_model::Turn;

/// A turn as it is stored at the moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// The turn was read.
    Present(Turn),
    /// Its write has not been applied yet.
    Pending,
    /// Its record is permanently unreadable.
    Lost,
}

/// Storage of turns.
pub trait Payloads {
    /// Reads the turn of an `Attempt-Id` that is in the replica's index.
    fn get(&self, attempt: &str) -> Payload;
}

//! The texts of turns, as a replica reads them from where they are stored.

use fleet_model::Turn;

/// A turn's text, as it can be had now.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Here it is.
    Present(Turn),
    /// It is not written yet.
    Pending,
    /// It cannot be read, and never will.
    Lost,
}

/// Where the text of turns is had from.
pub trait Payloads {
    /// The turn of this `Attempt-Id`, which the store has kept.
    fn get(&self, attempt: &str) -> Payload;
}

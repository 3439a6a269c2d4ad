//! Requests of applications and the replies to them; the host translates them to and from HTTP.

use coordination::KeyEvent;
use fleet_model::{CoordinationCommand, CoordinationOutcome, KeyRevision};
use std::time::Duration;

/// A request of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationRequest {
    /// Change the state. `AcquireLock` comes without an expired grant.
    Command(CoordinationCommand),
    /// Read a key; linearizable.
    ReadKey {
        /// The key.
        key: String,
    },
    /// Wait for events of a group.
    Watch {
        /// The group, with its dot.
        group: String,
        /// The revision after which events are wanted; 0 asks for the present revision only.
        after: u64,
        /// For how long to wait for an event.
        wait: Duration,
    },
}

/// The reply to an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationReply {
    /// The outcome of a command.
    Outcome(CoordinationOutcome),
    /// The key's value; `None` if it was never stored.
    Key(Option<KeyRevision>),
    /// All events of a group above the requested revision, up to `revision`; none if the wait is over.
    Events {
        /// The events, by rising revision.
        events: Vec<KeyEvent>,
        /// The revision up to which they are complete.
        revision: u64,
    },
    /// The events after the requested revision are no longer retained.
    EventsPruned,
    /// Too many requests are waiting; this one was not carried out and will not be.
    Overloaded,
    /// The request was not carried out and will not be: no quorum is known.
    Unavailable,
    /// The request may have been carried out or not: no answer may be given.
    Indeterminate,
}

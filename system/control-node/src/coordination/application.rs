//! Application requests and their replies; the host translates them from and to HTTP.

use coordination::KeyEvent;
use fleet_model::{CoordinationCommand, CoordinationOutcome, KeyRevision};
use std::time::Duration;

/// A request from an application to the coordination service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationRequest {
    /// Changes the state. The leader sets the `expired_grant` of an `AcquireLock`; the application leaves it empty.
    Command(CoordinationCommand),
    /// Reads a key; linearizable.
    ReadKey {
        /// The full key, including its group.
        key: String,
    },
    /// Waits for events of a group.
    Watch {
        /// The group's name, with the trailing dot.
        group: String,
        /// Events after this revision are returned; 0 returns only the current revision, without waiting.
        after: u64,
        /// Maximum time to wait for an event.
        wait: Duration,
    },
}

/// The reply of the coordination service to an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplicationReply {
    /// The outcome of a command.
    Outcome(CoordinationOutcome),
    /// The key's value and revision; `None` if the key was never stored.
    Key(Option<KeyRevision>),
    /// All events of a group after the requested revision, up to `revision`; empty if none occurred during the wait.
    Events {
        /// The events in ascending order of their revisions.
        events: Vec<KeyEvent>,
        /// The revision up to which the events are complete.
        revision: u64,
    },
    /// The events after the requested revision are no longer retained.
    EventsPruned,
    /// Too many requests are pending. This one was not executed and will not be.
    Overloaded,
    /// No leader or no quorum could be reached in time. The request was not executed and will not be.
    Unavailable,
    /// The request may or may not have been executed, so the application must get neither a success nor a failure.
    Indeterminate,
}

//! What two processes of one sender tell each other while one takes over from the other.
use super::admin_endpoint::Command;
use super::journal::SubmittedMessage;
use message_sender::{EndpointId, Outcome, Report, Span, Time};
use serde::{Deserialize, Serialize};

/// What the client is told.
#[derive(Serialize, Deserialize)]
pub enum Answer {
    TakenOn,
    Malformed(String),
    Refused,
}

/// From the process that hands over.
#[derive(Serialize, Deserialize)]
pub enum ToNew {
    Yours,
    /// A call that was out has ended.
    Called {
        sent: Time,
        at: Time,
        endpoint: EndpointId,
        ends: Vec<(u32, Outcome, bool)>,
        wait: Option<Span>,
        report: Option<Report>,
    },
    /// A message that came on an old connection; its deadline is the module's time.
    HandIn {
        id: u64,
        message: SubmittedMessage,
        deadline: Time,
    },
    /// A call by staff at the old second address.
    Order {
        id: u64,
        order: Command,
    },
}

/// From the process that takes over.
#[derive(Serialize, Deserialize)]
pub enum ToOld {
    Hello(u32),
    Taken,
    Answer { id: u64, answer: Answer },
    Ordered { id: u64, done: Result<(), String> },
}

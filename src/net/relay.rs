//! Messages that two processes of one sender exchange while one takes over from the other.
//!
//! They are encoded by position: the order of variants and fields is the format on the socket.
use super::admin_endpoint::Command;
use super::journal::SubmittedMessage;
use message_sender::{EndpointId, Outcome, Report, Span, Time};
use serde::{Deserialize, Serialize};

/// The answer to a client that submitted a message.
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The journal holds the message, and it will be delivered.
    TakenOn,
    /// The message is invalid, for this reason.
    Malformed(String),
    /// The message was not accepted; the client may submit it elsewhere.
    Refused,
}

/// From the process that hands over.
#[derive(Serialize, Deserialize)]
pub enum ToNew {
    /// The lock is released: the new process decides and writes from here on.
    Yours,
    /// A call that was in flight has ended.
    Called {
        sent: Time,
        at: Time,
        endpoint: EndpointId,
        ends: Vec<(u32, Outcome, bool)>,
        wait: Option<Span>,
        report: Option<Report>,
    },
    /// A message submitted on a connection of the old process; its deadline is in the decision module's time.
    HandIn { id: u64, message: SubmittedMessage, deadline: Time },
    /// An operator's command received at the old process's admin endpoint.
    Order { id: u64, order: Command },
}

/// From the process that takes over.
#[derive(Serialize, Deserialize)]
pub enum ToOld {
    /// Asks for a handover, with the protocol version.
    Hello(u32),
    /// The state was read and fits the new process.
    Taken,
    Answer {
        id: u64,
        answer: Answer,
    },
    Ordered {
        id: u64,
        done: Result<(), String>,
    },
}

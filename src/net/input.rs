//! The inputs of the host loop. The modules that send them depend on this one, and the host depends on all of these.
use super::connection::Connection;
use super::journal::SubmittedMessage;
use super::relay::{Answer, ToNew};
use super::tuning::Tuning;
use message_sender::wire::Targets;
use message_sender::{EndpointId, Outcome, Report, Span};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An input of the host loop.
pub enum Input {
    /// A client submits a message.
    HandIn {
        message: SubmittedMessage,
        /// The message is not to be delivered after this.
        deadline: Instant,
        answer: oneshot::Sender<Answer>,
    },
    Called(Called),
    /// A call has opened a new connection, and asks whether its messages may still be sent.
    Connected {
        endpoint: EndpointId,
        messages: Vec<u32>,
        may_begin: oneshot::Sender<bool>,
    },
    /// A connection that can be reused.
    Idle(SocketAddr, Connection),
    Targets(Targets),
    /// New, validated settings; the answer says whether they are now in effect.
    Retune(Box<Tuning>, oneshot::Sender<Result<(), String>>),
    /// Notices that the platform has acknowledged.
    Noticed(Vec<u32>),
    WindDown,
    /// A new process asks to take over.
    TakeOver(UnixStream),
    /// A message from the old process during a handover; none once it has ended.
    Old(Option<ToNew>),
}

/// The result of a call.
#[derive(Debug)]
pub struct Called {
    pub number: u64,
    pub endpoint: EndpointId,
    /// When the result was known: `wait` runs from here.
    pub at: Instant,
    /// Each message with its outcome and whether it needs no further attempt, in the call's order.
    pub ends: Vec<(u32, Outcome, bool)>,
    /// The answer's `Retry-After`.
    pub wait: Option<Span>,
    pub report: Option<Report>,
    /// Idle time of the connection before the call; none if it was new.
    pub idle: Option<Duration>,
}

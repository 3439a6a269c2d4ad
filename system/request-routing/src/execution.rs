//! Whether a request may have run: how a send ends on the wire, what each such end says, and the one transition of
//! the state that decides about a repeat and about a promise. Nothing else judges it.

use message_sender::{Outcome, Span};
use operator_config::RouteKind;

/// How a send ended that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was made.
    ConnectFailed,
    /// The connection broke, or the time ended, before the last byte of the request's head was written. Without its
    /// head no endpoint begins work.
    HeadUnwritten,
    /// The connection broke after that. An endpoint may begin work before it has read the body, so a body that was
    /// written in part is no excuse.
    ConnectionLost,
    /// No answer came in time after that: it may run even later.
    TimedOut,
    /// Something came that is no whole answer of the endpoint to this request: another request's answer, one without
    /// a seal, or one whose end cannot be told. It says nothing of whether the request ran.
    Unusable,
    /// The endpoint stated that it did not run the request, and perhaps when to come again.
    Declined(Option<Span>),
    /// Another incarnation answered, and did not run it.
    Misdirected,
}

impl SendOutcome {
    /// The end of a connection that broke, by whether the request's head had been written.
    pub fn connection_lost(head_written: bool) -> Self {
        if head_written { Self::ConnectionLost } else { Self::HeadUnwritten }
    }

    /// The end of a send whose time is over.
    pub fn timed_out(head_written: bool) -> Self {
        if head_written { Self::TimedOut } else { Self::HeadUnwritten }
    }

    /// What it means to the router.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::ConnectFailed => Outcome::ConnectFailed,
            Self::HeadUnwritten | Self::Misdirected => Outcome::Void,
            Self::ConnectionLost | Self::Unusable => Outcome::Reset,
            Self::TimedOut => Outcome::TimedOut,
            Self::Declined(wait) => Outcome::Full(wait),
        }
    }
}

/// Whether a request may have run, over all of its sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Execution {
    /// Each send ended before its head was written, or with the endpoint's statement that it did not run.
    #[default]
    NotExecuted,
    /// At least one send may have run, or may run yet. This is final.
    MayHaveExecuted,
}

impl Execution {
    /// The state after a send that ended so: its only transition.
    #[must_use]
    pub fn after(self, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom => self,
            Outcome::Success | Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                Self::MayHaveExecuted
            }
        }
    }

    /// Whether a request may be sent to an endpoint; `is_repeatable` is whether more than one may run it.
    pub fn may_send(self, is_repeatable: bool) -> bool {
        self == Self::NotExecuted || is_repeatable
    }

    /// Whether the client may be promised that the request has not run and never will.
    pub fn may_promise(self) -> bool {
        self == Self::NotExecuted
    }
}

/// Whether this status of an endpoint's own would promise the client that a request of this kind has not run. One
/// that does not come with the endpoint's statement is no such promise and must not be passed on.
pub fn status_promises_not_executed(status: u16, kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent => false,
        RouteKind::NonIdempotent => matches!(status, 408 | 421 | 429 | 503),
        RouteKind::Streaming => matches!(status, 402 | 408 | 421 | 429 | 503),
    }
}

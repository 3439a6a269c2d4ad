//! At-most-once bookkeeping: how a send can end on the wire, what each such end implies, and the single state transition
//! that decides whether a request may be retried and whether the client may be told that it was not executed. No other
//! code decides this.

use message_sender::{Outcome, Span};
use operator_config::RouteKind;

/// How a send ended that produced no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was established.
    ConnectFailed,
    /// The connection was lost, or the time was over, before the last byte of the request head was written. No
    /// endpoint starts executing without the complete head.
    HeadUnwritten,
    /// The connection was lost after that. An endpoint may start executing before it has read the body, so a partly
    /// written body proves nothing.
    ConnectionLost,
    /// No response came in time after that; the request may still execute later.
    TimedOut,
    /// The response is not a complete one of the endpoint to this request: it belongs to another request, has no
    /// seal, or its end cannot be determined. It does not show whether the request executed.
    InvalidResponse,
    /// The endpoint stated that it did not execute the request, with an optional `Retry-After`.
    Declined(Option<Span>),
    /// Another incarnation responded, and did not execute the request.
    Misdirected,
}

impl SendOutcome {
    /// The end of a send whose connection was lost, by whether the request head had been written.
    pub fn connection_lost(head_written: bool) -> Self {
        if head_written { Self::ConnectionLost } else { Self::HeadUnwritten }
    }

    /// The end of a send that timed out, by whether the request head had been written.
    pub fn timed_out(head_written: bool) -> Self {
        if head_written { Self::TimedOut } else { Self::HeadUnwritten }
    }

    /// The outcome to report to the router.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::ConnectFailed => Outcome::ConnectFailed,
            Self::HeadUnwritten | Self::Misdirected => Outcome::Void,
            Self::ConnectionLost | Self::InvalidResponse => Outcome::Reset,
            Self::TimedOut => Outcome::TimedOut,
            Self::Declined(wait) => Outcome::Full(wait),
        }
    }
}

/// Whether a request may have executed, over all of its sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Execution {
    /// Each send ended before its head was written, or with the endpoint's statement that it did not execute.
    #[default]
    NotExecuted,
    /// At least one send may have executed, or may execute later. This state is final.
    MayHaveExecuted,
}

impl Execution {
    /// The state after a send with this outcome; the only transition.
    #[must_use]
    pub fn after(self, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom => self,
            Outcome::Success | Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                Self::MayHaveExecuted
            }
        }
    }

    /// Whether the request may be sent; `is_repeatable`: whether more than one endpoint may execute it.
    pub fn may_send(self, is_repeatable: bool) -> bool {
        self == Self::NotExecuted || is_repeatable
    }

    /// Whether the client may be told that the request has not executed and never will.
    pub fn guarantees_not_executed(self) -> bool {
        self == Self::NotExecuted
    }
}

/// Whether this response status implies to the client that a request of this kind was not executed. Such a status
/// without the endpoint's explicit statement proves nothing and must not be forwarded.
pub fn status_promises_not_executed(status: u16, kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent => false,
        RouteKind::NonIdempotent => matches!(status, 408 | 421 | 429 | 503),
        RouteKind::Streaming => matches!(status, 402 | 408 | 421 | 429 | 503),
    }
}

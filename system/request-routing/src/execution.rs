//! At-most-once execution: the outcomes of a send on the wire, what each of them implies, and the state transition that
//! decides whether a request may be retried and whether the client may be told that it was not executed. No other code
//! makes this decision.

use message_sender::{Outcome, Span};
use operator_config::RouteKind;

/// Outcome of a send that produced no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was established.
    ConnectFailed,
    /// The connection was lost, or the send timed out, before the last byte of the request head was written. No
    /// endpoint starts executing without the complete head.
    HeadUnwritten,
    /// The connection was lost after the request head was written. An endpoint may start executing before it has read
    /// the body, so a partly written body does not prove that the request was not executed.
    ConnectionLost,
    /// The request head was written, but the response timed out; the request may still execute later.
    TimedOut,
    /// The response is not a complete response of the endpoint to this request: it belongs to another request, has no
    /// seal, or its end cannot be determined. It does not show whether the request was executed.
    InvalidResponse,
    /// The endpoint stated that it did not execute the request, with an optional `Retry-After`.
    Declined(Option<Span>),
    /// Another incarnation responded, and did not execute the request.
    Misdirected,
}

impl SendOutcome {
    /// Outcome of a send whose connection was lost; `head_written` states whether the complete request head had been
    /// written.
    pub fn connection_lost(head_written: bool) -> Self {
        if head_written { Self::ConnectionLost } else { Self::HeadUnwritten }
    }

    /// Outcome of a send that timed out; `head_written` states whether the complete request head had been written.
    pub fn timed_out(head_written: bool) -> Self {
        if head_written { Self::TimedOut } else { Self::HeadUnwritten }
    }

    /// The outcome to report with [`Router::record_completion`](crate::Router::record_completion).
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
    /// Each send ended before its head was written, or the endpoint stated that it did not execute the request.
    #[default]
    NotExecuted,
    /// The request may have been executed by at least one send, or may be executed later. This state is final.
    MayHaveExecuted,
}

impl Execution {
    /// The state after a send with this outcome.
    #[must_use]
    pub fn after(self, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Void | Outcome::NoRoom => self,
            Outcome::Success | Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                Self::MayHaveExecuted
            }
        }
    }

    /// Whether the request may be sent; `is_repeatable` states whether more than one endpoint may execute it.
    pub fn may_send(self, is_repeatable: bool) -> bool {
        self == Self::NotExecuted || is_repeatable
    }

    /// Whether the client may be told that the request was not executed and will not be.
    pub fn guarantees_not_executed(self) -> bool {
        self == Self::NotExecuted
    }
}

/// Whether a client concludes from this response status that a request of this kind was not executed. Without the
/// endpoint's explicit statement, the status does not prove that and must not be forwarded.
pub fn status_promises_not_executed(status: u16, kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent => false,
        RouteKind::NonIdempotent => matches!(status, 408 | 421 | 429 | 503),
        RouteKind::Streaming => matches!(status, 402 | 408 | 421 | 429 | 503),
    }
}

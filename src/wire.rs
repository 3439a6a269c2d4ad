//! Headers, paths and JSON bodies of the HTTP protocol between clients, senders, endpoints, discovery and the platform.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header: id of a message, new for each submission.
pub const TXN: &str = "X-Txn";
/// Header: name of the message class.
pub const LANE: &str = "X-Lane";
/// Header: remaining time until the deadline, in seconds with decimals.
pub const REMAINING: &str = "X-Remaining";
/// Header: destination of the message, such as `dest=7`.
pub const ENVELOPE: &str = "X-Envelope";
/// Header: key by which endpoints drop repeats.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Header of a response with status 503: the call was not executed, as all slots for this sender were in use.
pub const NO_SLOT: &str = "X-No-Slot";
/// Path at a sender where clients submit messages.
pub const HAND_IN: &str = "/api";
/// Path at an endpoint that receives calls.
pub const HOOK: &str = "/hook";
/// Path of a sender's readiness check.
pub const READY: &str = "/-/ready";
/// Path at discovery that returns the endpoint list.
pub const TARGETS: &str = "/api/targets";
/// Path at the platform that receives notices of undelivered messages.
pub const NOTICES: &str = "/v1/notices";

/// A version of the endpoint list, or the changes from an earlier version to this one.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Targets {
    /// Version number, which only grows.
    pub revision: u64,
    /// Whether `members` is the full list; otherwise it has only the changes.
    pub complete: bool,
    /// All endpoints, or those that changed.
    pub members: Vec<Member>,
}

/// An endpoint in the list.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    /// Unique id, the same at all senders.
    pub id: String,
    /// Address that calls are sent to.
    #[schemars(with = "String")]
    pub host_port: SocketAddr,
    /// Name of its zone.
    pub locality: String,
    /// Name of the kind of its destination.
    pub flavor: String,
    /// Id of its destination.
    pub cell: u64,
    /// Whether it accepts calls.
    pub phase: Phase,
    /// Calls per second that its destination accepts from all senders together; ignored if `weights` in the settings is
    /// `none`.
    #[serde(default)]
    pub size: f64,
    /// Time of its last start, in milliseconds of Unix time; 0 if that was long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// Whether an endpoint accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// Accepts calls.
    Serving,
    /// Completes the calls in flight and accepts no new ones.
    Draining,
    /// Removed from the list; only used in changes.
    Deleted,
}

/// Outcome of a message that was accepted and not delivered: one line in the body of a request to [`NOTICES`].
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeLine<T> {
    /// Message id, as in the header [`TXN`].
    pub id: T,
    /// Whether the client can submit the message again.
    pub state: NoticeState,
    /// Minimum delay before the client submits the message again, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
}

/// Outcome of an undelivered message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoticeState {
    /// No guarantee about its effect: the client does not submit it again.
    Failed,
    /// The message can safely be submitted again.
    Returned,
}

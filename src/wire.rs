//! What goes over the wire between clients, senders, endpoints, discovery and the platform, as the protocol page has
//! it: one place for those who write it and those who read it.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Id of a message, new each time that it is handed in.
pub const TXN: &str = "X-Txn";
/// Class of a message.
pub const LANE: &str = "X-Lane";
/// Seconds left, with decimals.
pub const REMAINING: &str = "X-Remaining";
/// Holds the destination, as `dest=7`.
pub const ENVELOPE: &str = "X-Envelope";
/// Key under which repeats are dropped.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// On a 503: not sent, as all slots of the sender were taken.
pub const NO_SLOT: &str = "X-No-Slot";
/// Where clients hand messages in.
pub const HAND_IN: &str = "/api";
/// Where endpoints take calls.
pub const HOOK: &str = "/hook";
/// Where a sender tells whether it is to be used.
pub const READY: &str = "/-/ready";
/// Where discovery tells the list.
pub const TARGETS: &str = "/api/targets";
/// Where the platform takes notices.
pub const NOTICES: &str = "/v1/notices";

/// A version of the list of endpoints, or the changes that led to it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Targets {
    /// Its number: it only grows.
    pub revision: u64,
    /// Whether this is the whole list.
    pub complete: bool,
    /// The endpoints, or those that changed.
    pub members: Vec<Member>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    /// The same at every sender.
    pub id: String,
    /// Where calls go.
    #[schemars(with = "String")]
    pub host_port: SocketAddr,
    /// Its zone.
    pub locality: String,
    /// Its kind.
    pub flavor: String,
    /// The destination that it belongs to.
    pub cell: u64,
    /// Whether it is in service.
    pub phase: Phase,
    /// Calls a second that its destination takes from all senders together, where the settings say so.
    #[serde(default)]
    pub size: f64,
    /// Its last start, in Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// Whether an endpoint is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// It is.
    Serving,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It is gone; among changes only.
    Deleted,
}

/// How a message ended that was taken on and not delivered: one line of a request with notices.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeLine<T> {
    /// The message's id.
    pub id: T,
    /// How it ended.
    pub state: NoticeState,
    /// When its client may come again, in milliseconds from then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NoticeState {
    /// With no promise about its effect: it does not come again.
    Failed,
    /// Handing it in again is harmless.
    Returned,
}

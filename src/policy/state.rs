//! The policy's data: pending messages, calls in flight, routes, endpoints, destinations and ordering keys.
//! Their serialized form is what a handover passes on: the order of fields and variants must stay.

use crate::interface::{DestinationId, EndpointId, KindId, Listing, Message, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};

/// An attempt that is out.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Try {
    pub(super) endpoint: EndpointId,
    pub(super) call: u64,
}

/// Where a message stands.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) enum Stage {
    /// For its turn, not before this.
    Waiting(Time),
    /// For the outcome of an attempt.
    Out(Try),
    /// Ended, with an attempt still out: kept for the slot and for the order of its key.
    Over(Try),
}

/// The first attempt that may have run.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Ran {
    pub(super) sent: Time,
    pub(super) zone: ZoneId,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Held {
    pub(super) message: Message,
    pub(super) deadline: Time,
    pub(super) attempts: u32,
    pub(super) stage: Stage,
    pub(super) ran: Option<Ran>,
    /// Taken on by an earlier process and not tried yet: it is not ended for newcomers' sake.
    pub(super) untried: bool,
}

/// One call, carrying one message or a batch.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) sent: Time,
    pub(super) left: usize,
    /// How long its endpoint had been without an answer when it was sent, in seconds.
    pub(super) idle: f64,
    /// Calls out at its endpoint with it.
    pub(super) rank: usize,
    pub(super) lines: [Option<usize>; 2],
    /// Calls that its endpoint got later and has answered.
    pub(super) overtaken: u32,
    pub(super) given_up: bool,
    pub(super) reported: bool,
}

/// State of a line. Only sends that `rule_return` lets through reach one that is not `Up`.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(super) enum Health {
    #[default]
    Up,
    /// In an outage: one call at a time, not before this.
    Down(Time),
    /// Answering again since: paced by the recovery rule's ramp.
    Returning(Time),
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Line {
    pub(super) destination: DestinationId,
    pub(super) endpoint: Option<EndpointId>,
    pub(super) told_until: Time,
    pub(super) hold_until: Time,
    pub(super) health: Health,
    pub(super) failing: f64,
    pub(super) streak: u32,
    pub(super) fulls: u32,
    /// When a refusal was last booked: those of calls already out then are the same news.
    pub(super) full_at: Time,
    pub(super) latency: f64,
    pub(super) deviation: f64,
    pub(super) out: Vec<(u64, Time)>,
    /// Calls that its endpoint's table of connections was seen to hold at once, and since when; 0: unknown.
    pub(super) room: usize,
    pub(super) room_at: Time,
    pub(super) last_answer: Time,
    pub(super) last_success: Time,
    pub(super) rate: f64,
    pub(super) pace: f64,
    pub(super) tokens: f64,
    pub(super) tokens_at: Time,
    pub(super) limit: f64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) destination: DestinationId,
    pub(super) zone: ZoneId,
    pub(super) kind: KindId,
    pub(super) listing: Listing,
    /// Taken out of service by staff, apart from what the list says.
    pub(super) excluded: bool,
    pub(super) line: usize,
}

impl Endpoint {
    pub(super) fn in_service(&self) -> bool {
        self.listing == Listing::Active && !self.excluded
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Destination {
    pub(super) shared: Option<usize>,
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) calls: usize,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Key {
    pub(super) queue: Vec<MessageId>,
    pub(super) rest_until: Time,
}

impl Line {
    pub(super) fn new(destination: DestinationId, endpoint: Option<EndpointId>, hint: f64) -> Self {
        Line { destination, endpoint, pace: f64::INFINITY, tokens: 1.0, limit: hint, ..Line::default() }
    }

    /// The slowest healthy answer to expect, in microseconds.
    pub(super) fn slowest(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }
}

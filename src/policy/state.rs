//! The policy's data: pending messages, calls in flight, routes, endpoints, destinations and ordering keys.
//! A handover transfers their serialized form: the order of fields and variants must not change.

use crate::interface::{DestinationId, EndpointId, KindId, Listing, Message, MessageId, Time, ZoneId};
use serde::{Deserialize, Serialize};

/// An attempt in flight.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) call: u64,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) enum Progress {
    /// To be sent, not before this time.
    Waiting(Time),
    /// An attempt's outcome is awaited.
    InFlight(Attempt),
    /// Complete, but the attempt in flight still occupies a slot and the ordering key.
    Abandoned(Attempt),
}

/// The first attempt that may have executed.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct FirstExecution {
    pub(super) sent: Time,
    pub(super) zone: ZoneId,
}

#[derive(Serialize, Deserialize)]
pub(super) struct PendingMessage {
    pub(super) message: Message,
    pub(super) deadline: Time,
    pub(super) attempts: u32,
    pub(super) progress: Progress,
    pub(super) executed: Option<FirstExecution>,
    /// Accepted by an earlier process and not attempted yet: it is not shed.
    pub(super) untried: bool,
}

/// One call, carrying one message or a batch.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) sent: Time,
    pub(super) unfinished: usize,
    /// Seconds since its endpoint's last answer when it was sent.
    pub(super) idle_s: f64,
    /// Calls in flight at its endpoint, including it.
    pub(super) concurrency: usize,
    pub(super) routes: [Option<usize>; 2],
    /// Number of later calls that its endpoint has answered.
    pub(super) overtaken_by: u32,
    pub(super) cancelled: bool,
    pub(super) recorded: bool,
}

/// Health of a route. Only sends that `rule_slow_start` permits reach one that is not `Up`.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(super) enum Health {
    #[default]
    Up,
    /// In an outage: one probe at a time, not before this time.
    Down(Time),
    /// Responding again since this time: limited by slow start.
    Recovering(Time),
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Route {
    pub(super) destination: DestinationId,
    pub(super) endpoint: Option<EndpointId>,
    pub(super) retry_after_until: Time,
    pub(super) backoff_until: Time,
    pub(super) health: Health,
    pub(super) failure_rate: f64,
    pub(super) consecutive_failures: u32,
    pub(super) rejections: u32,
    /// When a rejection was last counted: rejections of calls in flight then are not counted again.
    pub(super) rejected_at: Time,
    pub(super) latency: f64,
    pub(super) deviation: f64,
    /// Calls and when they were sent, oldest first.
    pub(super) in_flight: Vec<(u64, Time)>,
    /// Concurrent calls that its endpoint was seen to accept; 0 if unknown.
    pub(super) connection_limit: usize,
    /// When `connection_limit` was last confirmed or raised.
    pub(super) limit_seen_at: Time,
    pub(super) last_answer: Time,
    pub(super) last_success: Time,
    /// Successful calls per second, averaged.
    pub(super) rate: f64,
    /// This sender's calls per second; lowered by rejections.
    pub(super) rate_limit: f64,
    pub(super) tokens: f64,
    pub(super) refilled_at: Time,
    /// Calls per second of all senders, listed or reported; 0 if unknown.
    pub(super) known_limit: f64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) destination: DestinationId,
    pub(super) zone: ZoneId,
    pub(super) kind: KindId,
    pub(super) listing: Listing,
    /// Taken out of service by operators, whatever the list's state.
    pub(super) excluded: bool,
    pub(super) route: usize,
}

impl Endpoint {
    pub(super) fn in_service(&self) -> bool {
        self.listing == Listing::Active && !self.excluded
    }
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Destination {
    pub(super) shared_route: Option<usize>,
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) calls: usize,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct KeyState {
    pub(super) queue: Vec<MessageId>,
    pub(super) settles_at: Time,
}

impl Route {
    pub(super) fn new(destination: DestinationId, endpoint: Option<EndpointId>, hint: f64) -> Self {
        Route {
            destination,
            endpoint,
            rate_limit: f64::INFINITY,
            tokens: 1.0,
            known_limit: hint,
            ..Route::default()
        }
    }

    /// The slowest healthy answer to expect, in microseconds.
    pub(super) fn latency_bound(&self, deviations: f64) -> f64 {
        self.latency + deviations * self.deviation
    }
}

//! Requests, decisions and views exchanged between the router and its host.

use crate::execution::Execution;
use message_sender::{Span, Time};
use operator_config::RouteKind;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Identifies one endpoint incarnation within this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// A request to be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingRequest {
    /// Name of the requested service.
    pub service: String,
    /// Whether the request is idempotent, not idempotent or streaming.
    pub kind: RouteKind,
    /// Whether it is a stream that may be resumed at another endpoint.
    pub resumable: bool,
    /// The session it belongs to, for session affinity.
    pub session: Option<String>,
    /// Whether it continues an earlier turn of its conversation.
    pub continues: bool,
    /// Instance id of the endpoint that served that turn, if it is known.
    pub previous_endpoint: Option<Arc<str>>,
    /// Id of its shared prompt prefix, for prefix affinity.
    pub prefix_id: Option<String>,
    /// Tokens of that prefix; 0 if unknown.
    pub prefix_tokens: u32,
    /// Tokens of the prompt plus the maximum to generate; 0 if unknown.
    pub total_tokens: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Time at which it is given up.
    pub deadline: Time,
    /// Time to first byte within which the response has its full value.
    pub latency_target: Span,
    /// Upper bound on the attempts that reach an endpoint.
    pub max_attempts: u32,
}

impl RoutingRequest {
    /// Whether more than one endpoint may execute it.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

/// The attempts of a request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts that reached an endpoint.
    pub attempts: u32,
    /// Whether one of them may have executed.
    pub execution: Execution,
    /// Number of attempts that did not execute: refusals, and connections that were not established.
    pub unexecuted: u32,
    /// The endpoint of the last attempt.
    pub last_endpoint: Option<EndpointKey>,
    /// Endpoints that are not tried again while there are others.
    pub avoided: Vec<EndpointKey>,
    /// Earliest time of the next attempt.
    pub not_before: Time,
}

/// Where a request goes now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send it to this endpoint; the call counts as in flight from now on.
    Send(Target),
    /// Decide again after this time, or earlier if a slot may have become free.
    Wait(Span),
    /// Give up.
    GiveUp(GiveUp),
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its key.
    pub key: EndpointKey,
    /// Its address.
    pub address: SocketAddrV4,
    /// Instance id of its incarnation.
    pub instance_id: Arc<str>,
    /// Whether a new connection is within this proxy's share.
    pub may_open: bool,
}

/// How a request ends without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// With the guarantee that it was not executed.
    Refused {
        /// Time after which a retry by the client may succeed.
        retry_after: Span,
    },
    /// Without that guarantee.
    Failed,
}

/// What follows an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Route it again, no earlier than [`AttemptHistory::not_before`].
    Retry,
    /// Give up.
    GiveUp(GiveUp),
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it executes.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can execute at once.
    pub slots: u32,
}

/// Settings of a service that routing depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Upper bound on an endpoint's connections from all proxies together.
    pub max_connections: u32,
    /// Whether its endpoints serve a model.
    pub engine: bool,
    /// Slots of an endpoint, if configured.
    pub slots: Option<u32>,
    /// Capacity of an endpoint's prefix cache in tokens, if configured.
    pub cache_tokens: Option<u64>,
}

/// Why an endpoint receives no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It is draining.
    Draining,
    /// It is no longer in the endpoint list.
    Unlisted,
    /// Another incarnation responds at its address.
    Misdirected,
    /// Too many consecutive attempts failed.
    Ejected {
        /// End of this state.
        until: Time,
    },
    /// Its ejection is over, and a probe call is in flight.
    Probing,
    /// It refused a call for lack of capacity.
    BackingOff {
        /// End of this state.
        until: Time,
    },
    /// As many calls of this proxy as allowed are in flight there.
    AtCapacity,
}

/// Snapshot of an endpoint for the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Its key.
    pub key: EndpointKey,
    /// Instance id of its incarnation.
    pub instance_id: Arc<str>,
    /// Name of its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Calls of this proxy in flight.
    pub in_flight: u32,
    /// Open connections of this proxy.
    pub connections: u32,
    /// Its slots.
    pub slots: u32,
    /// Decayed number of other proxies' calls, from its load reports.
    pub reported_load: f64,
    /// Why it receives no new requests; None if it does.
    pub unavailable: Option<UnavailableReason>,
}

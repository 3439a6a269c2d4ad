//! Requests, decisions and views exchanged between the router and its host.

use crate::execution::Execution;
use message_sender::{Span, Time};
use operator_config::RouteKind;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Identifies one endpoint incarnation within this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// The properties of a request that routing depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingRequest {
    /// Name of the requested service.
    pub service: String,
    /// Whether the request is idempotent, not idempotent or streaming.
    pub kind: RouteKind,
    /// Whether the request is a stream that another endpoint may resume.
    pub resumable: bool,
    /// Session id, for session affinity; None for a request without a session.
    pub session: Option<String>,
    /// Whether the request continues a conversation, that is, whether it is not its first turn.
    pub continues_conversation: bool,
    /// Instance id of the endpoint that served the previous turn, if known.
    pub previous_endpoint: Option<Arc<str>>,
    /// Id of the shared prompt prefix, for prefix affinity.
    pub prefix_id: Option<String>,
    /// Tokens of the shared prefix; 0 if unknown.
    pub prefix_tokens: u32,
    /// Tokens of the prompt plus the maximum number of tokens to generate; 0 if unknown.
    pub total_tokens: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time of arrival at the proxy; the admission queue tells waiting requests apart by it.
    pub arrived_at: Time,
    /// Time at which the request is given up.
    pub deadline: Time,
    /// Time to first byte within which a response has its full value to the client.
    pub latency_target: Span,
    /// Upper bound on the attempts that reach an endpoint.
    pub max_attempts: u32,
}

impl RoutingRequest {
    /// Whether more than one endpoint may execute the request.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

/// Record of a request's attempts so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts that reached an endpoint.
    pub attempts: u32,
    /// Whether an attempt may have executed.
    pub execution: Execution,
    /// Number of attempts that did not execute: refusals, and connections that were not established.
    pub unexecuted_attempts: u32,
    /// The endpoint of the last attempt.
    pub last_endpoint: Option<EndpointKey>,
    /// Endpoints that refused or failed an attempt; chosen again only if no other is available.
    pub avoided_endpoints: Vec<EndpointKey>,
    /// Earliest time of the next attempt.
    pub not_before: Time,
}

/// Result of routing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send the request to this endpoint. The call counts as in flight until its completion is recorded.
    Send(SendTarget),
    /// Route the request again after this time, or earlier if a slot may have become free.
    Wait(Span),
    /// End the request without a response.
    GiveUp(GiveUp),
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendTarget {
    /// Key for later reports about this endpoint to the router.
    pub key: EndpointKey,
    /// Address to connect to.
    pub address: SocketAddrV4,
    /// Instance id of the incarnation that is expected to respond.
    pub instance_id: Arc<str>,
    /// Whether a new connection is within this proxy's share of the endpoint's connections.
    pub may_open_connection: bool,
}

/// How a request ends without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The request is guaranteed not to have been executed.
    Refused {
        /// Time after which a retry by the client may succeed.
        retry_after: Span,
    },
    /// The request may have been executed.
    Failed,
}

/// Whether a request is retried after an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Route the request again, no earlier than [`AttemptHistory::not_before`].
    Retry,
    /// End the request without a response.
    GiveUp(GiveUp),
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of requests that are executing.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can execute concurrently.
    pub slots: u32,
}

/// Settings of a service that routing depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Service name, as in [`RoutingRequest::service`].
    pub name: String,
    /// Upper bound on the connections of all proxies together to one endpoint; 0 if unbounded.
    pub max_connections: u32,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
    /// Slots of an endpoint whose list entry states none, if configured.
    pub slots: Option<u32>,
    /// Capacity of an endpoint's prefix cache in tokens, if configured.
    pub cache_tokens: Option<u64>,
}

/// Why an endpoint receives no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The endpoint is draining, which is final for an incarnation.
    Draining,
    /// The endpoint is no longer in the endpoint list.
    Unlisted,
    /// Another incarnation responds at the endpoint's address.
    Misdirected,
    /// Too many consecutive attempts failed.
    Ejected {
        /// End of the ejection; a probe call follows.
        until: Time,
    },
    /// The ejection is over, and the probe call is in flight.
    Probing,
    /// The endpoint refused a call for lack of capacity.
    BackingOff {
        /// End of the backoff.
        until: Time,
    },
    /// This proxy has the maximum number of calls in flight to the endpoint.
    AtCapacity,
}

/// Snapshot of an endpoint for the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Key of the incarnation, unique within this process.
    pub key: EndpointKey,
    /// Instance id of the incarnation.
    pub instance_id: Arc<str>,
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Address from the endpoint list.
    pub address: SocketAddrV4,
    /// Zone from the endpoint list.
    pub zone: String,
    /// This proxy's calls in flight to the endpoint.
    pub in_flight: u32,
    /// This proxy's open connections to the endpoint.
    pub connections: u32,
    /// Concurrent requests: from the endpoint list, or else the service's setting or its default.
    pub slots: u32,
    /// Decayed number of other proxies' calls, from the endpoint's load reports.
    pub reported_load: f64,
    /// Why the endpoint receives no new requests; None if it does.
    pub unavailable: Option<UnavailableReason>,
}

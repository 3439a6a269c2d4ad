//! The types that a host and the router speak.

use crate::execution::Execution;
use message_sender::{Span, Time};
use operator_config::RouteKind;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Number of an endpoint's incarnation within this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct EndpointKey(pub u32);

/// A request that wants an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingRequest {
    /// The service.
    pub service: String,
    /// What a repeat would do.
    pub kind: RouteKind,
    /// It is a stream that may be continued at another endpoint.
    pub resumable: bool,
    /// The session that it belongs to.
    pub session: Option<String>,
    /// Id of the first part of its prompt.
    pub prefix_id: Option<String>,
    /// Tokens of that part, or 0.
    pub prefix_tokens: u32,
    /// Tokens of its prompt and the most it generates, or 0.
    pub total_tokens: u32,
    /// Its rank, 0 first.
    pub priority: u8,
    /// When it arrived.
    pub arrived_at: Time,
    /// When it is given up.
    pub deadline: Time,
    /// An answer within this earns its full worth.
    pub latency_target: Span,
    /// Endpoints to which it may be sent at most.
    pub max_attempts: u32,
}

impl RoutingRequest {
    /// Whether more than one endpoint may run it.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

/// What a request has been through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Sends that reached an endpoint.
    pub attempts: u32,
    /// Whether one of them may have run.
    pub execution: Execution,
    /// Attempts that ended without having run: refusals, and connections not made.
    pub unexecuted: u32,
    /// The endpoint of the last attempt.
    pub last_endpoint: Option<EndpointKey>,
    /// Endpoints that it is not to meet again while there are others.
    pub avoided: Vec<EndpointKey>,
    /// It goes again no sooner.
    pub not_before: Time,
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send it; the call is counted as out from now on.
    Send(Target),
    /// Ask again after this, or earlier when a place may have become free.
    Wait(Span),
    /// End it.
    GiveUp(GiveUp),
}

/// The endpoint of a send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its number.
    pub key: EndpointKey,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its incarnation.
    pub instance_id: Arc<str>,
    /// A new connection may be opened within this proxy's share.
    pub may_open: bool,
}

/// How a request ends undelivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// With a promise that nothing ran.
    Refused {
        /// When coming again may help.
        retry_after: Span,
    },
    /// Without a promise.
    Failed,
}

/// What follows an attempt that did not deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pick again; `not_before` is set.
    Retry,
    /// End it.
    GiveUp(GiveUp),
}

/// What an endpoint tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Connections that an endpoint takes from all callers together.
    pub max_connections: u32,
    /// Its endpoints serve a model.
    pub engine: bool,
    /// Slots of an endpoint, where the configuration tells them.
    pub slots: Option<u32>,
    /// Tokens that an endpoint's memory holds, where the configuration tells them.
    pub cache_tokens: Option<u64>,
}

/// Why an endpoint gets no new requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It is leaving.
    Draining,
    /// It is no longer listed.
    Unlisted,
    /// Another incarnation answers at its address.
    Misdirected,
    /// Too many attempts failed in a row.
    Ejected {
        /// Until then.
        until: Time,
    },
    /// It was, and one call tries it now.
    Probing,
    /// It refused as full.
    BackingOff {
        /// Until then.
        until: Time,
    },
    /// It has as many calls as this proxy may send it.
    AtCapacity,
}

/// An endpoint as the router sees it, for staff.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Its number.
    pub key: EndpointKey,
    /// Its incarnation.
    pub instance_id: Arc<str>,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Calls that are out.
    pub in_flight: u32,
    /// Connections that are open.
    pub connections: u32,
    /// Its slots.
    pub slots: u32,
    /// Calls of other proxies there, as far as it reported them, aged.
    pub reported_load: f64,
    /// Why it is not used, if it is not.
    pub unavailable: Option<UnavailableReason>,
}

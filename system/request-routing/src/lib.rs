//! Request routing for one proxy: endpoint selection, admission and retries.
//!
//! A proxy must send each request to an endpoint that has capacity for it and, where possible, caches the state that it
//! needs (its session, or its prompt prefix); it must queue or refuse requests when there is no capacity; and it must
//! retry failed attempts without ever executing a non-idempotent request twice. The design's rule is to retry the
//! transport, not the intent.
//!
//! The crate only makes these decisions. It has no I/O and no clock: the host passes the current time with each event,
//! sends the requests, and reports what it observes. For each request the host calls [`Router::pick`] until it returns
//! [`RoutingDecision::Send`] or [`RoutingDecision::GiveUp`], makes the call, reports it with
//! [`Router::record_completion`], and after an attempt without a response calls [`Router::decide_retry`].
//!
//! All randomness derives from the router's seed, and iteration orders are fixed: the same sequence of events yields
//! the same decisions.

mod admission;
mod decay;
mod endpoint;
mod execution;
mod hash;
mod outlier;
mod placement;
mod placement_metrics;
mod policy;
mod prefix_demand;
mod retry;
mod router;
mod service;
mod sessions;
mod types;

pub use execution::{Execution, SendOutcome, status_promises_not_executed};
pub use message_sender::{Outcome, Span, Time};
pub use operator_config::RouteKind;
pub use placement_metrics::PlacementMetrics;
pub use policy::{RoutingPolicy, UnknownMechanism};
pub use router::Router;
pub use types::{
    AttemptHistory, EndpointKey, EndpointView, GiveUp, RetryDecision, RoutingDecision, RoutingRequest,
    SendTarget, ServerLoad, ServiceSettings, UnavailableReason,
};

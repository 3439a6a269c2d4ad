//! Where a request goes, when, and whether it goes again: decisions only, without I/O or clock. A host asks
//! [`Router::pick`], carries out the call, tells its end with [`Router::record_completion`] and asks [`Router::decide_retry`] after one
//! that did not deliver. The rule is the design's: retry the transport, not the intent.

mod admission;
mod endpoint;
mod execution;
mod hash;
mod outlier;
mod placement;
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
pub use policy::{RoutingPolicy, UnknownMechanism};
pub use router::Router;
pub use types::*;

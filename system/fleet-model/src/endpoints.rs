//! Endpoints and the versioned list of them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It is shutting down and finishes only the requests in flight.
    Draining,
}

/// An endpoint of a service, as the platform's discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier of this incarnation of the instance.
    pub instance_id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address on which it accepts requests.
    pub address: SocketAddrV4,
    /// Zone in which it runs.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub capacity_slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
}

/// Version of an endpoint list, ordered by token, then poll: a later version replaces an earlier one.
///
/// Serialized as the pair of its fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ListVersion {
    /// Fencing token of the lease under which the platform was polled.
    pub token: u64,
    /// Sequence number of the poll under that token.
    pub poll: u64,
}

impl ListVersion {
    /// Version of the list that a poll returned under a fencing token.
    pub const fn new(token: u64, poll: u64) -> Self {
        Self { token, poll }
    }
}

impl From<(u64, u64)> for ListVersion {
    fn from((token, poll): (u64, u64)) -> Self {
        Self { token, poll }
    }
}

impl From<ListVersion> for (u64, u64) {
    fn from(version: ListVersion) -> Self {
        (version.token, version.poll)
    }
}

/// A versioned list of all endpoints, as one lease holder read it from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub version: ListVersion,
    /// All endpoints of all services.
    pub endpoints: Vec<Endpoint>,
}

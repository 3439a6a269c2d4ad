//! Endpoints and the versioned list of them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// An endpoint, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// This incarnation.
    pub instance_id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// How many requests it works on at once.
    pub capacity_slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}

/// Orders the endpoint lists of a fleet: a later version replaces an earlier one.
/// Serialized as the pair of its fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ListVersion {
    /// The fencing token of the lease under which the platform was polled.
    pub token: u64,
    /// The number of the poll under that token.
    pub poll: u64,
}

impl ListVersion {
    /// The version of a poll under a fencing token.
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

/// The list of endpoints, as one asker of the platform read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub version: ListVersion,
    /// All endpoints.
    pub endpoints: Vec<Endpoint>,
}

//! What is known of a member.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Longest zone and name, and most bytes of tags.
const MAX_TEXT: usize = 128;

/// What a process does in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It takes the clients' requests.
    Edge,
    /// It keeps the register.
    Core,
    /// It keeps turns.
    Storage,
}

/// A process of the fleet, in one life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its address: there is one member at an address.
    pub ip: Ipv4Addr,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Its name.
    pub name: String,
    /// The number of this life, see [`new_incarnation`]: a later life at the address has a higher one.
    pub incarnation: u64,
    /// What else it tells of itself.
    pub tags: Vec<u8>,
}

impl Member {
    /// Tells whether it fits into a datagram beside others, and is at a usable address.
    pub(crate) fn check(&self) -> Result<(), MemberError> {
        if !is_usable(self.ip) {
            return Err(MemberError::Address(self.ip));
        }
        if [self.zone.len(), self.name.len(), self.tags.len()].into_iter().any(|length| length > MAX_TEXT) {
            return Err(MemberError::TooLong);
        }
        Ok(())
    }
}

/// Whether a single machine can be at this address.
pub(crate) fn is_usable(ip: Ipv4Addr) -> bool {
    !(ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast())
}

/// The number of a life that starts now: a later start has a higher one, and chance tells two of one millisecond apart.
pub fn new_incarnation(unix_ms: u64, random: u16) -> u64 {
    (unix_ms << 16) | u64::from(random)
}

/// How a living member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It didn't answer, and has a while to refute the suspicion.
    Suspect,
}

/// Why a member cannot be one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    /// No single machine can be there.
    #[error("{0} is not the address of one machine")]
    Address(Ipv4Addr),
    /// One of zone, name and tags is too long.
    #[error("zone, name and tags may each be {MAX_TEXT} bytes long")]
    TooLong,
}

//! Members: their identity, role and state.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Maximum length in bytes of the zone, of the name and of the tags.
const MAX_TEXT: usize = 128;

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Proxy that serves the clients' requests.
    Edge,
    /// Control node, which can be a voter of the register.
    Core,
    /// Storage node, which stores turns.
    Storage,
}

/// A process of the fleet, in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// IP address; there is at most one member per address.
    pub ip: Ipv4Addr,
    /// Role in the fleet.
    pub role: Role,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine.
    pub name: String,
    /// Incarnation number, see [`new_incarnation`]: a later start at the same address has a higher one.
    pub incarnation: u64,
    /// Application data that is gossiped with the member.
    pub tags: Vec<u8>,
}

impl Member {
    /// Checks that the member fits into a datagram and has a usable address.
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

/// Whether the address can belong to a single machine.
pub(crate) fn is_usable(ip: Ipv4Addr) -> bool {
    !(ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast())
}

/// Incarnation number of a process that starts now: the time, and below it `random` bits that distinguish two starts
/// within one millisecond.
pub fn new_incarnation(unix_ms: u64, random: u16) -> u64 {
    (unix_ms << 16) | u64::from(random)
}

/// State of a live member in the local view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It acknowledges probes.
    Alive,
    /// It did not acknowledge probes and may still refute the suspicion.
    Suspect,
}

/// Why a member is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    /// The address cannot belong to a single machine.
    #[error("{0} is not the address of one machine")]
    Address(Ipv4Addr),
    /// The zone, the name or the tags are too long.
    #[error("zone, name and tags may each be {MAX_TEXT} bytes long")]
    TooLong,
}

//! Datagrams: a version byte and the fleet's number, then postcard's form of the head and of the claims.

use crate::member::{Member, is_usable};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

#[cfg(test)]
mod tests;

/// Longest datagram.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the format.
const VERSION: u8 = 1;
/// Bytes of the longest count of claims.
const COUNT_BYTES: usize = 2;

/// A state of a member outranks those under lower versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Version {
    /// Which life.
    pub incarnation: u64,
    /// How often that life has refuted what was said of it.
    pub refutation: u32,
}

/// State of a member; under one version the later in this order outranks the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Status {
    Alive,
    Suspect,
    Removed,
    Left,
}

impl Status {
    /// Whether it is still a member.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// What one member says of another, or of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Claim {
    Alive { member: Member, refutation: u32 },
    Suspect { ip: Ipv4Addr, version: Version },
    Removed { ip: Ipv4Addr, version: Version },
    Left { ip: Ipv4Addr, version: Version },
}

impl Claim {
    /// Whom it is about.
    pub fn ip(&self) -> Ipv4Addr {
        match self {
            Self::Alive { member, .. } => member.ip,
            Self::Suspect { ip, .. } | Self::Removed { ip, .. } | Self::Left { ip, .. } => *ip,
        }
    }

    /// Under which version.
    pub fn version(&self) -> Version {
        match self {
            Self::Alive { member, refutation } => {
                Version { incarnation: member.incarnation, refutation: *refutation }
            }
            Self::Suspect { version, .. } | Self::Removed { version, .. } | Self::Left { version, .. } => {
                *version
            }
        }
    }

    /// What it says.
    pub fn status(&self) -> Status {
        match self {
            Self::Alive { .. } => Status::Alive,
            Self::Suspect { .. } => Status::Suspect,
            Self::Removed { .. } => Status::Removed,
            Self::Left { .. } => Status::Left,
        }
    }

    fn is_sound(&self) -> bool {
        match self {
            Self::Alive { member, .. } => member.check().is_ok(),
            _ => is_usable(self.ip()),
        }
    }

    /// In bytes; no claim's form fails.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Answer with `Ack` under this number.
    Ping { number: u32 },
    /// Ping the target, and pass its answer on under this number.
    PingRequest { number: u32, target: Ipv4Addr },
    /// The pinged one lives.
    Ack { number: u32 },
    /// Nothing but claims.
    Gossip,
    /// Asks for the page of the state after this address; without one, from the start.
    Join { after: Option<Ipv4Addr>, alone: bool },
    /// Part of the state; there is more after `next`.
    Page { next: Option<Ipv4Addr>, claims: Vec<Claim> },
    /// The sender doesn't know the receiver's life, and wants to be told.
    Unknown,
    /// The sender leaves.
    Leave,
}

/// The start of each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The sender's version.
    pub version: Version,
    /// Digest of the versions of all members that the sender sees.
    pub digest: [u8; 8],
    /// The message.
    pub body: Body,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// It is of another fleet or version.
    Stranger,
    /// It is not whole.
    Malformed,
}

/// A datagram to which claims are added while there is room.
pub(crate) struct Writer {
    head: Vec<u8>,
    count: usize,
    claims: Vec<u8>,
}

impl Writer {
    pub fn new(fleet: u32, head: &Head) -> Self {
        let mut bytes = vec![VERSION];
        bytes.extend(fleet.to_le_bytes());
        bytes.extend(postcard::to_allocvec(head).unwrap_or_default());
        Self { head: bytes, count: 0, claims: Vec::new() }
    }

    /// Adds a claim if there is room for it.
    pub fn push(&mut self, claim: &Claim) -> bool {
        let bytes = claim.encode();
        let fits = self.head.len() + COUNT_BYTES + self.claims.len() + bytes.len() <= MAX_DATAGRAM;
        if fits {
            self.claims.extend(bytes);
            self.count += 1;
        }
        fits
    }

    pub fn finish(self) -> Vec<u8> {
        let mut bytes = self.head;
        bytes.extend(postcard::to_allocvec(&self.count).unwrap_or_default());
        bytes.extend(self.claims);
        bytes
    }
}

/// Reads a datagram of this fleet.
pub(crate) fn decode(fleet: u32, bytes: &[u8]) -> Result<(Head, Vec<Claim>), DecodeError> {
    let [version, rest @ ..] = bytes else { return Err(DecodeError::Malformed) };
    let Some((number, rest)) = rest.split_first_chunk::<4>() else { return Err(DecodeError::Malformed) };
    if *version != VERSION || u32::from_le_bytes(*number) != fleet {
        return Err(DecodeError::Stranger);
    }
    if bytes.len() > MAX_DATAGRAM {
        return Err(DecodeError::Malformed);
    }
    let (head, rest): (Head, _) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    let (claims, rest): (Vec<Claim>, _) =
        postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    let page: &[Claim] = if let Body::Page { claims, .. } = &head.body { claims } else { &[] };
    if !rest.is_empty() || !page.iter().chain(&claims).all(Claim::is_sound) {
        return Err(DecodeError::Malformed);
    }
    Ok((head, claims))
}

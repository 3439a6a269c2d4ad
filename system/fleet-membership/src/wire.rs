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
    Dead,
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
pub(crate) enum Update {
    Alive { member: Member, refutation: u32 },
    Suspect { ip: Ipv4Addr, version: Version },
    Dead { ip: Ipv4Addr, version: Version },
    Left { ip: Ipv4Addr, version: Version },
}

impl Update {
    /// Whom it is about.
    pub fn ip(&self) -> Ipv4Addr {
        match self {
            Self::Alive { member, .. } => member.ip,
            Self::Suspect { ip, .. } | Self::Dead { ip, .. } | Self::Left { ip, .. } => *ip,
        }
    }

    /// Under which version.
    pub fn version(&self) -> Version {
        match self {
            Self::Alive { member, refutation } => {
                Version { incarnation: member.incarnation, refutation: *refutation }
            }
            Self::Suspect { version, .. } | Self::Dead { version, .. } | Self::Left { version, .. } => {
                *version
            }
        }
    }

    /// What it says.
    pub fn status(&self) -> Status {
        match self {
            Self::Alive { .. } => Status::Alive,
            Self::Suspect { .. } => Status::Suspect,
            Self::Dead { .. } => Status::Dead,
            Self::Left { .. } => Status::Left,
        }
    }

    fn is_valid(&self) -> bool {
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
pub(crate) enum Message {
    /// Answer with `Ack` under this number.
    Ping { sequence_number: u32 },
    /// Ping the target, and pass its answer on under this number.
    PingRequest { sequence_number: u32, target: Ipv4Addr },
    /// The pinged one lives.
    Ack { sequence_number: u32 },
    /// Nothing but claims.
    Gossip,
    /// Asks for the page of the state after this address; without one, from the start.
    SyncRequest { after: Option<Ipv4Addr>, is_isolated: bool },
    /// Part of the state; there is more after `next`.
    SyncPage { next: Option<Ipv4Addr>, updates: Vec<Update> },
    /// The sender doesn't know the receiver's life, and wants to be told.
    IdentityRequest,
    /// The sender leaves.
    Leave,
}

/// The start of each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The sender's version.
    pub version: Version,
    /// Digest of the versions of all members that the sender sees.
    pub digest: [u8; 8],
    /// The message.
    pub body: Message,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// It is of another fleet or version.
    Foreign,
    /// It is not whole.
    Malformed,
}

/// A datagram to which claims are added while there is room.
pub(crate) struct DatagramWriter {
    header: Vec<u8>,
    count: usize,
    updates: Vec<u8>,
}

impl DatagramWriter {
    pub fn new(fleet: u32, header: &Header) -> Self {
        let mut bytes = vec![VERSION];
        bytes.extend(fleet.to_le_bytes());
        bytes.extend(postcard::to_allocvec(header).unwrap_or_default());
        Self { header: bytes, count: 0, updates: Vec::new() }
    }

    /// Adds a claim if there is room for it.
    pub fn push(&mut self, update: &Update) -> bool {
        let bytes = update.encode();
        let fits = self.header.len() + COUNT_BYTES + self.updates.len() + bytes.len() <= MAX_DATAGRAM;
        if fits {
            self.updates.extend(bytes);
            self.count += 1;
        }
        fits
    }

    pub fn finish(self) -> Vec<u8> {
        let mut bytes = self.header;
        bytes.extend(postcard::to_allocvec(&self.count).unwrap_or_default());
        bytes.extend(self.updates);
        bytes
    }
}

/// Reads a datagram of this fleet.
pub(crate) fn decode(fleet: u32, bytes: &[u8]) -> Result<(Header, Vec<Update>), DecodeError> {
    let [version, rest @ ..] = bytes else { return Err(DecodeError::Malformed) };
    let Some((number, rest)) = rest.split_first_chunk::<4>() else { return Err(DecodeError::Malformed) };
    if *version != VERSION || u32::from_le_bytes(*number) != fleet {
        return Err(DecodeError::Foreign);
    }
    if bytes.len() > MAX_DATAGRAM {
        return Err(DecodeError::Malformed);
    }
    let (header, rest): (Header, _) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    let (updates, rest): (Vec<Update>, _) =
        postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    let state_page: &[Update] =
        if let Message::SyncPage { updates, .. } = &header.body { updates } else { &[] };
    if !rest.is_empty() || !state_page.iter().chain(&updates).all(Update::is_valid) {
        return Err(DecodeError::Malformed);
    }
    Ok((header, updates))
}

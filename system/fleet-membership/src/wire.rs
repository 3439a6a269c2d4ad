//! Datagram format: a version byte and the fleet number, then the header and the updates in postcard encoding. Postcard
//! encodes fields and variants by position: their order is part of the format.

use crate::member::{Member, is_usable};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

#[cfg(test)]
mod tests;

/// Maximum length of a datagram in bytes.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the datagram format.
const VERSION: u8 = 1;
/// Maximum length in bytes of the encoded number of updates.
const COUNT_BYTES: usize = 2;

/// Version of a member's state: the higher one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Version {
    /// Incarnation number of the member.
    pub incarnation: u64,
    /// Number of refutations in this incarnation.
    pub refutation: u32,
}

/// State of a member; at equal versions the later in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Status {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl Status {
    /// Whether the member counts as live.
    pub(crate) fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// An update about the state of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Update {
    Alive { member: Member, refutation: u32 },
    Suspect { ip: Ipv4Addr, version: Version },
    Dead { ip: Ipv4Addr, version: Version },
    Left { ip: Ipv4Addr, version: Version },
}

impl Update {
    /// Address of the member that it is about.
    pub(crate) fn ip(&self) -> Ipv4Addr {
        match self {
            Self::Alive { member, .. } => member.ip,
            Self::Suspect { ip, .. } | Self::Dead { ip, .. } | Self::Left { ip, .. } => *ip,
        }
    }

    /// Version of the state.
    pub(crate) fn version(&self) -> Version {
        match self {
            Self::Alive { member, refutation } => {
                Version { incarnation: member.incarnation, refutation: *refutation }
            }
            Self::Suspect { version, .. } | Self::Dead { version, .. } | Self::Left { version, .. } => {
                *version
            }
        }
    }

    /// State that it reports.
    pub(crate) fn status(&self) -> Status {
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

    /// Encodes the update; the encoding of these types cannot fail.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Direct probe: the receiver replies with `Ack` and the same sequence number.
    Ping { sequence_number: u32 },
    /// Request for an indirect probe: the receiver pings the target and relays its acknowledgement.
    PingRequest { sequence_number: u32, target: Ipv4Addr },
    /// Acknowledgement of a probe.
    Ack { sequence_number: u32 },
    /// No message; the datagram carries updates only.
    Gossip,
    /// Requests the page of the full state after an address, or the first page; also a request to join.
    SyncRequest { after: Option<Ipv4Addr>, is_isolated: bool },
    /// One page of the full state; another one follows if `next` is given.
    SyncPage { next: Option<Ipv4Addr>, updates: Vec<Update> },
    /// The sender does not know the receiver's incarnation and requests its state.
    IdentityRequest,
    /// The sender leaves the fleet.
    Leave,
}

/// Header of each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// Version of the sender's own state.
    pub version: Version,
    /// Digest of the versions of all members in the sender's view.
    pub digest: [u8; 8],
    /// The message itself.
    pub body: Message,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// It is of another fleet or format version.
    Foreign,
    /// It could not be decoded.
    Malformed,
}

/// Builds a datagram and adds updates while there is capacity.
pub(crate) struct DatagramWriter {
    header: Vec<u8>,
    count: usize,
    updates: Vec<u8>,
}

impl DatagramWriter {
    pub(crate) fn new(fleet: u32, header: &Header) -> Self {
        let mut bytes = vec![VERSION];
        bytes.extend(fleet.to_le_bytes());
        bytes.extend(postcard::to_allocvec(header).unwrap_or_default());
        Self { header: bytes, count: 0, updates: Vec::new() }
    }

    /// Adds an update if it fits; returns whether it did.
    pub(crate) fn push(&mut self, update: &Update) -> bool {
        let bytes = update.encode();
        let fits = self.header.len() + COUNT_BYTES + self.updates.len() + bytes.len() <= MAX_DATAGRAM;
        if fits {
            self.updates.extend(bytes);
            self.count += 1;
        }
        fits
    }

    pub(crate) fn finish(self) -> Vec<u8> {
        let mut bytes = self.header;
        bytes.extend(postcard::to_allocvec(&self.count).unwrap_or_default());
        bytes.extend(self.updates);
        bytes
    }
}

/// Decodes a datagram of this fleet.
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

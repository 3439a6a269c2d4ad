//! Wire format between peers: a header with protocol version, hash of the fleet's name and checksum, then one packet
//! encoded with postcard.
use crate::member_list::{Change, Info, MemberList};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Protocol version. Packets of any other version are rejected.
const VERSION: u8 = 1;
/// Largest datagram, in bytes: it fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest frame on a connection, in bytes: room for the member list of the largest fleet.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Version, hash of the fleet's name, checksum.
const HEADER_BYTES: usize = 1 + 8 + 4;

/// Identity of one sender process towards its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Random ID of its data folder, which stays the same across restarts.
    pub folder: u64,
    /// Number of the process start on that folder.
    pub incarnation: u32,
    /// How often this process was declared down and rejoined.
    pub renewals: u32,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

impl foca::Identity for Identity {
    // The folder ID survives a restart; the address may belong to another sender by then.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(Self { renewals: self.renewals.saturating_add(1), ..*self })
    }

    fn addr(&self) -> u64 {
        self.folder
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.incarnation, self.renewals, self.address)
            > (adversary.incarnation, adversary.renewals, adversary.address)
    }
}

/// Message to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// A sender without a fleet looks for one.
    Hello,
    /// A seed without a fleet promises to join the fleet of the founder with this folder ID, and describes itself.
    Promise { founder: u64, incarnation: u32, boot: u64, info: Info },
    /// Fleet, epoch and number of the sender's member list.
    Digest { fleet: u64, epoch: u32, number: u64 },
    /// Requests the changes after this version of the member list.
    Pull { epoch: u32, number: u64 },
    /// The changes after the number `after`.
    Changes { fleet: u64, epoch: u32, after: u64, changes: Vec<Change> },
    /// The complete member list, for a peer that is too far behind for `Changes`.
    FullList(Box<MemberList>),
    /// A change proposed to the voters.
    Propose(Change),
    /// Rejects a start: the process that is known under this folder ID still answers, at another address.
    Refused { boot: u64, incarnation: u32 },
    /// A consensus message between voters of one group.
    Voter { fleet: u64, epoch: u32, group: u32, message: Box<Message<Change>> },
    /// Consensus messages of this voter may have been lost with a connection; the receiver should request them again.
    Resync { group: u32 },
    /// A message of the failure detector.
    Swim { fleet: u64, data: Vec<u8> },
}

/// Why a received packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The packet has this protocol version, which is not the one of this sender.
    #[error("packet has protocol version {0}, expected {VERSION}")]
    Version(u8),
    /// The packet was sent in a fleet with another name.
    #[error("packet is from another fleet")]
    Fleet,
    /// The packet was damaged in transit or does not belong to this protocol.
    #[error("packet is too short or has a wrong checksum")]
    Damaged,
    /// The checksum matches, but this version cannot decode the payload.
    #[error("packet payload cannot be decoded")]
    Unreadable,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    from: Identity,
    packet: Packet,
}

/// Encodes a packet; `None` if postcard cannot serialize it.
pub(crate) fn encode(fleet_hash: u64, from: Identity, packet: Packet) -> Option<Vec<u8>> {
    let mut header = Vec::with_capacity(128);
    header.push(VERSION);
    header.extend(fleet_hash.to_le_bytes());
    header.extend([0; 4]);
    let mut bytes = postcard::to_extend(&Envelope { from, packet }, header).ok()?;
    let checksum = checksum(&bytes);
    bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Some(bytes)
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..HEADER_BYTES - 4]);
    hasher.update(&bytes[HEADER_BYTES..]);
    hasher.finalize()
}

/// Verifies and decodes a packet; the result has the identity of its sender.
pub(crate) fn decode(fleet_hash: u64, bytes: &[u8]) -> Result<(Identity, Packet), WireError> {
    let (header, payload) = bytes.split_at_checked(HEADER_BYTES).ok_or(WireError::Damaged)?;
    let expected_checksum =
        header[HEADER_BYTES - 4..].try_into().map(u32::from_le_bytes).map_err(|_| WireError::Damaged)?;
    if checksum(bytes) != expected_checksum {
        return Err(WireError::Damaged);
    }
    if header[0] != VERSION {
        return Err(WireError::Version(header[0]));
    }
    if header[1..9] != fleet_hash.to_le_bytes() {
        return Err(WireError::Fleet);
    }
    let envelope: Envelope = postcard::from_bytes(payload).map_err(|_| WireError::Unreadable)?;
    Ok((envelope.from, envelope.packet))
}

#[cfg(test)]
mod tests;

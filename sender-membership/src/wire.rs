//! What peers tell each other: a version, the fleet's name and a checksum round one packet, in postcard.
use crate::member_list::{Change, Info, MemberList};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of all this. A peer of another one is not understood, and not guessed at.
const VERSION: u8 = 1;
/// The longest datagram, in bytes: it fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The longest frame of a connection, in bytes: the record of the largest fleet.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// Version, fleet's name, checksum.
const HEAD: usize = 1 + 8 + 4;

/// A process of a sender, as its peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The folder that it runs on.
    pub folder: u64,
    /// Its start on that folder.
    pub incarnation: u32,
    /// How often it was held lost in that start, and came back.
    pub returns: u32,
    /// Where peers reach it.
    pub address: SocketAddr,
}

impl foca::Identity for Identity {
    // A folder is what is the same after a restart; an address may be another sender's by then.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(Self { returns: self.returns.saturating_add(1), ..*self })
    }

    fn addr(&self) -> u64 {
        self.folder
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.incarnation, self.returns, self.address)
            > (adversary.incarnation, adversary.returns, adversary.address)
    }
}

/// What a packet holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// A blank sender asks what fleet there is.
    Hello,
    /// A blank seed follows the founder with this folder, and tells of itself.
    Promise { founder: u64, incarnation: u32, boot: u64, info: Info },
    /// The newest record here: what fleet this is, and how far.
    Digest { fleet: u64, epoch: u32, number: u64 },
    /// Wants what follows this.
    Pull { epoch: u32, number: u64 },
    /// The steps after a number.
    Steps { fleet: u64, epoch: u32, after: u64, changes: Vec<Change> },
    /// The whole record.
    Whole(Box<MemberList>),
    /// A step, for the voters to agree on.
    Propose(Change),
    /// A start is not agreed on: the process that this folder is known by answers, at another address.
    Refused { boot: u64, incarnation: u32 },
    /// Between voters of one group.
    Voter { fleet: u64, epoch: u32, group: u32, message: Box<Message<Change>> },
    /// What this voter told on a connection may be lost: ask for it anew.
    Again { group: u32 },
    /// Whether one lives.
    Swim { fleet: u64, data: Vec<u8> },
}

/// Why bytes are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Another version of all this.
    #[error("version {0}, and this is {VERSION}")]
    Version(u8),
    /// Of a fleet with another name.
    #[error("of another fleet")]
    Fleet,
    /// Damaged on the way, or nothing of ours.
    #[error("damaged or not ours")]
    Damaged,
    /// Sound, but nothing that this version reads.
    #[error("not to be read")]
    Unreadable,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    from: Identity,
    packet: Packet,
}

/// The bytes of a packet.
pub(crate) fn encode(fleet: u64, from: Identity, packet: Packet) -> Option<Vec<u8>> {
    let mut head = Vec::with_capacity(128);
    head.push(VERSION);
    head.extend(fleet.to_le_bytes());
    head.extend([0; 4]);
    let mut bytes = postcard::to_extend(&Envelope { from, packet }, head).ok()?;
    let sum = checksum(&bytes);
    bytes[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
    Some(bytes)
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..HEAD - 4]);
    sum.update(&bytes[HEAD..]);
    sum.finalize()
}

/// The packet of some bytes, and who sent it.
pub(crate) fn decode(fleet: u64, bytes: &[u8]) -> Result<(Identity, Packet), WireError> {
    let (head, rest) = bytes.split_at_checked(HEAD).ok_or(WireError::Damaged)?;
    let sum = head[HEAD - 4..].try_into().map(u32::from_le_bytes).map_err(|_| WireError::Damaged)?;
    if checksum(bytes) != sum {
        return Err(WireError::Damaged);
    }
    if head[0] != VERSION {
        return Err(WireError::Version(head[0]));
    }
    if head[1..9] != fleet.to_le_bytes() {
        return Err(WireError::Fleet);
    }
    let envelope: Envelope = postcard::from_bytes(rest).map_err(|_| WireError::Unreadable)?;
    Ok((envelope.from, envelope.packet))
}

#[cfg(test)]
mod tests;

//! Output of the protocol for its host: datagrams to send, membership events, counters.

use crate::member::Member;
use crate::table::Entry;
use crate::wire::Status;
use std::net::Ipv4Addr;

/// An action that the host carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: Ipv4Addr,
        /// Payload of the datagram.
        bytes: Vec<u8>,
    },
    /// A member's state has changed.
    Event(MemberEvent),
}

/// A change of a member's state. A restart is reported as `Removed` of the old incarnation and `Joined` of the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The member has joined.
    Joined(Member),
    /// The member did not acknowledge probes and is suspected.
    Suspected(Member),
    /// The member has refuted the suspicion.
    Refuted(Member),
    /// The member has left voluntarily.
    Left(Member),
    /// The member was declared dead.
    Removed(Member),
}

impl MemberEvent {
    /// The events that follow when an entry of the member table is replaced.
    pub(crate) fn between(before: Option<&Entry>, after: &Entry) -> Vec<Self> {
        let mut changes = Self::liveness_events(before, after);
        let was_suspect = before.is_some_and(|before| before.status == Status::Suspect);
        let is_suspect = after.status == Status::Suspect;
        if is_suspect && (!was_suspect || is_new_incarnation(before, after)) {
            changes.extend(after.member.clone().map(Self::Suspected));
        }
        changes
    }

    fn liveness_events(before: Option<&Entry>, after: &Entry) -> Vec<Self> {
        let former = before.and_then(|before| before.member.clone());
        let former_status = before.map(|before| before.status).filter(|status| status.is_live());
        let is_new_incarnation = is_new_incarnation(before, after);
        match (former_status, former, after.member.clone()) {
            (None, _, Some(member)) if after.status.is_live() => vec![Self::Joined(member)],
            (Some(_), Some(former), Some(member)) if after.status.is_live() && is_new_incarnation => {
                vec![Self::Removed(former), Self::Joined(member)]
            }
            (Some(Status::Suspect), _, Some(member)) if after.status == Status::Alive => {
                vec![Self::Refuted(member)]
            }
            (Some(_), Some(former), _) if after.status == Status::Dead => vec![Self::Removed(former)],
            (Some(_), Some(former), _) if after.status == Status::Left => vec![Self::Left(former)],
            _ => Vec::new(),
        }
    }
}

fn is_new_incarnation(before: Option<&Entry>, after: &Entry) -> bool {
    before.is_some_and(|before| before.version.incarnation != after.version.incarnation)
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams dropped because they are of another fleet or format version.
    pub foreign_datagrams: u64,
    /// Datagrams dropped because they could not be decoded.
    pub malformed_datagrams: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Payload bytes sent, without UDP and IP headers.
    pub bytes_sent: u64,
    /// Stalls of this process that were detected by a late tick.
    pub stalls: u64,
    /// Suspicions and death reports about this process that it refuted.
    pub refutations: u64,
}

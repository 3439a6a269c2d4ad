//! What the protocol tells its caller: datagrams to send, changes of members' states, counters.

use crate::member::Member;
use crate::table::Entry;
use crate::wire::Status;
use std::net::Ipv4Addr;

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To this address.
        to: Ipv4Addr,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Take note: a member's state has changed.
    Event(MemberEvent),
}

/// A change of a member's state. A restart is told as `Removed` of the former life and `Joined` of the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// It is there.
    Joined(Member),
    /// It doesn't answer.
    Suspected(Member),
    /// It has refuted the suspicion.
    Refuted(Member),
    /// It went by itself.
    Left(Member),
    /// It is gone.
    Removed(Member),
}

impl MemberEvent {
    /// What becomes known when an entry of the table is replaced.
    pub(crate) fn between(before: Option<&Entry>, after: &Entry) -> Vec<Self> {
        let mut changes = Self::of_liveness(before, after);
        let was_suspect = before.is_some_and(|before| before.status == Status::Suspect);
        let is_suspect = after.status == Status::Suspect;
        if is_suspect && (!was_suspect || is_new_life(before, after)) {
            changes.extend(after.member.clone().map(Self::Suspected));
        }
        changes
    }

    fn of_liveness(before: Option<&Entry>, after: &Entry) -> Vec<Self> {
        let former = before.and_then(|before| before.member.clone());
        let former_status = before.map(|before| before.status).filter(|status| status.is_live());
        let is_new_life = is_new_life(before, after);
        match (former_status, former, after.member.clone()) {
            (None, _, Some(member)) if after.status.is_live() => vec![Self::Joined(member)],
            (Some(_), Some(former), Some(member)) if after.status.is_live() && is_new_life => {
                vec![Self::Removed(former), Self::Joined(member)]
            }
            (Some(Status::Suspect), _, Some(member)) if after.status == Status::Alive => {
                vec![Self::Refuted(member)]
            }
            (Some(_), Some(former), _) if after.status == Status::Removed => vec![Self::Removed(former)],
            (Some(_), Some(former), _) if after.status == Status::Left => vec![Self::Left(former)],
            _ => Vec::new(),
        }
    }
}

fn is_new_life(before: Option<&Entry>, after: &Entry) -> bool {
    before.is_some_and(|before| before.version.incarnation != after.version.incarnation)
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Dropped datagrams of another fleet or version.
    pub foreign_datagrams: u64,
    /// Dropped datagrams that could not be read.
    pub malformed_datagrams: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their bytes, without headers of UDP and IP.
    pub bytes_sent: u64,
    /// Times that this process noticed it had had no time.
    pub stalls: u64,
    /// Times that this process refuted a suspicion or its removal.
    pub refutations: u64,
}

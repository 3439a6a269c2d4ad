//! Which change of the members a leader proposes next.
//!
//! The voters of the configuration register decide which nodes take part; a change there is followed here by one entry for each
//! node that joined, left or came back with an empty disk.

use fleet_model::{LogMember, ReplicaId};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// What the leader knows of the replica at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownReplica {
    /// The replica that replied last from there.
    pub replica: ReplicaId,
    /// Whether that was recently.
    pub is_responsive: bool,
}

/// The members after the next change, if one is due: in this order, a replica that lost its disk is replaced, a voter added, and a
/// node that is no voter any more removed. No change is made after which no majority of the members is known to respond.
pub fn next_members(
    members: &[LogMember],
    voters: &[Ipv4Addr],
    known: &BTreeMap<Ipv4Addr, KnownReplica>,
) -> Option<Vec<LogMember>> {
    let responsive =
        |ip: &Ipv4Addr| known.get(ip).filter(|known| known.is_responsive).map(|known| known.replica);
    let replaced = members.iter().position(|member| {
        voters.contains(&member.ip) && responsive(&member.ip).is_some_and(|replica| replica != member.replica)
    });
    let added =
        voters.iter().find(|ip| members.iter().all(|member| member.ip != **ip) && responsive(ip).is_some());
    let removed = members.iter().position(|member| !voters.contains(&member.ip));
    let mut next = members.to_vec();
    if let Some(index) = replaced {
        next[index].replica = responsive(&next[index].ip)?;
    } else if let Some(ip) = added {
        next.push(LogMember { ip: *ip, replica: responsive(ip)? });
    } else if !voters.is_empty() {
        next.remove(removed?);
    } else {
        return None;
    }
    let live = next.iter().filter(|member| responsive(&member.ip) == Some(member.replica)).count();
    (live > next.len() / 2).then_some(next)
}

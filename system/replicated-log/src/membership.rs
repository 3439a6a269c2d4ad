//! Selects the next membership change that a leader proposes.
//!
//! The voter list in the configuration register decides which nodes are members. The log follows it with one entry for each node
//! that joined, left or returned with an empty disk.

use fleet_model::{LogMember, ReplicaId};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// The replica that a leader has last seen at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownReplica {
    /// Sender of the last reply from the address. It changes when a node returns with an empty disk.
    pub replica: ReplicaId,
    /// Whether the last reply is recent; the host sets the time limit.
    pub is_responsive: bool,
}

/// The members after the next change; `None` if no change is due or safe.
///
/// The first of these changes that applies is made: replace a replica that lost its disk, add a voter, remove a node that is no
/// longer a voter. A change is not made unless a majority of the resulting members is responsive.
pub fn next_members(
    members: &[LogMember],
    voters: &[Ipv4Addr],
    known: &BTreeMap<Ipv4Addr, KnownReplica>,
) -> Option<Vec<LogMember>> {
    let responsive =
        |ip: &Ipv4Addr| known.get(ip).filter(|known| known.is_responsive).map(|known| known.replica);
    let replaced_index = members.iter().position(|member| {
        voters.contains(&member.ip) && responsive(&member.ip).is_some_and(|replica| replica != member.replica)
    });
    let added_ip =
        voters.iter().find(|ip| members.iter().all(|member| member.ip != **ip) && responsive(ip).is_some());
    let removed_index = members.iter().position(|member| !voters.contains(&member.ip));
    let mut next = members.to_vec();
    if let Some(index) = replaced_index {
        next[index].replica = responsive(&next[index].ip)?;
    } else if let Some(ip) = added_ip {
        next.push(LogMember { ip: *ip, replica: responsive(ip)? });
    } else if !voters.is_empty() {
        next.remove(removed_index?);
    } else {
        return None;
    }
    let responsive_count =
        next.iter().filter(|member| responsive(&member.ip) == Some(member.replica)).count();
    (responsive_count > next.len() / 2).then_some(next)
}

//! Placement of turns and accounts on storage nodes by the roster, for those who write and read them.

use fleet_model::{QuorumSizes, Reservation, Roster, StorageNode, account_replicas};
use std::collections::{BTreeMap, BTreeSet};

/// How a proxy prefers a storage node for a copy; the smaller one is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodePreference<K> {
    /// Whether the node does not respond.
    pub is_down: bool,
    /// Whether it is in another zone than the proxy.
    pub is_remote: bool,
    /// Its rank among otherwise equal nodes, lowest first.
    pub rank: K,
}

/// The storage nodes that may store a turn, best first: while the roster changes, those in both sets before the others; then
/// by `order`, with nodes of a zone that has one already after those of other zones, since a zone may fail as a whole.
pub fn copy_order<K: Ord>(
    roster: &Roster,
    order: impl Fn(&StorageNode) -> NodePreference<K>,
) -> Vec<&StorageNode> {
    let next = roster.next.as_deref().unwrap_or(&roster.current);
    let mut nodes: Vec<&StorageNode> = roster.current.iter().collect();
    nodes.extend(next.iter().filter(|node| !roster.current.contains(node)));
    let in_both = |node: &StorageNode| roster.current.contains(node) && next.contains(node);
    nodes.sort_by_key(|node| {
        let NodePreference { is_down, is_remote, rank } = order(node);
        (is_down, !in_both(node), is_remote, rank)
    });
    let mut zones: BTreeSet<&str> = BTreeSet::new();
    let mut ordered: Vec<(bool, bool, bool, &StorageNode)> = nodes
        .into_iter()
        .map(|node| (order(node).is_down, !in_both(node), !zones.insert(&node.zone), node))
        .collect();
    ordered.sort_by_key(|(down, single, repeated, _)| (*down, *single, *repeated));
    ordered.into_iter().map(|(.., node)| node).collect()
}

/// Whether a turn on these disks has enough copies in each of the current and the next set: while the roster changes,
/// either of them may become the only one. A set with fewer nodes than `copies` has one on each of them.
pub fn has_copies(roster: &Roster, stored: &BTreeSet<u64>, copies: usize) -> bool {
    let has_enough = |nodes: &[StorageNode]| {
        nodes.iter().filter(|node| stored.contains(&node.disk)).count() >= copies.min(nodes.len())
    };
    !roster.current.is_empty() && has_enough(&roster.current) && roster.next.as_deref().is_none_or(has_enough)
}

/// Whether no copy of an acknowledged turn can exist, if these disks, each of them in sync, do not have it.
pub fn is_surely_absent(roster: &Roster, absent: &BTreeSet<u64>, losses: usize) -> bool {
    let count = roster.current.iter().filter(|node| absent.contains(&node.disk)).count();
    QuorumSizes::for_machines(roster.current.len(), losses).is_some_and(|sizes| count >= sizes.absent)
}

/// The disks of the shortest prefix of `nodes` that gives a turn enough copies, if there is one.
pub fn copies_needed(roster: &Roster, nodes: &[&StorageNode], copies: usize) -> Option<Vec<u64>> {
    let disks: Vec<u64> = nodes.iter().map(|node| node.disk).collect();
    (1..=disks.len())
        .map(|count| &disks[..count])
        .find(|disks| has_copies(roster, &disks.iter().copied().collect(), copies))
        .map(<[u64]>::to_vec)
}

/// The access that a quorum of an account's replicas is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    Write,
    Read,
}

/// The replicas of an account: in the current set, and in the next one while a change is in progress.
pub struct AccountReplicas<'a> {
    /// In the current set.
    pub current: Vec<&'a StorageNode>,
    /// In the next set; empty if there is none.
    pub next: Vec<&'a StorageNode>,
    losses: usize,
    access: Access,
}

impl<'a> AccountReplicas<'a> {
    /// The replicas of a program's account, for writes; `None` before there is a current set.
    pub fn for_program(roster: &'a Roster, program: &str, losses: usize) -> Option<Self> {
        if roster.current.is_empty() {
            return None;
        }
        let next = roster.next.as_ref().map(|next| account_replicas(next, program, losses));
        Some(Self {
            current: account_replicas(&roster.current, program, losses),
            next: next.unwrap_or_default(),
            losses,
            access: Access::Write,
        })
    }

    /// The replicas in the current set, for reads.
    pub fn current_only(&self) -> Self {
        Self { current: self.current.clone(), next: Vec::new(), losses: self.losses, access: Access::Read }
    }

    /// The replicas in both sets, each once.
    pub fn all(&self) -> impl Iterator<Item = &'a StorageNode> {
        let further = self.next.iter().filter(|node| !self.current.contains(node));
        self.current.iter().chain(further).copied()
    }

    /// Whether these disks are a quorum for the access in each set.
    pub fn is_quorum(&self, answered: &BTreeSet<u64>) -> bool {
        self.answers_suffice(&self.current, answered) && self.answers_suffice(&self.next, answered)
    }

    fn answers_suffice(&self, replicas: &[&StorageNode], answered: &BTreeSet<u64>) -> bool {
        // A set has as many replicas of an account as its size allows, so their quorums are those of the set.
        let Some(sizes) = QuorumSizes::for_machines(replicas.len(), self.losses) else { return true };
        let needed = match self.access {
            Access::Write => sizes.write,
            Access::Read => sizes.read,
        };
        replicas.iter().filter(|node| answered.contains(&node.disk)).count() >= needed
    }
}

/// Merges reservations into an account: of two counts of one attempt the lower one holds.
pub fn merge_reservations(
    account: &mut BTreeMap<u64, u32>,
    reservations: impl IntoIterator<Item = Reservation>,
) {
    for Reservation { attempt, tokens } in reservations {
        account.entry(attempt).and_modify(|known| *known = tokens.min(*known)).or_insert(tokens);
    }
}

//! Placement of turns and accounts on storage nodes by the roster, for those who write and read them.

use fleet_model::{QuorumSizes, Reservation, Roster, StorageNode, account_replicas};
use std::collections::{BTreeMap, BTreeSet};

/// The storage nodes that may store a turn, best first: while the roster changes, those in both sets before the others; then
/// by `order`, with nodes of a zone that has one already after those of other zones, since a zone may fail as a whole.
///
/// `order` returns whether a node is down, whether it is in a remote zone, and its rank among otherwise equal ones.
pub fn copy_order<K: Ord>(
    roster: &Roster,
    order: impl Fn(&StorageNode) -> (bool, bool, K),
) -> Vec<&StorageNode> {
    let next = roster.next.as_deref().unwrap_or(&roster.current);
    let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
    stores.extend(next.iter().filter(|store| !roster.current.contains(store)));
    let in_both = |store: &StorageNode| roster.current.contains(store) && next.contains(store);
    stores.sort_by_key(|store| {
        let (down, far, rank) = order(store);
        (down, !in_both(store), far, rank)
    });
    let mut zones: BTreeSet<&str> = BTreeSet::new();
    let mut placed: Vec<(bool, bool, bool, &StorageNode)> = stores
        .into_iter()
        .map(|store| (order(store).0, !in_both(store), !zones.insert(&store.zone), store))
        .collect();
    placed.sort_by_key(|(down, single, repeated, _)| (*down, *single, *repeated));
    placed.into_iter().map(|(.., store)| store).collect()
}

/// Whether a turn on these disks has enough copies in each of the current and the next set: while the roster changes,
/// either of them may become the only one. A set with fewer nodes than `copies` has one on each of them.
pub fn has_copies(roster: &Roster, stored: &BTreeSet<u64>, copies: usize) -> bool {
    let has_enough = |stores: &[StorageNode]| {
        stores.iter().filter(|store| stored.contains(&store.disk)).count() >= copies.min(stores.len())
    };
    !roster.current.is_empty() && has_enough(&roster.current) && roster.next.as_deref().is_none_or(has_enough)
}

/// Whether no copy of an acknowledged turn can exist, if these disks, each of them in sync, do not have it.
pub fn is_surely_absent(roster: &Roster, absent: &BTreeSet<u64>, losses: usize) -> bool {
    let count = roster.current.iter().filter(|store| absent.contains(&store.disk)).count();
    QuorumSizes::for_machines(roster.current.len(), losses).is_some_and(|sizes| count >= sizes.absent)
}

/// The disks of the shortest prefix of `stores` that gives a turn enough copies, if there is one.
pub fn copies_needed(roster: &Roster, stores: &[&StorageNode], copies: usize) -> Option<Vec<u64>> {
    let disks: Vec<u64> = stores.iter().map(|store| store.disk).collect();
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
        let further = self.next.iter().filter(|store| !self.current.contains(store));
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
        replicas.iter().filter(|store| answered.contains(&store.disk)).count() >= needed
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

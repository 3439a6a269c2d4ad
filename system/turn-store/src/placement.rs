//! Where turns and accounts are kept, as one who writes and reads them goes by the roster.

use fleet_model::{QuorumSizes, Reservation, Roster, StorageNode, account_replicas};
use std::collections::{BTreeMap, BTreeSet};

/// The machines that may hold a turn, best first: while the roster changes, those that are in both sets before the others;
/// then by `order`, with machines of a zone that has one already after those of others, since a zone may go as a whole.
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

/// Whether a turn on these disks has its copies, in each of the sets that count: while the roster changes, whichever of
/// them comes to stand must hold it by itself. A set with fewer machines than `copies` has one on each of them.
pub fn has_copies(roster: &Roster, kept: &BTreeSet<u64>, copies: usize) -> bool {
    let held = |stores: &[StorageNode]| {
        stores.iter().filter(|store| kept.contains(&store.disk)).count() >= copies.min(stores.len())
    };
    !roster.current.is_empty() && held(&roster.current) && roster.next.as_deref().is_none_or(held)
}

/// Whether no copy of a turn can exist that was answered whole, if these disks, each of them full, do not have it.
pub fn is_surely_absent(roster: &Roster, absent: &BTreeSet<u64>, losses: usize) -> bool {
    let count = roster.current.iter().filter(|store| absent.contains(&store.disk)).count();
    QuorumSizes::for_machines(roster.current.len(), losses).is_some_and(|sizes| count >= sizes.absent)
}

/// The first of `stores` that give a turn its copies, if all of them do.
pub fn copies_needed(roster: &Roster, stores: &[&StorageNode], copies: usize) -> Option<Vec<u64>> {
    let disks: Vec<u64> = stores.iter().map(|store| store.disk).collect();
    (1..=disks.len())
        .map(|count| &disks[..count])
        .find(|disks| has_copies(roster, &disks.iter().copied().collect(), copies))
        .map(<[u64]>::to_vec)
}

/// What a quorum of an account's holders is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    Write,
    Read,
}

/// Who holds an account: among the current machines, and among the next ones while a change is under way.
pub struct AccountReplicas<'a> {
    /// Among the current machines.
    pub current: Vec<&'a StorageNode>,
    /// Among the next ones.
    pub next: Vec<&'a StorageNode>,
    losses: usize,
    access: Access,
}

impl<'a> AccountReplicas<'a> {
    /// Those of a program, to be written; none before the roster is founded.
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

    /// The current ones, which are read.
    pub fn current_only(&self) -> Self {
        Self { current: self.current.clone(), next: Vec::new(), losses: self.losses, access: Access::Read }
    }

    /// All of them, which are written.
    pub fn all(&self) -> impl Iterator<Item = &'a StorageNode> {
        let further = self.next.iter().filter(|store| !self.current.contains(store));
        self.current.iter().chain(further).copied()
    }

    /// Whether these are a quorum for the access in each set.
    pub fn is_quorum(&self, answered: &BTreeSet<u64>) -> bool {
        self.answers_suffice(&self.current, answered) && self.answers_suffice(&self.next, answered)
    }

    fn answers_suffice(&self, replicas: &[&StorageNode], answered: &BTreeSet<u64>) -> bool {
        // Of a set's machines its holders are as many as they may be: their sizes are the set's.
        let Some(sizes) = QuorumSizes::for_machines(replicas.len(), self.losses) else { return true };
        let needed = match self.access {
            Access::Write => sizes.write,
            Access::Read => sizes.read,
        };
        replicas.iter().filter(|store| answered.contains(&store.disk)).count() >= needed
    }
}

/// Takes reservations in: of two records of one try the lower count holds.
pub fn merge_reservations(
    account: &mut BTreeMap<u64, u32>,
    reservations: impl IntoIterator<Item = Reservation>,
) {
    for Reservation { attempt, tokens } in reservations {
        account.entry(attempt).and_modify(|known| *known = tokens.min(*known)).or_insert(tokens);
    }
}

use fleet_model::{ControlState, Roster, StorageNode};

/// How far a retire is, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireVerdict {
    /// The machine is being emptied.
    Active,
    /// It is empty and out.
    Completed,
    /// Nobody has asked for it.
    Serving,
    /// There is no machine of this name.
    Unknown,
    /// Too few machines would be left.
    TooFew {
        /// So many.
        left: usize,
    },
}

/// The next set, whether or not a change is under way.
pub fn proposed_nodes(roster: &Roster) -> &[StorageNode] {
    roster.next.as_deref().unwrap_or(&roster.current)
}

/// How many of these are not to be emptied.
fn staying(roster: &Roster, stores: &[StorageNode]) -> usize {
    stores.iter().filter(|store| !roster.retiring.contains(&store.name)).count()
}

/// The roster with another next set: the epoch rises, and nobody is full yet.
fn with_next(state: &ControlState, next: Vec<StorageNode>) -> ControlState {
    let mut state = state.clone();
    state.roster.epoch += 1;
    state.roster.in_sync.clear();
    state.roster.next = (next != state.roster.current).then_some(next);
    state
}

/// Whether the next set without this member would be the current one. Then nobody would fill, and what was meanwhile kept
/// by the member and one other would have that one copy: such a change is carried through, and the member leaves after.
pub(crate) fn would_abandon(roster: &Roster, store: &StorageNode) -> bool {
    let Some(next) = &roster.next else { return false };
    !roster.current.contains(store) && next.iter().filter(|other| *other != store).eq(roster.current.iter())
}

/// Takes a storage machine in. One of its name or address with another disk has lost that disk, or is replaced.
///
/// Before the founding there is no current set, and nothing is kept: machines gather in the next set, and the first set
/// becomes current by [`fill`] like any other, once it has `least` machines or the founding has waited long enough.
pub fn join(state: &ControlState, store: &StorageNode, least: usize) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if former.contains(store) || roster.retiring.contains(&store.name) {
        return None;
    }
    if roster.current.contains(store) && former.iter().any(|other| other.name == store.name) {
        // Two machines of one name, and this is the earlier one: it hands over, and takes nothing back.
        return None;
    }
    let mut next: Vec<StorageNode> =
        former.iter().filter(|other| other.name != store.name && other.ip != store.ip).cloned().collect();
    next.push(store.clone());
    next.sort();
    let founded = !roster.current.is_empty();
    if founded && next.len() < former.len() && staying(roster, &next) < least {
        // It has one machine's name and another's address.
        return None;
    }
    let mut state = state.clone();
    // What is full but for the disk that this one replaces counts, as if that were waived: else one machine's loss after
    // the other could keep all changes from their end. Someone has to be full: a set of that disk alone has nothing.
    let full = |other: &StorageNode| roster.in_sync.contains(&other.disk) || !next.contains(other);
    if let Some(set) = &roster.next
        && founded
        && set.len() > 1
        && set.iter().filter(|other| !next.contains(other)).count() == 1
        && set.iter().all(full)
    {
        state.roster.current = set.clone();
    }
    Some(with_next(&state, next))
}

/// Begins to empty a storage machine.
pub fn retire(state: &ControlState, name: &str, least: usize) -> (Option<ControlState>, RetireVerdict) {
    let roster = &state.roster;
    let named = |store: &&StorageNode| store.name == name;
    if roster.retiring.iter().any(|other| other == name) {
        return (None, retire_status(state, name));
    }
    let marked = |mut state: ControlState| {
        state.roster.retiring.push(name.to_owned());
        (Some(state), RetireVerdict::Active)
    };
    let Some(store) = proposed_nodes(roster).iter().find(named) else {
        // It may be leaving already.
        return match roster.current.iter().any(|store| store.name == name) {
            true => marked(state.clone()),
            false => (None, RetireVerdict::Unknown),
        };
    };
    let next: Vec<StorageNode> =
        proposed_nodes(roster).iter().filter(|store| store.name != name).cloned().collect();
    let left = staying(roster, &next);
    if left < least || roster.current.is_empty() {
        return (None, RetireVerdict::TooFew { left });
    }
    match would_abandon(roster, store) {
        true => marked(state.clone()),
        false => marked(with_next(state, next)),
    }
}

/// How far a retire is.
pub fn retire_status(state: &ControlState, name: &str) -> RetireVerdict {
    let roster = &state.roster;
    let holds = |stores: &[StorageNode]| stores.iter().any(|store| store.name == name);
    let counts = holds(&roster.current) || roster.next.as_deref().is_some_and(holds);
    match (roster.retiring.iter().any(|other| other == name), counts) {
        (true, true) => RetireVerdict::Active,
        (true, false) => RetireVerdict::Completed,
        (false, true) => RetireVerdict::Serving,
        (false, false) => RetireVerdict::Unknown,
    }
}

/// A member of the next set is full; the last one makes that set current. `waived`: disks that are not waited for. The
/// first set needs `least` machines.
pub fn complete_backfill(
    state: &ControlState,
    disk: Option<u64>,
    epoch: u64,
    waived: &[u64],
    least: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let next = roster.next.clone().filter(|_| roster.epoch == epoch)?;
    let mut state = state.clone();
    let new =
        disk.filter(|disk| next.iter().any(|store| store.disk == *disk) && !roster.in_sync.contains(disk));
    state.roster.in_sync.extend(new);
    let waits =
        next.iter().any(|store| !state.roster.in_sync.contains(&store.disk) && !waived.contains(&store.disk));
    let founds_too_early = roster.current.is_empty() && next.len() < least;
    if waits || founds_too_early {
        return new.map(|_| state);
    }
    state.roster.epoch += 1;
    state.roster.current = next;
    state.roster.next = None;
    state.roster.in_sync.clear();
    // Who was to be emptied while this change was under way leaves by the next one.
    let roster = &mut state.roster;
    let stays = |store: &&StorageNode| !roster.retiring.contains(&store.name);
    let left: Vec<StorageNode> = roster.current.iter().filter(stays).cloned().collect();
    if left.len() < roster.current.len() && left.len() >= least {
        roster.next = Some(left);
    }
    Some(state)
}

/// Goes on without a member of the proposed set that is gone, if this is still the roster's epoch and at least `fewest`
/// are left.
pub fn remove_node(
    state: &ControlState,
    gone: &StorageNode,
    epoch: u64,
    fewest: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if roster.epoch != epoch || !former.contains(gone) || would_abandon(roster, gone) {
        return None;
    }
    let left: Vec<StorageNode> = former.iter().filter(|store| *store != gone).cloned().collect();
    (staying(roster, &left) >= fewest.max(1)).then(|| with_next(state, left))
}

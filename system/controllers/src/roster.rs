//! Changes of the roster: nodes join, complete their backfill, are removed and are retired.

use crate::turnover;
use fleet_model::{ControlState, RetireVerdict, Roster, StorageNode};

/// The next set if a change is in progress, otherwise the current set.
pub fn proposed_nodes(roster: &Roster) -> &[StorageNode] {
    roster.next.as_deref().unwrap_or(&roster.current)
}

fn count_not_retiring(roster: &Roster, stores: &[StorageNode]) -> usize {
    stores.iter().filter(|store| !roster.retiring.contains(&store.name)).count()
}

/// The state with `next` as its next set, under a new epoch in which no node is in sync yet.
fn with_next(state: &ControlState, next: Vec<StorageNode>) -> ControlState {
    let mut state = state.clone();
    state.roster.epoch += 1;
    state.roster.in_sync.clear();
    state.roster.next = (next != state.roster.current).then_some(next);
    state
}

/// Whether the next set without this node would be the current set.
///
/// In that case no node would backfill, and records written meanwhile to this node and one other would be left with a single
/// copy. Such a change is therefore completed first, and the node is removed afterwards.
pub(crate) fn would_revert_change(roster: &Roster, store: &StorageNode) -> bool {
    let Some(next) = &roster.next else { return false };
    !roster.current.contains(store) && next.iter().filter(|other| *other != store).eq(roster.current.iter())
}

/// Adds a storage node to the next set, in place of members with the same name or address: their disks were lost or replaced.
/// Returns `None` if the node is a member, is being retired or cannot be added.
///
/// Before the bootstrap there is no current set, and nothing is stored. Nodes are collected in the next set, which becomes
/// current by [`complete_backfill`] like any other, once it has `min_nodes` nodes or the bootstrap wait has expired.
pub fn join(state: &ControlState, store: &StorageNode, min_nodes: usize) -> Option<ControlState> {
    let mut joined = join_initial_node(state, store, min_nodes)?;
    let roster = &state.roster;
    let is_replaced = |other: &StorageNode| other.name == store.name || other.ip == store.ip;
    let replaces_member = proposed_nodes(roster).iter().any(is_replaced);
    if !roster.current.is_empty() && !replaces_member {
        turnover::record_join(&mut joined.roster.turnover, &store.name);
    }
    Some(joined)
}

/// As [`join`], for a machine that was started together with the fleet: however late it joins, it does not count as the
/// replacement of another machine.
pub fn join_initial_node(
    state: &ControlState,
    store: &StorageNode,
    min_nodes: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if former.contains(store) || roster.retiring.contains(&store.name) {
        return None;
    }
    if roster.current.contains(store) && former.iter().any(|other| other.name == store.name) {
        // A later machine of the same name is replacing this one, which must not rejoin.
        return None;
    }
    let mut next: Vec<StorageNode> =
        former.iter().filter(|other| other.name != store.name && other.ip != store.ip).cloned().collect();
    next.push(store.clone());
    next.sort();
    let bootstrapped = !roster.current.is_empty();
    if bootstrapped && next.len() < former.len() && count_not_retiring(roster, &next) < min_nodes {
        // The node has one member's name and another member's address: it would replace both.
        return None;
    }
    let mut state = state.clone();
    // A next set that is in sync except for the disk that this node replaces becomes current, as if that disk were waived:
    // otherwise successive disk losses could prevent every change from completing. At least one node has to be in sync, since
    // a set that consists of the lost disk alone stores nothing.
    let is_ready = |other: &StorageNode| roster.in_sync.contains(&other.disk) || !next.contains(other);
    if let Some(set) = &roster.next
        && bootstrapped
        && set.len() > 1
        && set.iter().filter(|other| !next.contains(other)).count() == 1
        && set.iter().all(is_ready)
    {
        state.roster.current = set.clone();
    }
    Some(with_next(&state, next))
}

/// Starts the retirement of the machine `name`, if at least `min_nodes` remain. Returns the state to propose, or `None` if
/// nothing changes, and the progress of the retirement.
pub fn retire(state: &ControlState, name: &str, min_nodes: usize) -> (Option<ControlState>, RetireVerdict) {
    let roster = &state.roster;
    let has_name = |store: &&StorageNode| store.name == name;
    if roster.retiring.iter().any(|other| other == name) {
        return (None, retire_status(state, name));
    }
    let mark_retiring = |mut state: ControlState| {
        state.roster.retiring.push(name.to_owned());
        turnover::record_retirement(&mut state.roster.turnover, name);
        (Some(state), RetireVerdict::Active)
    };
    let Some(store) = proposed_nodes(roster).iter().find(has_name) else {
        // The change in progress may be removing the machine already.
        return match roster.current.iter().any(|store| store.name == name) {
            true => mark_retiring(state.clone()),
            false => (None, RetireVerdict::Unknown),
        };
    };
    let next: Vec<StorageNode> =
        proposed_nodes(roster).iter().filter(|store| store.name != name).cloned().collect();
    let remaining = count_not_retiring(roster, &next);
    if remaining < min_nodes || roster.current.is_empty() {
        return (None, RetireVerdict::TooFew { remaining });
    }
    match would_revert_change(roster, store) {
        true => mark_retiring(state.clone()),
        false => mark_retiring(with_next(state, next)),
    }
}

/// Progress of the retirement of the machine `name`.
pub fn retire_status(state: &ControlState, name: &str) -> RetireVerdict {
    let roster = &state.roster;
    let contains = |stores: &[StorageNode]| stores.iter().any(|store| store.name == name);
    let is_member = contains(&roster.current) || roster.next.as_deref().is_some_and(contains);
    match (roster.retiring.iter().any(|other| other == name), is_member) {
        (true, true) => RetireVerdict::Active,
        (true, false) => RetireVerdict::Completed,
        (false, true) => RetireVerdict::Serving,
        (false, false) => RetireVerdict::Unknown,
    }
}

/// Records that the node with `disk`, if given, is in sync. Once all nodes of the next set are, that set becomes current.
///
/// Disks in `waived` need not be in sync. The first set needs `min_nodes` nodes. Returns `None` if nothing changes or `epoch`
/// is not the roster's.
pub fn complete_backfill(
    state: &ControlState,
    disk: Option<u64>,
    epoch: u64,
    waived: &[u64],
    min_nodes: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let next = roster.next.clone().filter(|_| roster.epoch == epoch)?;
    let mut state = state.clone();
    let newly_in_sync =
        disk.filter(|disk| next.iter().any(|store| store.disk == *disk) && !roster.in_sync.contains(disk));
    state.roster.in_sync.extend(newly_in_sync);
    let is_incomplete =
        next.iter().any(|store| !state.roster.in_sync.contains(&store.disk) && !waived.contains(&store.disk));
    let is_bootstrap_too_small = roster.current.is_empty() && next.len() < min_nodes;
    if is_incomplete || is_bootstrap_too_small {
        return newly_in_sync.map(|_| state);
    }
    state.roster.epoch += 1;
    state.roster.current = next;
    state.roster.next = None;
    state.roster.in_sync.clear();
    // Nodes whose retirement was requested during this change are removed by the next one.
    let roster = &mut state.roster;
    let is_not_retiring = |store: &&StorageNode| !roster.retiring.contains(&store.name);
    let remaining: Vec<StorageNode> = roster.current.iter().filter(is_not_retiring).cloned().collect();
    if remaining.len() < roster.current.len() && remaining.len() >= min_nodes {
        roster.next = Some(remaining);
    }
    Some(state)
}

/// Removes a node from the proposed set, if `epoch` is still the roster's and at least `min_remaining` nodes (and at least
/// one) remain that are not being retired. Returns `None` otherwise, or if the removal would undo the change in progress.
pub fn remove_node(
    state: &ControlState,
    removed: &StorageNode,
    epoch: u64,
    min_remaining: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if roster.epoch != epoch || !former.contains(removed) || would_revert_change(roster, removed) {
        return None;
    }
    let remaining: Vec<StorageNode> = former.iter().filter(|store| *store != removed).cloned().collect();
    (count_not_retiring(roster, &remaining) >= min_remaining.max(1)).then(|| {
        let mut state = with_next(state, remaining);
        if !state.roster.retiring.contains(&removed.name) {
            turnover::record_removal(&mut state.roster.turnover, &removed.name);
        }
        state
    })
}

/// Deletes these machines from the roster's turnover: none of them is expected to replace another or to be replaced any more.
/// Returns `None` if the turnover contains none of them.
pub fn forget_turnover(state: &ControlState, machines: &[String]) -> Option<ControlState> {
    let mut state = state.clone();
    let before = state.roster.turnover.clone();
    turnover::forget(&mut state.roster.turnover, machines);
    (state.roster.turnover != before).then_some(state)
}

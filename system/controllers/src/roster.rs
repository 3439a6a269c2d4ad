//! Changes of the roster: nodes join, complete their backfill, are removed and are retired.

use crate::turnover;
use fleet_model::{ControlState, RetireVerdict, Roster, StorageNode};

/// The nodes of the roster once the change under way, if any, is complete.
pub fn proposed_nodes(roster: &Roster) -> &[StorageNode] {
    roster.next.as_deref().unwrap_or(&roster.current)
}

/// Number of these nodes that are not being retired.
fn count_not_retiring(roster: &Roster, stores: &[StorageNode]) -> usize {
    stores.iter().filter(|store| !roster.retiring.contains(&store.name)).count()
}

/// The state with another next set: the epoch increases, and no node is in sync yet.
fn with_next(state: &ControlState, next: Vec<StorageNode>) -> ControlState {
    let mut state = state.clone();
    state.roster.epoch += 1;
    state.roster.in_sync.clear();
    state.roster.next = (next != state.roster.current).then_some(next);
    state
}

/// Whether the next set without this node would be the current one.
///
/// Then no node would backfill, and records that were meanwhile written to this node and one other would be left with one
/// copy. Such a change is completed first, and the node is removed afterwards.
pub(crate) fn would_abandon(roster: &Roster, store: &StorageNode) -> bool {
    let Some(next) = &roster.next else { return false };
    !roster.current.contains(store) && next.iter().filter(|other| *other != store).eq(roster.current.iter())
}

/// Adds a storage node to the next set. A node of the same name or address with another disk has lost that disk, or is
/// replaced. Returns `None` if the node is a member, is being retired or cannot be added.
///
/// Before the bootstrap there is no current set, and nothing is stored: nodes gather in the next set, and the first set
/// becomes current by [`complete_backfill`] like any other, once it has `min_nodes` nodes or the bootstrap has waited long
/// enough.
pub fn join(state: &ControlState, store: &StorageNode, min_nodes: usize) -> Option<ControlState> {
    let mut joined = join_founder(state, store, min_nodes)?;
    let roster = &state.roster;
    let is_successor = |other: &StorageNode| other.name == store.name || other.ip == store.ip;
    let takes_a_place = proposed_nodes(roster).iter().any(is_successor);
    if !roster.current.is_empty() && !takes_a_place {
        turnover::record_join(&mut joined.roster.turnover, &store.name);
    }
    Some(joined)
}

/// As [`join`], for a machine that was started with the fleet, for the fleet's first time: it replaces no other one, however
/// late it comes.
pub fn join_founder(state: &ControlState, store: &StorageNode, min_nodes: usize) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if former.contains(store) || roster.retiring.contains(&store.name) {
        return None;
    }
    if roster.current.contains(store) && former.iter().any(|other| other.name == store.name) {
        // Of two machines of one name this is the earlier one: it hands over to the later one, and does not return.
        return None;
    }
    let mut next: Vec<StorageNode> =
        former.iter().filter(|other| other.name != store.name && other.ip != store.ip).cloned().collect();
    next.push(store.clone());
    next.sort();
    let bootstrapped = !roster.current.is_empty();
    if bootstrapped && next.len() < former.len() && count_not_retiring(roster, &next) < min_nodes {
        // It has one member's name and another member's address, and replaces both.
        return None;
    }
    let mut state = state.clone();
    // A set that is in sync except for the disk that this node replaces becomes current, as if that disk were waived:
    // otherwise one loss after the other could keep every change from completing. At least one node has to be in sync: a set
    // of the lost disk alone stores nothing.
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

/// Starts the retirement of the machine `name`, if at least `min_nodes` remain. Returns the state that does so, if any, and
/// the progress.
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
        // It may be leaving by the change under way.
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
    match would_abandon(roster, store) {
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

/// Records that the node with `disk` is in sync; the last one of the next set makes that set current.
///
/// Disks in `waived` are not waited for. The first set needs `min_nodes` nodes. Returns `None` if nothing changes or `epoch`
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
    // Nodes whose retirement was requested during this change leave by the next one.
    let roster = &mut state.roster;
    let is_staying = |store: &&StorageNode| !roster.retiring.contains(&store.name);
    let remaining: Vec<StorageNode> = roster.current.iter().filter(is_staying).cloned().collect();
    if remaining.len() < roster.current.len() && remaining.len() >= min_nodes {
        roster.next = Some(remaining);
    }
    Some(state)
}

/// Removes a node from the proposed set, if `epoch` is still the roster's and at least `min_remaining` nodes remain that are
/// not being retired.
pub fn remove_node(
    state: &ControlState,
    removed: &StorageNode,
    epoch: u64,
    min_remaining: usize,
) -> Option<ControlState> {
    let roster = &state.roster;
    let former = proposed_nodes(roster);
    if roster.epoch != epoch || !former.contains(removed) || would_abandon(roster, removed) {
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

/// Forgets that these machines joined or left: no replacement by them, or of them, is expected any more.
pub fn forget_turnover(state: &ControlState, machines: &[String]) -> Option<ControlState> {
    let mut state = state.clone();
    let before = state.roster.turnover.clone();
    turnover::forget(&mut state.roster.turnover, machines);
    (state.roster.turnover != before).then_some(state)
}

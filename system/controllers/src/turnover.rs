//! Which machines joined the roster, which were removed as unresponsive, and which machine replaced which.
//!
//! The turnover is part of the chosen value, so that a restarted control node knows of a replacement in progress: the replaced
//! machine is removed sooner than a machine that may only be slow.

use fleet_model::{Departure, Turnover};

/// Records that a machine joined which was not a member. A machine that was removed earlier and returns replaces no other.
pub(crate) fn record_join(turnover: &mut Turnover, machine: &str) {
    if let Some(index) = turnover.departed.iter().position(|departure| departure.machine == machine) {
        // The machine that replaced it is available as a replacement again.
        turnover.joined.extend(turnover.departed.remove(index).replaced_by);
        return;
    }
    match turnover.departed.iter_mut().find(|departure| departure.replaced_by.is_none()) {
        Some(departure) => departure.replaced_by = Some(machine.to_owned()),
        None => turnover.joined.push(machine.to_owned()),
    }
}

/// Records that a machine was removed because it did not respond. If it had replaced another machine, that one needs a
/// replacement again.
pub(crate) fn record_removal(turnover: &mut Turnover, machine: &str) {
    if let Some(index) = turnover.joined.iter().position(|joined| joined == machine) {
        turnover.joined.remove(index);
        return;
    }
    let is_replaced_by = |departure: &&mut Departure| departure.replaced_by.as_deref() == Some(machine);
    if let Some(replaced) = turnover.departed.iter_mut().find(is_replaced_by) {
        replaced.replaced_by = None;
        return;
    }
    let replaced_by = (!turnover.joined.is_empty()).then(|| turnover.joined.remove(0));
    turnover.departed.push(Departure { machine: machine.to_owned(), replaced_by });
}

/// Records that a machine was retired on an operator's request: it needs no replacement, and replaces no other any more.
pub(crate) fn record_retirement(turnover: &mut Turnover, machine: &str) {
    turnover.joined.retain(|joined| joined != machine);
    turnover.departed.retain(|departure| departure.replaced_by.as_deref() != Some(machine));
}

pub(crate) fn forget(turnover: &mut Turnover, machines: &[String]) {
    turnover.joined.retain(|joined| !machines.contains(joined));
    turnover.departed.retain(|departure| !machines.contains(&departure.machine));
}

/// All machines in the turnover: those that joined and those that were removed.
pub(crate) fn machines(turnover: &Turnover) -> impl Iterator<Item = &String> {
    turnover.joined.iter().chain(turnover.departed.iter().map(|departure| &departure.machine))
}

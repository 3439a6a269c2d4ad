//! Which machines joined the roster, which left it unasked, and which of them replaced which.
//!
//! It is part of the chosen value, so that control nodes that restart know of a replacement that is under way: the replaced
//! machine is removed sooner than one that may only be slow.

use fleet_model::{Departure, Turnover};

/// Records that a machine joined that was no member. One that left before returns, and replaces none.
pub(crate) fn record_join(turnover: &mut Turnover, machine: &str) {
    if let Some(index) = turnover.departed.iter().position(|departure| departure.machine == machine) {
        // The machine that replaced it may replace another one.
        turnover.joined.extend(turnover.departed.remove(index).replaced_by);
        return;
    }
    match turnover.departed.iter_mut().find(|departure| departure.replaced_by.is_none()) {
        Some(departure) => departure.replaced_by = Some(machine.to_owned()),
        None => turnover.joined.push(machine.to_owned()),
    }
}

/// Records that a machine was removed because it did not respond. If it had come for another one, that one lacks a
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

/// Records that a machine left on an operator's request: it needs no replacement, and replaces none itself.
pub(crate) fn record_retirement(turnover: &mut Turnover, machine: &str) {
    turnover.joined.retain(|joined| joined != machine);
    turnover.departed.retain(|departure| departure.replaced_by.as_deref() != Some(machine));
}

/// Forgets these machines.
pub(crate) fn forget(turnover: &mut Turnover, machines: &[String]) {
    turnover.joined.retain(|joined| !machines.contains(joined));
    turnover.departed.retain(|departure| !machines.contains(&departure.machine));
}

/// All machines that are remembered: those that joined and those that left.
pub(crate) fn machines(turnover: &Turnover) -> impl Iterator<Item = &String> {
    turnover.joined.iter().chain(turnover.departed.iter().map(|departure| &departure.machine))
}

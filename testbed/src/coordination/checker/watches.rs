//! ORDER, as far as watches go: events rise within their span and skip no put in it.

use super::super::history::{Answer, Event, History, Request};
use super::puts::Puts;
use super::{Breach, Rule};
use std::collections::HashSet;

pub(super) fn check(history: &History, puts: &Puts<'_>, breaches: &mut Vec<Breach>) {
    for call in &history.calls {
        let (Request::Watch { group, after, .. }, Answer::Events { events, revision }) =
            (&call.request, &call.answer)
        else {
            continue;
        };
        // 0 asks for the present revision alone.
        if *after == 0 {
            continue;
        }
        let found = misplaced(events, *after, *revision)
            .map(|misplaced| format!("revision {misplaced} does not rise"));
        let found = found.or_else(|| {
            let skipped = skipped(puts, group, (*after, *revision), events)?;
            Some(format!("revision {skipped} is skipped"))
        });
        if let Some(found) = found {
            let what = format!("watch of {group} after {after} up to {revision}: {found}");
            breaches.push(Breach { at_us: call.ended_us, rule: Rule::Order, what });
        }
    }
}

/// An event that is not above the one before it, or outside the span.
fn misplaced(events: &[Event], after: u64, to: u64) -> Option<u64> {
    let mut last = after;
    for event in events {
        if event.revision <= last || event.revision > to {
            return Some(event.revision);
        }
        last = event.revision;
    }
    None
}

/// A put inside the span that no event tells.
fn skipped(puts: &Puts<'_>, group: &str, (after, to): (u64, u64), events: &[Event]) -> Option<u64> {
    let told: HashSet<u64> = events.iter().map(|event| event.revision).collect();
    puts.shown_in(group, after, to).map(|(revision, _)| revision).find(|revision| !told.contains(revision))
}

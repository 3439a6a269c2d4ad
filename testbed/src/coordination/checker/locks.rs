//! ONE: one holder at a time, and fencing tokens that rise from holder to holder.

use super::super::history::{Answer, Call, History, Request};
use super::{Breach, Rule};
use std::collections::{BTreeMap, HashMap};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// A time during which a caller counts itself holder.
#[derive(Clone, Copy)]
struct Hold<'a> {
    holder: &'a str,
    from_us: u64,
    until_us: u64,
}

/// A fencing token that was given.
#[derive(Clone, Copy)]
struct Grant<'a> {
    holder: &'a str,
    fence: u64,
    sent_us: u64,
    ended_us: u64,
}

/// The calls for one lock, by their end.
type CallsByLock<'a> = BTreeMap<&'a str, Vec<&'a Call>>;

pub(super) fn check(history: &History, breaches: &mut Vec<Breach>) {
    for (lock, mut calls) in calls_by_lock(history) {
        calls.sort_by_key(|call| call.ended_us);
        check_holds(lock, &calls, breaches);
        check_fences(lock, &calls, breaches);
    }
}

/// Fencing tokens that were given, by lock: holder, token, and the times of the call.
pub(super) fn lock_of(request: &Request) -> Option<(&str, &str)> {
    match request {
        Request::Acquire { lock, holder, .. }
        | Request::Renew { lock, holder, .. }
        | Request::Release { lock, holder, .. } => Some((lock, holder)),
        _ => None,
    }
}

fn calls_by_lock(history: &History) -> CallsByLock<'_> {
    let mut by_lock = CallsByLock::new();
    for call in &history.calls {
        if let Some((lock, _)) = lock_of(&call.request) {
            by_lock.entry(lock).or_default().push(call);
        }
    }
    by_lock
}

fn check_holds(lock: &str, calls: &[&Call], breaches: &mut Vec<Breach>) {
    let mut holds = holds(calls);
    holds.sort_by_key(|hold| hold.from_us);
    let mut latest: Option<Hold<'_>> = None;
    for hold in holds {
        if let Some(other) = latest
            && other.holder != hold.holder
            && hold.from_us < other.until_us
        {
            let what = format!(
                "lock {lock}: {} holds until {} us, {} from {} us on",
                other.holder, other.until_us, hold.holder, hold.from_us
            );
            breaches.push(Breach { at_us: hold.from_us, rule: Rule::One, what });
        }
        if latest.is_none_or(|other| hold.until_us > other.until_us) {
            latest = Some(hold);
        }
    }
}

/// The times during which callers count themselves holders: from a 200 until the duration of the hold after the last good
/// call was sent, or until a release is sent. A renewal that is answered after that time counts for nothing.
fn holds<'a>(calls: &[&'a Call]) -> Vec<Hold<'a>> {
    let mut by_holder: HashMap<&str, Vec<Hold<'a>>> = HashMap::new();
    // A release ends the hold when it is sent, whenever it is answered.
    let mut events: Vec<(u64, &'a Call)> = calls.iter().map(|call| (effective_us(call), *call)).collect();
    events.sort_by_key(|(at_us, _)| *at_us);
    for (at_us, call) in events {
        let Some((_, holder)) = lock_of(&call.request) else { continue };
        let holds = by_holder.entry(holder).or_default();
        let current = holds.last_mut().filter(|hold| hold.until_us >= at_us);
        match (&call.request, &call.answer) {
            (Request::Acquire { hold_ms, .. }, Answer::Granted { .. }) => {
                let until_us = call.sent_us + hold_ms * US_PER_MS;
                match current {
                    Some(hold) => hold.until_us = until_us,
                    None if until_us > at_us => holds.push(Hold { holder, from_us: at_us, until_us }),
                    None => {}
                }
            }
            (Request::Renew { hold_ms, .. }, Answer::Renewed) => {
                if let Some(hold) = current {
                    hold.until_us = call.sent_us + hold_ms * US_PER_MS;
                }
            }
            (Request::Release { .. }, _) => {
                if let Some(hold) = current {
                    hold.until_us = at_us;
                }
            }
            _ => {}
        }
    }
    by_holder.into_values().flatten().collect()
}

fn effective_us(call: &Call) -> u64 {
    if matches!(call.request, Request::Release { .. }) { call.sent_us } else { call.ended_us }
}

/// The grants of one lock in the order of their ends.
fn grants<'a>(calls: &[&'a Call]) -> Vec<Grant<'a>> {
    let grant = |call: &&'a Call| match (&call.request, &call.answer) {
        (Request::Acquire { holder, .. }, Answer::Granted { fence }) => {
            Some(Grant { holder, fence: *fence, sent_us: call.sent_us, ended_us: call.ended_us })
        }
        _ => None,
    };
    calls.iter().filter_map(grant).collect()
}

fn check_fences(lock: &str, calls: &[&Call], breaches: &mut Vec<Breach>) {
    let grants = grants(calls);
    let mut owners: HashMap<u64, &str> = HashMap::new();
    for grant in &grants {
        let owner = *owners.entry(grant.fence).or_insert(grant.holder);
        if owner != grant.holder {
            let what = format!("lock {lock}: token {} given to {owner} and {}", grant.fence, grant.holder);
            breaches.push(Breach { at_us: grant.ended_us, rule: Rule::One, what });
        }
    }
    let mut by_sending = grants.clone();
    by_sending.sort_by_key(|grant| grant.sent_us);
    let mut ended = grants.iter().peekable();
    let mut highest = HighestOfTwo::default();
    for grant in by_sending {
        while let Some(earlier) = ended.next_if(|earlier| earlier.ended_us < grant.sent_us) {
            highest.add(earlier);
        }
        if let Some(fence) = highest.of_others(grant.holder)
            && grant.fence <= fence
        {
            let what = format!("lock {lock}: {} gets token {} after {fence}", grant.holder, grant.fence);
            breaches.push(Breach { at_us: grant.ended_us, rule: Rule::One, what });
        }
    }
}

/// The highest token, and the highest of any other holder than that token's.
#[derive(Default)]
struct HighestOfTwo<'a> {
    first: Option<(u64, &'a str)>,
    second: Option<(u64, &'a str)>,
}

impl<'a> HighestOfTwo<'a> {
    fn add(&mut self, grant: &Grant<'a>) {
        let added = (grant.fence, grant.holder);
        match self.first {
            Some((fence, holder)) if fence >= grant.fence => {
                if holder != grant.holder && self.second.is_none_or(|(fence, _)| fence < grant.fence) {
                    self.second = Some(added);
                }
            }
            Some((_, holder)) if holder == grant.holder => self.first = Some(added),
            former => (self.first, self.second) = (Some(added), former),
        }
    }

    fn of_others(&self, holder: &str) -> Option<u64> {
        [self.first, self.second]
            .into_iter()
            .flatten()
            .find(|(_, other)| *other != holder)
            .map(|(fence, _)| fence)
    }
}

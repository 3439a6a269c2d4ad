//! LOST: a watch that is refused events it is owed, and final calls that lag behind what was acknowledged or have no answer.

use super::super::history::{Answer, Call, FinalTargets, History, Phase, Request};
use super::puts::Puts;
use super::{Breach, Rule, numbers};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

pub(super) fn check(history: &History, puts: &Puts<'_>, breaches: &mut Vec<Breach>) {
    check_gone(history, breaches);
    check_final_numbers(history, breaches);
    check_final_locks(history, breaches);
    check_final_reads(history, puts, breaches);
    check_final_watches(history, puts, breaches);
    check_answered(history, breaches);
}

fn final_calls(history: &History) -> impl Iterator<Item = &Call> {
    history.calls.iter().filter(|call| call.phase == Phase::Final)
}

fn push(breaches: &mut Vec<Breach>, at_us: u64, what: String) {
    breaches.push(Breach { at_us, rule: Rule::Lost, what });
}

/// 410 for a revision that the same watcher was given less than the retention before.
fn check_gone(history: &History, breaches: &mut Vec<Breach>) {
    let mut calls: Vec<&Call> = history.calls.iter().collect();
    calls.sort_by_key(|call| call.ended_us);
    let mut given_us: HashMap<(u32, &str, u64), u64> = HashMap::new();
    for call in calls {
        let Request::Watch { group, after, .. } = &call.request else { continue };
        match &call.answer {
            Answer::Events { events, revision } => {
                for revision in events.iter().map(|event| event.revision).chain([*revision]) {
                    given_us.insert((call.caller, group, revision), call.ended_us);
                }
            }
            Answer::Gone => {
                let given_us = given_us.get(&(call.caller, group.as_str(), *after));
                let is_owed =
                    |given_us: &&u64| call.ended_us - **given_us < history.bounds.history_ms * US_PER_MS;
                if let Some(given_us) = given_us.filter(is_owed) {
                    let what =
                        format!("watch of {group} after {after}, given at {given_us} us, is answered 410");
                    push(breaches, call.ended_us, what);
                }
            }
            _ => {}
        }
    }
}

fn check_final_numbers(history: &History, breaches: &mut Vec<Breach>) {
    for (name, given) in numbers::given_numbers(history) {
        let latest = numbers::latest(&given);
        for (call, value) in given.iter().filter(|(call, _)| call.phase == Phase::Final) {
            if let Some(before) = latest.before(call.sent_us).filter(|before| value <= before) {
                push(breaches, call.ended_us, format!("at the end number {name} is {value} after {before}"));
            }
        }
    }
}

/// Tokens given at the end are above all that were given while applications worked.
fn check_final_locks(history: &History, breaches: &mut Vec<Breach>) {
    let mut highest: HashMap<&str, (u64, &str)> = HashMap::new();
    for call in history.calls.iter().filter(|call| call.phase == Phase::Work) {
        if let (Request::Acquire { lock, holder, .. }, Answer::Granted { fence }) =
            (&call.request, &call.answer)
        {
            let highest = highest.entry(lock).or_insert((*fence, holder));
            *highest = (*highest).max((*fence, holder));
        }
    }
    for call in final_calls(history) {
        if let (Request::Acquire { lock, holder, .. }, Answer::Granted { fence }) =
            (&call.request, &call.answer)
            && let Some((before, _)) =
                highest.get(lock.as_str()).filter(|(before, other)| fence <= before && *other != holder)
        {
            push(
                breaches,
                call.ended_us,
                format!("at the end lock {lock} gives token {fence} after {before}"),
            );
        }
    }
}

fn check_final_reads(history: &History, puts: &Puts<'_>, breaches: &mut Vec<Breach>) {
    for call in final_calls(history) {
        let (key, revision) = match (&call.request, &call.answer) {
            (Request::Get { key }, Answer::Found { revision, .. }) => (key, *revision),
            (Request::Get { key }, Answer::Absent) => (key, 0),
            _ => continue,
        };
        if let Some(newest) = puts.acknowledged_key(key, call.sent_us).filter(|newest| revision < *newest) {
            let what = format!("at the end {key} is read at revision {revision}, {newest} was acknowledged");
            push(breaches, call.ended_us, what);
        }
    }
}

/// A watcher that resumes asks on from each answer. Its last answer decides whether it has everything.
fn check_final_watches(history: &History, puts: &Puts<'_>, breaches: &mut Vec<Breach>) {
    let mut last: BTreeMap<(u32, &str), (&Call, u64)> = BTreeMap::new();
    for call in final_calls(history) {
        if let (Request::Watch { group, .. }, Answer::Events { revision, .. }) = (&call.request, &call.answer)
        {
            let last = last.entry((call.caller, group)).or_insert((call, *revision));
            if call.ended_us > last.0.ended_us {
                *last = (call, *revision);
            }
        }
    }
    for ((caller, group), (call, revision)) in last {
        if let Some(newest) = puts.acknowledged_group(group, call.sent_us).filter(|newest| revision < *newest)
        {
            let what = format!(
                "at the end watcher {caller} of {group} is at revision {revision}, {newest} was acknowledged"
            );
            push(breaches, call.ended_us, what);
        }
    }
}

fn check_answered(history: &History, breaches: &mut Vec<Breach>) {
    let answered: HashSet<(&str, &str)> = final_calls(history)
        .filter(|call| call.answer.is_clear())
        .map(|call| target(&call.request))
        .collect();
    let end_us = history.calls.iter().map(|call| call.ended_us).max().unwrap_or_default();
    let FinalTargets { locks, numbers, keys, groups } = &history.targets;
    for (kind, names) in [("lock", locks), ("number", numbers), ("key", keys), ("watch", groups)] {
        for name in names.iter().filter(|name| !answered.contains(&(kind, name.as_str()))) {
            push(breaches, end_us, format!("at the end {kind} {name} has no answer"));
        }
    }
}

/// Kind and name of what a request asks for.
fn target(request: &Request) -> (&str, &str) {
    match request {
        Request::Acquire { lock, .. } => ("lock", lock),
        Request::Renew { lock, .. } => ("renewal", lock),
        Request::Release { lock, .. } => ("release", lock),
        Request::Number { name } => ("number", name),
        Request::Put { key, .. } => ("put", key),
        Request::Get { key } => ("key", key),
        Request::Watch { group, .. } => ("watch", group),
    }
}

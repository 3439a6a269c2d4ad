//! STALE, MIXED and REFUSED: what reads, watches and rejected puts show.

use super::super::history::{Answer, Call, History, Request, group_of};
use super::puts::Puts;
use super::{Breach, Rule};

pub(super) fn check(history: &History, puts: &Puts<'_>, breaches: &mut Vec<Breach>) {
    for call in &history.calls {
        match (&call.request, &call.answer) {
            (Request::Get { key }, Answer::Found { value, revision }) => {
                check_shown(puts, call, (key, value), breaches);
                check_read(puts, call, key, *revision, breaches);
            }
            (Request::Get { key }, Answer::Absent) => check_read(puts, call, key, 0, breaches),
            (Request::Watch { .. }, Answer::Events { events, .. }) => {
                for event in events {
                    check_shown(puts, call, (&event.name, &event.value), breaches);
                }
            }
            (Request::Put { key, .. }, Answer::Mismatch { revision }) => {
                check_mismatch(puts, call, key, *revision, breaches);
            }
            _ => {}
        }
    }
    for ((key, value), revisions) in puts.revisions().filter(|(_, revisions)| revisions.len() > 1) {
        let what = format!("value {value} of {key} is shown under revisions {revisions:?}");
        let at_us = puts.put(key, value).map_or(0, |put| put.first_sent_us);
        breaches.push(Breach { at_us, rule: Rule::Mixed, what });
    }
}

fn check_read(puts: &Puts<'_>, call: &Call, key: &str, revision: u64, breaches: &mut Vec<Breach>) {
    if let Some(acknowledged) = puts.acknowledged_key(key, call.sent_us).filter(|newest| revision < *newest) {
        let what = format!("read of {key}: revision {revision} after {acknowledged} was acknowledged");
        breaches.push(Breach { at_us: call.ended_us, rule: Rule::Stale, what });
    }
}

fn check_shown<'a>(
    puts: &Puts<'a>,
    call: &Call,
    (key, value): (&'a str, &'a str),
    breaches: &mut Vec<Breach>,
) {
    let (rule, what) = match puts.put(key, value) {
        None => (Rule::Mixed, format!("value {value} of {key} was put by nobody")),
        Some(put) if put.first_sent_us > call.ended_us => {
            (Rule::Mixed, format!("value {value} of {key} is shown before it was put"))
        }
        Some(put) if put.is_rejected() => {
            (Rule::Refused, format!("value {value} of {key}: its put was rejected"))
        }
        Some(_) => return,
    };
    breaches.push(Breach { at_us: call.ended_us, rule, what });
}

/// A 412 has to name a revision that a put gave to the key. One that never showed may be that of a put without a clear answer.
fn check_mismatch(puts: &Puts<'_>, call: &Call, key: &str, revision: u64, breaches: &mut Vec<Breach>) {
    let is_given = match puts.shown_under(key, revision) {
        Some(put) => put.first_sent_us < call.ended_us,
        None => {
            revision == 0 || !puts.is_shown(group_of(key), revision) && puts.unclear(key, call.ended_us) > 0
        }
    };
    if !is_given {
        let what = format!("412 to a put to {key} names revision {revision}, which no put gave to it");
        breaches.push(Breach { at_us: call.ended_us, rule: Rule::Mixed, what });
    }
}

//! `members`: the machines of the fleet as several of them see it.

use super::{Report, Verdict, join_names};
use crate::admin::query::{Fleet, MemberSummary, ObservedMembers, places};
use crate::admin::table::table;
use crate::admin::{Origin, View};
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A machine that has heard no other for so long is cut off: each is probed more often.
const ISOLATED_AFTER_MS: u64 = 5_000;
const HEAD: [&str; 7] = ["ROLE", "NODE", "ADDRESS", "ZONE", "STATE", "SUSPECTED BY", "NOT SEEN BY"];

#[derive(Serialize)]
struct MembersReport<'a> {
    members: &'a [MemberSummary],
    /// Machines that have heard no other for a while.
    alone: &'a BTreeSet<String>,
    /// Named processes that did not answer.
    silent: &'a [SocketAddrV4],
    seen_by: Vec<&'a Origin>,
}

pub(super) async fn members(fleet: &Fleet) -> Report {
    let views = fleet.members().await;
    if views.is_empty() {
        return Report::silent();
    }
    let members = places(&views);
    let alone = alone(&views);
    let silent = silent(fleet, &views);
    let differ = members.iter().any(|summary| summary.member.suspected || !summary.missed_by.is_empty());
    // Who was named in the settings may be gone for good: its silence alone is not wrong.
    let verdict = Verdict::problem_if(differ || !alone.is_empty());
    let text = text(&members, &views, &alone, &silent);
    let seen_by = views.iter().map(|view| &view.origin).collect();
    Report::new(verdict, text, MembersReport { members: &members, alone: &alone, silent: &silent, seen_by })
}

fn alone(views: &[View<ObservedMembers>]) -> BTreeSet<String> {
    views
        .iter()
        .filter(|view| view.origin.age_ms.is_none_or(|age_ms| age_ms > ISOLATED_AFTER_MS))
        .map(|view| view.origin.node.clone())
        .collect()
}

fn silent(fleet: &Fleet, views: &[View<ObservedMembers>]) -> Vec<SocketAddrV4> {
    let is_silent = |entry: &&SocketAddrV4| views.iter().all(|view| view.origin.ip != *entry.ip());
    fleet.entries.iter().filter(is_silent).copied().collect()
}

fn text(
    members: &[MemberSummary],
    views: &[View<ObservedMembers>],
    alone: &BTreeSet<String>,
    silent: &[SocketAddrV4],
) -> String {
    let rows: Vec<Vec<String>> = members.iter().map(row).collect();
    let targets: Vec<&str> = views.iter().map(|view| view.origin.node.as_str()).collect();
    let mut text = table(&HEAD, &rows);
    text.push_str(&format!("{} members, as seen by {}\n", members.len(), targets.join(", ")));
    if !alone.is_empty() {
        text.push_str(&format!("no other machine heard lately by {}\n", join_names(alone)));
    }
    if !silent.is_empty() {
        let silent: Vec<String> = silent.iter().map(ToString::to_string).collect();
        text.push_str(&format!("no answer from {}\n", silent.join(", ")));
    }
    text
}

fn row(summary: &MemberSummary) -> Vec<String> {
    let member = &summary.member;
    let state = if member.suspected { "suspected" } else { "alive" };
    vec![
        member.role.clone(),
        member.name.clone(),
        member.ip.to_string(),
        member.zone.clone(),
        state.to_owned(),
        join_names(&summary.suspected_by),
        join_names(&summary.missed_by),
    ]
}

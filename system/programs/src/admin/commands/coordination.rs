//! `coordination`: the replicated log of the coordination service at each core machine, and its locks, counters and groups.

use super::{Report, Verdict, provenance};
use crate::admin::View;
use crate::admin::query::{Fleet, places};
use crate::admin::table::table;
use control_node::CoordinationStatus;
use fleet_model::{Ballot, ReplicaId};
use serde::Serialize;
use std::net::SocketAddrV4;

const REPLICAS_HEAD: [&str; 7] = ["NODE", "ZONE", "REPLICA", "LEADER", "APPLIED", "WATCHES", "NOTE"];
const LOCKS_HEAD: [&str; 4] = ["LOCK", "HOLDER", "FENCE", "REMAINING"];
const COUNTERS_HEAD: [&str; 2] = ["COUNTER", "VALUE"];
const GROUPS_HEAD: [&str; 4] = ["GROUP", "REVISION", "KEYS", "EVENTS"];

#[derive(Serialize)]
struct CoordinationReport<'a> {
    views: &'a [View<CoordinationStatus>],
    no_answer: &'a [SocketAddrV4],
}

pub(super) async fn coordination(fleet: &Fleet) -> Report {
    let members = places(&fleet.members().await);
    let core = members.iter().filter(|summary| summary.member.role == "core");
    let targets: Vec<SocketAddrV4> = core.map(|summary| fleet.peer(summary.member.ip)).collect();
    let (mut views, mut no_answer) = (Vec::new(), Vec::new());
    for (address, view) in fleet.query_all::<CoordinationStatus>(&targets, "coordination").await {
        match view {
            Some(view) => views.push(view),
            None => no_answer.push(address),
        }
    }
    report(&views, &no_answer)
}

fn report(views: &[View<CoordinationStatus>], no_answer: &[SocketAddrV4]) -> Report {
    let Some(newest) = views.iter().max_by_key(|view| view.body.applied_slot) else {
        return Report::silent();
    };
    let leader_ballot = views.iter().filter_map(|view| view.body.leader).map(|leader| leader.ballot).max();
    let notes: Vec<&str> = views.iter().map(|view| note(&view.body, leader_ballot)).collect();
    let is_wrong = !no_answer.is_empty() || notes.iter().any(|note| !note.is_empty());

    let rows: Vec<_> = views.iter().zip(notes).map(|(view, note)| replica_row(view, note)).collect();
    let mut text = table(&REPLICAS_HEAD, &rows);
    for address in no_answer {
        text.push_str(&format!("no answer from {address}\n"));
    }
    text.push_str(&state_text(newest));
    Report::new(Verdict::problem_if(is_wrong), text, CoordinationReport { views, no_answer })
}

/// What is wrong with a replica, in words.
fn note(status: &CoordinationStatus, leader_ballot: Option<Ballot>) -> &'static str {
    match status.leader {
        None => "no leader",
        Some(leader) if Some(leader.ballot) < leader_ballot => "old leader",
        Some(_) => "",
    }
}

fn replica_row(view: &View<CoordinationStatus>, note: &str) -> Vec<String> {
    let status = &view.body;
    let leader = status.leader.map(|leader| format!("{} (ballot {})", leader.ip, leader.ballot.round));
    vec![
        view.origin.node.clone(),
        view.origin.zone.clone(),
        status.replica.map_or("-".to_owned(), |ReplicaId(id)| format!("{id:016x}")),
        leader.unwrap_or("-".to_owned()),
        status.applied_slot.to_string(),
        status.watchers.to_string(),
        note.to_owned(),
    ]
}

/// The members and the state, as the replica that has applied the most slots knows them.
fn state_text(view: &View<CoordinationStatus>) -> String {
    let status = &view.body;
    let members: Vec<String> = status.members.iter().map(|member| member.ip.to_string()).collect();
    let mut text = format!("members: {}\n", members.join(" "));
    let remaining = |remaining_ms: Option<u64>| remaining_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
    let locks = status.locks.iter().map(|lock| {
        let holder = lock.holder.clone().unwrap_or("-".to_owned());
        vec![lock.name.clone(), holder, lock.fence.to_string(), remaining(lock.remaining_ms)]
    });
    let counters =
        status.counters.iter().map(|counter| vec![counter.name.clone(), counter.value.to_string()]);
    let groups = status.groups.iter().map(|group| {
        let counts = [group.revision, group.keys as u64, group.retained_events as u64];
        [vec![group.name.clone()], counts.map(|count| count.to_string()).to_vec()].concat()
    });
    text.push_str(&table(&LOCKS_HEAD, &locks.collect::<Vec<_>>()));
    text.push_str(&table(&COUNTERS_HEAD, &counters.collect::<Vec<_>>()));
    text.push_str(&table(&GROUPS_HEAD, &groups.collect::<Vec<_>>()));
    text.push_str(&format!("slot {}, {}\n", status.applied_slot, provenance(&view.origin)));
    text
}

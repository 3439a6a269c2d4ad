//! `roster`: the storage machines that count, a change of them under way, and who holds the control side's tasks.

use super::{Report, Verdict, is_stale, newest, provenance};
use crate::admin::View;
use crate::admin::query::{Fleet, MemberSummary, places};
use crate::admin::table::table;
use fleet_model::{Lease, Roster, StorageNode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const HEAD: [&str; 7] = ["NODE", "ADDRESS", "ZONE", "DISK", "STATE", "NOW", "NEXT"];

/// The storage machines as a process knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SeenRoster {
    pub(super) roster: Roster,
    /// Who holds each task of the control side.
    fences: BTreeMap<String, Lease>,
    /// How many machines may be lost at once.
    pub(super) losses: usize,
}

/// The newest one that anybody asked knows.
pub(super) async fn newest_roster(fleet: &Fleet) -> Option<View<SeenRoster>> {
    let views: Vec<View<SeenRoster>> = fleet.responses(&fleet.entries, "roster").await;
    newest(views, |seen| seen.roster.epoch)
}

/// Every storage machine of the roster, current ones first.
pub(super) fn stores(roster: &Roster) -> Vec<&StorageNode> {
    let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
    stores.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
    stores
}

pub(super) async fn roster(fleet: &Fleet) -> Report {
    let Some(view) = newest_roster(fleet).await else { return Report::silent() };
    let members = places(&fleet.members().await);
    report(&view, &members)
}

fn report(view: &View<SeenRoster>, members: &[MemberSummary]) -> Report {
    let SeenRoster { roster, losses, .. } = &view.body;
    let is_absent = |store: &StorageNode| liveness(store, members) != "alive";
    let is_small = roster.current.len() < 2 * losses + 1;
    let is_wrong = is_stale(&view.origin) || roster.current.iter().any(is_absent) || is_small;
    Report::new(Verdict::problem_if(is_wrong), text(view, members), view)
}

fn text(view: &View<SeenRoster>, members: &[MemberSummary]) -> String {
    let roster = &view.body.roster;
    let rows: Vec<Vec<String>> =
        stores(roster).into_iter().map(|store| row(roster, store, members)).collect();
    let mut text = table(&HEAD, &rows);
    text.push_str(&format!("epoch {}, {}, {}\n", roster.epoch, change(roster), provenance(&view.origin)));
    if !roster.retiring.is_empty() {
        text.push_str(&format!("retired or retiring: {}\n", roster.retiring.join(" ")));
    }
    for (task, fence) in &view.body.fences {
        let holder = fence.holder.map_or("nobody".to_owned(), |ip| name(ip, members));
        text.push_str(&format!("duty {task}: {holder}, fence {}\n", fence.token));
    }
    text
}

fn row(roster: &Roster, store: &StorageNode, members: &[MemberSummary]) -> Vec<String> {
    let counts = if roster.current.contains(store) { "counts" } else { "" };
    vec![
        store.name.clone(),
        store.ip.to_string(),
        store.zone.clone(),
        store.disk.to_string(),
        liveness(store, members).to_owned(),
        counts.to_owned(),
        progress(roster, store).to_owned(),
    ]
}

/// How the membership sees a storage machine.
fn liveness(store: &StorageNode, members: &[MemberSummary]) -> &'static str {
    match members.iter().find(|summary| summary.member.ip == store.ip) {
        None => "gone",
        Some(summary) if summary.member.suspected => "suspected",
        Some(_) => "alive",
    }
}

/// How far the change under way is with a storage machine.
fn progress(roster: &Roster, store: &StorageNode) -> &'static str {
    match &roster.next {
        None => "",
        Some(next) if !next.contains(store) => "leaves",
        Some(_) if roster.in_sync.contains(&store.disk) => "full",
        Some(_) => "fills",
    }
}

fn change(roster: &Roster) -> String {
    match &roster.next {
        None => "no change under way".to_owned(),
        Some(next) => format!("a change to {} machines is under way", next.len()),
    }
}

/// A machine's name; its address if it is no member.
fn name(ip: Ipv4Addr, members: &[MemberSummary]) -> String {
    let summary = members.iter().find(|summary| summary.member.ip == ip);
    summary.map_or(ip.to_string(), |summary| summary.member.name.clone())
}

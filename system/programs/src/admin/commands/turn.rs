//! `turn`: which storage machines hold a turn.

use super::roster::{newest_roster, stores};
use super::{Report, Verdict};
use crate::admin::View;
use crate::admin::query::{Fleet, places};
use crate::admin::table::table;
use fleet_model::Roster;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const HEAD: [&str; 7] = ["NODE", "ADDRESS", "ZONE", "STATE", "BYTES", "HOLDER", "PREVIOUS"];

/// A turn as a storage machine knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenTurn {
    /// The machine's disk.
    disk: u64,
    /// How many machines may be lost at once.
    losses: usize,
    state: String,
    bytes: Option<u64>,
    /// The turn that it follows.
    previous: Option<String>,
    /// The disks that it was written to.
    holders: Vec<u64>,
}

#[derive(Serialize)]
struct TurnReport<'a> {
    copies: usize,
    /// Copies that there have to be.
    least: usize,
    machines: &'a [&'a View<SeenTurn>],
}

pub(super) async fn turn(fleet: &Fleet, attempt: &str) -> Report {
    let known = newest_roster(fleet).await;
    let names = storage_names(fleet, known.as_ref().map(|view| &view.body.roster)).await;
    let targets: Vec<SocketAddrV4> = names.keys().map(|ip| fleet.peer(*ip)).collect();
    let responses: Vec<(SocketAddrV4, Option<View<SeenTurn>>)> =
        fleet.query_all(&targets, &format!("turn {attempt}")).await;
    report(&names, &responses)
}

/// Storage machines of the roster and those among the members, by address.
async fn storage_names(fleet: &Fleet, roster: Option<&Roster>) -> BTreeMap<Ipv4Addr, String> {
    let listed = roster.into_iter().flat_map(stores);
    let mut names: BTreeMap<Ipv4Addr, String> = listed.map(|store| (store.ip, store.name.clone())).collect();
    let members = places(&fleet.members().await);
    let storage = members.into_iter().filter(|summary| summary.member.role == "storage");
    names.extend(storage.map(|summary| (summary.member.ip, summary.member.name)));
    names
}

fn report(
    names: &BTreeMap<Ipv4Addr, String>,
    responses: &[(SocketAddrV4, Option<View<SeenTurn>>)],
) -> Report {
    let views: Vec<&View<SeenTurn>> = responses.iter().filter_map(|(_, view)| view.as_ref()).collect();
    if views.is_empty() {
        return Report::silent();
    }
    let holders: BTreeSet<u64> = views.iter().flat_map(|view| view.body.holders.iter().copied()).collect();
    let row = |(address, view): &(SocketAddrV4, Option<View<SeenTurn>>)| {
        let name = names.get(address.ip()).cloned().unwrap_or_default();
        row(name, *address.ip(), view.as_ref(), &holders)
    };
    let rows: Vec<Vec<String>> = responses.iter().map(row).collect();
    let copies = views.iter().filter(|view| view.body.state == "held").count();
    let least = views.iter().map(|view| view.body.losses + 1).max().unwrap_or(1);
    let text = format!("{}{copies} of at least {least} copies\n", table(&HEAD, &rows));
    Report::new(Verdict::problem_if(copies < least), text, TurnReport { copies, least, machines: &views })
}

fn row(name: String, ip: Ipv4Addr, view: Option<&View<SeenTurn>>, holders: &BTreeSet<u64>) -> Vec<String> {
    let Some(View { origin, body }) = view else {
        return vec![name, ip.to_string(), String::new(), "no answer".to_owned()];
    };
    let holder = if holders.contains(&body.disk) { "named" } else { "" };
    vec![
        name,
        ip.to_string(),
        origin.zone.clone(),
        body.state.clone(),
        body.bytes.map_or(String::new(), |bytes| bytes.to_string()),
        holder.to_owned(),
        body.previous.clone().unwrap_or_default(),
    ]
}

//! `versions` and `figures`: what every process of the fleet says of itself.

use super::{Report, Verdict, is_stale};
use crate::admin::View;
use crate::admin::metrics::{Metrics, exposition};
use crate::admin::query::{Fleet, MemberSummary, places};
use crate::admin::table::{age, table};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

const VERSIONS_HEAD: [&str; 8] = ["NODE", "PROGRAM", "ZONE", "VERSION", "AGE", "ENDPOINTS", "FEEDS", "NOTE"];

/// What a process has in force, and whom it feeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenVersion {
    version: u64,
    voters: Vec<Ipv4Addr>,
    endpoints: usize,
    fed: Vec<Ipv4Addr>,
}

/// A process of the fleet.
struct FleetProcess<'a> {
    summary: &'a MemberSummary,
    program: &'static str,
    address: SocketAddrV4,
}

#[derive(Serialize)]
struct VersionsReport<'a> {
    newest: Option<u64>,
    processes: Vec<ProcessReport<'a>>,
}

#[derive(Serialize)]
struct ProcessReport<'a> {
    node: &'a str,
    program: &'a str,
    address: SocketAddrV4,
    view: Option<&'a View<SeenVersion>>,
}

/// Every process of these machines.
fn processes<'a>(fleet: &Fleet, places: &'a [MemberSummary]) -> Vec<FleetProcess<'a>> {
    places.iter().flat_map(|summary| processes_of(fleet, summary)).collect()
}

/// An edge machine runs two processes, each other one a single one.
fn processes_of<'a>(fleet: &Fleet, summary: &'a MemberSummary) -> Vec<FleetProcess<'a>> {
    let peer = |program| FleetProcess { summary, program, address: fleet.peer(summary.member.ip) };
    let proxy =
        || FleetProcess { summary, program: "request-proxy", address: fleet.proxy(summary.member.ip) };
    match summary.member.role.as_str() {
        "edge" => vec![peer("proxy-agent"), proxy()],
        "core" => vec![peer("control-node")],
        _ => vec![peer("storage-node")],
    }
}

pub(super) async fn versions(fleet: &Fleet) -> Report {
    let members = fleet.members().await;
    if members.is_empty() {
        return Report::silent();
    }
    let places = places(&members);
    let processes = processes(fleet, &places);
    let targets: Vec<SocketAddrV4> = processes.iter().map(|process| process.address).collect();
    let responses = fleet.query_all::<SeenVersion>(&targets, "versions").await;
    let views: Vec<Option<View<SeenVersion>>> = responses.into_iter().map(|(_, view)| view).collect();
    versions_report(&processes, &views)
}

/// `views`: what each of the processes answers, in the same order.
fn versions_report(processes: &[FleetProcess<'_>], views: &[Option<View<SeenVersion>>]) -> Report {
    let newest = views.iter().flatten().map(|view| view.body.version).max();
    let notes: Vec<&str> = views.iter().map(|view| note(view.as_ref(), newest)).collect();
    let wrong = notes.iter().filter(|note| !note.is_empty()).count();
    let mut rows = Vec::new();
    for ((process, view), note) in processes.iter().zip(views).zip(notes) {
        rows.push(versions_row(process, view.as_ref(), note));
    }
    let text = format!("{}{wrong} of {} processes need a look\n", table(&VERSIONS_HEAD, &rows), rows.len());
    let processes = processes.iter().zip(views).map(|(process, view)| ProcessReport {
        node: &process.summary.member.name,
        program: process.program,
        address: process.address,
        view: view.as_ref(),
    });
    let report = VersionsReport { newest, processes: processes.collect() };
    Report::new(Verdict::problem_if(wrong > 0), text, report)
}

/// What is wrong with a process, if anything is.
fn note(view: Option<&View<SeenVersion>>, newest: Option<u64>) -> &'static str {
    match view {
        None => "no answer",
        Some(view) if Some(view.body.version) != newest => "behind",
        Some(view) if is_stale(&view.origin) => "stale",
        Some(_) => "",
    }
}

fn versions_row(process: &FleetProcess<'_>, view: Option<&View<SeenVersion>>, note: &str) -> Vec<String> {
    let member = &process.summary.member;
    let mut row = vec![member.name.clone(), process.program.to_owned(), member.zone.clone()];
    match view {
        Some(View { origin, body }) => row.extend([
            body.version.to_string(),
            age(origin.age_ms),
            body.endpoints.to_string(),
            body.fed.len().to_string(),
        ]),
        None => row.extend(["-"; 4].map(str::to_owned)),
    }
    row.push(note.to_owned());
    row
}

/// What processes tell that are no members, such as one that waits for its disk, as far as they are asked by address.
async fn metrics_of_waiting(
    fleet: &Fleet,
    members: &[SocketAddrV4],
    node: Option<&str>,
) -> Vec<View<Metrics>> {
    let others = fleet.entries.iter().filter(|entry| !members.contains(entry)).copied();
    let others: Vec<SocketAddrV4> = others.collect();
    let mut views: Vec<View<Metrics>> = fleet.responses(&others, "figures").await;
    views.retain(|view| node.is_none_or(|node| view.origin.node == node));
    views
}

pub(super) async fn metrics(fleet: &Fleet, node: Option<&str>) -> Report {
    let mut places = places(&fleet.members().await);
    places.retain(|summary| node.is_none_or(|node| summary.member.name == node));
    let targets: Vec<SocketAddrV4> =
        processes(fleet, &places).iter().map(|process| process.address).collect();
    let mut views: Vec<View<Metrics>> = fleet.responses(&targets, "figures").await;
    let is_incomplete = views.len() < targets.len();
    views.extend(metrics_of_waiting(fleet, &targets, node).await);
    if views.is_empty() {
        return Report::silent();
    }
    Report::new(Verdict::problem_if(is_incomplete), exposition(&views), views)
}

//! `endpoints`: the endpoints as a proxy sees them, or as the platform's list has them if no proxy answers.

use super::{Report, Verdict, is_stale, provenance};
use crate::admin::View;
use crate::admin::query::{Fleet, places};
use crate::admin::table::{age, table};
use fleet_model::{Endpoint, EndpointState, ListVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

const PROXY_HEAD: [&str; 9] =
    ["SERVICE", "INSTANCE", "ADDRESS", "ZONE", "OUT", "CONNECTIONS", "SLOTS", "LOAD", "STATE"];
const LIST_HEAD: [&str; 6] = ["SERVICE", "INSTANCE", "ADDRESS", "ZONE", "SLOTS", "STATE"];
/// Reasons not to use an endpoint that tell of a failure; the others are planned or pass by themselves.
const FAILURES: [&str; 3] = ["ejected", "misdirected", "on trial"];

/// An endpoint as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenEndpoint {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    /// Requests under way.
    out: u32,
    connections: u32,
    slots: u32,
    /// The load that it told of itself.
    told: f64,
    /// Why it is not used.
    unused: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenEndpoints {
    endpoints: Vec<SeenEndpoint>,
}

/// The platform's list as a process knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListedEndpoints {
    stamp: ListVersion,
    list: Vec<Endpoint>,
}

pub(super) async fn endpoints(fleet: &Fleet, node: Option<&str>) -> Report {
    let members = places(&fleet.members().await);
    let edges = members.iter().filter(|summary| summary.member.role == "edge");
    let targets = edges.filter(|summary| node.is_none_or(|node| summary.member.name == node));
    for summary in targets {
        if let Some(view) = fleet.query(fleet.proxy(summary.member.ip), "endpoints").await {
            return report_of_proxy(view);
        }
    }
    if node.is_some() {
        return Report::silent();
    }
    // No proxy answers: the list is what can be told.
    let lists: Vec<View<ListedEndpoints>> = fleet.responses(&fleet.entries, "endpoints").await;
    let newest = lists.into_iter().max_by_key(|view| view.body.stamp);
    newest.as_ref().map_or_else(Report::silent, report_of_list)
}

fn report_of_proxy(mut view: View<SeenEndpoints>) -> Report {
    let endpoints = &mut view.body.endpoints;
    endpoints
        .sort_by(|a, b| (&a.service, &a.zone, &a.instance_id).cmp(&(&b.service, &b.zone, &b.instance_id)));
    let verdict = Verdict::problem_if(is_stale(&view.origin) || are_failing(&view.body.endpoints));
    let rows: Vec<Vec<String>> = view.body.endpoints.iter().map(proxy_row).collect();
    let text = format!(
        "{}as the proxy of {} sees them; its list was confirmed {} ago\n",
        table(&PROXY_HEAD, &rows),
        view.origin.node,
        age(view.origin.age_ms)
    );
    Report::new(verdict, text, view)
}

/// Whether one has failed, or a service has none that is used.
fn are_failing(endpoints: &[SeenEndpoint]) -> bool {
    let mut is_used: BTreeMap<&str, bool> = BTreeMap::new();
    for endpoint in endpoints {
        *is_used.entry(&endpoint.service).or_default() |= endpoint.unused.is_none();
    }
    let has_failed =
        |endpoint: &SeenEndpoint| endpoint.unused.as_deref().is_some_and(|reason| FAILURES.contains(&reason));
    endpoints.is_empty() || is_used.values().any(|is_used| !is_used) || endpoints.iter().any(has_failed)
}

fn proxy_row(endpoint: &SeenEndpoint) -> Vec<String> {
    vec![
        endpoint.service.clone(),
        endpoint.instance_id.clone(),
        endpoint.address.to_string(),
        endpoint.zone.clone(),
        endpoint.out.to_string(),
        endpoint.connections.to_string(),
        endpoint.slots.to_string(),
        format!("{:.1}", endpoint.told),
        endpoint.unused.clone().unwrap_or_else(|| "used".to_owned()),
    ]
}

fn report_of_list(view: &View<ListedEndpoints>) -> Report {
    let rows: Vec<Vec<String>> = view.body.list.iter().map(list_row).collect();
    let text =
        format!("{}no proxy answers; the list {}\n", table(&LIST_HEAD, &rows), provenance(&view.origin));
    Report::new(Verdict::Problem, text, view)
}

fn list_row(endpoint: &Endpoint) -> Vec<String> {
    let state = match endpoint.state {
        EndpointState::Ready => "listed",
        EndpointState::Draining => "draining",
    };
    vec![
        endpoint.service.clone(),
        endpoint.instance_id.clone(),
        endpoint.address.to_string(),
        endpoint.zone.clone(),
        endpoint.capacity_slots.to_string(),
        state.to_owned(),
    ]
}

//! The commands: each asks, judges what came, and shows it.

use super::asking::{Fleet, Place, places};
use super::figures::{Figures, exposition};
use super::table::{age, table};
use super::{Origin, View};
use bpaf::Bpaf;
use fleet_model::{EndpointState, Fence, Reservation, Roster, Store, account_holders};
use operator_config::{OperatorConfig, difference};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// What is older than this was not confirmed in the time in which a change has to be in force.
const STALE_MS: u64 = 2_000;
/// A machine that has heard no other for so long is cut off: each is probed more often.
const ALONE_MS: u64 = 5_000;

/// What staff can ask.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// The machines of the fleet, and who is suspected by whom
    #[bpaf(command("members"))]
    Members,
    /// The operator's configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// The endpoints as a proxy sees them, and why one is not used
    #[bpaf(command("endpoints"))]
    Endpoints {
        /// The proxy's machine; otherwise the first that answers
        #[bpaf(positional("NODE"), optional)]
        node: Option<String>,
    },
    /// Which storage machines hold a turn
    #[bpaf(command("turn"))]
    Turn {
        /// Its Attempt-Id
        #[bpaf(positional("ATTEMPT-ID"))]
        attempt: String,
    },
    /// The reservations of a program's account, at each of its holders
    #[bpaf(command("account"))]
    Account {
        /// The program
        #[bpaf(positional("PROGRAM"))]
        program: String,
    },
    /// The storage machines that count, a change under way, and those being emptied
    #[bpaf(command("roster"))]
    Roster,
    /// The configuration's version in force at each process, with its age
    #[bpaf(command("versions"))]
    Versions,
    /// Counters and gauges as exposition text
    #[bpaf(command("figures"))]
    Figures {
        /// Only those of this machine
        #[bpaf(positional("NODE"), optional)]
        node: Option<String>,
    },
}

/// What staff can ask of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum ConfigCommand {
    /// The newest configuration that is known, as the operator sent it
    #[bpaf(command("show"))]
    Show,
    /// All that is wrong in a file; asks nobody
    #[bpaf(command("check"))]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// What a file would change in the newest configuration that is known
    #[bpaf(command("diff"))]
    Diff {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// The versions that were taken, oldest first
    #[bpaf(command("history"))]
    History,
}

impl ConfigCommand {
    /// Whether it asks nobody.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::Check { .. })
    }
}

/// How it looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing wrong was found.
    Fine,
    /// Something is.
    Wrong,
    /// Nobody answered.
    Silent,
}

impl Verdict {
    /// The exit code.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Fine => 0,
            Self::Wrong => 1,
            Self::Silent => 3,
        }
    }

    fn wrong_if(wrong: bool) -> Self {
        if wrong { Self::Wrong } else { Self::Fine }
    }
}

/// What a command comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How it looks.
    pub verdict: Verdict,
    /// For people; ends with a line feed unless it is empty.
    pub text: String,
    /// The same for programs.
    pub json: serde_json::Value,
}

impl Report {
    fn silent() -> Self {
        Self { verdict: Verdict::Silent, text: String::new(), json: json!(null) }
    }
}

/// Carries a command out.
pub async fn carry_out(fleet: &Fleet, command: &Command) -> Report {
    match command {
        Command::Members => members(fleet).await,
        Command::Config(ConfigCommand::Check { file }) => check(file),
        Command::Config(ConfigCommand::Show) => newest_config(fleet).await.map_or_else(Report::silent, show),
        Command::Config(ConfigCommand::History) => {
            newest_config(fleet).await.map_or_else(Report::silent, |view| history(&view))
        }
        Command::Config(ConfigCommand::Diff { file }) => match read_config(file) {
            Err(report) => report,
            Ok(after) => newest_config(fleet).await.map_or_else(Report::silent, |view| diff(&view, &after)),
        },
        Command::Endpoints { node } => endpoints(fleet, node.as_deref()).await,
        Command::Turn { attempt } => turn(fleet, attempt).await,
        Command::Account { program } => account(fleet, program).await,
        Command::Roster => roster(fleet).await,
        Command::Versions => versions(fleet).await,
        Command::Figures { node } => figures(fleet, node.as_deref()).await,
    }
}

fn is_stale(origin: &Origin) -> bool {
    origin.age_ms.is_none_or(|age| age > STALE_MS)
}

fn names(nodes: &BTreeSet<String>) -> String {
    nodes.iter().map(String::as_str).collect::<Vec<_>>().join(" ")
}

// Members.

async fn members(fleet: &Fleet) -> Report {
    let views = fleet.members().await;
    if views.is_empty() {
        return Report::silent();
    }
    let all = places(&views);
    let rows: Vec<Vec<String>> = all
        .iter()
        .map(|place| {
            let member = &place.member;
            vec![
                member.role.clone(),
                member.name.clone(),
                member.ip.to_string(),
                member.zone.clone(),
                if member.suspected { "suspected" } else { "alive" }.to_owned(),
                names(&place.suspected_by),
                names(&place.missed_by),
            ]
        })
        .collect();
    let head = ["ROLE", "NODE", "ADDRESS", "ZONE", "STATE", "SUSPECTED BY", "NOT SEEN BY"];
    let alone: BTreeSet<String> = views
        .iter()
        .filter(|view| view.origin.age_ms.is_none_or(|age| age > ALONE_MS))
        .map(|view| view.origin.node.clone())
        .collect();
    let silent: Vec<&SocketAddrV4> =
        fleet.entries.iter().filter(|entry| views.iter().all(|view| view.origin.ip != *entry.ip())).collect();
    let asked: Vec<String> = views.iter().map(|view| view.origin.node.clone()).collect();
    let mut text = format!("{}{} members, as seen by {}\n", table(&head, &rows), all.len(), asked.join(", "));
    if !alone.is_empty() {
        text.push_str(&format!("no other machine heard lately by {}\n", names(&alone)));
    }
    if !silent.is_empty() {
        let silent: Vec<String> = silent.iter().map(ToString::to_string).collect();
        text.push_str(&format!("no answer from {}\n", silent.join(", ")));
    }
    let differ = all.iter().any(|place| place.member.suspected || !place.missed_by.is_empty());
    Report {
        // Who was named in the settings may be gone for good: its silence alone is not wrong.
        verdict: Verdict::wrong_if(differ || !alone.is_empty()),
        text,
        json: json!({
            "members": all, "alone": alone, "silent": silent,
            "seen_by": views.iter().map(|view| &view.origin).collect::<Vec<_>>(),
        }),
    }
}

// Configuration.

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeenConfig {
    version: u64,
    taken: Vec<u64>,
    digests: Vec<String>,
    config: String,
}

/// The newest one that anybody asked knows.
async fn newest_config(fleet: &Fleet) -> Option<View<SeenConfig>> {
    let views: Vec<View<SeenConfig>> = fleet.answers(&fleet.entries, "config").await;
    views.into_iter().min_by_key(|view| {
        (std::cmp::Reverse(view.says.version), view.origin.age_ms.is_none(), view.origin.age_ms)
    })
}

fn read_config(file: &Path) -> Result<OperatorConfig, Report> {
    let wrong = |text: String, json| Report { verdict: Verdict::Wrong, text, json };
    let bytes = std::fs::read(file).map_err(|e| {
        let text = format!("{}: {e}\n", file.display());
        let json = json!({ "findings": [{ "place": "document", "what": e.to_string() }] });
        wrong(text, json)
    })?;
    OperatorConfig::read(&bytes)
        .map_err(|findings| wrong(format!("{findings}\n"), json!({ "findings": findings.0 })))
}

fn check(file: &Path) -> Report {
    match read_config(file) {
        Err(report) => report,
        Ok(config) => Report {
            verdict: Verdict::Fine,
            text: format!(
                "{}: version {}, {} routes, {} services, nothing wrong\n",
                file.display(),
                config.version,
                config.routes.len(),
                config.services.len()
            ),
            json: json!({ "version": config.version, "findings": [] }),
        },
    }
}

/// Where a configuration is from, in a line.
fn source(view: &View<SeenConfig>) -> String {
    let (says, origin) = (&view.says, &view.origin);
    format!("version {}, as {} knew it {} ago", says.version, origin.node, age(origin.age_ms))
}

fn show(view: View<SeenConfig>) -> Report {
    Report {
        verdict: Verdict::wrong_if(is_stale(&view.origin) || view.says.version == 0),
        text: match view.says.version {
            0 => format!("no configuration yet, says {}\n", view.origin.node),
            _ => format!("{}\n", view.says.config.trim_end()),
        },
        json: json!(view),
    }
}

fn history(view: &View<SeenConfig>) -> Report {
    let rows: Vec<Vec<String>> = view
        .says
        .taken
        .iter()
        .zip(&view.says.digests)
        .map(|(version, digest)| {
            let in_force = *version == view.says.version;
            vec![version.to_string(), digest.clone(), if in_force { "in force" } else { "" }.to_owned()]
        })
        .collect();
    let newest =
        json!({ "taken": view.says.taken, "digests": view.says.digests, "version": view.says.version });
    Report {
        verdict: Verdict::wrong_if(is_stale(&view.origin)),
        text: format!("{}{}\n", table(&["VERSION", "SHA-256", ""], &rows), source(view)),
        json: json!(View { origin: view.origin.clone(), says: newest }),
    }
}

fn diff(view: &View<SeenConfig>, after: &OperatorConfig) -> Report {
    let before = match view.says.version {
        0 => Ok(OperatorConfig::default()),
        _ => OperatorConfig::read(view.says.config.as_bytes()),
    };
    let Ok(before) = before else {
        let text = format!("{}: cannot be read here\n", source(view));
        return Report { verdict: Verdict::Wrong, text, json: json!(null) };
    };
    let lines = difference(&before, after);
    // A version that is not above the current one is refused.
    let refused = after.version <= before.version && !lines.is_empty();
    let mut text = lines.iter().map(|line| format!("{line}\n")).collect::<String>();
    if lines.is_empty() {
        text.push_str("no difference\n");
    }
    if refused {
        text.push_str("would be refused: the version is not above the current one\n");
    }
    text.push_str(&format!("against {}\n", source(view)));
    Report {
        verdict: Verdict::wrong_if(refused || is_stale(&view.origin)),
        text,
        json: json!({ "against": view.origin, "version": before.version, "lines": lines, "refused": refused }),
    }
}

// Endpoints.

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenEndpoint {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    out: u32,
    connections: u32,
    slots: u32,
    told: f64,
    unused: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenEndpoints {
    endpoints: Vec<SeenEndpoint>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListedEndpoints {
    stamp: (u64, u64),
    list: Vec<fleet_model::Endpoint>,
}

async fn endpoints(fleet: &Fleet, node: Option<&str>) -> Report {
    let all = places(&fleet.members().await);
    let edges = all.iter().filter(|place| place.member.role == "edge");
    let asked = edges.filter(|place| node.is_none_or(|node| place.member.name == node));
    for place in asked {
        if let Some(view) = fleet.ask(fleet.proxy(place.member.ip), "endpoints").await {
            return proxys_endpoints(view);
        }
    }
    if node.is_some() {
        return Report::silent();
    }
    // No proxy answers: the list is what can be told.
    let lists: Vec<View<ListedEndpoints>> = fleet.answers(&fleet.entries, "endpoints").await;
    lists.into_iter().max_by_key(|view| view.says.stamp).map_or_else(Report::silent, listed_endpoints)
}

fn proxys_endpoints(mut view: View<SeenEndpoints>) -> Report {
    view.says
        .endpoints
        .sort_by(|a, b| (&a.service, &a.zone, &a.instance_id).cmp(&(&b.service, &b.zone, &b.instance_id)));
    let rows: Vec<Vec<String>> = view
        .says
        .endpoints
        .iter()
        .map(|endpoint| {
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
        })
        .collect();
    let failing = |why: &str| why == "ejected" || why == "misdirected" || why == "on trial";
    let mut used: BTreeMap<&str, bool> = BTreeMap::new();
    for endpoint in &view.says.endpoints {
        *used.entry(&endpoint.service).or_default() |= endpoint.unused.is_none();
    }
    let wrong = is_stale(&view.origin)
        || view.says.endpoints.is_empty()
        || used.values().any(|used| !used)
        || view.says.endpoints.iter().any(|endpoint| endpoint.unused.as_deref().is_some_and(failing));
    let head = ["SERVICE", "INSTANCE", "ADDRESS", "ZONE", "OUT", "CONNECTIONS", "SLOTS", "LOAD", "STATE"];
    Report {
        verdict: Verdict::wrong_if(wrong),
        text: format!(
            "{}as the proxy of {} sees them; its list was confirmed {} ago\n",
            table(&head, &rows),
            view.origin.node,
            age(view.origin.age_ms)
        ),
        json: json!(view),
    }
}

fn listed_endpoints(view: View<ListedEndpoints>) -> Report {
    let rows: Vec<Vec<String>> = view
        .says
        .list
        .iter()
        .map(|endpoint| {
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
        })
        .collect();
    Report {
        verdict: Verdict::Wrong,
        text: format!(
            "{}no proxy answers; the list as {} knew it {} ago\n",
            table(&["SERVICE", "INSTANCE", "ADDRESS", "ZONE", "SLOTS", "STATE"], &rows),
            view.origin.node,
            age(view.origin.age_ms)
        ),
        json: json!(view),
    }
}

// Storage.

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenRoster {
    roster: Roster,
    fences: BTreeMap<String, Fence>,
    losses: usize,
}

/// The newest one that anybody asked knows.
async fn newest_roster(fleet: &Fleet) -> Option<View<SeenRoster>> {
    let views: Vec<View<SeenRoster>> = fleet.answers(&fleet.entries, "roster").await;
    views.into_iter().min_by_key(|view| {
        (std::cmp::Reverse(view.says.roster.epoch), view.origin.age_ms.is_none(), view.origin.age_ms)
    })
}

/// Every storage machine of the roster, current ones first.
fn stores(roster: &Roster) -> Vec<&Store> {
    let mut all: Vec<&Store> = roster.current.iter().collect();
    all.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
    all
}

async fn roster(fleet: &Fleet) -> Report {
    let Some(view) = newest_roster(fleet).await else { return Report::silent() };
    let all = places(&fleet.members().await);
    roster_report(&view, &all)
}

fn roster_report(view: &View<SeenRoster>, all: &[Place]) -> Report {
    let roster = &view.says.roster;
    let mut absent = false;
    let mut rows = Vec::new();
    for store in stores(roster) {
        let place = all.iter().find(|place| place.member.ip == store.ip);
        let state = match place {
            None => "gone",
            Some(place) if place.member.suspected => "suspected",
            Some(_) => "alive",
        };
        let current = roster.current.contains(store);
        absent |= current && state != "alive";
        let next = match &roster.next {
            None => "",
            Some(next) if !next.contains(store) => "leaves",
            Some(_) if roster.filled.contains(&store.disk) => "full",
            Some(_) => "fills",
        };
        rows.push(vec![
            store.name.clone(),
            store.ip.to_string(),
            store.zone.clone(),
            store.disk.to_string(),
            state.to_owned(),
            if current { "counts" } else { "" }.to_owned(),
            next.to_owned(),
        ]);
    }
    let change = match &roster.next {
        None => "no change under way".to_owned(),
        Some(next) => format!("a change to {} machines is under way", next.len()),
    };
    let duties = view.says.fences.iter().map(|(duty, fence)| {
        let holder = fence.holder.map_or("nobody".to_owned(), |ip| {
            let place = all.iter().find(|place| place.member.ip == ip);
            place.map_or(ip.to_string(), |place| place.member.name.clone())
        });
        format!("duty {duty}: {holder}, fence {}\n", fence.number)
    });
    let retiring = match roster.retiring.is_empty() {
        true => String::new(),
        false => format!("retired or retiring: {}\n", roster.retiring.join(" ")),
    };
    let few = roster.current.len() < 2 * view.says.losses + 1;
    Report {
        verdict: Verdict::wrong_if(is_stale(&view.origin) || absent || few),
        text: format!(
            "{}epoch {}, {change}, as {} knew it {} ago\n{retiring}{}",
            table(&["NODE", "ADDRESS", "ZONE", "DISK", "STATE", "NOW", "NEXT"], &rows),
            roster.epoch,
            view.origin.node,
            age(view.origin.age_ms),
            duties.collect::<String>(),
        ),
        json: json!(view),
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenTurn {
    disk: u64,
    losses: usize,
    state: String,
    bytes: Option<u64>,
    previous: Option<String>,
    holders: Vec<u64>,
}

/// Asks storage machines, those of the roster and those among the members.
async fn ask_stores<T: serde::de::DeserializeOwned>(
    fleet: &Fleet,
    roster: Option<&Roster>,
    topic: &str,
) -> (BTreeMap<Ipv4Addr, String>, Vec<(SocketAddrV4, Option<View<T>>)>) {
    let mut names: BTreeMap<Ipv4Addr, String> =
        roster.iter().flat_map(|roster| stores(roster)).map(|store| (store.ip, store.name.clone())).collect();
    let members = places(&fleet.members().await);
    let storage = members.into_iter().filter(|place| place.member.role == "storage");
    names.extend(storage.map(|place| (place.member.ip, place.member.name)));
    let asked: Vec<SocketAddrV4> = names.keys().map(|ip| fleet.peer(*ip)).collect();
    let answers = fleet.ask_all(&asked, topic).await;
    (names, answers)
}

async fn turn(fleet: &Fleet, attempt: &str) -> Report {
    let known = newest_roster(fleet).await;
    let roster = known.as_ref().map(|view| &view.says.roster);
    let (names, answers) = ask_stores::<SeenTurn>(fleet, roster, &format!("turn {attempt}")).await;
    let views: Vec<&View<SeenTurn>> = answers.iter().filter_map(|(_, view)| view.as_ref()).collect();
    if views.is_empty() {
        return Report::silent();
    }
    let named: BTreeSet<u64> = views.iter().flat_map(|view| view.says.holders.iter().copied()).collect();
    let name = |ip: &Ipv4Addr| names.get(ip).cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> = answers
        .iter()
        .map(|(to, view)| match view {
            None => vec![name(to.ip()), to.ip().to_string(), String::new(), "no answer".to_owned()],
            Some(view) => vec![
                name(to.ip()),
                to.ip().to_string(),
                view.origin.zone.clone(),
                view.says.state.clone(),
                view.says.bytes.map_or(String::new(), |bytes| bytes.to_string()),
                if named.contains(&view.says.disk) { "named" } else { "" }.to_owned(),
                view.says.previous.clone().unwrap_or_default(),
            ],
        })
        .collect();
    let held = views.iter().filter(|view| view.says.state == "held").count();
    let least = views.iter().map(|view| view.says.losses + 1).max().unwrap_or(1);
    Report {
        verdict: Verdict::wrong_if(held < least),
        text: format!(
            "{}{held} of at least {least} copies\n",
            table(&["NODE", "ADDRESS", "ZONE", "STATE", "BYTES", "HOLDER", "PREVIOUS"], &rows)
        ),
        json: json!({ "copies": held, "least": least, "machines": views }),
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenAccount {
    disk: u64,
    known: bool,
    reservations: Vec<Reservation>,
}

async fn account(fleet: &Fleet, program: &str) -> Report {
    let Some(known) = newest_roster(fleet).await else { return Report::silent() };
    let roster = &known.says.roster;
    let holders = account_holders(&roster.current, program, known.says.losses);
    let asked: Vec<SocketAddrV4> = holders.iter().map(|store| fleet.peer(store.ip)).collect();
    let answers = fleet.ask_all::<SeenAccount>(&asked, &format!("account {program}")).await;
    if answers.iter().all(|(_, view)| view.is_none()) {
        return Report::silent();
    }
    account_report(&holders, &answers, known.says.losses)
}

fn account_report(
    holders: &[&Store],
    answers: &[(SocketAddrV4, Option<View<SeenAccount>>)],
    losses: usize,
) -> Report {
    let mut merged: BTreeMap<u64, u32> = BTreeMap::new();
    let mut columns: Vec<Option<BTreeMap<u64, u32>>> = Vec::new();
    for (_, view) in answers {
        let known = view.as_ref().filter(|view| view.says.known);
        columns.push(known.map(|view| {
            view.says.reservations.iter().map(|one| (one.attempt, one.tokens)).collect::<BTreeMap<_, _>>()
        }));
        for one in known.iter().flat_map(|view| &view.says.reservations) {
            // Two records of one try merge to the lower count.
            merged
                .entry(one.attempt)
                .and_modify(|tokens| *tokens = one.tokens.min(*tokens))
                .or_insert(one.tokens);
        }
    }
    let total: u64 = merged.values().map(|tokens| u64::from(*tokens)).sum();
    let mut head = vec!["TRY"];
    head.extend(holders.iter().map(|store| store.name.as_str()));
    head.push("COUNTS AS");
    let mut rows: Vec<Vec<String>> = merged
        .iter()
        .map(|(attempt, tokens)| {
            let mut row = vec![format!("{attempt:016x}")];
            row.extend(columns.iter().map(|column| match column {
                None => "?".to_owned(),
                Some(column) => column.get(attempt).map_or("-".to_owned(), u32::to_string),
            }));
            row.push(tokens.to_string());
            row
        })
        .collect();
    let mut last = vec!["total".to_owned()];
    last.extend(columns.iter().map(|column| match column {
        None => "?".to_owned(),
        Some(column) => column.values().map(|tokens| u64::from(*tokens)).sum::<u64>().to_string(),
    }));
    last.push(total.to_string());
    rows.push(last);
    let known = columns.iter().flatten().count();
    let of = holders.len();
    Report {
        // A majority of the holders has to answer for the sum to hold.
        verdict: Verdict::wrong_if(known < losses + 1),
        text: format!("{}{known} of {of} holders answer for it\n", table(&head, &rows)),
        json: json!({
            "total": total,
            "holders": holders.iter().map(|store| &store.name).collect::<Vec<_>>(),
            "machines": answers.iter().filter_map(|(_, view)| view.as_ref()).collect::<Vec<_>>(),
        }),
    }
}

// All processes.

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenVersion {
    version: u64,
    voters: Vec<Ipv4Addr>,
    endpoints: usize,
    fed: Vec<Ipv4Addr>,
}

/// Every process of the fleet: its machine and where it answers.
fn processes(fleet: &Fleet, all: &[Place]) -> Vec<(Place, &'static str, SocketAddrV4)> {
    let mut processes = Vec::new();
    for place in all {
        let program = match place.member.role.as_str() {
            "edge" => "proxy-agent",
            "core" => "config-keeper",
            _ => "turn-keeper",
        };
        processes.push((place.clone(), program, fleet.peer(place.member.ip)));
        if place.member.role == "edge" {
            processes.push((place.clone(), "request-proxy", fleet.proxy(place.member.ip)));
        }
    }
    processes
}

async fn versions(fleet: &Fleet) -> Report {
    let members = fleet.members().await;
    if members.is_empty() {
        return Report::silent();
    }
    let processes = processes(fleet, &places(&members));
    let asked: Vec<SocketAddrV4> = processes.iter().map(|(_, _, address)| *address).collect();
    let answers = fleet.ask_all::<SeenVersion>(&asked, "versions").await;
    let newest = answers.iter().filter_map(|(_, view)| Some(view.as_ref()?.says.version)).max();
    let mut wrong = 0;
    let mut rows = Vec::new();
    for ((place, program, _), (_, view)) in processes.iter().zip(&answers) {
        let mut row = vec![place.member.name.clone(), program.to_string(), place.member.zone.clone()];
        let note = match view {
            None => "no answer",
            Some(view) if Some(view.says.version) != newest => "behind",
            Some(view) if is_stale(&view.origin) => "stale",
            Some(_) => "",
        };
        if let Some(view) = view {
            row.push(view.says.version.to_string());
            row.push(age(view.origin.age_ms));
            row.push(view.says.endpoints.to_string());
            row.push(view.says.fed.len().to_string());
        } else {
            row.extend(["-"; 4].map(str::to_owned));
        }
        wrong += usize::from(!note.is_empty());
        row.push(note.to_owned());
        rows.push(row);
    }
    let head = ["NODE", "PROGRAM", "ZONE", "VERSION", "AGE", "ENDPOINTS", "FEEDS", "NOTE"];
    Report {
        verdict: Verdict::wrong_if(wrong > 0),
        text: format!("{}{wrong} of {} processes need a look\n", table(&head, &rows), rows.len()),
        json: json!({
            "newest": newest,
            "processes": processes.iter().zip(&answers).map(|((place, program, address), (_, view))| json!({
                "node": place.member.name, "program": program, "address": address, "view": view,
            })).collect::<Vec<_>>(),
        }),
    }
}

async fn figures(fleet: &Fleet, node: Option<&str>) -> Report {
    let mut all = places(&fleet.members().await);
    all.retain(|place| node.is_none_or(|node| place.member.name == node));
    let asked: Vec<SocketAddrV4> = processes(fleet, &all).iter().map(|(_, _, address)| *address).collect();
    let views: Vec<View<Figures>> = fleet.answers(&asked, "figures").await;
    if views.is_empty() {
        return Report::silent();
    }
    Report {
        verdict: Verdict::wrong_if(views.len() < asked.len()),
        text: exposition(&views),
        json: json!(views),
    }
}

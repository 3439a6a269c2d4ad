//! `account`: the reservations of a program's account, at each of its holders and as they count together.

use super::roster::newest_roster;
use super::{Report, Verdict};
use crate::admin::View;
use crate::admin::query::Fleet;
use crate::admin::table::table;
use fleet_model::{Reservation, StorageNode, account_replicas};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Tokens reserved, by attempt.
type Reservations = BTreeMap<u64, u32>;

/// An account as a storage machine knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SeenAccount {
    /// The machine's disk.
    disk: u64,
    /// Whether the machine may answer for the account.
    known: bool,
    reservations: Vec<Reservation>,
}

#[derive(Serialize)]
struct AccountReport<'a> {
    total: u64,
    holders: Vec<&'a str>,
    machines: Vec<&'a View<SeenAccount>>,
}

pub(super) async fn account(fleet: &Fleet, program: &str) -> Report {
    let Some(known) = newest_roster(fleet).await else { return Report::silent() };
    let losses = known.body.losses;
    let holders = account_replicas(&known.body.roster.current, program, losses);
    let targets: Vec<SocketAddrV4> = holders.iter().map(|store| fleet.peer(store.ip)).collect();
    let responses = fleet.query_all::<SeenAccount>(&targets, &format!("account {program}")).await;
    let views: Vec<Option<View<SeenAccount>>> = responses.into_iter().map(|(_, view)| view).collect();
    if views.iter().all(Option::is_none) {
        return Report::silent();
    }
    report(&holders, &views, losses)
}

/// `views`: what each of the holders answers, in the same order.
fn report(holders: &[&StorageNode], views: &[Option<View<SeenAccount>>], losses: usize) -> Report {
    let holders: Vec<&str> = holders.iter().map(|store| store.name.as_str()).collect();
    let columns: Vec<Option<Reservations>> = views.iter().map(|view| column(view.as_ref())).collect();
    let merged = merged(views);
    let known = columns.iter().flatten().count();
    let text = format!(
        "{}{known} of {} holders answer for it\n",
        account_table(&holders, &columns, &merged),
        holders.len()
    );
    // A majority of the holders has to answer for the sum to hold.
    let verdict = Verdict::problem_if(known < losses + 1);
    let machines = views.iter().flatten().collect();
    Report::new(verdict, text, AccountReport { total: total(&merged), holders, machines })
}

/// What a holder says; nothing if it does not answer for the account.
fn column(view: Option<&View<SeenAccount>>) -> Option<Reservations> {
    let body = &view?.body;
    body.known.then(|| body.reservations.iter().map(|one| (one.attempt, one.tokens)).collect())
}

/// What all holders say together: two records of one attempt merge to the lower count.
fn merged(views: &[Option<View<SeenAccount>>]) -> Reservations {
    let mut merged = Reservations::new();
    let known = views.iter().flatten().filter(|view| view.body.known);
    for reservation in known.flat_map(|view| &view.body.reservations) {
        let tokens = merged.entry(reservation.attempt).or_insert(reservation.tokens);
        *tokens = reservation.tokens.min(*tokens);
    }
    merged
}

fn total(reservations: &Reservations) -> u64 {
    reservations.values().map(|tokens| u64::from(*tokens)).sum()
}

fn account_table(holders: &[&str], columns: &[Option<Reservations>], merged: &Reservations) -> String {
    let mut head = vec!["TRY"];
    head.extend(holders);
    head.push("COUNTS AS");
    let mut rows: Vec<Vec<String>> =
        merged.iter().map(|(attempt, tokens)| attempt_row(*attempt, *tokens, columns)).collect();
    rows.push(total_row(columns, merged));
    table(&head, &rows)
}

fn attempt_row(attempt: u64, tokens: u32, columns: &[Option<Reservations>]) -> Vec<String> {
    let mut row = vec![format!("{attempt:016x}")];
    row.extend(columns.iter().map(|column| match column {
        None => "?".to_owned(),
        Some(column) => column.get(&attempt).map_or("-".to_owned(), u32::to_string),
    }));
    row.push(tokens.to_string());
    row
}

fn total_row(columns: &[Option<Reservations>], merged: &Reservations) -> Vec<String> {
    let mut row = vec!["total".to_owned()];
    row.extend(columns.iter().map(|column| match column {
        None => "?".to_owned(),
        Some(column) => total(column).to_string(),
    }));
    row.push(total(merged).to_string());
    row
}

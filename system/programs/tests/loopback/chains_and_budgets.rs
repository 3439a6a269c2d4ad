//! Proxies of several zones over the same storage machines.

use crate::machines::{Machine, chosen, own_address, run};
use crate::storage_cluster::Storage;
use bytes::Bytes;
use fleet_model::ControlState;
use googletest::prelude::*;
use request_forwarding::{ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use std::net::Ipv4Addr;
use system_programs::feed::new_feed;
use system_programs::turns::{TurnClient, Turns};
use tokio::net::TcpListener;

const ZONES: [&str; 3] = ["a", "b", "c"];
const PROGRAM: &str = "program";
const BUDGET: u32 = 100;
/// So often is asked where the answer is that it cannot be told, as on a machine whose disks are slow.
const MOST_TRIES: usize = 5;

/// Storage machines, and the port at which all of them listen.
async fn storage() -> (Storage, u16) {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = free.local_addr().unwrap().port();
    let fleet = Machine::new(own_address(), "a", port).process.fleet();
    (Storage::start(&ZONES, port, fleet).await, port)
}

/// A proxy's way to the storage machines, in a process that has just started in this zone.
fn proxy(zone: &str, storage: &Storage, port: u16) -> Turns {
    let process = Machine::new(own_address(), zone, port).process;
    let feed = new_feed(&process);
    let state = ControlState { roster: storage.roster.clone(), ..ControlState::default() };
    feed.update_value(chosen(1, &state));
    Turns(TurnClient::new(process, feed))
}

fn turn(attempt: &str, previous: Option<&str>) -> CompletedTurn {
    CompletedTurn {
        attempt: attempt.into(),
        previous: previous.map(Into::into),
        program: PROGRAM.into(),
        input: Bytes::from(format!("in-{attempt};")),
        output: Bytes::from(format!("out-{attempt};")),
        retention_ms: 60_000,
        tokens: 1,
        served_by: Some(format!("endpoint-of-{attempt}").into()),
    }
}

/// Reserves; 503 is an answer that may be given at any time, and is asked again after.
async fn reserve(proxy: &Turns, program: &str, attempt: &str, most: u32, budget: u32) -> ReserveOutcome {
    for _ in 0..MOST_TRIES {
        match proxy.reserve(program, attempt, most, budget).await {
            ReserveOutcome::Unavailable => {}
            reserved => return reserved,
        }
    }
    ReserveOutcome::Unavailable
}

/// The turns up to this one, asked for in the same way.
async fn chain(proxy: &Turns, attempt: &str) -> ChainLookup {
    for _ in 0..MOST_TRIES {
        match proxy.chain(attempt).await {
            ChainLookup::Unavailable => {}
            chain => return chain,
        }
    }
    ChainLookup::Unavailable
}

fn is_text(chain: &ChainLookup, expected: &str) -> bool {
    matches!(chain, ChainLookup::Found(chain) if chain.text == expected)
}

#[gtest]
fn a_chain_whose_turns_came_in_by_another_zone_each_time_is_found_whole() {
    run(async {
        let (mut storage, port) = storage().await;
        // Given a program whose turns come in by a proxy of another zone each time,
        let proxies: Vec<Turns> = ZONES.iter().map(|zone| proxy(zone, &storage, port)).collect();
        let mut expected = String::new();
        let mut previous: Option<String> = None;
        for place in 0..7 {
            let proxy = &proxies[place % ZONES.len()];
            // when each asks for the turns before its own, then it has them all, none left out and none older than told,
            if let Some(previous) = &previous {
                expect_true!(is_text(&chain(proxy, previous).await, &expected), "before turn {place}");
            }
            let attempt = format!("t{place}");
            expect_true!(proxy.store_turn(turn(&attempt, previous.as_deref())).await);
            expected += &format!("in-{attempt};out-{attempt};");
            previous = Some(attempt);
        }
        // and so has a proxy of any zone that has just started, also with any one zone gone.
        let last = previous.unwrap();
        for zone in ZONES {
            expect_true!(
                is_text(&chain(&proxy(zone, &storage, port), &last).await, &expected),
                "from {zone}"
            );
        }
        storage.lose_zone("b");
        for zone in ZONES {
            expect_true!(
                is_text(&chain(&proxy(zone, &storage, port), &last).await, &expected),
                "from {zone}"
            );
        }
    });
}

#[gtest]
fn proxies_of_every_zone_learn_the_endpoint_that_served_a_turn() {
    run(async {
        let (storage, port) = storage().await;
        let first = proxy("a", &storage, port);
        expect_true!(first.store_turn(turn("t0", None)).await);
        expect_true!(first.store_turn(turn("t1", Some("t0"))).await);
        for zone in ZONES {
            let ChainLookup::Found(found) = chain(&proxy(zone, &storage, port), "t1").await else {
                panic!("no chain from {zone}");
            };
            expect_that!(found.served_by.as_deref(), some(eq("endpoint-of-t1")), "from {zone}");
        }
    });
}

#[gtest]
fn a_program_stopped_at_its_budget_stays_so_when_it_comes_back_after_all_storage_restarted() {
    run(async {
        // Given a program that has used its budget up, and was told so.
        let (mut storage, port) = storage().await;
        let first = proxy("a", &storage, port);
        expect_that!(reserve(&first, PROGRAM, "t1", 90, BUDGET).await, eq(ReserveOutcome::Granted));
        expect_that!(reserve(&first, PROGRAM, "t2", 10, BUDGET).await, eq(ReserveOutcome::Granted));
        expect_that!(reserve(&first, PROGRAM, "t3", 1, BUDGET).await, eq(ReserveOutcome::BudgetExhausted));
        // When it comes back, by any zone, again and again, before and after all storage machines restarted,
        for round in 0..3 {
            for zone in ZONES {
                let later = proxy(zone, &storage, port);
                let attempt = format!("later-{round}-{zone}");
                // then it is told so each time, and what was refused does not count:
                expect_that!(
                    reserve(&later, PROGRAM, &attempt, 1, BUDGET).await,
                    eq(ReserveOutcome::BudgetExhausted)
                );
                // another program is not.
                expect_that!(
                    reserve(&later, "other", &attempt, 1, BUDGET).await,
                    eq(ReserveOutcome::Granted)
                );
            }
            storage.restart_all().await;
        }
        // A budget that was raised lets it go on with exactly what is above what it used.
        let last = proxy("c", &storage, port);
        expect_that!(reserve(&last, PROGRAM, "t4", 5, BUDGET + 5).await, eq(ReserveOutcome::Granted));
    });
}

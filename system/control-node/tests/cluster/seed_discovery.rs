//! Seeds are a way in and nothing more: none may listen yet, and later they may be cut off or gone.

use crate::in_memory_cluster::{Fleet, seeds};
use crate::{ip, run, seconds};
use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The longest wait for something that a fleet does by itself.
const COMES_ABOUT: u64 = 20;

/// Core machines that are no seeds.
fn further(place: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 11 + place)
}

/// Waits until this holds, a few seconds at most.
async fn comes_about(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..COMES_ABOUT * 10 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("it never comes about that {what}");
}

/// Whether this node votes, and is confirmed in what it knows.
fn votes(fleet: &Fleet, ip: Ipv4Addr) -> bool {
    let node = fleet.node(ip);
    node.is_fresh() && node.feed.value().voters.contains(&ip)
}

async fn version_at(fleet: &Fleet, ip: Ipv4Addr) -> Option<u64> {
    match fleet.node(ip).config().await {
        CurrentConfig::Current(state) => Some(state.version()),
        CurrentConfig::Nothing | CurrentConfig::Unavailable => None,
    }
}

/// Three seeds and four further voters, with version 1 in force.
async fn fleet_of_seven() -> Rc<Fleet> {
    let fleet = Fleet::start(&[]);
    expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
    for place in 0..4 {
        fleet.start_node(further(place));
        comes_about("a further machine votes", || votes(&fleet, further(place))).await;
    }
    fleet
}

#[gtest]
fn a_machine_that_starts_before_any_seed_listens_votes_once_they_do() {
    run(async {
        // Given a machine that is no seed and started first, for long alone,
        let fleet = Rc::new(Fleet::default());
        fleet.start_node(further(0));
        sleep(seconds(30)).await;
        expect_false!(fleet.node(further(0)).is_fresh());
        // and a seed alone, which is no majority of the seeds.
        fleet.start_node(ip(1));
        sleep(seconds(30)).await;
        expect_that!(fleet.commit(ip(1), 1).await, eq(&PutConfigOutcome::Unavailable));
        // When a second seed starts, then the fleet is founded, and takes the early one in.
        fleet.start_node(ip(2));
        expect_that!(fleet.commit(ip(1), 1).await, eq(&PutConfigOutcome::Committed(1)));
        comes_about("the early machine votes", || votes(&fleet, further(0))).await;
        expect_that!(version_at(&fleet, further(0)).await, some(eq(1)));
        // The last seed finds what was founded without it.
        fleet.start_node(ip(0));
        comes_about("the last seed votes", || votes(&fleet, ip(0))).await;
        expect_that!(version_at(&fleet, ip(0)).await, some(eq(1)));
        expect_that!(fleet.untrue(), is_empty());
    });
}

#[gtest]
fn a_new_machine_finds_the_core_through_any_one_seed_and_then_goes_by_its_voters() {
    for live in 0..3 {
        run(async move {
            // Given a core of seven, of whose seeds two are cut off for good.
            let fleet = fleet_of_seven().await;
            let cut_off = seeds().into_iter().filter(|seed| *seed != ip(live));
            cut_off.for_each(|seed| fleet.cut_off(seed));
            // When a new machine starts that knows the seeds alone, then it comes to vote.
            fleet.start_node(further(4));
            comes_about("the new machine votes", || votes(&fleet, further(4))).await;
            // When the last seed is cut off as well, then it takes orders with the voters that it has heard of.
            fleet.cut_off(ip(live));
            expect_that!(fleet.commit(further(4), 2).await, eq(&PutConfigOutcome::Committed(2)));
            expect_that!(version_at(&fleet, further(4)).await, some(eq(2)));
        });
    }
}

#[gtest]
fn voters_go_on_without_any_seed_as_long_as_they_are_a_majority() {
    run(async {
        // Given a core of seven, four of which are no seeds.
        let fleet = fleet_of_seven().await;
        // When all seeds are cut off, then the four take orders and know what is in force,
        seeds().into_iter().for_each(|seed| fleet.cut_off(seed));
        for place in 0..4 {
            let version = 2 + u64::from(place);
            expect_that!(
                fleet.commit(further(place), version).await,
                eq(&PutConfigOutcome::Committed(version))
            );
        }
        sleep(seconds(30)).await;
        for place in 0..4 {
            expect_true!(votes(&fleet, further(place)));
            expect_that!(version_at(&fleet, further(place)).await, some(eq(5)));
        }
        expect_that!(fleet.untrue(), is_empty());
    });
}

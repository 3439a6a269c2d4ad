//! Control nodes in memory. What a disk refuses ends no node: it does not vote meanwhile, serves what needs no write, and
//! votes again with the first write that succeeds.

mod in_memory_cluster;
mod invalid_configurations;
mod seed_discovery;

use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;
use in_memory_cluster::{Fleet, Mood, seeds};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

pub(crate) fn run(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), story);
}

pub(crate) fn ip(place: usize) -> Ipv4Addr {
    seeds()[place]
}

pub(crate) fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_node_whose_disk_refuses_serves_on_and_votes_again() {
    run(async {
        // Given a fleet with a configuration, when one disk refuses,
        let fleet = Fleet::start(&[]);
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        fleet.set_mood(ip(2), Mood::Refuses);
        // then the others commit, also what is sent to this one, and it reads what is confirmed;
        expect_that!(fleet.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(fleet.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        sleep(seconds(3)).await;
        let node = fleet.node(ip(2));
        expect_that!(node.is_fresh(), eq(true));
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 3),
            eq(true)
        );
        expect_that!(node.disk().is_refusing, eq(true));
        expect_that!(node.disk().refusals, gt(1));
        // it tells of it once; and once it is over, it votes again by itself.
        expect_that!(fleet.disk_events(ip(2)).len(), eq(1));
        fleet.set_mood(ip(2), Mood::Takes);
        sleep(seconds(1)).await;
        expect_that!(node.disk().is_refusing, eq(false));
        expect_that!(fleet.disk_events(ip(2)).len(), eq(2));
        fleet.set_mood(ip(0), Mood::Refuses);
        expect_that!(fleet.commit(ip(1), 4).await, eq(&PutConfigOutcome::Committed(4)));
        expect_that!(fleet.untrue(), is_empty());
    });
}

#[gtest]
fn a_majority_whose_disks_refuse_confirms_no_order_and_ends_nothing() {
    run(async {
        let fleet = Fleet::start(&[]);
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // When two of three refuse, then no order is confirmed or refused, by any of them,
        fleet.set_mood(ip(1), Mood::Refuses);
        fleet.set_mood(ip(2), Mood::Refuses);
        for place in 0..3 {
            expect_that!(fleet.commit(ip(place), 2).await, eq(&PutConfigOutcome::Unavailable));
        }
        // and the one that is sent again afterwards is.
        fleet.set_mood(ip(1), Mood::Takes);
        expect_that!(fleet.commit(ip(2), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(fleet.untrue(), is_empty());
    });
}

#[gtest]
fn a_disk_that_refuses_one_write_is_voted_with_again_at_the_next() {
    run(async {
        let fleet = Fleet::start(&[]);
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        for version in 2..20 {
            for place in 0..3 {
                fleet.set_mood(ip(place), Mood::RefusesOnce);
            }
            expect_that!(
                fleet.commit(ip(version as usize % 3), version).await,
                eq(&PutConfigOutcome::Committed(version))
            );
        }
        sleep(seconds(1)).await;
        for place in 0..3 {
            expect_that!(fleet.node(ip(place)).disk().is_refusing, eq(false));
        }
        expect_that!(fleet.untrue(), is_empty());
    });
}

#[gtest]
fn a_stalled_disk_holds_up_votes_and_no_reads() {
    run(async {
        let fleet = Fleet::start(&[]);
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // Given a disk that stalls for seconds and a vote that waits for it,
        fleet.set_mood(ip(2), Mood::Stalls(seconds(5)));
        expect_that!(fleet.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        // then its polls confirm what it knows all the while,
        let node = fleet.node(ip(2));
        for _ in 0..30 {
            sleep(Duration::from_millis(100)).await;
            expect_that!(node.is_fresh(), eq(true));
        }
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 2),
            eq(true)
        );
        // and no vote is told before it is on disk.
        fleet.set_mood(ip(2), Mood::Takes);
        sleep(seconds(6)).await;
        fleet.set_mood(ip(0), Mood::Refuses);
        expect_that!(fleet.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        expect_that!(fleet.untrue(), is_empty());
    });
}

#[gtest]
fn a_first_start_on_a_refusing_disk_founds_once_it_takes_writes() {
    run(async {
        let all: Vec<_> = seeds().into_iter().map(|ip| (ip, Mood::Refuses)).collect();
        let fleet = Fleet::start(&all);
        sleep(seconds(2)).await;
        expect_that!(fleet.node(ip(0)).can_vote(), eq(false));
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Unavailable));
        for place in 0..3 {
            fleet.set_mood(ip(place), Mood::Takes);
        }
        expect_that!(fleet.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(fleet.untrue(), is_empty());
    });
}

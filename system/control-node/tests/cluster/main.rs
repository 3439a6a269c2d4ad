//! Control nodes in memory. What a disk refuses ends no node: it does not vote meanwhile, serves what needs no write, and
//! votes again with the first write that succeeds.

mod coordination;
mod in_memory_cluster;
mod invalid_configurations;
mod orders;
mod seed_discovery;

use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;
use in_memory_cluster::{Cluster, DiskBehavior, seeds};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

pub(crate) fn run(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario);
}

pub(crate) fn ip(index: usize) -> Ipv4Addr {
    seeds()[index]
}

pub(crate) fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_node_whose_disk_refuses_keeps_serving_and_votes_again() {
    run(async {
        // Given a cluster with a configuration, when one disk refuses,
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        cluster.set_disk_behavior(ip(2), DiskBehavior::Refuses);
        // then the others commit, also what is sent to this one, and it reads what is confirmed;
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        sleep(seconds(3)).await;
        let node = cluster.node(ip(2));
        expect_that!(node.is_fresh(), eq(true));
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 3),
            eq(true)
        );
        expect_that!(node.disk().is_refusing, eq(true));
        expect_that!(node.disk().refusals, gt(1));
        // it tells of it once; and once it is over, it votes again by itself.
        expect_that!(cluster.disk_events(ip(2)).len(), eq(1));
        cluster.set_disk_behavior(ip(2), DiskBehavior::Accepts);
        sleep(seconds(1)).await;
        expect_that!(node.disk().is_refusing, eq(false));
        expect_that!(cluster.disk_events(ip(2)).len(), eq(2));
        cluster.set_disk_behavior(ip(0), DiskBehavior::Refuses);
        expect_that!(cluster.commit(ip(1), 4).await, eq(&PutConfigOutcome::Committed(4)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_majority_of_refusing_disks_commits_nothing_and_ends_no_node() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // When two of three refuse, then no order is confirmed or refused, by any of them,
        cluster.set_disk_behavior(ip(1), DiskBehavior::Refuses);
        cluster.set_disk_behavior(ip(2), DiskBehavior::Refuses);
        for index in 0..3 {
            expect_that!(cluster.commit(ip(index), 2).await, eq(&PutConfigOutcome::Unavailable));
        }
        // and the one that is sent again afterwards is.
        cluster.set_disk_behavior(ip(1), DiskBehavior::Accepts);
        expect_that!(cluster.commit(ip(2), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_node_votes_again_after_one_refused_write() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        for version in 2..20 {
            for index in 0..3 {
                cluster.set_disk_behavior(ip(index), DiskBehavior::RefusesOnce);
            }
            expect_that!(
                cluster.commit(ip(version as usize % 3), version).await,
                eq(&PutConfigOutcome::Committed(version))
            );
        }
        sleep(seconds(1)).await;
        for index in 0..3 {
            expect_that!(cluster.node(ip(index)).disk().is_refusing, eq(false));
        }
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_stalled_disk_delays_votes_but_not_reads() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // Given a disk that stalls for seconds and a vote that waits for it,
        cluster.set_disk_behavior(ip(2), DiskBehavior::Stalls(seconds(5)));
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        // then its polls confirm what it knows all the while,
        let node = cluster.node(ip(2));
        for _ in 0..30 {
            sleep(Duration::from_millis(100)).await;
            expect_that!(node.is_fresh(), eq(true));
        }
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 2),
            eq(true)
        );
        // and no vote is vote before it is on disk.
        cluster.set_disk_behavior(ip(2), DiskBehavior::Accepts);
        sleep(seconds(6)).await;
        cluster.set_disk_behavior(ip(0), DiskBehavior::Refuses);
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_first_start_on_a_refusing_disk_founds_once_it_accepts_writes() {
    run(async {
        let all: Vec<_> = seeds().into_iter().map(|ip| (ip, DiskBehavior::Refuses)).collect();
        let cluster = Cluster::start(&all);
        sleep(seconds(2)).await;
        expect_that!(cluster.node(ip(0)).can_vote(), eq(false));
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Unavailable));
        for index in 0..3 {
            cluster.set_disk_behavior(ip(index), DiskBehavior::Accepts);
        }
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

//! Tests of control nodes on an in-memory cluster. This file covers disk failures: a node whose writes fail keeps running and
//! serves requests that need no write, does not vote meanwhile, and votes again after the first write that succeeds.

mod coordination;
mod founding;
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
    LocalSet::new().block_on(&runtime.expect("the Tokio runtime starts"), scenario);
}

pub(crate) fn ip(index: usize) -> Ipv4Addr {
    seeds()[index]
}

pub(crate) fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_node_with_failing_writes_serves_reads_and_votes_again_after_recovery() {
    run(async {
        // Given a cluster with a configuration, when the writes of one node fail,
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        cluster.set_disk_behavior(ip(2), DiskBehavior::Refuses);
        // then the other nodes commit orders, including those sent to the failing node, which serves confirmed reads;
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        sleep(seconds(3)).await;
        let node = cluster.node(ip(2));
        expect_that!(node.is_fresh(), eq(true));
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 3),
            eq(true)
        );
        expect_that!(node.disk().is_failing, eq(true));
        expect_that!(node.disk().failed_writes, gt(1));
        // it reports the failure only once, and it votes again when its disk has recovered.
        expect_that!(cluster.disk_events(ip(2)).len(), eq(1));
        cluster.set_disk_behavior(ip(2), DiskBehavior::Accepts);
        sleep(seconds(1)).await;
        expect_that!(node.disk().is_failing, eq(false));
        expect_that!(cluster.disk_events(ip(2)).len(), eq(2));
        cluster.set_disk_behavior(ip(0), DiskBehavior::Refuses);
        expect_that!(cluster.commit(ip(1), 4).await, eq(&PutConfigOutcome::Committed(4)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_majority_of_failing_disks_commits_nothing_and_stops_no_node() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // When the writes of two of three nodes fail, then no node commits or rejects an order,
        cluster.set_disk_behavior(ip(1), DiskBehavior::Refuses);
        cluster.set_disk_behavior(ip(2), DiskBehavior::Refuses);
        for index in 0..3 {
            expect_that!(cluster.commit(ip(index), 2).await, eq(&PutConfigOutcome::Unavailable));
        }
        // and an order that is retried after the recovery of one disk is committed.
        cluster.set_disk_behavior(ip(1), DiskBehavior::Accepts);
        expect_that!(cluster.commit(ip(2), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_node_votes_again_after_one_failed_write() {
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
            expect_that!(cluster.node(ip(index)).disk().is_failing, eq(false));
        }
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_stalled_disk_delays_votes_but_not_reads() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        // Given a disk that stalls for seconds and a vote that waits for it
        cluster.set_disk_behavior(ip(2), DiskBehavior::Stalls(seconds(5)));
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        // then its polls keep confirming its state,
        let node = cluster.node(ip(2));
        for _ in 0..30 {
            sleep(Duration::from_millis(100)).await;
            expect_that!(node.is_fresh(), eq(true));
        }
        expect_that!(
            matches!(node.config().await, CurrentConfig::Current(state) if state.version() == 2),
            eq(true)
        );
        // and no vote is sent before it is on disk.
        cluster.set_disk_behavior(ip(2), DiskBehavior::Accepts);
        sleep(seconds(6)).await;
        cluster.set_disk_behavior(ip(0), DiskBehavior::Refuses);
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_new_cluster_on_failing_disks_founds_the_register_once_writes_succeed() {
    run(async {
        let failing_disks: Vec<_> = seeds().into_iter().map(|ip| (ip, DiskBehavior::Refuses)).collect();
        let cluster = Cluster::start(&failing_disks);
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

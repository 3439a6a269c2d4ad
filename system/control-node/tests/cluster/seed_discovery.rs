//! Seeds are a way in and nothing more: none may listen yet, and later they may be cut off or gone.

use crate::in_memory_cluster::{Cluster, seeds};
use crate::{ip, run, seconds};
use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The longest wait for something that a cluster does by itself.
const WAIT_TIMEOUT_S: u64 = 20;

/// Core machines that are no seeds.
fn non_seed(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 11 + index)
}

/// Waits until this holds, a few seconds at most.
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..WAIT_TIMEOUT_S * 10 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("it never comes about that {what}");
}

/// Whether this node votes, and is confirmed in what it knows.
fn votes(cluster: &Cluster, ip: Ipv4Addr) -> bool {
    let node = cluster.node(ip);
    node.is_fresh() && node.feed.value().voters.contains(&ip)
}

async fn version_at(cluster: &Cluster, ip: Ipv4Addr) -> Option<u64> {
    match cluster.node(ip).config().await {
        CurrentConfig::Current(state) => Some(state.version()),
        CurrentConfig::Nothing | CurrentConfig::Unavailable => None,
    }
}

/// Three seeds and four further voters, with version 1 in force.
async fn cluster_of_seven() -> Rc<Cluster> {
    let cluster = Cluster::start(&[]);
    expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
    for index in 0..4 {
        cluster.start_node(non_seed(index));
        wait_until("a further machine votes", || votes(&cluster, non_seed(index))).await;
    }
    cluster
}

#[gtest]
fn a_node_that_starts_before_any_seed_votes_once_seeds_listen() {
    run(async {
        // Given a machine that is no seed and started first, for long alone,
        let cluster = Rc::new(Cluster::default());
        cluster.start_node(non_seed(0));
        sleep(seconds(30)).await;
        expect_false!(cluster.node(non_seed(0)).is_fresh());
        // and a seed alone, which is no majority of the seeds.
        cluster.start_node(ip(1));
        sleep(seconds(30)).await;
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Unavailable));
        // When a second seed starts, then the cluster is founded, and takes the early one in.
        cluster.start_node(ip(2));
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Committed(1)));
        wait_until("the early machine votes", || votes(&cluster, non_seed(0))).await;
        expect_that!(version_at(&cluster, non_seed(0)).await, some(eq(1)));
        // The last seed finds what was founded without it.
        cluster.start_node(ip(0));
        wait_until("the last seed votes", || votes(&cluster, ip(0))).await;
        expect_that!(version_at(&cluster, ip(0)).await, some(eq(1)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_new_node_finds_the_voters_through_any_one_seed() {
    for live in 0..3 {
        run(async move {
            // Given a core of seven, of whose seeds two are cut off for good.
            let cluster = cluster_of_seven().await;
            let others = seeds().into_iter().filter(|seed| *seed != ip(live));
            others.for_each(|seed| cluster.disconnect(seed));
            // When a new machine starts that knows the seeds alone, then it comes to vote.
            cluster.start_node(non_seed(4));
            wait_until("the new machine votes", || votes(&cluster, non_seed(4))).await;
            // When the last seed is cut off as well, then it takes orders with the voters that it has heard of.
            cluster.disconnect(ip(live));
            expect_that!(cluster.commit(non_seed(4), 2).await, eq(&PutConfigOutcome::Committed(2)));
            expect_that!(version_at(&cluster, non_seed(4)).await, some(eq(2)));
        });
    }
}

#[gtest]
fn a_majority_of_voters_works_without_any_seed() {
    run(async {
        // Given a core of seven, four of which are no seeds.
        let cluster = cluster_of_seven().await;
        // When all seeds are cut off, then the four take orders and know what is in force,
        seeds().into_iter().for_each(|seed| cluster.disconnect(seed));
        for index in 0..4 {
            let version = 2 + u64::from(index);
            expect_that!(
                cluster.commit(non_seed(index), version).await,
                eq(&PutConfigOutcome::Committed(version))
            );
        }
        sleep(seconds(30)).await;
        for index in 0..4 {
            expect_true!(votes(&cluster, non_seed(index)));
            expect_that!(version_at(&cluster, non_seed(index)).await, some(eq(5)));
        }
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

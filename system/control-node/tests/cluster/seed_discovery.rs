//! Seeds are only contact points for new nodes: a node may start before any seed listens, and an established cluster must work
//! without seeds.

use crate::in_memory_cluster::{Cluster, seeds};
use crate::{ip, run, seconds};
use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time to wait for a condition, in seconds.
const WAIT_TIMEOUT_S: u64 = 20;

/// The address of a control node that is not a seed.
fn non_seed(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 11 + index)
}

/// Waits until a condition holds, [`WAIT_TIMEOUT_S`] at most. `description` names the condition in the failure message.
async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..WAIT_TIMEOUT_S * 10 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("timed out waiting until {description}");
}

/// Whether a node is a voter and a majority has confirmed its state.
fn is_confirmed_voter(cluster: &Cluster, ip: Ipv4Addr) -> bool {
    let node = cluster.node(ip);
    node.is_fresh() && node.feed.value().voters.contains(&ip)
}

async fn config_version(cluster: &Cluster, ip: Ipv4Addr) -> Option<u64> {
    match cluster.node(ip).config().await {
        CurrentConfig::Current(state) => Some(state.version()),
        CurrentConfig::Unset | CurrentConfig::Unavailable => None,
    }
}

/// Three seeds and four other voters, with configuration version 1 in force.
async fn cluster_of_seven() -> Rc<Cluster> {
    let cluster = Cluster::start(&[]);
    expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
    for index in 0..4 {
        cluster.start_node(non_seed(index));
        wait_until("the additional node votes", || is_confirmed_voter(&cluster, non_seed(index))).await;
    }
    cluster
}

#[gtest]
fn a_node_that_starts_before_any_seed_votes_once_seeds_listen() {
    run(async {
        // Given a node that is not a seed and runs alone for a long time,
        let cluster = Rc::new(Cluster::default());
        cluster.start_node(non_seed(0));
        sleep(seconds(30)).await;
        expect_false!(cluster.node(non_seed(0)).is_fresh());
        // and a single seed, which is not a majority of the seeds.
        cluster.start_node(ip(1));
        sleep(seconds(30)).await;
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Unavailable));
        // When a second seed starts, then the cluster is founded and the early node joins it.
        cluster.start_node(ip(2));
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Committed(1)));
        wait_until("the early node votes", || is_confirmed_voter(&cluster, non_seed(0))).await;
        expect_that!(config_version(&cluster, non_seed(0)).await, some(eq(1)));
        // The last seed joins the cluster that was founded without it.
        cluster.start_node(ip(0));
        wait_until("the last seed votes", || is_confirmed_voter(&cluster, ip(0))).await;
        expect_that!(config_version(&cluster, ip(0)).await, some(eq(1)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_new_node_finds_the_voters_through_any_one_seed() {
    for live in 0..3 {
        run(async move {
            // Given a cluster of seven control nodes, of which two seeds are disconnected permanently.
            let cluster = cluster_of_seven().await;
            let others = seeds().into_iter().filter(|seed| *seed != ip(live));
            others.for_each(|seed| cluster.disconnect(seed));
            // When a new node starts that knows only the seeds, then it becomes a voter.
            cluster.start_node(non_seed(4));
            wait_until("the new node votes", || is_confirmed_voter(&cluster, non_seed(4))).await;
            // When the last seed is disconnected as well, then the new node commits orders with the voters that it has learned of.
            cluster.disconnect(ip(live));
            expect_that!(cluster.commit(non_seed(4), 2).await, eq(&PutConfigOutcome::Committed(2)));
            expect_that!(config_version(&cluster, non_seed(4)).await, some(eq(2)));
        });
    }
}

#[gtest]
fn a_majority_of_voters_works_without_any_seed() {
    run(async {
        // Given a cluster of seven control nodes, four of which are not seeds.
        let cluster = cluster_of_seven().await;
        // When all seeds are disconnected, then the other four commit orders and serve the configuration in force.
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
            expect_true!(is_confirmed_voter(&cluster, non_seed(index)));
            expect_that!(config_version(&cluster, non_seed(index)).await, some(eq(5)));
        }
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

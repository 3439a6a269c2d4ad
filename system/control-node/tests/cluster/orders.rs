//! Operators' orders: one node proposes the orders of all nodes.

use crate::in_memory_cluster::{Cluster, configuration, seeds};
use crate::{ip, run, seconds};
use control_node::PutConfigOutcome;
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

/// Number of orders that are sent concurrently.
const CONCURRENT_ORDERS: u64 = 8;

fn ballots_started(cluster: &Cluster) -> u64 {
    seeds().into_iter().map(|ip| cluster.node(ip).ballot_counts().started).sum()
}

#[gtest]
fn concurrent_orders_to_all_nodes_share_ballots() {
    run(async {
        // Given a cluster with a configuration, whose nodes are in contact with one another,
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        sleep(seconds(3)).await;
        let before = ballots_started(&cluster);
        // when operators concurrently send different configurations that replace it to all nodes,
        let orders = (0..CONCURRENT_ORDERS).map(|order| {
            let node = cluster.node(ip(order as usize % 3));
            async move { node.put_config(Some(1), configuration(2 + order)).await }
        });
        let outcomes = join_all(orders).await;
        // then one is committed, the others are rejected with its version, and fewer ballots than orders are used.
        let committed: Vec<&PutConfigOutcome> =
            outcomes.iter().filter(|outcome| matches!(outcome, PutConfigOutcome::Committed(_))).collect();
        expect_that!(committed.len(), eq(1));
        let PutConfigOutcome::Committed(version) = committed[0] else { unreachable!() };
        let rejected =
            outcomes.iter().filter(|outcome| **outcome == PutConfigOutcome::VersionMismatch(*version));
        expect_that!(rejected.count() as u64, eq(CONCURRENT_ORDERS - 1));
        expect_that!(ballots_started(&cluster) - before, lt(CONCURRENT_ORDERS));
    });
}

#[gtest]
fn orders_are_committed_while_any_one_node_is_disconnected() {
    for disconnected in 0..3 {
        run(async {
            let cluster = Cluster::start(&[]);
            expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
            sleep(seconds(3)).await;
            // When any of the nodes is disconnected, including the distinguished proposer,
            cluster.disconnect(ip(disconnected));
            // then the first order to each of the other nodes is committed.
            for (version, other) in (2..).zip((0..3).filter(|other| *other != disconnected)) {
                let outcome =
                    cluster.node(ip(other)).put_config(Some(version - 1), configuration(version)).await;
                expect_that!(
                    outcome,
                    eq(&PutConfigOutcome::Committed(version)),
                    "order to node {other} without node {disconnected}"
                );
            }
            // The disconnected node commits nothing.
            let outcome = cluster.node(ip(disconnected)).put_config(Some(3), configuration(4)).await;
            expect_that!(outcome, eq(&PutConfigOutcome::Unavailable));
        });
    }
}

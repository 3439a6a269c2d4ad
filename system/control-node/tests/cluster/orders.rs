//! Orders of operators: one node proposes them for all.

use crate::in_memory_cluster::{Cluster, configuration, seeds};
use crate::{ip, run, seconds};
use control_node::PutConfigOutcome;
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

/// Number of orders that are sent at once.
const CONCURRENT_ORDERS: u64 = 8;

fn ballots_begun(cluster: &Cluster) -> u64 {
    seeds().into_iter().map(|ip| cluster.node(ip).rounds().begun).sum()
}

#[gtest]
fn orders_that_arrive_together_at_all_nodes_share_few_ballots() {
    run(async {
        // Given a cluster with a configuration, in which the nodes have heard of one another,
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        sleep(seconds(3)).await;
        let before = ballots_begun(&cluster);
        // when operators send different configurations on top of it to all nodes at once,
        let orders = (0..CONCURRENT_ORDERS).map(|order| {
            let node = cluster.node(ip(order as usize % 3));
            async move { node.put_config(Some(1), configuration(2 + order)).await }
        });
        let outcomes = join_all(orders).await;
        // then one is committed and the others are told which, and that took fewer ballots than orders.
        let committed: Vec<&PutConfigOutcome> =
            outcomes.iter().filter(|outcome| matches!(outcome, PutConfigOutcome::Committed(_))).collect();
        expect_that!(committed.len(), eq(1));
        let PutConfigOutcome::Committed(version) = committed[0] else { unreachable!() };
        let rejected =
            outcomes.iter().filter(|outcome| **outcome == PutConfigOutcome::OtherVersion(*version));
        expect_that!(rejected.count() as u64, eq(CONCURRENT_ORDERS - 1));
        expect_that!(ballots_begun(&cluster) - before, lt(CONCURRENT_ORDERS));
    });
}

#[gtest]
fn a_proposer_that_is_cut_off_costs_no_order() {
    for lost in 0..3 {
        run(async {
            let cluster = Cluster::start(&[]);
            expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
            sleep(seconds(3)).await;
            // When any one of the nodes is cut off, the one that proposes among them,
            cluster.disconnect(ip(lost));
            // then the first order to each of the others has a clear outcome.
            for (version, other) in (2..).zip((0..3).filter(|other| *other != lost)) {
                let outcome =
                    cluster.node(ip(other)).put_config(Some(version - 1), configuration(version)).await;
                expect_that!(
                    outcome,
                    eq(&PutConfigOutcome::Committed(version)),
                    "without {lost}, at {other}"
                );
            }
            // And the one that is cut off confirms nothing.
            let alone = cluster.node(ip(lost)).put_config(Some(3), configuration(4)).await;
            expect_that!(alone, eq(&PutConfigOutcome::Unavailable));
        });
    }
}

//! Seeds that lose their record at the first start: they are founded again only if nothing was ever chosen.

use crate::in_memory_cluster::{Cluster, DiskBehavior};
use crate::{ip, run, seconds};
use control_node::PutConfigOutcome;
use googletest::prelude::*;
use std::rc::Rc;
use tokio::time::sleep;

/// Ends the processes of these seeds, and starts them again with empty disks.
fn restart_empty(cluster: &Rc<Cluster>, seeds: &[usize]) {
    for index in seeds {
        cluster.stop_node(ip(*index));
        cluster.wipe_disk(ip(*index));
    }
    seeds.iter().for_each(|index| cluster.restart_node(ip(*index)));
}

/// Ends two of the three seeds, starts them again with empty disks, and checks that they do not vote.
async fn expect_never_founded(cluster: &Rc<Cluster>) {
    restart_empty(cluster, &[1, 2]);
    sleep(seconds(30)).await;
    for index in [1, 2] {
        expect_that!(cluster.node(ip(index)).can_vote(), eq(false));
    }
}

#[gtest]
fn two_seeds_that_end_before_their_first_write_leave_the_register_unfounded() {
    run(async {
        let cluster = Cluster::start(&[]);
        restart_empty(&cluster, &[1, 2]);
        sleep(seconds(8)).await;
        for index in 0..3 {
            expect_that!(cluster.node(ip(index)).can_vote(), eq(true));
        }
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn two_seeds_whose_founding_meets_a_failing_disk_vote_before_it_is_written() {
    run(async {
        let cluster = Cluster::start(&[]);
        restart_empty(&cluster, &[1, 2]);
        cluster.set_disk_behavior(ip(1), DiskBehavior::Refuses);
        cluster.set_disk_behavior(ip(2), DiskBehavior::Refuses);
        sleep(seconds(8)).await;
        expect_that!(cluster.node(ip(1)).can_vote(), eq(false));
        cluster.set_disk_behavior(ip(1), DiskBehavior::Accepts);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(cluster.premature_votes(), is_empty());
    });
}

#[gtest]
fn a_register_that_has_chosen_a_value_is_founded_anew_after_two_lost_disks() {
    run(async {
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_never_founded(&cluster).await;
    });
}

#[gtest]
fn a_seed_that_has_restarted_since_the_first_start_founds_others() {
    run(async {
        let cluster = Cluster::start(&[]);
        sleep(seconds(1)).await;
        cluster.restart_node(ip(0));
        expect_never_founded(&cluster).await;
    });
}

#[gtest]
fn a_seed_founds_others_while_one_of_them_cannot_be_asked() {
    run(async {
        let cluster = Cluster::start(&[]);
        restart_empty(&cluster, &[1, 2]);
        cluster.disconnect(ip(2));
        sleep(seconds(30)).await;
        expect_that!(cluster.node(ip(1)).can_vote(), eq(false));
        cluster.reconnect(ip(2));
        sleep(seconds(8)).await;
        expect_that!(cluster.commit(ip(1), 1).await, eq(&PutConfigOutcome::Committed(1)));
    });
}

//! Failure scenarios of the cluster: how the roster, the lease and the voters recover from single faults and replacements.

use crate::cluster::{Cluster, Event, ROLE};
use controllers::{RetireVerdict, retire_status};
use googletest::prelude::*;

/// Time in milliseconds within which a node that returns has to be in sync. Until then it counts as lost.
const CATCH_UP_MS: u64 = 4_000;

fn is_current(cluster: &Cluster, disk: u64) -> bool {
    cluster.roster().next.is_none() && cluster.roster().current.iter().any(|store| store.disk == disk)
}

fn is_removed(cluster: &Cluster, disk: u64) -> bool {
    cluster.roster().next.is_none() && cluster.roster().current.iter().all(|store| store.disk != disk)
}

fn lease_token(cluster: &Cluster) -> u64 {
    cluster.state().leases.get(ROLE).map_or(0, |lease| lease.token)
}

/// When the published lists were polled, from `since` on.
fn poll_times(cluster: &Cluster, since: u64) -> Vec<u64> {
    let polled_at = |(_, event): &(u64, Event)| match event {
        Event::ListPublished(_, polled_at) if *polled_at >= since => Some(*polled_at),
        _ => None,
    };
    cluster.history.iter().filter_map(polled_at).collect()
}

fn for_each_seed(scenario: impl Fn(u64)) {
    (0..20).for_each(scenario);
}

#[gtest]
fn a_wiped_node_is_in_sync_in_time() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        expect_that!(cluster.is_settled(), eq(true));
        cluster.stop(2);
        cluster.run(1_000);
        let disk = cluster.start("s2", 2);
        expect_that!(cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk)), some(anything()));
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_wiped_node_is_in_sync_in_time_while_one_source_is_unresponsive() {
    let mut longest = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 2, 3, 6);
        cluster.stop(2);
        cluster.run(1_000);
        cluster.freeze(3, 60_000);
        let disk = cluster.start("s2", 2);
        let elapsed = cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk));
        expect_that!(elapsed, some(anything()), "seed {seed}");
        longest = longest.max(elapsed.unwrap_or(CATCH_UP_MS));
        expect_that!(cluster.violations(), elements_are![]);
    }
    println!("in sync after {longest} ms at most");
}

#[gtest]
fn a_cluster_below_its_tolerance_bootstraps_shrinks_and_grows() {
    for_each_seed(|seed| {
        // Four machines are fewer than the five that two tolerated losses need.
        let mut cluster = Cluster::new(seed, 2, 3, 4);
        expect_that!(cluster.roster().current.len(), eq(4), "seed {seed}");
        expect_that!(cluster.is_settled(), eq(true));
        // Two are lost: the roster shrinks to the other two.
        cluster.stop(1);
        cluster.stop(2);
        let two_left = |cluster: &Cluster| is_removed(cluster, 1) && is_removed(cluster, 2);
        expect_that!(cluster.run_until(6_000, two_left), some(anything()), "seed {seed}");
        expect_that!(cluster.roster().current.len(), eq(2));
        // Another one is lost and five join: the roster grows to all six.
        cluster.stop(3);
        expect_that!(
            cluster.run_until(6_000, |cluster| is_removed(cluster, 3)),
            some(anything()),
            "seed {seed}"
        );
        for number in 11..=15 {
            cluster.start(&format!("s{number}"), number);
        }
        let all = |cluster: &Cluster| cluster.is_settled() && cluster.roster().current.len() == 6;
        expect_that!(cluster.run_until(CATCH_UP_MS, all), some(anything()), "seed {seed}");
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_permanently_lost_node_is_removed_below_the_minimum_and_a_later_wipe_is_repaired() {
    for_each_seed(|seed| {
        // Three machines are the minimum for one tolerated loss.
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        // One is lost and not replaced: the roster shrinks to the other two, but only after the full timeout.
        cluster.stop(2);
        cluster.run(6_000);
        expect_that!(is_removed(&cluster, 2), eq(false), "seed {seed}");
        expect_that!(
            cluster.run_until(8_000, |cluster| is_removed(cluster, 2)),
            some(anything()),
            "seed {seed}"
        );
        // One of the two loses its disk: it backfills from the other, which stores all records.
        cluster.stop(1);
        cluster.run(1_000);
        let disk = cluster.start("s1", 1);
        let in_sync = |cluster: &Cluster| {
            cluster.is_settled() && cluster.roster().current.iter().any(|store| store.disk == disk)
        };
        expect_that!(cluster.run_until(CATCH_UP_MS, in_sync), some(anything()), "seed {seed}");
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn bootstrap_is_immediate_with_enough_nodes_and_bounded_in_time_with_fewer() {
    for (machines, tolerance, deadline) in
        [(3, 1, 1_500), (5, 2, 1_500), (2, 1, 6_000), (1, 1, 6_000), (4, 2, 6_000)]
    {
        let cluster = Cluster::new(1, tolerance, 3, machines);
        let bootstrapped_at = |(now, event): &(u64, Event)| match event {
            Event::RosterCommitted(roster, _) if roster.current.len() == usize::from(machines) => Some(*now),
            _ => None,
        };
        let bootstrapped_at = cluster.history.iter().find_map(bootstrapped_at);
        expect_that!(bootstrapped_at, some(le(deadline)), "{machines} machines");
    }
}

#[gtest]
fn a_node_replaced_at_another_address_is_in_sync_in_time() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        cluster.stop(2);
        cluster.run(1_000 + seed * 50);
        let disk = cluster.start("s9", 9);
        let elapsed =
            cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk) && is_removed(cluster, 2));
        expect_that!(elapsed, some(anything()), "seed {seed}");
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_node_replaced_under_its_name_at_another_address_is_in_sync_in_time() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        cluster.stop(2);
        cluster.run(1_500);
        let disk = cluster.start("s2", 9);
        let elapsed =
            cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk) && is_removed(cluster, 2));
        expect_that!(elapsed, some(anything()), "seed {seed}");
    });
}

#[gtest]
fn a_planned_replacement_under_the_same_name_does_not_oscillate() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        // A machine starts under the name of another that still runs.
        let before = cluster.roster().epoch;
        let disk = cluster.start("s2", 9);
        cluster.run(4_000);
        // The old machine remains a member.
        expect_that!(cluster.roster().epoch, eq(before));
        // Once the old machine stops, the new one replaces it in time, by one join and one completed backfill.
        cluster.stop(2);
        expect_that!(
            cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk)),
            some(anything()),
            "seed {seed}"
        );
        cluster.run(15_000);
        expect_that!(cluster.roster().epoch, eq(before + 2));
        expect_that!(cluster.is_settled(), eq(true));
    });
}

#[gtest]
fn a_frozen_node_that_resumes_after_its_replacement_does_not_rejoin() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        cluster.freeze(2, 9_000);
        cluster.run(2_000);
        let disk = cluster.start("s2", 9);
        cluster.run(20_000);
        expect_that!(is_current(&cluster, disk), eq(true), "seed {seed}");
        expect_that!(cluster.roster().epoch, le(7));
    });
}

#[gtest]
fn a_planned_replacement_under_another_name_removes_the_old_node() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        let disk = cluster.start("s9", 9);
        cluster.run(4_000);
        expect_that!(is_current(&cluster, disk), eq(true));
        cluster.stop(2);
        expect_that!(
            cluster.run_until(CATCH_UP_MS + 1_000, |cluster| is_removed(cluster, 2)),
            some(anything())
        );
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn two_nodes_wiped_in_sequence_are_both_repaired() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        for (former, name, ip) in [(2, "s2", 2), (3, "s3", 3)] {
            cluster.stop(former);
            cluster.run(500);
            cluster.start(name, ip);
            cluster.run(CATCH_UP_MS);
            expect_that!(cluster.is_settled(), eq(true), "seed {seed}");
        }
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_flapping_node_causes_no_change() {
    let mut cluster = Cluster::new(1, 1, 3, 4);
    let before = cluster.roster().epoch;
    for _ in 0..10 {
        cluster.freeze(2, 4_000);
        cluster.run(6_000);
    }
    expect_that!(cluster.roster().epoch, eq(before));
}

#[gtest]
fn several_spares_that_join_at_once_are_all_in_sync_in_time() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        let spares: Vec<u64> = (7..10).map(|number| cluster.start(&format!("s{number}"), number)).collect();
        let all = |cluster: &Cluster| spares.iter().all(|disk| is_current(cluster, *disk));
        expect_that!(cluster.run_until(CATCH_UP_MS, all), some(anything()), "seed {seed}");
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_retirement_completes_while_another_node_is_down() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 4);
        cluster.stop(2);
        cluster.run(300);
        expect_that!(cluster.retire("s4"), eq(RetireVerdict::Active));
        expect_that!(cluster.retire("s4"), eq(RetireVerdict::Active));
        let done = |cluster: &Cluster| retire_status(cluster.state(), "s4") == RetireVerdict::Completed;
        expect_that!(cluster.run_until(8_000, done), some(anything()));
        // The node that was down backfills after its restart.
        cluster.restart(2);
        cluster.run(5_000);
        expect_that!(cluster.is_settled(), eq(true));
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_frozen_lease_holder_loses_the_lease_and_changes_nothing_when_it_resumes() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 4);
        let (holder, before, since) = (cluster.lease_holder().unwrap(), lease_token(&cluster), cluster.now);
        let (roster, voters) = (cluster.roster().clone(), cluster.voters().to_vec());
        cluster.freeze_control_node(holder, 4_000);
        cluster.run(10_000);
        // Another node acquires the lease once, and polling continues soon.
        expect_that!(lease_token(&cluster), eq(before + 1));
        expect_that!(cluster.lease_holder(), not(some(eq(holder))));
        let polls = poll_times(&cluster, since);
        let gaps = polls.windows(2).map(|pair| pair[1] - pair[0]).max();
        expect_that!(gaps, some(le(3_500)));
        // No storage node and no voter was removed.
        expect_that!(cluster.roster(), eq(&roster));
        expect_that!(cluster.voters(), eq(voters.as_slice()));
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_lease_holder_partitioned_with_a_minority_changes_nothing() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 5, 4);
        let holder = cluster.lease_holder().unwrap();
        let roster = cluster.roster().clone();
        cluster.control_nodes[holder].partitioned = true;
        cluster.run(4_000);
        expect_that!(cluster.lease_holder(), not(some(eq(holder))));
        cluster.control_nodes[holder].partitioned = false;
        cluster.run(4_000);
        expect_that!(cluster.roster(), eq(&roster));
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn a_restarted_lease_holder_polls_under_a_new_fencing_token() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 4);
        let (holder, before) = (cluster.lease_holder().unwrap(), lease_token(&cluster));
        cluster.restart_control_node(holder);
        let since = cluster.now;
        cluster.run(3_000);
        expect_that!(lease_token(&cluster), gt(before));
        expect_that!(poll_times(&cluster, since).len(), ge(2));
        expect_that!(cluster.violations(), elements_are![]);
    });
}

#[gtest]
fn loss_of_the_lease_holder_delays_a_replacement_only_briefly() {
    for_each_seed(|seed| {
        // The lease holder fails half a second before a storage node that is replaced.
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        let holder = cluster.lease_holder().unwrap();
        cluster.control_nodes[holder].up = false;
        cluster.run(500);
        cluster.stop(2);
        cluster.run(1_500);
        let disk = cluster.start("s9", 9);
        // The replacement still completes in time, since the next lease holder has probe results of its own.
        let elapsed =
            cluster.run_until(CATCH_UP_MS, |cluster| is_current(cluster, disk) && is_removed(cluster, 2));
        expect_that!(elapsed, some(anything()), "seed {seed}");
    });
}

#[gtest]
fn a_replaced_control_node_is_removed_from_the_voters_soon() {
    for_each_seed(|seed| {
        let mut cluster = Cluster::new(seed, 1, 3, 3);
        let lost = cluster.control_nodes[0].ip;
        cluster.control_nodes[0].up = false;
        cluster.run(1_500);
        cluster.add_control_node(9);
        let elapsed = cluster.run_until(CATCH_UP_MS, |cluster| !cluster.voters().contains(&lost));
        expect_that!(elapsed, some(anything()), "seed {seed}");
        expect_that!(cluster.voters().len(), eq(3));
        cluster.run(10_000);
        expect_that!(cluster.voters().len(), eq(3));
    });
}

//! Detection of failures, and recovery after stalls, restarts and partitions.

use crate::simulator::{Simulator, ip};
use fleet_membership::{MemberEvent, Role, new_incarnation};
use googletest::prelude::*;

fn members(numbers: std::ops::Range<usize>) -> Vec<std::net::Ipv4Addr> {
    numbers.map(ip).collect()
}

#[googletest::test]
fn a_failed_member_is_removed_everywhere_within_four_seconds() {
    for (count, seeds) in [(10, 20), (100, 5), (300, 2)] {
        for seed in 0..seeds {
            // Given a fleet at rest.
            let mut fleet = Simulator::converged(seed, count);
            let delay_ms = fleet.random_below(1_000);
            fleet.run(delay_ms);

            // When one dies without a word.
            fleet.kill(ip(count / 2));
            let elapsed_ms = fleet.run_until_views_agree(4_000);

            // Then all others have removed it, after a suspicion, and nobody else.
            expect_that!(elapsed_ms, some(le(4_000)), "{count} members, seed {seed}");
            expect_that!(fleet.removals().len(), eq(count - 1), "{count} members, seed {seed}");
            let suspected = fleet
                .member_events
                .iter()
                .filter(|(_, _, change)| matches!(change, MemberEvent::Suspected(_)))
                .count();
            expect_that!(suspected, eq(count - 1), "{count} members, seed {seed}");
        }
    }
}

#[googletest::test]
fn a_member_stalled_for_four_seconds_rejoins_everywhere_within_two() {
    for (count, seeds) in [(2, 20), (10, 20), (100, 5), (300, 1)] {
        for seed in 0..seeds {
            // Given one that is frozen for 4 s.
            let mut fleet = Simulator::converged(seed, count);
            let delay_ms = fleet.random_below(1_000);
            fleet.run(delay_ms);
            fleet.freeze(ip(1));
            fleet.run(4_000);
            fleet.member_events.clear();

            // When it goes on.
            fleet.thaw(ip(1));
            let elapsed_ms = fleet.run_until_views_agree(2_000);

            // Then it is an unsuspected member everywhere, and has suspected nobody because of its own stall.
            expect_that!(elapsed_ms, some(le(2_000)), "{count} members, seed {seed}");
            fleet.run(1_000);
            expect_that!(fleet.suspected_by(ip(1)), eq(0), "{count} members, seed {seed}");
            let wrong_removals: Vec<_> = fleet
                .member_events
                .iter()
                .filter(|(_, _, change)| match change {
                    MemberEvent::Suspected(member) | MemberEvent::Removed(member) => member.ip != ip(1),
                    _ => false,
                })
                .collect();
            expect_that!(wrong_removals, is_empty(), "{count} members, seed {seed}");
        }
    }
}

#[googletest::test]
fn a_short_stall_makes_the_stalled_member_suspect_nobody() {
    for seed in 0..30 {
        // Given one that is frozen while its own probe waits for an answer.
        let mut fleet = Simulator::converged(seed, 10);
        let delay_ms = fleet.random_below(1_000);
        fleet.run(delay_ms);
        fleet.freeze(ip(4));
        fleet.run(1_200);

        // When it goes on.
        fleet.thaw(ip(4));
        fleet.run(5_000);

        // Then it has detected its stall and suspects nobody, and nobody was removed.
        expect_that!(fleet.view(ip(4)).counters().stalls, ge(1), "seed {seed}");
        let suspects: Vec<_> = fleet
            .member_events
            .iter()
            .filter(|(_, by, change)| {
                *by == ip(4) && matches!(change, MemberEvent::Suspected(member) if member.ip != ip(4))
            })
            .collect();
        expect_that!(suspects, is_empty(), "seed {seed}");
        expect_that!(fleet.removals(), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn two_percent_datagram_loss_causes_no_removal() {
    for (count, seeds) in [(3, 10), (30, 10), (300, 1)] {
        for seed in 0..seeds {
            // Given a fleet.
            let mut fleet = Simulator::converged(seed, count);

            // When its links lose 2 in 100 datagrams for a minute.
            fleet.loss_per_mille = 20;
            fleet.run(60_000);

            // Then nobody is removed.
            expect_that!(fleet.removals(), is_empty(), "{count} members, seed {seed}");
            fleet.assert_views_agree();
        }
    }
}

#[googletest::test]
fn three_partitions_merge_within_fifteen_seconds_of_healing() {
    for (count, seeds) in [(3, 20), (6, 20), (30, 10), (150, 2)] {
        for seed in 0..seeds {
            // Given three partitions that last until each side has removed the others and no old update is gossiped.
            let mut fleet = Simulator::converged(seed, count);
            let third = count / 3;
            let parts = [members(0..third), members(third..2 * third), members(2 * third..count)];
            fleet.partition(&parts);
            let cut_ms = if seed % 2 == 0 { 30_000 } else { 90_000 };
            fleet.run(cut_ms);
            for part in &parts {
                for at in part {
                    expect_that!(
                        fleet.view(*at).member_count(),
                        eq(part.len()),
                        "{count} members, seed {seed}"
                    );
                }
            }

            // When the cuts heal.
            fleet.heal();
            let elapsed_ms = fleet.run_until_views_agree(15_000);

            // Then all see all.
            expect_that!(
                elapsed_ms,
                some(le(15_000)),
                "{count} members, seed {seed}: {:?}",
                fleet.view_mismatch()
            );
        }
    }
}

#[googletest::test]
fn merging_partitions_remove_no_live_member() {
    for seed in 0..5 {
        // Given two halves that have removed each other.
        let mut fleet = Simulator::converged(seed, 40);
        fleet.partition(&[members(0..20), members(20..40)]);
        fleet.run(30_000);
        fleet.member_events.clear();

        // When they meet again.
        fleet.heal();
        fleet.run(20_000);

        // Then all see all, and none was removed meanwhile.
        fleet.assert_views_agree();
        expect_that!(fleet.removals(), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn a_restart_at_the_same_address_takes_precedence_over_the_old_incarnation() {
    for (count, seed) in [(3, 0), (3, 1), (30, 0), (30, 1), (30, 2), (150, 0)] {
        // Given one that died.
        let mut fleet = Simulator::converged(seed, count);
        let former = fleet.view(ip(5 % count)).local_member().incarnation;
        let at = ip(5 % count);
        fleet.kill(at);
        let down_ms = 1 + fleet.random_below(500);
        fleet.run(down_ms);

        // When it starts again within half a second.
        fleet.start(at, &[ip(0), ip(1), ip(2)]);
        let elapsed_ms = fleet.run_until_views_agree(2_000);

        // Then every member sees the new incarnation within 2 s, after an event for the end of the old one, and keeps it.
        expect_that!(elapsed_ms, some(le(2_000)), "{count} members, seed {seed}");
        expect_that!(
            fleet.view(ip(4 % count)).member_at(at).map(|member| member.incarnation),
            some(gt(former))
        );
        let is_new_incarnation = |change: &MemberEvent| match change {
            MemberEvent::Joined(member) => member.ip == at && member.incarnation > former,
            _ => false,
        };
        let joined = fleet
            .member_events
            .iter()
            .filter(|(_, by, change)| *by != at && is_new_incarnation(change))
            .count();
        expect_that!(joined, eq(count - 1), "{count} members, seed {seed}");
        expect_that!(fleet.removals().len(), eq(count - 1), "{count} members, seed {seed}");
        fleet.run(10_000);
        fleet.assert_views_agree();
        expect_that!(fleet.removals().len(), eq(count - 1), "{count} members, seed {seed}");
    }
}

#[googletest::test]
fn a_restart_with_an_earlier_clock_gets_a_higher_incarnation() {
    for seed in 0..10 {
        // Given one that died.
        let mut fleet = Simulator::converged(seed, 10);
        let former = fleet.view(ip(5)).local_member().incarnation;
        fleet.kill(ip(5));
        let down_ms = fleet.random_below(10_000);
        fleet.run(down_ms);

        // When it starts again with a clock that shows an hour earlier.
        fleet.start_with_clock(ip(5), &[ip(0)], (former >> 16) - 3_600_000);
        let elapsed_ms = fleet.run_until_views_agree(3_000);

        // Then its number is higher all the same.
        expect_that!(elapsed_ms, some(le(3_000)), "seed {seed}: {:?}", fleet.view_mismatch());
        expect_that!(fleet.view(ip(5)).local_member().incarnation, gt(former), "seed {seed}");
        expect_that!(fleet.view(ip(0)).member_at(ip(5)).map(|member| member.incarnation), some(gt(former)));
    }
}

#[googletest::test]
fn a_voluntary_leave_is_known_everywhere_within_a_second() {
    for count in [2, 10, 100] {
        // Given a fleet.
        let mut fleet = Simulator::converged(1, count);

        // When one leaves.
        fleet.leave(ip(1));
        fleet.run(1_000);

        // Then all know within a second, without a suspicion.
        fleet.assert_views_agree();
        expect_that!(fleet.member_events.len(), eq(count - 1), "{count} members");
        expect_that!(
            fleet
                .member_events
                .iter()
                .all(|(_, _, change)| matches!(change, MemberEvent::Left(member) if member.ip == ip(1))),
            eq(true)
        );
    }
}

#[googletest::test]
fn a_member_restarted_without_live_seeds_keeps_trying_to_join() {
    // Given a fleet whose seeds have failed.
    let mut fleet = Simulator::converged(1, 10);
    for at in members(0..3) {
        fleet.kill(at);
    }
    fleet.kill(ip(9));
    fleet.run(10_000);

    // When another restarts, with only those seeds.
    fleet.start(ip(9), &members(0..3));
    fleet.run(2_000);

    // Then those who kept its address find it.
    fleet.run(13_000);
    fleet.assert_views_agree();

    // When an unknown member starts, it stays isolated and retries.
    fleet.start(ip(50), &members(0..3));
    fleet.run(120_000);
    expect_that!(fleet.view(ip(50)).member_count(), eq(1));

    // Then it joins as soon as one of its seeds is back.
    fleet.start(ip(2), &[ip(5)]);
    expect_that!(fleet.run_until_views_agree(5_000), some(le(5_000)));
}

#[googletest::test]
fn an_isolated_member_joins_through_new_seeds() {
    // Given one whose seeds don't exist.
    let mut fleet = Simulator::converged(1, 10);
    fleet.start(ip(50), &[ip(200), ip(201)]);
    fleet.run(20_000);
    expect_that!(fleet.view(ip(50)).member_count(), eq(1));

    // When it is given others.
    fleet.join(ip(50), &[ip(7)]);

    // Then it is in.
    expect_that!(fleet.run_until_views_agree(1_000), some(le(1_000)));
}

#[googletest::test]
fn one_way_link_failures_remove_nobody() {
    for seed in 0..10 {
        // Given a fleet in which some links work one way only.
        let mut fleet = Simulator::converged(seed, 10);
        for _ in 0..8 {
            let (from, to) = (fleet.random_below(10) as usize, fleet.random_below(10) as usize);
            fleet.block_link(ip(from), ip(to));
        }

        // When a minute passes.
        fleet.run(60_000);

        // Then third parties have vouched for all.
        expect_that!(fleet.removals(), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn a_member_that_receives_nothing_is_removed_and_rejoins() {
    for seed in 0..5 {
        // Given a member that can send to all and receives from none.
        let mut fleet = Simulator::converged(seed, 20);
        for at in members(0..20) {
            fleet.block_link(at, ip(3));
        }

        // When 10 s go by, all others have removed it, and only it.
        fleet.run(10_000);
        expect_that!(fleet.seen_by(ip(3)), eq(1), "seed {seed}");
        let others: Vec<_> = fleet
            .removals()
            .into_iter()
            .filter(|(_, by, change)| {
                *by != ip(3) && matches!(change, MemberEvent::Removed(member) if member.ip != ip(3))
            })
            .collect();
        expect_that!(others, is_empty(), "seed {seed}");

        // Then it rejoins soon after it receives again.
        fleet.heal();
        expect_that!(
            fleet.run_until_views_agree(15_000),
            some(le(15_000)),
            "seed {seed}: {:?}",
            fleet.view_mismatch()
        );
    }
}

#[googletest::test]
fn simultaneous_failure_of_a_third_of_the_fleet_is_detected() {
    for seed in 0..3 {
        // Given a fleet.
        let mut fleet = Simulator::converged(seed, 90);

        // When a third of it dies at once.
        for number in (0..90).step_by(3) {
            fleet.kill(ip(number));
        }

        // Then the rest agree soon, and haven't removed one another.
        let elapsed_ms = fleet.run_until_views_agree(15_000);
        expect_that!(elapsed_ms, some(le(15_000)), "seed {seed}: {:?}", fleet.view_mismatch());
        let wrong_removals: Vec<_> = fleet
            .removals()
            .into_iter()
            .filter(
                |(_, _, change)| matches!(change, MemberEvent::Removed(member) if member.ip.octets()[3] % 3 != 0),
            )
            .collect();
        expect_that!(wrong_removals, is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn probe_cost_at_rest_is_independent_of_fleet_size() {
    let mut rates = Vec::new();
    for count in [30, 100, 300] {
        // Given a fleet at rest.
        let mut fleet = Simulator::converged(1, count);
        fleet.run(10_000);
        let total = |fleet: &Simulator| {
            let counters = fleet.counters();
            (
                counters.iter().map(|counter| counter.bytes_sent).sum::<u64>(),
                counters.iter().map(|counter| counter.datagrams_sent).sum::<u64>(),
            )
        };
        let before = total(&fleet);

        // When a minute passes.
        fleet.run(60_000);

        // Then each member has sent less than 200 bytes, headers of UDP and IP included, for each of its probes.
        let after = total(&fleet);
        let member_seconds = 60.0 * count as f64;
        let (bytes, datagrams) =
            ((after.0 - before.0) as f64 / member_seconds, (after.1 - before.1) as f64 / member_seconds);
        let with_headers = bytes + 28.0 * datagrams;
        println!(
            "{count} members: {datagrams:.2} datagrams, {bytes:.1} bytes, {with_headers:.1} with headers, a second"
        );
        let probes = datagrams / 2.0;
        expect_that!(with_headers / probes, lt(200.0), "{count} members");
        expect_that!(probes, lt(1.3), "{count} members");
        rates.push(with_headers);
        expect_that!(fleet.member_events, is_empty());
    }
    expect_that!(rates[2] / rates[0], all![gt(0.9), lt(1.1)]);
}

#[googletest::test]
fn a_member_without_seeds_has_nothing_scheduled() {
    // Given one that was given no seeds.
    let mut fleet = Simulator::new(1);
    fleet.start(ip(1), &[]);
    fleet.run(2_000);

    // Then nothing is ever due.
    expect_that!(fleet.view(ip(1)).next_tick_ms(), eq(u64::MAX));
}

#[googletest::test]
fn members_are_found_by_role_and_address() {
    // Given three members.
    let fleet = Simulator::converged(1, 3);
    let view = fleet.view(ip(0));

    // Then each view has all of them, itself first.
    expect_that!(view.member_count(), eq(3));
    expect_that!(
        view.live_members(Role::Edge).map(|member| member.ip).collect::<Vec<_>>(),
        eq(&members(0..3))
    );
    expect_that!(view.live_members(Role::Core).count(), eq(0));
    expect_that!(view.member_at(ip(2)).map(|member| member.name.as_str()), some(eq("edge-10.0.0.2")));
    expect_that!(view.member_at(ip(9)), none());
    expect_that!(view.is_suspect(ip(2)), eq(false));
}

#[googletest::test]
fn a_later_start_has_a_higher_incarnation() {
    expect_that!(new_incarnation(1_001, 0), gt(new_incarnation(1_000, u16::MAX)));
    expect_that!(new_incarnation(1_000, 8), gt(new_incarnation(1_000, 7)));
}

//! Random schedules of faults; after the last fault every view must converge to exactly the live members.

use crate::simulator::{Simulator, ip};

/// Runs one schedule; returns the first wrong view at its end, if there is one.
fn run(seed: u64) -> Option<String> {
    let mut fleet = Simulator::new(seed);
    let count = 3 + fleet.random_below(10) as usize;
    let seeds = [ip(0), ip(1), ip(2)];
    for number in 0..count {
        fleet.start(ip(number), &seeds);
        let delay_ms = fleet.random_below(500);
        fleet.run(delay_ms);
    }
    fleet.run(3_000);
    for _ in 0..5 + fleet.random_below(20) {
        let at = ip(fleet.random_below(count as u64) as usize);
        let is_living = fleet.live_members().contains(&at);
        match fleet.random_below(12) {
            0 | 1 => fleet.kill(at),
            2 if is_living => fleet.leave(at),
            3..=5 => fleet.start(at, &seeds),
            6 => fleet.freeze(at),
            7 => fleet.thaw(at),
            8 => {
                let other = ip(fleet.random_below(count as u64) as usize);
                fleet.block_link(at, other);
            }
            9 => {
                let mut parts = vec![Vec::new(); 2 + fleet.random_below(2) as usize];
                for number in 0..count {
                    let part = fleet.random_below(parts.len() as u64) as usize;
                    parts[part].push(ip(number));
                }
                fleet.partition(&parts);
            }
            10 => fleet.heal(),
            _ => fleet.loss_per_mille = fleet.random_below(300),
        }
        let delay_ms = fleet.random_below(6_000);
        fleet.run(delay_ms);
    }
    // All faults end. Were all seeds down, the living might not know of one another: one seed is there.
    fleet.heal();
    fleet.loss_per_mille = 0;
    for at in fleet.live_members() {
        fleet.thaw(at);
    }
    if !fleet.live_members().contains(&ip(0)) {
        fleet.start(ip(0), &seeds);
    }
    if fleet.run_until_views_agree(15_000).is_none() {
        return fleet.view_mismatch();
    }
    fleet.run(20_000);
    fleet.view_mismatch()
}

#[test]
fn after_random_faults_all_views_equal_the_live_members() {
    let failed: Vec<_> = (0..400).filter_map(|seed| Some((seed, run(seed)?))).collect();
    assert!(failed.is_empty(), "{} schedules failed: {failed:#?}", failed.len());
}

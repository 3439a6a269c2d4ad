//! Random schedules of faults; after the last fault all must soon see exactly the living.

use crate::simulator::{Simulator, ip};

/// Runs one schedule; returns what is wrong at its end, if anything is.
fn run(seed: u64) -> Option<String> {
    let mut fleet = Simulator::new(seed);
    let count = 3 + fleet.draw(10) as usize;
    let seeds = [ip(0), ip(1), ip(2)];
    for number in 0..count {
        fleet.start(ip(number), &seeds);
        let pause = fleet.draw(500);
        fleet.run(pause);
    }
    fleet.run(3_000);
    for _ in 0..5 + fleet.draw(20) {
        let at = ip(fleet.draw(count as u64) as usize);
        let is_living = fleet.living().contains(&at);
        match fleet.draw(12) {
            0 | 1 => fleet.kill(at),
            2 if is_living => fleet.leave(at),
            3..=5 => fleet.start(at, &seeds),
            6 => fleet.freeze(at),
            7 => fleet.thaw(at),
            8 => {
                let other = ip(fleet.draw(count as u64) as usize);
                fleet.cut(at, other);
            }
            9 => {
                let mut parts = vec![Vec::new(); 2 + fleet.draw(2) as usize];
                for number in 0..count {
                    let part = fleet.draw(parts.len() as u64) as usize;
                    parts[part].push(ip(number));
                }
                fleet.partition(&parts);
            }
            10 => fleet.heal(),
            _ => fleet.loss_per_mille = fleet.draw(300),
        }
        let pause = fleet.draw(6_000);
        fleet.run(pause);
    }
    // All faults end. Were all seeds down, the living might not know of one another: one seed is there.
    fleet.heal();
    fleet.loss_per_mille = 0;
    for at in fleet.living() {
        fleet.thaw(at);
    }
    if !fleet.living().contains(&ip(0)) {
        fleet.start(ip(0), &seeds);
    }
    if fleet.run_until_agreed(15_000).is_none() {
        return fleet.disagreement();
    }
    fleet.run(20_000);
    fleet.disagreement()
}

#[test]
fn after_all_faults_all_see_exactly_the_living() {
    let failed: Vec<_> = (0..400).filter_map(|seed| Some((seed, run(seed)?))).collect();
    assert!(failed.is_empty(), "{} schedules failed: {failed:#?}", failed.len());
}

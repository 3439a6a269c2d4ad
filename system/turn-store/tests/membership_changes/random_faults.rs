//! Random orders of calls, changes and losses within the tolerance.

use crate::client_operations::BOUND;
use crate::cluster::{Fleet, Mutation};

const SEEDS: u64 = 300;
const STEPS: usize = 250;
/// Seeds within which each mutation has to be found.
const MUTATION_SEEDS: u64 = 3_000;

/// So many machines and so much tolerance, by seed.
fn cluster_size(seed: u64) -> (usize, usize) {
    const SHAPES: [(usize, usize); 9] =
        [(3, 1), (4, 1), (5, 2), (6, 2), (1, 1), (2, 1), (2, 2), (3, 2), (4, 2)];
    SHAPES[(seed % SHAPES.len() as u64) as usize]
}

struct FaultInjector {
    fleet: Fleet,
    stopped: Vec<String>,
    begun: u64,
}

impl FaultInjector {
    fn some_name(&mut self) -> Option<String> {
        let drawn = self.fleet.random_below(self.fleet.machines.len());
        self.fleet.machines.get(drawn).map(|machine| machine.store.name.clone())
    }

    fn inject_fault(&mut self) {
        let Some(name) = self.some_name() else { return };
        let may_be_hurt = self.fleet.remaining_loss_budget() > 0 && !self.fleet.impaired.contains(&name);
        match self.fleet.random_below(12) {
            0 | 1 if may_be_hurt => self.fleet.wipe(&name, false),
            2 if may_be_hurt => self.fleet.wipe(&name, true),
            3 if may_be_hurt => {
                self.fleet.destroy(&name);
                self.fleet.start_another();
            }
            4..=6 if may_be_hurt => {
                self.fleet.stop(&name);
                self.stopped.push(name);
            }
            7 if self.fleet.machines.len() < 8 => drop(self.fleet.start_another()),
            8 => drop(self.fleet.retire(&name)),
            9..=11 => {
                if let Some(name) = self.stopped.pop()
                    && self.fleet.at(&name).is_some()
                {
                    self.fleet.restart(&name);
                }
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        match self.fleet.random_below(20) {
            0 => self.inject_fault(),
            1 => {
                self.begun += 1;
                self.fleet.begin_turn(format!("t{}", self.begun));
            }
            2 | 3 => {
                // Of three at once, two stay within the bound.
                self.begun += 3;
                for number in self.begun - 2..=self.begun {
                    self.fleet.begin_reservation(format!("p{}", self.begun / 6), number);
                }
            }
            4..=9 if !self.fleet.operations.is_empty() => {
                let at = self.fleet.random_below(self.fleet.operations.len());
                self.fleet.operate(at);
            }
            10 => self.fleet.run_controller(),
            _ => {
                let at = self.fleet.random_below(self.fleet.machines.len());
                if at < self.fleet.machines.len() {
                    self.fleet.advance(at);
                }
            }
        }
        self.fleet.check_turns();
        self.fleet.clear_faults_if_complete();
    }
}

/// What a seed comes to: turns and grants, or what was broken.
fn run_seed(seed: u64, mutation: Mutation) -> Result<(usize, usize), String> {
    let (machines, tolerance) = cluster_size(seed);
    let fleet = Fleet::new(seed, machines, tolerance, mutation);
    let mut inject_fault = FaultInjector { fleet, stopped: Vec::new(), begun: 0 };
    for _ in 0..STEPS {
        inject_fault.step();
        if !inject_fault.fleet.broken.is_empty() {
            break;
        }
    }
    let FaultInjector { mut fleet, stopped, .. } = inject_fault;
    fleet.check_accounts(BOUND);
    for name in stopped.into_iter().filter(|name| fleet.at(name).is_some()).collect::<Vec<_>>() {
        fleet.restart(&name);
    }
    fleet.operate_all();
    let settled = fleet.broken.is_empty() && fleet.settle();
    let (turns, granted) = (fleet.turns.len(), fleet.granted.len());
    fleet.begin_turn("last".to_owned());
    fleet.begin_reservation("last".to_owned(), u64::MAX);
    fleet.operate_all();
    fleet.check_turns();
    fleet.check_accounts(BOUND);
    let served = fleet.turns.len() > turns && fleet.granted.len() > granted;
    match settled && served && fleet.broken.is_empty() {
        true => Ok((turns, granted)),
        false => Err(format!(
            "seed {seed}, {machines} machines, tolerance {tolerance}: settled {settled}, served {served}, broken {:#?}\n{}",
            fleet.broken,
            fleet.reported.join("\n")
        )),
    }
}

#[test]
fn no_record_is_lost_or_denied_and_no_account_overspent_under_random_faults() {
    let (mut turns, mut granted) = (0, 0);
    for seed in 0..SEEDS {
        let (kept, reserved) = run_seed(seed, Mutation::None).unwrap_or_else(|e| panic!("{e}"));
        (turns, granted) = (turns + kept, granted + reserved);
    }
    println!("{SEEDS} seeds: {turns} turns, {granted} reservations");
    // Trouble without work would show nothing.
    assert!(turns as u64 > SEEDS * 2 && granted as u64 > SEEDS * 2, "{turns} turns, {granted} reservations");
}

fn assert_detected(mutation: Mutation) {
    let found =
        (0..MUTATION_SEEDS).find_map(|seed| run_seed(seed, mutation).err().map(|reported| (seed, reported)));
    let Some((seed, reported)) = found else { panic!("{mutation:?} is not found") };
    println!(
        "{mutation:?} is found by seed {seed}: {}",
        reported.lines().take(3).collect::<Vec<_>>().join(" ")
    );
}

#[test]
fn a_next_set_out_of_sync_is_detected() {
    assert_detected(Mutation::NextCountsUnfilled);
}

#[test]
fn a_former_set_released_early_is_detected() {
    assert_detected(Mutation::FormerReleasedEarly);
}

#[test]
fn one_copy_less_is_detected() {
    assert_detected(Mutation::CopiesOneShort);
}

#[test]
fn a_backfill_from_one_source_less_is_detected() {
    assert_detected(Mutation::FillsFromOneLess);
}

/// Three reservations at once, again and again, on machines that are all well; two stay within the bound.
fn reserve_at_once(seed: u64, mutation: Mutation) -> Result<usize, String> {
    let (machines, tolerance) = cluster_size(seed);
    let mut fleet = Fleet::new(seed, machines, tolerance, mutation);
    for number in 0..60 {
        for one in 0..3 {
            fleet.begin_reservation(format!("p{number}"), 3 * number + one);
        }
        while !fleet.operations.is_empty() {
            let at = fleet.random_below(fleet.operations.len());
            fleet.operate(at);
        }
    }
    fleet.check_accounts(BOUND);
    match fleet.broken.is_empty() {
        true => Ok(fleet.granted.len()),
        false => Err(format!("seed {seed}, {machines} machines, tolerance {tolerance}: {:?}", fleet.broken)),
    }
}

#[test]
fn reservations_at_once_stay_within_the_bound() {
    let granted: usize =
        (0..SEEDS).map(|seed| reserve_at_once(seed, Mutation::None).unwrap_or_else(|e| panic!("{e}"))).sum();
    println!("{SEEDS} seeds: {granted} reservations granted");
    assert!(granted as u64 > SEEDS * 10, "{granted} granted");
}

#[test]
fn a_read_of_one_replica_less_is_detected() {
    let found = (0..MUTATION_SEEDS).find_map(|seed| reserve_at_once(seed, Mutation::ReadsOneLess).err());
    println!("{}", found.expect("an account over its bound"));
}

#[test]
fn an_absence_by_the_covering_quorum_is_detected() {
    assert_detected(Mutation::AbsentByCovering);
}

//! Random orders of calls, changes and losses within the tolerance.

use crate::client_operations::BOUND;
use crate::cluster::{Cluster, Mutation};

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
    cluster: Cluster,
    stopped: Vec<String>,
    begun: u64,
}

impl FaultInjector {
    fn some_name(&mut self) -> Option<String> {
        let drawn = self.cluster.random_below(self.cluster.machines.len());
        self.cluster.machines.get(drawn).map(|machine| machine.store.name.clone())
    }

    fn inject_fault(&mut self) {
        let Some(name) = self.some_name() else { return };
        let may_be_hurt = self.cluster.remaining_loss_budget() > 0 && !self.cluster.impaired.contains(&name);
        match self.cluster.random_below(12) {
            0 | 1 if may_be_hurt => self.cluster.wipe(&name, false),
            2 if may_be_hurt => self.cluster.wipe(&name, true),
            3 if may_be_hurt => {
                self.cluster.destroy(&name);
                self.cluster.start_another();
            }
            4..=6 if may_be_hurt => {
                self.cluster.stop(&name);
                self.stopped.push(name);
            }
            7 if self.cluster.machines.len() < 8 => drop(self.cluster.start_another()),
            8 => drop(self.cluster.retire(&name)),
            9..=11 => {
                if let Some(name) = self.stopped.pop()
                    && self.cluster.at(&name).is_some()
                {
                    self.cluster.restart(&name);
                }
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        match self.cluster.random_below(20) {
            0 => self.inject_fault(),
            1 => {
                self.begun += 1;
                self.cluster.begin_turn(format!("t{}", self.begun));
            }
            2 | 3 => {
                // Of three at once, two stay within the bound.
                self.begun += 3;
                for number in self.begun - 2..=self.begun {
                    self.cluster.begin_reservation(format!("p{}", self.begun / 6), number);
                }
            }
            4..=9 if !self.cluster.operations.is_empty() => {
                let at = self.cluster.random_below(self.cluster.operations.len());
                self.cluster.operate(at);
            }
            10 => self.cluster.run_controller(),
            _ => {
                let at = self.cluster.random_below(self.cluster.machines.len());
                if at < self.cluster.machines.len() {
                    self.cluster.advance(at);
                }
            }
        }
        self.cluster.check_turns();
        self.cluster.clear_faults_if_complete();
    }
}

/// What a seed comes to: turns and grants, or what was broken.
fn run_seed(seed: u64, mutation: Mutation) -> Result<(usize, usize), String> {
    let (machines, tolerance) = cluster_size(seed);
    let cluster = Cluster::new(seed, machines, tolerance, mutation);
    let mut inject_fault = FaultInjector { cluster, stopped: Vec::new(), begun: 0 };
    for _ in 0..STEPS {
        inject_fault.step();
        if !inject_fault.cluster.broken.is_empty() {
            break;
        }
    }
    let FaultInjector { mut cluster, stopped, .. } = inject_fault;
    cluster.check_accounts(BOUND);
    for name in stopped.into_iter().filter(|name| cluster.at(name).is_some()).collect::<Vec<_>>() {
        cluster.restart(&name);
    }
    cluster.operate_all();
    let settled = cluster.broken.is_empty() && cluster.settle();
    let (turns, granted) = (cluster.turns.len(), cluster.granted.len());
    cluster.begin_turn("last".to_owned());
    cluster.begin_reservation("last".to_owned(), u64::MAX);
    cluster.operate_all();
    cluster.check_turns();
    cluster.check_accounts(BOUND);
    let served = cluster.turns.len() > turns && cluster.granted.len() > granted;
    match settled && served && cluster.broken.is_empty() {
        true => Ok((turns, granted)),
        false => Err(format!(
            "seed {seed}, {machines} machines, tolerance {tolerance}: settled {settled}, served {served}, broken {:#?}\n{}",
            cluster.broken,
            cluster.reported.join("\n")
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
    let mut cluster = Cluster::new(seed, machines, tolerance, mutation);
    for number in 0..60 {
        for one in 0..3 {
            cluster.begin_reservation(format!("p{number}"), 3 * number + one);
        }
        while !cluster.operations.is_empty() {
            let at = cluster.random_below(cluster.operations.len());
            cluster.operate(at);
        }
    }
    cluster.check_accounts(BOUND);
    match cluster.broken.is_empty() {
        true => Ok(cluster.granted.len()),
        false => {
            Err(format!("seed {seed}, {machines} machines, tolerance {tolerance}: {:?}", cluster.broken))
        }
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

//! A loss at each step of each kind of change.

use crate::client_operations::BOUND;
use crate::cluster::{Cluster, Mutation};
use controllers::RetireVerdict;

/// What the staff, or chance, begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begun {
    /// A further machine joins.
    Add,
    /// A machine is emptied.
    Retire,
    /// Both at once.
    AddAndRetire,
    /// A machine loses its disk.
    Wipe,
    /// A machine is replaced by an empty one of its name at another address.
    ReplaceByName,
    /// A machine is gone, and another joins.
    ReplaceByAnother,
    /// Machines of one name take its place in turn.
    ReplaceTwice,
}

const BEGUN: [Begun; 7] = [
    Begun::Add,
    Begun::Retire,
    Begun::AddAndRetire,
    Begun::Wipe,
    Begun::ReplaceByName,
    Begun::ReplaceByAnother,
    Begun::ReplaceTwice,
];

/// What then happens to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Wiped,
    Destroyed,
    StopsForAWhile,
}

const LOSSES: [Loss; 3] = [Loss::Wiped, Loss::Destroyed, Loss::StopsForAWhile];

/// The most steps of a change at which a loss is tried.
const MOST_STEPS: usize = 400;

fn begin(cluster: &mut Cluster, begun: Begun) {
    match begun {
        Begun::Add => drop(cluster.start_another()),
        Begun::Retire => drop(cluster.retire("s1")),
        Begun::AddAndRetire => {
            cluster.start_another();
            cluster.retire("s1");
        }
        Begun::Wipe => cluster.wipe("s1", false),
        Begun::ReplaceByName => cluster.wipe("s1", true),
        Begun::ReplaceByAnother => {
            cluster.destroy("s1");
            cluster.start_another();
        }
        Begun::ReplaceTwice => {
            cluster.wipe("s1", true);
            cluster.advance(cluster.machines.len() - 1);
            cluster.wipe("s1", true);
        }
    }
}

fn inject_loss(cluster: &mut Cluster, name: &str, loss: Loss) {
    match loss {
        Loss::Wiped => cluster.wipe(name, false),
        Loss::Destroyed => cluster.destroy(name),
        Loss::StopsForAWhile => cluster.stop(name),
    }
}

/// When the turns and reservations of a run are made.
const PHASES: [&str; 3] = ["before", "during", "after"];

/// Turns and reservations; each phase has its own.
fn write(cluster: &mut Cluster, phase: &str) {
    let place = PHASES.iter().position(|other| *other == phase).expect("a phase of a run") as u64;
    for number in 0..4 {
        cluster.begin_turn(format!("{phase}-{number}"));
        cluster.begin_reservation(format!("p{number}"), 10 * place + number);
    }
    cluster.operate_all();
}

/// One small step of the whole fleet: the first machine that has something to do, else the time goes on.
fn step(cluster: &mut Cluster) {
    let moved = (0..cluster.machines.len()).any(|at| at < cluster.machines.len() && cluster.advance(at));
    if !moved {
        cluster.run_controller();
    }
}

/// Runs a change with losses after some steps; tells after how many steps it was whole before they came.
fn run(
    machines: usize,
    tolerance: usize,
    begun: Begun,
    after: usize,
    victims: &[usize],
    loss: Loss,
    mutation: Mutation,
) -> Result<bool, String> {
    let mut cluster = Cluster::new(after as u64, machines, tolerance, mutation);
    write(&mut cluster, "before");
    begin(&mut cluster, begun);
    let mut is_complete = false;
    for _ in 0..after {
        step(&mut cluster);
        cluster.clear_faults_if_complete();
        is_complete = cluster.is_at_rest();
        if is_complete {
            break;
        }
    }
    write(&mut cluster, "during");
    let mut lost = Vec::new();
    for victim in victims {
        let name = cluster.machines[victim % cluster.machines.len()].store.name.clone();
        if cluster.remaining_loss_budget() > 0 && !cluster.impaired.contains(&name) {
            inject_loss(&mut cluster, &name, loss);
            lost.push(name);
        }
        cluster.check_turns();
    }
    for _ in 0..20 {
        step(&mut cluster);
        cluster.check_turns();
    }
    if loss == Loss::StopsForAWhile {
        // One that was being emptied may be out by now.
        lost.retain(|name| cluster.at(name).is_some());
        lost.iter().for_each(|name| cluster.restart(name));
    }
    let settled = cluster.settle();
    write(&mut cluster, "after");
    let served = cluster.turns.iter().filter(|turn| turn.starts_with("after")).count();
    cluster.check_turns();
    cluster.check_accounts(BOUND);
    if settled && cluster.roster().retiring.contains(&"s1".to_owned()) && cluster.at("s1").is_some() {
        cluster.broken.push("s1 is still there".to_owned());
    }
    if !settled || served < 4 || !cluster.broken.is_empty() {
        return Err(format!(
            "{machines} machines, tolerance {tolerance}, {begun:?}, {loss:?} of {victims:?} after {after} steps: \
             settled {settled}, {served} of 4 served, broken {:#?}\n{}",
            cluster.broken,
            cluster.reported.join("\n"),
        ));
    }
    Ok(is_complete)
}

/// All steps of a change until it is whole, each with each loss of each machine.
fn each_step(machines: usize, tolerance: usize, begun: Begun, mutation: Mutation) -> Result<usize, String> {
    let mut runs = 0;
    for after in 0..MOST_STEPS {
        let mut is_complete = false;
        for victim in 0..=machines {
            for loss in LOSSES {
                let victims: Vec<usize> = (victim..victim + tolerance).collect();
                is_complete |= run(machines, tolerance, begun, after, &victims, loss, mutation)?;
                runs += 1;
            }
        }
        if is_complete {
            return Ok(runs);
        }
    }
    Err(format!("{begun:?} of {machines} machines with tolerance {tolerance} does not end"))
}

fn each_step_of_all(machines: usize, tolerance: usize) {
    let mut all = 0;
    for begun in BEGUN {
        let runs = each_step(machines, tolerance, begun, Mutation::None).unwrap_or_else(|e| panic!("{e}"));
        println!("{machines} machines, tolerance {tolerance}, {begun:?}: {runs} runs");
        all += runs;
    }
    assert!(all > 500, "only {all} runs");
}

#[test]
fn one_loss_at_each_step_of_a_change_of_three_machines() {
    each_step_of_all(3, 1);
}

#[test]
fn one_loss_at_each_step_of_a_change_of_four_machines() {
    each_step_of_all(4, 1);
}

#[test]
fn two_losses_at_each_step_of_a_change_of_six_machines() {
    each_step_of_all(6, 2);
}

#[test]
fn losses_at_each_step_of_a_change_of_fewer_machines_than_the_tolerance_asks_for() {
    each_step_of_all(2, 1);
    each_step_of_all(3, 2);
    each_step_of_all(4, 2);
}

#[test]
fn a_retirement_below_the_minimum_is_refused() {
    let mut cluster = Cluster::new(1, 3, 1, Mutation::None);
    assert_eq!(cluster.retire("s1"), RetireVerdict::TooFew { remaining: 2 });
    write(&mut cluster, "after");
    assert_eq!(cluster.turns.len(), 4);
}

#[test]
fn wrong_orders_of_a_change_are_detected() {
    let found = |mutation, begun, machines, tolerance| {
        each_step(machines, tolerance, begun, mutation).expect_err(&format!("{mutation:?} is not found"))
    };
    for (mutation, begun, machines, tolerance) in [
        (Mutation::NextCountsUnfilled, Begun::Wipe, 3, 1),
        (Mutation::FormerReleasedEarly, Begun::Retire, 4, 1),
        (Mutation::CopiesOneShort, Begun::Add, 3, 1),
        (Mutation::FillsFromOneLess, Begun::Retire, 4, 1),
    ] {
        let reported = found(mutation, begun, machines, tolerance);
        println!("{mutation:?}: {}", reported.lines().next().unwrap_or_default());
    }
}

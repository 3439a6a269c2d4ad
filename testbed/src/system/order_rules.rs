//! Rules of configuration changes, evaluated on a history: the answers that operators receive are true and stay true.

use super::check::{Broken, Rule};
use super::history::{Fact, History, OrderAnswer};
use super::schedule::Class;
use std::collections::{BTreeMap, BTreeSet};

/// An answer of a control node to an operator.
struct OperatorAnswer {
    order: u64,
    number: u64,
    on: u64,
    machine: usize,
    started_at: u64,
    at: u64,
    answer: OrderAnswer,
}

/// A one-way partition between two machines. Times are milliseconds.
#[derive(Clone, Copy)]
struct Cut {
    from: usize,
    to: usize,
    since: u64,
    until: u64,
}

#[derive(Default)]
struct Orders {
    answers: Vec<OperatorAnswer>,
    reads: Vec<(u64, usize, u64)>,
    in_force: BTreeMap<u64, u64>,
    versions: BTreeSet<u64>,
    /// Versions that were acknowledged, with their times.
    acknowledged: Vec<(u64, u64)>,
    partitions: Vec<Cut>,
    core: Vec<usize>,
}

impl Orders {
    fn read(history: &History) -> Self {
        let mut orders = Self::default();
        for (at, fact) in history {
            match fact {
                Fact::Ordered { order, number, on, machine, started_at, answer } => {
                    let answer = OperatorAnswer {
                        order: *order,
                        number: *number,
                        on: *on,
                        machine: *machine,
                        started_at: *started_at,
                        at: *at,
                        answer: *answer,
                    };
                    if answer.answer != OrderAnswer::Unclear {
                        orders.answers.push(answer);
                    }
                }
                Fact::Read { machine, started_at, clear: true } => {
                    orders.reads.push((*at, *machine, *started_at))
                }
                Fact::InForce { order, number } => {
                    orders.in_force.insert(*order, *number);
                    orders.versions.insert(*number);
                }
                Fact::Acknowledged { version, .. } => orders.acknowledged.push((*at, *version)),
                Fact::PathCut { from, to, until } => {
                    orders.partitions.push(Cut { from: *from, to: *to, since: *at, until: *until });
                }
                Fact::Fleet { classes } => {
                    let is_core = |machine: &usize| classes[*machine] == Class::ControlNode;
                    orders.core = (0..classes.len()).filter(is_core).collect();
                }
                _ => {}
            }
        }
        orders
    }

    /// The newest version that was acknowledged before this time.
    fn newest_before(&self, started_at: u64) -> u64 {
        let before = self.acknowledged.iter().filter(|(at, _)| *at < started_at);
        before.map(|(_, version)| *version).max().unwrap_or_default()
    }

    /// Whether a control node was partitioned, in at least one direction, from each other one during the whole period.
    fn was_alone(&self, machine: usize, since: u64, until: u64) -> bool {
        let is_cut = |other: usize| {
            self.partitions.iter().any(|cut| {
                let between = [(machine, other), (other, machine)].contains(&(cut.from, cut.to));
                between && cut.since <= since && until < cut.until
            })
        };
        self.core.len() > 2 && self.core.iter().filter(|other| **other != machine).all(|other| is_cut(*other))
    }
}

/// Appends a history's violations of these rules.
pub fn check(history: &History, broken: &mut Vec<Broken>) {
    let orders = Orders::read(history);
    one_order_a_number(&orders, broken);
    for answer in &orders.answers {
        if let Some((rule, what)) = violation(&orders, answer) {
            broken.push(Broken { rule, at: answer.at, what });
        }
    }
    let clear = orders.answers.iter().map(|answer| (answer.at, answer.machine, answer.started_at));
    for (at, machine, started_at) in clear.chain(orders.reads.iter().copied()) {
        if orders.was_alone(machine, started_at, at) {
            let what = format!("machine {machine} reached no other core machine and gave a clear answer");
            broken.push(Broken { rule: Rule::Alone, at, what });
        }
    }
}

fn one_order_a_number(orders: &Orders, broken: &mut Vec<Broken>) {
    let mut confirmed: BTreeMap<u64, u64> = BTreeMap::new();
    for answer in orders.answers.iter().filter(|answer| answer.answer == OrderAnswer::Confirmed) {
        let first = *confirmed.entry(answer.number).or_insert(answer.order);
        if first != answer.order {
            let what = format!("two orders were confirmed under {}", answer.number);
            broken.push(Broken { rule: Rule::OneOrder, at: answer.at, what });
        }
    }
}

/// Why an answer is wrong; none if it is right.
fn violation(orders: &Orders, answer: &OperatorAnswer) -> Option<(Rule, String)> {
    let number = answer.number;
    let is_in_force = orders.in_force.contains_key(&answer.order);
    let refused = |why: String| Some((Rule::Refused, why));
    match answer.answer {
        OrderAnswer::Confirmed if !is_in_force => {
            Some((Rule::Acknowledged, format!("{number} was confirmed and is in no chosen value")))
        }
        OrderAnswer::Confirmed | OrderAnswer::Unclear => None,
        OrderAnswer::OtherVersion(_) | OrderAnswer::NotAbove if is_in_force => {
            refused(format!("{number} on {} was refused and is in force, then or later", answer.on))
        }
        OrderAnswer::NotAbove => None,
        OrderAnswer::OtherVersion(current) if current == answer.on => {
            refused(format!("{number} on {current} was refused since {current} is current"))
        }
        OrderAnswer::OtherVersion(current) if current != 0 && !orders.versions.contains(&current) => {
            refused(format!("{current} was told to be current and never was"))
        }
        OrderAnswer::OtherVersion(current) if current < orders.newest_before(answer.started_at) => {
            refused(format!("{current} was told to be current after a newer one was acknowledged"))
        }
        OrderAnswer::OtherVersion(_) => None,
    }
}

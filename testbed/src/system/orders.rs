//! The rules of orders, read from a history alone: what an operator was told stands.

use super::check::{Broken, Rule};
use super::history::{Fact, History, OrderAnswer};
use super::schedule::Class;
use std::collections::{BTreeMap, BTreeSet};

/// An answer of a control node to an operator.
struct Claim {
    order: u64,
    number: u64,
    on: u64,
    machine: usize,
    begun: u64,
    at: u64,
    answer: OrderAnswer,
}

/// What one machine's messages to another were held up, from and until.
#[derive(Clone, Copy)]
struct Cut {
    from: usize,
    to: usize,
    since: u64,
    until: u64,
}

#[derive(Default)]
struct Orders {
    claims: Vec<Claim>,
    reads: Vec<(u64, usize, u64)>,
    in_force: BTreeMap<u64, u64>,
    versions: BTreeSet<u64>,
    /// Versions that were acknowledged, with their times.
    acknowledged: Vec<(u64, u64)>,
    cuts: Vec<Cut>,
    core: Vec<usize>,
}

impl Orders {
    fn read(history: &History) -> Self {
        let mut orders = Self::default();
        for (at, fact) in history {
            match fact {
                Fact::Ordered { order, number, on, machine, begun, answer } => {
                    let claim = Claim {
                        order: *order,
                        number: *number,
                        on: *on,
                        machine: *machine,
                        begun: *begun,
                        at: *at,
                        answer: *answer,
                    };
                    if claim.answer != OrderAnswer::Unclear {
                        orders.claims.push(claim);
                    }
                }
                Fact::Read { machine, begun, clear: true } => orders.reads.push((*at, *machine, *begun)),
                Fact::InForce { order, number } => {
                    orders.in_force.insert(*order, *number);
                    orders.versions.insert(*number);
                }
                Fact::Acknowledged { version, .. } => orders.acknowledged.push((*at, *version)),
                Fact::PathCut { from, to, until } => {
                    orders.cuts.push(Cut { from: *from, to: *to, since: *at, until: *until });
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
    fn newest_before(&self, begun: u64) -> u64 {
        let before = self.acknowledged.iter().filter(|(at, _)| *at < begun);
        before.map(|(_, version)| *version).max().unwrap_or_default()
    }

    /// Whether a core machine had, throughout this time, a path cut to or from each other one.
    fn was_alone(&self, machine: usize, since: u64, until: u64) -> bool {
        let is_cut = |other: usize| {
            self.cuts.iter().any(|cut| {
                let between = [(machine, other), (other, machine)].contains(&(cut.from, cut.to));
                between && cut.since <= since && until < cut.until
            })
        };
        self.core.len() > 2 && self.core.iter().filter(|other| **other != machine).all(|other| is_cut(*other))
    }
}

/// What a history breaks of these rules.
pub fn check(history: &History, broken: &mut Vec<Broken>) {
    let orders = Orders::read(history);
    one_order_a_number(&orders, broken);
    for claim in &orders.claims {
        if let Some((rule, what)) = wrong(&orders, claim) {
            broken.push(Broken { rule, at: claim.at, what });
        }
    }
    let clear = orders.claims.iter().map(|claim| (claim.at, claim.machine, claim.begun));
    for (at, machine, begun) in clear.chain(orders.reads.iter().copied()) {
        if orders.was_alone(machine, begun, at) {
            let what = format!("machine {machine} reached no other core machine and gave a clear answer");
            broken.push(Broken { rule: Rule::Alone, at, what });
        }
    }
}

fn one_order_a_number(orders: &Orders, broken: &mut Vec<Broken>) {
    let mut confirmed: BTreeMap<u64, u64> = BTreeMap::new();
    for claim in orders.claims.iter().filter(|claim| claim.answer == OrderAnswer::Confirmed) {
        let first = *confirmed.entry(claim.number).or_insert(claim.order);
        if first != claim.order {
            let what = format!("two orders were confirmed under {}", claim.number);
            broken.push(Broken { rule: Rule::OneOrder, at: claim.at, what });
        }
    }
}

/// Why an answer does not hold.
fn wrong(orders: &Orders, claim: &Claim) -> Option<(Rule, String)> {
    let number = claim.number;
    let is_taken = orders.in_force.contains_key(&claim.order);
    let refused = |why: String| Some((Rule::Refused, why));
    match claim.answer {
        OrderAnswer::Confirmed if !is_taken => {
            Some((Rule::Acknowledged, format!("{number} was confirmed and is in no chosen value")))
        }
        OrderAnswer::Confirmed | OrderAnswer::Unclear => None,
        OrderAnswer::OtherVersion(_) | OrderAnswer::NotAbove if is_taken => {
            refused(format!("{number} on {} was refused and is in force, then or later", claim.on))
        }
        OrderAnswer::NotAbove => None,
        OrderAnswer::OtherVersion(current) if current == claim.on => {
            refused(format!("{number} on {current} was refused since {current} is current"))
        }
        OrderAnswer::OtherVersion(current) if current != 0 && !orders.versions.contains(&current) => {
            refused(format!("{current} was told to be current and never was"))
        }
        OrderAnswer::OtherVersion(current) if current < orders.newest_before(claim.begun) => {
            refused(format!("{current} was told to be current after a newer one was acknowledged"))
        }
        OrderAnswer::OtherVersion(_) => None,
    }
}

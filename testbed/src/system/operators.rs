//! The operators of a play: they send changes again and again, under numbers that others use too; what got no clear answer is
//! sent again as it was, to other machines, and what was taken long ago comes once more.

use super::Mutation;
use super::control::SimulatedControlNode;
use super::history::{Fact, OrderAnswer};
use super::play::Stage;
use bytes::Bytes;
use controllers::{ConfigVerdict, RetireVerdict};
use fleet_model::CommittedVersion;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How long an operator waits for one answer.
const PATIENCE_MS: u64 = 1_000;
/// Of the orders that were confirmed so many are kept, to be sent again.
const KEPT_ORDERS: usize = 64;
/// Senders at once in a burst: with the operators that are always there, eight orders are under way.
pub const SENDERS: u64 = 6;

/// A change that an operator sends; sent again it is the same to the byte.
#[derive(Clone, Debug)]
pub struct Order {
    /// Names it: the first bytes of its digest.
    pub id: u64,
    /// The version that it brings.
    pub number: u64,
    /// The version on which it builds.
    pub on: u64,
    body: Bytes,
}

/// What a change came to.
struct Changed {
    /// The newest version that is known then.
    newest: u64,
    /// It was confirmed.
    confirmed: bool,
}

/// What the operators of a play share.
#[derive(Default)]
pub struct Operators {
    last_number: Cell<u64>,
    last_order: Cell<u64>,
    confirmed: RefCell<Vec<Order>>,
    /// Orders seen in force, so that each is order_answer once: number and name.
    seen: RefCell<Vec<(u64, u64)>>,
}

/// A configuration as an operator sends it; those of different orders differ in their bytes.
fn configuration(version: u64, order: u64) -> Bytes {
    let body = serde_json::json!({
        "version": version,
        "routes": [{
            "name": format!("r-{order}"), "hostname": "h.example", "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 1_500, "service": "models",
        }],
        "services": [{"name": "models", "health_check_path": "/health", "max_connections": 8}],
    });
    Bytes::from(body.to_string())
}

/// The name of the order of this digest.
fn name(digest: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

fn order_of(taken: &CommittedVersion) -> u64 {
    name(&taken.digest)
}

impl Stage {
    fn new_order(&self, on: u64) -> Order {
        let operators = &self.operators;
        let last = operators.last_number.get();
        // Another operator may be at the same number.
        let number = if last > on && self.world.draw(4) == 0 { last } else { last.max(on) + 1 };
        operators.last_number.set(number.max(last));
        operators.last_order.set(operators.last_order.get() + 1);
        let body = configuration(number, operators.last_order.get());
        Order { id: name(&operator_config::digest(&body)), number, on, body }
    }

    /// Sends an order to a core machine's process; what came of it stands in the history.
    async fn send(self: &Rc<Self>, order: &Order, keeper: Rc<SimulatedControlNode>) -> OrderAnswer {
        let host = keeper.host().clone();
        let machine = self.world.machine_number(host.node);
        let begun = self.world.elapsed_ms();
        let (sent, mutation) = (order.clone(), self.world.mutation);
        let answer =
            self.at(&host, PATIENCE_MS, async move { answered(&keeper, &sent, mutation).await }).await;
        let lost = self.world.loses_answer();
        let answer = answer.filter(|_| !lost).unwrap_or(OrderAnswer::Unclear);
        let Order { id, number, on, .. } = *order;
        self.world.note(Fact::Ordered { order: id, number, on, machine, begun, answer });
        if answer == OrderAnswer::Confirmed {
            self.confirmed(order);
        }
        answer
    }

    fn confirmed(self: &Rc<Self>, order: &Order) {
        let mut confirmed = self.operators.confirmed.borrow_mut();
        if confirmed.iter().any(|other| other.id == order.id) {
            return;
        }
        confirmed.push(order.clone());
        if confirmed.len() > KEPT_ORDERS {
            confirmed.remove(0);
        }
        drop(confirmed);
        self.world.note(Fact::Acknowledged { version: order.number, on: order.on });
        self.acknowledged.set(self.calm.get());
        self.strike();
    }

    /// Sends an order to one machine after another until the answer is clear; at times to several at once.
    async fn send_until_clear(
        self: &Rc<Self>,
        order: &Order,
        first: Option<Rc<SimulatedControlNode>>,
    ) -> OrderAnswer {
        let mut next = first;
        let mut last = None;
        loop {
            let Some(keeper) = next.take().or_else(|| self.another(last)) else {
                self.pause(100).await;
                continue;
            };
            last = Some(keeper.host().node);
            let answer = match self.world.draw(6) {
                0 => self.send_to_several(order, keeper).await,
                _ => self.send(order, keeper).await,
            };
            if answer != OrderAnswer::Unclear {
                return answer;
            }
            self.pause(50 + self.world.draw(250)).await;
        }
    }

    /// A control node other than the one that was asked last, if there is one.
    fn another(&self, last: Option<usize>) -> Option<Rc<SimulatedControlNode>> {
        let keepers = self.keepers.borrow();
        let others: Vec<_> = keepers.iter().filter(|(node, _)| Some(**node) != last).collect();
        let chosen = if others.is_empty() { keepers.iter().next() } else { None };
        let place = self.world.draw(others.len() as u64) as usize;
        chosen.or_else(|| others.get(place).copied()).map(|(_, keeper)| keeper.clone())
    }

    async fn send_to_several(self: &Rc<Self>, order: &Order, first: Rc<SimulatedControlNode>) -> OrderAnswer {
        let others = (0..2).filter_map(|_| self.some(&self.keepers));
        let answers =
            join_all([first].into_iter().chain(others).map(|keeper| self.send(order, keeper))).await;
        let clear = answers.into_iter().find(|answer| *answer != OrderAnswer::Unclear);
        clear.unwrap_or(OrderAnswer::Unclear)
    }

    async fn read(&self, keeper: Rc<SimulatedControlNode>) -> Option<u64> {
        let host = keeper.host().clone();
        let machine = self.world.machine_number(host.node);
        let begun = self.world.elapsed_ms();
        let mutation = self.world.mutation;
        let read = self.at(&host, PATIENCE_MS, async move { version_of(&keeper, mutation).await }).await;
        let read = read.flatten();
        self.world.note(Fact::Read { machine, begun, clear: read.is_some() });
        if let Some(version) = read {
            self.world.note(Fact::ReadBack { begun, version });
        }
        read
    }

    /// Changes the configuration again and again.
    pub(super) async fn operate(self: Rc<Self>) {
        let mut newest = 0;
        loop {
            self.pause(250 + self.world.draw(500)).await;
            let Some(keeper) = self.some(&self.keepers) else { continue };
            match self.world.draw(8) {
                0 | 1 => newest = newest.max(self.read(keeper).await.unwrap_or_default()),
                2 => self.send_again(keeper).await,
                _ => newest = self.change(newest, None).await,
            }
        }
    }

    /// Something that was confirmed once comes again.
    async fn send_again(self: &Rc<Self>, keeper: Rc<SimulatedControlNode>) {
        let former = {
            let confirmed = self.operators.confirmed.borrow();
            let place = self.world.draw(confirmed.len() as u64) as usize;
            confirmed.get(place).cloned()
        };
        if let Some(former) = former {
            self.send(&former, keeper).await;
        }
    }

    /// One change on top of the newest known version, sent until the answer is clear; the newest version known then.
    async fn change(self: &Rc<Self>, newest: u64, first: Option<Rc<SimulatedControlNode>>) -> u64 {
        self.try_change(newest, first).await.newest
    }

    async fn try_change(self: &Rc<Self>, newest: u64, first: Option<Rc<SimulatedControlNode>>) -> Changed {
        let order = self.new_order(newest);
        let answer = self.send_until_clear(&order, first).await;
        let newest = match answer {
            OrderAnswer::Confirmed => newest.max(order.number),
            OrderAnswer::OtherVersion(current) => current,
            OrderAnswer::NotAbove | OrderAnswer::Unclear => newest,
        };
        Changed { newest, confirmed: answer == OrderAnswer::Confirmed }
    }

    /// Many changes, by several senders at once, each as soon as its last was answered.
    pub(super) async fn burst(self: Rc<Self>, orders: u64) {
        let left = Cell::new(orders);
        let senders = (0..SENDERS).map(|_| async {
            let mut newest = 0;
            while left.get() > 0 {
                let changed = self.try_change(newest, None).await;
                newest = changed.newest;
                left.set(left.get().saturating_sub(u64::from(changed.confirmed)));
            }
        });
        join_all(senders).await;
    }

    /// Sends changes and reads to one machine for so long; another takes on what gets no clear answer there.
    pub(super) async fn insist(self: Rc<Self>, node: usize, for_ms: u64) {
        let returns = self.world.elapsed_ms() + for_ms;
        let at = |stage: &Stage| stage.keepers.borrow().get(&node).cloned();
        let mut newest = 0;
        while self.world.elapsed_ms() < returns {
            let left = returns - self.world.elapsed_ms();
            self.pause(left.min(100 + self.world.draw(300))).await;
            let Some(keeper) = at(&self) else { continue };
            match self.world.draw(3) {
                0 => newest = newest.max(self.read(keeper).await.unwrap_or_default()),
                _ => newest = self.change(newest, Some(keeper)).await,
            }
        }
    }

    /// A change is sent to a machine in the moment of its return.
    pub(super) async fn send_on_return(self: Rc<Self>, node: usize, for_ms: u64) {
        self.pause(for_ms).await;
        let newest = self.operators.confirmed.borrow().last().map_or(0, |order| order.number);
        let Some(keeper) = self.keepers.borrow().get(&node).cloned() else { return };
        self.change(newest, Some(keeper)).await;
    }

    /// Notes which orders have come into force since it was called last.
    pub(super) fn note_in_force(&self) {
        let mut seen = self.operators.seen.borrow_mut();
        for keeper in self.keepers.borrow().values() {
            let state = keeper.feed.state();
            let is_new = |taken: &&CommittedVersion| !seen.contains(&(taken.version, order_of(taken)));
            let fresh: Vec<(u64, u64)> = state
                .committed
                .iter()
                .rev()
                .take_while(is_new)
                .map(|taken| (taken.version, order_of(taken)))
                .collect();
            for (number, order) in fresh.into_iter().rev() {
                self.world.note(Fact::InForce { order, number });
                seen.push((number, order));
            }
        }
    }

    /// Has a machine emptied; returns once that is agreed.
    pub(super) async fn retire(&self, machine: usize) {
        let name = self.schedule.machines[machine].name.clone();
        loop {
            if let Some(keeper) = self.some(&self.keepers) {
                let (host, name) = (keeper.host().clone(), name.clone());
                let order_answer =
                    self.at(&host, PATIENCE_MS, async move { keeper.retire(&name).await }).await;
                if order_answer.flatten().is_some() {
                    return;
                }
            }
            self.pause(300).await;
        }
    }

    /// Asks until a retire is order_answer to be completed.
    pub(super) async fn retire_completed(&self, machine: usize) {
        let name = self.schedule.machines[machine].name.clone();
        loop {
            if let Some(keeper) = self.some(&self.keepers) {
                let (host, name, mutation) = (keeper.host().clone(), name.clone(), self.world.mutation);
                let order_answer = async move {
                    keeper.version().await?;
                    Some(controllers::retire_status(&keeper.feed.state(), &name))
                };
                let verdict = self.at(&host, PATIENCE_MS, order_answer).await.flatten();
                // Broken on purpose: what is only agreed counts as completed.
                let early = mutation == Some(Mutation::CompletedEarly);
                if verdict == Some(RetireVerdict::Completed)
                    || early && verdict == Some(RetireVerdict::Active)
                {
                    return;
                }
            }
            self.pause(50).await;
        }
    }
}

/// What a control node answers to an order; mutations change what its crates say.
async fn answered(keeper: &SimulatedControlNode, order: &Order, mutation: Option<Mutation>) -> OrderAnswer {
    if mutation == Some(Mutation::AnsweredAlone) {
        // Broken on purpose: by its own replicated state, without a majority.
        let taken = CommittedVersion { version: order.number, digest: operator_config::digest(&order.body) };
        let state = keeper.feed.state();
        let (_, verdict) = controllers::put_config(&state, order.on, &taken, &order.body);
        if verdict != ConfigVerdict::Committed {
            return order_answer(Some(verdict));
        }
    }
    let verdict = keeper.put_config(order.on, order.body.clone()).await;
    let current = keeper.feed.state().version();
    match (mutation, verdict) {
        // Broken on purpose: only the newest is known to have been taken.
        (Some(Mutation::TakenForgotten), Some(ConfigVerdict::Committed)) if current != order.number => {
            OrderAnswer::OtherVersion(current)
        }
        _ => order_answer(verdict),
    }
}

fn order_answer(verdict: Option<ConfigVerdict>) -> OrderAnswer {
    match verdict {
        Some(ConfigVerdict::Committed) => OrderAnswer::Confirmed,
        Some(ConfigVerdict::VersionMismatch(current)) => OrderAnswer::OtherVersion(current),
        Some(ConfigVerdict::NotNewer) => OrderAnswer::NotAbove,
        Some(ConfigVerdict::Indeterminate) | None => OrderAnswer::Unclear,
    }
}

async fn version_of(keeper: &SimulatedControlNode, mutation: Option<Mutation>) -> Option<u64> {
    match mutation {
        // Broken on purpose: without a quorum read.
        Some(Mutation::FreshnessNotChecked) => Some(keeper.feed.state().version()),
        _ => keeper.version().await,
    }
}

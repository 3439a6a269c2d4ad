//! The simulated operators. They send configuration changes under version numbers that other operators use too, retry changes
//! of unknown outcome unchanged at other control nodes, and sometimes resend changes that were committed long ago.

use super::Mutation;
use super::control::SimulatedControlNode;
use super::history::{Fact, OrderAnswer};
use super::run::SystemRun;
use bytes::Bytes;
use controllers::{ConfigVerdict, RetireVerdict};
use fleet_model::CommittedVersion;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Time-out of one answer to an operator.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Confirmed changes that are stored to be resent.
const MAX_RESENT_ORDERS: usize = 64;
/// Concurrent senders of a burst: together with the two permanent operators, eight changes are in flight.
pub const SENDERS: u64 = 6;

/// A configuration change; its bytes are the same in each attempt.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its identity: the first bytes of its digest.
    pub id: u64,
    /// The version of the new configuration.
    pub number: u64,
    /// The version that it replaces.
    pub on: u64,
    body: Bytes,
}

/// The outcome of a change.
struct Changed {
    /// The newest version known after it.
    newest: u64,
    /// Whether it was confirmed.
    confirmed: bool,
}

/// State that the operators of a run share.
#[derive(Default)]
pub struct Operators {
    last_number: Cell<u64>,
    last_order: Cell<u64>,
    confirmed: RefCell<Vec<Order>>,
    /// Version and identity of the changes seen in force, so that each is recorded once.
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

/// The identity of the change with this digest.
fn order_id_of_digest(digest: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

fn order_id(committed: &CommittedVersion) -> u64 {
    order_id_of_digest(&committed.digest)
}

impl SystemRun {
    fn new_order(&self, on: u64) -> Order {
        let operators = &self.operators;
        let last = operators.last_number.get();
        // Another operator may be at the same number.
        let number = if last > on && self.cluster.random_below(4) == 0 { last } else { last.max(on) + 1 };
        operators.last_number.set(number.max(last));
        operators.last_order.set(operators.last_order.get() + 1);
        let body = configuration(number, operators.last_order.get());
        Order { id: order_id_of_digest(&operator_config::digest(&body)), number, on, body }
    }

    /// Sends a change to a control node and records the outcome.
    async fn send(self: &Rc<Self>, order: &Order, control_node: Rc<SimulatedControlNode>) -> OrderAnswer {
        let host = control_node.host().clone();
        let machine = self.cluster.machine_index_of(host.node);
        let started_at = self.cluster.elapsed_ms();
        let (sent, mutation) = (order.clone(), self.cluster.mutation);
        let answer = self
            .call_process(&host, ANSWER_TIMEOUT_MS, async move {
                answer_order(&control_node, &sent, mutation).await
            })
            .await;
        let lost = self.cluster.loses_answer();
        let answer = answer.filter(|_| !lost).unwrap_or(OrderAnswer::Unclear);
        let Order { id, number, on, .. } = *order;
        self.cluster.record(Fact::Ordered { order: id, number, on, machine, started_at, answer });
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
        if confirmed.len() > MAX_RESENT_ORDERS {
            confirmed.remove(0);
        }
        drop(confirmed);
        self.cluster.record(Fact::Acknowledged { version: order.number, on: order.on });
        self.acknowledged.set(self.calm.get());
        self.inject_last_fault();
    }

    /// Sends a change to one control node after another until the answer is definite; sometimes to several concurrently.
    async fn send_until_clear(
        self: &Rc<Self>,
        order: &Order,
        first: Option<Rc<SimulatedControlNode>>,
    ) -> OrderAnswer {
        let mut next = first;
        let mut last = None;
        loop {
            let Some(control_node) = next.take().or_else(|| self.pick_other(last)) else {
                self.sleep_ms(100).await;
                continue;
            };
            last = Some(control_node.host().node);
            let answer = match self.cluster.random_below(6) {
                0 => self.send_to_several(order, control_node).await,
                _ => self.send(order, control_node).await,
            };
            if answer != OrderAnswer::Unclear {
                return answer;
            }
            self.sleep_ms(50 + self.cluster.random_below(250)).await;
        }
    }

    /// A control node other than the last one, if there is one.
    fn pick_other(&self, last: Option<usize>) -> Option<Rc<SimulatedControlNode>> {
        let control_nodes = self.control_nodes.borrow();
        let others: Vec<_> = control_nodes.iter().filter(|(node, _)| Some(**node) != last).collect();
        let chosen = if others.is_empty() { control_nodes.iter().next() } else { None };
        let index = self.cluster.random_below(others.len() as u64) as usize;
        chosen.or_else(|| others.get(index).copied()).map(|(_, control_node)| control_node.clone())
    }

    async fn send_to_several(self: &Rc<Self>, order: &Order, first: Rc<SimulatedControlNode>) -> OrderAnswer {
        let others = (0..2).filter_map(|_| self.pick(&self.control_nodes));
        let answers =
            join_all([first].into_iter().chain(others).map(|control_node| self.send(order, control_node)))
                .await;
        let clear = answers.into_iter().find(|answer| *answer != OrderAnswer::Unclear);
        clear.unwrap_or(OrderAnswer::Unclear)
    }

    async fn read(&self, control_node: Rc<SimulatedControlNode>) -> Option<u64> {
        let host = control_node.host().clone();
        let machine = self.cluster.machine_index_of(host.node);
        let started_at = self.cluster.elapsed_ms();
        let mutation = self.cluster.mutation;
        let read = self
            .call_process(&host, ANSWER_TIMEOUT_MS, async move { version_of(&control_node, mutation).await })
            .await;
        let read = read.flatten();
        self.cluster.record(Fact::Read { machine, started_at, clear: read.is_some() });
        if let Some(version) = read {
            self.cluster.record(Fact::ReadBack { started_at, version });
        }
        read
    }

    /// Sends reads, resent changes and new changes in a loop.
    pub(super) async fn operate(self: Rc<Self>) {
        let mut newest = 0;
        loop {
            self.sleep_ms(250 + self.cluster.random_below(500)).await;
            let Some(control_node) = self.pick(&self.control_nodes) else { continue };
            match self.cluster.random_below(8) {
                0 | 1 => newest = newest.max(self.read(control_node).await.unwrap_or_default()),
                2 => self.send_again(control_node).await,
                _ => newest = self.change(newest, None).await,
            }
        }
    }

    /// Resends a change that was confirmed earlier.
    async fn send_again(self: &Rc<Self>, control_node: Rc<SimulatedControlNode>) {
        let former = {
            let confirmed = self.operators.confirmed.borrow();
            let index = self.cluster.random_below(confirmed.len() as u64) as usize;
            confirmed.get(index).cloned()
        };
        if let Some(former) = former {
            self.send(&former, control_node).await;
        }
    }

    /// Sends a change on top of the newest known version until the answer is definite; the newest version known then.
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

    /// Sends many changes with several concurrent senders, without pauses.
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

    /// Sends changes and reads to one control node for `for_ms` milliseconds; changes without a definite answer go to others.
    pub(super) async fn send_during_isolation(self: Rc<Self>, node: usize, for_ms: u64) {
        let returns = self.cluster.elapsed_ms() + for_ms;
        let node_process = |run: &SystemRun| run.control_nodes.borrow().get(&node).cloned();
        let mut newest = 0;
        while self.cluster.elapsed_ms() < returns {
            let left = returns - self.cluster.elapsed_ms();
            self.sleep_ms(left.min(100 + self.cluster.random_below(300))).await;
            let Some(control_node) = node_process(&self) else { continue };
            match self.cluster.random_below(3) {
                0 => newest = newest.max(self.read(control_node).await.unwrap_or_default()),
                _ => newest = self.change(newest, Some(control_node)).await,
            }
        }
    }

    /// Sends a change to a control node at the moment of its return.
    pub(super) async fn send_on_return(self: Rc<Self>, node: usize, for_ms: u64) {
        self.sleep_ms(for_ms).await;
        let newest = self.operators.confirmed.borrow().last().map_or(0, |order| order.number);
        let Some(control_node) = self.control_nodes.borrow().get(&node).cloned() else { return };
        self.change(newest, Some(control_node)).await;
    }

    /// Records the changes that were committed since the last call.
    pub(super) fn record_orders_in_force(&self) {
        let mut seen = self.operators.seen.borrow_mut();
        for control_node in self.control_nodes.borrow().values() {
            let state = control_node.feed.state();
            let is_new =
                |committed: &&CommittedVersion| !seen.contains(&(committed.version, order_id(committed)));
            let fresh: Vec<(u64, u64)> = state
                .committed
                .iter()
                .rev()
                .take_while(is_new)
                .map(|committed| (committed.version, order_id(committed)))
                .collect();
            for (number, order) in fresh.into_iter().rev() {
                self.cluster.record(Fact::InForce { order, number });
                seen.push((number, order));
            }
        }
    }

    /// Retires a machine; returns once that is agreed.
    pub(super) async fn retire(&self, machine: usize) {
        let name = self.schedule.machines[machine].name.clone();
        loop {
            if let Some(control_node) = self.pick(&self.control_nodes) {
                let (host, name) = (control_node.host().clone(), name.clone());
                let order_answer = self
                    .call_process(&host, ANSWER_TIMEOUT_MS, async move { control_node.retire(&name).await })
                    .await;
                if order_answer.flatten().is_some() {
                    return;
                }
            }
            self.sleep_ms(300).await;
        }
    }

    /// Waits until a retirement is reported as completed.
    pub(super) async fn retire_completed(&self, machine: usize) {
        let name = self.schedule.machines[machine].name.clone();
        loop {
            if let Some(control_node) = self.pick(&self.control_nodes) {
                let (host, name, mutation) =
                    (control_node.host().clone(), name.clone(), self.cluster.mutation);
                let order_answer = async move {
                    control_node.version().await?;
                    Some(controllers::retire_status(&control_node.feed.state(), &name))
                };
                let verdict = self.call_process(&host, ANSWER_TIMEOUT_MS, order_answer).await.flatten();
                // Mutation: a retirement that is only agreed counts as completed.
                let early = mutation == Some(Mutation::CompletedEarly);
                if verdict == Some(RetireVerdict::Completed)
                    || early && verdict == Some(RetireVerdict::Active)
                {
                    return;
                }
            }
            self.sleep_ms(50).await;
        }
    }
}

/// A control node's answer to a change, altered by the active mutation.
async fn answer_order(
    control_node: &SimulatedControlNode,
    order: &Order,
    mutation: Option<Mutation>,
) -> OrderAnswer {
    if mutation == Some(Mutation::AnsweredAlone) {
        // Mutation: answers from its own replicated state, without a majority.
        let committed =
            CommittedVersion { version: order.number, digest: operator_config::digest(&order.body) };
        let state = control_node.feed.state();
        let (_, verdict) = controllers::put_config(&state, order.on, &committed, &order.body);
        if verdict != ConfigVerdict::Committed {
            return order_answer(Some(verdict));
        }
    }
    let verdict = control_node.put_config(order.on, order.body.clone()).await;
    let current = control_node.feed.state().version();
    match (mutation, verdict) {
        // Mutation: only the newest committed version is remembered.
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

async fn version_of(control_node: &SimulatedControlNode, mutation: Option<Mutation>) -> Option<u64> {
    match mutation {
        // Mutation: reads without a quorum.
        Some(Mutation::FreshnessNotChecked) => Some(control_node.feed.state().version()),
        _ => control_node.version().await,
    }
}

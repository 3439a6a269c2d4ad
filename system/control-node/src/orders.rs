//! Operators' orders: a node forwards them to the distinguished proposer, which executes all pending orders in one ballot.
//!
//! Forwarding and batching reduce the number of ballots; safety does not depend on them. The proposer evaluates a forwarded order
//! on the state that its own ballot has read, and returns the verdict only once the resulting state is chosen. If the proposer
//! does not answer in time, the order is sent to the next one. It may then be executed twice, which the evaluation of orders
//! must handle anyway because operators retry them.

use crate::proposer::{AttemptOutcome, ProposedChange};
use crate::{ControlBackend, ControlNode, ENDPOINT_DISCOVERY_TASK};
use fleet_model::{Answer, Call, ControlState, Order, OrderVerdict};
use futures_util::future::select;
use node_runtime::{Runtime, timeout_at};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Timeout of a forwarded order, after which it is sent to another proposer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(450);

/// An order that is waiting for its verdict.
pub(crate) struct PendingOrder {
    order: Order,
    verdict: Cell<Option<OrderVerdict>>,
    decided: Notify,
}

/// The orders that are waiting at this node, by arrival.
#[derive(Default)]
pub(crate) struct OrderQueue {
    pending: RefCell<Vec<Rc<PendingOrder>>>,
}

/// A guard that removes an order from the queue when dropped.
struct QueuedOrder<'a> {
    queue: &'a OrderQueue,
    order: Rc<PendingOrder>,
}

impl Drop for QueuedOrder<'_> {
    fn drop(&mut self) {
        self.queue.pending.borrow_mut().retain(|order| !Rc::ptr_eq(order, &self.order));
    }
}

/// The orders of one ballot, with their verdicts.
type EvaluatedOrders = Vec<(Rc<PendingOrder>, OrderVerdict)>;

impl OrderQueue {
    fn push(&self, order: Order) -> QueuedOrder<'_> {
        let order = Rc::new(PendingOrder { order, verdict: Cell::new(None), decided: Notify::new() });
        self.pending.borrow_mut().push(order.clone());
        QueuedOrder { queue: self, order }
    }

    /// Evaluates all undecided orders in sequence, each on the state that results from the previous one. Returns the changed
    /// state, if any order changes it.
    fn evaluate(
        &self,
        state: &ControlState,
        min_storage_nodes: usize,
    ) -> (Option<ControlState>, EvaluatedOrders) {
        let mut changed: Option<ControlState> = None;
        let mut batch = Vec::new();
        for pending in self.pending.borrow().iter().filter(|pending| pending.verdict.get().is_none()) {
            let current = changed.as_ref().unwrap_or(state);
            let (next, verdict) = controllers::evaluate_order(current, &pending.order, min_storage_nodes);
            changed = next.or(changed);
            batch.push((pending.clone(), verdict));
        }
        (changed, batch)
    }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Has the distinguished proposer execute an order, or the next proposer if that one does not answer; `None` if the order's
    /// outcome is unknown.
    pub(crate) async fn submit(&self, order: Order, max_wait: Duration) -> Option<OrderVerdict> {
        let deadline = self.runtime.now() + self.change_timeout(max_wait);
        let forward_timeout = self.change_timeout(FORWARD_TIMEOUT);
        loop {
            let remaining = deadline.saturating_sub(self.runtime.now());
            let proposer = self.distinguished_proposer();
            if proposer == self.me || remaining < forward_timeout {
                return self.propose_order(order, remaining).await;
            }
            let call = Call::Order(order.clone());
            if let Some(Answer::Verdict(verdict)) = self.runtime.call(proposer, call, forward_timeout).await {
                return Some(verdict);
            }
            self.proposers.borrow_mut().record_failure(self.runtime.now_ms(), proposer);
        }
    }

    /// Answers a node that has forwarded an order, which this node does not forward again.
    pub(crate) async fn answer_order(&self, order: Order) -> Answer {
        let verdict = self.propose_order(order, self.change_timeout(FORWARD_TIMEOUT)).await;
        verdict.map_or(Answer::NotReady, Answer::Verdict)
    }

    fn distinguished_proposer(&self) -> Ipv4Addr {
        let state = self.feed.state();
        self.proposers.borrow().select(
            self.runtime.now_ms(),
            self.me,
            state.leases.get(ENDPOINT_DISCOVERY_TASK),
            &self.feed.value().voters,
            &self.voter_controller.borrow(),
        )
    }

    /// Proposes an order together with all other pending ones; `None` if its outcome is unknown.
    async fn propose_order(&self, order: Order, max_wait: Duration) -> Option<OrderVerdict> {
        let deadline = self.runtime.now() + max_wait;
        let queued = self.orders.push(order);
        let decided = pin!(queued.order.decided.notified());
        let ballots = pin!(self.propose_pending(&queued.order, deadline));
        timeout_at(&self.runtime, deadline, select(ballots, decided)).await;
        queued.order.verdict.get()
    }

    /// Runs ballots with all pending orders until `order` is decided.
    async fn propose_pending(&self, order: &PendingOrder, deadline: Duration) {
        let _proposal_guard = self.proposal_lock.lock().await;
        let min_storage_nodes = self.min_storage_nodes();
        while order.verdict.get().is_none() && self.wait_for_backoff(deadline).await {
            let mut batch = EvaluatedOrders::new();
            let mut evaluate_pending = |state: &ControlState, _: &[Ipv4Addr]| {
                let (changed, evaluated) = self.orders.evaluate(state, min_storage_nodes);
                batch = evaluated;
                ProposedChange::from(changed)
            };
            match self.attempt(deadline, &mut evaluate_pending).await {
                AttemptOutcome::Chosen { has_change: true } => {
                    for (pending, verdict) in batch {
                        pending.verdict.set(Some(verdict));
                        pending.decided.notify_one();
                    }
                }
                AttemptOutcome::Chosen { has_change: false }
                | AttemptOutcome::Lost
                | AttemptOutcome::Failed => {}
                AttemptOutcome::TimedOut => return,
            }
        }
    }
}

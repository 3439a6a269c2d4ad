//! Orders of operators: a node forwards them to the distinguished proposer, which makes all that wait in one ballot.
//!
//! Forwarding and batching save ballots; safety does not depend on them. A forwarded order is judged by the proposer on the
//! state of its own ballot, and its verdict is returned only once that state is chosen. An order whose proposer does not
//! answer in time goes to the next one: it may then be made twice, which the judgement of orders has to expect anyway, since
//! operators repeat them.

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

/// How long a forwarded order may take before it goes to another proposer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(450);

/// An order that waits for its verdict.
pub(crate) struct PendingOrder {
    order: Order,
    verdict: Cell<Option<OrderVerdict>>,
    decided: Notify,
}

/// The orders that wait at this node, in the order of their arrival.
#[derive(Default)]
pub(crate) struct OrderQueue {
    pending: RefCell<Vec<Rc<PendingOrder>>>,
}

/// An order's place in the queue, which it leaves when this is dropped.
struct QueuedOrder<'a> {
    queue: &'a OrderQueue,
    order: Rc<PendingOrder>,
}

impl Drop for QueuedOrder<'_> {
    fn drop(&mut self) {
        self.queue.pending.borrow_mut().retain(|order| !Rc::ptr_eq(order, &self.order));
    }
}

/// The verdicts on the orders of one ballot.
type Batch = Vec<(Rc<PendingOrder>, OrderVerdict)>;

impl OrderQueue {
    fn push(&self, order: Order) -> QueuedOrder<'_> {
        let order = Rc::new(PendingOrder { order, verdict: Cell::new(None), decided: Notify::new() });
        self.pending.borrow_mut().push(order.clone());
        QueuedOrder { queue: self, order }
    }

    /// Judges all undecided orders one after the other, each on the state that the one before has left.
    fn judge(&self, state: &ControlState, min_storage_nodes: usize) -> (Option<ControlState>, Batch) {
        let mut changed: Option<ControlState> = None;
        let mut batch = Vec::new();
        for pending in self.pending.borrow().iter().filter(|pending| pending.verdict.get().is_none()) {
            let current = changed.as_ref().unwrap_or(state);
            let (next, verdict) = controllers::judge(current, &pending.order, min_storage_nodes);
            changed = next.or(changed);
            batch.push((pending.clone(), verdict));
        }
        (changed, batch)
    }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Has an order made by the distinguished proposer, or by the next one if that fails; `None` if its outcome is unknown.
    pub(crate) async fn submit(&self, order: Order, within: Duration) -> Option<OrderVerdict> {
        let deadline = self.runtime.now() + within;
        loop {
            let remaining = deadline.saturating_sub(self.runtime.now());
            let proposer = self.distinguished_proposer();
            if proposer == self.me || remaining < FORWARD_TIMEOUT {
                return self.propose_order(order, remaining).await;
            }
            let call = Call::Order(order.clone());
            if let Some(Answer::Verdict(verdict)) = self.runtime.call(proposer, call, FORWARD_TIMEOUT).await {
                return Some(verdict);
            }
            self.proposers.borrow_mut().record_failure(self.runtime.now_ms(), proposer);
        }
    }

    /// Answers a node that has forwarded an order. It is not forwarded again.
    pub(crate) async fn answer_order(&self, order: Order) -> Answer {
        let verdict = self.propose_order(order, FORWARD_TIMEOUT).await;
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

    /// Proposes an order together with all others that wait here; `None` if its outcome is unknown.
    async fn propose_order(&self, order: Order, within: Duration) -> Option<OrderVerdict> {
        let deadline = self.runtime.now() + within;
        let queued = self.orders.push(order);
        let decided = pin!(queued.order.decided.notified());
        let ballots = pin!(self.propose_pending(&queued.order, deadline));
        timeout_at(&self.runtime, deadline, select(ballots, decided)).await;
        queued.order.verdict.get()
    }

    /// Runs ballots with all orders that wait here, until this one is decided.
    async fn propose_pending(&self, order: &PendingOrder, deadline: Duration) {
        let _alone = self.proposing.lock().await;
        let min_storage_nodes = self.min_storage_nodes();
        while order.verdict.get().is_none() && self.wait_for_turn(deadline).await {
            let mut batch = Batch::new();
            let mut judge_pending = |state: &ControlState, _: &[Ipv4Addr]| {
                let (changed, judged) = self.orders.judge(state, min_storage_nodes);
                batch = judged;
                ProposedChange::from(changed)
            };
            match self.attempt(deadline, &mut judge_pending).await {
                AttemptOutcome::Chosen { has_change: true } => {
                    for (decided, verdict) in batch {
                        decided.verdict.set(Some(verdict));
                        decided.decided.notify_one();
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

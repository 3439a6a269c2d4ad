//! Waiting for a slot at an endpoint, in the order of the wait queue.

use crate::local_response::DEFAULT_RETRY_AFTER;
use crate::pool::SharedState;
use crate::wait_queue::Rank;
use message_sender::{Span, Time};
use request_routing::{AttemptHistory, GiveUp, RoutingDecision, RoutingRequest, SendTarget};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A request that finds others of its service waiting waits this long before it first asks the router.
const INITIAL_WAIT_BEHIND_OTHERS: Span = Span(5_000);
/// Requests behind the queue's head ask the router at this interval once a quarter of their latency target is over.
const MIN_WAIT_BEHIND_HEAD: Span = Span(50_000);
/// Lower bound of the interval between two decisions.
const MIN_POLL_INTERVAL: Span = Span(1_000);

impl SharedState {
    /// Waits until the router assigns an endpoint, in the order of the queue.
    pub(crate) async fn wait_for_slot(
        &self,
        routing_request: &RoutingRequest,
        history: &AttemptHistory,
        rank: Rank,
        deadline: Instant,
    ) -> Result<SendTarget, GiveUp> {
        let mut behind = self.queue.is_behind(&routing_request.service, rank);
        let mut waiter = None;
        loop {
            if Instant::now() >= deadline {
                return Err(GiveUp::Refused { retry_after: DEFAULT_RETRY_AFTER });
            }
            let wait = if std::mem::take(&mut behind) {
                INITIAL_WAIT_BEHIND_OTHERS
            } else {
                let decision = self.router.borrow_mut().pick(self.now(), routing_request, history);
                match decision {
                    RoutingDecision::Send(target) => return Ok(target),
                    RoutingDecision::GiveUp(give_up) => return Err(give_up),
                    RoutingDecision::Wait(wait) => wait.max(MIN_POLL_INTERVAL),
                }
            };
            if waiter.is_none() {
                waiter = self.queue.enter(&routing_request.service, rank);
            }
            let Some(waiter) = &waiter else {
                return Err(GiveUp::Refused { retry_after: DEFAULT_RETRY_AFTER });
            };
            let wait = if waiter.is_near_head() {
                wait
            } else {
                let until_quarter_of_target =
                    Time(routing_request.arrived_at.0.saturating_add(routing_request.latency_target.0 / 4))
                        .since(self.now());
                wait.max(Span(until_quarter_of_target)).max(MIN_WAIT_BEHIND_HEAD)
            };
            let until = (Instant::now() + Duration::from_micros(wait.0)).min(deadline);
            // The router is asked again whether this was a notification or a timeout.
            let _ = timeout_at(until, waiter.notified()).await;
        }
    }
}

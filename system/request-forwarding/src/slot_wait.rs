//! Waiting for a place at an endpoint, in turn.

use crate::local_response::RETRY;
use crate::pool::SharedState;
use crate::wait_queue::Rank;
use message_sender::{Span, Time};
use request_routing::{AttemptHistory, GiveUp, RoutingDecision, RoutingRequest, Target};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Whoever finds others waiting for its service waits so long before it looks by itself.
const BEHIND_WAIT: Span = Span(5_000);
/// Those far behind in the queue look at least so often, once they have waited for a quarter of their aim.
const FAR_BEHIND_WAIT: Span = Span(50_000);
/// The shortest wait between two looks.
const LEAST_WAIT: Span = Span(1_000);

impl SharedState {
    /// Waits for a place in its turn.
    pub(crate) async fn place(
        &self,
        routing_request: &RoutingRequest,
        history: &AttemptHistory,
        rank: Rank,
        deadline: Instant,
    ) -> Result<Target, GiveUp> {
        let mut behind = self.queue.is_behind(&routing_request.service, rank);
        let mut waiter = None;
        loop {
            if Instant::now() >= deadline {
                return Err(GiveUp::Refused { retry_after: RETRY });
            }
            let wait = if std::mem::take(&mut behind) {
                BEHIND_WAIT
            } else {
                let pick = self.router.borrow_mut().pick(self.now(), routing_request, history);
                match pick {
                    RoutingDecision::Send(target) => return Ok(target),
                    RoutingDecision::GiveUp(give_up) => return Err(give_up),
                    RoutingDecision::Wait(wait) => wait.max(LEAST_WAIT),
                }
            };
            if waiter.is_none() {
                waiter = self.queue.enter(&routing_request.service, rank);
            }
            let Some(waiter) = &waiter else { return Err(GiveUp::Refused { retry_after: RETRY }) };
            let wait = if waiter.is_ahead() {
                wait
            } else {
                let quarter =
                    Time(routing_request.arrived_at.0.saturating_add(routing_request.latency_target.0 / 4))
                        .since(self.now());
                wait.max(Span(quarter)).max(FAR_BEHIND_WAIT)
            };
            let until = (Instant::now() + Duration::from_micros(wait.0)).min(deadline);
            // Woken or not, it looks again.
            let _ = timeout_at(until, waiter.woken()).await;
        }
    }
}

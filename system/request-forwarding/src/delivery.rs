//! Delivery of one request: attempts at one endpoint after another, until one responds or the request is given up.

use crate::endpoint_attempt::AttemptResult;
use crate::outbound_request::OutboundRequest;
use crate::pool::{CallInFlight, EndpointConnection, SharedState};
use crate::wait_queue::Rank;
use hyper::Response;
use message_sender::net::received_body::ReceivedBody;
use message_sender::{Outcome, Span};
use request_routing::{AttemptHistory, GiveUp, RetryDecision, RoutingRequest, SendOutcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Delay before the next attempt where no connection is free and none may be opened.
const CONNECTION_RETRY_DELAY: Span = Span(10_000);

/// A request and its attempts so far.
pub(crate) struct Delivery {
    shared: Rc<SharedState>,
    pub(crate) outgoing: OutboundRequest,
    pub(crate) routing_request: Rc<RoutingRequest>,
    pub(crate) history: AttemptHistory,
    sends: u32,
    rank: Rank,
}

/// The head of an endpoint's response, and its call.
pub(crate) struct EndpointResponse {
    pub(crate) response: Response<ReceivedBody>,
    pub(crate) connection: EndpointConnection,
    pub(crate) call: CallInFlight,
}

impl Delivery {
    pub(crate) fn new(
        shared: Rc<SharedState>,
        outgoing: OutboundRequest,
        routing_request: Rc<RoutingRequest>,
    ) -> Self {
        let rank = shared.queue.rank(routing_request.arrived_at.0, routing_request.priority);
        Self { shared, outgoing, routing_request, history: AttemptHistory::default(), sends: 0, rank }
    }

    /// Sends until an endpoint responds.
    pub(crate) async fn next_response(&mut self) -> Result<EndpointResponse, GiveUp> {
        loop {
            let target = self
                .shared
                .wait_for_slot(&self.routing_request, &self.history, self.rank, self.outgoing.deadline)
                .await?;
            let key = target.key;
            let mut call = CallInFlight::new(self.shared.clone(), &target, self.routing_request.clone());
            let attempt =
                self.shared.attempt(&self.outgoing, &target, &self.history, &mut call, &mut self.sends);
            match attempt.await {
                AttemptResult::Responded(response, connection) => {
                    return Ok(EndpointResponse { response, connection, call });
                }
                AttemptResult::NoConnection => {
                    call.complete(Outcome::Void);
                    self.wait_for_connection(key).await;
                }
                AttemptResult::Failed(send_outcome) => {
                    if send_outcome == SendOutcome::Misdirected {
                        self.shared.router.borrow_mut().mark_misdirected(self.shared.now(), key);
                        self.shared.count(|metrics| metrics.misdirected += 1);
                    }
                    self.record_failure(call, send_outcome.outcome())?;
                }
            }
        }
    }

    /// Records a call without a response to forward.
    ///
    /// # Errors
    ///
    /// The request must not be retried.
    pub(crate) fn record_failure(&mut self, call: CallInFlight, outcome: Outcome) -> Result<(), GiveUp> {
        self.shared.count(|metrics| match outcome {
            Outcome::Full(_) => metrics.full += 1,
            Outcome::ConnectFailed => metrics.connect_failed += 1,
            Outcome::Reset => metrics.reset += 1,
            Outcome::TimedOut => metrics.timed_out += 1,
            _ => {}
        });
        let key = call.key();
        call.complete(outcome);
        let decision = self.shared.router.borrow().decide_retry(
            self.shared.now(),
            &self.routing_request,
            &mut self.history,
            key,
            outcome,
        );
        match decision {
            RetryDecision::Retry => Ok(()),
            RetryDecision::GiveUp(give_up) => Err(give_up),
        }
    }

    async fn wait_for_connection(&mut self, key: request_routing::EndpointKey) {
        if !self.history.avoided_endpoints.contains(&key) {
            self.history.avoided_endpoints.push(key);
        }
        let retry_at = self.shared.now().after(CONNECTION_RETRY_DELAY.0 as f64);
        self.history.not_before = self.history.not_before.max(retry_at);
        tokio::time::sleep(Duration::from_micros(CONNECTION_RETRY_DELAY.0)).await;
    }

    /// Whether the request's deadline is still ahead.
    pub(crate) fn has_time(&self) -> bool {
        Instant::now() < self.outgoing.deadline
    }
}

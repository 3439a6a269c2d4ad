//! Calls to endpoints: starts those that the policy decides on, and records their results.
use super::{Host, log_failure};
use crate::net::connection::Connection;
use crate::net::input::{Called, Input};
use crate::net::journal::Attempt;
use crate::net::pool::{Call, Parcel, Pool};
use crate::net::telemetry;
use message_sender::{EndpointId, Event, MessageId, Outcome, Report, Span, Time};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

pub struct InFlightCall {
    pub started: Time,
    /// The message of a call with a single one; a call with several cannot be cancelled.
    message: Option<u32>,
    cancel: oneshot::Sender<()>,
}

/// The calls in flight, and the idle connections.
pub(super) struct Calls {
    pub(super) pool: Pool,
    /// Maximum number of open connections to endpoints.
    pub(super) max_connections: usize,
    pub(super) in_flight: HashMap<u64, InFlightCall>,
    next_number: u64,
    /// Messages that are in flight in calls of an old process.
    pub(super) in_flight_elsewhere: BTreeSet<u32>,
}

impl Calls {
    /// Connections are closed once they have been idle for `idle_timeout`.
    pub(super) fn new(max_connections: usize, idle_timeout: Duration) -> Self {
        let (in_flight, in_flight_elsewhere) = (HashMap::new(), BTreeSet::new());
        Self {
            pool: Pool::new(idle_timeout),
            max_connections,
            in_flight,
            next_number: 0,
            in_flight_elsewhere,
        }
    }

    /// Registers a call. Returns its number, the channel that cancels it, and an idle connection to reuse, if there is
    /// one, with the time that it was idle.
    fn register(
        &mut self,
        started: Time,
        message: Option<u32>,
        address: SocketAddr,
    ) -> (u64, oneshot::Receiver<()>, Option<(Connection, Duration)>) {
        let number = self.next_number;
        self.next_number += 1;
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.insert(number, InFlightCall { started, message, cancel });
        let reused = self.pool.take(address);
        self.trim();
        (number, cancelled, reused)
    }

    /// Puts a connection that can serve another call into the pool.
    pub(super) fn return_connection(&mut self, address: SocketAddr, connection: Connection) {
        self.pool.put(address, connection);
        self.trim();
    }

    /// Cancels the call of this message by closing its connection; the call still reports its result. A call of an
    /// old process continues.
    pub(super) fn cancel(&mut self, message: MessageId) {
        let call = self.in_flight.values_mut().find(|call| call.message == Some(message.0));
        if let Some(call) = call {
            let (unused, _) = oneshot::channel();
            let _ = std::mem::replace(&mut call.cancel, unused).send(());
        }
    }

    /// Closes idle connections that exceed the limit together with the calls in flight.
    fn trim(&mut self) {
        self.pool
            .trim(self.max_connections.saturating_sub(self.in_flight.len() + self.in_flight_elsewhere.len()));
    }
}

impl Host {
    /// Handles the result of a call of this process.
    pub(super) fn complete_call(&mut self, called: Called) {
        let at = self.clock.at(called.at);
        let sent = self.calls.in_flight.remove(&called.number).map_or(at, |call| call.started);
        self.figures.reused += u64::from(called.idle.is_some());
        match called.ends.first() {
            Some((_, Outcome::Reset, _)) => self.calls.pool.learn(called.idle, true),
            Some((_, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::NoRoom, _)) | None => {}
            Some(_) => self.calls.pool.learn(called.idle, false),
        }
        self.report_retry_after(at, called.endpoint, called.wait, &called.ends);
        self.complete_attempts(sent, at, called.ends, called.report);
    }

    /// Reports the `Retry-After` of an answer to the policy, unless the outcome of an attempt already contains it.
    pub(super) fn report_retry_after(
        &mut self,
        at: Time,
        endpoint: EndpointId,
        wait: Option<Span>,
        ends: &[(u32, Outcome, bool)],
    ) {
        let in_outcome = ends.iter().any(|(_, outcome, _)| matches!(outcome, Outcome::Full(Some(_))));
        if let Some(wait) = wait.filter(|_| !in_outcome) {
            self.pending_events.push((at, Event::RetryAfterReported { endpoint, wait }));
        }
    }

    /// Records the outcomes of a call's attempts.
    pub(super) fn complete_attempts(
        &mut self,
        sent: Time,
        at: Time,
        ends: Vec<(u32, Outcome, bool)>,
        report: Option<Report>,
    ) {
        for (number, outcome, last) in ends {
            let attempts = self.journal.get(number).map_or(1, |entry| entry.attempts);
            self.figures.attempt_ended(outcome);
            if last {
                let delivered = outcome == Outcome::Success;
                self.count_final_outcome(
                    number,
                    if delivered { telemetry::End::Completed } else { telemetry::End::Failed },
                );
                self.remove_message(number);
            } else {
                log_failure(self.journal.complete_attempt(number, outcome.may_have_executed()));
            }
            let event = Event::AttemptCompleted {
                message: MessageId(number),
                attempt: attempts.saturating_sub(1),
                outcome,
                elapsed: Span(at.0.saturating_sub(sent.0)),
                last,
                report,
            };
            self.pending_events.push((at, event));
        }
    }

    /// Records an attempt for each message, and starts the call.
    pub(super) fn start_call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Time) {
        let now = self.now();
        let Some(known) = self.endpoints.get(endpoint) else {
            // The policy only sends to endpoints that it has not forgotten. If it ever did otherwise, the messages
            // must not stay in flight for ever.
            tracing::warn!("not sent: unknown endpoint #{}", endpoint.0);
            let unsent = messages.into_iter().map(|message| (message.0, Outcome::Void, false)).collect();
            return self.complete_attempts(now, now, unsent, None);
        };
        let (address, zone) = (known.address, known.zone.clone());
        let mut parcels = Vec::with_capacity(messages.len());
        let mut unsent = Vec::new();
        for MessageId(number) in messages {
            self.figures.attempts += 1;
            if let Some(entry) = self.journal.get(number).filter(|entry| entry.attempts == 0)
                && let Some(accepted_at) = self.accepted_at.get(&entry.message.id)
            {
                self.figures.queue.observe(accepted_at.elapsed());
            }
            let recorded = self.journal.start_attempt(number, Attempt { at: now.0, zone: zone.clone() });
            let Some(entry) = self.journal.get(number) else { continue };
            if let Err(e) = recorded {
                // After a restart nothing would be known of this attempt, so it must not be sent.
                tracing::warn!("not sent: {e}");
                unsent.push((number, Outcome::Void, false));
                continue;
            }
            parcels.push(Parcel {
                number,
                id: entry.message.id.clone(),
                idempotency_key: entry.message.idempotency_key.clone(),
                body: entry.message.body.clone(),
            });
        }
        self.complete_attempts(now, now, unsent, None);
        if parcels.is_empty() {
            return;
        }
        self.figures.calls += 1;
        let message = parcels.first().filter(|_| parcels.len() == 1).map(|parcel| parcel.number);
        let (number, cancelled, reused) = self.calls.register(now, message, address);
        let call = Call {
            number,
            endpoint,
            address,
            parcels,
            expires: self.clock.instant(expires),
            connect_timeout: Duration::from_micros(self.tuning.settings.connect_timeout.0),
        };
        let (fields, inputs) = (self.tuning.fields, self.inputs.clone());
        tokio::spawn(async move {
            if let Some(connection) = call.run(reused, fields, cancelled, &inputs).await {
                let _ = inputs.send(Input::Idle(address, connection));
            }
        });
    }
}

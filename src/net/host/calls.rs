//! Calls: begun as the module says, and booked as they end.
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

/// A call that is out.
pub struct Out {
    /// When it began.
    pub began: Time,
    /// Its only message, if it has but one.
    message: Option<u32>,
    call_off: oneshot::Sender<()>,
}

/// The calls that are out, and the connections that wait for others.
pub(super) struct Calls {
    pub(super) pool: Pool,
    /// Connections to endpoints that may be open at once.
    pub(super) most_connections: usize,
    pub(super) out: HashMap<u64, Out>,
    next: u64,
    /// Messages that an old process has calls out with.
    pub(super) elsewhere: BTreeSet<u32>,
}

impl Calls {
    /// None out yet; so many connections may be open at once, idle ones no longer than `idle`.
    pub(super) fn new(most_connections: usize, idle: Duration) -> Self {
        let (out, elsewhere) = (HashMap::new(), BTreeSet::new());
        Self { pool: Pool::new(idle), most_connections, out, next: 0, elsewhere }
    }

    /// Books a call: its number, what calls it off, and a connection that was kept for it, with its idle time.
    fn begin(
        &mut self,
        began: Time,
        message: Option<u32>,
        address: SocketAddr,
    ) -> (u64, oneshot::Receiver<()>, Option<(Connection, Duration)>) {
        let number = self.next;
        self.next += 1;
        let (call_off, called_off) = oneshot::channel();
        self.out.insert(number, Out { began, message, call_off });
        let kept = self.pool.take(address);
        self.trim();
        (number, called_off, kept)
    }

    /// Keeps a connection that can carry another call.
    pub(super) fn keep(&mut self, address: SocketAddr, connection: Connection) {
        self.pool.put(address, connection);
        self.trim();
    }

    /// Closes the connection of the call with that message; the call tells how it ended. One that an old process
    /// has out goes on.
    pub(super) fn call_off(&mut self, message: MessageId) {
        let out = self.out.values_mut().find(|out| out.message == Some(message.0));
        if let Some(out) = out {
            let (spent, _) = oneshot::channel();
            let _ = std::mem::replace(&mut out.call_off, spent).send(());
        }
    }

    /// Idle connections give way to calls.
    fn trim(&mut self) {
        self.pool.trim(self.most_connections.saturating_sub(self.out.len() + self.elsewhere.len()));
    }
}

impl Host {
    pub(super) fn called(&mut self, called: Called) {
        let at = self.clock.at(called.at);
        let sent = self.calls.out.remove(&called.number).map_or(at, |out| out.began);
        self.figures.reused += u64::from(called.idle.is_some());
        match called.ends.first() {
            Some((_, Outcome::Reset, _)) => self.calls.pool.learn(called.idle, true),
            Some((_, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::NoRoom, _)) | None => {}
            Some(_) => self.calls.pool.learn(called.idle, false),
        }
        self.told(at, called.endpoint, called.wait, &called.ends);
        self.ended(sent, at, called.ends, called.report);
    }

    /// Takes in a wait that turned no message away.
    pub(super) fn told(
        &mut self,
        at: Time,
        endpoint: EndpointId,
        wait: Option<Span>,
        ends: &[(u32, Outcome, bool)],
    ) {
        let heeded = ends.iter().any(|(_, outcome, _)| matches!(outcome, Outcome::Full(Some(_))));
        if let Some(wait) = wait.filter(|_| !heeded) {
            self.pending.push((at, Event::RetryAfterReported { endpoint, wait }));
        }
    }

    /// Books how the attempts of a call ended.
    pub(super) fn ended(
        &mut self,
        sent: Time,
        at: Time,
        ends: Vec<(u32, Outcome, bool)>,
        report: Option<Report>,
    ) {
        for (number, outcome, last) in ends {
            let attempts = self.journal.get(number).map_or(1, |owed| owed.attempts);
            self.figures.attempt_ended(outcome);
            if last {
                let delivered = outcome == Outcome::Success;
                self.count_end(
                    number,
                    if delivered { telemetry::End::Completed } else { telemetry::End::Failed },
                );
                self.over(number);
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
            self.pending.push((at, event));
        }
    }

    pub(super) fn call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Time) {
        let now = self.now();
        let Some(at) = self.list.get(endpoint) else {
            // The module sends to what it remembers only; if not, its messages must not wait for ever.
            tracing::warn!("not sent: endpoint #{} is not known", endpoint.0);
            let unsent = messages.into_iter().map(|message| (message.0, Outcome::Void, false)).collect();
            return self.ended(now, now, unsent, None);
        };
        let (address, zone) = (at.address, at.zone.clone());
        let mut parcels = Vec::with_capacity(messages.len());
        let mut unsent = Vec::new();
        for MessageId(number) in messages {
            self.figures.attempts += 1;
            if let Some(owed) = self.journal.get(number).filter(|owed| owed.attempts == 0)
                && let Some(taken) = self.held.get(&owed.message.id)
            {
                self.figures.queue.observe(taken.elapsed());
            }
            let begun = self.journal.start_attempt(number, Attempt { at: now.0, zone: zone.clone() });
            let Some(owed) = self.journal.get(number) else { continue };
            if let Err(e) = begun {
                // An attempt that a restart would not know of must not go out.
                tracing::warn!("not sent: {e}");
                unsent.push((number, Outcome::Void, false));
                continue;
            }
            parcels.push(Parcel {
                number,
                id: owed.message.id.clone(),
                idempotency_key: owed.message.idempotency_key.clone(),
                body: owed.message.body.clone(),
            });
        }
        self.ended(now, now, unsent, None);
        if parcels.is_empty() {
            return;
        }
        self.figures.calls += 1;
        let message = parcels.first().filter(|_| parcels.len() == 1).map(|parcel| parcel.number);
        let (number, called_off, kept) = self.calls.begin(now, message, address);
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
            if let Some(connection) = call.run(kept, fields, called_off, &inputs).await {
                let _ = inputs.send(Input::Idle(address, connection));
            }
        });
    }
}

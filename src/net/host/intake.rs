//! Messages: taken on from clients, and brought to their final answer.
use super::{Host, log_failure};
use crate::net::journal::{FinalOutcome, OutstandingMessage, SubmittedMessage};
use crate::net::notices::Notice;
use crate::net::relay::Answer;
use crate::net::telemetry;
use message_sender::profile::look;
use message_sender::{Class, DestinationId, Event, Message, MessageId, OrderKey, Repeat, Span, TenantId};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::time::Instant;

impl Host {
    pub(super) fn hand_in(&mut self, message: SubmittedMessage, deadline: Instant) -> Answer {
        if self.held.contains_key(&message.id) {
            return Answer::TakenOn;
        }
        let class = match self.class(&message.class) {
            Ok(class) => class,
            Err(what) => return self.malformed(what),
        };
        let owed = OutstandingMessage::new(message, self.clock.at(deadline).0, class);
        let mut known = match self.message(0, &owed, class) {
            Ok(known) => known,
            Err(what) => return self.malformed(what),
        };
        let now = self.now();
        if !self.sender.admits(now, self.held.len()) {
            self.figures.refused += 1;
            return Answer::Refused;
        }
        let id = owed.message.id.clone();
        match self.journal.accept(owed) {
            Ok(number) => {
                known.id = MessageId(number);
                self.held.insert(id, Instant::now());
                self.figures.taken += 1;
                self.pending.push((now, Event::Message(known)));
                Answer::TakenOn
            }
            Err(e) => {
                tracing::warn!("refused: {e}");
                self.figures.refused += 1;
                Answer::Refused
            }
        }
    }

    pub(super) fn malformed(&mut self, what: String) -> Answer {
        self.figures.malformed += 1;
        Answer::Malformed(what)
    }

    pub(super) fn class(&self, name: &str) -> Result<Class, String> {
        Ok(self.tuning.settings.classes[look(&self.tuning.names.classes, name, "class")?.0])
    }

    /// A message in the module's terms; the error says what cannot be understood.
    pub(super) fn message(
        &self,
        number: u32,
        owed: &OutstandingMessage,
        class: Class,
    ) -> Result<Message, String> {
        if matches!(class.repeat, Repeat::Keyed { .. }) && owed.message.idempotency_key.is_none() {
            return Err(format!("class {:?} needs an idempotency key", owed.message.class));
        }
        let tenants = &self.tuning.names.tenants;
        let named = owed.message.tenant.as_ref().filter(|_| !tenants.is_empty());
        let tenant = named.map(|name| look(tenants, name, "tenant")).transpose()?;
        Ok(self.in_terms(number, owed, class, tenant))
    }

    /// One that an earlier process took on. It is tried whatever the settings name now: its class is the one of then,
    /// and where not even that is known, what it does is never repeated.
    pub(super) fn taken_on_before(&self, number: u32, owed: &OutstandingMessage) -> Message {
        let class = match owed.class {
            Some(class) => Ok(class),
            // Taken on before journals held the class: as the settings have it now.
            None => self.class(&owed.message.class),
        };
        let message = class.and_then(|class| self.message(number, owed, class));
        message.unwrap_or_else(|what| {
            tracing::info!("resuming {}: {what}: tried all the same", owed.message.id);
            let left = Span(owed.deadline.saturating_sub(self.now().0));
            let (worth, late_worth, repeat) = (1.0, 1.0, Repeat::Unsafe);
            let strict = Class {
                latency_target: left,
                deadline: left,
                value: worth,
                late_value: late_worth,
                repeat,
                ordered: false,
            };
            self.in_terms(number, owed, owed.class.unwrap_or(strict), None)
        })
    }

    fn in_terms(
        &self,
        number: u32,
        owed: &OutstandingMessage,
        class: Class,
        tenant: Option<TenantId>,
    ) -> Message {
        // Two keys of one hash would wait for each other: harmless.
        let key = owed.message.key.as_ref().filter(|_| class.ordered).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            OrderKey(hasher.finish())
        });
        let budget = Span(owed.deadline.saturating_sub(self.now().0));
        let destination = DestinationId(owed.message.destination);
        Message { id: MessageId(number), class, tenant, key, destination, budget }
    }

    /// Counts a final answer, unless that was given before.
    pub(super) fn count_end(&mut self, number: u32, end: telemetry::End) {
        let Some(owed) = self.journal.get(number).filter(|owed| owed.end.is_none()) else { return };
        let after = self.held.get(&owed.message.id).map_or(Duration::ZERO, Instant::elapsed);
        self.figures.ended(&owed.message.class, end, after);
    }

    pub(super) fn end(&mut self, number: u32, end: FinalOutcome) {
        self.count_end(
            number,
            match end {
                FinalOutcome::Failed => telemetry::End::Failed,
                FinalOutcome::Returned(_) => telemetry::End::Rejected,
            },
        );
        let Some(owed) = self.journal.get(number) else { return };
        let id = owed.message.id.clone();
        log_failure(self.journal.end(number, end));
        let _ = self.notices.send(Notice { number, id, end });
    }

    /// Nothing more is owed.
    pub(super) fn over(&mut self, number: u32) {
        let Some(owed) = self.journal.get(number) else { return };
        self.held.remove(&owed.message.id);
        log_failure(self.journal.complete(number));
    }
}

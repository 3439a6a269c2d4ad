//! The life cycle of messages in the host: submission, conversion for the policy, final outcome.
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
    /// Accepts or refuses a submitted message. It is in the journal before it counts as accepted.
    pub(super) fn submit(&mut self, message: SubmittedMessage, deadline: Instant) -> Answer {
        if self.accepted_at.contains_key(&message.id) {
            return Answer::TakenOn;
        }
        let class = match self.find_class(&message.class) {
            Ok(class) => class,
            Err(reason) => return self.reject_malformed(reason),
        };
        let entry = OutstandingMessage::new(message, self.clock.at(deadline).0, class);
        let mut policy_message = match self.validate_message(0, &entry, class) {
            Ok(policy_message) => policy_message,
            Err(reason) => return self.reject_malformed(reason),
        };
        let now = self.now();
        if !self.sender.admits(now, self.accepted_at.len()) {
            self.figures.refused += 1;
            return Answer::Refused;
        }
        let id = entry.message.id.clone();
        match self.journal.accept(entry) {
            Ok(number) => {
                policy_message.id = MessageId(number);
                self.accepted_at.insert(id, Instant::now());
                self.figures.taken += 1;
                self.pending_events.push((now, Event::Message(policy_message)));
                Answer::TakenOn
            }
            Err(e) => {
                tracing::warn!("message refused: {e}");
                self.figures.refused += 1;
                Answer::Refused
            }
        }
    }

    pub(super) fn reject_malformed(&mut self, reason: String) -> Answer {
        self.figures.malformed += 1;
        Answer::Malformed(reason)
    }

    pub(super) fn find_class(&self, name: &str) -> Result<Class, String> {
        Ok(self.tuning.settings.classes[look(&self.tuning.names.classes, name, "class")?.0])
    }

    /// Validates a message and converts it for the policy. The error is the reason for which it is malformed.
    pub(super) fn validate_message(
        &self,
        number: u32,
        entry: &OutstandingMessage,
        class: Class,
    ) -> Result<Message, String> {
        if matches!(class.repeat, Repeat::Keyed { .. }) && entry.message.idempotency_key.is_none() {
            return Err(format!("class {:?} needs an idempotency key", entry.message.class));
        }
        let tenants = &self.tuning.names.tenants;
        let tenant_name = entry.message.tenant.as_ref().filter(|_| !tenants.is_empty());
        let tenant = tenant_name.map(|name| look(tenants, name, "tenant")).transpose()?;
        Ok(self.policy_message(number, entry, class, tenant))
    }

    /// Converts a message that an earlier process accepted. It is sent even if the current settings would reject it:
    /// its class is the one recorded at acceptance, and if there is none either, a class that never retries it once it
    /// may have executed.
    pub(super) fn recovered_message(&self, number: u32, entry: &OutstandingMessage) -> Message {
        let class = match entry.class {
            Some(class) => Ok(class),
            // The journal was written by a version that did not record classes: use the current settings.
            None => self.find_class(&entry.message.class),
        };
        let message = class.and_then(|class| self.validate_message(number, entry, class));
        message.unwrap_or_else(|reason| {
            tracing::info!(
                "resuming message {} although the current settings reject it: {reason}",
                entry.message.id
            );
            let left = Span(entry.deadline.saturating_sub(self.now().0));
            let (value, late_value, repeat) = (1.0, 1.0, Repeat::Unsafe);
            let strictest =
                Class { latency_target: left, deadline: left, value, late_value, repeat, ordered: false };
            self.policy_message(number, entry, entry.class.unwrap_or(strictest), None)
        })
    }

    fn policy_message(
        &self,
        number: u32,
        entry: &OutstandingMessage,
        class: Class,
        tenant: Option<TenantId>,
    ) -> Message {
        // Two keys with the same hash only wait for each other, which is harmless.
        let key = entry.message.key.as_ref().filter(|_| class.ordered).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            OrderKey(hasher.finish())
        });
        let budget = Span(entry.deadline.saturating_sub(self.now().0));
        let destination = DestinationId(entry.message.destination);
        Message { id: MessageId(number), class, tenant, key, destination, budget }
    }

    /// Counts the final outcome of a message, unless one was already recorded.
    pub(super) fn count_final_outcome(&mut self, number: u32, end: telemetry::End) {
        let Some(entry) = self.journal.get(number).filter(|entry| entry.end.is_none()) else { return };
        let elapsed = self.accepted_at.get(&entry.message.id).map_or(Duration::ZERO, Instant::elapsed);
        self.figures.ended(&entry.message.class, end, elapsed);
    }

    /// Records that a message will not be delivered, and queues the notice to the platform.
    pub(super) fn finish_undelivered(&mut self, number: u32, outcome: FinalOutcome) {
        self.count_final_outcome(
            number,
            match outcome {
                FinalOutcome::Failed => telemetry::End::Failed,
                FinalOutcome::Returned(_) => telemetry::End::Rejected,
            },
        );
        let Some(entry) = self.journal.get(number) else { return };
        let id = entry.message.id.clone();
        log_failure(self.journal.end(number, outcome));
        let _ = self.notices.send(Notice { number, id, end: outcome });
    }

    /// Removes a message that was delivered, or whose notice the platform acknowledged.
    pub(super) fn remove_message(&mut self, number: u32) {
        let Some(entry) = self.journal.get(number) else { return };
        self.accepted_at.remove(&entry.message.id);
        log_failure(self.journal.complete(number));
    }
}

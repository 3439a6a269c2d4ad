//! One step of the policy: passes it the pending events and executes the actions that it returns.
use super::Host;
use crate::net::journal::FinalOutcome;
use message_sender::{Action, EndpointId, Event, MessageId, Outcome, Time};
use std::time::Duration;
use tokio::time::Instant;

impl Host {
    /// Makes a step now.
    pub(super) fn step(&mut self) {
        let step_at = Instant::now();
        let now = self.clock.at(step_at);
        self.last_step = step_at;
        self.figures.steps += 1;
        let mut events = Vec::with_capacity(self.pending_events.len() + 1);
        for (time, mut event) in self.pending_events.drain(..) {
            // Budgets and waits count from the time of the event, not from the step that handles it.
            let delay = now.0.saturating_sub(time.0);
            match &mut event {
                Event::Message(message) => message.budget.0 = message.budget.0.saturating_sub(delay),
                Event::AttemptCompleted { outcome: Outcome::Full(Some(wait)), .. }
                | Event::RetryAfterReported { wait, .. } => {
                    wait.0 = wait.0.saturating_sub(delay);
                }
                _ => {}
            }
            events.push(event);
        }
        if self.wake_at.take_if(|wake| *wake <= step_at).is_some() {
            events.push(Event::TimerFired);
        }
        let mut actions = Vec::new();
        self.sender.step(now, &events, &mut actions);
        // Messages that one step sends to one endpoint share a call; the policy gives the messages of a call the same
        // time-out.
        let mut batches: Vec<(EndpointId, Vec<MessageId>, Time)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { message, endpoint, expires } => {
                    let max_batch = self.endpoints.get(endpoint).map_or(1, |known| known.max_batch);
                    let open_batch = batches.iter_mut().find(|(to, messages, until)| {
                        *to == endpoint && *until == expires && messages.len() < max_batch
                    });
                    match open_batch {
                        Some((_, messages, _)) => messages.push(message),
                        None => batches.push((endpoint, vec![message], expires)),
                    }
                }
                Action::Refuse { message, after } => {
                    self.finish_undelivered(
                        message.0,
                        FinalOutcome::Returned(after.map(|span| span.0.div_ceil(1000))),
                    );
                }
                Action::Fail(id) => self.finish_undelivered(id.0, FinalOutcome::Failed),
                Action::WakeIn(span) => {
                    let wake = step_at + Duration::from_micros(span.0);
                    self.wake_at = Some(self.wake_at.map_or(wake, |set| set.min(wake)));
                }
                Action::CloseIdle(endpoint) => {
                    if let Some(known) = self.endpoints.get(endpoint) {
                        self.calls.pool.close(known.address);
                    }
                }
                Action::Forget(endpoint) => self.endpoints.remove(endpoint),
                Action::Log(line) => tracing::info!("{line}"),
                Action::Cancel { message, .. } => self.calls.cancel(message),
                // The watch on discovery is always open, and the host's settings have no probes.
                Action::Subscribe | Action::FetchList | Action::Probe(_) => {}
            }
        }
        for (endpoint, messages, expires) in batches {
            self.start_call(endpoint, messages, expires);
        }
    }
}

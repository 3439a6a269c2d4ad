//! Recovery of an earlier process's messages from the journal, and the handover from one running process to another.
use super::endpoints::EndpointList;
use super::forwarding::Forwarder;
use super::{Host, log_failure};
use crate::net::admin_endpoint::ServiceState;
use crate::net::handover::{self, Given};
use crate::net::journal::OutstandingMessage;
use crate::net::notices::Notice;
use crate::net::relay::{ToNew, ToOld};
use crate::net::server::Doors;
use message_sender::{Event, Outcome, Resumed, Time, ZoneId};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, timeout};

/// Limit for the whole handover, as the event loop makes no decisions meanwhile; after it this process continues.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

impl Host {
    /// Recovers the outstanding messages of an earlier process from the journal.
    pub(super) fn recover(&mut self) {
        let outstanding: Vec<(u32, OutstandingMessage)> =
            self.journal.outstanding().map(|(number, entry)| (number, entry.clone())).collect();
        for (number, entry) in outstanding {
            self.accepted_at.insert(entry.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(entry.end.is_none());
            let message = self.recovered_message(number, &entry);
            if entry.out.is_some() {
                // The process ended during the attempt, which may have executed.
                log_failure(self.journal.complete_attempt(number, true));
            }
            let ran = entry.first_execution.as_ref().or(entry.out.as_ref()).map(|first| {
                let zone = self.tuning.names.zones.get(&first.zone).copied();
                (Time(first.at), zone.unwrap_or(ZoneId(usize::MAX)))
            });
            let ended = entry.end.is_some();
            let resumed = Resumed { message, attempts: entry.attempts, ran, ended };
            self.pending_events.push((self.now(), Event::Resumed(resumed)));
            if let Some(end) = entry.end {
                let _ = self.notices.send(Notice { number, id: entry.message.id, end });
            }
        }
    }

    /// Continues from the state that an old process handed over. The policy's state contains the messages; the journal
    /// shows which of them are in flight in calls of the old process.
    pub(super) fn inherit(&mut self, state: handover::Rest, old_process: UnboundedSender<ToOld>) {
        self.pending_events = state.pending;
        self.withheld_permits = state.clients;
        self.endpoints = EndpointList::inherited(state.revision, state.next_endpoint, state.endpoints);
        for (number, entry) in self.journal.outstanding() {
            self.accepted_at.insert(entry.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(entry.end.is_none());
            if entry.out.is_some() {
                self.calls.in_flight_elsewhere.insert(number);
            }
            if let Some(end) = entry.end {
                let _ = self.notices.send(Notice { number, id: entry.message.id.clone(), end });
            }
        }
        self.doors.send_replace(if state.draining { Doors::Draining } else { Doors::Open });
        self.old_process = Some(old_process);
    }

    /// Handles what the old process forwards; none means that it has ended.
    pub(super) fn handle_forwarded(&mut self, forwarded: Option<ToNew>) {
        match forwarded {
            Some(ToNew::Called { sent, at, endpoint, mut ends, wait, report }) => {
                ends.retain(|(number, ..)| self.calls.in_flight_elsewhere.remove(number));
                self.report_retry_after(at, endpoint, wait, &ends);
                self.complete_attempts(sent, at, ends, report);
            }
            Some(ToNew::HandIn { id, message, deadline }) => {
                let answer = self.submit(message, self.clock.instant(deadline));
                self.send_to_old(ToOld::Answer { id, answer });
            }
            Some(ToNew::Order { id, order }) => {
                let done = self.run_command(&order);
                self.send_to_old(ToOld::Ordered { id, done });
            }
            Some(ToNew::Yours) => {}
            None => {
                tracing::info!(
                    "the old process has ended with {} messages in flight",
                    self.calls.in_flight_elsewhere.len()
                );
                self.old_process = None;
                self.client_permits.add_permits(std::mem::take(&mut self.withheld_permits));
                let now = self.now();
                let interrupted = std::mem::take(&mut self.calls.in_flight_elsewhere);
                let ends = interrupted.into_iter().map(|number| (number, Outcome::Reset, false)).collect();
                self.complete_attempts(now, now, ends, None);
            }
        }
    }

    pub(super) fn send_to_old(&self, frame: ToOld) {
        if let Some(old_process) = &self.old_process {
            let _ = old_process.send(frame);
        }
    }

    /// Hands the state over to a new process. After an error this process still owns everything.
    pub(super) async fn hand_over(
        &mut self,
        mut stream: UnixStream,
    ) -> Result<UnixStream, handover::HandoverError> {
        let Some(listener) = &self.listener else { return Err(handover::HandoverError::Ending) };
        let (next_endpoint, endpoints) = self.endpoints.handover_entries();
        let state = Given {
            sender: &self.sender,
            pending: &self.pending_events,
            endpoints,
            next_endpoint,
            numbering: self.tuning.numbering(),
            revision: self.endpoints.revision,
            draining: *self.doors.borrow() == Doors::Draining,
            clients: self
                .max_clients
                .saturating_sub(self.client_permits.available_permits() + self.withheld_permits),
        };
        timeout(HANDOVER_TIMEOUT, handover::offer(&mut stream, listener, &state)).await??;
        Ok(stream)
    }

    /// Completes the handover: releases the lock on the journal before it tells the new process to begin.
    pub(super) async fn into_forwarder(self, mut stream: UnixStream) -> Forwarder {
        let draining = *self.doors.borrow() == Doors::Draining;
        self.service_state.send_replace(ServiceState::Stopping);
        self.doors.send_replace(Doors::Leaving { ready: !draining });
        let (clock, doors) = (self.clock, self.doors);
        // With their cancellation channels: a call must not end because its channel is dropped.
        let calls = self.calls.in_flight;
        drop((self.journal, self.lock));
        // On an error the new process has ended, which the forwarder notices.
        let _ = handover::write(&mut stream, &ToNew::Yours).await;
        tracing::info!("handed over to another process with {} calls in flight", calls.len());
        Forwarder { stream, calls, time_of: Box::new(move |instant| clock.at(instant)), doors }
    }
}

//! What another process of this sender left: by its journal, or in person.
use super::list::List;
use super::remains::Remains;
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

/// A new process takes over within this, or it does not: meanwhile nothing is decided.
const HAND_OVER_PATIENCE: Duration = Duration::from_secs(1);

impl Host {
    /// Takes up what an earlier process left.
    pub(super) fn resume(&mut self) {
        let owed: Vec<(u32, OutstandingMessage)> =
            self.journal.outstanding().map(|(number, owed)| (number, owed.clone())).collect();
        for (number, owed) in owed {
            self.held.insert(owed.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(owed.end.is_none());
            let message = self.taken_on_before(number, &owed);
            if owed.out.is_some() {
                // The process ended during the call: nobody knows how far that had come.
                log_failure(self.journal.complete_attempt(number, true));
            }
            let ran = owed.first_execution.as_ref().or(owed.out.as_ref()).map(|first| {
                let zone = self.tuning.names.zones.get(&first.zone).copied();
                (Time(first.at), zone.unwrap_or(ZoneId(usize::MAX)))
            });
            let ended = owed.end.is_some();
            let resumed = Resumed { message, attempts: owed.attempts, ran, ended };
            self.pending.push((self.now(), Event::Resumed(resumed)));
            if let Some(end) = owed.end {
                let _ = self.notices.send(Notice { number, id: owed.message.id, end });
            }
        }
    }

    /// Goes on where another process left off. The module knows its messages; the journal tells which of them
    /// that process has calls out with.
    pub(super) fn inherit(&mut self, state: handover::Rest, old: UnboundedSender<ToOld>) {
        self.pending = state.pending;
        self.withheld = state.clients;
        self.list = List::inherited(state.revision, state.next_endpoint, state.endpoints);
        for (number, owed) in self.journal.outstanding() {
            self.held.insert(owed.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(owed.end.is_none());
            if owed.out.is_some() {
                self.calls.elsewhere.insert(number);
            }
            if let Some(end) = owed.end {
                let _ = self.notices.send(Notice { number, id: owed.message.id.clone(), end });
            }
        }
        self.doors.send_replace(if state.draining { Doors::Draining } else { Doors::Open });
        self.old = Some(old);
    }

    pub(super) fn passed_on(&mut self, passed: Option<ToNew>) {
        match passed {
            Some(ToNew::Called { sent, at, endpoint, mut ends, wait, report }) => {
                ends.retain(|(number, ..)| self.calls.elsewhere.remove(number));
                self.told(at, endpoint, wait, &ends);
                self.ended(sent, at, ends, report);
            }
            Some(ToNew::HandIn { id, message, deadline }) => {
                let answer = self.hand_in(message, self.clock.instant(deadline));
                self.to_old(ToOld::Answer { id, answer });
            }
            Some(ToNew::Order { id, order }) => {
                let done = self.carry_out(&order);
                self.to_old(ToOld::Ordered { id, done });
            }
            Some(ToNew::Yours) => {}
            None => {
                tracing::info!(
                    "the old process has ended, {} of its calls were out",
                    self.calls.elsewhere.len()
                );
                self.old = None;
                self.room.add_permits(std::mem::take(&mut self.withheld));
                let now = self.now();
                let cut = std::mem::take(&mut self.calls.elsewhere);
                let ends = cut.into_iter().map(|number| (number, Outcome::Reset, false)).collect();
                self.ended(now, now, ends, None);
            }
        }
    }

    pub(super) fn to_old(&self, what: ToOld) {
        if let Some(old) = &self.old {
            let _ = old.send(what);
        }
    }

    /// Gives all to a process that asks; on an error nothing was given.
    pub(super) async fn hand_over(
        &mut self,
        mut stream: UnixStream,
    ) -> Result<UnixStream, handover::HandoverError> {
        let Some(listener) = &self.listener else { return Err(handover::HandoverError::Ending) };
        let (next_endpoint, endpoints) = self.list.rows();
        let state = Given {
            sender: &self.sender,
            pending: &self.pending,
            endpoints,
            next_endpoint,
            numbering: self.tuning.numbering(),
            revision: self.list.revision,
            draining: *self.doors.borrow() == Doors::Draining,
            clients: self.most_clients.saturating_sub(self.room.available_permits() + self.withheld),
        };
        timeout(HAND_OVER_PATIENCE, handover::offer(&mut stream, listener, &state)).await??;
        Ok(stream)
    }

    /// What is left once the other process has it all: the journal's lock goes, then the other one is told.
    pub(super) async fn remains(self, mut stream: UnixStream) -> Remains {
        let draining = *self.doors.borrow() == Doors::Draining;
        self.standing.send_replace(ServiceState::Stopping);
        self.doors.send_replace(Doors::Leaving { ready: !draining });
        let (clock, doors) = (self.clock, self.doors);
        // Kept whole: a call ends with what may call it off.
        let calls = self.calls.out;
        drop((self.journal, self.lock));
        // One that cannot be told any more has ended, which shows soon.
        let _ = handover::write(&mut stream, &ToNew::Yours).await;
        tracing::info!("handed over to another process, {} calls are out", calls.len());
        Remains { stream, calls, time_of: Box::new(move |instant| clock.at(instant)), doors }
    }
}

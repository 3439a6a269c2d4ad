//! Operators' requests: metrics, exclusions, draining, new settings, shutdown.
use super::Host;
use crate::net::admin_endpoint::{AdminRequest, Command, ServiceState};
use crate::net::server::Doors;
use crate::net::telemetry::{Present, Snapshot};
use crate::net::tuning::Tuning;
use message_sender::Event;
use std::time::Duration;
use tokio::time::Instant;

/// From SIGTERM to the end of the event loop: the platform kills the process 3.7 s after SIGTERM at the earliest.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);
/// For how long connections are still accepted after SIGTERM: clients open new ones for up to 0.4 s.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(600);

/// The deadlines of a shutdown in progress.
#[derive(Clone, Copy)]
pub(super) struct ShutdownSchedule {
    /// When the process stops accepting connections.
    pub(super) stop_accepting: Instant,
    /// When the event loop ends, whatever is outstanding.
    pub(super) end: Instant,
}

impl Host {
    /// Handles a request of the admin endpoint. It is answered once the command is in force, and recorded in the
    /// journal if its effect outlasts the process.
    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) {
        match request {
            // The caller got an error already, which says that nothing changed.
            AdminRequest::Command { answer, .. } if answer.is_closed() => {}
            AdminRequest::Command { command, answer } => drop(answer.send(self.run_command(&command))),
            AdminRequest::Figures(answer) => drop(answer.send(Ok(Box::new(self.snapshot())))),
        }
    }

    /// All metrics as of now. Gauges of pending messages are counted from the journal, not derived from counters.
    pub(super) fn snapshot(&self) -> Snapshot {
        let pending = || self.journal.outstanding().filter(|(_, entry)| entry.end.is_none());
        let (members, unavailable) = self.sender.members();
        let present = Present {
            pending: pending().count(),
            pending_bytes: pending().map(|(_, entry)| entry.message.body.len()).sum(),
            notices: self.journal.outstanding().filter(|(_, entry)| entry.end.is_some()).count(),
            members,
            unavailable,
            remembered: self.endpoints.len(),
            journal_bytes: self.journal.length(),
            endpoints_idle: self.calls.pool.idle(),
            endpoints_busy: self.calls.in_flight.len(),
        };
        Snapshot { figures: self.figures.clone(), present, beside: self.shared.read() }
    }

    pub(super) fn run_command(&mut self, command: &Command) -> Result<(), String> {
        let result = match command {
            Command::Exclude(id) => self.set_excluded(id, true),
            Command::Include(id) => self.set_excluded(id, false),
            Command::Evacuate => self.set_draining(true),
            Command::Activate => self.set_draining(false),
        };
        match &result {
            Ok(()) => tracing::info!("staff: {command:?}"),
            Err(reason) => tracing::warn!("staff: {command:?}: {reason}"),
        }
        result
    }

    pub(super) fn set_excluded(&mut self, id: &str, excluded: bool) -> Result<(), String> {
        let endpoint = self.endpoints.number(id);
        if endpoint.is_none() && !self.journal.is_excluded(id) {
            return Err(format!("unknown endpoint {id:?}"));
        }
        let journaled = if excluded { self.journal.exclude(id) } else { self.journal.include(id) };
        journaled.map_err(|e| e.to_string())?;
        if let Some(endpoint) = endpoint {
            let event = if excluded { Event::Excluded(endpoint) } else { Event::Included(endpoint) };
            self.pending_events.push((self.now(), event));
            self.step();
        }
        Ok(())
    }

    /// Starts or ends draining of client connections. Pending and new messages are delivered in both states.
    pub(super) fn set_draining(&mut self, draining: bool) -> Result<(), String> {
        if self.shutdown.is_some() {
            return Err("this process is shutting down".to_owned());
        }
        self.doors.send_replace(if draining { Doors::Draining } else { Doors::Open });
        Ok(())
    }

    /// Replaces the settings, all of them or none.
    pub(super) fn reload(&mut self, tuning: Tuning) -> Result<(), String> {
        if self.tuning.numbering() != tuning.numbering() {
            return Err("zones, kinds and tenants differ; they can only change with a restart".to_owned());
        }
        let settings = tuning.settings_for(self.calls.max_connections);
        self.calls.pool.keep_for(tuning.idle());
        self.figures.name(tuning.classes());
        self.tuning = tuning;
        self.pending_events.push((self.now(), Event::SettingsChanged(Box::new(settings))));
        Ok(())
    }

    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_none() {
            self.service_state.send_replace(ServiceState::Stopping);
            let now = Instant::now();
            let schedule =
                ShutdownSchedule { stop_accepting: now + ACCEPT_TIMEOUT, end: now + SHUTDOWN_TIMEOUT };
            self.shutdown = Some(schedule);
            self.doors.send_replace(Doors::Closing);
            self.pending_events.push((self.now(), Event::ShutdownScheduled(self.clock.at(schedule.end))));
        }
    }
}

//! What staff ask for: figures, bans, drains, new settings, the end.
use super::Host;
use crate::net::admin_endpoint::{AdminRequest, Command, ServiceState};
use crate::net::server::Doors;
use crate::net::telemetry::{Present, Snapshot};
use crate::net::tuning::Tuning;
use message_sender::Event;
use std::time::Duration;
use tokio::time::Instant;

/// From SIGTERM to the end of the process: the platform kills no sooner than 3.7 s after it.
const WIND_DOWN: Duration = Duration::from_millis(3400);
/// From SIGTERM on, clients still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(600);

/// When the process winds down.
#[derive(Clone, Copy)]
pub(super) struct WindDown {
    pub(super) shut: Instant,
    pub(super) end: Instant,
}

impl Host {
    /// Carries out what staff ask for. The answer goes out once it is in force, and journaled where it lasts.
    pub(super) fn asked(&mut self, asked: AdminRequest) {
        match asked {
            // A caller that was told that nothing changed must be right.
            AdminRequest::Command { answer, .. } if answer.is_closed() => {}
            AdminRequest::Command { command, answer } => drop(answer.send(self.carry_out(&command))),
            AdminRequest::Figures(answer) => drop(answer.send(Ok(Box::new(self.snapshot())))),
        }
    }

    /// All figures, as they are now. What is held is counted, not reckoned from what came and went.
    pub(super) fn snapshot(&self) -> Snapshot {
        let held = || self.journal.outstanding().filter(|(_, owed)| owed.end.is_none());
        let (members, unavailable) = self.sender.members();
        let present = Present {
            pending: held().count(),
            pending_bytes: held().map(|(_, owed)| owed.message.body.len()).sum(),
            notices: self.journal.outstanding().filter(|(_, owed)| owed.end.is_some()).count(),
            members,
            unavailable,
            remembered: self.list.len(),
            journal_bytes: self.journal.length(),
            endpoints_idle: self.calls.pool.idle(),
            endpoints_busy: self.calls.out.len(),
        };
        Snapshot { figures: self.figures.clone(), present, beside: self.shared.read() }
    }

    pub(super) fn carry_out(&mut self, command: &Command) -> Result<(), String> {
        let done = match command {
            Command::Exclude(id) => self.ban(id, true),
            Command::Include(id) => self.ban(id, false),
            Command::Evacuate => self.drain(true),
            Command::Activate => self.drain(false),
        };
        match &done {
            Ok(()) => tracing::info!("staff: {command:?}"),
            Err(why) => tracing::warn!("staff: {command:?}: {why}"),
        }
        done
    }

    pub(super) fn ban(&mut self, id: &str, excluded: bool) -> Result<(), String> {
        let endpoint = self.list.number(id);
        if endpoint.is_none() && !self.journal.is_excluded(id) {
            return Err(format!("no endpoint {id:?} is known"));
        }
        let journaled = if excluded { self.journal.exclude(id) } else { self.journal.include(id) };
        journaled.map_err(|e| e.to_string())?;
        if let Some(endpoint) = endpoint {
            let event = if excluded { Event::Excluded(endpoint) } else { Event::Included(endpoint) };
            self.pending.push((self.now(), event));
            self.step();
        }
        Ok(())
    }

    /// Sends the clients away, or has them back. What is held, and what still comes, is delivered either way.
    pub(super) fn drain(&mut self, away: bool) -> Result<(), String> {
        if self.winding_down.is_some() {
            return Err("this process is ending".to_owned());
        }
        self.doors.send_replace(if away { Doors::Draining } else { Doors::Open });
        Ok(())
    }

    /// Swaps the settings, all of them or none.
    pub(super) fn retune(&mut self, tuning: Tuning) -> Result<(), String> {
        if self.tuning.numbering() != tuning.numbering() {
            return Err("zones, kinds and tenants hold from a start on, and differ".to_owned());
        }
        let settings = tuning.settings_for(self.calls.most_connections);
        self.calls.pool.keep_for(tuning.idle());
        self.figures.name(tuning.classes());
        self.tuning = tuning;
        self.pending.push((self.now(), Event::SettingsChanged(Box::new(settings))));
        Ok(())
    }

    pub(super) fn wind_down(&mut self) {
        if self.winding_down.is_none() {
            self.standing.send_replace(ServiceState::Stopping);
            let now = Instant::now();
            let wind_down = WindDown { shut: now + STILL_COMING, end: now + WIND_DOWN };
            self.winding_down = Some(wind_down);
            self.doors.send_replace(Doors::Closing);
            self.pending.push((self.now(), Event::ShutdownScheduled(self.clock.at(wind_down.end))));
        }
    }
}

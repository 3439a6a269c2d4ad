//! The event loop around the sending policy: feeds it events, executes its actions, and records accepted messages
//! and attempts in the journal before they take effect. It maps the names of the wire to the policy's numbers.
mod admin_commands;
mod calls;
mod endpoints;
mod forwarding;
mod messages;
mod recovery;
mod step;

use super::admin_endpoint::{AdminRequest, ServiceState};
use super::clock::Clock;
use super::handover::{Known, Lock};
use super::input::Input;
use super::journal::{Journal, JournalError};
use super::notices::Notice;
use super::relay::ToOld;
use super::server::Doors;
use super::telemetry::{self, Figures, Shared};
use super::tuning::Tuning;
use admin_commands::ShutdownSchedule;
use calls::Calls;
use endpoints::EndpointList;
pub use forwarding::Forwarder;
use message_sender::wire::Targets;
use message_sender::{Event, MessageId, Sender, Time};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum number of queued inputs handled in one iteration, so that a flood of them does not delay operators'
/// requests.
const MAX_INPUTS_PER_ITERATION: usize = 256;

/// The event loop's state: the policy, and all that its actions use.
pub struct Host {
    sender: Sender,
    tuning: Tuning,
    journal: Journal,
    calls: Calls,
    endpoints: EndpointList,
    clock: Clock,
    /// When this process accepted, recovered or inherited each outstanding message, by message id.
    accepted_at: HashMap<String, Instant>,
    figures: Figures,
    shared: Arc<Shared>,
    /// Channel to the old process, until that has ended.
    old_process: Option<UnboundedSender<ToOld>>,
    /// The connection of a new process that requests a handover.
    new_process: Option<UnixStream>,
    lock: Lock,
    /// None once the process accepts no more connections: the kernel then refuses new ones at once, instead of
    /// queueing them until they time out.
    listener: Option<TcpListener>,
    client_permits: Arc<Semaphore>,
    max_clients: usize,
    /// Permits withheld for the client connections that the old process still serves.
    withheld_permits: usize,
    /// Events for the next step, each with its time.
    pending_events: Vec<(Time, Event)>,
    last_step: Instant,
    wake_at: Option<Instant>,
    shutdown: Option<ShutdownSchedule>,
    doors: watch::Sender<Doors>,
    service_state: watch::Sender<ServiceState>,
    inputs: UnboundedSender<Input>,
    notices: UnboundedSender<Notice>,
}

/// Channels and shared state that connect the host with the other tasks of the process.
pub struct Links {
    /// For results of the calls that the host starts: it is the sending end of the inputs that [`Host::run`] reads.
    pub inputs: UnboundedSender<Input>,
    /// Final outcomes of undelivered messages, to be reported to the platform.
    pub notices: UnboundedSender<Notice>,
    /// Tells the server which connections to accept and keep.
    pub doors: watch::Sender<Doors>,
    /// What the admin endpoint reports as the state of the process.
    pub standing: watch::Sender<ServiceState>,
    /// A permit for each client connection that may still be opened.
    pub room: Arc<Semaphore>,
    /// Maximum number of client connections, including those that an old process still serves.
    pub most_clients: usize,
    /// Counters that other tasks increment.
    pub shared: Arc<Shared>,
}

/// The resources that only one process of a sender has at a time.
pub struct Estate {
    /// The right to write the journal.
    pub lock: Lock,
    /// The journal that the lock protects.
    pub journal: Journal,
    /// The listening socket for clients: held to pass it on at a handover, and closed at shutdown.
    pub listener: TcpListener,
}

/// How the event loop ended.
pub enum Ended {
    /// After an orderly shutdown; the last answers to clients may be sent until this time.
    WoundDown(Instant),
    /// A new process took over; this one forwards what still reaches it.
    HandedOver(Box<Forwarder>),
}

/// The state that a host starts from.
pub enum Origin {
    /// An initial endpoint list; outstanding messages are recovered from the journal.
    Listed(Targets),
    /// The state that an old process handed over, and a channel to it.
    Inherited(Box<Known>, UnboundedSender<ToOld>),
}

impl Host {
    /// Creates a host, recovers or inherits the outstanding messages, and makes the first step.
    ///
    /// # Errors
    /// The policy does not accept the settings.
    pub fn new(
        tuning: Tuning,
        seed: u64,
        origin: Origin,
        estate: Estate,
        max_connections: usize,
        links: Links,
    ) -> Result<Self, String> {
        let settings = tuning.settings_for(max_connections);
        let (sender, targets, inherited) = match origin {
            Origin::Listed(targets) => (Sender::new(settings, seed), Some(targets), None),
            Origin::Inherited(state, old_process) => {
                let (sender, rest) = state.split();
                (sender.taken_over(settings, seed), None, Some((rest, old_process)))
            }
        };
        let mut host = Self {
            sender: sender.map_err(|e| e.to_string())?,
            journal: estate.journal,
            calls: Calls::new(max_connections, tuning.idle()),
            endpoints: EndpointList::default(),
            tuning,
            clock: Clock::start(),
            accepted_at: HashMap::new(),
            figures: Figures::default(),
            shared: links.shared,
            old_process: None,
            new_process: None,
            lock: estate.lock,
            listener: Some(estate.listener),
            client_permits: links.room,
            max_clients: links.most_clients,
            withheld_permits: 0,
            pending_events: Vec::new(),
            last_step: Instant::now(),
            wake_at: None,
            shutdown: None,
            doors: links.doors,
            service_state: links.standing,
            inputs: links.inputs,
            notices: links.notices,
        };
        host.figures.name(host.tuning.classes());
        if let Some(targets) = targets {
            host.update_endpoints(targets);
            host.recover();
        }
        if let Some((state, old_process)) = inherited {
            host.inherit(state, old_process);
        }
        host.step();
        Ok(host)
    }

    /// Runs the event loop until the shutdown is complete or a new process has taken over.
    pub async fn run(
        mut self,
        inputs: &mut UnboundedReceiver<Input>,
        admin_requests: &mut Receiver<AdminRequest>,
    ) -> Ended {
        self.service_state.send_replace(ServiceState::Serving);
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                Some(request) = admin_requests.recv() => self.handle_admin_request(request),
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return Ended::WoundDown(Instant::now()),
                },
                () = sleep_until(wakeup.unwrap_or_else(Instant::now)), if wakeup.is_some() => {}
            }
            self.figures.wakeups += 1;
            for _ in 0..MAX_INPUTS_PER_ITERATION {
                let Ok(input) = inputs.try_recv() else { break };
                self.handle_input(input);
            }
            if let Some(stream) = self.new_process.take() {
                match self.hand_over(stream).await {
                    Ok(stream) => {
                        return Ended::HandedOver(Box::new(self.into_forwarder(stream).await));
                    }
                    Err(e) => tracing::error!("handover failed, this process continues: {e}"),
                }
            }
            let now = Instant::now();
            if self.next_step().is_some_and(|at| at <= now) {
                self.step();
            }
            if let Some(shutdown) = self.shutdown
                && now >= shutdown.stop_accepting
            {
                self.doors.send_replace(Doors::Shut);
                self.listener = None;
                if now >= shutdown.end
                    || (self.calls.in_flight.is_empty() && self.journal.outstanding().next().is_none())
                {
                    tracing::info!("{}", telemetry::summary(&self.snapshot()));
                    return Ended::WoundDown(shutdown.end);
                }
            }
        }
    }

    /// Applies an endpoint list, or changes to it, from discovery.
    fn update_endpoints(&mut self, targets: Targets) {
        let now = self.now();
        let events = self.endpoints.update(targets, &self.tuning, |id| self.journal.is_excluded(id));
        self.pending_events.extend(events.into_iter().map(|event| (now, event)));
    }

    fn now(&self) -> Time {
        self.clock.at(Instant::now())
    }

    /// The time of the next step: at least one period after the last one.
    fn next_step(&self) -> Option<Instant> {
        let earliest = self.last_step + Duration::from_micros(self.tuning.settings.period.0);
        if self.pending_events.is_empty() { self.wake_at.map(|at| at.max(earliest)) } else { Some(earliest) }
    }

    fn next_wakeup(&self) -> Option<Instant> {
        let shutdown = self.shutdown.map(|schedule| match *self.doors.borrow() {
            Doors::Shut => schedule.end,
            _ => schedule.stop_accepting,
        });
        self.next_step().into_iter().chain(shutdown).min()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::HandIn { message, deadline, answer } => {
                // A client that disconnected resubmits under a new id; this message is delivered nevertheless.
                let _ = answer.send(self.submit(message, deadline));
            }
            Input::Called(called) => self.complete_call(called),
            Input::Connected { endpoint, messages, may_begin } => {
                self.figures.opened += 1;
                let now = self.now();
                let permitted =
                    messages.iter().all(|number| self.sender.may_begin(now, MessageId(*number), endpoint));
                let _ = may_begin.send(permitted);
            }
            Input::Idle(address, connection) => {
                self.calls.return_connection(address, connection);
            }
            Input::Targets(targets) => self.update_endpoints(targets),
            Input::Noticed(numbers) => {
                for number in numbers {
                    self.remove_message(number);
                    self.pending_events.push((self.now(), Event::OutcomeAcknowledged(MessageId(number))));
                }
            }
            Input::Retune(tuning, done) => drop(done.send(self.reload(*tuning))),
            Input::WindDown => self.begin_shutdown(),
            // Refused during a shutdown: the next process recovers from the journal. Refused also while an old process
            // has calls in flight, as their results reach only this process. The new process retries.
            Input::TakeOver(stream) => {
                self.new_process =
                    Some(stream).filter(|_| self.shutdown.is_none() && self.old_process.is_none());
            }
            Input::Old(forwarded) => self.handle_forwarded(forwarded),
        }
    }
}

/// Logs a failed write to the journal. The sender continues: the next compaction writes the current state.
fn log_failure(written: Result<(), JournalError>) {
    if let Err(e) = written {
        tracing::warn!("{e}");
    }
}

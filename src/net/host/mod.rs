//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
mod calls;
mod intake;
mod list;
mod recovery;
mod remains;
mod round;
mod staff;

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
use calls::Calls;
use list::List;
use message_sender::wire::Targets;
use message_sender::{Event, MessageId, Sender, Time};
pub use remains::Remains;
use staff::WindDown;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep_until};

/// Inputs taken in before staff's orders are looked at again.
const MOST_INPUTS: usize = 256;

/// A sender at work.
pub struct Host {
    sender: Sender,
    tuning: Tuning,
    journal: Journal,
    calls: Calls,
    list: List,
    clock: Clock,
    /// When each message held was taken on, or taken up, by its id.
    held: HashMap<String, Instant>,
    figures: Figures,
    shared: Arc<Shared>,
    /// To an old process that hands over.
    old: Option<UnboundedSender<ToOld>>,
    /// A process that asks to take over.
    new: Option<UnixStream>,
    lock: Lock,
    /// None once the doors are shut: who connects then is turned away by the system, and does not wait in vain.
    listener: Option<TcpListener>,
    room: Arc<Semaphore>,
    most_clients: usize,
    /// The part of that room which an old process still fills.
    withheld: usize,
    /// Events for the next step, with when they happened.
    pending: Vec<(Time, Event)>,
    last_step: Instant,
    wake_at: Option<Instant>,
    winding_down: Option<WindDown>,
    doors: watch::Sender<Doors>,
    standing: watch::Sender<ServiceState>,
    inputs: UnboundedSender<Input>,
    notices: UnboundedSender<Notice>,
}

/// The ends of the channels that a host works with.
pub struct Links {
    pub inputs: UnboundedSender<Input>,
    pub notices: UnboundedSender<Notice>,
    pub doors: watch::Sender<Doors>,
    pub standing: watch::Sender<ServiceState>,
    /// Room for connections from clients, and how much that is in all.
    pub room: Arc<Semaphore>,
    pub most_clients: usize,
    pub shared: Arc<Shared>,
}

/// The folder that lasts, and the socket that clients come to: what one process at a time has.
pub struct Estate {
    pub lock: Lock,
    pub journal: Journal,
    pub listener: TcpListener,
}

/// How a host ended.
pub enum Ended {
    /// In order; what clients still have to hear goes out until then.
    WoundDown(Instant),
    /// Another process has it all.
    HandedOver(Box<Remains>),
}

/// Where a host begins.
pub enum Origin {
    /// With a list of endpoints, and what the journal holds.
    Listed(Targets),
    /// Where another process left off.
    Inherited(Box<Known>, UnboundedSender<ToOld>),
}

impl Host {
    /// A host that takes up what the journal still owes.
    pub fn new(
        tuning: Tuning,
        seed: u64,
        origin: Origin,
        estate: Estate,
        most_connections: usize,
        links: Links,
    ) -> Result<Self, String> {
        let settings = tuning.settings_for(most_connections);
        let (sender, known, inherited) = match origin {
            Origin::Listed(known) => (Sender::new(settings, seed), Some(known), None),
            Origin::Inherited(state, old) => {
                let (sender, rest) = state.split();
                (sender.taken_over(settings, seed), None, Some((rest, old)))
            }
        };
        let mut host = Self {
            sender: sender.map_err(|e| e.to_string())?,
            journal: estate.journal,
            calls: Calls::new(most_connections, tuning.idle()),
            list: List::default(),
            tuning,
            clock: Clock::start(),
            held: HashMap::new(),
            figures: Figures::default(),
            shared: links.shared,
            old: None,
            new: None,
            lock: estate.lock,
            listener: Some(estate.listener),
            room: links.room,
            most_clients: links.most_clients,
            withheld: 0,
            pending: Vec::new(),
            last_step: Instant::now(),
            wake_at: None,
            winding_down: None,
            doors: links.doors,
            standing: links.standing,
            inputs: links.inputs,
            notices: links.notices,
        };
        host.figures.name(host.tuning.classes());
        if let Some(known) = known {
            host.targets(known);
            host.resume();
        }
        if let Some((state, old)) = inherited {
            host.inherit(state, old);
        }
        host.step();
        Ok(host)
    }

    /// Works until it has wound down, or another process has taken over.
    pub async fn run(
        mut self,
        inputs: &mut UnboundedReceiver<Input>,
        orders: &mut Receiver<AdminRequest>,
    ) -> Ended {
        self.standing.send_replace(ServiceState::Serving);
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                Some(asked) = orders.recv() => self.asked(asked),
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return Ended::WoundDown(Instant::now()),
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            }
            self.figures.wakeups += 1;
            for _ in 0..MOST_INPUTS {
                let Ok(input) = inputs.try_recv() else { break };
                self.take_in(input);
            }
            if let Some(stream) = self.new.take() {
                match self.hand_over(stream).await {
                    Ok(stream) => return Ended::HandedOver(Box::new(self.remains(stream).await)),
                    Err(e) => tracing::error!("not handed over, this process goes on: {e}"),
                }
            }
            let now = Instant::now();
            if self.step_at().is_some_and(|at| at <= now) {
                self.step();
            }
            if let Some(wind_down) = self.winding_down
                && now >= wind_down.shut
            {
                self.doors.send_replace(Doors::Shut);
                self.listener = None;
                if now >= wind_down.end
                    || (self.calls.out.is_empty() && self.journal.outstanding().next().is_none())
                {
                    tracing::info!("{}", telemetry::summary(&self.snapshot()));
                    return Ended::WoundDown(wind_down.end);
                }
            }
        }
    }

    /// Takes in what discovery tells.
    fn targets(&mut self, targets: Targets) {
        let now = self.now();
        let events = self.list.told(targets, &self.tuning, |id| self.journal.is_excluded(id));
        self.pending.extend(events.into_iter().map(|event| (now, event)));
    }

    fn now(&self) -> Time {
        self.clock.at(Instant::now())
    }

    /// The next step: no sooner than a period after the last.
    fn step_at(&self) -> Option<Instant> {
        let earliest = self.last_step + Duration::from_micros(self.tuning.settings.period.0);
        if self.pending.is_empty() { self.wake_at.map(|at| at.max(earliest)) } else { Some(earliest) }
    }

    fn due(&self) -> Option<Instant> {
        let wind_down = self.winding_down.map(|w| match *self.doors.borrow() {
            Doors::Shut => w.end,
            _ => w.shut,
        });
        self.step_at().into_iter().chain(wind_down).min()
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::HandIn { message, deadline, answer } => {
                // A client that has gone comes again under a new id; this one is owed all the same.
                let _ = answer.send(self.hand_in(message, deadline));
            }
            Input::Called(called) => self.called(called),
            Input::Connected { endpoint, messages, may_begin } => {
                self.figures.opened += 1;
                let now = self.now();
                let ok = messages.iter().all(|n| self.sender.may_begin(now, MessageId(*n), endpoint));
                let _ = may_begin.send(ok);
            }
            Input::Idle(address, connection) => {
                self.calls.keep(address, connection);
            }
            Input::Targets(targets) => self.targets(targets),
            Input::Noticed(numbers) => {
                for number in numbers {
                    self.over(number);
                    self.pending.push((self.now(), Event::OutcomeAcknowledged(MessageId(number))));
                }
            }
            Input::Retune(tuning, done) => drop(done.send(self.retune(*tuning))),
            Input::WindDown => self.wind_down(),
            // One that ends soon leaves the journal to the next one, as it is; and calls that an old process has
            // out are told of to this one only: who asks sooner asks again.
            Input::TakeOver(stream) => {
                self.new = Some(stream).filter(|_| self.winding_down.is_none() && self.old.is_none());
            }
            Input::Old(passed) => self.passed_on(passed),
        }
    }
}

/// A record that cannot be written is made good by the next compaction; the sender goes on.
fn log_failure(written: Result<(), JournalError>) {
    if let Err(e) = written {
        tracing::warn!("{e}");
    }
}

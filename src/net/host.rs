//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
use super::handover::{self, Given, Known, Lock, Remains, ToNew, ToOld};
use super::mgmt::{Asked, Order, Standing};
use super::notices::Notice;
use super::pool::{Call, Called, Connection, Parcel, Pool, ReportFields};
use super::server::Doors;
use super::store::{Attempt, End, Handed, Owed, Store, StoreError};
use super::telemetry::{self, Figures, Present, Shared, Snapshot};
use micadrum::profile::{Names, Profile, look};
use micadrum::wire::{Phase, Targets};
use micadrum::{
    Action, Class, DestinationId, EndpointId, Entry, Event, Listing, Message, MessageId, OrderKey, Outcome,
    Repeat, Report, Resumed, Sender, Settings, Span, TenantId, Time, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UnixStream;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// From SIGTERM to the end of the process: the platform kills no sooner than 3.7 s after it.
const WIND_DOWN: Duration = Duration::from_millis(3400);
/// From SIGTERM on, clients still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(600);

/// Where the settings do not say how long a sender may go without asking discovery.
const MUST_ASK_IN: Duration = Duration::from_secs(10);
/// A new process takes over within this, or it does not: meanwhile nothing is decided.
const HAND_OVER_PATIENCE: Duration = Duration::from_secs(1);
/// Inputs taken in before staff's orders are looked at again.
const MOST_INPUTS: usize = 256;

/// What the client is told.
#[derive(Serialize, Deserialize)]
pub enum Answer {
    TakenOn,
    Malformed(String),
    Refused,
}

/// What reaches the loop.
pub enum Input {
    HandIn {
        message: Handed,
        /// By when it may still be delivered.
        deadline: Instant,
        answer: oneshot::Sender<Answer>,
    },
    Called(Called),
    /// A call has a new connection, and asks whether its messages may still go out on it.
    Connected {
        endpoint: EndpointId,
        messages: Vec<u32>,
        may_begin: oneshot::Sender<bool>,
    },
    /// A connection that can carry another call.
    Idle(SocketAddr, Connection),
    Targets(Targets),
    /// New settings, checked; whether they hold now.
    Retune(Box<Tuning>, oneshot::Sender<Result<(), String>>),
    /// Notices that the platform has acknowledged.
    Noticed(Vec<u32>),
    WindDown,
    /// A new process asks to take over.
    TakeOver(UnixStream),
    /// What the old process passes on; none once it has ended.
    Old(Option<ToNew>),
}

/// The module's clock: wall time at the start, so that deadlines hold across processes, carried on by the
/// monotonic clock, so that nothing within one process jumps.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    wall: u64,
}

impl Clock {
    fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall: micros(wall) }
    }

    fn at(&self, instant: Instant) -> Time {
        Time(self.wall + micros(instant.saturating_duration_since(self.start)))
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.wall))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

struct Endpoint {
    id: String,
    address: SocketAddr,
    zone: String,
    batch: usize,
}

/// A call that is out.
pub struct Out {
    /// When it began.
    pub began: Time,
    /// Its only message, if it has but one.
    message: Option<u32>,
    call_off: oneshot::Sender<()>,
}

/// When the process winds down.
#[derive(Clone, Copy)]
struct WindDown {
    shut: Instant,
    end: Instant,
}

/// All that the settings say, in the forms that the host needs.
pub struct Tuning {
    profile: Profile,
    settings: Settings,
    names: Names,
    fields: ReportFields,
}

impl Tuning {
    /// Checks the settings whole; the error says what cannot be acted on.
    pub fn new(profile: Profile) -> Result<Self, String> {
        let names = profile.names();
        let told = profile.settings(&names)?;
        let settings = Settings { ends_noticed: true, calls_expire_whole: true, ..told };
        let fields = ReportFields {
            left: profile.report_field("x0").is_some(),
            limit: profile.report_field("x1").is_some(),
        };
        Ok(Self { profile, settings, names, fields })
    }

    /// How long an endpoint keeps an idle connection open.
    fn idle(&self) -> Duration {
        Duration::from_micros(self.profile.connection_idle().map_or(5_000_000, |span| span.0))
    }

    /// How many senders share the traffic, this one counted.
    pub fn senders(&self) -> usize {
        self.settings.senders
    }

    /// A sender that does not ask discovery for so long counts as told all the same.
    pub fn must_ask_in(&self) -> Duration {
        match self.settings.rules.must_ask_in {
            Span(0) => MUST_ASK_IN,
            Span(span) => Duration::from_micros(span),
        }
    }

    /// The names that the module's numbers stand for.
    pub fn numbering(&self) -> Vec<Vec<String>> {
        self.profile.numbering()
    }

    /// The module's settings, where no more connections than that may be open.
    fn settings(&self, most_connections: usize) -> Settings {
        Settings { slots: self.settings.slots.min(most_connections), ..self.settings.clone() }
    }
}

/// A sender at work.
pub struct Host {
    sender: Sender,
    tuning: Tuning,
    store: Store,
    pool: Pool,
    /// Connections to endpoints that may be open at once.
    most_connections: usize,
    clock: Clock,
    /// Endpoints that the module remembers. Numbers are not used again: calls that end late name theirs.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoint_ids: HashMap<String, EndpointId>,
    next_endpoint: u32,
    /// When each message held was taken on, or taken up, by its id.
    held: HashMap<String, Instant>,
    figures: Figures,
    shared: Arc<Shared>,
    /// Calls that are out.
    calls: HashMap<u64, Out>,
    next_call: u64,
    /// Messages that an old process has calls out with.
    elsewhere: BTreeSet<u32>,
    /// To that process.
    old: Option<UnboundedSender<ToOld>>,
    /// A process that asks to take over.
    new: Option<UnixStream>,
    lock: Lock,
    listener: TcpListener,
    room: Arc<Semaphore>,
    most_clients: usize,
    /// The part of that room which an old process still fills.
    withheld: usize,
    revision: u64,
    /// Events for the next step, with when they happened.
    pending: Vec<(Time, Event)>,
    last_step: Instant,
    wake_at: Option<Instant>,
    winding_down: Option<WindDown>,
    doors: watch::Sender<Doors>,
    standing: watch::Sender<Standing>,
    inputs: UnboundedSender<Input>,
    notices: UnboundedSender<Notice>,
}

/// The ends of the channels that a host works with.
pub struct Links {
    pub inputs: UnboundedSender<Input>,
    pub notices: UnboundedSender<Notice>,
    pub doors: watch::Sender<Doors>,
    pub standing: watch::Sender<Standing>,
    /// Room for connections from clients, and how much that is in all.
    pub room: Arc<Semaphore>,
    pub most_clients: usize,
    pub shared: Arc<Shared>,
}

/// The folder that lasts, and the socket that clients come to: what one process at a time has.
pub struct Estate {
    pub lock: Lock,
    pub store: Store,
    pub listener: TcpListener,
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
        let settings = tuning.settings(most_connections);
        let (sender, known, inherited) = match origin {
            Origin::Listed(known) => (Sender::new(settings, seed), Some(known), None),
            Origin::Inherited(state, old) => {
                let (sender, rest) = state.split();
                (sender.taken_over(settings, seed), None, Some((rest, old)))
            }
        };
        let mut host = Self {
            sender: sender.map_err(|e| e.to_string())?,
            store: estate.store,
            pool: Pool::new(tuning.idle()),
            tuning,
            most_connections,
            clock: Clock::new(),
            endpoints: BTreeMap::new(),
            endpoint_ids: HashMap::new(),
            next_endpoint: 0,
            held: HashMap::new(),
            figures: Figures::default(),
            shared: links.shared,
            calls: HashMap::new(),
            next_call: 0,
            elsewhere: BTreeSet::new(),
            old: None,
            new: None,
            lock: estate.lock,
            listener: estate.listener,
            room: links.room,
            most_clients: links.most_clients,
            withheld: 0,
            revision: 0,
            pending: Vec::new(),
            last_step: Instant::now(),
            wake_at: None,
            winding_down: None,
            doors: links.doors,
            standing: links.standing,
            inputs: links.inputs,
            notices: links.notices,
        };
        host.figures.name(host.tuning.profile.classes());
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
        orders: &mut Receiver<Asked>,
    ) -> Option<Remains> {
        self.standing.send_replace(Standing::Serving);
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                Some(asked) = orders.recv() => self.asked(asked),
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return None,
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
                    Ok(stream) => return Some(self.remains(stream).await),
                    Err(e) => eprintln!("not handed over, this process goes on: {e}"),
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
                if now >= wind_down.end || (self.calls.is_empty() && self.store.owed().next().is_none()) {
                    eprintln!("{}", telemetry::summary(&self.snapshot()));
                    return None;
                }
            }
        }
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

    // ---- what comes in -------------------------------------------------------------------------------

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
                self.pool.put(address, connection);
                self.trim_pool();
            }
            Input::Targets(targets) => self.targets(targets),
            Input::Noticed(numbers) => {
                for number in numbers {
                    self.over(number);
                    self.pending.push((self.now(), Event::Noticed(MessageId(number))));
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

    /// Swaps the settings, all of them or none.
    fn retune(&mut self, tuning: Tuning) -> Result<(), String> {
        if self.tuning.numbering() != tuning.numbering() {
            return Err("zones, kinds and tenants hold from a start on, and differ".to_owned());
        }
        let settings = tuning.settings(self.most_connections);
        self.pool.keep_for(tuning.idle());
        self.figures.name(tuning.profile.classes());
        self.tuning = tuning;
        self.pending.push((self.now(), Event::Retuned(Box::new(settings))));
        Ok(())
    }

    /// Carries out what staff ask for. The answer goes out once it is in force, and journaled where it lasts.
    fn asked(&mut self, asked: Asked) {
        match asked {
            // A caller that was told that nothing changed must be right.
            Asked::Order { answer, .. } if answer.is_closed() => {}
            Asked::Order { order, answer } => drop(answer.send(self.carry_out(&order))),
            Asked::Figures(answer) => drop(answer.send(Ok(Box::new(self.snapshot())))),
        }
    }

    /// All figures, as they are now. What is held is counted, not reckoned from what came and went.
    fn snapshot(&self) -> Snapshot {
        let held = || self.store.owed().filter(|(_, owed)| owed.end.is_none());
        let (members, unavailable) = self.sender.members();
        let present = Present {
            pending: held().count(),
            pending_bytes: held().map(|(_, owed)| owed.message.body.len()).sum(),
            notices: self.store.owed().filter(|(_, owed)| owed.end.is_some()).count(),
            members,
            unavailable,
            remembered: self.endpoints.len(),
            journal_bytes: self.store.length(),
            endpoints_idle: self.pool.idle(),
            endpoints_busy: self.calls.len(),
        };
        Snapshot { figures: self.figures.clone(), present, beside: self.shared.read() }
    }

    fn carry_out(&mut self, order: &Order) -> Result<(), String> {
        let done = match order {
            Order::Exclude(id) => self.ban(id, true),
            Order::Include(id) => self.ban(id, false),
            Order::Evacuate => self.drain(true),
            Order::Activate => self.drain(false),
        };
        match &done {
            Ok(()) => eprintln!("staff: {order:?}"),
            Err(why) => eprintln!("staff: {order:?}: {why}"),
        }
        done
    }

    fn ban(&mut self, id: &str, excluded: bool) -> Result<(), String> {
        let endpoint = self.endpoint_ids.get(id).copied();
        if endpoint.is_none() && !self.store.is_excluded(id) {
            return Err(format!("no endpoint {id:?} is known"));
        }
        let journaled = if excluded { self.store.exclude(id) } else { self.store.include(id) };
        journaled.map_err(|e| e.to_string())?;
        if let Some(endpoint) = endpoint {
            let event = if excluded { Event::Excluded(endpoint) } else { Event::Included(endpoint) };
            self.pending.push((self.now(), event));
            self.step();
        }
        Ok(())
    }

    /// Sends the clients away, or has them back. What is held, and what still comes, is delivered either way.
    fn drain(&mut self, away: bool) -> Result<(), String> {
        if self.winding_down.is_some() {
            return Err("this process is ending".to_owned());
        }
        self.doors.send_replace(if away { Doors::Draining } else { Doors::Open });
        Ok(())
    }

    fn wind_down(&mut self) {
        if self.winding_down.is_none() {
            self.standing.send_replace(Standing::Ending);
            let now = Instant::now();
            let wind_down = WindDown { shut: now + STILL_COMING, end: now + WIND_DOWN };
            self.winding_down = Some(wind_down);
            self.doors.send_replace(Doors::Closing);
            self.pending.push((self.now(), Event::WindDown(self.clock.at(wind_down.end))));
        }
    }

    fn hand_in(&mut self, message: Handed, deadline: Instant) -> Answer {
        if self.held.contains_key(&message.id) {
            return Answer::TakenOn;
        }
        let class = match self.class(&message.class) {
            Ok(class) => class,
            Err(what) => return self.malformed(what),
        };
        let owed = Owed::new(message, self.clock.at(deadline).0, class);
        let mut known = match self.message(0, &owed) {
            Ok(known) => known,
            Err(what) => return self.malformed(what),
        };
        let now = self.now();
        if !self.sender.admits(now, self.held.len()) {
            self.figures.refused += 1;
            return Answer::Refused;
        }
        let id = owed.message.id.clone();
        match self.store.take_on(owed) {
            Ok(number) => {
                known.id = MessageId(number);
                self.held.insert(id, Instant::now());
                self.figures.taken += 1;
                self.pending.push((now, Event::Message(known)));
                Answer::TakenOn
            }
            Err(e) => {
                eprintln!("refused: {e}");
                self.figures.refused += 1;
                Answer::Refused
            }
        }
    }

    fn malformed(&mut self, what: String) -> Answer {
        self.figures.malformed += 1;
        Answer::Malformed(what)
    }

    fn class(&self, name: &str) -> Result<Class, String> {
        Ok(self.tuning.settings.classes[look(&self.tuning.names.classes, name, "class")?.0])
    }

    /// A message in the module's terms; the error says what cannot be understood.
    fn message(&self, number: u32, owed: &Owed) -> Result<Message, String> {
        let class = match owed.class {
            Some(class) => class,
            // Taken on before journals held the class: as the settings have it now.
            None => self.class(&owed.message.class)?,
        };
        if matches!(class.repeat, Repeat::Keyed { .. }) && owed.message.idempotency_key.is_none() {
            return Err(format!("class {:?} needs an idempotency key", owed.message.class));
        }
        let tenant: Option<TenantId> = match &owed.message.tenant {
            Some(name) if !self.tuning.names.tenants.is_empty() => {
                Some(look(&self.tuning.names.tenants, name, "tenant")?)
            }
            _ => None,
        };
        // Two keys of one hash would wait for each other: harmless.
        let key = owed.message.key.as_ref().filter(|_| class.ordered).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            OrderKey(hasher.finish())
        });
        let budget = Span(owed.deadline.saturating_sub(self.now().0));
        let destination = DestinationId(owed.message.destination);
        Ok(Message { id: MessageId(number), class, tenant, key, destination, budget })
    }

    /// Takes up what an earlier process left.
    fn resume(&mut self) {
        let owed: Vec<(u32, Owed)> = self.store.owed().map(|(number, owed)| (number, owed.clone())).collect();
        for (number, owed) in owed {
            self.held.insert(owed.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(owed.end.is_none());
            let message = match self.message(number, &owed) {
                Ok(message) => message,
                Err(what) => {
                    eprintln!("resuming {}: {what}", owed.message.id);
                    self.end(number, owed.end.unwrap_or(End::Failed));
                    continue;
                }
            };
            if owed.out.is_some() {
                // The process ended during the call: nobody knows how far that had come.
                log_failure(self.store.outcome(number, true));
            }
            let ran = owed.ran.as_ref().or(owed.out.as_ref()).map(|first| {
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

    // ---- the upgrade ---------------------------------------------------------------------------------

    /// Goes on where another process left off. The module knows its messages; the journal tells which of them
    /// that process has calls out with.
    fn inherit(&mut self, state: handover::Rest, old: UnboundedSender<ToOld>) {
        self.pending = state.pending;
        self.revision = state.revision;
        self.withheld = state.clients;
        self.next_endpoint = state.next_endpoint;
        for (number, id, address, zone, batch) in state.endpoints {
            self.endpoint_ids.insert(id.clone(), number);
            self.endpoints.insert(number, Endpoint { id, address, zone, batch });
        }
        for (number, owed) in self.store.owed() {
            self.held.insert(owed.message.id.clone(), Instant::now());
            self.figures.resumed += u64::from(owed.end.is_none());
            if owed.out.is_some() {
                self.elsewhere.insert(number);
            }
            if let Some(end) = owed.end {
                let _ = self.notices.send(Notice { number, id: owed.message.id.clone(), end });
            }
        }
        self.doors.send_replace(if state.draining { Doors::Draining } else { Doors::Open });
        self.old = Some(old);
    }

    fn passed_on(&mut self, passed: Option<ToNew>) {
        match passed {
            Some(ToNew::Called { sent, at, endpoint, mut ends, wait, report }) => {
                ends.retain(|(number, ..)| self.elsewhere.remove(number));
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
                eprintln!("the old process has ended, {} of its calls were out", self.elsewhere.len());
                self.old = None;
                self.room.add_permits(std::mem::take(&mut self.withheld));
                let now = self.now();
                let cut = std::mem::take(&mut self.elsewhere);
                let ends = cut.into_iter().map(|number| (number, Outcome::Reset, false)).collect();
                self.ended(now, now, ends, None);
            }
        }
    }

    fn to_old(&self, what: ToOld) {
        if let Some(old) = &self.old {
            let _ = old.send(what);
        }
    }

    /// Gives all to a process that asks; on an error nothing was given.
    async fn hand_over(&mut self, mut stream: UnixStream) -> Result<UnixStream, handover::HandoverError> {
        let state = Given {
            sender: &self.sender,
            pending: &self.pending,
            endpoints: (self.endpoints.iter())
                .map(|(number, e)| (*number, e.id.clone(), e.address, e.zone.clone(), e.batch))
                .collect(),
            next_endpoint: self.next_endpoint,
            numbering: self.tuning.numbering(),
            revision: self.revision,
            draining: *self.doors.borrow() == Doors::Draining,
            clients: self.most_clients.saturating_sub(self.room.available_permits() + self.withheld),
        };
        timeout(HAND_OVER_PATIENCE, handover::offer(&mut stream, &self.listener, &state)).await??;
        Ok(stream)
    }

    /// What is left once the other process has it all: the journal's lock goes, then the other one is told.
    async fn remains(self, mut stream: UnixStream) -> Remains {
        let draining = *self.doors.borrow() == Doors::Draining;
        self.standing.send_replace(Standing::Ending);
        self.doors.send_replace(Doors::Leaving { ready: !draining });
        let (clock, doors) = (self.clock, self.doors);
        // Kept whole: a call ends with what may call it off.
        let calls = self.calls;
        drop((self.store, self.lock));
        // One that cannot be told any more has ended, which shows soon.
        let _ = handover::write(&mut stream, &ToNew::Yours).await;
        eprintln!("handed over to another process, {} calls are out", calls.len());
        Remains { stream, calls, time_of: Box::new(move |instant| clock.at(instant)), doors }
    }

    // ---- calls and the list --------------------------------------------------------------------------

    fn called(&mut self, called: Called) {
        let at = self.clock.at(called.at);
        let sent = self.calls.remove(&called.number).map_or(at, |out| out.began);
        self.figures.reused += u64::from(called.idle.is_some());
        match called.ends.first() {
            Some((_, Outcome::Reset, _)) => self.pool.learn(called.idle, true),
            Some((_, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::NoRoom, _)) | None => {}
            Some(_) => self.pool.learn(called.idle, false),
        }
        self.told(at, called.endpoint, called.wait, &called.ends);
        self.ended(sent, at, called.ends, called.report);
    }

    /// Takes in a wait that turned no message away.
    fn told(&mut self, at: Time, endpoint: EndpointId, wait: Option<Span>, ends: &[(u32, Outcome, bool)]) {
        let heeded = ends.iter().any(|(_, outcome, _)| matches!(outcome, Outcome::Full(Some(_))));
        if let Some(wait) = wait.filter(|_| !heeded) {
            self.pending.push((at, Event::Told { endpoint, wait }));
        }
    }

    /// Books how the attempts of a call ended.
    fn ended(&mut self, sent: Time, at: Time, ends: Vec<(u32, Outcome, bool)>, report: Option<Report>) {
        for (number, outcome, last) in ends {
            let attempts = self.store.get(number).map_or(1, |owed| owed.attempts);
            self.figures.attempt_ended(outcome);
            if last {
                let delivered = outcome == Outcome::Success;
                self.count_end(
                    number,
                    if delivered { telemetry::End::Completed } else { telemetry::End::Failed },
                );
                self.over(number);
            } else {
                log_failure(self.store.outcome(number, outcome.may_have_run()));
            }
            let event = Event::Ended {
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

    fn targets(&mut self, targets: Targets) {
        self.revision = targets.revision;
        let mut entries = Vec::with_capacity(targets.members.len());
        let mut bans = Vec::new();
        for member in targets.members {
            let (Some(kind), Some(zone)) =
                (self.tuning.names.kinds.get(&member.flavor), self.tuning.names.zones.get(&member.locality))
            else {
                eprintln!("discovery: {} is of an unknown kind or zone", member.id);
                continue;
            };
            let batch = self.tuning.settings.kinds[kind.0].batch.max(1);
            let endpoint = match self.endpoint_ids.get(&member.id) {
                Some(known) => *known,
                None => {
                    let id = EndpointId(self.next_endpoint);
                    self.next_endpoint += 1;
                    if self.store.is_excluded(&member.id) {
                        bans.push((self.now(), Event::Excluded(id)));
                    }
                    self.endpoint_ids.insert(member.id.clone(), id);
                    id
                }
            };
            let (id, address, zone_name) = (member.id, member.host_port, member.locality);
            self.endpoints.insert(endpoint, Endpoint { id, address, zone: zone_name, batch });
            entries.push(Entry {
                endpoint,
                destination: DestinationId(member.cell),
                kind: *kind,
                zone: *zone,
                listing: match member.phase {
                    Phase::Serving => Listing::Active,
                    Phase::Draining => Listing::Draining,
                    Phase::Deleted => Listing::Removed,
                },
                hint: member.size,
            });
        }
        if targets.complete {
            self.pending.push((self.now(), Event::FullList(entries)));
        } else if !entries.is_empty() {
            self.pending.push((self.now(), Event::ListChanges(entries)));
        }
        // In the same step, and so before anything can go out.
        self.pending.append(&mut bans);
    }

    // ---- one round -----------------------------------------------------------------------------------

    fn step(&mut self) {
        let at = Instant::now();
        let now = self.clock.at(at);
        self.last_step = at;
        self.figures.steps += 1;
        let mut events = Vec::with_capacity(self.pending.len() + 1);
        for (happened, mut event) in self.pending.drain(..) {
            // Times left run from when something happened, not from the step that takes it in.
            let late = now.0.saturating_sub(happened.0);
            match &mut event {
                Event::Message(message) => message.budget.0 = message.budget.0.saturating_sub(late),
                Event::Ended { outcome: Outcome::Full(Some(wait)), .. } | Event::Told { wait, .. } => {
                    wait.0 = wait.0.saturating_sub(late);
                }
                _ => {}
            }
            events.push(event);
        }
        if self.wake_at.take_if(|wake| *wake <= at).is_some() {
            events.push(Event::Woken);
        }
        let mut actions = Vec::new();
        self.sender.step(now, &events, &mut actions);
        // Sends of one step to one endpoint share a call; the module lets the messages of a call expire together.
        let mut sends: Vec<(EndpointId, Vec<MessageId>, Time)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { message, endpoint, expires } => {
                    let room = self.endpoints.get(&endpoint).map_or(1, |at| at.batch);
                    let open = sends
                        .iter_mut()
                        .find(|(to, with, until)| *to == endpoint && *until == expires && with.len() < room);
                    match open {
                        Some((_, with, _)) => with.push(message),
                        None => sends.push((endpoint, vec![message], expires)),
                    }
                }
                Action::Refuse { message, after } => {
                    self.end(message.0, End::Returned(after.map(|span| span.0.div_ceil(1000))));
                }
                Action::Fail(id) => self.end(id.0, End::Failed),
                Action::WakeIn(span) => {
                    let wake = at + Duration::from_micros(span.0);
                    self.wake_at = Some(self.wake_at.map_or(wake, |set| set.min(wake)));
                }
                Action::CloseIdle(endpoint) => {
                    if let Some(at) = self.endpoints.get(&endpoint) {
                        self.pool.close(at.address);
                    }
                }
                Action::Forget(endpoint) => {
                    if let Some(at) = self.endpoints.remove(&endpoint) {
                        self.endpoint_ids.remove(&at.id);
                    }
                }
                Action::Log(line) => eprintln!("{line}"),
                Action::Cancel { message, .. } => self.call_off(message),
                // The watch is always on; the module does not probe.
                Action::Subscribe | Action::FetchList | Action::Probe(_) => {}
            }
        }
        for (endpoint, messages, expires) in sends {
            self.call(endpoint, messages, expires);
        }
    }

    fn call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Time) {
        let now = self.now();
        let Some(at) = self.endpoints.get(&endpoint) else {
            // The module sends to what it remembers only; if not, its messages must not wait for ever.
            eprintln!("not sent: endpoint #{} is not known", endpoint.0);
            let unsent = messages.into_iter().map(|message| (message.0, Outcome::Void, false)).collect();
            return self.ended(now, now, unsent, None);
        };
        let (address, zone) = (at.address, at.zone.clone());
        let mut parcels = Vec::with_capacity(messages.len());
        let mut unsent = Vec::new();
        for MessageId(number) in messages {
            self.figures.attempts += 1;
            if let Some(owed) = self.store.get(number).filter(|owed| owed.attempts == 0)
                && let Some(taken) = self.held.get(&owed.message.id)
            {
                self.figures.queue.observe(taken.elapsed());
            }
            let begun = self.store.begin(number, Attempt { at: now.0, zone: zone.clone() });
            let Some(owed) = self.store.get(number) else { continue };
            if let Err(e) = begun {
                // An attempt that a restart would not know of must not go out.
                eprintln!("not sent: {e}");
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
        let number = self.next_call;
        self.next_call += 1;
        self.figures.calls += 1;
        let (call_off, called_off) = oneshot::channel();
        let message = parcels.first().filter(|_| parcels.len() == 1).map(|parcel| parcel.number);
        self.calls.insert(number, Out { began: now, message, call_off });
        let call = Call {
            number,
            endpoint,
            address,
            parcels,
            expires: self.clock.instant(expires),
            connect_timeout: Duration::from_micros(self.tuning.settings.connect_timeout.0),
        };
        let (kept, fields, inputs) = (self.pool.take(address), self.tuning.fields, self.inputs.clone());
        self.trim_pool();
        tokio::spawn(async move {
            if let Some(connection) = call.run(kept, fields, called_off, &inputs).await {
                let _ = inputs.send(Input::Idle(address, connection));
            }
        });
    }

    /// Closes the connection of the call with that message; the call tells how it ended. One that an old process
    /// has out goes on.
    fn call_off(&mut self, message: MessageId) {
        let number =
            self.calls.iter().find_map(|(number, out)| (out.message == Some(message.0)).then_some(*number));
        if let Some(out) = number.and_then(|number| self.calls.get_mut(&number)) {
            let (spent, _) = oneshot::channel();
            let _ = std::mem::replace(&mut out.call_off, spent).send(());
        }
    }

    /// Idle connections give way to calls.
    fn trim_pool(&mut self) {
        self.pool.trim(self.most_connections.saturating_sub(self.calls.len() + self.elsewhere.len()));
    }

    /// Counts a final answer, unless that was given before.
    fn count_end(&mut self, number: u32, end: telemetry::End) {
        let Some(owed) = self.store.get(number).filter(|owed| owed.end.is_none()) else { return };
        let after = self.held.get(&owed.message.id).map_or(Duration::ZERO, Instant::elapsed);
        self.figures.ended(&owed.message.class, end, after);
    }

    fn end(&mut self, number: u32, end: End) {
        self.count_end(
            number,
            match end {
                End::Failed => telemetry::End::Failed,
                End::Returned(_) => telemetry::End::Rejected,
            },
        );
        let Some(owed) = self.store.get(number) else { return };
        let id = owed.message.id.clone();
        log_failure(self.store.end(number, end));
        let _ = self.notices.send(Notice { number, id, end });
    }

    /// Nothing more is owed.
    fn over(&mut self, number: u32) {
        let Some(owed) = self.store.get(number) else { return };
        self.held.remove(&owed.message.id);
        log_failure(self.store.over(number));
    }
}

/// A record that cannot be written is made good by the next compaction; the sender goes on.
fn log_failure(written: Result<(), StoreError>) {
    if let Err(e) = written {
        eprintln!("{e}");
    }
}

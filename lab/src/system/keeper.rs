//! A voter of the register in the simulated world: `config-register` and `control-duties` decide, here their requests are
//! carried as the program does it.

use super::Mutation;
use super::feed::{Feed, follow_lists, keep_beating};
use super::history::Fact;
use super::world::{Host, Pusher};
use bytes::Bytes;
use config_register::{
    Acceptor, AcceptorRecord, Change, Learner, Proposal, Restore, RestoreStep, Standing, Step, Verdict,
};
use control_duties::{
    ConfigVerdict, CoreWatch, DutyClaim, Readings, RosterStep, RosterWatch, fill, stands, times,
};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, ControlState, Fence, RegisterReply, RegisterRequest,
    RegisterValue, Store, TakenVersion, rank,
};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify, mpsc};
use turn_store::Write;

/// The duty of reading the list and looking after machines that are gone.
pub const LIST: &str = "list";
const SPACE: &str = "records";
const RECORD: &[u8] = b"acceptor";
const POLL: u64 = 250;
const PATIENCE: u64 = 300;
const UNSETTLED: u64 = 120;
const MOST_PAUSE: u64 = 320;
const LIFE_BITS: u32 = 16;
const CHANGE: u64 = 600;
const LOOK: u64 = 400;
const ANSWER_WITHIN: u64 = 850;

enum Wanted {
    Nothing,
    State(ControlState),
    Voters(Vec<Ipv4Addr>),
}

impl From<Option<ControlState>> for Wanted {
    fn from(state: Option<ControlState>) -> Self {
        state.map_or(Self::Nothing, Self::State)
    }
}

struct Unsettled {
    ballot: Ballot,
    until: Duration,
}

enum Ended {
    Chosen(AcceptedValue, bool),
    Lost,
    Failed,
}

fn state_of(payload: &[u8]) -> Option<ControlState> {
    ControlState::from_payload(payload).ok()
}

/// A keeper's life.
pub struct Keeper {
    host: Host,
    me: Ipv4Addr,
    /// What it knows and passes on.
    pub feed: Rc<Feed>,
    acceptor: RefCell<Acceptor>,
    core: RefCell<CoreWatch>,
    heard: RefCell<BTreeSet<Ipv4Addr>>,
    known: RefCell<Option<RegisterValue>>,
    life: u64,
    highest: Cell<Ballot>,
    claim: RefCell<DutyClaim>,
    proposing: Mutex<()>,
    poll_now: Notify,
    polled: Notify,
    stores: RefCell<RosterWatch>,
}

impl Keeper {
    /// Starts a life. `first`: its machine never ran before, and the whole system starts.
    pub fn start(host: &Host, first: bool) -> Rc<Self> {
        let seeds = host.world().map(|world| world.seeds.clone()).unwrap_or_default();
        let me = host.machine.ip;
        let record = host.disk().get(SPACE, RECORD);
        let record: Option<AcceptorRecord> = record.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        let is_new = record.is_none();
        let acceptor = match record {
            Some(record) => Acceptor::new(record),
            // Broken on purpose: an empty disk is taken for that of a machine that never voted.
            None if first && host.machine.first || host.breaks(Mutation::NoAmnesiaGuard) => {
                Acceptor::new(match seeds.contains(&me) {
                    true => config_register::found(seeds.clone()),
                    false => AcceptorRecord {
                        promised: Ballot::default(),
                        accepted: None,
                        standing: Standing::Blank,
                        settled: None,
                    },
                })
            }
            None => Acceptor::unfit(),
        };
        let record = acceptor.record().cloned();
        let known = record.as_ref().and_then(|record| record.settled.clone());
        let heard = known.iter().flat_map(|known| known.voters.clone()).chain(seeds).chain([me]).collect();
        let keeper = Rc::new(Self {
            host: host.clone(),
            me,
            feed: Feed::new(host),
            acceptor: RefCell::new(acceptor),
            core: RefCell::new(CoreWatch::new(me)),
            heard: RefCell::new(heard),
            known: RefCell::new(known),
            life: host.draw() & 0xffff,
            highest: Cell::new(record.as_ref().map_or(Ballot::default(), |record| record.promised)),
            claim: RefCell::new(DutyClaim::new(LIST, me)),
            proposing: Mutex::new(()),
            poll_now: Notify::new(),
            polled: Notify::new(),
            stores: RefCell::default(),
        });
        let starting = keeper.clone();
        host.spawn(async move {
            if let Some(record) = record.filter(|_| is_new) {
                starting.put(&record).await;
            }
            starting.run();
        });
        keeper
    }

    fn run(self: Rc<Self>) {
        if let Some(world) = self.host.world() {
            let keeper = self.clone();
            let handler = move |from, call, pusher| {
                let keeper = keeper.clone();
                Box::pin(async move { keeper.answer(from, call, pusher).await }) as super::world::Answering
            };
            world.serve(&self.host, Rc::new(handler));
        }
        let host = &self.host;
        host.spawn(keep_beating(self.feed.clone()));
        host.spawn(self.clone().keep_polling());
        host.spawn(self.clone().keep_voting());
        host.spawn(self.clone().keep_duties());
        host.spawn(self.clone().keep_watch());
        host.spawn(self.clone().keep_following_list());
    }

    /// Its process.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Whether it may vote.
    pub fn is_fit(&self) -> bool {
        self.acceptor.borrow().record().is_some()
    }

    /// The fence under which this life holds the duty.
    pub fn holds_list(&self) -> Option<u64> {
        self.claim.borrow().holds(&self.feed.state())
    }

    async fn put(&self, record: &AcceptorRecord) {
        let bytes = postcard::to_allocvec(record).unwrap_or_default();
        let write = Write::put(SPACE, RECORD.to_vec(), bytes);
        self.host.disk().write(&self.host, vec![write], self.host.syncs()).await;
    }

    async fn ask(&self, ip: Ipv4Addr, request: RegisterRequest, patience: u64) -> Option<RegisterReply> {
        self.core.borrow_mut().asks(self.host.now_ms());
        if ip == self.me {
            return Some(self.answer_register(self.me, request).await);
        }
        match self.host.call(ip, Call::Register(request.clone()), patience).await {
            Some(Answer::Register(reply)) => {
                self.core.borrow_mut().heard(self.host.now_ms(), ip);
                Some(reply)
            }
            // Broken on purpose: those that do not answer are not counted, as if they agreed.
            _ if self.host.breaks(Mutation::MajorityOfLiving) => match request {
                RegisterRequest::Prepare(_) => Some(RegisterReply::Promised(None)),
                RegisterRequest::Accept(_) => Some(RegisterReply::Accepted),
                RegisterRequest::Poll { .. } => {
                    Some(RegisterReply::Polled { accepted: None, chosen: Ballot::default() })
                }
                RegisterRequest::Fetch => None,
            },
            _ => None,
        }
    }

    async fn answer_register(&self, from: Ipv4Addr, request: RegisterRequest) -> RegisterReply {
        if let RegisterRequest::Prepare(ballot) = &request {
            self.highest.set(self.highest.get().max(*ballot));
        }
        let told = match &request {
            RegisterRequest::Poll { chosen } => Some(*chosen),
            _ => None,
        };
        let (reply, record) = {
            let mut acceptor = self.acceptor.borrow_mut();
            let (reply, changed) = acceptor.handle(&request);
            (reply, acceptor.record().filter(|_| changed).cloned())
        };
        match record {
            Some(record) => self.put(&record).await,
            None => self.host.disk().settled(&self.host, self.host.syncs()).await,
        }
        if let Some(chosen) = told {
            self.learn_chosen(from, chosen);
        }
        reply
    }

    fn learn_chosen(&self, from: Ipv4Addr, chosen: Ballot) {
        if chosen <= self.feed.value().ballot {
            return;
        }
        let own = self.acceptor.borrow().record().and_then(|record| record.accepted.clone());
        match own {
            Some(accepted) if accepted.ballot == chosen => self.adopt(accepted),
            _ if from != self.me => self.poll_now.notify_one(),
            _ => {}
        }
    }

    fn adopt(&self, accepted: AcceptedValue) {
        self.acceptor.borrow_mut().learn_value(&accepted);
        self.note_chosen(&accepted);
        if accepted.ballot < self.feed.value().ballot {
            return;
        }
        let before = self.feed.state();
        *self.known.borrow_mut() = Some(accepted.value.clone());
        let voters = accepted.value.voters.clone();
        self.heard.borrow_mut().extend(voters.iter().copied());
        self.feed.learn_value(ChosenValue {
            ballot: accepted.ballot,
            voters,
            payload: accepted.value.payload,
        });
        let roster = &self.feed.state().roster;
        if *roster != before.roster {
            let disks = |stores: &[Store]| stores.iter().map(|store| store.disk).collect();
            self.host.note(Fact::Roster {
                node: self.host.node,
                epoch: roster.epoch,
                current: disks(&roster.current),
                next: roster.next.as_deref().map(disks),
                filled: roster.filled.clone(),
            });
        }
    }

    fn note_chosen(&self, accepted: &AcceptedValue) {
        let state = state_of(&accepted.value.payload).unwrap_or_default();
        let voters: Vec<u8> = accepted.value.voters.iter().flat_map(|ip| ip.octets()).collect();
        self.host.note(Fact::Chosen {
            node: self.host.node,
            ballot: accepted.ballot,
            versions: state.taken.iter().map(|taken| taken.version).collect(),
            hash: rank(&accepted.value.payload, rank(&voters, 0)),
        });
    }

    fn is_fresh(&self) -> bool {
        self.feed.age().is_some_and(|age| age < state_feed::MOST_AGE)
    }

    async fn confirm_now(&self, within: u64) -> bool {
        let asked = self.host.now();
        let confirmed = async {
            while self.feed.fresh_at().is_none_or(|at| at < asked) {
                let polled = self.polled.notified();
                self.poll_now.notify_one();
                polled.await;
                if self.feed.fresh_at().is_none_or(|at| at < asked) {
                    self.host.sleep(10).await;
                }
            }
        };
        self.host.timeout(within, confirmed).await.is_some()
    }

    async fn answer(&self, from: Ipv4Addr, call: Call, pusher: Option<Pusher>) -> Answer {
        match call {
            Call::Register(request) => Answer::Register(self.answer_register(from, request).await),
            Call::Subscribe { .. } => match pusher {
                Some(pusher) => self.feed.subscribe(&call, &pusher),
                None => Answer::Unready,
            },
            Call::JoinCore { ip } => self.join_core(ip).await,
            Call::JoinStorage { store } => self.join_storage(store).await,
            Call::Filled { disk, epoch } => self.filled(disk, epoch).await,
            _ => Answer::Unready,
        }
    }
}

// What operators ask for.
impl Keeper {
    /// Takes a configuration on top of the version `expected`; none without a majority.
    pub async fn put_config(&self, expected: u64, version: u64) -> Option<ConfigVerdict> {
        let body = Bytes::from(format!("configuration {version}"));
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&rank(&body, 0).to_be_bytes());
        let taken = TakenVersion { version, digest };
        let verdict = Cell::new(None);
        let done = self
            .change(ANSWER_WITHIN, |state| {
                let (wanted, judged) = control_duties::put_config(state, expected, &taken, &body);
                verdict.set(Some(judged));
                wanted.into()
            })
            .await;
        verdict.take().filter(|_| done)
    }

    /// The version of the configuration in force; none if that cannot be told.
    pub async fn version(&self) -> Option<u64> {
        self.confirm_now(ANSWER_WITHIN).await.then(|| self.feed.state().version())
    }

    /// Begins to empty a storage machine; whether that is agreed.
    pub async fn retire(&self, name: &str) -> bool {
        let least = self.least_stores();
        self.change(ANSWER_WITHIN, |state| control_duties::retire(state, name, least).0.into()).await
    }
}

// As proposer and learner.
impl Keeper {
    fn next_ballot(&self) -> Ballot {
        let rising = ((self.highest.get().round >> LIFE_BITS) + 1).max(self.host.now().as_secs());
        let round = rising << LIFE_BITS | self.life;
        let ballot = Ballot { round, proposer: u32::from(self.me) };
        self.highest.set(ballot);
        ballot
    }

    fn saw(&self, ballot: Ballot) {
        self.highest.set(self.highest.get().max(ballot));
    }

    async fn change(&self, within: u64, mut wanted: impl FnMut(&ControlState) -> Wanted) -> bool {
        self.propose(within, |state, _| wanted(state)).await
    }

    async fn propose(
        &self,
        within: u64,
        mut wanted: impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> bool {
        let trying = async {
            let _alone = self.proposing.lock().await;
            for lost in 0_u32.. {
                let known = self.known.borrow().clone()?;
                if let Ended::Chosen(value, as_wanted) = self.run_once(&known, &mut wanted).await {
                    self.adopt(value);
                    self.poll_now.notify_one();
                    if as_wanted {
                        return Some(());
                    }
                }
                self.host.sleep(4 + self.host.draw() % MOST_PAUSE.min(16 << lost.min(8))).await;
            }
            None
        };
        self.host.timeout(within, trying).await.flatten().is_some()
    }

    async fn run_once(
        &self,
        known: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let mut proposal = Proposal::start(self.me, self.next_ballot(), known);
        let mut aim: Option<(Option<Bytes>, Option<Vec<Ipv4Addr>>)> = None;
        let mut change = |read: &RegisterValue| {
            let Some(state) = state_of(&read.payload) else { return Change::Keep };
            match wanted(&state, &read.voters) {
                Wanted::Nothing => {
                    aim = Some((None, None));
                    Change::Keep
                }
                Wanted::State(state) => {
                    let payload = state.to_payload().unwrap_or_default();
                    aim = Some((Some(payload.clone()), None));
                    Change::Set(payload)
                }
                Wanted::Voters(voters) => {
                    aim = Some((None, Some(voters.clone())));
                    Change::Voters(voters)
                }
            }
        };
        let mut calls = FuturesUnordered::new();
        let call = |(ip, request)| async move { (ip, self.ask(ip, request, PATIENCE).await) };
        calls.extend(proposal.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => proposal.on_reply(ip, &reply, &mut change),
                None => proposal.on_failure(ip, &mut change),
            };
            match step {
                Step::Wait => {}
                Step::Send(requests) => calls.extend(requests.into_iter().map(call)),
                Step::Done(value) => {
                    let as_wanted = aim.as_ref().is_some_and(|(payload, voters)| {
                        payload.as_ref().is_none_or(|payload| *payload == value.value.payload)
                            && voters.as_ref().is_none_or(|voters| *voters == value.value.voters)
                    });
                    return Ended::Chosen(value, as_wanted);
                }
                Step::Lost { seen } => {
                    self.saw(seen);
                    return Ended::Lost;
                }
                Step::Failed => return Ended::Failed,
            }
        }
        Ended::Failed
    }

    async fn keep_polling(self: Rc<Self>) {
        let mut unsettled = None;
        loop {
            let at_once = self.clone().poll(&mut unsettled).await;
            self.polled.notify_waiters();
            if !at_once {
                let pause = POLL + self.host.draw() % 40;
                let _ = self.host.timeout(pause, self.poll_now.notified()).await;
            }
        }
    }

    async fn poll(self: Rc<Self>, unsettled: &mut Option<Unsettled>) -> bool {
        let Some(known) = self.known.borrow().clone().filter(|_| self.is_fit()) else { return false };
        let began = self.host.now();
        let mut learner = Learner::poll_round(&known.voters, self.feed.value().ballot);
        let (answers, mut answered) = mpsc::unbounded_channel();
        for (ip, request) in learner.outbox() {
            let (keeper, answers) = (self.clone(), answers.clone());
            self.host.spawn(async move {
                let reply = keeper.ask(ip, request, PATIENCE).await;
                let _ = answers.send((ip, reply));
            });
        }
        drop(answers);
        let (mut verdict, mut newest) = (Verdict::Failed, Ballot::default());
        while let Some((ip, reply)) = answered.recv().await {
            verdict = match reply {
                Some(RegisterReply::Polled { accepted, chosen }) => {
                    newest = newest.max(accepted.unwrap_or_default());
                    self.saw(newest);
                    learner.on_polled(ip, accepted, chosen)
                }
                _ => learner.on_failure(ip),
            };
            if verdict != Verdict::Wait {
                break;
            }
        }
        match verdict {
            Verdict::Fresh => {
                *unsettled = None;
                self.feed.confirm(began);
                false
            }
            Verdict::Behind { from, .. } => {
                for ip in from {
                    if let Some(RegisterReply::Fetched(Some(value))) =
                        self.ask(ip, RegisterRequest::Fetch, PATIENCE).await
                        && learner.confirms(&known, &value)
                    {
                        self.adopt(value);
                        return true;
                    }
                }
                self.settle(unsettled, newest).await
            }
            Verdict::Unsettled => self.settle(unsettled, newest).await,
            Verdict::Wait | Verdict::Failed => false,
        }
    }

    async fn settle(&self, unsettled: &mut Option<Unsettled>, newest: Ballot) -> bool {
        let waiting = unsettled.take().filter(|waiting| waiting.ballot == newest);
        let waiting = waiting.unwrap_or_else(|| Unsettled {
            ballot: newest,
            until: self.host.now() + Duration::from_millis(UNSETTLED + self.host.draw() % UNSETTLED),
        });
        if self.host.now() < waiting.until {
            *unsettled = Some(waiting);
            self.host.sleep(25 + self.host.draw() % 20).await;
        } else {
            self.change(500, |_| Wanted::Nothing).await;
        }
        true
    }

    async fn told_chosen(&self, others: &[Ipv4Addr]) -> Option<RegisterValue> {
        let asked = others.iter().map(|ip| async move {
            let poll = RegisterRequest::Poll { chosen: Ballot::default() };
            let polled = self.ask(*ip, poll, PATIENCE).await?;
            let fetched = self.ask(*ip, RegisterRequest::Fetch, PATIENCE).await?;
            config_register::told_chosen(&polled, &fetched)
        });
        join_all(asked).await.into_iter().flatten().max_by_key(|known| known.epoch)
    }

    async fn restore(&self) {
        let others: Vec<Ipv4Addr> = self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect();
        // With a chosen value to start from, a voter that is gone for good need not answer.
        let mut restore = match self.told_chosen(&others).await {
            Some(known) => Restore::start_from(self.me, self.next_ballot(), &known, &others),
            None => Restore::start(self.me, self.next_ballot(), &others),
        };
        let mut calls = FuturesUnordered::new();
        let call = |(ip, request)| async move { (ip, self.ask(ip, request, PATIENCE).await) };
        calls.extend(restore.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => restore.on_reply(ip, &reply),
                None => restore.on_failure(ip),
            };
            match step {
                RestoreStep::Wait => {}
                RestoreStep::Send(requests) => calls.extend(requests.into_iter().map(call)),
                RestoreStep::Lost { seen } => return self.saw(seen),
                RestoreStep::Failed => return,
                RestoreStep::Done(record) => {
                    self.put(&record).await;
                    self.saw(record.promised);
                    self.acceptor.borrow_mut().restore(record.clone());
                    if let Some(accepted) = record.accepted {
                        self.adopt(accepted);
                    }
                    return;
                }
            }
        }
    }
}

// Its duties.
impl Keeper {
    fn least_stores(&self) -> usize {
        control_duties::least_stores(self.host.losses())
    }

    async fn join_core(&self, ip: Ipv4Addr) -> Answer {
        self.heard.borrow_mut().insert(ip);
        if self.feed.value().voters.contains(&ip) {
            return Answer::Done;
        }
        let wanted = |_: &ControlState, voters: &[Ipv4Addr]| match voters.contains(&ip) {
            true => Wanted::Nothing,
            false => Wanted::Voters(voters.iter().copied().chain([ip]).collect()),
        };
        done(self.propose(CHANGE, wanted).await)
    }

    async fn join_storage(&self, store: Store) -> Answer {
        let least = self.least_stores();
        let known = self.feed.state();
        let admitted = {
            let mut stores = self.stores.borrow_mut();
            stores.observe(self.host.now_ms(), &known.roster, least);
            stores.heard(self.host.now_ms(), store.disk);
            stores.admits(&known.roster, &store)
        };
        if !admitted || control_duties::join(&known, &store, least).is_none() {
            return Answer::Done;
        }
        done(self.change(CHANGE, |state| control_duties::join(state, &store, least).into()).await)
    }

    async fn filled(&self, disk: u64, epoch: u64) -> Answer {
        self.stores.borrow_mut().heard(self.host.now_ms(), disk);
        let least = self.least_stores();
        done(self.change(CHANGE, |state| fill(state, Some(disk), epoch, &[], least).into()).await)
    }

    async fn keep_voting(self: Rc<Self>) {
        loop {
            if !self.is_fit() {
                self.restore().await;
            } else if !self.feed.value().voters.contains(&self.me) {
                self.ask_to_vote().await;
            }
            self.host.sleep(250 + self.host.draw() % 100).await;
        }
    }

    async fn ask_to_vote(&self) {
        let others: Vec<Ipv4Addr> = self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect();
        for ip in others {
            if let Some(Answer::Done) = self.host.call(ip, Call::JoinCore { ip: self.me }, 800).await {
                self.poll_now.notify_one();
                return;
            }
        }
    }

    async fn take_duty(&self) {
        let value = self.feed.value();
        let from: Option<Fence> = {
            let core = self.core.borrow();
            let now = self.host.now_ms();
            self.claim.borrow_mut().wants(now, &self.feed.state(), &value.voters, &core)
        };
        let Some(from) = from else { return };
        let wanted = |state: &ControlState| match self.host.breaks(Mutation::FenceNotChecked) {
            false => self.claim.borrow().taken(state, &from).into(),
            // Broken on purpose: whatever fence stands by now.
            true => {
                let mut state = state.clone();
                state
                    .fences
                    .insert(LIST.to_owned(), Fence { number: from.number + 1, holder: Some(self.me) });
                Wanted::State(state)
            }
        };
        if self.change(CHANGE, wanted).await
            && let Some(fence) = self.claim.borrow_mut().settle(&self.feed.state(), &from)
        {
            self.host.note(Fact::Holds { node: self.host.node, life: self.host.life, fence });
        }
    }

    async fn keep_duties(self: Rc<Self>) {
        let mut readings = Readings::default();
        let began = self.host.now_ms();
        loop {
            if !self.is_fresh() || self.host.now_ms() - began < 300 {
                self.host.sleep(100).await;
                continue;
            }
            let Some(fence) = self.holds_list() else {
                self.take_duty().await;
                if self.holds_list().is_none() {
                    self.host.sleep(200 + self.host.draw() % 50).await;
                }
                continue;
            };
            let asked = self.host.now_ms();
            self.host.sleep(2 + self.host.draw() % 40).await;
            let Some(endpoints) = self.host.world().map(|world| world.listed()) else { return };
            self.host.sleep(2 + self.host.draw() % 40).await;
            let list = readings.take(self.host.now_ms(), asked, fence, &self.feed.list(), endpoints);
            if let Some(list) = list {
                self.feed.learn_list(list);
            }
            let took = self.host.now_ms().saturating_sub(asked);
            self.host.sleep(times::READING.saturating_sub(took)).await;
        }
    }

    async fn keep_watch(self: Rc<Self>) {
        loop {
            self.observe();
            if self.stores.borrow().is_due(self.host.now_ms()) {
                self.look_at_stores().await;
                if self.is_fresh()
                    && let Some(fence) = self.holds_list()
                {
                    self.look_after_stores(fence).await;
                }
            }
            if self.is_fresh()
                && let Some(fence) = self.holds_list()
            {
                self.look_after_voters(fence).await;
            }
            self.host.sleep(times::LOOK_AGAIN).await;
        }
    }

    fn observe(&self) {
        let now = self.host.now_ms();
        self.core.borrow_mut().observe(now, &self.feed.value().voters);
        self.stores.borrow_mut().observe(now, &self.feed.state().roster, self.least_stores());
    }

    async fn look_at_stores(&self) {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut members = roster.current.clone();
        let further = control_duties::proposed(roster).iter().filter(|store| !roster.current.contains(store));
        members.extend(further.cloned());
        self.stores.borrow_mut().looks(self.host.now_ms());
        let calls = members.iter().map(|store| async move {
            let call = Call::Inspect { topic: "disk".to_owned() };
            let answer = self.host.call(store.ip, call, LOOK).await;
            let there = answer == Some(Answer::View(store.disk.to_string()));
            let mut stores = self.stores.borrow_mut();
            match there {
                true => stores.heard(self.host.now_ms(), store.disk),
                false => stores.missed(store.disk),
            }
        });
        join_all(calls).await;
    }

    async fn look_after_stores(&self, fence: u64) {
        self.observe();
        let state = self.feed.state();
        let epoch = state.roster.epoch;
        let least = self.least_stores();
        let step = self.stores.borrow().step(self.host.now_ms(), &state, self.host.losses());
        let still = |state: &ControlState| stands(state, LIST, self.me, fence);
        if step != RosterStep::Leave {
            let wanted = |state: &ControlState| match still(state) {
                true => step.applied(state, epoch, least).into(),
                false => Wanted::Nothing,
            };
            self.change(CHANGE, wanted).await;
        }
    }

    async fn look_after_voters(&self, fence: u64) {
        let gone = self.core.borrow().gone(self.host.now_ms(), &self.feed.value().voters);
        let Some((gone, _)) = gone else { return };
        let wanted = |state: &ControlState, voters: &[Ipv4Addr]| match stands(state, LIST, self.me, fence) {
            true => CoreWatch::without(voters, gone).map_or(Wanted::Nothing, Wanted::Voters),
            false => Wanted::Nothing,
        };
        self.propose(CHANGE, wanted).await;
    }

    async fn keep_following_list(self: Rc<Self>) {
        let holder = || self.feed.state().fences.get(LIST).and_then(|fence| fence.holder);
        loop {
            match holder() {
                Some(other) if other != self.me => {
                    follow_lists(&self.host, &self.feed, other, || holder() == Some(other)).await;
                }
                _ => {}
            }
            self.host.sleep(150).await;
        }
    }
}

fn done(done: bool) -> Answer {
    if done { Answer::Done } else { Answer::Unready }
}

/// Keepers by their process.
pub type Keepers = BTreeMap<usize, Rc<Keeper>>;

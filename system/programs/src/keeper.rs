//! A voter of the register: it answers proposers, proposes what operators and storage machines ask for, confirms what is
//! chosen, feeds agents, and has duties.

mod duties;
mod proposing;
mod record;

use crate::disk::Durable;
use crate::feed::{Feed, MOST_AGE, keep_beating};
use crate::members::Members;
use crate::operator::{self, Operations, Reply};
use crate::staff::Desk;
use crate::start::{Process, StartError, drawn, ended, listen};
use bytes::Bytes;
use config_register::{Acceptor, Pacing};
use control_duties::{ConfigVerdict, CoreWatch, DutyClaim, RosterWatch};
use fleet_membership::{Change, Role};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, ControlState, RegisterReply, RegisterRequest,
    RegisterValue, Store, TakenVersion,
};
use hyper::StatusCode;
use operator_config::{OperatorConfig, digest};
use peer_wire::{Handler, PeerClient, PeerServer, Pusher};
use proposing::Wanted;
use record::Beginning;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// An operator waits about a second for an answer: within this it gets one, if only that there is no majority.
const ANSWER_WITHIN: Duration = Duration::from_millis(850);

/// How many runs at the register this keeper has made, and how many of them were lost to those of others.
#[derive(Default)]
struct RunCounts {
    begun: Cell<u64>,
    lost: Cell<u64>,
}

/// A keeper.
pub struct Keeper {
    process: Rc<Process>,
    me: Ipv4Addr,
    feed: Rc<Feed>,
    acceptor: RefCell<Acceptor>,
    disk: Durable,
    /// Damages on disk that the start has found.
    damages: u64,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    /// How the core machines are.
    core: RefCell<CoreWatch>,
    /// Core machines that were heard of, voters or not.
    heard: RefCell<BTreeSet<Ipv4Addr>>,
    /// The newest value known to be chosen, with its voters' epoch.
    known: RefCell<Option<RegisterValue>>,
    /// Tells this life's ballots from those of others.
    life: u64,
    /// The highest ballot that was seen.
    highest: Cell<Ballot>,
    /// This life's claim to the duty of the list.
    claim: RefCell<DutyClaim>,
    /// One proposal at a time.
    proposing: Mutex<()>,
    /// When a run may begin beside those of others.
    pacing: RefCell<Pacing>,
    /// What its runs came to.
    runs: RunCounts,
    /// A poll is wanted now.
    poll_now: Notify,
    /// A poll has ended.
    polled: Notify,
    /// How the storage machines are.
    stores: RefCell<RosterWatch>,
    /// Answers staff.
    desk: OnceCell<Desk>,
}

impl Keeper {
    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let mut peers = self.peers.borrow_mut();
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        peers.entry(ip).or_insert_with(new).clone()
    }

    /// Asks a core machine, itself too, about the register.
    async fn ask(&self, ip: Ipv4Addr, request: RegisterRequest, patience: Duration) -> Option<RegisterReply> {
        self.core.borrow_mut().asks(self.process.now_ms());
        if ip == self.me {
            return self.answer_register(self.me, request).await;
        }
        match self.peer(ip).call(Call::Register(request), patience).await {
            Ok(Answer::Register(reply)) => {
                self.core.borrow_mut().heard(self.process.now_ms(), ip);
                Some(reply)
            }
            _ => None,
        }
    }

    /// The acceptor's part. What it has promised or accepted is on disk before the answer leaves.
    async fn answer_register(&self, from: Ipv4Addr, request: RegisterRequest) -> Option<RegisterReply> {
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
            self.listen(from, &request, &reply);
            (reply, acceptor.record().filter(|_| changed).cloned())
        };
        // What an answer tells of promise or value is synced before it is told, whoever's write it was.
        let synced = match record {
            Some(record) => self.disk.put(&record).await,
            None => self.disk.settled().await,
        };
        if let Err(e) = synced {
            // An answer without the disk would be a promise that may be forgotten.
            log::error!("the acceptor's record was not written: {e}");
            std::process::exit(1);
        }
        if let Some(chosen) = told {
            self.learn_chosen(from, chosen);
        }
        Some(reply)
    }

    /// Takes note of another's run that was let pass here.
    fn listen(&self, from: Ipv4Addr, request: &RegisterRequest, reply: &RegisterReply) {
        let ballot = match request {
            RegisterRequest::Prepare(ballot) => *ballot,
            RegisterRequest::Accept(offered) => offered.ballot,
            _ => return,
        };
        if from != self.me && !matches!(reply, RegisterReply::Refused(_)) {
            self.pacing.borrow_mut().hears(self.process.now_ms(), ballot);
        }
    }

    /// A ballot is known to be chosen: its value is here, or the one that says so has it.
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

    /// Takes a chosen value.
    fn adopt(&self, accepted: AcceptedValue) {
        self.acceptor.borrow_mut().learn_value(&accepted);
        self.pacing.borrow_mut().learns_chosen(accepted.ballot);
        if accepted.ballot < self.feed.value().ballot {
            return;
        }
        *self.known.borrow_mut() = Some(accepted.value.clone());
        let before = (self.feed.state().version(), self.feed.value().voters.clone());
        let voters = accepted.value.voters.clone();
        self.heard.borrow_mut().extend(voters.iter().copied());
        let learned = self.feed.learn_value(ChosenValue {
            ballot: accepted.ballot,
            voters: voters.clone(),
            payload: accepted.value.payload,
        });
        if learned && (self.feed.state().version(), &voters) != (before.0, &before.1) {
            log::info!("configuration {}, voters {voters:?}", self.feed.state().version());
        }
    }

    /// Whether a majority confirmed lately what is known here.
    fn is_fresh(&self) -> bool {
        self.feed.age().is_some_and(|age| age < MOST_AGE)
    }

    /// Waits until what is known here is confirmed as of now.
    async fn confirm_now(&self, within: Duration) -> bool {
        let asked = Instant::now();
        let confirmed = async {
            while self.feed.fresh_at().is_none_or(|at| at < asked) {
                let polled = self.polled.notified();
                self.poll_now.notify_one();
                polled.await;
                if self.feed.fresh_at().is_none_or(|at| at < asked) {
                    sleep(Duration::from_millis(10)).await;
                }
            }
        };
        timeout(within, confirmed).await.is_ok()
    }
}

impl Keeper {
    /// Takes part in the membership, which tells of core machines too, and has a desk for staff.
    fn take_part(self: &Rc<Self>) -> Result<(), StartError> {
        let keeper = Rc::downgrade(self);
        let hear = move |change: &Change| {
            if let (Change::Joined(member), Some(keeper)) = (change, keeper.upgrade())
                && member.role == Role::Core
            {
                keeper.heard.borrow_mut().insert(member.ip);
            }
        };
        let members = Members::start(self.process.clone(), self.feed.clone(), Role::Core, hear)?;
        // Set once, at the start.
        let _ =
            self.desk.set(Desk::new(self.process.clone(), self.feed.clone(), Some(members), "config-keeper"));
        Ok(())
    }

    /// Answers staff, also without a majority.
    fn inspect(&self, topic: &str) -> Answer {
        let Some(desk) = self.desk.get() else { return Answer::Unready };
        desk.answer(topic, |figures| {
            let votes = self.acceptor.borrow().record().is_some();
            figures.gauge("config_keeper_fit_to_vote", f64::from(u8::from(votes)));
            figures.gauge("config_keeper_damages_found", self.damages as f64);
            figures.gauge("config_keeper_fresh", f64::from(u8::from(self.is_fresh())));
            figures.gauge("config_keeper_core_machines_heard", self.heard.borrow().len() as f64);
            let holds =
                self.feed.state().fences.values().filter(|fence| fence.holder == Some(self.me)).count();
            figures.gauge("config_keeper_duties", holds as f64);
            let tolerance = self.process.settings().fault_tolerance.machines;
            let borne = control_duties::LossesBorne::of(&self.feed.state().roster, tolerance);
            figures.gauge("config_keeper_storage_losses_to_bear", tolerance as f64);
            figures.gauge("config_keeper_storage_losses_borne", borne.served as f64);
            figures.gauge("config_keeper_storage_losses_survived", borne.survived as f64);
            figures.counter("config_keeper_runs_total", self.runs.begun.get());
            figures.counter("config_keeper_runs_lost_total", self.runs.lost.get());
        })
    }
}

impl Handler for Keeper {
    async fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        let from = match from {
            SocketAddr::V4(from) => *from.ip(),
            SocketAddr::V6(_) => return Answer::Unready,
        };
        match call {
            Call::Register(request) => match self.answer_register(from, request).await {
                Some(reply) => Answer::Register(reply),
                None => Answer::Unready,
            },
            Call::Subscribe { .. } => {
                self.feed.subscribe(&call, self.process.settings().peer_port(), false, pusher)
            }
            Call::JoinCore { ip } => self.join_core(ip).await,
            Call::JoinStorage { store } => self.join_storage(store).await,
            Call::Filled { disk, epoch } => self.filled(disk, epoch).await,
            Call::Inspect { topic } => self.inspect(&topic),
            _ => Answer::Unready,
        }
    }
}

impl Operations for Keeper {
    async fn put_config(&self, expected: Option<u64>, body: Bytes) -> Reply {
        let config = match OperatorConfig::read(&body) {
            Ok(config) => config,
            Err(findings) => return Reply::new(StatusCode::BAD_REQUEST, findings.to_json()),
        };
        let Some(expected) = expected else {
            return Reply::new(StatusCode::BAD_REQUEST, r#"{"error":"If-Match: names no version"}"#);
        };
        let taken = TakenVersion { version: config.version, digest: digest(&body) };
        let verdict: Cell<Option<ConfigVerdict>> = Cell::new(None);
        let done = self
            .change(ANSWER_WITHIN, |state| {
                let (wanted, judged) = control_duties::put_config(state, expected, &taken, &body);
                verdict.set(Some(judged));
                wanted.into()
            })
            .await;
        match (done, verdict.take()) {
            (true, Some(ConfigVerdict::Taken)) => {
                Reply::new(StatusCode::OK, format!(r#"{{"version":{}}}"#, taken.version))
            }
            (true, Some(ConfigVerdict::OtherVersion(current))) => Reply::new(
                StatusCode::PRECONDITION_FAILED,
                format!(r#"{{"error":"current version","version":{current}}}"#),
            ),
            (true, Some(ConfigVerdict::NotAbove)) => {
                let place = r#"[{"place":"version","what":"is not above the current one"}]"#;
                Reply::new(StatusCode::BAD_REQUEST, place)
            }
            _ => Reply::unavailable(),
        }
    }

    async fn config(&self) -> Reply {
        if !self.confirm_now(ANSWER_WITHIN).await {
            return Reply::unavailable();
        }
        let state = self.feed.state();
        match state.version() {
            0 => Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no configuration yet"}"#),
            _ => Reply::new(StatusCode::OK, state.config.clone()),
        }
    }

    async fn retire(&self, name: &str) -> Reply {
        let least = self.least_stores();
        let verdict = Cell::new(None);
        let done = self
            .change(ANSWER_WITHIN, |state| {
                let (wanted, judged) = control_duties::retire(state, name, least);
                verdict.set(Some(judged));
                wanted.into()
            })
            .await;
        match (done, verdict.take()) {
            (true, Some(verdict)) => duties::retire_reply(verdict, least),
            _ => Reply::unavailable(),
        }
    }

    async fn retiring(&self, name: &str) -> Reply {
        if !self.confirm_now(ANSWER_WITHIN).await {
            return Reply::unavailable();
        }
        let verdict = control_duties::retire_state(&self.feed.state(), name);
        duties::retire_reply(verdict, self.least_stores())
    }
}

/// Runs until the process is to end.
pub async fn run(process: Rc<Process>) -> Result<(), StartError> {
    let settings = process.settings();
    let control = settings
        .listen_addresses
        .control_plane
        .ok_or(StartError::Lacking("listen_addresses.control_plane"))?;
    let folder = settings.data_directory.clone().ok_or(StartError::Lacking("data_directory"))?;
    let seeds = process.seeds();
    let me = settings.ip_address;
    let record::Opened { durable: disk, beginning, damages } =
        record::open(&folder, settings.first_start, me, &seeds)?;
    let acceptor = match beginning {
        Beginning::Kept(record) => Acceptor::new(record),
        Beginning::First(record) => {
            disk.put(&record).await.map_err(|e| StartError::Disk(e.to_string()))?;
            Acceptor::new(record)
        }
        Beginning::Unfit => {
            log::warn!("no record on the disk: no vote before the others have told what they hold");
            Acceptor::unfit()
        }
    };
    let record = acceptor.record().cloned();
    let known = record.as_ref().and_then(|record| record.settled.clone());
    let heard = known.iter().flat_map(|known| known.voters.clone()).chain(seeds).chain([me]).collect();
    let keeper = Rc::new(Keeper {
        process: process.clone(),
        me,
        feed: Rc::new(Feed::default()),
        acceptor: RefCell::new(acceptor),
        disk,
        damages,
        peers: RefCell::default(),
        core: RefCell::new(CoreWatch::new(me)),
        heard: RefCell::new(heard),
        known: RefCell::new(known),
        life: drawn() & 0xffff,
        highest: Cell::new(record.map_or(Ballot::default(), |record| record.promised)),
        claim: RefCell::new(DutyClaim::new(duties::LIST, me)),
        proposing: Mutex::new(()),
        pacing: RefCell::default(),
        runs: RunCounts::default(),
        poll_now: Notify::new(),
        polled: Notify::new(),
        stores: RefCell::default(),
        desk: OnceCell::new(),
    });
    keeper.take_part()?;
    let peers = listen(SocketAddrV4::new(me, settings.peer_port())).await?;
    let server = PeerServer::new(process.fleet(), keeper.clone());
    spawn_local(async move { server.serve(peers).await });
    spawn_local(keep_beating(keeper.feed.clone()));
    spawn_local(keeper.clone().keep_polling());
    spawn_local(keeper.clone().keep_voting());
    spawn_local(keeper.clone().keep_duties());
    spawn_local(keeper.clone().keep_watch());
    spawn_local(keeper.clone().keep_following_list());
    let operators = listen(control).await?;
    spawn_local(operator::serve(operators, keeper.clone()));
    ended(&process).await;
    // What is half way ends; nothing else depends on this process.
    sleep(Duration::from_millis(300 + drawn() % 50)).await;
    Ok(())
}

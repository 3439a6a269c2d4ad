//! An edge machine in the simulated world: an agent that relays the feed, and a proxy that takes turns to the storage machines
//! as the program does it, without its memory of chains: each chain is read.

use super::Mutation;
use super::history::{Fact, Told};
use super::runtime::{Feed, follow, follow_one, run_heartbeats};
use super::world::{Answering, Host, PORT};
use bytes::Bytes;
use fleet_model::{Answer, Call, Reservation, StorageNode, Turn, rendezvous_rank};
use futures_util::future::join;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use turn_store::{
    AccountReplicas, NodePreference, copies_needed, copy_order, has_copies, is_surely_absent,
    merge_reservations,
};

const CALL_TIMEOUT_MS: u64 = 300;
const DOWN: u64 = 1_500;
const HEDGE: u64 = 70;
const GRACE: u64 = 6;
const TRY_FOR: u64 = 1_500;
const KEEP_FOR: u64 = 3_500;
const AGAIN: u64 = 25;
/// Tokens that a turn may be handed at most.
pub const MOST: u32 = 10;

/// Starts an agent's life.
pub fn start_agent(host: &Host) -> Rc<Feed> {
    let feed = Feed::new(host.clone());
    if let Some(world) = host.world() {
        let serving = feed.clone();
        let handler = move |_, call: Call, pusher: Option<super::world::Pusher>| {
            let feed = serving.clone();
            Box::pin(async move {
                match (&call, pusher) {
                    (Call::Subscribe { .. }, Some(pusher)) => feed.subscribe(&call, true, pusher),
                    _ => Answer::NotReady,
                }
            }) as Answering
        };
        world.serve(host, Rc::new(handler));
    }
    host.spawn(follow(feed.clone(), false));
    host.spawn(run_heartbeats(feed.clone()));
    feed
}

/// What a turn comes to for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnEnd {
    /// It was answered whole.
    Whole,
    /// 402.
    Spent,
    /// 404: there is no such turn before it.
    NoSuchTurn,
    /// 503, or broken off.
    Failed,
}

/// A turn that a client asks for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Its program.
    pub program: String,
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn before it.
    pub previous: Option<String>,
    /// What the program may be handed.
    pub budget: u32,
}

enum Round<T> {
    Done(T),
    Again,
}

enum Reserve {
    Granted,
    Spent,
}

enum Chain {
    Text(Vec<Bytes>),
    NoSuchTurn,
    Unavailable,
}

/// A proxy's life.
pub struct Proxy {
    host: Host,
    /// What it goes by.
    pub feed: Rc<Feed>,
    down: RefCell<BTreeMap<u64, u64>>,
}

/// Tokens reserved for an attempt; settled with what was handed out when it is dropped.
struct Reserved {
    proxy: Rc<Proxy>,
    wish: Wish,
    handed: u32,
    settled: bool,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if !self.settled {
            self.proxy.settle(&self.wish, self.handed);
        }
    }
}

fn reservation(attempt: &str, tokens: u32) -> Reservation {
    Reservation { attempt: rendezvous_rank(attempt.as_bytes(), 0), tokens }
}

impl Proxy {
    /// Starts a life.
    pub fn start(host: &Host) -> Rc<Self> {
        let feed = Feed::new(host.clone());
        let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT);
        host.spawn(follow_one(feed.clone(), agent));
        Rc::new(Self { host: host.clone(), feed, down: RefCell::default() })
    }

    /// Its process.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Takes a turn from a client.
    pub async fn turn(self: Rc<Self>, wish: Wish) -> TurnEnd {
        let mut reserved = Reserved { proxy: self.clone(), wish: wish.clone(), handed: 0, settled: false };
        let chain = async {
            match &wish.previous {
                Some(previous) => self.chain(previous).await,
                None => Chain::Text(Vec::new()),
            }
        };
        let (granted, chain) = join(self.reserve(&wish), chain).await;
        match granted {
            Some(Reserve::Granted) => {}
            Some(Reserve::Spent) => {
                reserved.settled = true;
                self.settle(&wish, 0);
                return TurnEnd::Spent;
            }
            None => return TurnEnd::Failed,
        }
        match chain {
            Chain::Text(_) => {}
            Chain::NoSuchTurn => return TurnEnd::NoSuchTurn,
            Chain::Unavailable => return TurnEnd::Failed,
        }
        // The endpoint's events reach the client as they come.
        let generated = 1 + self.host.draw() as u32 % MOST;
        for _ in 0..generated {
            self.host.sleep(2 + self.host.draw() % 15).await;
            reserved.handed += 1;
            self.host.note(Fact::Handed { program: wish.program.clone(), tokens: 1 });
        }
        let input = Bytes::from(format!("{}?", wish.attempt));
        let output = Bytes::from(format!("{}!{generated};", wish.attempt));
        let turn = Turn {
            attempt: wish.attempt.clone(),
            previous: wish.previous.clone(),
            input,
            output,
            retention_ms: 60_000,
            replicas: Vec::new(),
        };
        if self.rounds(KEEP_FOR, async || self.keep_round(&turn).await).await.is_none() {
            return TurnEnd::Failed;
        }
        reserved.settled = true;
        self.settle(&wish, generated);
        let text = [&turn.input[..], &turn.output[..]].concat();
        self.host.note(Fact::Whole {
            attempt: wish.attempt.clone(),
            previous: wish.previous.clone(),
            text: String::from_utf8_lossy(&text).into_owned(),
        });
        TurnEnd::Whole
    }

    async fn ask(&self, store: &StorageNode, call: Call, patience: u64) -> Option<Answer> {
        let answer = self.host.call(store.ip, call, patience).await;
        let mut down = self.down.borrow_mut();
        match &answer {
            Some(_) => drop(down.remove(&store.disk)),
            None => drop(down.insert(store.disk, self.host.now_ms())),
        }
        answer
    }

    fn is_down(&self, store: &StorageNode) -> bool {
        self.down.borrow().get(&store.disk).is_some_and(|at| self.host.now_ms() - at < DOWN)
    }

    async fn rounds<T>(&self, time: u64, mut round: impl AsyncFnMut() -> Round<T>) -> Option<T> {
        let began = self.host.now_ms();
        loop {
            if let Round::Done(done) = round().await {
                return Some(done);
            }
            if self.host.now_ms() - began + AGAIN > time {
                return None;
            }
            self.host.sleep(AGAIN).await;
        }
    }

    async fn reserve(&self, wish: &Wish) -> Option<Reserve> {
        self.rounds(TRY_FOR, async || self.reserve_round(wish).await).await
    }

    async fn reserve_round(&self, wish: &Wish) -> Round<Reserve> {
        let state = self.feed.state();
        let roster = &state.roster;
        let Some(holders) = AccountReplicas::for_program(roster, &wish.program, self.host.losses()) else {
            return Round::Again;
        };
        let epoch = roster.epoch;
        let reservation = reservation(&wish.attempt, MOST);
        let write = |_: &StorageNode| Call::Reserve { epoch, program: wish.program.clone(), reservation };
        let Some((written, all)) = self.at_majority(&holders, write, true).await else { return Round::Again };
        let mut account = match all {
            true => written,
            false => {
                let read = |_: &StorageNode| Call::ReadAccount { epoch, program: wish.program.clone() };
                let Some((mut account, _)) = self.at_majority(&holders.current_only(), read, false).await
                else {
                    return Round::Again;
                };
                let written = written.into_iter();
                let written = written.map(|(attempt, tokens)| Reservation { attempt, tokens });
                merge_reservations(&mut account, written);
                account
            }
        };
        if self.host.breaks(Mutation::UnsettledNotCounted) {
            // Broken on purpose: what others have reserved and not settled.
            account.retain(|attempt, tokens| *attempt == reservation.attempt || *tokens < MOST);
        }
        let sum: u64 = account.values().map(|tokens| u64::from(*tokens)).sum();
        Round::Done(if sum <= u64::from(wish.budget) { Reserve::Granted } else { Reserve::Spent })
    }

    async fn at_majority(
        &self,
        holders: &AccountReplicas<'_>,
        call: impl Fn(&StorageNode) -> Call,
        wait_for_all: bool,
    ) -> Option<(BTreeMap<u64, u32>, bool)> {
        let mut calls: FuturesUnordered<_> = holders
            .all()
            .map(|store| async { (store.disk, self.ask(store, call(store), CALL_TIMEOUT_MS).await) })
            .collect();
        let (mut account, mut answered) = (BTreeMap::new(), BTreeSet::new());
        loop {
            let enough = holders.is_quorum(&answered);
            let all = holders.current.iter().all(|store| answered.contains(&store.disk));
            if enough && (all || !wait_for_all) {
                return Some((account, all));
            }
            let next = match enough {
                true => self.host.timeout(GRACE, calls.next()).await.flatten(),
                false => calls.next().await,
            };
            match next {
                Some((disk, Some(Answer::Account(reservations)))) => {
                    answered.insert(disk);
                    if holders.current.iter().any(|store| store.disk == disk) {
                        merge_reservations(&mut account, reservations);
                    }
                }
                Some(_) => {}
                None if enough => return Some((account, false)),
                None => return None,
            }
        }
    }

    /// Reads a turn and all before it, and tells the history what came.
    pub async fn look_up(&self, attempt: &str) -> Told {
        let begun = self.host.world().map_or(0, |world| world.elapsed_ms());
        let told = match self.chain_of(attempt).await {
            Chain::Text(pieces) => {
                let whole: Vec<u8> = pieces.iter().rev().flat_map(|piece| piece.to_vec()).collect();
                Told::Text(rendezvous_rank(&whole, 0))
            }
            Chain::NoSuchTurn => Told::NoSuchTurn,
            Chain::Unavailable => Told::Unavailable,
        };
        self.host.note(Fact::Asked { begun, attempt: attempt.to_owned(), told: told.clone() });
        told
    }

    async fn chain(&self, previous: &str) -> Chain {
        match self.look_up(previous).await {
            Told::Text(_) => Chain::Text(Vec::new()),
            Told::NoSuchTurn => Chain::NoSuchTurn,
            Told::Unavailable => Chain::Unavailable,
        }
    }

    async fn chain_of(&self, previous: &str) -> Chain {
        let mut pieces: Vec<Bytes> = Vec::new();
        let mut wanted = previous.to_owned();
        loop {
            match self.rounds(TRY_FOR, async || self.find_round(&wanted).await).await {
                Some(Some((text, missing))) => {
                    pieces.push(text);
                    match missing {
                        Some(missing) => wanted = missing,
                        None => return Chain::Text(pieces),
                    }
                }
                Some(None) if pieces.is_empty() => return Chain::NoSuchTurn,
                _ => return Chain::Unavailable,
            }
        }
    }

    async fn find_round(&self, attempt: &str) -> Round<Option<(Bytes, Option<String>)>> {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
        stores.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
        let call = || Call::ReadChain { epoch: roster.epoch, attempt: attempt.to_owned() };
        let mut surely_not: BTreeSet<u64> = BTreeSet::new();
        let zone = &self.host.machine.zone;
        let (near, far): (Vec<&StorageNode>, Vec<&StorageNode>) =
            stores.into_iter().partition(|store| store.zone == *zone && !self.is_down(store));
        for (stores, patience) in [(near, HEDGE), (far, CALL_TIMEOUT_MS)] {
            let mut calls: FuturesUnordered<_> = stores
                .into_iter()
                .map(|store| async { (store.disk, self.ask(store, call(), patience).await) })
                .collect();
            while let Some((disk, answer)) = calls.next().await {
                match answer {
                    Some(Answer::Chain { text, missing }) => return Round::Done(Some((text, missing))),
                    Some(Answer::Absent { complete: true }) => drop(surely_not.insert(disk)),
                    _ => {}
                }
            }
        }
        match is_surely_absent(roster, &surely_not, self.host.losses()) {
            true => Round::Done(None),
            false => Round::Again,
        }
    }

    async fn keep_round(&self, turn: &Turn) -> Round<()> {
        let state = self.feed.state();
        let roster = &state.roster;
        let zone = &self.host.machine.zone;
        // Broken on purpose: one copy less.
        let short = usize::from(self.host.breaks(Mutation::CopiesOneShort));
        let copies = self.host.losses() + 1 - short;
        let stores = copy_order(roster, |store| NodePreference {
            is_down: self.is_down(store),
            is_remote: store.zone != *zone,
            rank: !rendezvous_rank(turn.attempt.as_bytes(), store.disk),
        });
        let Some(first) = copies_needed(roster, &stores, copies) else { return Round::Again };
        let keep = async |store: &StorageNode, holders: Vec<u64>| {
            let call =
                Call::StoreTurn { epoch: roster.epoch, turn: Turn { replicas: holders, ..turn.clone() } };
            (store.disk, self.ask(store, call, CALL_TIMEOUT_MS).await)
        };
        let mut waiting = stores.iter().copied();
        let mut calls: FuturesUnordered<_> =
            waiting.by_ref().take(first.len()).map(|store| keep(store, first.clone())).collect();
        let mut kept: BTreeSet<u64> = BTreeSet::new();
        while !has_copies(roster, &kept, copies) {
            match self.host.timeout(HEDGE, calls.next()).await {
                Some(Some((disk, Some(Answer::Done)))) => drop(kept.insert(disk)),
                Some(Some(_)) | None => match waiting.next() {
                    Some(store) => calls.push(keep(store, first.clone())),
                    None if calls.is_empty() => return Round::Again,
                    None => {}
                },
                Some(None) => return Round::Again,
            }
        }
        if first.iter().all(|disk| kept.contains(disk)) {
            return Round::Done(());
        }
        let holders: Vec<u64> = kept.iter().copied().collect();
        let named: FuturesUnordered<_> = stores
            .iter()
            .filter(|store| kept.contains(&store.disk))
            .map(|store| keep(store, holders.clone()))
            .collect();
        let named: Vec<_> = named.collect().await;
        match named.iter().all(|(_, answer)| matches!(answer, Some(Answer::Done))) {
            true => Round::Done(()),
            false => Round::Again,
        }
    }

    fn settle(self: &Rc<Self>, wish: &Wish, tokens: u32) {
        let (proxy, program) = (self.clone(), wish.program.clone());
        let reservation = reservation(&wish.attempt, tokens);
        self.host.spawn(async move {
            for _ in 0..2 {
                let state = proxy.feed.state();
                let Some(holders) =
                    AccountReplicas::for_program(&state.roster, &program, proxy.host.losses())
                else {
                    return;
                };
                let epoch = state.roster.epoch;
                let call = |_: &StorageNode| Call::Settle { epoch, program: program.clone(), reservation };
                let calls: FuturesUnordered<_> =
                    holders.all().map(|store| proxy.ask(store, call(store), CALL_TIMEOUT_MS)).collect();
                let answers: Vec<_> = calls.collect().await;
                if answers.iter().all(|answer| matches!(answer, Some(Answer::Done | Answer::Account(_)))) {
                    return;
                }
                proxy.host.sleep(150).await;
            }
        });
    }
}

//! A proxy's way to the storage machines: accounts written at a quorum of their holders, turns at as many machines as
//! the loss of all but one is to be borne.

use crate::feed::Feed;
use crate::start::Process;
use bytes::{Bytes, BytesMut};
use fleet_model::{Answer, Call, Reservation, StorageNode, Turn, rendezvous_rank};
use futures_util::stream::{FuturesUnordered, StreamExt};
use peer_wire::{CallFailure, PeerClient};
use request_forwarding::{ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};
use turn_store::{
    AccountReplicas, NodePreference, copies_needed, copy_order, has_copies, is_surely_absent,
    merge_reservations,
};

/// Longest time for one call.
const PATIENCE: Duration = Duration::from_millis(300);
/// How long a machine that did not answer comes last.
const DOWN: Duration = Duration::from_millis(1_500);
/// Without an answer for so long, another machine is asked as well.
const HEDGE: Duration = Duration::from_millis(70);
/// How long the last of an account's holders are waited for, once a quorum has written.
const GRACE: Duration = Duration::from_millis(6);
/// How long a reservation, a chain or a turn is tried.
const TRY_FOR: Duration = Duration::from_millis(1_500);
/// How long a turn whose stream has ended is tried: its client waits for the end.
const KEEP_FOR: Duration = Duration::from_millis(3_500);
/// Pause before a round is tried again: about the time in which a change of the roster gets round.
const AGAIN: Duration = Duration::from_millis(25);
/// Bytes of chains kept in memory.
const MOST_CACHED: usize = 3 * 1024 * 1024;

/// Chains lately read or written, whole, by the turn that ends them; those unused longest give way.
#[derive(Default)]
struct ChainCache {
    texts: HashMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
}

impl ChainCache {
    fn get(&mut self, attempt: &str) -> Option<Bytes> {
        self.texts.get(attempt).cloned()
    }

    fn put(&mut self, attempt: &str, text: Bytes) {
        if text.len() > MOST_CACHED / 4 || self.texts.contains_key(attempt) {
            return;
        }
        self.bytes += text.len();
        self.texts.insert(attempt.to_owned(), text);
        self.order.push_back(attempt.to_owned());
        while self.bytes > MOST_CACHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.texts.remove(&oldest).map_or(0, |text| text.len());
        }
    }
}

/// Counts of what was asked of the storage machines.
#[derive(Default)]
pub struct TurnFigures {
    /// Reservations granted at once by all holders.
    pub at_once: Cell<u64>,
    /// Reservations that took a second round.
    pub second_round: Cell<u64>,
    /// Turns kept.
    pub kept: Cell<u64>,
    /// Turns that could not be kept in time.
    pub not_kept: Cell<u64>,
    /// Chains found in memory.
    pub remembered: Cell<u64>,
    /// Chains read from machines.
    pub read: Cell<u64>,
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The storage machines, as a proxy reaches them.
pub struct TurnClient {
    process: Rc<Process>,
    feed: Rc<Feed>,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    down: RefCell<HashMap<u64, Instant>>,
    cache: RefCell<ChainCache>,
    /// What was counted.
    pub figures: TurnFigures,
}

enum Round<T> {
    Done(T),
    /// The roster is changing, or too few answered: again.
    Again,
}

enum Found {
    Piece(Bytes, Option<String>),
    Nowhere,
}

impl TurnClient {
    /// Over what `feed` tells of the roster.
    pub fn new(process: Rc<Process>, feed: Rc<Feed>) -> Rc<Self> {
        Rc::new(Self {
            process,
            feed,
            peers: RefCell::default(),
            down: RefCell::default(),
            cache: RefCell::default(),
            figures: TurnFigures::default(),
        })
    }

    fn losses(&self) -> usize {
        self.process.settings().fault_tolerance.machines
    }

    async fn ask(&self, store: &StorageNode, call: Call, patience: Duration) -> Result<Answer, CallFailure> {
        let address = self.process.peer(store.ip);
        let peer = self
            .peers
            .borrow_mut()
            .entry(store.ip)
            .or_insert_with(|| Rc::new(PeerClient::new(address, self.process.fleet(), None)))
            .clone();
        let answer = peer.call(call, patience).await;
        let mut down = self.down.borrow_mut();
        match &answer {
            Ok(_) => drop(down.remove(&store.disk)),
            Err(_) => drop(down.insert(store.disk, Instant::now())),
        }
        answer
    }

    fn is_down(&self, store: &StorageNode) -> bool {
        self.down.borrow().get(&store.disk).is_some_and(|at| at.elapsed() < DOWN)
    }

    /// Tries rounds until one is done or the time is over.
    async fn rounds<T>(&self, time: Duration, mut round: impl AsyncFnMut() -> Round<T>) -> Option<T> {
        let began = Instant::now();
        loop {
            if let Round::Done(done) = round().await {
                return Some(done);
            }
            if began.elapsed() + AGAIN > time {
                return None;
            }
            sleep(AGAIN).await;
        }
    }

    async fn reserve_round(
        &self,
        program: &str,
        reservation: Reservation,
        budget: u32,
    ) -> Round<ReserveOutcome> {
        let state = self.feed.state();
        let roster = &state.roster;
        let Some(holders) = AccountReplicas::for_program(roster, program, self.losses()) else {
            return Round::Again;
        };
        let write =
            |_: &StorageNode| Call::Reserve { epoch: roster.epoch, program: program.to_owned(), reservation };
        let Some((written, all)) = self.at_quorum(&holders, write, true).await else { return Round::Again };
        let account = match all {
            true => {
                more(&self.figures.at_once);
                written
            }
            // Someone may have written between: who reads after its own write sees all that were written before it.
            false => {
                more(&self.figures.second_round);
                let read =
                    |_: &StorageNode| Call::ReadAccount { epoch: roster.epoch, program: program.to_owned() };
                let Some((mut account, _)) = self.at_quorum(&holders.current_only(), read, false).await
                else {
                    return Round::Again;
                };
                merge_reservations(
                    &mut account,
                    written.into_iter().map(|(attempt, tokens)| Reservation { attempt, tokens }),
                );
                account
            }
        };
        let sum: u64 = account.values().map(|tokens| u64::from(*tokens)).sum();
        Round::Done(if sum <= u64::from(budget) {
            ReserveOutcome::Granted
        } else {
            ReserveOutcome::BudgetExhausted
        })
    }

    /// Calls all holders and waits for a quorum of the current ones and of the next ones; what the current ones know
    /// of the account, and whether all of them answered.
    async fn at_quorum(
        &self,
        holders: &AccountReplicas<'_>,
        call: impl Fn(&StorageNode) -> Call,
        wait_for_all: bool,
    ) -> Option<(BTreeMap<u64, u32>, bool)> {
        let mut calls: FuturesUnordered<_> = holders
            .all()
            .map(|store| async { (store.disk, self.ask(store, call(store), PATIENCE).await) })
            .collect();
        let (mut account, mut answered) = (BTreeMap::new(), BTreeSet::new());
        loop {
            let enough = holders.is_quorum(&answered);
            let all = holders.current.iter().all(|store| answered.contains(&store.disk));
            if enough && (all || !wait_for_all) {
                return Some((account, all));
            }
            let next = match enough {
                true => timeout(GRACE, calls.next()).await.ok().flatten(),
                false => calls.next().await,
            };
            match next {
                Some((disk, Ok(Answer::Account(reservations)))) => {
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

    async fn find_round(&self, attempt: &str) -> Round<Found> {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut stores: Vec<&StorageNode> = roster.current.iter().collect();
        stores.extend(roster.next.iter().flatten().filter(|store| !roster.current.contains(store)));
        let zone = self.process.settings().zone.clone();
        let call = || Call::ReadChain { epoch: roster.epoch, attempt: attempt.to_owned() };
        let mut surely_not: BTreeSet<u64> = BTreeSet::new();
        let (near, far): (Vec<&StorageNode>, Vec<&StorageNode>) =
            stores.into_iter().partition(|store| store.zone == zone && !self.is_down(store));
        for (stores, patience) in [(near, HEDGE), (far, PATIENCE)] {
            let mut calls: FuturesUnordered<_> = stores
                .into_iter()
                .map(|store| async { (store.disk, self.ask(store, call(), patience).await) })
                .collect();
            while let Some((disk, answer)) = calls.next().await {
                match answer {
                    Ok(Answer::Chain { text, missing }) => return Round::Done(Found::Piece(text, missing)),
                    Ok(Answer::Absent { complete: true }) => drop(surely_not.insert(disk)),
                    _ => {}
                }
            }
        }
        match is_surely_absent(roster, &surely_not, self.losses()) {
            true => Round::Done(Found::Nowhere),
            false => Round::Again,
        }
    }

    async fn keep_round(&self, turn: &CompletedTurn) -> Round<()> {
        let state = self.feed.state();
        let roster = &state.roster;
        let zone = self.process.settings().zone.clone();
        let copies = self.losses() + 1;
        let stores = copy_order(roster, |store| NodePreference {
            is_down: self.is_down(store),
            is_remote: store.zone != zone,
            rank: !rendezvous_rank(turn.attempt.as_bytes(), store.disk),
        });
        let Some(first) = copies_needed(roster, &stores, copies) else { return Round::Again };
        let record = |holders: Vec<u64>| Turn {
            attempt: turn.attempt.clone(),
            previous: turn.previous.clone(),
            input: turn.input.clone(),
            output: turn.output.clone(),
            retention_ms: turn.retention_ms,
            replicas: holders,
        };
        let keep = async |store: &StorageNode, holders: Vec<u64>| {
            let call = Call::StoreTurn { epoch: roster.epoch, turn: record(holders) };
            (store.disk, self.ask(store, call, PATIENCE).await)
        };
        let mut waiting = stores.iter().copied();
        let mut calls: FuturesUnordered<_> =
            waiting.by_ref().take(first.len()).map(|store| keep(store, first.clone())).collect();
        let mut kept: BTreeSet<u64> = BTreeSet::new();
        while !has_copies(roster, &kept, copies) {
            match timeout(HEDGE, calls.next()).await {
                Ok(Some((disk, Ok(Answer::Done)))) => drop(kept.insert(disk)),
                Ok(Some(_)) | Err(_) => match waiting.next() {
                    Some(store) => calls.push(keep(store, first.clone())),
                    None if calls.is_empty() => return Round::Again,
                    None => {}
                },
                Ok(None) => return Round::Again,
            }
        }
        let holders: Vec<u64> = kept.iter().copied().collect();
        if first.iter().all(|disk| kept.contains(disk)) {
            return Round::Done(());
        }
        // Each copy has to name the machines that do hold it: by that the others know what to hand over.
        let named: FuturesUnordered<_> = stores
            .iter()
            .filter(|store| kept.contains(&store.disk))
            .map(|store| keep(store, holders.clone()))
            .collect();
        let named: Vec<_> = named.collect().await;
        match named.iter().all(|(_, answer)| matches!(answer, Ok(Answer::Done))) {
            true => Round::Done(()),
            false => Round::Again,
        }
    }

    async fn settle_everywhere(&self, program: &str, reservation: Reservation) {
        // A count that gets lost leaves the try at its most: the account holds all the same. Twice is enough.
        for _ in 0..2 {
            let state = self.feed.state();
            let Some(holders) = AccountReplicas::for_program(&state.roster, program, self.losses()) else {
                return;
            };
            let epoch = state.roster.epoch;
            let call = |_: &StorageNode| Call::Settle { epoch, program: program.to_owned(), reservation };
            let calls: FuturesUnordered<_> =
                holders.all().map(|store| self.ask(store, call(store), PATIENCE)).collect();
            let answers: Vec<_> = calls.collect().await;
            if answers.iter().all(|answer| matches!(answer, Ok(Answer::Done | Answer::Account(_)))) {
                return;
            }
            sleep(Duration::from_millis(150)).await;
        }
    }
}

fn reservation(attempt: &str, tokens: u32) -> Reservation {
    Reservation { attempt: rendezvous_rank(attempt.as_bytes(), 0), tokens }
}

/// What a proxy's forwarder holds of the storage machines.
pub struct Turns(pub Rc<TurnClient>);

impl TurnStorage for Turns {
    async fn reserve(&self, program: &str, attempt: &str, most: u32, budget: u32) -> ReserveOutcome {
        let round = async || self.0.reserve_round(program, reservation(attempt, most), budget).await;
        let reserved = self.0.rounds(TRY_FOR, round).await.unwrap_or(ReserveOutcome::Unavailable);
        if matches!(reserved, ReserveOutcome::BudgetExhausted) {
            // Whatever was written of it stands for nothing; the forwarder says so of the other ends itself.
            self.settle(program, attempt, 0);
        }
        reserved
    }

    fn settle(&self, program: &str, attempt: &str, tokens: u32) {
        let (client, program, reservation) =
            (self.0.clone(), program.to_owned(), reservation(attempt, tokens));
        tokio::task::spawn_local(async move { client.settle_everywhere(&program, reservation).await });
    }

    async fn chain(&self, previous: &str) -> ChainLookup {
        let mut pieces: Vec<Bytes> = Vec::new();
        let mut wanted = previous.to_owned();
        loop {
            let known = self.0.cache.borrow_mut().get(&wanted);
            if let Some(text) = known {
                more(&self.0.figures.remembered);
                pieces.push(text);
                break;
            }
            more(&self.0.figures.read);
            match self.0.rounds(TRY_FOR, async || self.0.find_round(&wanted).await).await {
                Some(Found::Piece(text, missing)) => {
                    pieces.push(text);
                    match missing {
                        Some(missing) => wanted = missing,
                        None => break,
                    }
                }
                Some(Found::Nowhere) if pieces.is_empty() => return ChainLookup::NotFound,
                _ => return ChainLookup::Unavailable,
            }
        }
        let whole = match pieces.as_slice() {
            [one] => one.clone(),
            several => {
                let mut whole = BytesMut::new();
                several.iter().rev().for_each(|piece| whole.extend_from_slice(piece));
                whole.freeze()
            }
        };
        self.0.cache.borrow_mut().put(previous, whole.clone());
        ChainLookup::Text(whole)
    }

    async fn store_turn(&self, turn: CompletedTurn) -> bool {
        let kept = self.0.rounds(KEEP_FOR, async || self.0.keep_round(&turn).await).await.is_some();
        more(if kept { &self.0.figures.kept } else { &self.0.figures.not_kept });
        if kept {
            self.settle(&turn.program, &turn.attempt, turn.tokens);
            let mut cache = self.0.cache.borrow_mut();
            let before = match &turn.previous {
                Some(previous) => cache.get(previous),
                None => Some(Bytes::new()),
            };
            if let Some(before) = before {
                let mut whole = BytesMut::with_capacity(before.len() + turn.input.len() + turn.output.len());
                whole.extend_from_slice(&before);
                whole.extend_from_slice(&turn.input);
                whole.extend_from_slice(&turn.output);
                cache.put(&turn.attempt, whole.freeze());
            }
        }
        kept
    }
}

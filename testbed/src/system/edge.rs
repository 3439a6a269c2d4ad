//! A simulated edge machine: an agent that relays the state feed, and a proxy that stores turns on the storage nodes as the
//! program does, but without its prefix cache: each chain is read.

use super::Mutation;
use super::cluster::{AnswerFuture, Host, PORT};
use super::history::{Fact, LookupResult};
use super::runtime::{Feed, follow, follow_one, run_heartbeats};
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
const UNHEALTHY_FOR_MS: u64 = 1_500;
const HEDGE_DELAY_MS: u64 = 70;
const STRAGGLER_GRACE_MS: u64 = 6;
const RETRY_DEADLINE_MS: u64 = 1_500;
const STORE_DEADLINE_MS: u64 = 3_500;
const RETRY_INTERVAL_MS: u64 = 25;
/// Maximum tokens of one turn.
pub const MAX_TURN_TOKENS: u32 = 10;

/// Starts an incarnation of an agent.
pub fn start_agent(host: &Host) -> Rc<Feed> {
    let feed = Feed::new(host.clone());
    if let Some(cluster) = host.cluster() {
        let serving = feed.clone();
        let handler = move |_, call: Call, pusher: Option<super::cluster::Pusher>| {
            let feed = serving.clone();
            Box::pin(async move {
                match (&call, pusher) {
                    (Call::Subscribe { .. }, Some(pusher)) => feed.subscribe(&call, true, pusher),
                    _ => Answer::NotReady,
                }
            }) as AnswerFuture
        };
        cluster.serve(host, Rc::new(handler));
    }
    host.spawn(follow(feed.clone(), false));
    host.spawn(run_heartbeats(feed.clone()));
    feed
}

/// The outcome of a turn for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnEnd {
    /// It was answered completely.
    Completed,
    /// 402.
    Spent,
    /// 404: the previous turn does not exist.
    NoSuchTurn,
    /// 503, or the response was cut short.
    Failed,
}

/// A client's request for a turn.
#[derive(Clone, Debug)]
pub struct TurnRequest {
    /// Its program.
    pub program: String,
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// The turn before it.
    pub previous: Option<String>,
    /// The program's token budget.
    pub budget: u32,
}

enum Round<T> {
    Done(T),
    Retry,
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

/// An incarnation of a proxy.
pub struct Proxy {
    host: Host,
    /// Its state from the feed.
    pub feed: Rc<Feed>,
    unhealthy_since: RefCell<BTreeMap<u64, u64>>,
}

/// Tokens reserved for an attempt; settled on drop with the number of tokens served.
struct ReservationGuard {
    proxy: Rc<Proxy>,
    request: TurnRequest,
    handed: u32,
    settled: bool,
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.proxy.settle(&self.request, self.handed);
        }
    }
}

fn reservation(attempt: &str, tokens: u32) -> Reservation {
    Reservation { attempt: rendezvous_rank(attempt.as_bytes(), 0), tokens }
}

impl Proxy {
    /// Starts an incarnation of the proxy.
    pub fn start(host: &Host) -> Rc<Self> {
        let feed = Feed::new(host.clone());
        let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT);
        host.spawn(follow_one(feed.clone(), agent));
        Rc::new(Self { host: host.clone(), feed, unhealthy_since: RefCell::default() })
    }

    /// The host of its process.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Serves a client's turn.
    pub async fn turn(self: Rc<Self>, request: TurnRequest) -> TurnEnd {
        let mut guard =
            ReservationGuard { proxy: self.clone(), request: request.clone(), handed: 0, settled: false };
        let chain = async {
            match &request.previous {
                Some(previous) => self.chain(previous).await,
                None => Chain::Text(Vec::new()),
            }
        };
        let (granted, chain) = join(self.reserve(&request), chain).await;
        match granted {
            Some(Reserve::Granted) => {}
            Some(Reserve::Spent) => {
                guard.settled = true;
                self.settle(&request, 0);
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
        let generated = 1 + self.host.random_u64() as u32 % MAX_TURN_TOKENS;
        for _ in 0..generated {
            self.host.sleep(2 + self.host.random_u64() % 15).await;
            guard.handed += 1;
            self.host.record(Fact::Handed { program: request.program.clone(), tokens: 1 });
        }
        let input = Bytes::from(format!("{}?", request.attempt));
        let output = Bytes::from(format!("{}!{generated};", request.attempt));
        let turn = Turn {
            attempt: request.attempt.clone(),
            previous: request.previous.clone(),
            input,
            output,
            retention_ms: 60_000,
            replicas: Vec::new(),
        };
        if self.retry_rounds(STORE_DEADLINE_MS, async || self.store_round(&turn).await).await.is_none() {
            return TurnEnd::Failed;
        }
        guard.settled = true;
        self.settle(&request, generated);
        let text = [&turn.input[..], &turn.output[..]].concat();
        self.host.record(Fact::Completed {
            attempt: request.attempt.clone(),
            previous: request.previous.clone(),
            text: String::from_utf8_lossy(&text).into_owned(),
        });
        TurnEnd::Completed
    }

    async fn call_store(&self, store: &StorageNode, call: Call, timeout_ms: u64) -> Option<Answer> {
        let answer = self.host.call(store.ip, call, timeout_ms).await;
        let mut unhealthy_since = self.unhealthy_since.borrow_mut();
        match &answer {
            Some(_) => drop(unhealthy_since.remove(&store.disk)),
            None => drop(unhealthy_since.insert(store.disk, self.host.now_ms())),
        }
        answer
    }

    fn is_unhealthy(&self, store: &StorageNode) -> bool {
        self.unhealthy_since
            .borrow()
            .get(&store.disk)
            .is_some_and(|at| self.host.now_ms() - at < UNHEALTHY_FOR_MS)
    }

    async fn retry_rounds<T>(&self, deadline_ms: u64, mut round: impl AsyncFnMut() -> Round<T>) -> Option<T> {
        let started_at = self.host.now_ms();
        loop {
            if let Round::Done(done) = round().await {
                return Some(done);
            }
            if self.host.now_ms() - started_at + RETRY_INTERVAL_MS > deadline_ms {
                return None;
            }
            self.host.sleep(RETRY_INTERVAL_MS).await;
        }
    }

    async fn reserve(&self, request: &TurnRequest) -> Option<Reserve> {
        self.retry_rounds(RETRY_DEADLINE_MS, async || self.reserve_round(request).await).await
    }

    async fn reserve_round(&self, request: &TurnRequest) -> Round<Reserve> {
        let state = self.feed.state();
        let roster = &state.roster;
        let Some(replicas) = AccountReplicas::for_program(roster, &request.program, self.host.tolerance())
        else {
            return Round::Retry;
        };
        let epoch = roster.epoch;
        let reservation = reservation(&request.attempt, MAX_TURN_TOKENS);
        let write = |_: &StorageNode| Call::Reserve { epoch, program: request.program.clone(), reservation };
        let Some((written, all)) = self.at_majority(&replicas, write, true).await else {
            return Round::Retry;
        };
        let mut account = match all {
            true => written,
            false => {
                let read = |_: &StorageNode| Call::ReadAccount { epoch, program: request.program.clone() };
                let Some((mut account, _)) = self.at_majority(&replicas.current_only(), read, false).await
                else {
                    return Round::Retry;
                };
                let written = written.into_iter();
                let written = written.map(|(attempt, tokens)| Reservation { attempt, tokens });
                merge_reservations(&mut account, written);
                account
            }
        };
        if self.host.breaks(Mutation::UnsettledNotCounted) {
            // Mutation: ignores unsettled reservations of other attempts.
            account.retain(|attempt, tokens| *attempt == reservation.attempt || *tokens < MAX_TURN_TOKENS);
        }
        let sum: u64 = account.values().map(|tokens| u64::from(*tokens)).sum();
        Round::Done(if sum <= u64::from(request.budget) { Reserve::Granted } else { Reserve::Spent })
    }

    async fn at_majority(
        &self,
        replicas: &AccountReplicas<'_>,
        call: impl Fn(&StorageNode) -> Call,
        wait_for_all: bool,
    ) -> Option<(BTreeMap<u64, u32>, bool)> {
        let mut calls: FuturesUnordered<_> = replicas
            .all()
            .map(|store| async { (store.disk, self.call_store(store, call(store), CALL_TIMEOUT_MS).await) })
            .collect();
        let (mut account, mut answered) = (BTreeMap::new(), BTreeSet::new());
        loop {
            let has_quorum = replicas.is_quorum(&answered);
            let all = replicas.current.iter().all(|store| answered.contains(&store.disk));
            if has_quorum && (all || !wait_for_all) {
                return Some((account, all));
            }
            let next = match has_quorum {
                true => self.host.timeout(STRAGGLER_GRACE_MS, calls.next()).await.flatten(),
                false => calls.next().await,
            };
            match next {
                Some((disk, Some(Answer::Account(reservations)))) => {
                    answered.insert(disk);
                    if replicas.current.iter().any(|store| store.disk == disk) {
                        merge_reservations(&mut account, reservations);
                    }
                }
                Some(_) => {}
                None if has_quorum => return Some((account, false)),
                None => return None,
            }
        }
    }

    /// Reads a turn and its predecessors, and records the result.
    pub async fn look_up(&self, attempt: &str) -> LookupResult {
        let started_at = self.host.cluster().map_or(0, |cluster| cluster.elapsed_ms());
        let result = match self.chain_of(attempt).await {
            Chain::Text(chunks) => {
                let text: Vec<u8> = chunks.iter().rev().flat_map(|chunk| chunk.to_vec()).collect();
                LookupResult::Text(rendezvous_rank(&text, 0))
            }
            Chain::NoSuchTurn => LookupResult::NoSuchTurn,
            Chain::Unavailable => LookupResult::Unavailable,
        };
        self.host.record(Fact::LookedUp { started_at, attempt: attempt.to_owned(), result: result.clone() });
        result
    }

    async fn chain(&self, previous: &str) -> Chain {
        match self.look_up(previous).await {
            LookupResult::Text(_) => Chain::Text(Vec::new()),
            LookupResult::NoSuchTurn => Chain::NoSuchTurn,
            LookupResult::Unavailable => Chain::Unavailable,
        }
    }

    async fn chain_of(&self, previous: &str) -> Chain {
        let mut chunks: Vec<Bytes> = Vec::new();
        let mut wanted = previous.to_owned();
        loop {
            match self.retry_rounds(RETRY_DEADLINE_MS, async || self.find_round(&wanted).await).await {
                Some(Some((text, missing))) => {
                    chunks.push(text);
                    match missing {
                        Some(missing) => wanted = missing,
                        None => return Chain::Text(chunks),
                    }
                }
                Some(None) if chunks.is_empty() => return Chain::NoSuchTurn,
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
        let mut surely_absent: BTreeSet<u64> = BTreeSet::new();
        let zone = &self.host.machine.zone;
        let (local, remote): (Vec<&StorageNode>, Vec<&StorageNode>) =
            stores.into_iter().partition(|store| store.zone == *zone && !self.is_unhealthy(store));
        for (stores, timeout_ms) in [(local, HEDGE_DELAY_MS), (remote, CALL_TIMEOUT_MS)] {
            let mut calls: FuturesUnordered<_> = stores
                .into_iter()
                .map(|store| async { (store.disk, self.call_store(store, call(), timeout_ms).await) })
                .collect();
            while let Some((disk, answer)) = calls.next().await {
                match answer {
                    Some(Answer::Chain { text, missing, .. }) => return Round::Done(Some((text, missing))),
                    Some(Answer::Absent { complete: true }) => drop(surely_absent.insert(disk)),
                    _ => {}
                }
            }
        }
        match is_surely_absent(roster, &surely_absent, self.host.tolerance()) {
            true => Round::Done(None),
            false => Round::Retry,
        }
    }

    async fn store_round(&self, turn: &Turn) -> Round<()> {
        let state = self.feed.state();
        let roster = &state.roster;
        let zone = &self.host.machine.zone;
        // Mutation: one replica too few.
        let missing_copies = usize::from(self.host.breaks(Mutation::CopiesOneShort));
        let copies = self.host.tolerance() + 1 - missing_copies;
        let stores = copy_order(roster, |store| NodePreference {
            is_down: self.is_unhealthy(store),
            is_remote: store.zone != *zone,
            rank: !rendezvous_rank(turn.attempt.as_bytes(), store.disk),
        });
        let Some(preferred) = copies_needed(roster, &stores, copies) else { return Round::Retry };
        let store_copy = async |store: &StorageNode, replicas: Vec<u64>| {
            let turn = Turn { replicas, ..turn.clone() };
            let call = Call::StoreTurn { epoch: roster.epoch, turn, served_by: None };
            (store.disk, self.call_store(store, call, CALL_TIMEOUT_MS).await)
        };
        let mut waiting = stores.iter().copied();
        let mut calls: FuturesUnordered<_> = waiting
            .by_ref()
            .take(preferred.len())
            .map(|store| store_copy(store, preferred.clone()))
            .collect();
        let mut stored: BTreeSet<u64> = BTreeSet::new();
        while !has_copies(roster, &stored, copies) {
            match self.host.timeout(HEDGE_DELAY_MS, calls.next()).await {
                Some(Some((disk, Some(Answer::Done)))) => drop(stored.insert(disk)),
                Some(Some(_)) | None => match waiting.next() {
                    Some(store) => calls.push(store_copy(store, preferred.clone())),
                    None if calls.is_empty() => return Round::Retry,
                    None => {}
                },
                Some(None) => return Round::Retry,
            }
        }
        if preferred.iter().all(|disk| stored.contains(disk)) {
            return Round::Done(());
        }
        let replicas: Vec<u64> = stored.iter().copied().collect();
        let named: FuturesUnordered<_> = stores
            .iter()
            .filter(|store| stored.contains(&store.disk))
            .map(|store| store_copy(store, replicas.clone()))
            .collect();
        let named: Vec<_> = named.collect().await;
        match named.iter().all(|(_, answer)| matches!(answer, Some(Answer::Done))) {
            true => Round::Done(()),
            false => Round::Retry,
        }
    }

    fn settle(self: &Rc<Self>, request: &TurnRequest, tokens: u32) {
        let (proxy, program) = (self.clone(), request.program.clone());
        let reservation = reservation(&request.attempt, tokens);
        self.host.spawn(async move {
            for _ in 0..2 {
                let state = proxy.feed.state();
                let Some(replicas) =
                    AccountReplicas::for_program(&state.roster, &program, proxy.host.tolerance())
                else {
                    return;
                };
                let epoch = state.roster.epoch;
                let call = |_: &StorageNode| Call::Settle { epoch, program: program.clone(), reservation };
                let calls: FuturesUnordered<_> = replicas
                    .all()
                    .map(|store| proxy.call_store(store, call(store), CALL_TIMEOUT_MS))
                    .collect();
                let answers: Vec<_> = calls.collect().await;
                if answers.iter().all(|answer| matches!(answer, Some(Answer::Done | Answer::Account(_)))) {
                    return;
                }
                proxy.host.sleep(150).await;
            }
        });
    }
}

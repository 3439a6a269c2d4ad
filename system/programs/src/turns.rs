//! A proxy's way to the storage machines: accounts written at a quorum of their holders, turns at as many machines as
//! the loss of all but one is to be borne.

mod chain_cache;
mod hedged_read;
mod quorum;
mod store;

use crate::feed::Feed;
use crate::process::Process;
use bytes::{Bytes, BytesMut};
use chain_cache::ChainCache;
use fleet_model::{Answer, Call, Reservation, StorageNode, rendezvous_rank};
use peer_wire::{CallFailure, PeerClient};
use request_forwarding::{ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest time for one call.
const PATIENCE: Duration = Duration::from_millis(300);
/// How long a machine that did not answer comes last.
const DOWN: Duration = Duration::from_millis(1_500);
/// Without an answer for so long, another machine is asked as well.
const HEDGE: Duration = Duration::from_millis(70);
/// How long a reservation, a chain or a turn is tried.
const TRY_FOR: Duration = Duration::from_millis(1_500);
/// How long a turn whose stream has ended is tried: its client waits for the end.
const KEEP_FOR: Duration = Duration::from_millis(3_500);
/// Pause before a round is tried again: about the time in which a change of the roster gets round.
const AGAIN: Duration = Duration::from_millis(25);

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

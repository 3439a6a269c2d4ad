//! Client of the storage nodes, used by a proxy: accounts are written at a quorum of their replicas (`quorum`), turns at
//! `fault_tolerance.machines` + 1 nodes (`store`), chains are read with hedged requests (`hedged_read`).

mod chain_cache;
mod hedged_read;
mod quorum;
mod store;

use crate::feed::Feed;
use crate::process::Process;
use bytes::{Bytes, BytesMut};
use chain_cache::ChainCache;
use fleet_model::{Answer, Call, Reservation, StorageNode, rendezvous_rank};
use peer_wire::{CallFailure, CallLimits, ClientFrameMemory, FrameMemory, PeerClient};
use request_forwarding::{Chain, ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a node that did not answer is ordered last.
const UNRESPONSIVE_PENALTY: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a hedged request is sent to another node.
const HEDGE_DELAY: Duration = Duration::from_millis(70);
/// Total time for the attempts of a reservation or of a chain read.
const RESERVE_DEADLINE: Duration = Duration::from_millis(1_500);
/// Total time for the attempts to store a completed turn, while its client waits for the end of the stream.
const STORE_DEADLINE: Duration = Duration::from_millis(3_500);
/// Delay between two attempts: about the time in which a roster change reaches all processes.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Counters of requests to the storage nodes.
#[derive(Default)]
pub struct TurnMetrics {
    /// Reservations for which all replicas answered the write.
    pub granted_in_one_round: Cell<u64>,
    /// Reservations that needed a read after the write.
    pub granted_after_read: Cell<u64>,
    /// Turns stored.
    pub stored: Cell<u64>,
    /// Turns that could not be stored in time.
    pub failed_stores: Cell<u64>,
    /// Chains found in memory.
    pub cached_chains: Cell<u64>,
    /// Chains read from machines.
    pub read: Cell<u64>,
}

/// Turns over this length, in bytes, wait for memory before they are sent to storage nodes.
const LARGE_TURN_BYTES: usize = 64 * 1024;
/// Share of the process's memory for the copies of large turns that are being sent.
const LARGE_TURN_MEMORY_SHARE: f64 = 0.0625;

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Client of the storage nodes, with open connections and the chain cache.
pub struct TurnClient {
    process: Rc<Process>,
    feed: Rc<Feed>,
    peers: RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>,
    unresponsive_since: RefCell<HashMap<u64, Instant>>,
    cache: RefCell<ChainCache>,
    /// Memory for the copies of large turns until they are stored.
    large_turns: FrameMemory,
    /// Memory for large calls to storage nodes, and for large answers.
    large_frames: ClientFrameMemory,
    /// Counters of its requests.
    pub metrics: TurnMetrics,
}

enum Round<T> {
    Done(T),
    /// The roster is changing, or too few nodes answered.
    Retry,
}

/// The part of a chain that one storage node has.
struct ChainSegment {
    text: Bytes,
    /// The turn before it, if there is one that the node does not store.
    missing: Option<String>,
    /// The endpoint that served its last turn.
    served_by: Option<Arc<str>>,
}

enum ChainRead {
    Segment(ChainSegment),
    Absent,
}

impl TurnClient {
    /// Creates a client that follows the roster of `feed`.
    pub fn new(process: Rc<Process>, feed: Rc<Feed>) -> Rc<Self> {
        let large_turn_bytes = (process.settings().limits.memory_mb * 1e6 * LARGE_TURN_MEMORY_SHARE) as usize;
        Rc::new(Self {
            process,
            feed,
            peers: RefCell::default(),
            unresponsive_since: RefCell::default(),
            cache: RefCell::default(),
            large_turns: FrameMemory::limited(large_turn_bytes),
            large_frames: ClientFrameMemory::limited(large_turn_bytes),
            metrics: TurnMetrics::default(),
        })
    }

    fn losses(&self) -> usize {
        self.process.settings().fault_tolerance.machines
    }

    async fn call_node(
        &self,
        store: &StorageNode,
        call: Call,
        timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        let address = self.process.peer(store.ip);
        let peer = self
            .peers
            .borrow_mut()
            .entry(store.ip)
            .or_insert_with(|| Rc::new(self.new_peer(address)))
            .clone();
        let answer = peer.call(call, timeout).await;
        let mut unresponsive_since = self.unresponsive_since.borrow_mut();
        match &answer {
            Ok(_) => drop(unresponsive_since.remove(&store.disk)),
            Err(_) => drop(unresponsive_since.insert(store.disk, Instant::now())),
        }
        answer
    }

    fn is_unresponsive(&self, store: &StorageNode) -> bool {
        self.unresponsive_since
            .borrow()
            .get(&store.disk)
            .is_some_and(|at| at.elapsed() < UNRESPONSIVE_PENALTY)
    }

    /// Waits for the memory that sending a turn takes: a copy for each storage node. Small turns take none.
    async fn reserve_memory(&self, turn: &CompletedTurn) -> Option<OwnedSemaphorePermit> {
        let length = turn.input.len() + turn.output.len();
        let copies = if length <= LARGE_TURN_BYTES { 0 } else { self.losses() + 1 };
        self.large_turns.reserve(length.saturating_mul(copies)).await
    }

    fn new_peer(&self, address: SocketAddrV4) -> PeerClient {
        let (fleet, limits) = (self.process.fleet(), CallLimits::default());
        PeerClient::with_frame_memory(address, fleet, None, limits, self.large_frames.clone())
    }

    /// Repeats an attempt until it completes or the deadline has passed.
    async fn retry_until<T>(&self, time: Duration, mut round: impl AsyncFnMut() -> Round<T>) -> Option<T> {
        let began = Instant::now();
        loop {
            if let Round::Done(done) = round().await {
                return Some(done);
            }
            if began.elapsed() + RETRY_INTERVAL > time {
                return None;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

fn reservation(attempt: &str, tokens: u32) -> Reservation {
    Reservation { attempt: rendezvous_rank(attempt.as_bytes(), 0), tokens }
}

/// The [`TurnStorage`] of a proxy's forwarder.
pub struct Turns(pub Rc<TurnClient>);

impl TurnStorage for Turns {
    async fn reserve(&self, program: &str, attempt: &str, max_tokens: u32, budget: u32) -> ReserveOutcome {
        let round = async || self.0.try_reserve(program, reservation(attempt, max_tokens), budget).await;
        let reserved =
            self.0.retry_until(RESERVE_DEADLINE, round).await.unwrap_or(ReserveOutcome::Unavailable);
        if matches!(reserved, ReserveOutcome::BudgetExhausted) {
            // The reservation may be written at some replicas: it is settled with zero tokens. Other ends are settled by the forwarder.
            self.settle(program, attempt, 0);
        }
        reserved
    }

    fn settle(&self, program: &str, attempt: &str, tokens: u32) {
        let (client, program, reservation) =
            (self.0.clone(), program.to_owned(), reservation(attempt, tokens));
        tokio::task::spawn_local(async move { client.settle_at_replicas(&program, reservation).await });
    }

    async fn chain(&self, previous: &str) -> ChainLookup {
        let mut segments: Vec<Bytes> = Vec::new();
        let mut served_by = None;
        let mut wanted = previous.to_owned();
        loop {
            let known = self.0.cache.borrow_mut().get(&wanted);
            if let Some(chain) = known {
                increment(&self.0.metrics.cached_chains);
                if segments.is_empty() {
                    return ChainLookup::Found(chain);
                }
                segments.push(chain.text);
                break;
            }
            increment(&self.0.metrics.read);
            match self.0.retry_until(RESERVE_DEADLINE, async || self.0.try_read_chain(&wanted).await).await {
                Some(ChainRead::Segment(segment)) => {
                    if segments.is_empty() {
                        served_by = segment.served_by;
                    }
                    segments.push(segment.text);
                    match segment.missing {
                        Some(missing) => wanted = missing,
                        None => break,
                    }
                }
                Some(ChainRead::Absent) if segments.is_empty() => return ChainLookup::NotFound,
                _ => return ChainLookup::Unavailable,
            }
        }
        let text = match segments.as_slice() {
            [one] => one.clone(),
            several => {
                let mut text = BytesMut::new();
                several.iter().rev().for_each(|segment| text.extend_from_slice(segment));
                text.freeze()
            }
        };
        let chain = Chain { text, served_by };
        self.0.cache.borrow_mut().put(previous, chain.clone());
        ChainLookup::Found(chain)
    }

    async fn store_turn(&self, turn: CompletedTurn) -> bool {
        let _memory = self.0.reserve_memory(&turn).await;
        let stored =
            self.0.retry_until(STORE_DEADLINE, async || self.0.try_store_turn(&turn).await).await.is_some();
        increment(if stored { &self.0.metrics.stored } else { &self.0.metrics.failed_stores });
        if stored {
            self.settle(&turn.program, &turn.attempt, turn.tokens);
            let mut cache = self.0.cache.borrow_mut();
            let before = match &turn.previous {
                Some(previous) => cache.get(previous),
                None => Some(Chain::default()),
            };
            if let Some(Chain { text: before, .. }) = before {
                let mut text = BytesMut::with_capacity(before.len() + turn.input.len() + turn.output.len());
                text.extend_from_slice(&before);
                text.extend_from_slice(&turn.input);
                text.extend_from_slice(&turn.output);
                cache.put(&turn.attempt, Chain { text: text.freeze(), served_by: turn.served_by });
            }
        }
        stored
    }
}

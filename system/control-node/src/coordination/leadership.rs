//! The state of a leader: requests pending for its next round, and the state of the other replicas.

use fleet_model::{
    Ballot, CommitPosition, CoordinationAnswer, CoordinationCommand, CoordinationOutcome, CoordinationQuery,
    LogRequest, ReplicaId,
};
use replicated_log::KnownReplica;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Maximum number of pending commands; more are rejected as overload.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// Maximum number of pending reads; more are rejected as overload.
const MAX_PENDING_READS: usize = 4_096;
/// Maximum number of commands in one slot.
const MAX_BATCH_COMMANDS: usize = 256;
/// A replica whose last reply is at most this old counts as responsive.
const RESPONSIVE_DURATION: Duration = Duration::from_millis(1_000);

/// A command that is waiting for its outcome, or a read that is waiting for a quorum to confirm the leader.
pub(super) struct PendingRequest<T> {
    pub(super) request: T,
    answer: oneshot::Sender<CoordinationAnswer>,
}

impl<T> PendingRequest<T> {
    fn new(request: T) -> (Self, oneshot::Receiver<CoordinationAnswer>) {
        let (answer, received) = oneshot::channel();
        (Self { request, answer }, received)
    }

    pub(super) fn resolve(self, answer: CoordinationAnswer) {
        // Sending fails if the caller has stopped waiting, which is harmless.
        let _ = self.answer.send(answer);
    }
}

/// The state of the replica at an address, as known to the leader.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    replica: ReplicaId,
    replied_at: Duration,
    has_watchers: bool,
    is_catching_up: bool,
}

/// One term of leadership: from winning a campaign until a higher ballot, a resignation or the loss of the quorum.
pub(super) struct Leadership {
    pub(super) ballot: Ballot,
    pub(super) started_at: Duration,
    is_ready: Cell<bool>,
    is_deposed: Cell<bool>,
    is_resigning: Cell<bool>,
    commands: RefCell<VecDeque<PendingRequest<CoordinationCommand>>>,
    reads: RefCell<Vec<PendingRequest<CoordinationQuery>>>,
    peers: RefCell<BTreeMap<Ipv4Addr, PeerState>>,
    /// The last slot that this leader has committed.
    pub(super) committed: Cell<CommitPosition>,
    /// The last slot that this node's replica has applied, as far as this leader knows. The replica is ahead of it if another
    /// leader has committed slots.
    pub(super) applied: Cell<u64>,
    /// When the last request was sent to all members.
    pub(super) last_broadcast_at: Cell<Duration>,
    /// When the last command or read arrived.
    pub(super) last_used_at: Cell<Duration>,
    /// Notified when a request is queued, and when the leadership ends.
    pub(super) wake: Notify,
}

impl Leadership {
    /// Creates the state after winning a campaign. `applied` is the last slot before those that this leader decides.
    pub(super) fn new(ballot: Ballot, applied: u64, now: Duration) -> Self {
        Self {
            ballot,
            started_at: now,
            is_ready: Cell::new(false),
            is_deposed: Cell::new(false),
            is_resigning: Cell::new(false),
            commands: RefCell::default(),
            reads: RefCell::default(),
            peers: RefCell::default(),
            committed: Cell::default(),
            applied: Cell::new(applied),
            last_broadcast_at: Cell::new(now),
            last_used_at: Cell::new(now),
            wake: Notify::new(),
        }
    }

    /// Whether the leader accepts requests: its first entry is chosen and its leadership is not ending.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready.get() && !self.is_deposed.get() && !self.is_resigning.get()
    }

    pub(super) fn set_ready(&self) {
        self.is_ready.set(true);
    }

    pub(super) fn is_deposed(&self) -> bool {
        self.is_deposed.get()
    }

    /// Ends the leadership, because a higher ballot was seen or no quorum responds.
    pub(super) fn depose(&self) {
        self.is_deposed.set(true);
        self.wake.notify_one();
    }

    /// Stops accepting requests; the current round is completed.
    pub(super) fn resign(&self) {
        self.is_resigning.set(true);
        self.wake.notify_one();
    }

    pub(super) fn is_resigning(&self) -> bool {
        self.is_resigning.get()
    }

    /// A heartbeat that announces the committed slot.
    pub(super) fn heartbeat(&self) -> LogRequest {
        LogRequest::Heartbeat { ballot: self.ballot, committed: self.committed.get() }
    }

    /// Queues a command for the next round; `None` if too many are pending.
    pub(super) fn push_command(
        &self,
        command: CoordinationCommand,
    ) -> Option<oneshot::Receiver<CoordinationAnswer>> {
        let mut commands = self.commands.borrow_mut();
        if commands.len() >= MAX_PENDING_COMMANDS {
            return None;
        }
        let (pending, received) = PendingRequest::new(command);
        commands.push_back(pending);
        self.wake.notify_one();
        Some(received)
    }

    /// Queues a read for the next round; `None` if too many are pending.
    pub(super) fn push_read(
        &self,
        query: CoordinationQuery,
    ) -> Option<oneshot::Receiver<CoordinationAnswer>> {
        let mut reads = self.reads.borrow_mut();
        if reads.len() >= MAX_PENDING_READS {
            return None;
        }
        let (pending, received) = PendingRequest::new(query);
        reads.push(pending);
        self.wake.notify_one();
        Some(received)
    }

    /// Removes the commands of the next slot from the queue. Commands whose callers have stopped waiting are dropped.
    pub(super) fn dequeue_commands(&self) -> Vec<PendingRequest<CoordinationCommand>> {
        let mut commands = self.commands.borrow_mut();
        commands.retain(|pending| !pending.answer.is_closed());
        let count = commands.len().min(MAX_BATCH_COMMANDS);
        commands.drain(..count).collect()
    }

    pub(super) fn dequeue_reads(&self) -> Vec<PendingRequest<CoordinationQuery>> {
        self.reads.take()
    }

    pub(super) fn has_work(&self) -> bool {
        !self.commands.borrow().is_empty() || !self.reads.borrow().is_empty()
    }

    /// Rejects all pending requests when the leadership is over: none of them was proposed.
    pub(super) fn reject_pending(&self) {
        for pending in self.commands.take() {
            pending.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
        for pending in self.reads.take() {
            pending.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
    }

    /// Records a reply of the replica at an address.
    pub(super) fn record_reply(&self, ip: Ipv4Addr, replica: ReplicaId, has_watchers: bool, now: Duration) {
        let mut peers = self.peers.borrow_mut();
        let is_catching_up = peers.get(&ip).is_some_and(|peer| peer.is_catching_up);
        peers.insert(ip, PeerState { replica, replied_at: now, has_watchers, is_catching_up });
    }

    /// Records that applications are waiting for events at a node.
    pub(super) fn record_watcher(&self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&ip) {
            peer.has_watchers = true;
        }
    }

    /// The nodes at which applications are waiting for events.
    pub(super) fn watching_nodes(&self) -> Vec<Ipv4Addr> {
        self.peers.borrow().iter().filter(|(_, peer)| peer.has_watchers).map(|(ip, _)| *ip).collect()
    }

    /// Sets whether the replica at an address is being brought up to date; returns false if nothing changed or the replica is
    /// unknown.
    pub(super) fn set_catching_up(&self, ip: Ipv4Addr, is_catching_up: bool) -> bool {
        match self.peers.borrow_mut().get_mut(&ip) {
            Some(peer) => std::mem::replace(&mut peer.is_catching_up, is_catching_up) != is_catching_up,
            None => false,
        }
    }

    /// The replicas that have replied to this leader, by address.
    pub(super) fn known_replicas(&self, now: Duration) -> BTreeMap<Ipv4Addr, KnownReplica> {
        let known = |peer: &PeerState| KnownReplica {
            replica: peer.replica,
            is_responsive: now < peer.replied_at + RESPONSIVE_DURATION,
        };
        self.peers.borrow().iter().map(|(ip, peer)| (*ip, known(peer))).collect()
    }
}

/// Answers the commands of a slot with their outcomes.
pub(super) fn resolve_commands(
    commands: Vec<PendingRequest<CoordinationCommand>>,
    outcomes: Vec<CoordinationOutcome>,
) {
    for (pending, outcome) in commands.into_iter().zip(outcomes) {
        pending.resolve(CoordinationAnswer::Outcome(outcome));
    }
}

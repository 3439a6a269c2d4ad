//! The state of a leader: what waits for its next round, and what it knows of the other replicas.

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

/// Maximum number of commands that wait for a round.
const MAX_WAITING_COMMANDS: usize = 1_024;
/// Maximum number of reads that wait for a round.
const MAX_WAITING_READS: usize = 4_096;
/// Maximum number of commands in one slot.
const MAX_BATCH_COMMANDS: usize = 256;
/// A replica that has replied within this time is responsive.
const RESPONSIVE_DURATION: Duration = Duration::from_millis(1_000);

/// A command that waits for its outcome, or a read that waits for a quorum to confirm the leader.
pub(super) struct Waiting<T> {
    pub(super) work: T,
    answer: oneshot::Sender<CoordinationAnswer>,
}

impl<T> Waiting<T> {
    fn new(work: T) -> (Self, oneshot::Receiver<CoordinationAnswer>) {
        let (answer, received) = oneshot::channel();
        (Self { work, answer }, received)
    }

    pub(super) fn resolve(self, answer: CoordinationAnswer) {
        // The caller may have gone.
        let _ = self.answer.send(answer);
    }
}

/// What a leader knows of the replica at an address.
#[derive(Clone, Copy, Debug)]
struct Peer {
    replica: ReplicaId,
    replied_at: Duration,
    has_watchers: bool,
    is_catching_up: bool,
}

/// One leadership, from winning a campaign to the next higher ballot.
pub(super) struct Leadership {
    pub(super) ballot: Ballot,
    pub(super) began_at: Duration,
    is_ready: Cell<bool>,
    is_deposed: Cell<bool>,
    is_resigning: Cell<bool>,
    commands: RefCell<VecDeque<Waiting<CoordinationCommand>>>,
    reads: RefCell<Vec<Waiting<CoordinationQuery>>>,
    peers: RefCell<BTreeMap<Ipv4Addr, Peer>>,
    /// The last slot that this leader has had chosen.
    pub(super) committed: Cell<CommitPosition>,
    /// The last slot that the own replica has applied, unless another leader is at work.
    pub(super) applied: Cell<u64>,
    /// When the last request went to all members.
    pub(super) broadcast_at: Cell<Duration>,
    /// When the last command or read arrived.
    pub(super) used_at: Cell<Duration>,
    /// Notified when there is work, and when the leadership is over.
    pub(super) wake: Notify,
}

impl Leadership {
    /// The leadership of this ballot.
    /// `applied` is the last slot before those that it decides.
    pub(super) fn new(ballot: Ballot, applied: u64, now: Duration) -> Self {
        Self {
            ballot,
            began_at: now,
            is_ready: Cell::new(false),
            is_deposed: Cell::new(false),
            is_resigning: Cell::new(false),
            commands: RefCell::default(),
            reads: RefCell::default(),
            peers: RefCell::default(),
            committed: Cell::default(),
            applied: Cell::new(applied),
            broadcast_at: Cell::new(now),
            used_at: Cell::new(now),
            wake: Notify::new(),
        }
    }

    /// Whether its first entry is chosen, so that it takes requests.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready.get() && !self.is_deposed.get() && !self.is_resigning.get()
    }

    pub(super) fn set_ready(&self) {
        self.is_ready.set(true);
    }

    pub(super) fn is_deposed(&self) -> bool {
        self.is_deposed.get()
    }

    /// Ends it: a higher ballot was seen, or no quorum responds.
    pub(super) fn depose(&self) {
        self.is_deposed.set(true);
        self.wake.notify_one();
    }

    /// Takes no further requests; the round under way is completed.
    pub(super) fn resign(&self) {
        self.is_resigning.set(true);
        self.wake.notify_one();
    }

    pub(super) fn is_resigning(&self) -> bool {
        self.is_resigning.get()
    }

    /// A heartbeat with what is chosen by now.
    pub(super) fn heartbeat(&self) -> LogRequest {
        LogRequest::Heartbeat { ballot: self.ballot, committed: self.committed.get() }
    }

    /// Queues a command for the next round; `None` if too many wait.
    pub(super) fn push_command(
        &self,
        command: CoordinationCommand,
    ) -> Option<oneshot::Receiver<CoordinationAnswer>> {
        let mut commands = self.commands.borrow_mut();
        if commands.len() >= MAX_WAITING_COMMANDS {
            return None;
        }
        let (waiting, received) = Waiting::new(command);
        commands.push_back(waiting);
        self.wake.notify_one();
        Some(received)
    }

    /// Queues a read for the next round; `None` if too many wait.
    pub(super) fn push_read(
        &self,
        query: CoordinationQuery,
    ) -> Option<oneshot::Receiver<CoordinationAnswer>> {
        let mut reads = self.reads.borrow_mut();
        if reads.len() >= MAX_WAITING_READS {
            return None;
        }
        let (waiting, received) = Waiting::new(query);
        reads.push(waiting);
        self.wake.notify_one();
        Some(received)
    }

    /// The commands of the next slot. Those whose callers have gone are left out.
    pub(super) fn take_commands(&self) -> Vec<Waiting<CoordinationCommand>> {
        let mut commands = self.commands.borrow_mut();
        commands.retain(|waiting| !waiting.answer.is_closed());
        let count = commands.len().min(MAX_BATCH_COMMANDS);
        commands.drain(..count).collect()
    }

    pub(super) fn take_reads(&self) -> Vec<Waiting<CoordinationQuery>> {
        self.reads.take()
    }

    pub(super) fn has_work(&self) -> bool {
        !self.commands.borrow().is_empty() || !self.reads.borrow().is_empty()
    }

    /// Answers all that still waits when the leadership is over: none of it was proposed.
    pub(super) fn reject_waiting(&self) {
        for waiting in self.commands.take() {
            waiting.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
        for waiting in self.reads.take() {
            waiting.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
    }

    /// Notes a reply of the replica at an address.
    pub(super) fn note_reply(&self, ip: Ipv4Addr, replica: ReplicaId, has_watchers: bool, now: Duration) {
        let mut peers = self.peers.borrow_mut();
        let is_catching_up = peers.get(&ip).is_some_and(|peer| peer.is_catching_up);
        peers.insert(ip, Peer { replica, replied_at: now, has_watchers, is_catching_up });
    }

    /// Notes that applications at a node wait for events.
    pub(super) fn note_watcher(&self, ip: Ipv4Addr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&ip) {
            peer.has_watchers = true;
        }
    }

    /// The nodes at which applications wait for events.
    pub(super) fn watching_nodes(&self) -> Vec<Ipv4Addr> {
        self.peers.borrow().iter().filter(|(_, peer)| peer.has_watchers).map(|(ip, _)| *ip).collect()
    }

    /// Marks the replica at an address as being brought up to date, or as done; false if it was marked so already.
    pub(super) fn set_catching_up(&self, ip: Ipv4Addr, is_catching_up: bool) -> bool {
        match self.peers.borrow_mut().get_mut(&ip) {
            Some(peer) => std::mem::replace(&mut peer.is_catching_up, is_catching_up) != is_catching_up,
            None => false,
        }
    }

    /// The replicas that have replied.
    pub(super) fn known_replicas(&self, now: Duration) -> BTreeMap<Ipv4Addr, KnownReplica> {
        let known = |peer: &Peer| KnownReplica {
            replica: peer.replica,
            is_responsive: now < peer.replied_at + RESPONSIVE_DURATION,
        };
        self.peers.borrow().iter().map(|(ip, peer)| (*ip, known(peer))).collect()
    }
}

/// Pairs the commands of a slot with their outcomes.
pub(super) fn resolve_commands(
    commands: Vec<Waiting<CoordinationCommand>>,
    outcomes: Vec<CoordinationOutcome>,
) {
    for (waiting, outcome) in commands.into_iter().zip(outcomes) {
        waiting.resolve(CoordinationAnswer::Outcome(outcome));
    }
}

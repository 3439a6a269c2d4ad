//! The control node's state and its replies to peers.

use crate::coordination::CoordinationService;
use crate::orders::OrderQueue;
use crate::replica::Replica;
use crate::{ControlBackend, ControlEvent, DiskState, ENDPOINT_DISCOVERY_TASK, StorageLosses};
use config_register::{AcceptorRecord, BallotSource, Founder, ProposerBackoff, VoterState};
use controllers::{LeaseCandidate, LossTolerance, ProposerSelection, StorageController, VoterController};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, RegisterReply, RegisterRequest, RegisterValue,
    ReplicaId,
};
use node_runtime::{Feed, MAX_STATE_AGE, Runtime, run_heartbeats, timeout};
use replicated_log::RecoveredJournal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

/// Delay before another quorum read is requested, if the last one did not confirm the state.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The durable state with which a replica of the register starts.
#[derive(Clone, Debug, PartialEq)]
pub enum InitialState {
    /// The record on disk.
    Existing(AcceptorRecord),
    /// The node has never voted; this record is written before it does.
    New(AcceptorRecord),
    /// The same, but this start has already written the record.
    NewOnDisk(AcceptorRecord),
    /// The record was lost. The node may have voted, so it must not vote before it has recovered its record from its peers.
    Recovering,
}

impl InitialState {
    /// The state of a node that has never voted. A seed starts with the register's initial value, any other node starts empty.
    pub fn never_voted(me: Ipv4Addr, seeds: &[Ipv4Addr]) -> Self {
        if seeds.contains(&me) {
            return Self::New(config_register::founding_record(seeds.to_vec()));
        }
        Self::New(AcceptorRecord {
            promised: Ballot::default(),
            accepted: None,
            voter_state: VoterState::NonVoter,
            chosen_voters: None,
        })
    }

    fn record(&self) -> Option<&AcceptorRecord> {
        match self {
            Self::Existing(record) | Self::New(record) | Self::NewOnDisk(record) => Some(record),
            Self::Recovering => None,
        }
    }

    /// The node as a founder, if it starts for the first time.
    fn founder(&self, me: Ipv4Addr) -> Option<Founder> {
        match self {
            Self::New(record) | Self::NewOnDisk(record) => Founder::new(me, record),
            Self::Existing(_) | Self::Recovering => None,
        }
    }
}

/// The number of ballots that this incarnation of the node has started, and of those that were lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BallotCounts {
    /// Ballots started.
    pub started: u64,
    /// Ballots lost to a higher one, or without a quorum.
    pub lost: u64,
}

/// A control node in one incarnation of its process.
pub struct ControlNode<R: Runtime, B> {
    pub(crate) runtime: R,
    pub(crate) backend: Rc<B>,
    pub(crate) me: Ipv4Addr,
    /// The newest state that the node knows; published to its subscribers.
    pub feed: Rc<Feed<R>>,
    pub(crate) replica: Rc<Replica<R, B>>,
    /// The record that a new node writes before its first vote; `None` once it is written.
    pub(crate) initial_record: RefCell<Option<AcceptorRecord>>,
    /// Founds seeds that lost their initial record; `None` unless this incarnation has run since the first start.
    pub(crate) founder: RefCell<Option<Founder>>,
    /// Tracks which voters respond.
    pub(crate) voter_controller: RefCell<VoterController>,
    /// All known control nodes, whether or not they are voters.
    pub(crate) known_core_nodes: RefCell<BTreeSet<Ipv4Addr>>,
    /// The newest value known to be chosen, with its voters' epoch.
    pub(crate) known_value: RefCell<Option<RegisterValue>>,
    pub(crate) ballots: RefCell<BallotSource>,
    /// This incarnation's candidacy for the lease of the singleton task.
    pub(crate) candidate: RefCell<LeaseCandidate>,
    /// Held during a proposal: this node runs one ballot at a time.
    pub(crate) proposal_lock: Mutex<()>,
    /// Operators' orders that are waiting for a ballot of this node.
    pub(crate) orders: OrderQueue,
    /// Selects the node to which orders are forwarded.
    pub(crate) proposers: RefCell<ProposerSelection>,
    /// Decides when the next ballot may start.
    pub(crate) backoff: RefCell<ProposerBackoff>,
    pub(crate) ballot_counts: Cell<BallotCounts>,
    /// Notified to start a poll immediately.
    pub(crate) poll_requested: Notify,
    /// Notified when a poll has ended, whatever its outcome.
    pub(crate) poll_completed: Notify,
    /// Tracks which storage nodes respond, and decides on changes of their membership.
    pub(crate) storage_nodes: RefCell<StorageController>,
    /// Locks, counters and watched keys of applications.
    pub(crate) coordination: CoordinationService,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Creates a node, which is inactive until [`ControlNode::run`]. `ballots` must not have been used by an earlier incarnation
    /// of the process; `journal` is that of the coordination log's replica.
    pub fn new(
        runtime: R,
        backend: B,
        feed: Rc<Feed<R>>,
        mut ballots: BallotSource,
        initial_state: InitialState,
        journal: RecoveredJournal,
    ) -> Rc<Self> {
        let (me, backend) = (runtime.ip(), Rc::new(backend));
        let record = initial_state.record().cloned();
        let founder = initial_state.founder(me);
        let known_value = record.as_ref().and_then(|record| record.chosen_voters.clone());
        let known_core_nodes = known_value.iter().flat_map(|known| known.voters.clone());
        let known_core_nodes = known_core_nodes.chain(runtime.seeds()).chain([me]).collect();
        if let Some(record) = &record {
            ballots.observe(record.promised);
        }
        let (existing, initial_record) = match initial_state {
            InitialState::Existing(record) | InitialState::NewOnDisk(record) => (Some(record), None),
            InitialState::New(record) => (None, Some(record)),
            InitialState::Recovering => (None, None),
        };
        let new_replica = ReplicaId(runtime.random_u64());
        let coordination = CoordinationService::new(&journal, new_replica, ballots.clone());
        Rc::new(Self {
            me,
            feed,
            replica: Replica::new(runtime.clone(), backend.clone(), existing),
            initial_record: RefCell::new(initial_record),
            founder: RefCell::new(founder),
            voter_controller: RefCell::new(VoterController::new(me)),
            known_core_nodes: RefCell::new(known_core_nodes),
            known_value: RefCell::new(known_value),
            ballots: RefCell::new(ballots),
            candidate: RefCell::new(LeaseCandidate::new(ENDPOINT_DISCOVERY_TASK, me)),
            proposal_lock: Mutex::new(()),
            orders: OrderQueue::default(),
            proposers: RefCell::default(),
            backoff: RefCell::default(),
            ballot_counts: Cell::default(),
            poll_requested: Notify::new(),
            poll_completed: Notify::new(),
            storage_nodes: RefCell::default(),
            coordination,
            runtime,
            backend,
        })
    }

    /// Starts the background tasks.
    pub fn run(self: &Rc<Self>) {
        self.runtime.spawn(run_heartbeats(self.feed.clone()));
        self.runtime.spawn(self.clone().run_voting());
        self.runtime.spawn(self.clone().run_polling());
        self.runtime.spawn(self.clone().run_endpoint_discovery());
        self.runtime.spawn(self.clone().run_failure_detection());
        self.runtime.spawn(self.clone().follow_endpoint_list());
        self.runtime.spawn(self.clone().run_election());
    }

    /// Answers a call from a peer; `subscriber` is the call's connection, if it can receive pushes.
    pub async fn answer(
        self: &Rc<Self>,
        from: Ipv4Addr,
        call: Call,
        subscriber: Option<R::Subscriber>,
    ) -> Answer {
        match (call, subscriber) {
            (Call::Register(request), _) => match self.answer_register(from, request).await {
                Some(reply) => Answer::Register(reply),
                None => Answer::NotReady,
            },
            (call @ Call::Subscribe { .. }, Some(subscriber)) => {
                self.feed.subscribe(&call, false, subscriber)
            }
            (Call::JoinCore { ip }, _) => self.join_core(ip).await,
            (Call::JoinStorage { store, is_founder }, _) => self.join_storage(store, is_founder).await,
            (Call::Order(order), _) => self.answer_order(order).await,
            (Call::InSync { disk, epoch }, _) => self.complete_node_backfill(disk, epoch).await,
            (Call::Coordination(call), _) => {
                self.answer_coordination(from, call).await.map_or(Answer::NotReady, Answer::Coordination)
            }
            _ => Answer::NotReady,
        }
    }

    /// Adds a control node that was learned by other means than the register, for example from the fleet's membership.
    pub fn add_known_core_node(&self, node: Ipv4Addr) {
        self.known_core_nodes.borrow_mut().insert(node);
    }

    /// The number of known control nodes, including those that are not voters.
    pub fn known_core_node_count(&self) -> usize {
        self.known_core_nodes.borrow().len()
    }

    /// Whether the node has a record on disk and may vote. A node without a record is still recovering.
    pub fn can_vote(&self) -> bool {
        self.replica.has_record()
    }

    /// Whether the disk accepts writes. While writes fail, the node does not vote.
    pub fn disk(&self) -> DiskState {
        self.replica.disk()
    }

    /// How long its acceptor takes for a vote at present, which is the time of a synced write.
    pub fn vote_delay(&self) -> Duration {
        self.replica.vote_delay().get()
    }

    /// The number of storage node losses to tolerate, and the number that the current members can tolerate.
    pub fn storage_losses(&self) -> StorageLosses {
        let configured = self.backend.tolerance();
        StorageLosses {
            configured,
            tolerated: LossTolerance::from_roster(&self.feed.state().roster, configured),
        }
    }

    /// Counts of this incarnation's ballots.
    pub fn ballot_counts(&self) -> BallotCounts {
        self.ballot_counts.get()
    }

    /// Whether a majority has confirmed this node's state within [`MAX_STATE_AGE`].
    pub fn is_fresh(&self) -> bool {
        self.feed.age().is_some_and(|age| age < MAX_STATE_AGE)
    }

    /// The fencing token under which this incarnation holds the lease of [`ENDPOINT_DISCOVERY_TASK`]; `None` if it does not.
    pub fn discovery_token(&self) -> Option<u64> {
        self.candidate.borrow().held_token(&self.feed.state())
    }

    /// Sends a register request to a control node, which may be this one.
    pub(crate) async fn call_register(
        &self,
        ip: Ipv4Addr,
        request: RegisterRequest,
        timeout: Duration,
    ) -> Option<RegisterReply> {
        self.voter_controller.borrow_mut().before_request(self.runtime.now_ms());
        if ip == self.me {
            return self.answer_register(self.me, request).await;
        }
        match self.runtime.call(ip, Call::Register(request), timeout).await {
            Some(Answer::Register(reply)) => {
                self.voter_controller.borrow_mut().record_response(self.runtime.now_ms(), ip);
                Some(reply)
            }
            _ => None,
        }
    }

    /// Answers a register request as an acceptor. Promised and accepted ballots are synced before the reply is sent.
    async fn answer_register(&self, from: Ipv4Addr, request: RegisterRequest) -> Option<RegisterReply> {
        self.accept_founding(&request);
        if let RegisterRequest::Prepare(ballot) = &request {
            self.observe_ballot(*ballot);
        }
        let handled = self.replica.handle(&request);
        self.note_competing_ballot(from, &request, &handled.reply);
        let reply = self.replica.release(handled).await;
        if let RegisterRequest::Poll { chosen } = &request {
            self.learn_chosen(from, *chosen);
        }
        reply
    }

    /// Records another node's ballot that this acceptor has promised or accepted, so that this node backs off.
    fn note_competing_ballot(&self, from: Ipv4Addr, request: &RegisterRequest, reply: &RegisterReply) {
        let ballot = match request {
            RegisterRequest::Prepare(ballot) => *ballot,
            RegisterRequest::Accept(offered) => offered.ballot,
            _ => return,
        };
        if from != self.me && !matches!(reply, RegisterReply::Rejected(_)) {
            let mut backoff = self.backoff.borrow_mut();
            backoff.set_vote_delay(self.vote_delay_ms());
            backoff.on_competing_ballot(self.runtime.now_ms(), ballot);
        }
    }

    /// Handles a report that a ballot is chosen: adopts its value if this acceptor has accepted it, and otherwise starts a poll
    /// to find it.
    fn learn_chosen(&self, from: Ipv4Addr, chosen: Ballot) {
        if chosen <= self.feed.value().ballot {
            return;
        }
        match self.replica.accepted() {
            Some(accepted) if accepted.ballot == chosen => self.adopt(accepted),
            _ if from != self.me => self.poll_requested.notify_one(),
            _ => {}
        }
    }

    /// Reports a chosen value, and adopts it unless a newer one is known.
    pub(crate) fn adopt(&self, accepted: AcceptedValue) {
        self.replica.learn_value(&accepted);
        self.backoff.borrow_mut().on_chosen(accepted.ballot);
        self.backend.on_event(&ControlEvent::Chosen(&accepted));
        if accepted.ballot < self.feed.value().ballot {
            return;
        }
        *self.known_value.borrow_mut() = Some(accepted.value.clone());
        let (state_before, value_before) = (self.feed.state(), self.feed.value());
        let voters = accepted.value.voters.clone();
        self.known_core_nodes.borrow_mut().extend(voters.iter().copied());
        let is_adopted = self.feed.update_value(ChosenValue {
            ballot: accepted.ballot,
            voters,
            payload: accepted.value.payload,
        });
        if is_adopted {
            let (state, value) = (self.feed.state(), self.feed.value());
            let is_changed = state.version() != state_before.version() || value.voters != value_before.voters;
            self.backend.on_event(&ControlEvent::Adopted {
                value: &value,
                state: &state,
                before: &state_before,
                is_changed,
            });
        }
    }

    /// Waits until a quorum read that began after this call has confirmed the state.
    pub(crate) async fn confirm_now(&self, max_wait: Duration) -> bool {
        let requested_at = self.runtime.now();
        let is_confirmed = || self.feed.confirmed_at().is_some_and(|at| at >= requested_at);
        let confirmed = async {
            while !is_confirmed() {
                let poll_completed = self.poll_completed.notified();
                self.poll_requested.notify_one();
                poll_completed.await;
                if !is_confirmed() {
                    self.runtime.sleep(CONFIRM_RETRY_INTERVAL).await;
                }
            }
        };
        timeout(&self.runtime, max_wait, confirmed).await.is_some()
    }
}

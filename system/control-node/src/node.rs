//! The node: what it knows, and how it answers its peers.

use crate::replica::Replica;
use crate::{ControlBackend, ControlEvent, DiskState, ENDPOINT_DISCOVERY_TASK, StorageLosses};
use config_register::{AcceptorRecord, BallotSource, ProposerBackoff, VoterState};
use controllers::{LeaseCandidate, LossTolerance, StorageController, VoterController};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, RegisterReply, RegisterRequest, RegisterValue,
};
use node_runtime::{Feed, MAX_STATE_AGE, Runtime, run_heartbeats, timeout};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

/// Between two looks at whether a quorum read has confirmed what is known.
const CONFIRM_AGAIN: Duration = Duration::from_millis(10);

/// What a replica of the register starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum InitialState {
    /// Its record.
    Existing(AcceptorRecord),
    /// It has never voted: this is to be kept before it does.
    New(AcceptorRecord),
    /// It may have voted and does not know: it votes when it is restored from the others.
    Recovering,
}

impl InitialState {
    /// Of a machine that has never voted: a seed founds the register, any other knows nothing.
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
            Self::Existing(record) | Self::New(record) => Some(record),
            Self::Recovering => None,
        }
    }
}

/// How many rounds at the register this node has begun, and how many of them were lost to those of others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundCounts {
    /// Begun.
    pub begun: u64,
    /// Lost.
    pub lost: u64,
}

/// A control node, in one life of its process.
pub struct ControlNode<R: Runtime, B> {
    pub(crate) runtime: R,
    pub(crate) backend: Rc<B>,
    pub(crate) me: Ipv4Addr,
    /// What it knows, and passes on.
    pub feed: Rc<Feed<R>>,
    pub(crate) replica: Rc<Replica<R, B>>,
    /// To be written before the first vote of a machine that never voted.
    pub(crate) founding: RefCell<Option<AcceptorRecord>>,
    /// How the core machines are.
    pub(crate) core: RefCell<VoterController>,
    /// Core machines that were heard of, voters or not.
    pub(crate) heard: RefCell<BTreeSet<Ipv4Addr>>,
    /// The newest value known to be chosen, with its voters' epoch.
    pub(crate) known: RefCell<Option<RegisterValue>>,
    /// Makes the ballots of this life.
    pub(crate) ballots: RefCell<BallotSource>,
    /// This life's candidacy for the lease of the singleton task.
    pub(crate) candidate: RefCell<LeaseCandidate>,
    /// One proposal at a time.
    pub(crate) proposing: Mutex<()>,
    /// When a round may begin beside those of others.
    pub(crate) backoff: RefCell<ProposerBackoff>,
    pub(crate) rounds: Cell<RoundCounts>,
    /// A poll is wanted now.
    pub(crate) poll_now: Notify,
    /// A poll has ended.
    pub(crate) polled: Notify,
    /// How the storage machines are.
    pub(crate) stores: RefCell<StorageController>,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// A node that has just started; it does nothing yet. `ballots`: made for this life of the process.
    pub fn new(
        runtime: R,
        backend: B,
        feed: Rc<Feed<R>>,
        mut ballots: BallotSource,
        beginning: InitialState,
    ) -> Rc<Self> {
        let (me, backend) = (runtime.ip(), Rc::new(backend));
        let record = beginning.record().cloned();
        let known = record.as_ref().and_then(|record| record.chosen_voters.clone());
        let heard = known.iter().flat_map(|known| known.voters.clone());
        let heard = heard.chain(runtime.seeds()).chain([me]).collect();
        if let Some(record) = &record {
            ballots.observe(record.promised);
        }
        let (kept, founding) = match beginning {
            InitialState::Existing(record) => (Some(record), None),
            InitialState::New(record) => (None, Some(record)),
            InitialState::Recovering => (None, None),
        };
        Rc::new(Self {
            me,
            feed,
            replica: Replica::new(runtime.clone(), backend.clone(), kept),
            founding: RefCell::new(founding),
            core: RefCell::new(VoterController::new(me)),
            heard: RefCell::new(heard),
            known: RefCell::new(known),
            ballots: RefCell::new(ballots),
            candidate: RefCell::new(LeaseCandidate::new(ENDPOINT_DISCOVERY_TASK, me)),
            proposing: Mutex::new(()),
            backoff: RefCell::default(),
            rounds: Cell::default(),
            poll_now: Notify::new(),
            polled: Notify::new(),
            stores: RefCell::default(),
            runtime,
            backend,
        })
    }

    /// Begins all that it does by itself.
    pub fn run(self: &Rc<Self>) {
        self.runtime.spawn(run_heartbeats(self.feed.clone()));
        self.runtime.spawn(self.clone().keep_voting());
        self.runtime.spawn(self.clone().keep_polling());
        self.runtime.spawn(self.clone().keep_tasks());
        self.runtime.spawn(self.clone().keep_watch());
        self.runtime.spawn(self.clone().keep_following_list());
    }

    /// Answers a call of a peer; `subscriber` is the call's link, if it can take pushes.
    pub async fn answer(&self, from: Ipv4Addr, call: Call, subscriber: Option<R::Subscriber>) -> Answer {
        match (call, subscriber) {
            (Call::Register(request), _) => match self.answer_register(from, request).await {
                Some(reply) => Answer::Register(reply),
                None => Answer::NotReady,
            },
            (call @ Call::Subscribe { .. }, Some(subscriber)) => {
                self.feed.subscribe(&call, false, subscriber)
            }
            (Call::JoinCore { ip }, _) => self.join_core(ip).await,
            (Call::JoinStorage { store }, _) => self.join_storage(store).await,
            (Call::InSync { disk, epoch }, _) => self.filled(disk, epoch).await,
            _ => Answer::NotReady,
        }
    }

    /// Another core machine was heard of, such as by the membership.
    pub fn add_known_core_node(&self, core_machine: Ipv4Addr) {
        self.heard.borrow_mut().insert(core_machine);
    }

    /// How many core machines were heard of, voters or not.
    pub fn known_core_nodes(&self) -> usize {
        self.heard.borrow().len()
    }

    /// Whether it has a state to vote by; one that lost it is a recovering replica.
    pub fn can_vote(&self) -> bool {
        self.replica.has_record()
    }

    /// Whether the disk takes what is to be synced; while it refuses, the node does not vote.
    pub fn disk(&self) -> DiskState {
        self.replica.disk()
    }

    /// How many losses of storage nodes are to be borne, and how many are.
    pub fn storage_losses(&self) -> StorageLosses {
        let to_bear = self.backend.tolerance();
        StorageLosses { to_bear, borne: LossTolerance::from_roster(&self.feed.state().roster, to_bear) }
    }

    /// Its rounds at the register so far.
    pub fn rounds(&self) -> RoundCounts {
        self.rounds.get()
    }

    /// Whether a majority confirmed lately what is known here.
    pub fn is_fresh(&self) -> bool {
        self.feed.age().is_some_and(|age| age < MAX_STATE_AGE)
    }

    /// The fencing token under which this life of the node holds the lease of the singleton task.
    pub fn discovery_token(&self) -> Option<u64> {
        self.candidate.borrow().held_token(&self.feed.state())
    }

    /// Asks a core machine, itself too, about the register.
    pub(crate) async fn ask(
        &self,
        ip: Ipv4Addr,
        request: RegisterRequest,
        patience: Duration,
    ) -> Option<RegisterReply> {
        self.core.borrow_mut().before_request(self.runtime.now_ms());
        if ip == self.me {
            return self.answer_register(self.me, request).await;
        }
        match self.runtime.call(ip, Call::Register(request), patience).await {
            Some(Answer::Register(reply)) => {
                self.core.borrow_mut().record_response(self.runtime.now_ms(), ip);
                Some(reply)
            }
            _ => None,
        }
    }

    /// The acceptor's part. What it has promised or accepted is on disk before the answer leaves.
    async fn answer_register(&self, from: Ipv4Addr, request: RegisterRequest) -> Option<RegisterReply> {
        if let RegisterRequest::Prepare(ballot) = &request {
            self.observe_ballot(*ballot);
        }
        let handled = self.replica.handle(&request);
        self.listen(from, &request, &handled.reply);
        let reply = self.replica.release(handled).await;
        if let RegisterRequest::Poll { chosen } = &request {
            self.learn_chosen(from, *chosen);
        }
        reply
    }

    /// Takes note of another's round that was let pass here.
    fn listen(&self, from: Ipv4Addr, request: &RegisterRequest, reply: &RegisterReply) {
        let ballot = match request {
            RegisterRequest::Prepare(ballot) => *ballot,
            RegisterRequest::Accept(offered) => offered.ballot,
            _ => return,
        };
        if from != self.me && !matches!(reply, RegisterReply::Rejected(_)) {
            self.backoff.borrow_mut().on_competing_ballot(self.runtime.now_ms(), ballot);
        }
    }

    /// A ballot is known to be chosen: its value is here, or the one that says so has it.
    fn learn_chosen(&self, from: Ipv4Addr, chosen: Ballot) {
        if chosen <= self.feed.value().ballot {
            return;
        }
        match self.replica.accepted() {
            Some(accepted) if accepted.ballot == chosen => self.adopt(accepted),
            _ if from != self.me => self.poll_now.notify_one(),
            _ => {}
        }
    }

    /// Takes a chosen value.
    pub(crate) fn adopt(&self, accepted: AcceptedValue) {
        self.replica.learn_value(&accepted);
        self.backoff.borrow_mut().on_chosen(accepted.ballot);
        self.backend.on_event(&ControlEvent::Chosen(&accepted));
        if accepted.ballot < self.feed.value().ballot {
            return;
        }
        *self.known.borrow_mut() = Some(accepted.value.clone());
        let (state_before, value_before) = (self.feed.state(), self.feed.value());
        let voters = accepted.value.voters.clone();
        self.heard.borrow_mut().extend(voters.iter().copied());
        let learned = self.feed.update_value(ChosenValue {
            ballot: accepted.ballot,
            voters,
            payload: accepted.value.payload,
        });
        if learned {
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

    /// Waits until what is known here is confirmed as of now, by a quorum read.
    pub(crate) async fn confirm_now(&self, within: Duration) -> bool {
        let asked = self.runtime.now();
        let is_confirmed = || self.feed.confirmed_at().is_some_and(|at| at >= asked);
        let confirmed = async {
            while !is_confirmed() {
                let polled = self.polled.notified();
                self.poll_now.notify_one();
                polled.await;
                if !is_confirmed() {
                    self.runtime.sleep(CONFIRM_AGAIN).await;
                }
            }
        };
        timeout(&self.runtime, within, confirmed).await.is_some()
    }
}

//! The coordination service: locks, numbers and watched keys for applications, over a replicated log.
//!
//! Any node takes requests of applications and forwards them to the leader of the log, which has all that wait chosen in one
//! slot. Decisions about the log are made in `replicated_log`, those about locks, numbers and keys in `coordination`; here they
//! are carried out. A node becomes a candidate only while it has requests and hears no leader, so a fleet whose applications
//! use none of this sends no message for it.
//!
//! - `election`: finding a leader or becoming one. `leader`: the rounds of a leader. `membership`: the log's members follow the
//!   voters of the configuration register. `founding`: the first members.
//! - `forwarding`, `watch`: requests of applications. `journal`: the replica's votes are on disk before they are sent.
//!
//! A command is submitted to the leader of one ballot and is never executed under a later one. So a request that was answered
//! as not executed, or that a client has sent again through another node, cannot take effect afterwards.

mod application;
mod election;
mod forwarding;
mod founding;
mod journal;
mod leader;
mod leadership;
mod machine;
mod membership;
mod peers;
mod status;
mod watch;

pub use application::{ApplicationReply, ApplicationRequest};
pub use status::{CoordinationStatus, CounterStatus, GroupStatus, LockStatus};

use crate::{ControlBackend, ControlNode};
use config_register::BallotSource;
use coordination::HoldTracker;
use fleet_model::{
    Ballot, CoordinationAnswer, CoordinationCall, CoordinationQuery, LogLeader, LogReply, LogRequest,
    ReplicaId,
};
use journal::JournalProgress;
use leadership::Leadership;
use machine::Machine;
use node_runtime::Runtime;
use replicated_log::{JournalError, RecoveredJournal, Replica, is_vote};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A leader that was not heard of for this long counts as lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a request of an application is answered: the application waits a second.
const APPLICATION_TIMEOUT: Duration = Duration::from_millis(850);

/// The state of the service at one node.
pub(crate) struct CoordinationService {
    replica: RefCell<Replica<Machine>>,
    journal: JournalProgress,
    ballots: RefCell<BallotSource>,
    /// When this process first saw the current grant of each lock.
    holds: RefCell<HoldTracker>,
    /// Notified when slots were applied.
    applied: Notify,
    /// The leader that sent the last request of the highest ballot, and when.
    heard_leader: Cell<Option<(LogLeader, Duration)>>,
    /// A leader that another node reported, and until when it is believed.
    reported_leader: Cell<Option<(LogLeader, Duration)>>,
    /// This node's leadership.
    leadership: RefCell<Option<Rc<Leadership>>>,
    /// Notified when a leader is found.
    leader_found: Notify,
    /// Notified when a leader is needed.
    leader_needed: Notify,
    /// When a leader was last needed.
    needed_at: Cell<Option<Duration>>,
    /// When another candidate last asked for a promise.
    rival_campaign_at: Cell<Option<Duration>>,
    /// Number of attempts to find a leader or to become one, since there was one.
    failed_elections: Cell<u32>,
    /// Number of applications that wait for events here.
    watchers: Cell<usize>,
    /// Whether the process is about to end, so that it must not lead.
    is_shutting_down: Cell<bool>,
}

/// Checks that this program can read a journal. One that it cannot read was written by another program; the node must not start
/// over it as a new replica.
///
/// # Errors
///
/// [`JournalError`] if a part of it cannot be decoded.
pub fn check_journal(journal: &RecoveredJournal) -> Result<(), JournalError> {
    recover_replica(journal).map(drop)
}

/// The replica that a journal describes, if there is one.
fn recover_replica(journal: &RecoveredJournal) -> Result<Option<Replica<Machine>>, JournalError> {
    match journal {
        RecoveredJournal::Empty => Ok(None),
        RecoveredJournal::Stored { checkpoint, records } => Replica::recover(checkpoint, records).map(Some),
    }
}

impl CoordinationService {
    /// The service with the journal that was found, or as a new replica.
    pub(crate) fn new(journal: &RecoveredJournal, new_replica: ReplicaId, mut ballots: BallotSource) -> Self {
        let recovered = recover_replica(journal).ok().flatten();
        let replica = recovered.unwrap_or_else(|| Replica::new(new_replica));
        ballots.observe(replica.promised());
        Self {
            replica: RefCell::new(replica),
            journal: JournalProgress::default(),
            ballots: RefCell::new(ballots),
            holds: RefCell::default(),
            applied: Notify::new(),
            heard_leader: Cell::new(None),
            reported_leader: Cell::new(None),
            leadership: RefCell::default(),
            leader_found: Notify::new(),
            leader_needed: Notify::new(),
            needed_at: Cell::new(None),
            rival_campaign_at: Cell::new(None),
            failed_elections: Cell::new(0),
            watchers: Cell::new(0),
            is_shutting_down: Cell::new(false),
        }
    }

    fn leadership(&self) -> Option<Rc<Leadership>> {
        self.leadership.borrow().clone()
    }
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Carries out a request of an application.
    pub async fn coordinate(self: &Rc<Self>, request: ApplicationRequest) -> ApplicationReply {
        match request {
            ApplicationRequest::Command(command) => self.submit_command(command).await,
            ApplicationRequest::ReadKey { key } => self.read_key(key).await,
            ApplicationRequest::Watch { group, after, wait } => self.watch(&group, after, wait).await,
        }
    }

    /// Answers another control node.
    pub(crate) async fn answer_coordination(
        self: &Rc<Self>,
        from: Ipv4Addr,
        call: CoordinationCall,
    ) -> Option<CoordinationAnswer> {
        match call {
            CoordinationCall::Log(request) => self.answer_log(request).await,
            CoordinationCall::Submit { ballot, command } => Some(self.execute(ballot, command).await),
            CoordinationCall::Read { ballot, query } => {
                if query == CoordinationQuery::CommitIndex
                    && let Some(leadership) = self.coordination.leadership()
                {
                    leadership.note_watcher(from);
                }
                Some(self.execute_read(ballot, query).await)
            }
            CoordinationCall::Locate { needs_leader } => {
                self.create_journal().await.then_some(())?;
                if needs_leader {
                    self.need_leader();
                }
                let leader = self.first_hand_leader();
                Some(CoordinationAnswer::Located { replica: self.replica_id(), leader })
            }
        }
    }

    /// Answers a leader or candidate. A vote is on disk before the answer is given, as is the replica's identity.
    async fn answer_log(self: &Rc<Self>, request: LogRequest) -> Option<CoordinationAnswer> {
        self.create_journal().await.then_some(())?;
        let reply = self.handle_log_request(request).await?;
        let has_watchers = self.coordination.watchers.get() > 0;
        Some(CoordinationAnswer::Log { replica: self.replica_id(), has_watchers, reply })
    }

    /// Has the own replica handle a request; `None` if the disk refused its vote.
    async fn handle_log_request(self: &Rc<Self>, request: LogRequest) -> Option<LogReply> {
        self.note_sender(&request);
        let reply = self.coordination.replica.borrow_mut().handle(request);
        self.after_log_change();
        if is_vote(&reply) && !self.sync_journal().await {
            return None;
        }
        Some(reply)
    }

    /// Notes the ballot of a request: its proposer leads, or an own leadership is over. The address that a connection comes
    /// from tells nothing: it need not be the one that the sender listens at.
    fn note_sender(&self, request: &LogRequest) {
        let (ballot, is_leader) = match request {
            LogRequest::Prepare(ballot) => (*ballot, false),
            LogRequest::Accept { accepted, .. } => (accepted.ballot, true),
            LogRequest::Heartbeat { ballot, .. } => (*ballot, true),
            LogRequest::Resign(ballot) => return self.forget_leader(*ballot),
            LogRequest::Learn { .. } | LogRequest::Install(_) | LogRequest::Fetch => return,
        };
        self.coordination.ballots.borrow_mut().observe(ballot);
        if let Some(leadership) = self.coordination.leadership()
            && leadership.ballot < ballot
        {
            leadership.depose();
        }
        let proposer = Ipv4Addr::from(ballot.proposer);
        if proposer == self.me || ballot < self.coordination.replica.borrow().promised() {
            return;
        }
        let heard = &self.coordination.heard_leader;
        if is_leader {
            let was_live = self.first_hand_leader().is_some_and(|leader| leader.ballot == ballot);
            heard.set(Some((LogLeader { ballot, ip: proposer }, self.runtime.now())));
            if !was_live {
                self.coordination.leader_found.notify_waiters();
            }
        } else {
            self.coordination.rival_campaign_at.set(Some(self.runtime.now()));
            // The candidate may be elected by now: the former leader is not asked any more.
            if heard.get().is_some_and(|(leader, _)| leader.ballot < ballot) {
                heard.set(None);
            }
        }
    }

    /// Stops using the leader of a ballot.
    fn forget_leader(&self, ballot: Ballot) {
        for known in [&self.coordination.heard_leader, &self.coordination.reported_leader] {
            if known.get().is_some_and(|(leader, _)| leader.ballot == ballot) {
                known.set(None);
            }
        }
    }

    /// Wakes those who wait for slots that may have been applied.
    fn after_log_change(self: &Rc<Self>) {
        let service = &self.coordination;
        let applied = service.replica.borrow().applied();
        if service.journal.observed_applied.replace(applied) != applied {
            let now_ms = self.runtime.now_ms();
            service.holds.borrow_mut().observe(&service.replica.borrow().machine().state, now_ms);
            service.journal.applied_at.set(Some(self.runtime.now()));
            service.applied.notify_waiters();
        }
    }

    fn replica_id(&self) -> ReplicaId {
        self.coordination.replica.borrow().id()
    }

    /// The leader from which this node has heard recently, or the node itself.
    fn first_hand_leader(&self) -> Option<LogLeader> {
        if let Some(leadership) = self.coordination.leadership() {
            return leadership.is_ready().then_some(LogLeader { ballot: leadership.ballot, ip: self.me });
        }
        let (leader, heard_at) = self.coordination.heard_leader.get()?;
        (self.runtime.now() < heard_at + LEADER_TIMEOUT).then_some(leader)
    }

    /// The leader to which requests are forwarded.
    fn live_leader(&self) -> Option<LogLeader> {
        self.first_hand_leader().or_else(|| {
            let (leader, until) = self.coordination.reported_leader.get()?;
            (self.runtime.now() < until).then_some(leader)
        })
    }
}

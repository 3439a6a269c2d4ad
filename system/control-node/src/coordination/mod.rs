//! The coordination service: locks, counters and watched keys for applications, on a replicated log.
//!
//! Any node accepts application requests and forwards them to the leader of the log, which batches all pending commands into one
//! slot. The decision logic for the log is in `replicated_log`, and for locks, counters and keys in `coordination`; this module
//! executes the decisions. A node becomes a candidate only while it has requests and no contact with a leader, so a fleet whose
//! applications do not use the service exchanges no messages for it.
//!
//! - `election`: finding a leader or becoming one. `leader`: the rounds of a leader. `membership`: the log's members follow the
//!   voters of the configuration register. `bootstrap`: the initial members.
//! - `forwarding`, `watch`: application requests. `journal`: the replica's votes are synced before they are sent.
//!
//! A command is submitted to the leader of one ballot and is never executed under a later ballot. So a request that was answered
//! as not executed, or that a client has retried through another node, cannot take effect afterwards.

mod application;
mod bootstrap;
mod election;
mod forwarding;
mod journal;
mod leader;
mod leadership;
mod membership;
mod peers;
mod state_machine;
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
use node_runtime::Runtime;
use replicated_log::{JournalError, RecoveredJournal, Replica, is_vote};
use state_machine::CoordinationMachine;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A leader without contact for this long is considered lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// Deadline for the reply to an application, whose client waits one second.
const APPLICATION_TIMEOUT: Duration = Duration::from_millis(850);

/// The state of the service at one node.
pub(crate) struct CoordinationService {
    replica: RefCell<Replica<CoordinationMachine>>,
    journal: JournalProgress,
    ballots: RefCell<BallotSource>,
    /// Tracks when this process first saw the current grant of each lock.
    holds: RefCell<HoldTracker>,
    /// Notified when slots have been applied.
    applied: Notify,
    /// The leader of the highest ballot that has contacted this node, and the time of its last request.
    last_leader_contact: Cell<Option<(LogLeader, Duration)>>,
    /// A leader that another node has reported, and the time at which the report expires.
    reported_leader: Cell<Option<(LogLeader, Duration)>>,
    /// Set while this node is the leader, or is about to be after winning a campaign.
    leadership: RefCell<Option<Rc<Leadership>>>,
    /// Notified when a leader is found.
    leader_found: Notify,
    /// Notified when a leader is needed.
    leader_requested: Notify,
    /// When a leader was last needed.
    leader_requested_at: Cell<Option<Duration>>,
    /// When another candidate last requested a promise.
    competing_campaign_at: Cell<Option<Duration>>,
    /// Number of failed attempts to find a leader or to become one, since the last time that a leader was known.
    failed_elections: Cell<u32>,
    /// Number of applications that are waiting for events at this node.
    watchers: Cell<usize>,
    /// Whether the process is shutting down, so that it must not become leader.
    is_shutting_down: Cell<bool>,
}

/// Checks that this version of the program can read a journal. If not, another version has written it, and the node must not
/// start as a new replica that would overwrite it.
///
/// # Errors
///
/// [`JournalError`] if the checkpoint or a record cannot be decoded.
pub fn check_journal(journal: &RecoveredJournal) -> Result<(), JournalError> {
    recover_replica(journal).map(drop)
}

/// Restores the replica from a journal; `None` if the journal is empty.
fn recover_replica(journal: &RecoveredJournal) -> Result<Option<Replica<CoordinationMachine>>, JournalError> {
    match journal {
        RecoveredJournal::Empty => Ok(None),
        RecoveredJournal::Stored { checkpoint, records } => Replica::recover(checkpoint, records).map(Some),
    }
}

impl CoordinationService {
    /// Restores the service from `journal`, or starts it as the replica `new_replica` if the journal contains none.
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
            last_leader_contact: Cell::new(None),
            reported_leader: Cell::new(None),
            leadership: RefCell::default(),
            leader_found: Notify::new(),
            leader_requested: Notify::new(),
            leader_requested_at: Cell::new(None),
            competing_campaign_at: Cell::new(None),
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
    /// Executes an application's request.
    pub async fn execute_application_request(
        self: &Rc<Self>,
        request: ApplicationRequest,
    ) -> ApplicationReply {
        match request {
            ApplicationRequest::Command(command) => self.submit_command(command).await,
            ApplicationRequest::ReadKey { key } => self.read_key(key).await,
            ApplicationRequest::Watch { group, after, wait } => self.watch(&group, after, wait).await,
        }
    }

    /// Answers a call from another control node; `None` if the replica's journal could not be written.
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
                    leadership.record_watcher(from);
                }
                Some(self.execute_read(ballot, query).await)
            }
            CoordinationCall::Locate { needs_leader } => {
                self.create_journal().await.then_some(())?;
                if needs_leader {
                    self.request_leader();
                }
                let leader = self.leader_in_contact();
                Some(CoordinationAnswer::Located { replica: self.replica_id(), leader })
            }
        }
    }

    /// Answers a leader or candidate. The replica's identity, and a vote if there is one, are synced before the answer is sent.
    async fn answer_log(self: &Rc<Self>, request: LogRequest) -> Option<CoordinationAnswer> {
        self.create_journal().await.then_some(())?;
        let reply = self.handle_log_request(request).await?;
        let has_watchers = self.coordination.watchers.get() > 0;
        Some(CoordinationAnswer::Log { replica: self.replica_id(), has_watchers, reply })
    }

    /// Handles a request at this node's replica; `None` if its vote could not be written.
    async fn handle_log_request(self: &Rc<Self>, request: LogRequest) -> Option<LogReply> {
        self.observe_request_ballot(&request);
        let reply = self.coordination.replica.borrow_mut().handle(request);
        self.on_log_changed();
        if is_vote(&reply) && !self.sync_journal().await {
            return None;
        }
        Some(reply)
    }

    /// Records the ballot of a request: its proposer is a leader or candidate, and a lower leadership of this node is over. The
    /// proposer is identified by the ballot, because the connection's source address may differ from the address at which the
    /// sender listens.
    fn observe_request_ballot(&self, request: &LogRequest) {
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
        let last_leader_contact = &self.coordination.last_leader_contact;
        if is_leader {
            let was_live = self.leader_in_contact().is_some_and(|leader| leader.ballot == ballot);
            last_leader_contact.set(Some((LogLeader { ballot, ip: proposer }, self.runtime.now())));
            if !was_live {
                self.coordination.leader_found.notify_waiters();
            }
        } else {
            self.coordination.competing_campaign_at.set(Some(self.runtime.now()));
            // The candidate may have won already, so requests are no longer sent to the previous leader.
            if last_leader_contact.get().is_some_and(|(leader, _)| leader.ballot < ballot) {
                last_leader_contact.set(None);
            }
        }
    }

    /// Stops forwarding requests to the leader of a ballot.
    fn forget_leader(&self, ballot: Ballot) {
        for leader_cell in [&self.coordination.last_leader_contact, &self.coordination.reported_leader] {
            if leader_cell.get().is_some_and(|(leader, _)| leader.ballot == ballot) {
                leader_cell.set(None);
            }
        }
    }

    /// Updates the lock holds and wakes waiting tasks if slots have been applied.
    fn on_log_changed(self: &Rc<Self>) {
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

    /// The leader that has contacted this node within [`LEADER_TIMEOUT`], or this node itself if it leads.
    fn leader_in_contact(&self) -> Option<LogLeader> {
        if let Some(leadership) = self.coordination.leadership() {
            return leadership.is_ready().then_some(LogLeader { ballot: leadership.ballot, ip: self.me });
        }
        let (leader, contacted_at) = self.coordination.last_leader_contact.get()?;
        (self.runtime.now() < contacted_at + LEADER_TIMEOUT).then_some(leader)
    }

    /// The leader to which requests are forwarded: one in contact with this node, or else one that another node has reported.
    fn live_leader(&self) -> Option<LogLeader> {
        self.leader_in_contact().or_else(|| {
            let (leader, expires_at) = self.coordination.reported_leader.get()?;
            (self.runtime.now() < expires_at).then_some(leader)
        })
    }
}

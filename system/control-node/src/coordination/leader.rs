//! The rounds of a leader: each round handles all commands and reads that have arrived during the previous one.

use super::leadership::{Leadership, PendingRequest, resolve_commands};
use super::peers::PeerReply;
use crate::{ControlBackend, ControlNode};
use fleet_model::{
    AcceptedEntry, CommitPosition, CoordinationAnswer, CoordinationBatch, CoordinationCommand,
    CoordinationOutcome, CoordinationQuery, CoordinationReading, LogEntry, LogReply, LogRequest, SlotEntry,
};
use node_runtime::{Runtime, timeout_at};
use replicated_log::VoteCount;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval between heartbeats, if no other request is sent to the members.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Timeout of a heartbeat, also when it confirms the leadership for a read.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of an accept request, which includes a sync.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request that brings a replica up to date.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before an accept request or a confirmation that had no reply is retried.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(40);
/// A leader without responses from a quorum for this long steps down.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A leader without requests for this long steps down, so that an unused log causes no traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a resigning leader has completed its round.
const RESIGNATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks whether the members must change.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// How the leader continues after a round.
enum RoundOutcome {
    Continue,
    StepDown,
    /// The members have changed: phase 1 must be repeated with the new ones.
    CampaignAgain,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Leads until a higher ballot is seen, no quorum responds, the node shuts down, or the service has been idle.
    pub(super) async fn lead(self: Rc<Self>, leadership: Rc<Leadership>, first_entry: LogEntry) {
        let members = self.log_members();
        let is_established = self.choose_entry(&leadership, first_entry).await.is_some();
        let mut outcome = RoundOutcome::StepDown;
        if is_established && self.log_members() != members {
            // The pending entry has changed the members, and phase 1 was run with the previous ones.
            outcome = RoundOutcome::CampaignAgain;
        } else if is_established && !leadership.is_deposed() {
            leadership.set_ready();
            self.backend.on_event(&crate::ControlEvent::LeadsCoordination { ballot: leadership.ballot });
            self.coordination.leader_found.notify_waiters();
            outcome = self.run_rounds(&leadership).await;
        }
        let was_deposed = leadership.is_deposed();
        self.step_down(&leadership);
        match outcome {
            RoundOutcome::CampaignAgain => self.request_leader(),
            _ if !was_deposed => self.announce_resignation(&leadership),
            _ => {}
        }
        self.resume_election();
    }

    /// Tells the other nodes that this leadership is over, so that they need not wait for a timeout to elect another leader.
    fn announce_resignation(self: &Rc<Self>, leadership: &Leadership) {
        let others = self.heartbeat_targets().into_iter().filter(|ip| *ip != self.me);
        self.call_replicas(others, &LogRequest::Resign(leadership.ballot), HEARTBEAT_TIMEOUT);
    }

    /// Ends this node's leadership before a shutdown, waiting at most `max_wait` for the current round, and prevents another one.
    pub async fn resign(self: &Rc<Self>, max_wait: Duration) {
        self.coordination.is_shutting_down.set(true);
        let deadline = self.runtime.now() + max_wait;
        while let Some(leadership) = self.coordination.leadership()
            && self.runtime.now() < deadline
        {
            leadership.resign();
            self.runtime.sleep(RESIGNATION_CHECK_INTERVAL).await;
        }
    }

    fn step_down(&self, leadership: &Rc<Leadership>) {
        leadership.depose();
        let mut current = self.coordination.leadership.borrow_mut();
        if current.as_ref().is_some_and(|current| Rc::ptr_eq(current, leadership)) {
            *current = None;
        }
        drop(current);
        leadership.reject_pending();
    }

    async fn run_rounds(self: &Rc<Self>, leadership: &Rc<Leadership>) -> RoundOutcome {
        let mut membership_checked_at = self.runtime.now();
        self.send_heartbeat(leadership, self.heartbeat_targets());
        loop {
            if leadership.is_deposed() || leadership.is_resigning() {
                return RoundOutcome::StepDown;
            }
            let outcome = match leadership.has_work() {
                true => self.run_round(leadership).await,
                false => self.wait_for_work(leadership).await,
            };
            if !matches!(outcome, RoundOutcome::Continue) {
                return outcome;
            }
            if self.runtime.now() >= membership_checked_at + MEMBERSHIP_INTERVAL {
                membership_checked_at = self.runtime.now();
                self.send_heartbeat(leadership, self.heartbeat_targets());
                let outcome = self.follow_voters(leadership).await;
                if !matches!(outcome, RoundOutcome::Continue) {
                    return outcome;
                }
            }
        }
    }

    async fn wait_for_work(self: &Rc<Self>, leadership: &Rc<Leadership>) -> RoundOutcome {
        let heartbeat_due = leadership.last_broadcast_at.get() + HEARTBEAT_INTERVAL;
        if timeout_at(&self.runtime, heartbeat_due, leadership.wake.notified()).await.is_some() {
            return RoundOutcome::Continue;
        }
        let now = self.runtime.now();
        if now > leadership.last_used_at.get() + IDLE_TIMEOUT && leadership.watching_nodes().is_empty() {
            return RoundOutcome::StepDown;
        }
        self.send_heartbeat(leadership, self.heartbeat_targets());
        match self.has_responsive_quorum(leadership) {
            true => RoundOutcome::Continue,
            false => RoundOutcome::StepDown,
        }
    }

    fn has_responsive_quorum(&self, leadership: &Leadership) -> bool {
        let now = self.runtime.now();
        if now < leadership.started_at + QUORUM_TIMEOUT {
            return true;
        }
        let members = self.log_members();
        let mut votes = VoteCount::new(&members);
        votes.record(self.replica_id());
        for known in leadership.known_replicas(now).into_values().filter(|known| known.is_responsive) {
            votes.record(known.replica);
        }
        votes.is_quorum()
    }

    /// Runs one round with all pending reads, and pending commands up to the batch limit.
    async fn run_round(self: &Rc<Self>, leadership: &Rc<Leadership>) -> RoundOutcome {
        leadership.last_used_at.set(self.runtime.now());
        let commands = leadership.dequeue_commands();
        let reads = leadership.dequeue_reads();
        let is_confirmed = if commands.is_empty() {
            reads.is_empty() || self.confirm_leadership(leadership).await
        } else {
            let batch = self.build_batch(commands.iter().map(|pending| pending.request.clone()).collect());
            let outcomes = self.choose_entry(leadership, LogEntry::Batch(batch)).await;
            let is_chosen = outcomes.is_some();
            match outcomes {
                Some(outcomes) => resolve_commands(commands, outcomes),
                None => commands
                    .into_iter()
                    .for_each(|pending| pending.resolve(CoordinationAnswer::Indeterminate)),
            }
            is_chosen
        };
        for read in reads {
            self.answer_read(read, is_confirmed);
        }
        match is_confirmed {
            true => RoundOutcome::Continue,
            false => RoundOutcome::StepDown,
        }
    }

    /// Builds a batch of commands with the readings of the leader's clock: how long ago the previous batch was applied, and which
    /// lock holds have expired.
    fn build_batch(&self, mut commands: Vec<CoordinationCommand>) -> CoordinationBatch {
        let (now, now_ms) = (self.runtime.now(), self.runtime.now_ms());
        let replica = self.coordination.replica.borrow();
        let (state, holds) = (&replica.machine().state, self.coordination.holds.borrow());
        for command in &mut commands {
            if let CoordinationCommand::AcquireLock { lock, expired_grant, .. } = command {
                let is_expired = holds.is_expired(lock, state, now_ms);
                *expired_grant = state.lock(lock).filter(|_| is_expired).map(|held| held.grant);
            }
        }
        let elapsed = self.coordination.journal.applied_at.get().map_or(Duration::ZERO, |at| now - at);
        let as_millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        CoordinationBatch {
            elapsed_ms: as_millis(elapsed),
            history_ms: as_millis(self.backend.event_retention()),
            commands,
        }
    }

    fn answer_read(&self, read: PendingRequest<CoordinationQuery>, is_confirmed: bool) {
        if !is_confirmed {
            return read.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
        let replica = self.coordination.replica.borrow();
        let reading = match &read.request {
            CoordinationQuery::Key(key) => CoordinationReading::Key(replica.machine().state.key(key)),
            CoordinationQuery::CommitIndex => CoordinationReading::CommitIndex(replica.applied()),
        };
        read.resolve(CoordinationAnswer::Reading(reading));
    }

    /// Runs phase 2 for the next slot. Returns the outcomes of the entry's commands once the entry is chosen; `None` if the
    /// leadership is over, in which case the entry may or may not be chosen later.
    pub(super) async fn choose_entry(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        entry: LogEntry,
    ) -> Option<Vec<CoordinationOutcome>> {
        let applied = self.coordination.replica.borrow().applied();
        if applied != leadership.applied.get() {
            // Another leader has committed slots since this one's phase 1, whose result does not cover the next slot.
            leadership.depose();
            return None;
        }
        let (members, slot) = (self.log_members(), applied + 1);
        let position = CommitPosition { slot, ballot: leadership.ballot };
        let has_key_puts = matches!(&entry, LogEntry::Batch(batch)
            if batch.commands.iter().any(|command| matches!(command, CoordinationCommand::PutKey { .. })));
        let accepted = AcceptedEntry { ballot: leadership.ballot, entry: SlotEntry { slot, entry } };
        let request = LogRequest::Accept { accepted, committed: leadership.committed.get() };
        let (vote_sender, mut votes) = mpsc::unbounded_channel();
        for member in &members {
            self.runtime.spawn(self.clone().request_vote(
                leadership.clone(),
                member.ip,
                request.clone(),
                vote_sender.clone(),
            ));
        }
        drop(vote_sender);
        leadership.last_broadcast_at.set(self.runtime.now());
        let mut count = VoteCount::new(&members);
        let deadline = self.runtime.now() + QUORUM_TIMEOUT;
        while !count.is_quorum() {
            let heartbeat_due = leadership.last_broadcast_at.get() + HEARTBEAT_INTERVAL;
            match timeout_at(&self.runtime, deadline.min(heartbeat_due), votes.recv()).await {
                Some(vote) => {
                    count.record(vote?);
                }
                None if self.runtime.now() >= deadline => return None,
                // Members that have voted still need heartbeats while the leader waits for the others.
                None => self.send_heartbeat(leadership, self.heartbeat_targets()),
            }
            if leadership.is_deposed() {
                return None;
            }
        }
        let outcomes = self.coordination.replica.borrow_mut().commit_own(position)?;
        leadership.committed.set(position);
        leadership.applied.set(slot);
        self.on_log_changed();
        if has_key_puts {
            self.send_heartbeat(leadership, leadership.watching_nodes());
        }
        Some(outcomes)
    }

    /// Sends an accept request to a member until the member has voted, the leadership is over or the slot is decided.
    async fn request_vote(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        ip: Ipv4Addr,
        request: LogRequest,
        vote_sender: mpsc::UnboundedSender<fleet_model::ReplicaId>,
    ) {
        while !vote_sender.is_closed() && !leadership.is_deposed() {
            let reply = self.call_replica(ip, request.clone(), ACCEPT_TIMEOUT).await;
            let Some(reply) = reply else {
                self.runtime.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            self.record_reply(&leadership, ip, &reply);
            match reply.reply {
                LogReply::Accepted => {
                    let _ = vote_sender.send(reply.replica);
                    return;
                }
                LogReply::Behind(applied) => self.catch_up(&leadership, ip, applied).await,
                _ => return,
            }
        }
    }

    fn record_reply(&self, leadership: &Leadership, ip: Ipv4Addr, reply: &PeerReply) {
        leadership.record_reply(ip, reply.replica, reply.has_watchers, self.runtime.now());
        if let LogReply::Rejected(ballot) = reply.reply {
            self.coordination.ballots.borrow_mut().observe(ballot);
            leadership.depose();
        }
    }

    /// Brings a replica up to date, unless another task is doing so already.
    async fn catch_up(self: &Rc<Self>, leadership: &Leadership, ip: Ipv4Addr, applied: u64) {
        if !leadership.set_catching_up(ip, true) {
            return self.runtime.sleep(ACCEPT_RETRY_DELAY).await;
        }
        let request = self.coordination.replica.borrow().catch_up(applied);
        self.call_replica(ip, request, CATCH_UP_TIMEOUT).await;
        leadership.set_catching_up(ip, false);
    }

    /// Sends a heartbeat and handles the replies in the background.
    fn send_heartbeat(self: &Rc<Self>, leadership: &Rc<Leadership>, targets: Vec<Ipv4Addr>) {
        leadership.last_broadcast_at.set(self.runtime.now());
        let request = leadership.heartbeat();
        for ip in targets.into_iter().filter(|ip| *ip != self.me) {
            let (node, leadership, request) = (self.clone(), leadership.clone(), request.clone());
            self.runtime.spawn(async move {
                let reply = node.call_replica(ip, request, HEARTBEAT_TIMEOUT).await;
                let Some(reply) = reply else { return };
                node.record_reply(&leadership, ip, &reply);
                let is_member = node.log_members().iter().any(|member| member.replica == reply.replica);
                if let LogReply::Behind(applied) = reply.reply
                    && is_member
                    && !leadership.is_deposed()
                {
                    node.catch_up(&leadership, ip, applied).await;
                }
            });
        }
    }

    /// The members, and the voters of the configuration register, which are candidates for membership.
    fn heartbeat_targets(&self) -> Vec<Ipv4Addr> {
        let mut targets: Vec<Ipv4Addr> = self.log_members().iter().map(|member| member.ip).collect();
        for voter in &self.feed.value().voters {
            if !targets.contains(voter) {
                targets.push(*voter);
            }
        }
        targets
    }

    /// Confirms with a quorum, by heartbeats sent after this call, that no higher ballot has been promised. A read is
    /// linearizable only if it is answered after that.
    async fn confirm_leadership(self: &Rc<Self>, leadership: &Rc<Leadership>) -> bool {
        let members = self.log_members();
        let deadline = self.runtime.now() + QUORUM_TIMEOUT;
        while self.runtime.now() < deadline && !leadership.is_deposed() {
            leadership.last_broadcast_at.set(self.runtime.now());
            let targets = members.iter().map(|member| member.ip);
            let mut replies = self.call_replicas(targets, &leadership.heartbeat(), HEARTBEAT_TIMEOUT);
            let mut count = VoteCount::new(&members);
            while let Some((ip, reply)) = replies.recv().await {
                let Some(reply) = reply else { continue };
                self.record_reply(leadership, ip, &reply);
                if matches!(reply.reply, LogReply::Confirmed | LogReply::Behind(_))
                    && count.record(reply.replica)
                {
                    return !leadership.is_deposed();
                }
            }
            self.runtime.sleep(ACCEPT_RETRY_DELAY).await;
        }
        false
    }

    async fn follow_voters(self: &Rc<Self>, leadership: &Rc<Leadership>) -> RoundOutcome {
        let Some(members) = self.members_to_propose(leadership) else { return RoundOutcome::Continue };
        match self.choose_entry(leadership, LogEntry::Members(members)).await {
            Some(_) => RoundOutcome::CampaignAgain,
            None => RoundOutcome::StepDown,
        }
    }
}

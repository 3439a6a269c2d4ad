//! The rounds of a leader: all that waits when a round ends goes in the next one.

use super::leadership::{Leadership, Waiting, resolve_commands};
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

/// Interval of heartbeats, if no other request goes to the members.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Time-out of a heartbeat and of a confirmation.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time-out of an accept, which includes a sync.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out for bringing a replica up to date.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before an accept that had no reply is sent again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(40);
/// A leader without a quorum for this long steps down.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A leader without requests for this long steps down, so that an unused log costs nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a resigning leader has completed its round.
const RESIGNATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks whether the members have to change.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// How a leadership goes on after a round.
enum RoundOutcome {
    Continue,
    StepDown,
    /// The members have changed: phase 1 is due among the new ones.
    CampaignAgain,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Leads until a higher ballot is seen, no quorum responds, or nobody needs a leader.
    pub(super) async fn lead(self: Rc<Self>, leadership: Rc<Leadership>, first: LogEntry) {
        let members = self.log_members();
        let is_established = self.choose(&leadership, first).await.is_some();
        let mut outcome = RoundOutcome::StepDown;
        if is_established && self.log_members() != members {
            // The pending entry was a change of members: phase 1 was done among the former ones.
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
            RoundOutcome::CampaignAgain => self.need_leader(),
            _ if !was_deposed => self.announce_resignation(&leadership),
            _ => {}
        }
        self.resume_election();
    }

    /// Has the other nodes look for another leader at once rather than after a time-out.
    fn announce_resignation(self: &Rc<Self>, leadership: &Leadership) {
        let others = self.heartbeat_targets().into_iter().filter(|ip| *ip != self.me);
        self.call_replicas(others, &LogRequest::Resign(leadership.ballot), HEARTBEAT_TIMEOUT);
    }

    /// Ends a leadership of this node before its process ends, and begins no other.
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
        leadership.reject_waiting();
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
        let due = leadership.broadcast_at.get() + HEARTBEAT_INTERVAL;
        if timeout_at(&self.runtime, due, leadership.wake.notified()).await.is_some() {
            return RoundOutcome::Continue;
        }
        let now = self.runtime.now();
        if now > leadership.used_at.get() + IDLE_TIMEOUT && leadership.watching_nodes().is_empty() {
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
        if now < leadership.began_at + QUORUM_TIMEOUT {
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

    /// One round with all commands and reads that wait.
    async fn run_round(self: &Rc<Self>, leadership: &Rc<Leadership>) -> RoundOutcome {
        leadership.used_at.set(self.runtime.now());
        let commands = leadership.take_commands();
        let reads = leadership.take_reads();
        let is_confirmed = if commands.is_empty() {
            reads.is_empty() || self.confirm_leadership(leadership).await
        } else {
            let batch = self.batch(commands.iter().map(|waiting| waiting.work.clone()).collect());
            let outcomes = self.choose(leadership, LogEntry::Batch(batch)).await;
            let is_chosen = outcomes.is_some();
            match outcomes {
                Some(outcomes) => resolve_commands(commands, outcomes),
                None => commands
                    .into_iter()
                    .for_each(|waiting| waiting.resolve(CoordinationAnswer::Indeterminate)),
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

    /// A batch of commands, with what the leader's clock says: how long ago the batch before was applied, and which holds of
    /// locks have expired.
    fn batch(&self, mut commands: Vec<CoordinationCommand>) -> CoordinationBatch {
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
        let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        CoordinationBatch {
            elapsed_ms: milliseconds(elapsed),
            history_ms: milliseconds(self.backend.history()),
            commands,
        }
    }

    fn answer_read(&self, read: Waiting<CoordinationQuery>, is_confirmed: bool) {
        if !is_confirmed {
            return read.resolve(CoordinationAnswer::NotExecuted { leader: None });
        }
        let replica = self.coordination.replica.borrow();
        let reading = match &read.work {
            CoordinationQuery::Key(key) => CoordinationReading::Key(replica.machine().state.key(key)),
            CoordinationQuery::CommitIndex => CoordinationReading::CommitIndex(replica.applied()),
        };
        read.resolve(CoordinationAnswer::Reading(reading));
    }

    /// Has an entry chosen for the next slot. Returns the outcomes of its commands; `None` if the leadership is over, and the
    /// entry may be chosen later or not.
    pub(super) async fn choose(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        entry: LogEntry,
    ) -> Option<Vec<CoordinationOutcome>> {
        let applied = self.coordination.replica.borrow().applied();
        if applied != leadership.applied.get() {
            // Another leader has had slots chosen: this one's first phase says nothing of the next one.
            leadership.depose();
            return None;
        }
        let (members, slot) = (self.log_members(), applied + 1);
        let position = CommitPosition { slot, ballot: leadership.ballot };
        let has_puts = matches!(&entry, LogEntry::Batch(batch)
            if batch.commands.iter().any(|command| matches!(command, CoordinationCommand::PutKey { .. })));
        let accepted = AcceptedEntry { ballot: leadership.ballot, entry: SlotEntry { slot, entry } };
        let request = LogRequest::Accept { accepted, committed: leadership.committed.get() };
        let (votes, mut voted) = mpsc::unbounded_channel();
        for member in &members {
            self.runtime.spawn(self.clone().request_vote(
                leadership.clone(),
                member.ip,
                request.clone(),
                votes.clone(),
            ));
        }
        drop(votes);
        leadership.broadcast_at.set(self.runtime.now());
        let mut count = VoteCount::new(&members);
        let deadline = self.runtime.now() + QUORUM_TIMEOUT;
        while !count.is_quorum() {
            let heartbeat_due = leadership.broadcast_at.get() + HEARTBEAT_INTERVAL;
            match timeout_at(&self.runtime, deadline.min(heartbeat_due), voted.recv()).await {
                Some(vote) => {
                    count.record(vote?);
                }
                None if self.runtime.now() >= deadline => return None,
                // Members that have voted hear the leader while it waits for the others.
                None => self.send_heartbeat(leadership, self.heartbeat_targets()),
            }
            if leadership.is_deposed() {
                return None;
            }
        }
        let outcomes = self.coordination.replica.borrow_mut().commit_own(position)?;
        leadership.committed.set(position);
        leadership.applied.set(slot);
        self.after_log_change();
        if has_puts {
            self.send_heartbeat(leadership, leadership.watching_nodes());
        }
        Some(outcomes)
    }

    /// Sends an accept to a member until it has voted, the leadership is over or the slot is decided.
    async fn request_vote(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        ip: Ipv4Addr,
        request: LogRequest,
        votes: mpsc::UnboundedSender<fleet_model::ReplicaId>,
    ) {
        while !votes.is_closed() && !leadership.is_deposed() {
            let reply = self.call_replica(ip, request.clone(), ACCEPT_TIMEOUT).await;
            let Some(reply) = reply else {
                self.runtime.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            self.note_reply(&leadership, ip, &reply);
            match reply.reply {
                LogReply::Accepted => {
                    let _ = votes.send(reply.replica);
                    return;
                }
                LogReply::Behind(applied) => self.catch_up(&leadership, ip, applied).await,
                _ => return,
            }
        }
    }

    fn note_reply(&self, leadership: &Leadership, ip: Ipv4Addr, reply: &PeerReply) {
        leadership.note_reply(ip, reply.replica, reply.has_watchers, self.runtime.now());
        if let LogReply::Rejected(ballot) = reply.reply {
            self.coordination.ballots.borrow_mut().observe(ballot);
            leadership.depose();
        }
    }

    /// Brings a replica up to date, unless that is under way.
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
        leadership.broadcast_at.set(self.runtime.now());
        let request = leadership.heartbeat();
        for ip in targets.into_iter().filter(|ip| *ip != self.me) {
            let (node, leadership, request) = (self.clone(), leadership.clone(), request.clone());
            self.runtime.spawn(async move {
                let reply = node.call_replica(ip, request, HEARTBEAT_TIMEOUT).await;
                let Some(reply) = reply else { return };
                node.note_reply(&leadership, ip, &reply);
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

    /// The members, and the voters of the configuration register, which may become members.
    fn heartbeat_targets(&self) -> Vec<Ipv4Addr> {
        let mut targets: Vec<Ipv4Addr> = self.log_members().iter().map(|member| member.ip).collect();
        for voter in &self.feed.value().voters {
            if !targets.contains(voter) {
                targets.push(*voter);
            }
        }
        targets
    }

    /// Has a quorum confirm, after this call, that it has promised no higher ballot.
    async fn confirm_leadership(self: &Rc<Self>, leadership: &Rc<Leadership>) -> bool {
        let members = self.log_members();
        let deadline = self.runtime.now() + QUORUM_TIMEOUT;
        while self.runtime.now() < deadline && !leadership.is_deposed() {
            leadership.broadcast_at.set(self.runtime.now());
            let targets = members.iter().map(|member| member.ip);
            let mut replies = self.call_replicas(targets, &leadership.heartbeat(), HEARTBEAT_TIMEOUT);
            let mut count = VoteCount::new(&members);
            while let Some((ip, reply)) = replies.recv().await {
                let Some(reply) = reply else { continue };
                self.note_reply(leadership, ip, &reply);
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
        match self.choose(leadership, LogEntry::Members(members)).await {
            Some(_) => RoundOutcome::CampaignAgain,
            None => RoundOutcome::StepDown,
        }
    }
}

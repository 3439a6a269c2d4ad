//! Finding the leader of the log, or becoming it.
//!
//! A node that has requests and hears no leader asks the other members first. If one of them hears a leader, that one is used;
//! otherwise, if a majority answers, the node becomes a candidate. So a node that is partitioned from the majority starts no
//! ballots, and one that was suspended does not depose a leader that is well.

use super::founding::founders;
use super::leadership::Leadership;
use crate::{ControlBackend, ControlNode};
use fleet_model::{
    CoordinationAnswer, CoordinationCall, LogEntry, LogLeader, LogMember, LogReply, LogRequest,
    rendezvous_rank,
};
use node_runtime::{Runtime, timeout};
use replicated_log::{Campaign, CampaignStep, VoteCount};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time-out for asking a node for the leader it knows.
pub(super) const LOCATE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time-out for a promise, which includes a sync.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time-out for fetching the state of another replica.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay of a candidate for each live member of a higher rank.
const CANDIDATE_RANK_DELAY: Duration = Duration::from_millis(30);
/// Time that another candidate is left to gather promises and have its first entry chosen.
const RIVAL_CAMPAIGN_DURATION: Duration = Duration::from_millis(250);
/// Maximum of the random delay after the first failed attempt, in milliseconds; it doubles with each further one.
const MIN_RETRY_DELAY_MS: u64 = 20;
/// Number of times that the maximum doubles.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// A leader is needed for this long after the last request that missed one.
const NEED_DURATION: Duration = Duration::from_millis(1_500);
/// Interval between checks, while there is no leader, whether the members have to change.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// For how long a leader that another node has reported is used without being heard.
const REPORTED_LEADER_DURATION: Duration = Duration::from_millis(400);

/// The answers of other nodes to the question for the leader.
#[derive(Default)]
struct Survey {
    leader: Option<LogLeader>,
    has_majority: bool,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Notes that a leader is needed.
    pub(super) fn need_leader(&self) {
        self.coordination.needed_at.set(Some(self.runtime.now()));
        if self.live_leader().is_none() {
            self.coordination.leader_needed.notify_one();
        }
    }

    /// The delay before the next attempt: random and growing, so that candidates that disturb each other draw apart.
    fn retry_delay(&self) -> Duration {
        let failures = self.coordination.failed_elections.get();
        self.coordination.failed_elections.set(failures + 1);
        let max_ms = MIN_RETRY_DELAY_MS << failures.min(MAX_RETRY_DOUBLINGS);
        Duration::from_millis(1 + self.runtime.random_u64() % max_ms)
    }

    /// Whether another candidate may be about to lead.
    fn has_rival(&self) -> bool {
        let asked_at = self.coordination.rival_campaign_at.get();
        asked_at.is_some_and(|at| self.runtime.now() < at + RIVAL_CAMPAIGN_DURATION)
    }

    /// Looks for a leader again if one is still needed after an own leadership is over.
    pub(super) fn resume_election(&self) {
        if self.lacks_leader() {
            self.coordination.leader_needed.notify_one();
        }
    }

    fn lacks_leader(&self) -> bool {
        let is_needed =
            self.coordination.needed_at.get().is_some_and(|at| self.runtime.now() < at + NEED_DURATION);
        is_needed
            && !self.coordination.is_shutting_down.get()
            && self.coordination.leadership().is_none()
            && self.live_leader().is_none()
    }

    /// Looks for a leader whenever one is needed.
    pub(crate) async fn run_election(self: Rc<Self>) {
        loop {
            let needed = self.coordination.leader_needed.notified();
            if timeout(&self.runtime, MEMBERSHIP_CHECK_INTERVAL, needed).await.is_none()
                && self.has_outdated_members()
            {
                self.need_leader();
            }
            while self.lacks_leader() {
                self.elect().await;
                let _ = timeout(&self.runtime, self.retry_delay(), self.coordination.leader_found.notified())
                    .await;
            }
            self.coordination.failed_elections.set(0);
        }
    }

    /// The members that decide on the next slot; none while the log has no first members.
    pub(super) fn log_members(&self) -> Vec<LogMember> {
        let replica = self.coordination.replica.borrow();
        match replica.applied() {
            0 => founders(&self.feed.state()),
            _ => replica.members().to_vec(),
        }
    }

    async fn elect(self: &Rc<Self>) {
        if !self.create_journal().await {
            return;
        }
        let members = self.log_members();
        let me = LogMember { ip: self.me, replica: self.replica_id() };
        if !members.contains(&me) {
            let known: Vec<Ipv4Addr> = self.known_core_nodes.borrow().iter().copied().collect();
            let survey = self.survey(&known, &members).await;
            self.use_reported_leader(survey.leader);
            if members.is_empty() && survey.leader.is_none() {
                self.found_log().await;
            }
            return;
        }
        let others: Vec<Ipv4Addr> = members.iter().map(|member| member.ip).collect();
        let survey = self.survey(&others, &members).await;
        if survey.leader.is_some() {
            self.use_reported_leader(survey.leader);
        } else if survey.has_majority {
            self.runtime.sleep(self.candidate_delay(&members)).await;
            if self.lacks_leader() && !self.has_rival() {
                self.campaign(&members).await;
            }
        }
    }

    /// Candidates that notice the loss of a leader at the same moment start one after another.
    fn candidate_delay(&self, members: &[LogMember]) -> Duration {
        let round = self.coordination.replica.borrow().promised().round;
        let rank = |ip: Ipv4Addr| (rendezvous_rank(&ip.octets(), round), ip);
        let higher = members.iter().filter(|member| rank(member.ip) > rank(self.me)).count();
        CANDIDATE_RANK_DELAY * u32::try_from(higher).unwrap_or_default()
    }

    fn use_reported_leader(&self, leader: Option<LogLeader>) {
        if let Some(leader) = leader {
            let until = self.runtime.now() + REPORTED_LEADER_DURATION;
            self.coordination.reported_leader.set(Some((leader, until)));
            self.coordination.leader_found.notify_waiters();
        }
    }

    /// Asks nodes for the leader that they hear; ends early once one reports a leader, or a majority of the members none.
    async fn survey(self: &Rc<Self>, nodes: &[Ipv4Addr], members: &[LogMember]) -> Survey {
        let is_member = members.iter().any(|member| member.replica == self.replica_id());
        let call = CoordinationCall::Locate { needs_leader: !is_member };
        let (answers, mut received) = mpsc::unbounded_channel();
        for ip in nodes.iter().copied().filter(|ip| *ip != self.me) {
            let (node, answers, call) = (self.clone(), answers.clone(), call.clone());
            self.runtime.spawn(async move {
                let answer = node.call_coordination(ip, call, LOCATE_TIMEOUT).await;
                let _ = answers.send(answer);
            });
        }
        drop(answers);
        let mut votes = VoteCount::new(members);
        votes.record(self.replica_id());
        let mut survey = Survey { has_majority: votes.is_quorum(), ..Survey::default() };
        while let Some(answer) = received.recv().await {
            let Some(CoordinationAnswer::Located { replica, leader }) = answer else { continue };
            // A leadership of this node that others still hear is over.
            let leader = leader.filter(|leader| leader.ip != self.me);
            survey.leader = survey.leader.into_iter().chain(leader).max_by_key(|leader| leader.ballot);
            survey.has_majority = votes.record(replica);
            if survey.leader.is_some() || survey.has_majority {
                break;
            }
        }
        survey
    }

    async fn campaign(self: &Rc<Self>, members: &[LogMember]) {
        let ballot = self.coordination.ballots.borrow_mut().next_ballot();
        let applied = self.coordination.replica.borrow().applied();
        let mut campaign = Campaign::new(applied, members);
        let targets = members.iter().map(|member| member.ip);
        let mut replies = self.call_replicas(targets, &LogRequest::Prepare(ballot), PREPARE_TIMEOUT);
        while let Some((ip, reply)) = replies.recv().await {
            let Some(reply) = reply else { continue };
            match campaign.on_reply(ip, reply.replica, &reply.reply) {
                CampaignStep::Wait => {}
                CampaignStep::Lost(seen) => return self.coordination.ballots.borrow_mut().observe(seen),
                CampaignStep::Behind { from } => return self.fetch_state(from).await,
                CampaignStep::Won(entry) => {
                    let replica = self.coordination.replica.borrow();
                    if replica.applied() == applied && replica.promised() == ballot {
                        drop(replica);
                        self.begin_leadership(ballot, applied, self.first_entry(applied, entry, members));
                    }
                    return;
                }
            }
        }
    }

    /// What a new leader proposes first: an entry that may be chosen already, the first members, or nothing. Once that is chosen,
    /// a majority of the present members has on disk that they are the members.
    fn first_entry(&self, applied: u64, pending: Option<LogEntry>, members: &[LogMember]) -> LogEntry {
        pending.unwrap_or_else(|| match applied {
            0 => LogEntry::Members(members.to_vec()),
            _ => LogEntry::Empty,
        })
    }

    fn begin_leadership(self: &Rc<Self>, ballot: fleet_model::Ballot, applied: u64, first: LogEntry) {
        let leadership = Rc::new(Leadership::new(ballot, applied, self.runtime.now()));
        *self.coordination.leadership.borrow_mut() = Some(leadership.clone());
        self.runtime.spawn(self.clone().lead(leadership, first));
    }

    async fn fetch_state(self: &Rc<Self>, from: Ipv4Addr) {
        let reply = self.call_replica(from, LogRequest::Fetch, FETCH_TIMEOUT).await;
        if let Some(LogReply::Fetched(snapshot)) = reply.map(|reply| reply.reply) {
            self.coordination.replica.borrow_mut().install(snapshot);
            self.after_log_change();
        }
    }
}

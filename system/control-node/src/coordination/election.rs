//! Finding the leader of the log, or becoming it.
//!
//! A node that has requests and no contact with a leader first asks the other members. If one of them is in contact with a
//! leader, the node uses that leader; otherwise, if a majority answers, the node becomes a candidate. So a node that is
//! partitioned from the majority starts no ballots, and a node that was suspended does not depose a healthy leader.

use super::bootstrap::initial_members;
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

/// Timeout of a request for the leader that another node knows.
pub(super) const LOCATE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a prepare request, which includes a sync.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of fetching the state of another replica.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay of a candidate for each member with a higher rank.
const CANDIDATE_RANK_DELAY: Duration = Duration::from_millis(30);
/// Time that a competing candidate is given to collect promises and to get its first entry chosen.
const COMPETING_CAMPAIGN_DURATION: Duration = Duration::from_millis(250);
/// Maximum random delay after the first failed attempt, in milliseconds; doubled after each further one.
const INITIAL_MAX_RETRY_DELAY_MS: u64 = 20;
/// Maximum number of times that the delay is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Time for which a leader is still searched for after the last request that found none.
const LEADER_REQUEST_DURATION: Duration = Duration::from_millis(1_500);
/// Interval between checks, while there is no leader, whether the members must change.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a leader that another node has reported is used without direct contact.
const REPORTED_LEADER_DURATION: Duration = Duration::from_millis(400);

/// The result of asking other nodes for the leader.
#[derive(Default)]
struct LeaderSurvey {
    leader: Option<LogLeader>,
    has_majority: bool,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Requests that this node finds a leader or becomes one.
    pub(super) fn request_leader(&self) {
        self.coordination.leader_requested_at.set(Some(self.runtime.now()));
        if self.live_leader().is_none() {
            self.coordination.leader_requested.notify_one();
        }
    }

    /// The delay before the next attempt, with random jitter and exponential backoff, so that competing candidates do not keep
    /// colliding. Counts a failed attempt.
    fn retry_delay(&self) -> Duration {
        let failures = self.coordination.failed_elections.get();
        self.coordination.failed_elections.set(failures + 1);
        let max_ms = INITIAL_MAX_RETRY_DELAY_MS << failures.min(MAX_RETRY_DOUBLINGS);
        Duration::from_millis(1 + self.runtime.random_u64() % max_ms)
    }

    /// Whether another candidate may be about to become leader.
    fn has_competing_candidate(&self) -> bool {
        let campaign_at = self.coordination.competing_campaign_at.get();
        campaign_at.is_some_and(|at| self.runtime.now() < at + COMPETING_CAMPAIGN_DURATION)
    }

    /// After this node's leadership, searches for a leader again if one is still needed.
    pub(super) fn resume_election(&self) {
        if self.lacks_leader() {
            self.coordination.leader_requested.notify_one();
        }
    }

    fn lacks_leader(&self) -> bool {
        let is_needed = self
            .coordination
            .leader_requested_at
            .get()
            .is_some_and(|at| self.runtime.now() < at + LEADER_REQUEST_DURATION);
        is_needed
            && !self.coordination.is_shutting_down.get()
            && self.coordination.leadership().is_none()
            && self.live_leader().is_none()
    }

    /// Finds a leader or becomes one whenever a leader is needed.
    pub(crate) async fn run_election(self: Rc<Self>) {
        loop {
            let leader_requested = self.coordination.leader_requested.notified();
            if timeout(&self.runtime, MEMBERSHIP_CHECK_INTERVAL, leader_requested).await.is_none()
                && self.has_outdated_members()
            {
                self.request_leader();
            }
            while self.lacks_leader() {
                self.elect().await;
                let _ = timeout(&self.runtime, self.retry_delay(), self.coordination.leader_found.notified())
                    .await;
            }
            self.coordination.failed_elections.set(0);
        }
    }

    /// The members that decide on the next slot; empty while the log has no initial members.
    pub(super) fn log_members(&self) -> Vec<LogMember> {
        let replica = self.coordination.replica.borrow();
        match replica.applied() {
            0 => initial_members(&self.feed.state()),
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
            let survey = self.ask_for_leader(&known, &members).await;
            self.use_reported_leader(survey.leader);
            if members.is_empty() && survey.leader.is_none() {
                self.bootstrap_log().await;
            }
            return;
        }
        let others: Vec<Ipv4Addr> = members.iter().map(|member| member.ip).collect();
        let survey = self.ask_for_leader(&others, &members).await;
        if survey.leader.is_some() {
            self.use_reported_leader(survey.leader);
        } else if survey.has_majority {
            self.runtime.sleep(self.candidate_delay(&members)).await;
            if self.lacks_leader() && !self.has_competing_candidate() {
                self.campaign(&members).await;
            }
        }
    }

    /// Delay by rank, so that candidates that detect the loss of a leader at the same moment start one after another. The ranking
    /// changes with each round.
    fn candidate_delay(&self, members: &[LogMember]) -> Duration {
        let round = self.coordination.replica.borrow().promised().round;
        let rank = |ip: Ipv4Addr| (rendezvous_rank(&ip.octets(), round), ip);
        let higher = members.iter().filter(|member| rank(member.ip) > rank(self.me)).count();
        CANDIDATE_RANK_DELAY * u32::try_from(higher).unwrap_or_default()
    }

    fn use_reported_leader(&self, leader: Option<LogLeader>) {
        if let Some(leader) = leader {
            let expires_at = self.runtime.now() + REPORTED_LEADER_DURATION;
            self.coordination.reported_leader.set(Some((leader, expires_at)));
            self.coordination.leader_found.notify_waiters();
        }
    }

    /// Asks nodes for the leader with which they are in contact; returns early once one reports a leader, or a majority of the
    /// members reports none.
    async fn ask_for_leader(self: &Rc<Self>, nodes: &[Ipv4Addr], members: &[LogMember]) -> LeaderSurvey {
        let is_member = members.iter().any(|member| member.replica == self.replica_id());
        let call = CoordinationCall::Locate { needs_leader: !is_member };
        let (answer_sender, mut answers) = mpsc::unbounded_channel();
        for ip in nodes.iter().copied().filter(|ip| *ip != self.me) {
            let (node, answer_sender, call) = (self.clone(), answer_sender.clone(), call.clone());
            self.runtime.spawn(async move {
                let answer = node.call_coordination(ip, call, LOCATE_TIMEOUT).await;
                let _ = answer_sender.send(answer);
            });
        }
        drop(answer_sender);
        let mut votes = VoteCount::new(members);
        votes.record(self.replica_id());
        let mut survey = LeaderSurvey { has_majority: votes.is_quorum(), ..LeaderSurvey::default() };
        while let Some(answer) = answers.recv().await {
            let Some(CoordinationAnswer::Located { replica, leader }) = answer else { continue };
            // This node is not the leader: a report of its own leadership is outdated.
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
                        self.start_leadership(ballot, applied, self.first_entry(applied, entry, members));
                    }
                    return;
                }
            }
        }
    }

    /// The first entry that a new leader proposes: the one that may be chosen already, the initial members, or an empty entry.
    /// Once it is chosen, a majority of the current members has their membership on disk.
    fn first_entry(&self, applied: u64, pending: Option<LogEntry>, members: &[LogMember]) -> LogEntry {
        pending.unwrap_or_else(|| match applied {
            0 => LogEntry::Members(members.to_vec()),
            _ => LogEntry::Empty,
        })
    }

    fn start_leadership(self: &Rc<Self>, ballot: fleet_model::Ballot, applied: u64, first_entry: LogEntry) {
        let leadership = Rc::new(Leadership::new(ballot, applied, self.runtime.now()));
        *self.coordination.leadership.borrow_mut() = Some(leadership.clone());
        self.runtime.spawn(self.clone().lead(leadership, first_entry));
    }

    async fn fetch_state(self: &Rc<Self>, from: Ipv4Addr) {
        let reply = self.call_replica(from, LogRequest::Fetch, FETCH_TIMEOUT).await;
        if let Some(LogReply::Fetched(snapshot)) = reply.map(|reply| reply.reply) {
            self.coordination.replica.borrow_mut().install(snapshot);
            self.on_log_changed();
        }
    }
}

//! A simulated cluster: nodes of which some are members, the network between them, and the host side of the protocol.

use crate::defect::{Defect, proposed_entry};
use crate::node::{Body, Message, Node, Purpose, Role, Round, address, index_of};
use crate::oracle::Oracle;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, LogEntry, LogMember, LogReply, LogRequest, ReplicaId, SlotEntry,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use replicated_log::{Campaign, CampaignStep, VoteCount, is_vote};

/// Number of nodes, members or not.
pub(crate) const NODE_COUNT: usize = 7;

pub(crate) struct Cluster {
    pub(crate) defect: Defect,
    rng: ChaCha8Rng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Vec<Message>,
    /// The members that decide on slot 1.
    initial_members: Vec<LogMember>,
    pub(crate) oracle: Oracle,
    last_number: u64,
}

impl Cluster {
    pub(crate) fn new(seed: u64, defect: Defect, has_three_members: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<Node> =
            (0..NODE_COUNT).map(|node_index| Node::new(ReplicaId(node_index as u64 + 1))).collect();
        let member_count = if has_three_members { 3 } else { 3 + rng.next_u32() as usize % 3 };
        let initial_members: Vec<LogMember> = (0..member_count)
            .map(|node_index| LogMember { ip: address(node_index), replica: nodes[node_index].replica.id() })
            .collect();
        let last_number = NODE_COUNT as u64;
        Self {
            defect,
            rng,
            nodes,
            network: Vec::new(),
            initial_members,
            oracle: Oracle::default(),
            last_number,
        }
    }

    /// A random number that is less than `bound`.
    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    /// A number that no replica, round or command uses yet.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The members that decide on the next slot, as known to a node.
    pub(crate) fn members_of(&self, node_index: usize) -> Vec<LogMember> {
        let replica = &self.nodes[node_index].replica;
        match replica.applied() {
            0 => self.initial_members.clone(),
            _ => replica.members().to_vec(),
        }
    }

    /// The members after the last slot that any node has applied.
    pub(crate) fn current_members(&self) -> Vec<LogMember> {
        let members = self.oracle.last_members().filter(|members| !members.is_empty());
        members.map_or_else(|| self.initial_members.clone(), <[LogMember]>::to_vec)
    }

    /// Whether a majority of these members still have their disks.
    pub(crate) fn has_live_majority(&self, members: &[LogMember]) -> bool {
        let is_live = |member: &&LogMember| self.nodes[index_of(member.ip)].replica.id() == member.replica;
        members.iter().filter(is_live).count() > members.len() / 2
    }

    pub(crate) fn is_member(&self, node_index: usize) -> bool {
        let id = self.nodes[node_index].replica.id();
        self.members_of(node_index).iter().any(|member| member.replica == id)
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, round: u64, body: Body) {
        self.network.push(Message { from, to, round, body });
    }

    pub(crate) fn broadcast(&mut self, from: usize, members: &[LogMember], round: u64, request: &LogRequest) {
        for member in members {
            self.send(from, index_of(member.ip), round, Body::Request(request.clone()));
        }
    }

    /// Compares the state of a node with those of the others.
    pub(crate) fn check_state(&mut self, node_index: usize) {
        let replica = &self.nodes[node_index].replica;
        if replica.applied() > 0 {
            self.oracle.check_state(replica.applied(), &replica.machine().commands, replica.members());
        }
    }

    pub(crate) fn sync(&mut self, node_index: usize) {
        let votes = self.nodes[node_index].sync();
        self.network.extend(votes);
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        let Message { from, to, round, body } = message;
        match body {
            Body::Request(request) => {
                let reply = self.defect.handle(&mut self.nodes[to], request);
                let must_sync = is_vote(&reply) && self.defect != Defect::VotesBeforeSync;
                let body = Body::Reply(self.nodes[to].replica.id(), reply);
                let reply = Message { from: to, to: from, round, body };
                match must_sync {
                    true => self.nodes[to].hold_vote(reply),
                    false => self.network.push(reply),
                }
            }
            Body::Reply(replica, reply) => self.on_reply(to, from, round, replica, &reply),
        }
        self.check_state(to);
    }

    fn on_reply(&mut self, node_index: usize, from: usize, round: u64, replica: ReplicaId, reply: &LogReply) {
        match reply {
            LogReply::Fetched(snapshot) => self.nodes[node_index].replica.install(snapshot.clone()),
            LogReply::Behind(applied) => {
                let request = self.nodes[node_index].replica.catch_up(*applied);
                self.send(node_index, from, 0, Body::Request(request));
            }
            _ => {}
        }
        match &self.nodes[node_index].role {
            Role::Follower => {}
            Role::Candidate { round: current, .. } if *current == round => {
                self.on_promise(node_index, from, replica, reply);
            }
            Role::Candidate { .. } => {}
            Role::Leader { .. } => self.on_leader_reply(node_index, from, round, replica, reply),
        }
    }

    /// The replica for which a vote is counted.
    fn voter(&self, members: &[LogMember], from: usize, replica: ReplicaId) -> ReplicaId {
        let member = members.iter().find(|member| member.ip == address(from));
        match (self.defect, member) {
            (Defect::VotesCountedByAddress, Some(member)) => member.replica,
            _ => replica,
        }
    }

    pub(crate) fn campaign(&mut self, node_index: usize) {
        let highest_round = self.nodes[node_index].replica.promised().round;
        let round = highest_round + 1 + self.random_below(2) as u64;
        let ballot = Ballot { round, proposer: node_index as u32, incarnation: self.next_number() };
        let members = self.members_of(node_index);
        let applied = self.nodes[node_index].replica.applied();
        let round = self.next_number();
        let campaign = Campaign::new(applied, &members);
        self.broadcast(node_index, &members, round, &LogRequest::Prepare(ballot));
        self.nodes[node_index].role =
            Role::Candidate { ballot, round, campaign, applied, members, reported: Vec::new() };
    }

    fn on_promise(&mut self, node_index: usize, from: usize, replica: ReplicaId, reply: &LogReply) {
        let Role::Candidate { members, .. } = &self.nodes[node_index].role else { return };
        let replica = self.voter(members, from, replica);
        let defect = self.defect;
        let node = &mut self.nodes[node_index];
        let Role::Candidate { ballot, campaign, applied, reported, .. } = &mut node.role else { return };
        if let LogReply::Promised { pending: Some(pending), .. } = reply
            && pending.entry.slot == *applied + 1
        {
            reported.push(pending.clone());
        }
        match campaign.on_reply(address(from), replica, reply) {
            CampaignStep::Wait => {}
            CampaignStep::Lost(_) => node.role = Role::Follower,
            CampaignStep::Behind { from } => {
                node.role = Role::Follower;
                self.send(node_index, index_of(from), 0, Body::Request(LogRequest::Fetch));
            }
            CampaignStep::Won(entry) => {
                let (ballot, applied) = (*ballot, *applied);
                let pending = proposed_entry(defect, entry, reported);
                if node.replica.applied() != applied || node.replica.promised() != ballot {
                    node.role = Role::Follower;
                    return;
                }
                node.role = Role::Leader { ballot, committed: CommitPosition::default(), round: None };
                let initial_entry = (applied == 0).then(|| LogEntry::Members(self.initial_members.clone()));
                if let Some(entry) = pending.or(initial_entry) {
                    self.propose(node_index, entry, true);
                }
            }
        }
    }

    /// Lets a leader without a current round propose an entry.
    pub(crate) fn propose(&mut self, node_index: usize, entry: LogEntry, is_inherited: bool) {
        let members = self.members_of(node_index);
        let round_id = self.next_number();
        let node = &mut self.nodes[node_index];
        let slot = node.replica.applied() + 1;
        let Role::Leader { ballot, committed, round } = &mut node.role else { return };
        let position = CommitPosition { slot, ballot: *ballot };
        let accepted = AcceptedEntry { ballot: *ballot, entry: SlotEntry { slot, entry: entry.clone() } };
        let request = LogRequest::Accept { accepted, committed: *committed };
        *round = Some(Round {
            id: round_id,
            purpose: Purpose::Choose { position, entry, is_inherited },
            request: request.clone(),
            members: members.clone(),
            votes: VoteCount::new(&members),
        });
        self.broadcast(node_index, &members, round_id, &request);
    }

    /// Lets a leader without a current round confirm its leadership for a read.
    pub(crate) fn read(&mut self, node_index: usize) {
        let members = self.members_of(node_index);
        let round_id = self.next_number();
        let required = self.oracle.last_acknowledged();
        let Role::Leader { ballot, committed, round } = &mut self.nodes[node_index].role else { return };
        let request = LogRequest::Heartbeat { ballot: *ballot, committed: *committed };
        *round = Some(Round {
            id: round_id,
            purpose: Purpose::Read { required },
            request: request.clone(),
            members: members.clone(),
            votes: VoteCount::new(&members),
        });
        self.broadcast(node_index, &members, round_id, &request);
    }

    fn on_leader_reply(
        &mut self,
        node_index: usize,
        from: usize,
        round_id: u64,
        replica: ReplicaId,
        reply: &LogReply,
    ) {
        let Role::Leader { ballot, round, .. } = &mut self.nodes[node_index].role else { return };
        if matches!(reply, LogReply::Rejected(seen) if seen > ballot) {
            self.nodes[node_index].role = Role::Follower;
            return;
        }
        let Some(current) = round.take_if(|round| round.id == round_id) else { return };
        let counts_as_vote = match &current.purpose {
            Purpose::Choose { .. } => matches!(reply, LogReply::Accepted),
            Purpose::Read { .. } => matches!(reply, LogReply::Confirmed | LogReply::Behind(_)),
        };
        let voter = self.voter(&current.members, from, replica);
        let Role::Leader { round, .. } = &mut self.nodes[node_index].role else { return };
        let current = round.insert(current);
        if counts_as_vote && current.votes.record(voter) {
            self.end_round(node_index);
        }
    }

    fn end_round(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let Role::Leader { round, committed, .. } = &mut node.role else { return };
        let Some(ended) = round.take() else { return };
        let (position, entry, is_inherited) = match ended.purpose {
            Purpose::Read { required } => {
                let applied = node.replica.applied();
                return self.oracle.check_read(required, applied);
            }
            Purpose::Choose { position, entry, is_inherited } => (position, entry, is_inherited),
        };
        if node.replica.commit_own(position).is_none() {
            node.role = Role::Follower;
            return;
        }
        *committed = position;
        if let LogEntry::Batch(batch) = &entry
            && !is_inherited
        {
            let commands = batch.commands.iter().map(crate::command_number);
            commands.for_each(|command| self.oracle.acknowledge(position.slot, command));
        }
        self.check_state(node_index);
        let skips_campaign = self.defect == Defect::NoCampaignAfterChange;
        if matches!(entry, LogEntry::Members(_)) && !skips_campaign {
            self.nodes[node_index].role = Role::Follower;
            if self.is_member(node_index) {
                self.campaign(node_index);
            }
        }
    }
}

//! A schedule: seven nodes, three to five of them members, whose messages, disks and processes fail at random.

use crate::defect::{Defect, proposed_entry};
use crate::ledger::Oracle;
use crate::node::{Body, Message, Node, Purpose, Role, Round, address, number_of};
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, LogEntry, LogMember, LogReply, LogRequest, ReplicaId, SlotEntry,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use replicated_log::{Campaign, CampaignStep, VoteCount, is_vote};

/// Number of nodes that may be members.
pub(crate) const NODES: usize = 7;

pub(crate) struct Fleet {
    pub(crate) defect: Defect,
    rng: ChaCha8Rng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Vec<Message>,
    founders: Vec<LogMember>,
    pub(crate) oracle: Oracle,
    last_number: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, defect: Defect, has_few_founders: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<Node> = (0..NODES).map(|number| Node::new(ReplicaId(number as u64 + 1))).collect();
        let founders = if has_few_founders { 3 } else { 3 + rng.next_u32() as usize % 3 };
        let founders: Vec<LogMember> = (0..founders)
            .map(|number| LogMember { ip: address(number), replica: nodes[number].replica.id() })
            .collect();
        let last_number = NODES as u64;
        Self { defect, rng, nodes, network: Vec::new(), founders, oracle: Oracle::default(), last_number }
    }

    /// A random number below a bound.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound
    }

    /// A number that no replica, round or command has yet.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The members that decide on a node's next slot, as far as it knows.
    pub(crate) fn members_of(&self, number: usize) -> Vec<LogMember> {
        let replica = &self.nodes[number].replica;
        match replica.applied() {
            0 => self.founders.clone(),
            _ => replica.members().to_vec(),
        }
    }

    /// The members after the last slot that anyone has applied.
    pub(crate) fn current_members(&self) -> Vec<LogMember> {
        let members = self.oracle.last_members().filter(|members| !members.is_empty());
        members.map_or_else(|| self.founders.clone(), <[LogMember]>::to_vec)
    }

    /// Whether the replicas of a majority of these members have their disks.
    pub(crate) fn has_live_majority(&self, members: &[LogMember]) -> bool {
        let is_live = |member: &&LogMember| self.nodes[number_of(member.ip)].replica.id() == member.replica;
        members.iter().filter(is_live).count() > members.len() / 2
    }

    pub(crate) fn is_member(&self, number: usize) -> bool {
        let id = self.nodes[number].replica.id();
        self.members_of(number).iter().any(|member| member.replica == id)
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, round: u64, body: Body) {
        self.network.push(Message { from, to, round, body });
    }

    pub(crate) fn broadcast(&mut self, from: usize, members: &[LogMember], round: u64, request: &LogRequest) {
        for member in members {
            self.send(from, number_of(member.ip), round, Body::Request(request.clone()));
        }
    }

    /// Compares a node's state with what others have applied.
    pub(crate) fn observe(&mut self, number: usize) {
        let replica = &self.nodes[number].replica;
        if replica.applied() > 0 {
            self.oracle.observe(replica.applied(), &replica.machine().commands, replica.members());
        }
    }

    pub(crate) fn sync(&mut self, number: usize) {
        let votes = self.nodes[number].sync();
        self.network.extend(votes);
    }

    /// Delivers a message.
    pub(crate) fn deliver(&mut self, message: Message) {
        let Message { from, to, round, body } = message;
        match body {
            Body::Request(request) => {
                let reply = self.defect.handle(&mut self.nodes[to], request);
                let must_sync = is_vote(&reply) && self.defect != Defect::VotesBeforeSync;
                let body = Body::Reply(self.nodes[to].replica.id(), reply);
                let reply = Message { from: to, to: from, round, body };
                match must_sync {
                    true => self.nodes[to].hold(reply),
                    false => self.network.push(reply),
                }
            }
            Body::Reply(replica, reply) => self.on_reply(to, from, round, replica, &reply),
        }
        self.observe(to);
    }

    fn on_reply(&mut self, number: usize, from: usize, round: u64, replica: ReplicaId, reply: &LogReply) {
        match reply {
            LogReply::Fetched(snapshot) => self.nodes[number].replica.install(snapshot.clone()),
            LogReply::Behind(applied) => {
                let request = self.nodes[number].replica.catch_up(*applied);
                self.send(number, from, 0, Body::Request(request));
            }
            _ => {}
        }
        match &self.nodes[number].role {
            Role::Follower => {}
            Role::Candidate { round: current, .. } if *current == round => {
                self.on_promise(number, from, replica, reply);
            }
            Role::Candidate { .. } => {}
            Role::Leader { .. } => self.on_leader_reply(number, from, round, replica, reply),
        }
    }

    /// The replica that a vote counts for.
    fn voter(&self, members: &[LogMember], from: usize, replica: ReplicaId) -> ReplicaId {
        let member = members.iter().find(|member| member.ip == address(from));
        match (self.defect, member) {
            (Defect::VotesCountedByAddress, Some(member)) => member.replica,
            _ => replica,
        }
    }

    pub(crate) fn campaign(&mut self, number: usize) {
        let highest = self.nodes[number].replica.promised().round;
        let round = highest + 1 + self.below(2) as u64;
        let ballot = Ballot { round, proposer: number as u32, incarnation: self.next_number() };
        let members = self.members_of(number);
        let applied = self.nodes[number].replica.applied();
        let round = self.next_number();
        let campaign = Campaign::new(applied, &members);
        self.broadcast(number, &members, round, &LogRequest::Prepare(ballot));
        self.nodes[number].role =
            Role::Candidate { ballot, round, campaign, applied, members, heard: Vec::new() };
    }

    fn on_promise(&mut self, number: usize, from: usize, replica: ReplicaId, reply: &LogReply) {
        let Role::Candidate { members, .. } = &self.nodes[number].role else { return };
        let replica = self.voter(members, from, replica);
        let defect = self.defect;
        let node = &mut self.nodes[number];
        let Role::Candidate { ballot, campaign, applied, heard, .. } = &mut node.role else { return };
        if let LogReply::Promised { pending: Some(pending), .. } = reply
            && pending.entry.slot == *applied + 1
        {
            heard.push(pending.clone());
        }
        match campaign.on_reply(address(from), replica, reply) {
            CampaignStep::Wait => {}
            CampaignStep::Lost(_) => node.role = Role::Follower,
            CampaignStep::Behind { from } => {
                node.role = Role::Follower;
                self.send(number, number_of(from), 0, Body::Request(LogRequest::Fetch));
            }
            CampaignStep::Won(entry) => {
                let (ballot, applied) = (*ballot, *applied);
                let pending = proposed_entry(defect, entry, heard);
                if node.replica.applied() != applied || node.replica.promised() != ballot {
                    node.role = Role::Follower;
                    return;
                }
                node.role = Role::Leader { ballot, committed: CommitPosition::default(), round: None };
                let founding = (applied == 0).then(|| LogEntry::Members(self.founders.clone()));
                if let Some(entry) = pending.or(founding) {
                    self.propose(number, entry, true);
                }
            }
        }
    }

    /// Has a leader without a round propose an entry.
    pub(crate) fn propose(&mut self, number: usize, entry: LogEntry, is_inherited: bool) {
        let members = self.members_of(number);
        let round_number = self.next_number();
        let node = &mut self.nodes[number];
        let slot = node.replica.applied() + 1;
        let Role::Leader { ballot, committed, round } = &mut node.role else { return };
        let position = CommitPosition { slot, ballot: *ballot };
        let accepted = AcceptedEntry { ballot: *ballot, entry: SlotEntry { slot, entry: entry.clone() } };
        let request = LogRequest::Accept { accepted, committed: *committed };
        *round = Some(Round {
            number: round_number,
            purpose: Purpose::Choose { position, entry, is_inherited },
            request: request.clone(),
            members: members.clone(),
            votes: VoteCount::new(&members),
        });
        self.broadcast(number, &members, round_number, &request);
    }

    /// Has a leader without a round confirm that it leads, for a read.
    pub(crate) fn read(&mut self, number: usize) {
        let members = self.members_of(number);
        let round_number = self.next_number();
        let required = self.oracle.last_acknowledged();
        let Role::Leader { ballot, committed, round } = &mut self.nodes[number].role else { return };
        let request = LogRequest::Heartbeat { ballot: *ballot, committed: *committed };
        *round = Some(Round {
            number: round_number,
            purpose: Purpose::Read { required },
            request: request.clone(),
            members: members.clone(),
            votes: VoteCount::new(&members),
        });
        self.broadcast(number, &members, round_number, &request);
    }

    fn on_leader_reply(
        &mut self,
        number: usize,
        from: usize,
        of_round: u64,
        replica: ReplicaId,
        reply: &LogReply,
    ) {
        let Role::Leader { ballot, round, .. } = &mut self.nodes[number].role else { return };
        if matches!(reply, LogReply::Rejected(seen) if seen > ballot) {
            self.nodes[number].role = Role::Follower;
            return;
        }
        let Some(current) = round.take_if(|round| round.number == of_round) else { return };
        let counts = match &current.purpose {
            Purpose::Choose { .. } => matches!(reply, LogReply::Accepted),
            Purpose::Read { .. } => matches!(reply, LogReply::Confirmed | LogReply::Behind(_)),
        };
        let voter = self.voter(&current.members, from, replica);
        let Role::Leader { round, .. } = &mut self.nodes[number].role else { return };
        let current = round.insert(current);
        if counts && current.votes.record(voter) {
            self.end_round(number);
        }
    }

    fn end_round(&mut self, number: usize) {
        let node = &mut self.nodes[number];
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
            let names = batch.commands.iter().map(crate::command_number);
            names.for_each(|command| self.oracle.acknowledge(position.slot, command));
        }
        self.observe(number);
        let goes_on = self.defect == Defect::NoCampaignAfterChange;
        if matches!(entry, LogEntry::Members(_)) && !goes_on {
            self.nodes[number].role = Role::Follower;
            if self.is_member(number) {
                self.campaign(number);
            }
        }
    }
}

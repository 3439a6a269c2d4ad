//! A node: its disk, its replica and what it does as a proposer.

use crate::ledger::Ledger;
use bytes::Bytes;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, LogEntry, LogMember, LogReply, LogRequest, ReplicaId,
};
use replicated_log::{Campaign, RecoveredJournal, Replica, VoteCount};
use std::net::Ipv4Addr;

/// A message between two nodes, given by their numbers.
#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) from: usize,
    pub(crate) to: usize,
    /// The round of the proposer that it belongs to.
    pub(crate) round: u64,
    pub(crate) body: Body,
}

#[derive(Clone)]
pub(crate) enum Body {
    Request(LogRequest),
    Reply(ReplicaId, LogReply),
}

/// What a leader's current round is for.
pub(crate) enum Purpose {
    /// Having this entry chosen.
    Choose { position: CommitPosition, entry: LogEntry, is_inherited: bool },
    /// Answering a read, begun when this slot was the last acknowledged.
    Read { required: u64 },
}

pub(crate) struct Round {
    pub(crate) number: u64,
    pub(crate) purpose: Purpose,
    pub(crate) request: LogRequest,
    pub(crate) members: Vec<LogMember>,
    pub(crate) votes: VoteCount,
}

/// What a node does as a proposer.
pub(crate) enum Role {
    Follower,
    Candidate {
        ballot: Ballot,
        round: u64,
        campaign: Campaign,
        applied: u64,
        members: Vec<LogMember>,
        heard: Vec<AcceptedEntry>,
    },
    Leader {
        ballot: Ballot,
        committed: CommitPosition,
        round: Option<Round>,
    },
}

pub(crate) struct Node {
    pub(crate) replica: Replica<Ledger>,
    pub(crate) role: Role,
    disk: RecoveredJournal,
    /// Votes that wait until the records are synced.
    held: Vec<Message>,
    /// Accepted for a later slot than the next, by a replica with a defect.
    pub(crate) skipped: Option<AcceptedEntry>,
}

pub(crate) fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number as u8 + 1)
}

pub(crate) fn number_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

impl Node {
    /// A node with an empty disk; its identity is written before anything else.
    pub(crate) fn new(id: ReplicaId) -> Self {
        let mut node = Self {
            replica: Replica::new(id),
            role: Role::Follower,
            disk: RecoveredJournal::Empty,
            held: Vec::new(),
            skipped: None,
        };
        node.sync();
        node
    }

    /// Writes what is recorded. Returns the votes that may be sent now.
    pub(crate) fn sync(&mut self) -> Vec<Message> {
        match (self.replica.take_records(), &mut self.disk) {
            (Some(appended), RecoveredJournal::Stored { records, .. }) => {
                records.extend(appended);
            }
            _ => {
                let checkpoint = self.replica.checkpoint();
                self.disk = RecoveredJournal::Stored { checkpoint, records: Vec::new() };
            }
        }
        std::mem::take(&mut self.held)
    }

    /// A write that the disk refuses: the votes that wait for it are never sent.
    pub(crate) fn refuse_write(&mut self) {
        let _: Option<Vec<Bytes>> = self.replica.take_records();
        self.replica.require_checkpoint();
        self.held.clear();
    }

    /// Holds a vote until the next sync.
    pub(crate) fn hold(&mut self, vote: Message) {
        self.held.push(vote);
    }

    /// Ends the process and starts another with what is on disk.
    pub(crate) fn restart(&mut self) {
        let RecoveredJournal::Stored { checkpoint, records } = &self.disk else { panic!("no journal") };
        self.replica = Replica::recover(checkpoint, records).expect("a readable journal");
        self.role = Role::Follower;
        self.held.clear();
    }

    /// The entry accepted for the next slot.
    pub(crate) fn pending(&self) -> Option<AcceptedEntry> {
        let mut asked = self.replica.clone();
        match asked.handle(LogRequest::Prepare(asked.promised())) {
            LogReply::Promised { pending, .. } => pending,
            _ => None,
        }
    }
}

//! A simulated node: its disk, its replica and its role as a proposer.

use crate::oracle::CommandLog;
use bytes::Bytes;
use fleet_model::{
    AcceptedEntry, Ballot, CommitPosition, LogEntry, LogMember, LogReply, LogRequest, ReplicaId,
};
use replicated_log::{Campaign, RecoveredJournal, Replica, VoteCount};
use std::net::Ipv4Addr;

/// A message between two nodes, which are given by index.
#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) from: usize,
    pub(crate) to: usize,
    /// The proposer's round that the message belongs to; 0 for none.
    pub(crate) round: u64,
    pub(crate) body: Body,
}

#[derive(Clone)]
pub(crate) enum Body {
    Request(LogRequest),
    Reply(ReplicaId, LogReply),
}

/// The purpose of a leader's round.
pub(crate) enum Purpose {
    /// Have this entry chosen. An inherited entry was found pending by the campaign.
    Choose { position: CommitPosition, entry: LogEntry, is_inherited: bool },
    /// Confirm the leadership for a read. `required` was the last acknowledged slot when the read began.
    Read { required: u64 },
}

pub(crate) struct Round {
    pub(crate) id: u64,
    pub(crate) purpose: Purpose,
    pub(crate) request: LogRequest,
    pub(crate) members: Vec<LogMember>,
    pub(crate) votes: VoteCount,
}

pub(crate) enum Role {
    Follower,
    Candidate {
        ballot: Ballot,
        round: u64,
        campaign: Campaign,
        applied: u64,
        members: Vec<LogMember>,
        /// Entries for the next slot that promises have reported.
        reported: Vec<AcceptedEntry>,
    },
    Leader {
        ballot: Ballot,
        committed: CommitPosition,
        round: Option<Round>,
    },
}

pub(crate) struct Node {
    pub(crate) replica: Replica<CommandLog>,
    pub(crate) role: Role,
    disk: RecoveredJournal,
    /// Votes that must not be sent before the records are synced.
    unsynced_votes: Vec<Message>,
    /// Entry for a slot after the next one, accepted by [`crate::defect::Defect::AcceptWithoutCommitCheck`].
    pub(crate) skipped: Option<AcceptedEntry>,
}

pub(crate) fn address(node_index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node_index as u8 + 1)
}

pub(crate) fn index_of(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

impl Node {
    /// A node with an empty disk. The identity of its replica is written immediately.
    pub(crate) fn new(id: ReplicaId) -> Self {
        let mut node = Self {
            replica: Replica::new(id),
            role: Role::Follower,
            disk: RecoveredJournal::Empty,
            unsynced_votes: Vec::new(),
            skipped: None,
        };
        node.sync();
        node
    }

    /// Writes the outstanding records to disk. Returns the votes that may be sent now.
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
        std::mem::take(&mut self.unsynced_votes)
    }

    /// Simulates a failed write: the votes that wait for it are never sent.
    pub(crate) fn fail_write(&mut self) {
        let _: Option<Vec<Bytes>> = self.replica.take_records();
        self.replica.require_checkpoint();
        self.unsynced_votes.clear();
    }

    /// Delays a vote until the next sync.
    pub(crate) fn hold_vote(&mut self, vote: Message) {
        self.unsynced_votes.push(vote);
    }

    /// Simulates a crash and a restart from the disk.
    pub(crate) fn restart(&mut self) {
        let RecoveredJournal::Stored { checkpoint, records } = &self.disk else {
            panic!("the node has no journal")
        };
        self.replica = Replica::recover(checkpoint, records).expect("the journal is readable");
        self.role = Role::Follower;
        self.unsynced_votes.clear();
    }

    /// The entry accepted for the next slot.
    pub(crate) fn pending(&self) -> Option<AcceptedEntry> {
        let mut replica = self.replica.clone();
        match replica.handle(LogRequest::Prepare(replica.promised())) {
            LogReply::Promised { pending, .. } => pending,
            _ => None,
        }
    }
}

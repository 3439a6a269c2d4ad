//! The membership state that a sender persists: a log of records whose replay gives a [`State`]. The host writes each
//! record before it carries out the effects that follow it.
use crate::member_list::{Change, MemberList};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use serde::{Deserialize, Serialize};

/// A write to the consensus log of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterRecord {
    /// This sender became a voter of the group with this number and starts with an empty log.
    GroupStarted(u32),
    /// Entries accepted at this log index; existing entries from the index on are replaced.
    Accepted(usize, Vec<Change>),
    /// The voter promised to ignore lower ballots than this one.
    Promised(Ballot),
    /// The number of decided entries.
    Decided(usize),
    /// The ballot in which the entries were accepted.
    AcceptedBallot(Ballot),
    /// The stop sign that ends the group and names the next one; `None` withdraws it.
    Stop(Option<StopSign>),
}

/// One record of the log on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The random ID of the data folder, written at its first use.
    Folder(u64),
    /// The incarnation of a process that started on this folder.
    Incarnation(u32),
    /// Folder ID of the founder that this seed, not yet in a fleet, promised to follow.
    Promise(u64),
    /// A full member list, which replaces the stored one.
    MemberList(Box<MemberList>),
    /// The change with this number. It applies only to the member list with the preceding number: if a write in between
    /// failed, the stored list stays at its older, consistent version.
    Change(u64, Change),
    /// A write to the consensus log of this voter.
    Voter(VoterRecord),
    /// A snapshot of the complete state, with which a compacted log begins.
    Whole(Box<State>),
}

/// The consensus log of a voter, as persisted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterState {
    pub(crate) group: u32,
    pub(crate) log: Vec<Change>,
    pub(crate) promised: Option<Ballot>,
    pub(crate) decided_count: usize,
    pub(crate) accepted_ballot: Option<Ballot>,
    pub(crate) stop_sign: Option<StopSign>,
}

impl VoterState {
    pub(crate) fn apply(&mut self, record: VoterRecord) {
        match record {
            VoterRecord::GroupStarted(group) => *self = Self { group, ..Self::default() },
            VoterRecord::Accepted(from, changes) => {
                self.log.truncate(from);
                self.log.extend(changes);
            }
            VoterRecord::Promised(ballot) => self.promised = Some(ballot),
            VoterRecord::Decided(count) => self.decided_count = count,
            VoterRecord::AcceptedBallot(ballot) => self.accepted_ballot = Some(ballot),
            VoterRecord::Stop(stop_sign) => self.stop_sign = stop_sign,
        }
    }
}

/// The state that results from replaying all records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Random ID of the data folder; 0 before its first use.
    pub folder: u64,
    /// Number of process starts on this folder.
    pub incarnation: u32,
    /// Folder ID of the founder that this sender promised to follow while it belonged to no fleet.
    pub promise: Option<u64>,
    /// The latest persisted member list; `None` before the sender has joined a fleet.
    pub member_list: Option<MemberList>,
    /// The consensus log; `None` if the sender was never a voter.
    pub voter: Option<VoterState>,
}

impl State {
    /// Replays a record on top of the state.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Folder(folder) => self.folder = folder,
            Record::Incarnation(incarnation) => self.incarnation = incarnation,
            Record::Promise(founder) => self.promise = Some(founder),
            Record::MemberList(member_list) => self.member_list = Some(*member_list),
            Record::Change(number, change) => {
                if let Some(member_list) =
                    self.member_list.as_mut().filter(|member_list| member_list.number + 1 == number)
                {
                    member_list.apply(change);
                }
            }
            Record::Voter(record) => self.voter.get_or_insert_default().apply(record),
            Record::Whole(state) => *self = *state,
        }
    }
}

#[cfg(test)]
mod tests;

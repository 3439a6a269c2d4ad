//! What a sender keeps of its fleet on disk: records that add up to a state. Whoever drives the machines writes each record
//! before it carries out what comes after it.
use crate::member_list::{Change, MemberList};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use serde::{Deserialize, Serialize};

/// What a voter has promised and accepted, as a write to its log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterRecord {
    /// A voter of this group from now on, with an empty log.
    Began(u32),
    /// Steps accepted, from this place in the log on; what stood there goes.
    Accepted(usize, Vec<Change>),
    /// No earlier ballot is listened to.
    Promised(Ballot),
    /// So many steps are agreed.
    Decided(usize),
    /// The ballot of the accepted steps.
    Round(Ballot),
    /// The group ends with the next one, or does not.
    Stop(Option<StopSign>),
}

/// A write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The folder's own number, drawn at its first use.
    Folder(u64),
    /// A start.
    Incarnation(u32),
    /// The founder that this blank seed has promised to follow.
    Promise(u64),
    /// The latest record of who belongs.
    MemberList(Box<MemberList>),
    /// The step that has this number: it follows the record before it, and nothing else. Where a write in between failed, the
    /// disk goes on holding what it held, which is old and sound.
    Step(u64, Change),
    /// A voter's log.
    Voter(VoterRecord),
    /// All of it, in one: what a log written anew begins with.
    Whole(Box<State>),
}

/// A voter's log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterState {
    pub(crate) group: u32,
    pub(crate) log: Vec<Change>,
    pub(crate) promised: Option<Ballot>,
    pub(crate) decided: usize,
    pub(crate) round: Option<Ballot>,
    pub(crate) stop: Option<StopSign>,
}

impl VoterState {
    pub(crate) fn apply(&mut self, record: VoterRecord) {
        match record {
            VoterRecord::Began(group) => *self = Self { group, ..Self::default() },
            VoterRecord::Accepted(from, changes) => {
                self.log.truncate(from);
                self.log.extend(changes);
            }
            VoterRecord::Promised(ballot) => self.promised = Some(ballot),
            VoterRecord::Decided(count) => self.decided = count,
            VoterRecord::Round(ballot) => self.round = Some(ballot),
            VoterRecord::Stop(stop) => self.stop = stop,
        }
    }
}

/// What the records add up to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The folder's own number; 0 in a folder that was never used.
    pub folder: u64,
    /// How often a sender has started on it.
    pub incarnation: u32,
    /// The founder that it has promised to follow, while it belongs to no fleet.
    pub promise: Option<u64>,
    /// Who belongs.
    pub member_list: Option<MemberList>,
    /// Its log as a voter.
    pub voter: Option<VoterState>,
}

impl State {
    /// Adds a record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Folder(folder) => self.folder = folder,
            Record::Incarnation(incarnation) => self.incarnation = incarnation,
            Record::Promise(founder) => self.promise = Some(founder),
            Record::MemberList(member_list) => self.member_list = Some(*member_list),
            Record::Step(number, change) => {
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

//! Who belongs to the fleet: a record that changes only by agreed, numbered steps (V3). Applying a step is a function of
//! the record and the step alone, so whoever has the same number has the same record.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Former members that are remembered, so that they cannot come back as what they were.
const MOST_GONE: usize = 1_000;
/// Members a fleet can have: what peers may make a sender hold is bounded.
const MOST_MEMBERS: usize = 10_000;

/// What a sender tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Info {
    /// Its name, the same after a restart.
    pub name: String,
    /// The zone that it stands in.
    pub zone: String,
    /// The machine that it stands on: what is lost together has the same label.
    pub machine: String,
    /// The program's version.
    pub version: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// One that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// What it told of itself.
    pub info: Info,
    /// Its number: given once, never again.
    pub number: u32,
    /// How often it has started on its folder.
    pub incarnation: u32,
    /// Drawn at that start: two processes on copies of one folder differ in it.
    pub boot: u64,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

/// Why one does not belong any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Departure {
    /// It left in order.
    Left,
    /// Operators removed it.
    Removed,
    /// Another one has its name: it came back with an empty folder.
    Replaced,
}

/// One that belonged to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartedMember {
    /// The folder it had.
    pub folder: u64,
    /// Its name.
    pub name: String,
    /// Its last incarnation.
    pub incarnation: u32,
    /// Why.
    pub why: Departure,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A sender started: a new one, or a member in a higher incarnation.
    Start {
        /// Drawn when the folder was first used.
        folder: u64,
        /// How often it has started on it.
        incarnation: u32,
        /// Drawn at this start.
        boot: u64,
        /// What it tells of itself.
        info: Info,
    },
    /// A sender says that it is about to leave.
    Leaving {
        /// Its folder.
        folder: u64,
    },
    /// A sender goes for good.
    Departure {
        /// Its folder.
        folder: u64,
        /// Why.
        why: Departure,
    },
    /// The senders with these folders agree on the steps from here on.
    Voters {
        /// The number of this group.
        group: u32,
        /// In the order of their numbers within it.
        folders: Vec<u64>,
    },
}

/// Who belongs to the fleet, as of a number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberList {
    /// Drawn at the founding: no other fleet has it, not even one of the same name.
    pub fleet: u64,
    /// The folder of the sender that founded it.
    pub founder: u64,
    /// Raised by operators alone, when a majority of the voters is lost for good.
    pub epoch: u32,
    /// How many steps there were.
    pub number: u64,
    /// The number of the group of voters, and the number of steps at its beginning.
    pub group: u32,
    /// How many steps there were when the group began.
    pub group_began: u64,
    /// Folders of the voters.
    pub voters: Vec<u64>,
    /// Members by folder.
    pub members: BTreeMap<u64, Member>,
    /// Former members, the latest last.
    pub departed: VecDeque<DepartedMember>,
    next: u32,
}

impl MemberList {
    /// The first record: the founders, who are also its voters.
    pub fn found(fleet: u64, founder: u64, founders: Vec<(u64, u32, u64, Info)>) -> Self {
        let voters = founders.iter().map(|(folder, ..)| *folder).collect();
        let mut member_list = Self {
            fleet,
            founder,
            epoch: 1,
            number: 0,
            group: 1,
            group_began: 1,
            voters,
            members: BTreeMap::new(),
            departed: VecDeque::new(),
            next: 1,
        };
        for (folder, incarnation, boot, info) in founders {
            member_list.start(folder, incarnation, boot, info);
        }
        member_list.number = 1;
        member_list
    }

    /// A checksum of all of it: two records of one fleet, epoch and number have the same one.
    pub fn digest(&self) -> u32 {
        postcard::to_allocvec(self).map_or(0, |bytes| crc32fast::hash(&bytes))
    }

    /// Which of two records of one fleet is later.
    pub fn age(&self) -> (u32, u64) {
        (self.epoch, self.number)
    }

    /// Steps that the present group of voters has agreed on.
    pub fn in_group(&self) -> usize {
        usize::try_from(self.number - self.group_began).unwrap_or(usize::MAX)
    }

    /// Takes a step. One that changes nothing still counts.
    pub fn apply(&mut self, change: Change) {
        self.number += 1;
        match change {
            Change::Start { folder, incarnation, boot, info } => self.start(folder, incarnation, boot, info),
            Change::Leaving { folder } => {
                if let Some(member) = self.members.get_mut(&folder) {
                    member.leaving = true;
                }
            }
            Change::Departure { folder, why } => self.depart(folder, why),
            Change::Voters { group, folders } => {
                if group > self.group {
                    self.group = group;
                    self.group_began = self.number;
                    self.voters = folders;
                }
            }
        }
    }

    fn start(&mut self, folder: u64, incarnation: u32, boot: u64, info: Info) {
        if self.departed.iter().any(|gone| gone.folder == folder) {
            return;
        }
        if let Some(member) = self.members.get_mut(&folder) {
            // The same start told twice, or that of a copy of the folder: the first one stands.
            if incarnation > member.incarnation {
                let number = member.number;
                *member = Member { info, number, incarnation, boot, leaving: false };
            }
            return;
        }
        if self.members.len() >= MOST_MEMBERS {
            return;
        }
        if let Some(former) = self.folder_of(&info.name) {
            self.depart(former, Departure::Replaced);
        }
        let number = self.next;
        self.next += 1;
        self.members.insert(folder, Member { info, number, incarnation, boot, leaving: false });
    }

    fn depart(&mut self, folder: u64, why: Departure) {
        if let Some(member) = self.members.remove(&folder) {
            self.departed.push_back(DepartedMember {
                folder,
                name: member.info.name,
                incarnation: member.incarnation,
                why,
            });
            if self.departed.len() > MOST_GONE {
                self.departed.pop_front();
            }
        }
    }

    /// The folder of the member of that name.
    pub fn folder_of(&self, name: &str) -> Option<u64> {
        self.members.iter().find(|(_, member)| member.info.name == name).map(|(folder, _)| *folder)
    }

    /// The former member with that folder.
    pub fn departure_of(&self, folder: u64) -> Option<&DepartedMember> {
        self.departed.iter().find(|gone| gone.folder == folder)
    }

    /// What operators do when a majority of the voters is lost for good: the same members, under new voters.
    pub(crate) fn refounded(&self, voters: Vec<u64>) -> Self {
        let number = self.number + 1;
        Self {
            epoch: self.epoch + 1,
            number,
            group: self.group + 1,
            group_began: number,
            voters,
            ..self.clone()
        }
    }
}

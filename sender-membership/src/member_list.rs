//! The member list of the fleet. It changes only by numbered changes that the voters agreed on (V3). Applying a change is
//! deterministic, so two senders with the same epoch and number have the same list.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Departed members that the list remembers, so that their folder IDs cannot rejoin.
const MAX_DEPARTED: usize = 1_000;
/// Largest fleet: bounds the memory that peers can make a sender use.
const MAX_MEMBERS: usize = 10_000;

/// Description of a sender, as it reports it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Info {
    /// Name of the sender, unique in the fleet and unchanged by a restart.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Failure domain: senders that fail together have the same label.
    pub machine: String,
    /// Version of the program.
    pub version: String,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

/// A current member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The description that it reported at its latest start.
    pub info: Info,
    /// Number within the fleet, never reused.
    pub number: u32,
    /// Number of process starts on its folder.
    pub incarnation: u32,
    /// Random ID of that process start, which tells apart processes that run on copies of one folder.
    pub boot: u64,
    /// Whether it announced that it leaves the fleet.
    pub leaving: bool,
}

/// Why a member departed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Departure {
    /// It left gracefully.
    Left,
    /// An operator removed it.
    Removed,
    /// A sender with the same name and another folder ID joined, as after a restart with an empty folder.
    Replaced,
}

/// A former member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartedMember {
    /// Its folder ID.
    pub folder: u64,
    /// Name that it had as a member.
    pub name: String,
    /// Incarnation at the time of its departure.
    pub incarnation: u32,
    /// Why it departed.
    pub why: Departure,
}

/// A change of the member list that the voters agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A sender started: a new one, or a member with a higher incarnation.
    Start {
        /// Random ID of its data folder.
        folder: u64,
        /// Number of process starts on the folder.
        incarnation: u32,
        /// Random ID of this process start.
        boot: u64,
        /// Its description.
        info: Info,
    },
    /// A member announced that it leaves.
    Leaving {
        /// Its folder ID.
        folder: u64,
    },
    /// A member departs for good.
    Departure {
        /// Its folder ID.
        folder: u64,
        /// Why it departs.
        why: Departure,
    },
    /// A new group of voters takes over: it agrees on all later changes.
    Voters {
        /// The number of this group.
        group: u32,
        /// Folder IDs, in the order of the voters' numbers within the group.
        folders: Vec<u64>,
    },
}

/// The members of the fleet at one version, given by epoch and number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberList {
    /// Random ID drawn at the founding, which tells apart fleets of the same name.
    pub fleet: u64,
    /// Folder ID of the sender that founded the fleet.
    pub founder: u64,
    /// Raised only by operators, when a majority of the voters is permanently lost.
    pub epoch: u32,
    /// Number of changes applied so far.
    pub number: u64,
    /// Number of the current group of voters.
    pub group: u32,
    /// Value of `number` when the current group took over.
    pub group_start: u64,
    /// Folder IDs of the voters.
    pub voters: Vec<u64>,
    /// Members by folder ID.
    pub members: BTreeMap<u64, Member>,
    /// Departed members, the most recent last.
    pub departed: VecDeque<DepartedMember>,
    next_number: u32,
}

impl MemberList {
    /// Creates the first member list. The founders, given as (folder, incarnation, boot, info), are also its voters.
    pub fn with_founders(fleet: u64, founder: u64, founders: Vec<(u64, u32, u64, Info)>) -> Self {
        let voters = founders.iter().map(|(folder, ..)| *folder).collect();
        let mut member_list = Self {
            fleet,
            founder,
            epoch: 1,
            number: 0,
            group: 1,
            group_start: 1,
            voters,
            members: BTreeMap::new(),
            departed: VecDeque::new(),
            next_number: 1,
        };
        for (folder, incarnation, boot, info) in founders {
            member_list.apply_start(folder, incarnation, boot, info);
        }
        member_list.number = 1;
        member_list
    }

    /// Checksum of the whole list, equal for all lists with the same fleet, epoch and number.
    pub fn digest(&self) -> u32 {
        postcard::to_allocvec(self).map_or(0, |bytes| crc32fast::hash(&bytes))
    }

    /// Version of the list as (epoch, number): of two lists of one fleet, the later one has the greater version.
    pub fn age(&self) -> (u32, u64) {
        (self.epoch, self.number)
    }

    /// Number of changes that the current group of voters has agreed on.
    pub fn changes_in_group(&self) -> usize {
        usize::try_from(self.number - self.group_start).unwrap_or(usize::MAX)
    }

    /// Applies a change. The number grows even if the change has no effect.
    pub fn apply(&mut self, change: Change) {
        self.number += 1;
        match change {
            Change::Start { folder, incarnation, boot, info } => {
                self.apply_start(folder, incarnation, boot, info)
            }
            Change::Leaving { folder } => {
                if let Some(member) = self.members.get_mut(&folder) {
                    member.leaving = true;
                }
            }
            Change::Departure { folder, why } => self.apply_departure(folder, why),
            Change::Voters { group, folders } => {
                if group > self.group {
                    self.group = group;
                    self.group_start = self.number;
                    self.voters = folders;
                }
            }
        }
    }

    fn apply_start(&mut self, folder: u64, incarnation: u32, boot: u64, info: Info) {
        if self.departed.iter().any(|departed| departed.folder == folder) {
            return;
        }
        if let Some(member) = self.members.get_mut(&folder) {
            // A repeated start, or one on a copy of the folder: the first one is kept.
            if incarnation > member.incarnation {
                let number = member.number;
                *member = Member { info, number, incarnation, boot, leaving: false };
            }
            return;
        }
        if self.members.len() >= MAX_MEMBERS {
            return;
        }
        if let Some(previous) = self.folder_by_name(&info.name) {
            self.apply_departure(previous, Departure::Replaced);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.members.insert(folder, Member { info, number, incarnation, boot, leaving: false });
    }

    fn apply_departure(&mut self, folder: u64, why: Departure) {
        if let Some(member) = self.members.remove(&folder) {
            self.departed.push_back(DepartedMember {
                folder,
                name: member.info.name,
                incarnation: member.incarnation,
                why,
            });
            if self.departed.len() > MAX_DEPARTED {
                self.departed.pop_front();
            }
        }
    }

    /// Folder ID of the current member with this name.
    pub fn folder_by_name(&self, name: &str) -> Option<u64> {
        self.members.iter().find(|(_, member)| member.info.name == name).map(|(folder, _)| *folder)
    }

    /// The departed member with this folder ID; `None` if it never departed or was forgotten since.
    pub fn departure_of(&self, folder: u64) -> Option<&DepartedMember> {
        self.departed.iter().find(|departed| departed.folder == folder)
    }

    /// Returns a list of a new epoch with the same members and the given voters, for operators to recover from the
    /// permanent loss of a majority of the voters.
    pub(crate) fn with_new_epoch(&self, voters: Vec<u64>) -> Self {
        let number = self.number + 1;
        Self {
            epoch: self.epoch + 1,
            number,
            group: self.group + 1,
            group_start: number,
            voters,
            ..self.clone()
        }
    }
}

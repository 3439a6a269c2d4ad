//! The random events of a schedule.

use crate::defect::Defect;
use crate::fleet::{Fleet, NODES};
use crate::node::{Node, Role, address, number_of};
use fleet_model::{CoordinationBatch, CoordinationCommand, LogEntry, LogMember, LogRequest, ReplicaId};
use std::collections::BTreeSet;

/// Number of events in a schedule.
const EVENTS: usize = 700;
/// The most members that a change leads to.
const MAX_MEMBERS: usize = 5;
/// The most messages under way; what exceeds them is lost.
const MAX_MESSAGES: usize = 200;
/// Number of nodes that events concern in schedules of contention.
const FOUNDERS_IN_CONTENTION: usize = 3;
/// Number of events of the fault-free end of a schedule.
const RECOVERY_EVENTS: usize = 400;

/// What a schedule came to.
pub(crate) struct Outcome {
    pub(crate) violation: Option<String>,
    pub(crate) acknowledged: usize,
    pub(crate) changes: usize,
    pub(crate) wipes: usize,
}

/// Runs the schedule of a seed.
pub(crate) fn run(seed: u64, defect: Defect) -> Outcome {
    let emphasis = [Emphasis::Even, Emphasis::Contention, Emphasis::Changes][seed as usize % EMPHASES];
    let fleet = Fleet::new(seed, defect, emphasis == Emphasis::Contention);
    let mut schedule = Schedule { fleet, emphasis, held_links: BTreeSet::new(), changes: 0, wipes: 0 };
    for _ in 0..EVENTS {
        schedule.event();
        if schedule.fleet.oracle.violation.is_some() {
            break;
        }
    }
    schedule.recover();
    let Schedule { fleet, changes, wipes, .. } = schedule;
    let acknowledged = fleet.oracle.acknowledged_count();
    Outcome { violation: fleet.oracle.violation, acknowledged, changes, wipes }
}

/// Number of kinds of schedules: the seed's remainder selects one.
const EMPHASES: usize = 3;

/// Which events are the frequent ones.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Emphasis {
    Even,
    /// Campaigns and restarts among few members.
    Contention,
    /// Changes of the members and empty disks.
    Changes,
}

struct Schedule {
    fleet: Fleet,
    emphasis: Emphasis,
    /// Links whose messages wait, by the numbers of sender and receiver.
    held_links: BTreeSet<(usize, usize)>,
    changes: usize,
    wipes: usize,
}

impl Schedule {
    fn event(&mut self) {
        let number = match self.emphasis {
            Emphasis::Contention => self.fleet.below(FOUNDERS_IN_CONTENTION),
            _ => self.fleet.below(NODES),
        };
        match (self.emphasis, self.fleet.below(50)) {
            (Emphasis::Contention, 0) if self.fleet.is_member(number) => {
                return self.fleet.campaign(number);
            }
            (Emphasis::Contention, 1 | 2) if matches!(self.fleet.nodes[number].role, Role::Follower) => {
                return self.restart(number);
            }
            (Emphasis::Contention, 3) => return self.hold_links(),
            (Emphasis::Changes, 0) => return self.hold_links(),
            _ => {}
        }
        match self.fleet.below(100) {
            0..50 => self.deliver(),
            50 if self.emphasis != Emphasis::Even => self.hold_links(),
            51..74 => self.fleet.sync(number),
            74 => self.fleet.nodes[number].refuse_write(),
            75 | 76 if self.emphasis != Emphasis::Contention => self.restart(number),
            77 if self.emphasis != Emphasis::Contention => self.wipe(number),
            78 if self.fleet.is_member(number) => self.fleet.campaign(number),
            79 | 80 if self.emphasis == Emphasis::Even && self.fleet.is_member(number) => {
                self.fleet.campaign(number);
            }
            79..83 => self.resend(number),
            83..88 => self.heartbeat(number),
            _ => self.lead(number),
        }
    }

    /// Delivers any message: most once, some again later, some never.
    fn deliver(&mut self) {
        let count = self.fleet.network.len();
        if count > MAX_MESSAGES {
            let index = self.fleet.below(count);
            self.fleet.network.swap_remove(index);
            return;
        }
        let first = self.fleet.below(count.max(1));
        let is_free = |index: &usize| {
            let message = &self.fleet.network[*index];
            !self.held_links.contains(&(message.from, message.to))
        };
        let Some(index) = (first..count).chain(0..first).find(is_free) else { return };
        let fate = self.fleet.below(20);
        let message = match fate {
            0 => self.fleet.network[index].clone(),
            _ => self.fleet.network.swap_remove(index),
        };
        if fate != 1 {
            self.fleet.deliver(message);
        }
    }

    /// Holds what is under way on some links, or on none any more.
    fn hold_links(&mut self) {
        let held_of_ten = [0, 3, 5, 7][self.fleet.below(4)];
        let links = (0..NODES).flat_map(|from| (0..NODES).map(move |to| (from, to)));
        self.held_links = links.filter(|_| self.fleet.below(10) < held_of_ten).collect();
    }

    fn restart(&mut self, number: usize) {
        self.fleet.nodes[number].restart();
        self.fleet.observe(number);
    }

    /// Empties a disk, unless a majority of the current members would be gone.
    fn wipe(&mut self, number: usize) {
        let id = ReplicaId(self.fleet.next_number());
        let former = self.fleet.nodes[number].replica.id();
        let mut members = self.fleet.current_members();
        members.iter_mut().filter(|member| member.replica == former).for_each(|member| member.replica = id);
        let wiped = members.iter().filter(|member| member.replica == id).count();
        let live = self.live_members();
        if wiped > 0 && live.len() - 1 <= members.len() / 2 {
            return;
        }
        self.wipes += 1;
        let id = if self.fleet.defect == Defect::ReplicaIdKeptAfterWipe { former } else { id };
        self.fleet.nodes[number] = Node::new(id);
    }

    fn live_members(&self) -> Vec<LogMember> {
        let members = self.fleet.current_members();
        let is_live =
            |member: &LogMember| self.fleet.nodes[number_of(member.ip)].replica.id() == member.replica;
        members.into_iter().filter(is_live).collect()
    }

    fn resend(&mut self, number: usize) {
        if let Role::Leader { round: Some(round), .. } = &self.fleet.nodes[number].role {
            let (members, of_round, request) = (round.members.clone(), round.number, round.request.clone());
            self.fleet.broadcast(number, &members, of_round, &request);
        }
    }

    fn heartbeat(&mut self, number: usize) {
        if let Role::Leader { ballot, committed, .. } = &self.fleet.nodes[number].role {
            let request = LogRequest::Heartbeat { ballot: *ballot, committed: *committed };
            let members = self.fleet.members_of(number);
            self.fleet.broadcast(number, &members, 0, &request);
        }
    }

    /// Has a leader without a round begin one.
    fn lead(&mut self, number: usize) {
        let Role::Leader { round: None, .. } = &self.fleet.nodes[number].role else { return };
        let changes = match self.emphasis {
            Emphasis::Even => 2,
            Emphasis::Contention => 0,
            Emphasis::Changes => 5,
        };
        match self.fleet.below(10) {
            kind if kind < changes => {
                if let Some(members) = self.changed_members(number) {
                    self.changes += 1;
                    self.fleet.propose(number, LogEntry::Members(members), false);
                }
            }
            6 => self.fleet.read(number),
            _ => {
                let name = self.fleet.next_number().to_string();
                let commands = vec![CoordinationCommand::NextNumber { name }];
                let batch = CoordinationBatch { commands, ..CoordinationBatch::default() };
                self.fleet.propose(number, LogEntry::Batch(batch), false);
            }
        }
    }

    /// Adds, removes or replaces a member, or changes all of them, such that a majority has its disks.
    fn changed_members(&mut self, number: usize) -> Option<Vec<LogMember>> {
        let mut members = self.fleet.members_of(number);
        let present = |fleet: &Fleet, number: usize| LogMember {
            ip: address(number),
            replica: fleet.nodes[number].replica.id(),
        };
        let node = self.fleet.below(NODES);
        let place = members.iter().position(|member| member.ip == address(node));
        let current = present(&self.fleet, node);
        match (place, self.fleet.below(10)) {
            (_, 0) => {
                let (first, count) = (self.fleet.below(NODES), 3 + self.fleet.below(3));
                members = (first..first + count).map(|number| present(&self.fleet, number % NODES)).collect();
            }
            (Some(place), _) if members[place] != current => members[place] = current,
            (Some(place), _) if members.len() > 3 => drop(members.remove(place)),
            (Some(_), _) => return None,
            (None, _) if members.len() < MAX_MEMBERS => members.push(current),
            (None, _) => return None,
        }
        self.fleet.has_live_majority(&members).then_some(members)
    }

    /// Ends all faults, so that what the schedule has done comes to light at every node that still can learn.
    fn recover(&mut self) {
        for event in 0..RECOVERY_EVENTS {
            (0..NODES).for_each(|number| self.fleet.sync(number));
            let number = self.fleet.below(NODES);
            if event % 40 == 0 && self.fleet.is_member(number) {
                self.fleet.campaign(number);
            }
            if event % 10 == 5 {
                (0..NODES).for_each(|number| self.heartbeat(number));
                (0..NODES).for_each(|number| self.lead(number));
            }
            for _ in 0..self.fleet.network.len().min(4) {
                let index = self.fleet.below(self.fleet.network.len());
                let message = self.fleet.network.swap_remove(index);
                self.fleet.deliver(message);
            }
        }
    }
}

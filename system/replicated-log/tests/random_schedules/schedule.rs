//! Runs a schedule: a random sequence of faults and protocol events, then a phase without faults.

use crate::cluster::{Cluster, NODE_COUNT};
use crate::defect::Defect;
use crate::node::{Node, Role, address, index_of};
use fleet_model::{CoordinationBatch, CoordinationCommand, LogEntry, LogMember, LogRequest, ReplicaId};
use std::collections::BTreeSet;

/// Number of events in a schedule.
const EVENTS: usize = 700;
/// Maximum number of members after a change that adds one.
const MAX_MEMBERS: usize = 5;
/// Maximum number of messages in flight; beyond it, random messages are dropped.
const MAX_MESSAGES: usize = 200;
/// Number of nodes that take part in schedules with emphasis on contention.
const NODES_IN_CONTENTION: usize = 3;
/// Number of events in the final phase without faults.
const RECOVERY_EVENTS: usize = 400;

/// The result of a schedule.
pub(crate) struct Outcome {
    pub(crate) violation: Option<String>,
    pub(crate) acknowledged: usize,
    pub(crate) changes: usize,
    pub(crate) wipes: usize,
}

/// Runs the schedule that a seed determines.
pub(crate) fn run(seed: u64, defect: Defect) -> Outcome {
    let emphasis = [Emphasis::Even, Emphasis::Contention, Emphasis::Changes][seed as usize % EMPHASIS_COUNT];
    let cluster = Cluster::new(seed, defect, emphasis == Emphasis::Contention);
    let mut schedule = Schedule { cluster, emphasis, held_links: BTreeSet::new(), changes: 0, wipes: 0 };
    for _ in 0..EVENTS {
        schedule.run_event();
        if schedule.cluster.oracle.violation.is_some() {
            break;
        }
    }
    schedule.recover();
    let Schedule { cluster, changes, wipes, .. } = schedule;
    let acknowledged = cluster.oracle.acknowledged_count();
    Outcome { violation: cluster.oracle.violation, acknowledged, changes, wipes }
}

/// Number of kinds of schedules. The remainder of the seed selects the kind.
const EMPHASIS_COUNT: usize = 3;

/// The kind of events that a schedule favours.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Emphasis {
    Even,
    /// Campaigns and restarts among few members.
    Contention,
    /// Membership changes and lost disks.
    Changes,
}

struct Schedule {
    cluster: Cluster,
    emphasis: Emphasis,
    /// Links that delay their messages, by the indices of sender and receiver.
    held_links: BTreeSet<(usize, usize)>,
    changes: usize,
    wipes: usize,
}

impl Schedule {
    fn run_event(&mut self) {
        let node_index = match self.emphasis {
            Emphasis::Contention => self.cluster.random_below(NODES_IN_CONTENTION),
            _ => self.cluster.random_below(NODE_COUNT),
        };
        match (self.emphasis, self.cluster.random_below(50)) {
            (Emphasis::Contention, 0) if self.cluster.is_member(node_index) => {
                return self.cluster.campaign(node_index);
            }
            (Emphasis::Contention, 1 | 2)
                if matches!(self.cluster.nodes[node_index].role, Role::Follower) =>
            {
                return self.restart(node_index);
            }
            (Emphasis::Contention, 3) => return self.hold_links(),
            (Emphasis::Changes, 0) => return self.hold_links(),
            _ => {}
        }
        match self.cluster.random_below(100) {
            0..50 => self.deliver(),
            50 if self.emphasis != Emphasis::Even => self.hold_links(),
            51..74 => self.cluster.sync(node_index),
            74 => self.cluster.nodes[node_index].fail_write(),
            75 | 76 if self.emphasis != Emphasis::Contention => self.restart(node_index),
            77 if self.emphasis != Emphasis::Contention => self.wipe(node_index),
            78 if self.cluster.is_member(node_index) => self.cluster.campaign(node_index),
            79 | 80 if self.emphasis == Emphasis::Even && self.cluster.is_member(node_index) => {
                self.cluster.campaign(node_index);
            }
            79..83 => self.resend(node_index),
            83..88 => self.heartbeat(node_index),
            _ => self.start_round(node_index),
        }
    }

    /// Delivers a random message; some are also kept for another delivery, and some are lost.
    fn deliver(&mut self) {
        let count = self.cluster.network.len();
        if count > MAX_MESSAGES {
            let index = self.cluster.random_below(count);
            self.cluster.network.swap_remove(index);
            return;
        }
        let start = self.cluster.random_below(count.max(1));
        let is_deliverable = |index: &usize| {
            let message = &self.cluster.network[*index];
            !self.held_links.contains(&(message.from, message.to))
        };
        let Some(index) = (start..count).chain(0..start).find(is_deliverable) else { return };
        let fate = self.cluster.random_below(20);
        let message = match fate {
            0 => self.cluster.network[index].clone(),
            _ => self.cluster.network.swap_remove(index),
        };
        if fate != 1 {
            self.cluster.deliver(message);
        }
    }

    /// Selects at random which links delay their messages from now on; there may be none.
    fn hold_links(&mut self) {
        let held_out_of_ten = [0, 3, 5, 7][self.cluster.random_below(4)];
        let links = (0..NODE_COUNT).flat_map(|from| (0..NODE_COUNT).map(move |to| (from, to)));
        self.held_links = links.filter(|_| self.cluster.random_below(10) < held_out_of_ten).collect();
    }

    fn restart(&mut self, node_index: usize) {
        self.cluster.nodes[node_index].restart();
        self.cluster.check_state(node_index);
    }

    /// Empties a disk, unless the current members would lose their majority.
    fn wipe(&mut self, node_index: usize) {
        let id = ReplicaId(self.cluster.next_number());
        let former_id = self.cluster.nodes[node_index].replica.id();
        let mut members = self.cluster.current_members();
        members
            .iter_mut()
            .filter(|member| member.replica == former_id)
            .for_each(|member| member.replica = id);
        let wiped = members.iter().filter(|member| member.replica == id).count();
        let live = self.live_members();
        if wiped > 0 && live.len() - 1 <= members.len() / 2 {
            return;
        }
        self.wipes += 1;
        let id = if self.cluster.defect == Defect::ReplicaIdKeptAfterWipe { former_id } else { id };
        self.cluster.nodes[node_index] = Node::new(id);
    }

    fn live_members(&self) -> Vec<LogMember> {
        let members = self.cluster.current_members();
        let is_live =
            |member: &LogMember| self.cluster.nodes[index_of(member.ip)].replica.id() == member.replica;
        members.into_iter().filter(is_live).collect()
    }

    fn resend(&mut self, node_index: usize) {
        if let Role::Leader { round: Some(round), .. } = &self.cluster.nodes[node_index].role {
            let (members, round_id, request) = (round.members.clone(), round.id, round.request.clone());
            self.cluster.broadcast(node_index, &members, round_id, &request);
        }
    }

    fn heartbeat(&mut self, node_index: usize) {
        if let Role::Leader { ballot, committed, .. } = &self.cluster.nodes[node_index].role {
            let request = LogRequest::Heartbeat { ballot: *ballot, committed: *committed };
            let members = self.cluster.members_of(node_index);
            self.cluster.broadcast(node_index, &members, 0, &request);
        }
    }

    /// Lets a leader without a current round start one.
    fn start_round(&mut self, node_index: usize) {
        let Role::Leader { round: None, .. } = &self.cluster.nodes[node_index].role else { return };
        let change_weight = match self.emphasis {
            Emphasis::Even => 2,
            Emphasis::Contention => 0,
            Emphasis::Changes => 5,
        };
        match self.cluster.random_below(10) {
            choice if choice < change_weight => {
                if let Some(members) = self.changed_members(node_index) {
                    self.changes += 1;
                    self.cluster.propose(node_index, LogEntry::Members(members), false);
                }
            }
            6 => self.cluster.read(node_index),
            _ => {
                let name = self.cluster.next_number().to_string();
                let commands = vec![CoordinationCommand::NextNumber { name }];
                let batch = CoordinationBatch { commands, ..CoordinationBatch::default() };
                self.cluster.propose(node_index, LogEntry::Batch(batch), false);
            }
        }
    }

    /// Adds, removes or replaces a member, or changes all of them; `None` if a majority of the result would be without its disks.
    fn changed_members(&mut self, node_index: usize) -> Option<Vec<LogMember>> {
        let mut members = self.cluster.members_of(node_index);
        let member_at = |cluster: &Cluster, node_index: usize| LogMember {
            ip: address(node_index),
            replica: cluster.nodes[node_index].replica.id(),
        };
        let changed = self.cluster.random_below(NODE_COUNT);
        let position = members.iter().position(|member| member.ip == address(changed));
        let current = member_at(&self.cluster, changed);
        match (position, self.cluster.random_below(10)) {
            (_, 0) => {
                let (first, count) =
                    (self.cluster.random_below(NODE_COUNT), 3 + self.cluster.random_below(3));
                members = (first..first + count)
                    .map(|node_index| member_at(&self.cluster, node_index % NODE_COUNT))
                    .collect();
            }
            (Some(position), _) if members[position] != current => members[position] = current,
            (Some(position), _) if members.len() > 3 => drop(members.remove(position)),
            (Some(_), _) => return None,
            (None, _) if members.len() < MAX_MEMBERS => members.push(current),
            (None, _) => return None,
        }
        self.cluster.has_live_majority(&members).then_some(members)
    }

    /// Runs without faults, so that a violation shows up at every node that can still learn the log.
    fn recover(&mut self) {
        for event in 0..RECOVERY_EVENTS {
            (0..NODE_COUNT).for_each(|node_index| self.cluster.sync(node_index));
            let node_index = self.cluster.random_below(NODE_COUNT);
            if event % 40 == 0 && self.cluster.is_member(node_index) {
                self.cluster.campaign(node_index);
            }
            if event % 10 == 5 {
                (0..NODE_COUNT).for_each(|node_index| self.heartbeat(node_index));
                (0..NODE_COUNT).for_each(|node_index| self.start_round(node_index));
            }
            for _ in 0..self.cluster.network.len().min(4) {
                let index = self.cluster.random_below(self.cluster.network.len());
                let message = self.cluster.network.swap_remove(index);
                self.cluster.deliver(message);
            }
        }
    }
}

//! Faults of nodes and links, and new values and lists.

use super::{Action, Cluster, HistoryEvent, Kind, Message, Side};
use fleet_model::{Endpoint, EndpointState};
use std::net::{Ipv4Addr, SocketAddrV4};

impl Cluster {
    pub(crate) fn freeze(&mut self, node: usize, millis: u64) {
        if self.nodes[node].alive {
            self.nodes[node].frozen_until = self.now + millis;
            let incarnation = self.nodes[node].incarnation;
            self.schedule_after(millis, Action::Thaw(node, incarnation));
        }
    }

    /// Stops a node. With `powered_off` its connections are not closed.
    pub(crate) fn kill(&mut self, node: usize, powered_off: bool, back_after: Option<u64>) {
        if !self.nodes[node].alive {
            return;
        }
        let me = (node, self.nodes[node].incarnation);
        (self.nodes[node].alive, self.nodes[node].powered_off) = (false, powered_off);
        self.nodes[node].inbox.clear();
        if !powered_off {
            self.close_links_of(me);
        }
        if let Some(millis) = back_after {
            self.schedule_after(millis, Action::Restart(node));
        }
    }

    pub(super) fn close_links_of(&mut self, me: (usize, u64)) {
        let mut links: Vec<(u64, Side)> = self
            .links
            .iter()
            .filter(|(_, link)| link.client == me || link.server == me)
            .map(|(id, link)| (*id, if link.client == me { Side::Server } else { Side::Client }))
            .collect();
        links.sort_by_key(|(id, _)| *id);
        for (id, to) in links {
            self.send(id, to, Message::Close);
        }
    }

    /// Drops all messages from `from` to `to` for `millis` milliseconds.
    pub(crate) fn partition(&mut self, from: usize, to: usize, millis: u64) {
        if from == to {
            return;
        }
        let until = self.now + millis;
        let current = self.partitions.entry((from, to)).or_default();
        *current = until.max(*current);
        self.schedule(until, Action::Heal(from, to));
    }

    /// Isolates a control node from the other ones; it keeps serving its subscribers.
    pub(crate) fn isolate_from_majority(&mut self, control_node: usize, millis: u64) {
        self.without_majority.insert(control_node, self.now + millis);
    }

    pub(crate) fn commit_value(&mut self) {
        if self.round > 0
            && !self
                .nodes_of_kind(|kind| kind == Kind::ControlNode)
                .into_iter()
                .any(|control_node| self.is_fresh(control_node))
        {
            return;
        }
        self.round += 1;
        self.record_newest();
        // The proposer knows the value at once.
        let fresh: Vec<usize> = self
            .nodes_of_kind(|kind| kind == Kind::ControlNode)
            .into_iter()
            .filter(|k| self.is_fresh(*k))
            .collect();
        if !fresh.is_empty() {
            let proposer = fresh[self.random.below(fresh.len() as u64) as usize];
            self.update_from_register(proposer);
        }
    }

    pub(crate) fn commit_value_after(&mut self, millis: u64) {
        self.schedule_after(millis, Action::CommitValue);
    }

    pub(crate) fn poll_list_after(&mut self, millis: u64) {
        self.schedule_after(millis, Action::PollList);
    }

    pub(super) fn poll_list(&mut self) {
        let mut next = self.lists.last().expect("the first one").clone();
        let number = self.lists.len() as u64;
        for instance in 0..self.random.between(1, 3) {
            next.insert(Endpoint {
                instance_id: format!("i{number}-{instance}"),
                service: "s".to_owned(),
                address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
                zone: "z0".to_owned(),
                capacity_slots: 1,
                state: EndpointState::Ready,
            });
        }
        if next.len() > 4 {
            next.pop_first();
            let mut changed = next.pop_first().expect("more than four");
            changed.state = EndpointState::Draining;
            next.insert(changed);
        }
        self.lists.push(next);
        self.record_newest();
    }

    pub(super) fn record_newest(&mut self) {
        self.history.push(HistoryEvent::Chosen {
            at: self.now,
            round: self.round,
            list: self.lists.len() as u64 - 1,
        });
    }
}

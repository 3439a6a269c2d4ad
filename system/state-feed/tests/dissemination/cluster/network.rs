//! Links between nodes: reachability, delays, retransmission and time-outs of connections.

use super::{Action, Cluster, Kind, Message, Side, USER_TIMEOUT_MS};

impl Cluster {
    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.get(&(self.machine(from), self.machine(to))).is_some_and(|until| self.now < *until)
    }

    /// The machine of a node; a proxy runs on its agent's machine.
    pub(super) fn machine(&self, node: usize) -> usize {
        match self.nodes[node].kind {
            Kind::Proxy(agent) => agent,
            _ => node,
        }
    }

    pub(super) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].frozen_until <= self.now
    }

    pub(super) fn is_fresh(&self, control_node: usize) -> bool {
        let without_majority = |control_node: usize| {
            self.without_majority.get(&control_node).is_some_and(|until| self.now < *until)
        };
        let control_nodes = self.nodes_of_kind(|kind| kind == Kind::ControlNode);
        let others = control_nodes.iter().filter(|other| {
            self.is_running(**other)
                && !without_majority(**other)
                && !self.is_partitioned(control_node, **other)
                && !self.is_partitioned(**other, control_node)
        });
        self.is_running(control_node)
            && !without_majority(control_node)
            && others.count() > control_nodes.len() / 2
    }

    pub(super) fn is_reachable(&self, node: usize, control_node: usize) -> bool {
        self.is_running(node)
            && !self.is_partitioned(node, control_node)
            && !self.is_partitioned(control_node, node)
            && self.is_fresh(control_node)
    }

    pub(super) fn random_lag(&mut self) -> u64 {
        let max_lag = self.size.max_lag;
        if self.random.one_in(60) { self.random.below(max_lag * 4) } else { self.random.below(max_lag) }
    }

    pub(super) fn send(&mut self, id: u64, to: Side, message: Message) {
        let Some(link) = self.links.get(&id) else { return };
        if link.broken && !matches!(message, Message::Close) {
            return;
        }
        let (from, target) = match to {
            Side::Server => (link.client.0, link.server.0),
            Side::Client => (link.server.0, link.client.0),
        };
        let direction = usize::from(to == Side::Client);
        if matches!(message, Message::Push(_)) {
            self.pushes += 1;
        }
        let (away, back) = (self.is_partitioned(from, target), self.is_partitioned(target, from));
        let powered_off = self.nodes[target].powered_off;
        if away || powered_off || !self.links[&id].pending[direction].is_empty() {
            let now = self.now;
            let link = self.links.get_mut(&id).expect("looked up");
            link.pending[direction].push_back(message);
            let since = *link.pending_since[direction].get_or_insert(now);
            self.schedule_after(USER_TIMEOUT_MS, Action::BreakIfPending(id, direction, since));
            return;
        }
        if back {
            let silent_side = if to == Side::Client { Side::Server } else { Side::Client };
            self.schedule_after(USER_TIMEOUT_MS, Action::BreakIfSilent(id, silent_side, self.now));
        }
        self.schedule_delivery(id, to, message);
    }

    pub(super) fn schedule_delivery(&mut self, id: u64, to: Side, message: Message) {
        let delay = 1 + self.random.below(4) + self.random_lag();
        let link = self.links.get_mut(&id).expect("a link");
        let last = &mut link.last[usize::from(to == Side::Client)];
        *last = (*last).max(self.now + delay);
        let at = *last;
        self.schedule(at, Action::Deliver(id, to, message));
    }

    pub(super) fn flush(&mut self, id: u64) {
        for (direction, to) in [(0, Side::Server), (1, Side::Client)] {
            let Some(link) = self.links.get(&id) else { return };
            let (from, target) =
                if direction == 0 { (link.client, link.server) } else { (link.server, link.client) };
            if self.is_partitioned(from.0, target.0) || self.nodes[target.0].powered_off {
                continue;
            }
            // Retransmitted messages arrive up to one retransmission delay later.
            let later = self.random.below(300);
            let link = self.links.get_mut(&id).expect("looked up");
            link.pending_since[direction] = None;
            let pending = std::mem::take(&mut link.pending[direction]);
            link.last[direction] = link.last[direction].max(self.now + later);
            for message in pending {
                self.schedule_delivery(id, to, message);
            }
        }
    }

    pub(super) fn heal(&mut self) {
        let mut ids: Vec<u64> = self.links.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.flush(id);
        }
    }

    /// The kernel of one side closes the connection.
    pub(super) fn break_connection(&mut self, id: u64, side: Side) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.broken = true;
        self.schedule(self.now, Action::Deliver(id, side, Message::Close));
        let other = if side == Side::Client { Side::Server } else { Side::Client };
        let direction = usize::from(other == Side::Client);
        self.links.get_mut(&id).expect("looked up").pending[direction].clear();
    }
}

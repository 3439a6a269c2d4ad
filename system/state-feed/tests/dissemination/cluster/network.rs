//! Links between nodes: reachability, delays, retransmission and time-outs of connections.

use super::{Happening, Kind, Message, Side, USER_TIMEOUT, World};

impl World {
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.get(&(self.machine(from), self.machine(to))).is_some_and(|until| self.now < *until)
    }

    /// A proxy lives on its agent's machine.
    pub(super) fn machine(&self, node: usize) -> usize {
        match self.nodes[node].kind {
            Kind::Proxy(agent) => agent,
            _ => node,
        }
    }

    pub(super) fn works(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].frozen_until <= self.now
    }

    pub(super) fn is_fresh(&self, keeper: usize) -> bool {
        let misled = |keeper: usize| self.misled.get(&keeper).is_some_and(|until| self.now < *until);
        let keepers = self.all(|kind| kind == Kind::Keeper);
        let others = keepers.iter().filter(|other| {
            self.works(**other)
                && !misled(**other)
                && !self.is_cut(keeper, **other)
                && !self.is_cut(**other, keeper)
        });
        self.works(keeper) && !misled(keeper) && others.count() > keepers.len() / 2
    }

    pub(super) fn in_touch(&self, node: usize, keeper: usize) -> bool {
        self.works(node) && !self.is_cut(node, keeper) && !self.is_cut(keeper, node) && self.is_fresh(keeper)
    }

    pub(super) fn lag(&mut self) -> u64 {
        let lag = self.shape.lag;
        if self.chance.one_in(60) { self.chance.below(lag * 4) } else { self.chance.below(lag) }
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
        let way = usize::from(to == Side::Client);
        if matches!(message, Message::Push(_)) {
            self.pushes += 1;
        }
        let (away, back) = (self.is_cut(from, target), self.is_cut(target, from));
        let dark = self.nodes[target].dark;
        if away || dark || !self.links[&id].held[way].is_empty() {
            let now = self.now;
            let link = self.links.get_mut(&id).expect("looked up");
            link.held[way].push_back(message);
            let since = *link.held_since[way].get_or_insert(now);
            self.after(USER_TIMEOUT, Happening::BreakIfHeld(id, way, since));
            return;
        }
        if back {
            let of = if to == Side::Client { Side::Server } else { Side::Client };
            self.after(USER_TIMEOUT, Happening::BreakIfUnheard(id, of, self.now));
        }
        self.carry(id, to, message);
    }

    pub(super) fn carry(&mut self, id: u64, to: Side, message: Message) {
        let delay = 1 + self.chance.below(4) + self.lag();
        let link = self.links.get_mut(&id).expect("a link");
        let last = &mut link.last[usize::from(to == Side::Client)];
        *last = (*last).max(self.now + delay);
        let at = *last;
        self.at(at, Happening::Deliver(id, to, message));
    }

    pub(super) fn flush(&mut self, id: u64) {
        for (way, to) in [(0, Side::Server), (1, Side::Client)] {
            let Some(link) = self.links.get(&id) else { return };
            let (from, target) =
                if way == 0 { (link.client, link.server) } else { (link.server, link.client) };
            if self.is_cut(from.0, target.0) || self.nodes[target.0].dark {
                continue;
            }
            // What is sent again comes up to a pause of retransmission later.
            let later = self.chance.below(300);
            let link = self.links.get_mut(&id).expect("looked up");
            link.held_since[way] = None;
            let held = std::mem::take(&mut link.held[way]);
            link.last[way] = link.last[way].max(self.now + later);
            for message in held {
                self.carry(id, to, message);
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

    /// The kernel of one side gives the connection up.
    pub(super) fn give_up(&mut self, id: u64, side: Side) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.broken = true;
        self.at(self.now, Happening::Deliver(id, side, Message::Close));
        let other = if side == Side::Client { Side::Server } else { Side::Client };
        let way = usize::from(other == Side::Client);
        self.links.get_mut(&id).expect("looked up").held[way].clear();
    }
}

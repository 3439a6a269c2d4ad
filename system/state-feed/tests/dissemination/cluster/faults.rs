//! Faults of nodes and links, and new values and lists.

use super::{Fact, Happening, Kind, Message, Side, World};
use fleet_model::{Endpoint, EndpointState};
use std::net::{Ipv4Addr, SocketAddrV4};

impl World {
    pub(crate) fn freeze(&mut self, node: usize, millis: u64) {
        if self.nodes[node].alive {
            self.nodes[node].frozen_until = self.now + millis;
            let life = self.nodes[node].life;
            self.after(millis, Happening::Thaw(node, life));
        }
    }

    /// `dark`: nobody is told.
    pub(crate) fn kill(&mut self, node: usize, dark: bool, back_after: Option<u64>) {
        if !self.nodes[node].alive {
            return;
        }
        let me = (node, self.nodes[node].life);
        (self.nodes[node].alive, self.nodes[node].dark) = (false, dark);
        self.nodes[node].inbox.clear();
        if !dark {
            self.end_links_of(me);
        }
        if let Some(millis) = back_after {
            self.after(millis, Happening::Restart(node));
        }
    }

    pub(super) fn end_links_of(&mut self, me: (usize, u64)) {
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

    /// What `from` sends to `to` does not arrive for so long.
    pub(crate) fn cut(&mut self, from: usize, to: usize, millis: u64) {
        if from == to {
            return;
        }
        let until = self.now + millis;
        let standing = self.cuts.entry((from, to)).or_default();
        *standing = until.max(*standing);
        self.at(until, Happening::Heal(from, to));
    }

    /// It lives and feeds, but hears nothing new from the other keepers.
    pub(crate) fn mislead(&mut self, keeper: usize, millis: u64) {
        self.misled.insert(keeper, self.now + millis);
    }

    pub(crate) fn choose(&mut self) {
        if self.round > 0
            && !self.all(|kind| kind == Kind::Keeper).into_iter().any(|keeper| self.is_fresh(keeper))
        {
            return;
        }
        self.round += 1;
        self.tell_chosen();
        // Whoever proposed knows at once.
        let fresh: Vec<usize> =
            self.all(|kind| kind == Kind::Keeper).into_iter().filter(|k| self.is_fresh(*k)).collect();
        if !fresh.is_empty() {
            let proposer = fresh[self.chance.below(fresh.len() as u64) as usize];
            self.learn_newest(proposer);
        }
    }

    pub(crate) fn choose_after(&mut self, millis: u64) {
        self.after(millis, Happening::Choose);
    }

    pub(crate) fn list_after(&mut self, millis: u64) {
        self.after(millis, Happening::List);
    }

    pub(super) fn read_list(&mut self) {
        let mut next = self.lists.last().expect("the first one").clone();
        let number = self.lists.len() as u64;
        for instance in 0..self.chance.between(1, 3) {
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
        self.tell_chosen();
    }

    pub(super) fn tell_chosen(&mut self) {
        self.facts.push(Fact::Chosen { at: self.now, round: self.round, list: self.lists.len() as u64 - 1 });
    }
}

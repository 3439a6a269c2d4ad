//! What happens to the fleet from outside.

use super::network::Process;
use super::schedule::Due;
use super::{DELAYS, MS, World};
use crate::hollow::Role;
use crate::hollow::feed::Feed;
use crate::hollow::keeper::Wanted;
use fleet_model::EndpointState;
use rand::Rng;

/// A killed process is back after so long.
const RESTART: u64 = 800 * MS;

impl World {
    /// An operator's configuration comes to one keeper.
    pub(crate) fn put_config(&mut self, keeper: usize) {
        let node = self.keepers[keeper % self.keepers.len()];
        let version = self.nodes[node].feed.state().version() + 1;
        let config = self.plan.config(version);
        self.want(node, Wanted::Config(version, config), 850 * MS);
    }

    /// An endpoint begins to leave.
    pub(crate) fn drain_endpoint(&mut self, place: usize) {
        let place = place % self.platform.len();
        self.platform[place].state = EndpointState::Draining;
        self.write_pages();
    }

    pub(super) fn end_process(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let mut ended: Vec<(u64, usize)> = self
            .links
            .iter()
            .filter(|(_, link)| {
                [link.caller, link.callee].contains(&Process { node, life }) && link.is_open(node)
            })
            .map(|(id, link)| (*id, link.other(node).node))
            .collect();
        ended.sort_unstable();
        for (link, other) in ended {
            if self.reaches(node, other) {
                let delay = DELAYS[self.distance(node, other)];
                self.later(other, delay, Due::Closed(link));
            }
        }
        let seed = self.rng.next_u64();
        let known = &mut self.nodes[node];
        known.life += 1;
        known.up = false;
        known.feed = Feed::default();
        (known.version, known.version_at, known.list_at) = (0, 0, 0);
        known.follow = known.follow.take().map(|follow| follow.anew(seed));
    }

    /// All processes of senders are killed at once, and come back.
    pub(crate) fn herd(&mut self) {
        for node in 0..self.nodes.len() {
            if matches!(self.nodes[node].role, Role::Agent | Role::Proxy) {
                self.end_process(node);
            }
        }
        for node in 0..self.nodes.len() {
            if matches!(self.nodes[node].role, Role::Agent | Role::Proxy) {
                let spread = self.draw(300 * MS);
                self.later(node, RESTART + spread, Due::Start);
            }
        }
    }

    /// All machines of a zone lose their power.
    pub(crate) fn lose_zone(&mut self, zone: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone {
                self.nodes[node].machine_up = false;
                self.nodes[node].up = false;
                self.nodes[node].life += 1;
            }
        }
    }

    /// The regions lose or regain each other.
    pub(crate) fn set_cut(&mut self, cut: bool) {
        self.cut = cut;
    }
}

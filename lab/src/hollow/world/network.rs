//! Links between processes: they take time, and may be cut.

use super::schedule::Due;
use super::{DELAYS, MS, World};
use crate::hollow::feed::Outgoing;
use bytes::Bytes;
use state_feed::Event;

/// After so long a sender notices that its bytes are not acknowledged.
const USER_TIMEOUT: u64 = 2_000 * MS;

/// What a link is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkKind {
    /// Feeds its caller.
    Feed,
    /// Brings a keeper the lists of the duty's holder.
    Lists,
    /// Calls and answers.
    Calls,
}

/// The number of a link.
pub(super) type LinkNumber = u64;

/// A process in one life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) node: usize,
    pub(super) life: u32,
}

/// A connection between two processes.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) kind: LinkKind,
    pub(super) caller: Process,
    pub(super) callee: Process,
    /// Whether the caller and the callee take it for open: who cannot be reached does not hear that it is closed.
    open: [bool; 2],
}

impl Link {
    /// The place of a process's end.
    fn end(&self, node: usize) -> usize {
        usize::from(self.caller.node != node)
    }

    pub(super) fn is_open(&self, node: usize) -> bool {
        self.open[self.end(node)]
    }

    pub(super) fn close(&mut self, node: usize) {
        let end = self.end(node);
        self.open[end] = false;
    }

    /// The process at the other end.
    pub(super) fn other(&self, node: usize) -> Process {
        if self.caller.node == node { self.callee } else { self.caller }
    }
}

/// Bytes that a frame takes on the wire, with its length before it.
pub(super) fn frame_bytes(bytes: &Bytes) -> u64 {
    bytes.len() as u64 + 4
}

impl World {
    pub(super) fn region(&self, node: usize) -> usize {
        self.nodes[node].zone * self.plan.regions / self.plan.zones
    }

    pub(super) fn distance(&self, a: usize, b: usize) -> usize {
        let (one, other) = (&self.nodes[a], &self.nodes[b]);
        if one.ip == other.ip {
            0
        } else if one.zone == other.zone {
            1
        } else {
            2 + usize::from(self.region(a) != self.region(b))
        }
    }

    pub(super) fn reaches(&self, a: usize, b: usize) -> bool {
        self.nodes[b].machine_up
            && self.nodes[a].machine_up
            && !(self.cut && self.region(a) != self.region(b))
    }

    /// A frame leaves.
    pub(super) fn send(&mut self, from: usize, link: LinkNumber, bytes: Bytes) {
        let Some(known) = self.links.get(&link).filter(|link| link.is_open(from)) else { return };
        let Process { node: to, life } = known.other(from);
        let heard = known.is_open(to);
        let length = frame_bytes(&bytes);
        let distance = self.distance(from, to);
        self.nodes[from].tally.sent(distance, length);
        if !self.reaches(from, to) {
            self.later(from, USER_TIMEOUT, Due::Closed(link));
        } else if self.nodes[to].life != life || !self.nodes[to].up || !heard {
            self.later(from, 2 * DELAYS[distance], Due::Closed(link));
        } else {
            self.later(to, DELAYS[distance], Due::Frame(link, bytes));
        }
    }

    pub(super) fn spread(&mut self, from: usize, frames: Outgoing) {
        for (link, bytes) in frames {
            self.send(from, link, bytes);
        }
    }

    /// A new link with its hellos: the first frame arrives after five ways, if the other side is there.
    pub(super) fn open(&mut self, kind: LinkKind, caller: usize, callee: usize) -> Option<LinkNumber> {
        let distance = self.distance(caller, callee);
        self.nodes[caller].tally.opened(distance);
        if !self.reaches(caller, callee) || !self.nodes[callee].up {
            return None;
        }
        self.nodes[callee].tally.opened(distance);
        let link = self.next_number();
        let process = |node: usize| Process { node, life: self.nodes[node].life };
        let (caller, callee) = (process(caller), process(callee));
        self.links.insert(link, Link { kind, caller, callee, open: [true; 2] });
        Some(link)
    }

    pub(super) fn close(&mut self, node: usize, link: LinkNumber) {
        let Some(known) = self.links.get_mut(&link) else { return };
        known.close(node);
        let other = known.other(node);
        let delay = DELAYS[self.distance(node, other.node)];
        if self.reaches(node, other.node) && self.nodes[other.node].life == other.life {
            self.later(other.node, delay, Due::Closed(link));
        }
    }

    pub(super) fn closed(&mut self, node: usize, link: LinkNumber) {
        if let Some(known) = self.links.get_mut(&link) {
            known.close(node);
        }
        self.peers.retain(|_, known| *known != link);
        self.nodes[node].feed.remove(link);
        if let Some(keeper) = &mut self.nodes[node].keeper
            && keeper.follows.as_ref().is_some_and(|follows| follows.link == link)
        {
            keeper.follows = None;
        }
        if let Some(follow) = &mut self.nodes[node].follow
            && let Some(name) = follow.named(link)
        {
            follow.links.remove(&name);
            self.follow(node, Event::Closed(name));
        }
    }
}

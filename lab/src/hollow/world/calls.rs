//! Calls and answers between processes, and frames as they arrive.

use super::network::{LinkKind, LinkNumber, frame_bytes};
use super::schedule::Due;
use super::{DELAYS, MS, World};
use crate::hollow::Role;
use crate::hollow::keeper::Wanted;
use bytes::Bytes;
use fleet_model::{Answer, Call, Frame, RegisterReply};
use std::net::Ipv4Addr;

/// How long a control node tries to note that a storage machine is full.
const FILLED_PATIENCE: u64 = 600 * MS;

/// The ways that the first frame on a new link takes, with the hellos before it.
const FIRST_FRAME_WAYS: u64 = 5;

/// What a call that waits for its answer is part of.
#[derive(Debug)]
pub(super) enum Pending {
    /// A round of the register's poll.
    Poll { round: u64, voter: Ipv4Addr },
    /// Fetching a newer value.
    Fetch,
    /// A proposal.
    Proposal { run: u64, voter: Ipv4Addr },
    /// Looking whether the storage machine with this disk is there.
    Inspect { disk: u64 },
    /// Telling a control node that this storage machine is full.
    Filled { epoch: u64, tries: usize },
}

impl World {
    pub(super) fn call(&mut self, from: usize, to: usize, call: Call, pending: Pending, patience: u64) {
        let number = self.next_number();
        self.pending.insert(number, (from, pending));
        self.later(from, patience, Due::CallOver(number));
        let known = self.call_link(from, to);
        let bytes = peer_wire::encode(&Frame::Call(number, call)).expect("a call can be encoded");
        match known {
            Some(link) => self.send(from, link, bytes),
            None => {
                let Some(link) = self.open(LinkKind::Calls, from, to) else { return };
                self.peers.insert((from, to), link);
                self.send_first(from, link, to, bytes);
            }
        }
    }

    /// The first call on a new link.
    pub(super) fn call_on(&mut self, node: usize, link: LinkNumber, to: usize, call: Call) {
        let bytes = peer_wire::encode(&Frame::Call(1, call)).expect("a call can be encoded");
        self.send_first(node, link, to, bytes);
    }

    /// The first frame on a new link: it arrives after five ways, those of the hellos among them.
    fn send_first(&mut self, from: usize, link: LinkNumber, to: usize, bytes: Bytes) {
        let distance = self.distance(from, to);
        self.nodes[from].tally.sent(distance, frame_bytes(&bytes));
        self.later(to, FIRST_FRAME_WAYS * DELAYS[distance], Due::Frame(link, bytes));
    }

    /// The link for calls between two processes, if one is open in their present lives.
    fn call_link(&self, from: usize, to: usize) -> Option<LinkNumber> {
        let link = *self.peers.get(&(from, to))?;
        let known = self.links.get(&link)?;
        let is_of_these_lives =
            known.caller.life == self.nodes[from].life && known.callee.life == self.nodes[to].life;
        (known.is_open(from) && is_of_these_lives).then_some(link)
    }

    pub(super) fn frame(&mut self, node: usize, link: LinkNumber, bytes: &Bytes) {
        let Some(known) = self.links.get(&link) else { return };
        let (kind, open) = (known.kind, known.is_open(node));
        let from = known.other(node).node;
        let distance = self.distance(from, node);
        self.nodes[node].tally.received(distance, frame_bytes(bytes));
        if !open {
            return;
        }
        match peer_wire::decode(bytes) {
            Ok(Frame::Call(number, call)) => self.called(node, from, link, number, call),
            Ok(Frame::Answer(number, answer)) => match kind {
                LinkKind::Feed => self.subscription_answered(node, link, answer),
                LinkKind::Lists => {}
                LinkKind::Calls => self.answered(number, answer),
            },
            Ok(Frame::Push(push)) => match kind {
                LinkKind::Feed => self.fed(node, link, push),
                LinkKind::Lists => self.list_fed(node, link, push),
                LinkKind::Calls => {}
            },
            Err(_) => {}
        }
    }

    pub(super) fn called(&mut self, node: usize, from: usize, link: LinkNumber, number: u64, call: Call) {
        let answer = match call {
            // A storage machine feeds nobody.
            Call::Subscribe { .. } if self.nodes[node].role != Role::Store => {
                return self.subscribed(node, link, number, &call);
            }
            Call::Register(request) => {
                let ip = self.nodes[from].ip;
                match self.register(node, ip, &request) {
                    Some(reply) => Answer::Register(reply),
                    None => Answer::Unready,
                }
            }
            Call::Inspect { .. } => Answer::View(self.nodes[node].disk.to_string()),
            Call::Filled { disk, epoch } => {
                // The caller sees by the roster whether it is done, and asks another keeper if not.
                self.want(node, Wanted::Filled(disk, epoch), FILLED_PATIENCE);
                return;
            }
            _ => Answer::Unready,
        };
        self.answer(node, link, number, answer);
    }

    /// Takes a subscriber on, or names others to ask.
    fn subscribed(&mut self, node: usize, link: LinkNumber, number: u64, call: &Call) {
        let role = match self.nodes[node].role {
            Role::Keeper => state_feed::Role::Keeper,
            _ => state_feed::Role::Relay,
        };
        let (answer, first) = self.nodes[node].feed.subscribe(self.now, role, call, link);
        self.answer(node, link, number, answer);
        for bytes in first {
            self.send(node, link, bytes);
        }
    }

    pub(super) fn answer(&mut self, node: usize, link: LinkNumber, number: u64, answer: Answer) {
        let bytes = peer_wire::encode(&Frame::Answer(number, answer)).expect("an answer can be encoded");
        self.send(node, link, bytes);
    }

    pub(super) fn answered(&mut self, number: u64, answer: Answer) {
        let Some((node, pending)) = self.pending.remove(&number) else { return };
        let now = self.now;
        match (pending, answer) {
            (Pending::Poll { round, voter }, Answer::Register(reply)) => {
                self.saw_peer(node, voter);
                self.polled(node, round, voter, Some(reply));
            }
            (Pending::Proposal { run, voter }, Answer::Register(reply)) => {
                self.saw_peer(node, voter);
                self.step(node, run, voter, Some(reply));
            }
            (Pending::Fetch, Answer::Register(RegisterReply::Fetched(Some(value)))) => {
                self.adopt(node, value);
                self.poll_now(node);
            }
            (Pending::Inspect { disk }, Answer::View(_)) => {
                if let Some(keeper) = &mut self.nodes[node].keeper {
                    keeper.stores_seen.insert(disk, now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn call_over(&mut self, number: u64) {
        let Some((node, pending)) = self.pending.remove(&number) else { return };
        match pending {
            Pending::Poll { round, voter } => self.polled(node, round, voter, None),
            Pending::Proposal { run, voter } => self.step(node, run, voter, None),
            Pending::Filled { epoch, tries } => {
                let disk = self.nodes[node].disk;
                let roster = &self.nodes[node].feed.state().roster;
                if roster.epoch == epoch && roster.next.is_some() && !roster.filled.contains(&disk) {
                    self.tell_filled(node, disk, epoch, tries + 1);
                }
            }
            Pending::Fetch | Pending::Inspect { .. } => {}
        }
    }
}

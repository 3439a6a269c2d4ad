//! The feed: heartbeats, followers with their upstreams, and what a process does with newer state.

use super::calls::Pending;
use super::network::{LinkKind, LinkNumber};
use super::schedule::Due;
use super::{DELAYS, MS, PATIENCE, World};
use crate::hollow::Role;
use crate::hollow::feed::{PEER_PORT, feed_time};
use crate::hollow::keeper::LIST;
use fleet_model::{Answer, Call, Push, rank};
use state_feed::{Command, Event, LinkId};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// How many of the control nodes all settings name.
const SEEDS: usize = 3;
/// How long a storage machine waits for an answer after it told that it is full.
const FILLED_TIMEOUT: u64 = 700 * MS;

impl World {
    pub(super) fn heartbeat(&mut self, node: usize) {
        if self.nodes[node].feed.beat_due() <= self.now {
            let beats = self.nodes[node].feed.beat(self.now);
            self.spread(node, beats);
        }
        let due = self.nodes[node].feed.beat_due().max(self.now + 1);
        self.later(node, due - self.now, Due::Heartbeat);
    }

    /// Whom a process may ask: its one parent, or the voters and the first keepers, which all settings name.
    pub(super) fn parents(&self, node: usize) -> Vec<SocketAddrV4> {
        let sole = self.nodes[node].follow.as_ref().and_then(|follow| follow.sole);
        let ips = match sole {
            Some(agent) => vec![agent],
            None => {
                let mut ips = self.nodes[node].feed.value().voters.clone();
                ips.extend(self.keepers.iter().take(SEEDS).map(|keeper| self.nodes[*keeper].ip));
                ips.sort();
                ips.dedup();
                ips
            }
        };
        ips.into_iter().map(|ip| SocketAddrV4::new(ip, PEER_PORT)).collect()
    }

    /// The follower's time has come, if it was not put off since.
    pub(super) fn wake(&mut self, node: usize) {
        let now = self.now;
        let follow = self.nodes[node].follow.as_mut();
        if let Some(follow) = follow.filter(|follow| follow.wake_at == now) {
            follow.wake_at = u64::MAX;
            self.follow(node, Event::Tick);
        }
    }

    /// A link that the follower asked for could not be opened.
    pub(super) fn unopened(&mut self, node: usize, link: LinkId) {
        let follow = self.nodes[node].follow.as_mut();
        if follow.is_some_and(|follow| follow.links.remove(&link).is_some()) {
            self.follow(node, Event::Closed(link));
        }
    }

    /// The answer to the subscription on a link.
    pub(super) fn subscription_answered(&mut self, node: usize, link: LinkNumber, answer: Answer) {
        if let Some(name) = self.nodes[node].follow.as_ref().and_then(|follow| follow.named(link)) {
            self.follow(node, Event::Answered(name, answer));
        }
    }

    /// Hands an event to a process's follower, and carries out what it decides.
    pub(super) fn follow(&mut self, node: usize, event: Event) {
        let (now, parents) = (self.now, self.parents(node));
        let Some(follow) = &mut self.nodes[node].follow else { return };
        for command in follow.follower.handle(feed_time(now), &parents, event) {
            match command {
                Command::Ask { link, parent, urgent } => self.ask(node, link, *parent.ip(), urgent),
                Command::Close(name) => {
                    let follow = self.nodes[node].follow.as_mut();
                    if let Some(link) = follow.and_then(|follow| follow.links.remove(&name)).flatten() {
                        self.close(node, link);
                    }
                }
            }
        }
        let Some(follow) = &mut self.nodes[node].follow else { return };
        let Ok(at) = u64::try_from(follow.follower.wake_at().as_micros()) else { return };
        let at = at.max(now + 1);
        if at < follow.wake_at {
            follow.wake_at = at;
            self.later(node, at - now, Due::Wake);
        }
    }

    pub(super) fn ask(&mut self, node: usize, name: LinkId, parent: Ipv4Addr, urgent: bool) {
        let Some(to) = self.by_ip.get(&parent).copied() else { return };
        let link = self.open(LinkKind::Feed, node, to);
        if let Some(follow) = &mut self.nodes[node].follow {
            follow.links.insert(name, link);
        }
        let Some(link) = link else {
            // A machine that is there refuses at once.
            let refused = self.reaches(node, to);
            let patience = if refused { 2 * DELAYS[self.distance(node, to)] } else { PATIENCE };
            return self.later(node, patience, Due::Unopened(name));
        };
        let call = self.subscription(node, urgent, None);
        self.call_on(node, link, to, call);
    }

    pub(super) fn subscription(&self, node: usize, urgent: bool, zone: Option<String>) -> Call {
        let asker = &self.nodes[node];
        Call::Subscribe {
            ip: asker.ip,
            zone: zone.unwrap_or_else(|| self.plan.zone(asker.zone)),
            urgent,
            value: asker.feed.value().ballot,
            list: asker.feed.list().stamp,
        }
    }

    /// A link brought this to a process that is fed on it.
    pub(super) fn fed(&mut self, node: usize, link: LinkNumber, push: Push) {
        let Some(name) = self.nodes[node].follow.as_ref().and_then(|follow| follow.named(link)) else {
            return;
        };
        let event = match &push {
            Push::Beat { age_ms, .. } => Some(Event::Beat(name, Duration::from_millis((*age_ms).into()))),
            _ => None,
        };
        match self.take(node, push, true) {
            true => self.follow(node, Event::OutOfStep(name)),
            false => event.into_iter().for_each(|event| self.follow(node, event)),
        }
    }

    /// The holder of the duty told a keeper this.
    pub(super) fn list_fed(&mut self, node: usize, link: LinkNumber, push: Push) {
        let now = self.now;
        let follows = self.nodes[node].keeper.as_mut().and_then(|keeper| keeper.follows.as_mut());
        let Some(follows) = follows.filter(|follows| follows.link == link) else { return };
        follows.heard_at = now;
        if self.take(node, push, false) {
            self.leave_lists(node);
        }
    }

    /// Takes a push; true if its link is to be left.
    pub(super) fn take(&mut self, node: usize, push: Push, confirms: bool) -> bool {
        let stamp = self.nodes[node].feed.list().stamp;
        let taken = self.nodes[node].feed.take(self.now, push, confirms);
        self.spread(node, taken.frames);
        if self.nodes[node].feed.list().stamp != stamp {
            self.nodes[node].list_at = self.now;
        }
        self.learned(node);
        taken.out_of_step
    }

    /// A proxy reads a newer configuration; a storage machine fills for a next set.
    pub(super) fn learned(&mut self, node: usize) {
        let known = &mut self.nodes[node];
        let version = known.feed.state().version();
        if version > known.version {
            known.version = version;
            known.version_at = self.now;
            if known.role == Role::Proxy {
                let _ = operator_config::OperatorConfig::read(&known.feed.state().config);
            }
        }
        let roster = &known.feed.state().roster;
        if known.role == Role::Store
            && known.filled_for < roster.epoch
            && roster.next.iter().flatten().any(|store| store.disk == known.disk)
            && !roster.filled.contains(&known.disk)
        {
            known.filled_for = roster.epoch;
            let (disk, epoch) = (known.disk, roster.epoch);
            self.tell_filled(node, disk, epoch, 0);
        }
    }

    /// The duty's holder is told first, then the other keepers in turn.
    pub(super) fn tell_filled(&mut self, node: usize, disk: u64, epoch: u64, tries: usize) {
        let holder = self.nodes[node].feed.state().fences.get(LIST).and_then(|fence| fence.holder);
        let mut keepers = self.keepers.clone();
        keepers.sort_by_key(|keeper| {
            let ip = self.nodes[*keeper].ip;
            (Some(ip) != holder, rank(&ip.octets(), disk))
        });
        let keeper = keepers[tries % keepers.len()];
        self.call(
            node,
            keeper,
            Call::Filled { disk, epoch },
            Pending::Filled { epoch, tries },
            FILLED_TIMEOUT,
        );
    }
}

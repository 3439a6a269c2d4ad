//! What the processes do: polling, subscribing, pushing and following.

use super::{Fact, Happening, Kind, Link, Message, PORT, Side, USER_TIMEOUT, World};
use bytes::Bytes;
use fleet_model::{Answer, Ballot, Call, ChosenValue, Endpoint, EndpointList, ListVersion, Push};
use state_feed::{Command, Event, FeedState, Follower, Role, Sources};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

impl World {
    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver(id, side, message) => self.deliver(id, side, message),
            Happening::Wake(node, at) => {
                if self.nodes[node].next_wake != at || !self.nodes[node].alive {
                    return;
                }
                if !self.works(node) {
                    self.nodes[node].inbox.push(Happening::Wake(node, at));
                    return;
                }
                self.woken(node);
            }
            Happening::Poll(keeper, life) => {
                if !self.nodes[keeper].alive || self.nodes[keeper].life != life {
                    return;
                }
                if !self.works(keeper) {
                    self.nodes[keeper].inbox.push(Happening::Poll(keeper, life));
                    return;
                }
                if self.is_fresh(keeper) {
                    let later = self.chance.between(3, 30);
                    self.after(later, Happening::Polled(keeper, life, self.now));
                }
                let next = self.chance.between(250, 290);
                self.after(next, Happening::Poll(keeper, life));
            }
            Happening::Polled(keeper, life, began) => {
                if !self.nodes[keeper].alive || self.nodes[keeper].life != life {
                    return;
                }
                if !self.works(keeper) {
                    self.nodes[keeper].inbox.push(Happening::Polled(keeper, life, began));
                    return;
                }
                self.learn_newest(keeper);
                self.nodes[keeper].feed.confirm(Duration::from_millis(began));
            }
            Happening::BreakIfHeld(id, way, since) => {
                if self.links.get(&id).is_some_and(|link| link.held_since[way] == Some(since)) {
                    self.give_up(id, if way == 0 { Side::Client } else { Side::Server });
                }
            }
            Happening::BreakIfUnheard(id, side, since) => {
                let Some(link) = self.links.get(&id) else { return };
                let (me, other) = match side {
                    Side::Client => (link.client.0, link.server.0),
                    Side::Server => (link.server.0, link.client.0),
                };
                // A cut that began before, or with, that send, and stands.
                if self.is_cut(other, me) && self.now >= since + USER_TIMEOUT {
                    self.give_up(id, side);
                }
            }
            Happening::Thaw(node, life) => {
                let thawed = &mut self.nodes[node];
                if thawed.life == life && thawed.alive && thawed.frozen_until <= self.now {
                    for happening in std::mem::take(&mut thawed.inbox) {
                        self.happen(happening);
                    }
                    self.plan(node);
                }
            }
            Happening::Restart(node) => self.restart(node),
            Happening::Heal(from, to) => {
                if !self.is_cut(from, to) {
                    self.heal();
                }
            }
            Happening::Choose => self.choose(),
            Happening::List => self.read_list(),
            Happening::Sample => self.sample(),
        }
    }

    pub(super) fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            return;
        }
        let former = (node, self.nodes[node].life);
        let seed = self.chance.next();
        let (kind, ip) = (self.nodes[node].kind, self.nodes[node].ip);
        let sources = match kind {
            Kind::Keeper => None,
            Kind::Agent => Some(Sources::Tree { urgent: false }),
            Kind::Storage => Some(Sources::Tree { urgent: true }),
            Kind::Proxy(_) => Some(Sources::One),
        };
        let started = &mut self.nodes[node];
        (started.alive, started.dark, started.frozen_until) = (true, false, 0);
        started.life += 1;
        started.feed = FeedState::default();
        started.follower = sources.map(|sources| Follower::new(ip, sources, seed));
        started.links.clear();
        started.told = None;
        let life = started.life;
        // What its former life had open is answered by a reset.
        self.end_links_of(former);
        self.heal();
        if kind == Kind::Keeper {
            let first = self.chance.between(10, 100);
            self.after(first, Happening::Poll(node, life));
        }
        self.plan(node);
    }

    pub(super) fn newest_list(&self) -> EndpointList {
        let number = self.lists.len() as u64 - 1;
        EndpointList {
            version: ListVersion::new(1, number),
            endpoints: self.lists[number as usize].iter().cloned().collect(),
        }
    }

    /// What a poll tells that has ended now.
    pub(super) fn learn_newest(&mut self, keeper: usize) {
        let value = ChosenValue {
            ballot: Ballot { round: self.round, proposer: 1, incarnation: 1 },
            voters: Vec::new(),
            payload: Bytes::new(),
        };
        let learned = self.nodes[keeper].feed.update_value(value).expect("an empty one can be read");
        self.spread(learned.broadcasts);
        let list = self.newest_list();
        let learned = self.nodes[keeper].feed.update_list(list);
        self.spread(learned.broadcasts);
        self.note(keeper);
        self.plan(keeper);
    }

    pub(super) fn spread(&mut self, broadcasts: Vec<state_feed::Broadcast>) {
        for spread in broadcasts {
            for id in spread.to {
                self.push(id, spread.push.clone());
            }
        }
    }

    pub(super) fn push(&mut self, id: u64, push: Push) {
        if let Push::Value(value) = &push
            && let Some(link) = self.links.get_mut(&id)
            && !link.pushed.insert(value.ballot.round)
        {
            self.facts.push(Fact::Repeated { at: self.now, link: id, round: value.ballot.round });
        }
        self.send(id, Side::Client, Message::Push(push));
    }

    pub(super) fn note(&mut self, node: usize) {
        let (round, list) =
            (self.nodes[node].feed.value().ballot.round, self.nodes[node].feed.list().clone());
        if self.nodes[node].told == Some((round, list.version)) {
            return;
        }
        self.nodes[node].told = Some((round, list.version));
        let known: BTreeSet<Endpoint> = list.endpoints.iter().cloned().collect();
        self.facts.push(Fact::Knows {
            at: self.now,
            node,
            life: self.nodes[node].life,
            round,
            list: list.version,
            true_list: self.lists[list.version.poll as usize] == known,
        });
    }

    pub(super) fn keepers_of(&self, node: usize) -> Vec<SocketAddrV4> {
        match self.nodes[node].kind {
            Kind::Proxy(_) => vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT)],
            _ => self
                .all(|kind| kind == Kind::Keeper)
                .into_iter()
                .map(|keeper| SocketAddrV4::new(self.nodes[keeper].ip, PORT))
                .collect(),
        }
    }

    pub(super) fn follow(&mut self, node: usize, event: Event) {
        let (now, keepers) = (self.time(), self.keepers_of(node));
        let Some(follower) = &mut self.nodes[node].follower else { return };
        for command in follower.handle(now, &keepers, event) {
            match command {
                Command::Subscribe { link, upstream, urgent } => self.open(node, link, upstream, urgent),
                Command::Close(link) => {
                    if let Some(id) = self.nodes[node].links.remove(&link) {
                        self.send(id, Side::Server, Message::Close);
                    }
                }
            }
        }
        self.plan(node);
    }

    pub(super) fn open(&mut self, node: usize, number: u64, parent: SocketAddrV4, urgent: bool) {
        let target = match self.nodes[node].kind {
            Kind::Proxy(agent) => agent,
            _ => {
                let found = (0..self.nodes.len()).find(|other| {
                    self.nodes[*other].ip == *parent.ip()
                        && !matches!(self.nodes[*other].kind, Kind::Proxy(_))
                });
                found.expect("an address of the fleet")
            }
        };
        self.last_link += 1;
        let id = self.last_link;
        let link = Link {
            client: (node, self.nodes[node].life),
            server: (target, self.nodes[target].life),
            number,
            held: Default::default(),
            held_since: [None; 2],
            last: [self.now; 2],
            broken: false,
            pushed: BTreeSet::new(),
        };
        self.links.insert(id, link);
        self.nodes[node].links.insert(number, id);
        if self.is_cut(node, target) || self.is_cut(target, node) || self.nodes[target].dark {
            return;
        }
        if !self.nodes[target].alive {
            self.send(id, Side::Client, Message::Close);
            return;
        }
        let call = Call::Subscribe {
            ip: self.nodes[node].ip,
            zone: self.nodes[node].zone.clone(),
            urgent,
            value: self.nodes[node].feed.value().ballot,
            list: self.nodes[node].feed.list().version,
        };
        self.send(id, Side::Server, Message::Subscribe(call));
    }

    pub(super) fn deliver(&mut self, id: u64, side: Side, message: Message) {
        let Some(link) = self.links.get(&id) else { return };
        let ((node, life), number) = match side {
            Side::Client => (link.client, link.number),
            Side::Server => (link.server, link.number),
        };
        if !self.nodes[node].alive || self.nodes[node].life != life {
            return;
        }
        if !self.works(node) {
            self.nodes[node].inbox.push(Happening::Deliver(id, side, message));
            return;
        }
        if side == Side::Server {
            match message {
                Message::Subscribe(call) => self.subscribed(node, id, &call),
                _ => self.nodes[node].feed.remove(id),
            }
            return;
        }
        // What was closed here counts no more.
        if self.nodes[node].links.get(&number) != Some(&id) {
            return;
        }
        match message {
            Message::Answer(answer) => self.follow(node, Event::Answered(number, answer)),
            Message::Push(push) => {
                let beat = match &push {
                    Push::Heartbeat { age_ms, .. } => Some(Duration::from_millis((*age_ms).into())),
                    _ => None,
                };
                let now = self.time();
                let learned = self.nodes[node].feed.apply_push(now, push, true).expect("values can be read");
                self.spread(learned.broadcasts);
                self.note(node);
                if learned.out_of_sync {
                    self.follow(node, Event::OutOfSync(number));
                } else if let Some(age) = beat {
                    self.follow(node, Event::Heartbeat(number, age));
                }
            }
            Message::Close => {
                self.nodes[node].links.remove(&number);
                self.follow(node, Event::Closed(number));
            }
            Message::Subscribe(_) => unreachable!("clients are not asked"),
        }
    }

    pub(super) fn subscribed(&mut self, node: usize, id: u64, call: &Call) {
        self.nodes[node].calls += 1;
        let role = if self.nodes[node].kind == Kind::Keeper { Role::ControlNode } else { Role::Relay };
        let now = self.time();
        let subscription = match self.nodes[node].kind {
            Kind::Storage | Kind::Proxy(_) => {
                self.send(id, Side::Client, Message::Answer(Answer::NotReady));
                return;
            }
            _ => self.nodes[node].feed.subscribe(now, role, PORT, call, id),
        };
        self.send(id, Side::Client, Message::Answer(subscription.answer));
        for push in subscription.pushes {
            self.push(id, push);
        }
    }

    pub(super) fn woken(&mut self, node: usize) {
        let now = self.time();
        if self.nodes[node].feed.heartbeat_due() <= now {
            let broadcasts = self.nodes[node].feed.heartbeat(now);
            self.spread(broadcasts);
        }
        self.follow(node, Event::Tick);
        self.plan(node);
    }

    pub(super) fn plan(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let planned = &self.nodes[node];
        let follows = planned.follower.as_ref().map_or(Duration::MAX, Follower::wake_at);
        let wake = planned.feed.heartbeat_due().min(follows);
        let wake = u64::try_from(wake.as_millis()).unwrap_or(u64::MAX).max(self.now + 1);
        if planned.next_wake != wake || planned.next_wake <= self.now {
            self.nodes[node].next_wake = wake;
            self.at(wake, Happening::Wake(node, wake));
        }
    }

    pub(super) fn sample(&mut self) {
        self.after(25, Happening::Sample);
        let keepers = self.all(|kind| kind == Kind::Keeper);
        for node in 0..self.nodes.len() {
            let agent = match self.nodes[node].kind {
                Kind::Keeper => continue,
                Kind::Proxy(agent) => agent,
                _ => node,
            };
            let mut since: Option<u64> = None;
            for keeper in &keepers {
                if self.in_touch(agent, *keeper) && self.works(node) {
                    let from = *self.reach.entry((node, *keeper)).or_insert(self.now);
                    since = Some(since.map_or(from, |since| since.min(from)));
                } else {
                    self.reach.remove(&(node, *keeper));
                }
            }
            self.facts.push(Fact::InTouch { at: self.now, node, since });
        }
        for keeper in keepers {
            let calls = std::mem::take(&mut self.nodes[keeper].calls);
            let links =
                if self.works(keeper) { self.nodes[keeper].feed.subscriber_addresses().len() } else { 0 };
            self.facts.push(Fact::Load { at: self.now, keeper, links, calls });
        }
    }
}

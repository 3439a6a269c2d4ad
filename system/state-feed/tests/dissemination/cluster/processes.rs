//! What the processes do: polling, subscribing, pushing and following.

use super::{Action, Cluster, HistoryEvent, Kind, Link, Message, PORT, Side, USER_TIMEOUT_MS};
use bytes::Bytes;
use fleet_model::{Answer, Ballot, Call, ChosenValue, Endpoint, EndpointList, ListVersion, Push};
use state_feed::{Command, Event, FeedState, Follower, Role, Sources};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

impl Cluster {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver(id, side, message) => self.deliver(id, side, message),
            Action::Wake(node, at) => {
                if self.nodes[node].next_wake != at || !self.nodes[node].alive {
                    return;
                }
                if !self.is_running(node) {
                    self.nodes[node].inbox.push(Action::Wake(node, at));
                    return;
                }
                self.on_wake(node);
            }
            Action::Poll(control_node, incarnation) => {
                self.start_poll(control_node, incarnation);
            }
            Action::Polled(control_node, incarnation, started) => {
                self.complete_poll(control_node, incarnation, started);
            }
            Action::BreakIfPending(id, direction, since) => {
                if self.links.get(&id).is_some_and(|link| link.pending_since[direction] == Some(since)) {
                    self.break_connection(id, if direction == 0 { Side::Client } else { Side::Server });
                }
            }
            Action::BreakIfSilent(id, side, since) => {
                let Some(link) = self.links.get(&id) else { return };
                let (me, other) = match side {
                    Side::Client => (link.client.0, link.server.0),
                    Side::Server => (link.server.0, link.client.0),
                };
                // The partition started no later than the send, and persists.
                if self.is_partitioned(other, me) && self.now >= since + USER_TIMEOUT_MS {
                    self.break_connection(id, side);
                }
            }
            Action::Thaw(node, incarnation) => {
                let node_state = &mut self.nodes[node];
                if node_state.incarnation == incarnation
                    && node_state.alive
                    && node_state.frozen_until <= self.now
                {
                    for action in std::mem::take(&mut node_state.inbox) {
                        self.perform(action);
                    }
                    self.schedule_wake(node);
                }
            }
            Action::Restart(node) => self.restart(node),
            Action::Heal(from, to) => {
                if !self.is_partitioned(from, to) {
                    self.heal();
                }
            }
            Action::CommitValue => self.commit_value(),
            Action::PollList => self.poll_list(),
            Action::Sample => self.sample(),
        }
    }

    /// Polls the register, if a majority can be reached, and schedules the next poll.
    fn start_poll(&mut self, control_node: usize, incarnation: u64) {
        if !self.nodes[control_node].alive || self.nodes[control_node].incarnation != incarnation {
            return;
        }
        if !self.is_running(control_node) {
            self.nodes[control_node].inbox.push(Action::Poll(control_node, incarnation));
            return;
        }
        if self.is_fresh(control_node) {
            let later = self.random.between(3, 30);
            self.schedule_after(later, Action::Polled(control_node, incarnation, self.now));
        }
        let next = self.random.between(250, 290);
        self.schedule_after(next, Action::Poll(control_node, incarnation));
    }

    /// Applies the result of a poll that started at `started`.
    fn complete_poll(&mut self, control_node: usize, incarnation: u64, started: u64) {
        if !self.nodes[control_node].alive || self.nodes[control_node].incarnation != incarnation {
            return;
        }
        if !self.is_running(control_node) {
            self.nodes[control_node].inbox.push(Action::Polled(control_node, incarnation, started));
            return;
        }
        self.update_from_register(control_node);
        self.nodes[control_node].feed.confirm(Duration::from_millis(started));
    }

    pub(super) fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            return;
        }
        let former = (node, self.nodes[node].incarnation);
        let seed = self.random.next();
        let (kind, ip) = (self.nodes[node].kind, self.nodes[node].ip);
        let sources = match kind {
            Kind::ControlNode => None,
            Kind::Agent => Some(Sources::Tree { urgent: false }),
            Kind::Storage => Some(Sources::Tree { urgent: true }),
            Kind::Proxy(_) => Some(Sources::One),
        };
        let started = &mut self.nodes[node];
        (started.alive, started.powered_off, started.frozen_until) = (true, false, 0);
        started.incarnation += 1;
        started.feed = FeedState::default();
        started.follower = sources.map(|sources| Follower::new(ip, sources, seed));
        started.links.clear();
        started.last_recorded = None;
        let incarnation = started.incarnation;
        // Connections of the former incarnation are reset.
        self.close_links_of(former);
        self.heal();
        if kind == Kind::ControlNode {
            let first = self.random.between(10, 100);
            self.schedule_after(first, Action::Poll(node, incarnation));
        }
        self.schedule_wake(node);
    }

    pub(super) fn newest_list(&self) -> EndpointList {
        let number = self.lists.len() as u64 - 1;
        EndpointList {
            version: ListVersion::new(1, number),
            endpoints: self.lists[number as usize].iter().cloned().collect(),
        }
    }

    /// Applies the newest value and list, as a poll that has just completed returns them.
    pub(super) fn update_from_register(&mut self, control_node: usize) {
        let value = ChosenValue {
            ballot: Ballot { round: self.round, proposer: 1, incarnation: 1 },
            voters: Vec::new(),
            payload: Bytes::new(),
        };
        let update = self.nodes[control_node].feed.update_value(value).expect("an empty one can be read");
        self.send_broadcasts(update.broadcasts);
        let list = self.newest_list();
        let update = self.nodes[control_node].feed.update_list(list);
        self.send_broadcasts(update.broadcasts);
        self.record_known(control_node);
        self.schedule_wake(control_node);
    }

    pub(super) fn send_broadcasts(&mut self, broadcasts: Vec<state_feed::Broadcast>) {
        for broadcast in broadcasts {
            for id in broadcast.to {
                self.push(id, broadcast.push.clone());
            }
        }
    }

    pub(super) fn push(&mut self, id: u64, push: Push) {
        if let Push::Value(value) = &push
            && let Some(link) = self.links.get_mut(&id)
            && !link.pushed.insert(value.ballot.round)
        {
            self.history.push(HistoryEvent::Repeated { at: self.now, link: id, round: value.ballot.round });
        }
        self.send(id, Side::Client, Message::Push(push));
    }

    pub(super) fn record_known(&mut self, node: usize) {
        let (round, list) =
            (self.nodes[node].feed.value().ballot.round, self.nodes[node].feed.list().clone());
        if self.nodes[node].last_recorded == Some((round, list.version)) {
            return;
        }
        self.nodes[node].last_recorded = Some((round, list.version));
        let known: BTreeSet<Endpoint> = list.endpoints.iter().cloned().collect();
        self.history.push(HistoryEvent::Knows {
            at: self.now,
            node,
            incarnation: self.nodes[node].incarnation,
            round,
            list: list.version,
            true_list: self.lists[list.version.poll as usize] == known,
        });
    }

    pub(super) fn upstream_candidates(&self, node: usize) -> Vec<SocketAddrV4> {
        match self.nodes[node].kind {
            Kind::Proxy(_) => vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT)],
            _ => self
                .nodes_of_kind(|kind| kind == Kind::ControlNode)
                .into_iter()
                .map(|control_node| SocketAddrV4::new(self.nodes[control_node].ip, PORT))
                .collect(),
        }
    }

    pub(super) fn follow(&mut self, node: usize, event: Event) {
        let (now, control_nodes) = (self.time(), self.upstream_candidates(node));
        let Some(follower) = &mut self.nodes[node].follower else { return };
        for command in follower.handle(now, &control_nodes, event) {
            match command {
                Command::Subscribe { link, upstream, urgent } => self.open(node, link, upstream, urgent),
                Command::Close(link) => {
                    if let Some(id) = self.nodes[node].links.remove(&link) {
                        self.send(id, Side::Server, Message::Close);
                    }
                }
            }
        }
        self.schedule_wake(node);
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
            client: (node, self.nodes[node].incarnation),
            server: (target, self.nodes[target].incarnation),
            number,
            pending: Default::default(),
            pending_since: [None; 2],
            last: [self.now; 2],
            broken: false,
            pushed: BTreeSet::new(),
        };
        self.links.insert(id, link);
        self.nodes[node].links.insert(number, id);
        if self.is_partitioned(node, target)
            || self.is_partitioned(target, node)
            || self.nodes[target].powered_off
        {
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
        let ((node, incarnation), number) = match side {
            Side::Client => (link.client, link.number),
            Side::Server => (link.server, link.number),
        };
        if !self.nodes[node].alive || self.nodes[node].incarnation != incarnation {
            return;
        }
        if !self.is_running(node) {
            self.nodes[node].inbox.push(Action::Deliver(id, side, message));
            return;
        }
        if side == Side::Server {
            match message {
                Message::Subscribe(call) => self.on_subscribe(node, id, &call),
                _ => self.nodes[node].feed.remove(id),
            }
            return;
        }
        // The follower has closed this link.
        if self.nodes[node].links.get(&number) != Some(&id) {
            return;
        }
        match message {
            Message::Answer(answer) => self.follow(node, Event::Answered(number, answer)),
            Message::Push(push) => {
                let heartbeat_age = match &push {
                    Push::Heartbeat { age_ms, .. } => Some(Duration::from_millis((*age_ms).into())),
                    _ => None,
                };
                let now = self.time();
                let update = self.nodes[node].feed.apply_push(now, push, true).expect("values can be read");
                self.send_broadcasts(update.broadcasts);
                self.record_known(node);
                if update.out_of_sync {
                    self.follow(node, Event::OutOfSync(number));
                } else if let Some(age) = heartbeat_age {
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

    pub(super) fn on_subscribe(&mut self, node: usize, id: u64, call: &Call) {
        self.nodes[node].calls += 1;
        let role = if self.nodes[node].kind == Kind::ControlNode { Role::ControlNode } else { Role::Relay };
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

    pub(super) fn on_wake(&mut self, node: usize) {
        let now = self.time();
        if self.nodes[node].feed.heartbeat_due() <= now {
            let broadcasts = self.nodes[node].feed.heartbeat(now);
            self.send_broadcasts(broadcasts);
        }
        self.follow(node, Event::Tick);
        self.schedule_wake(node);
    }

    pub(super) fn schedule_wake(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let planned = &self.nodes[node];
        let follows = planned.follower.as_ref().map_or(Duration::MAX, Follower::wake_at);
        let wake = planned.feed.heartbeat_due().min(follows);
        let wake = u64::try_from(wake.as_millis()).unwrap_or(u64::MAX).max(self.now + 1);
        if planned.next_wake != wake || planned.next_wake <= self.now {
            self.nodes[node].next_wake = wake;
            self.schedule(wake, Action::Wake(node, wake));
        }
    }

    pub(super) fn sample(&mut self) {
        self.schedule_after(25, Action::Sample);
        let control_nodes = self.nodes_of_kind(|kind| kind == Kind::ControlNode);
        for node in 0..self.nodes.len() {
            let agent = match self.nodes[node].kind {
                Kind::ControlNode => continue,
                Kind::Proxy(agent) => agent,
                _ => node,
            };
            let mut since: Option<u64> = None;
            for control_node in &control_nodes {
                if self.is_reachable(agent, *control_node) && self.is_running(node) {
                    let from = *self.reachable_since.entry((node, *control_node)).or_insert(self.now);
                    since = Some(since.map_or(from, |since| since.min(from)));
                } else {
                    self.reachable_since.remove(&(node, *control_node));
                }
            }
            self.history.push(HistoryEvent::Reachable { at: self.now, node, since });
        }
        for control_node in control_nodes {
            let calls = std::mem::take(&mut self.nodes[control_node].calls);
            let links = if self.is_running(control_node) {
                self.nodes[control_node].feed.subscriber_addresses().len()
            } else {
                0
            };
            self.history.push(HistoryEvent::Load { at: self.now, control_node, links, calls });
        }
    }
}

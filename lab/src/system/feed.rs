//! The feed over simulated links: `state-feed` decides, here links are opened and carried out as the programs do it.

use super::Mutation;
use super::history::Fact;
use super::schedule::Class;
use super::world::{Host, PORT, Pusher, Pushes, list_of};
use fleet_model::{Answer, Ballot, Call, ChosenValue, ControlState, EndpointList, Push};
use state_feed::{Command, Event, FeedState, Follower, Learned, LinkId, Role, Sources, Spread, SubscriberId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const OPENING: u64 = 300;

/// What a process knows through the feed, and passes on.
pub struct Feed {
    host: Host,
    decides: RefCell<FeedState>,
    pushers: RefCell<BTreeMap<SubscriberId, Pusher>>,
    last_link: Cell<SubscriberId>,
    changed: watch::Sender<u64>,
}

impl Feed {
    /// Of a process that has just started.
    pub fn new(host: &Host) -> Rc<Self> {
        Rc::new(Self {
            host: host.clone(),
            decides: RefCell::default(),
            pushers: RefCell::default(),
            last_link: Cell::new(0),
            changed: watch::Sender::new(0),
        })
    }

    /// The newest value.
    pub fn value(&self) -> Rc<ChosenValue> {
        self.decides.borrow().value().clone()
    }

    /// The newest value, read.
    pub fn state(&self) -> Rc<ControlState> {
        self.decides.borrow().state().clone()
    }

    /// The newest list.
    pub fn list(&self) -> Rc<EndpointList> {
        self.decides.borrow().list().clone()
    }

    /// Counts changes of value and list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// A majority of the core had nothing newer at that time.
    pub fn confirm(&self, at: Duration) {
        self.decides.borrow_mut().confirm(at);
    }

    /// How old at most what is known here is.
    pub fn age(&self) -> Option<Duration> {
        self.decides.borrow().age(self.host.now())
    }

    /// When what is known was last confirmed.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.decides.borrow().fresh_at()
    }

    /// Takes a newer value.
    pub fn learn_value(&self, value: ChosenValue) -> bool {
        let learned = self.decides.borrow_mut().learn_value(value).unwrap_or_default();
        self.carry_out(learned).changed
    }

    /// Takes a newer list.
    pub fn learn_list(&self, list: EndpointList) -> bool {
        let learned = self.decides.borrow_mut().learn_list(list);
        self.carry_out(learned).changed
    }

    /// Carries out a push; false if the link's list is not the one known here.
    fn take(&self, push: Push, confirms: bool) -> bool {
        let learned = {
            let mut decides = self.decides.borrow_mut();
            let is_older = match &push {
                Push::Value(value) => value.ballot < decides.value().ballot,
                Push::List(list) => list.stamp < decides.list().stamp,
                _ => false,
            };
            if is_older && self.takes_all() {
                // Broken on purpose: what comes last is taken.
                *decides = FeedState::default();
            }
            decides.take(self.host.now(), push, confirms).unwrap_or_default()
        };
        !self.carry_out(learned).out_of_step
    }

    /// Broken on purpose: what relays pass on has no versions, so that whoever hears takes it.
    fn takes_all(&self) -> bool {
        matches!(self.host.class, Class::Agent | Class::Proxy)
            && self.host.breaks(Mutation::RelayWithoutVersions)
    }

    fn carry_out(&self, mut learned: Learned) -> Learned {
        self.spread(std::mem::take(&mut learned.spreads));
        if learned.changed {
            self.changed.send_modify(|count| *count += 1);
            if matches!(self.host.class, Class::Agent | Class::Proxy) {
                self.host.note(Fact::Knows {
                    node: self.host.node,
                    life: self.host.life,
                    ballot: self.value().ballot,
                    version: self.state().version(),
                    list: list_of(&self.list().endpoints),
                });
            }
        }
        learned
    }

    fn spread(&self, spreads: Vec<Spread>) {
        for Spread { push, to } in spreads {
            for link in to {
                let pushed = self.pushers.borrow().get(&link).is_some_and(|pusher| pusher.push(push.clone()));
                if !pushed {
                    self.part_with(link);
                }
            }
        }
    }

    fn part_with(&self, link: SubscriberId) {
        self.pushers.borrow_mut().remove(&link);
        self.decides.borrow_mut().remove(link);
    }

    fn beat(&self) {
        let spreads = self.decides.borrow_mut().beat(self.host.now());
        self.spread(spreads);
    }

    /// Takes a subscriber on, or names others to ask.
    pub fn subscribe(&self, call: &Call, pusher: &Pusher) -> Answer {
        let closed: Vec<SubscriberId> = {
            let pushers = self.pushers.borrow();
            pushers.iter().filter(|(_, pusher)| pusher.is_closed()).map(|(link, _)| *link).collect()
        };
        closed.into_iter().for_each(|link| self.part_with(link));
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let role = if self.host.class == Class::Keeper { Role::Keeper } else { Role::Relay };
        let subscription = self.decides.borrow_mut().subscribe(self.host.now(), role, PORT, call, link);
        if !subscription.pushes.into_iter().all(|push| pusher.push(push)) {
            self.decides.borrow_mut().remove(link);
            return Answer::Unready;
        }
        if subscription.answer == Answer::Done {
            self.pushers.borrow_mut().insert(link, pusher.clone());
        }
        subscription.answer
    }

    fn ask(&self, zone: String, urgent: bool) -> Call {
        let (value, list) = match self.takes_all() {
            true => (Ballot::default(), (0, 0)),
            false => (self.value().ballot, self.list().stamp),
        };
        Call::Subscribe { ip: self.host.machine.ip, zone, urgent, value, list }
    }
}

/// Beats as long as the process lives.
pub async fn keep_beating(feed: Rc<Feed>) {
    loop {
        let due = feed.decides.borrow().beat_due();
        match due.checked_sub(feed.host.now()).filter(|left| !left.is_zero()) {
            Some(left) => feed.host.sleep_us(left.as_micros() as u64 + 1).await,
            None => feed.beat(),
        }
    }
}

/// Follows the feed as a member of the tree.
pub async fn follow(feed: Rc<Feed>, urgent: bool) {
    follow_sources(feed, Sources::Tree { urgent }).await;
}

/// Follows the agent of the same machine.
pub async fn follow_one(feed: Rc<Feed>) {
    follow_sources(feed, Sources::One).await;
}

fn sources(feed: &Feed, one: bool) -> Vec<SocketAddrV4> {
    if one {
        return vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, PORT)];
    }
    let mut ips = feed.value().voters.clone();
    ips.extend(feed.host.world().iter().flat_map(|world| world.seeds.clone()));
    ips.sort();
    ips.dedup();
    ips.into_iter().map(|ip| SocketAddrV4::new(ip, PORT)).collect()
}

enum Brought {
    Answer(Answer),
    Push(Push),
    End,
}

async fn follow_sources(feed: Rc<Feed>, from: Sources) {
    let host = feed.host.clone();
    let one = from == Sources::One;
    let mut follower = Follower::new(host.machine.ip, from, host.draw());
    let (links, mut brought) = mpsc::unbounded_channel();
    let mut open: BTreeMap<LinkId, u64> = BTreeMap::new();
    let mut event = Event::Tick;
    loop {
        for command in follower.handle(host.now(), &sources(&feed, one), event) {
            match command {
                Command::Ask { link, parent, urgent } => {
                    let call = feed.ask(host.machine.zone.clone(), urgent);
                    let asked = ask(host.clone(), *parent.ip(), call, link, links.clone());
                    open.insert(link, host.spawn(asked));
                }
                Command::Close(link) => {
                    if let Some(task) = open.remove(&link) {
                        host.abort(task);
                    }
                }
            }
        }
        event = loop {
            // No timer is finer than this.
            let left = follower.wake_at().saturating_sub(host.now()).max(Duration::from_millis(1));
            match host.timeout_for(left, brought.recv()).await {
                None => break Event::Tick,
                Some(None) => return,
                Some(Some((link, _))) if !open.contains_key(&link) => {}
                Some(Some((link, Brought::Answer(answer)))) => break Event::Answered(link, answer),
                Some(Some((link, Brought::Push(push)))) => {
                    let age = match &push {
                        Push::Beat { age_ms, .. } => Some(Duration::from_millis((*age_ms).into())),
                        _ => None,
                    };
                    if !feed.take(push, true) {
                        break Event::OutOfStep(link);
                    }
                    if let Some(age) = age {
                        break Event::Beat(link, age);
                    }
                }
                Some(Some((link, Brought::End))) => {
                    open.remove(&link);
                    break Event::Closed(link);
                }
            }
        };
    }
}

async fn ask(
    host: Host,
    parent: Ipv4Addr,
    call: Call,
    link: LinkId,
    links: mpsc::UnboundedSender<(LinkId, Brought)>,
) {
    if let Some((answer, mut pushes)) = host.subscribe(parent, call, OPENING).await {
        let mut next = Some(Brought::Answer(answer));
        while let Some(brought) = next {
            if links.send((link, brought)).is_err() {
                return;
            }
            next = pushes.next().await.map(Brought::Push);
        }
    }
    let _ = links.send((link, Brought::End));
}

/// Takes lists and values from `holder` while `still` says so; what it tells of their age does not count here.
pub async fn follow_lists(host: &Host, feed: &Feed, holder: Ipv4Addr, still: impl Fn() -> bool) {
    let call = feed.ask(format!("core:{}", host.machine.zone), true);
    let Some((Answer::Done, mut pushes)) = host.subscribe(holder, call, OPENING).await else { return };
    while still() {
        match host.timeout_for(state_feed::MOST_AGE, Pushes::next(&mut pushes)).await {
            Some(Some(push)) => {
                if !feed.take(push, false) {
                    return;
                }
            }
            Some(None) | None => return,
        }
    }
}

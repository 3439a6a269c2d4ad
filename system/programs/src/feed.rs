//! The feed: the register's value and the list of endpoints, from the core down a tree of relays to every proxy. Whoever
//! is fed feeds others the same way. Values and lists only rise; every link tells by its beats how old at most what it
//! told is, so that who hangs on a frozen or cut-off parent notices and takes another.

use crate::start::{Process, drawn};
use fleet_model::{Answer, Ballot, Call, ChosenValue, ControlState, Endpoint, EndpointList, Push};
use peer_wire::{PeerClient, PreparedPush, Pusher};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Between two beats on a link.
pub const BEAT: Duration = Duration::from_millis(250);
/// Told things older than this make a follower look for another parent.
pub const MOST_AGE: Duration = Duration::from_millis(1_000);
/// Subscribers of one zone that one keeper feeds itself; later ones are sent to these.
const HEADS_PER_ZONE: usize = 2;
/// Subscribers that a relay takes.
const MOST_CHILDREN: usize = 24;

struct Subscriber {
    ip: Ipv4Addr,
    zone: String,
    pusher: Pusher,
    list: Cell<(u64, u64)>,
}

/// What a process knows through the feed, and passes on.
pub struct Feed {
    value: RefCell<Rc<ChosenValue>>,
    state: RefCell<Rc<ControlState>>,
    list: RefCell<Rc<EndpointList>>,
    former_list: RefCell<Rc<EndpointList>>,
    fresh_at: Cell<Option<Instant>>,
    proxies: Cell<u32>,
    subscribers: RefCell<Vec<Rc<Subscriber>>>,
    /// Counts changes of value and list.
    changed: watch::Sender<u64>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            value: RefCell::default(),
            state: RefCell::default(),
            list: RefCell::default(),
            former_list: RefCell::default(),
            fresh_at: Cell::new(None),
            proxies: Cell::new(0),
            subscribers: RefCell::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Feed {
    /// The newest value.
    pub fn value(&self) -> Rc<ChosenValue> {
        self.value.borrow().clone()
    }

    /// The newest value, read.
    pub fn state(&self) -> Rc<ControlState> {
        self.state.borrow().clone()
    }

    /// The newest list.
    pub fn list(&self) -> Rc<EndpointList> {
        self.list.borrow().clone()
    }

    /// Proxies in the fleet, as last told; 0 if nobody told.
    pub fn proxies(&self) -> u32 {
        self.proxies.get()
    }

    /// Tells how many proxies there are.
    pub fn set_proxies(&self, count: u32) {
        self.proxies.set(count);
    }

    /// Counts changes of value and list.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// A majority of the core had nothing newer at that time.
    pub fn confirm(&self, at: Instant) {
        self.fresh_at.set(self.fresh_at.get().max(Some(at)));
    }

    /// How old at most what is known here is.
    pub fn age(&self) -> Option<Duration> {
        self.fresh_at.get().map(|at| at.elapsed())
    }

    /// When what is known was last confirmed.
    pub fn fresh_at(&self) -> Option<Instant> {
        self.fresh_at.get()
    }

    /// Takes a newer value.
    pub fn learn_value(&self, value: ChosenValue) -> bool {
        if value.ballot <= self.value.borrow().ballot {
            return false;
        }
        let state = match value.payload.is_empty() {
            true => ControlState::default(),
            false => match postcard::from_bytes(&value.payload) {
                Ok(state) => state,
                Err(e) => {
                    log::error!("a value that cannot be read is passed over: {e}");
                    return false;
                }
            },
        };
        *self.state.borrow_mut() = Rc::new(state);
        *self.value.borrow_mut() = Rc::new(value.clone());
        self.push_all(&Push::Value(value));
        self.changed.send_modify(|count| *count += 1);
        true
    }

    /// Takes a newer list.
    pub fn learn_list(&self, list: EndpointList) -> bool {
        if list.stamp <= self.list.borrow().stamp {
            return false;
        }
        *self.former_list.borrow_mut() = self.list.replace(Rc::new(list));
        self.each(|subscriber| self.push_list(subscriber));
        self.changed.send_modify(|count| *count += 1);
        true
    }

    /// Takes changes on top of a list; false if it is another one that is known here.
    fn learn_change(&self, base: (u64, u64), stamp: (u64, u64), put: Vec<Endpoint>, gone: &[String]) -> bool {
        let old = self.list();
        if old.stamp != base {
            return old.stamp >= stamp;
        }
        let mut endpoints: BTreeMap<String, Endpoint> =
            old.endpoints.iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone())).collect();
        for instance in gone {
            endpoints.remove(instance);
        }
        endpoints.extend(put.into_iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint)));
        self.learn_list(EndpointList { stamp, endpoints: endpoints.into_values().collect() })
    }

    fn push_list(&self, subscriber: &Subscriber) -> bool {
        let (list, former) = (self.list(), self.former_list.borrow().clone());
        let push = match subscriber.list.get() == former.stamp && former.stamp != (0, 0) {
            true => {
                let known = |endpoint: &Endpoint| former.endpoints.contains(endpoint);
                let here = |endpoint: &Endpoint| {
                    list.endpoints.iter().any(|other| other.instance_id == endpoint.instance_id)
                };
                Push::ListChange {
                    base: former.stamp,
                    stamp: list.stamp,
                    put: list.endpoints.iter().filter(|endpoint| !known(endpoint)).cloned().collect(),
                    gone: former
                        .endpoints
                        .iter()
                        .filter(|endpoint| !here(endpoint))
                        .map(|endpoint| endpoint.instance_id.clone())
                        .collect(),
                }
            }
            false => Push::List((*list).clone()),
        };
        subscriber.list.set(list.stamp);
        subscriber.pusher.try_push(&push)
    }

    /// Does something for each subscriber, and parts with those for whom it says false.
    fn each(&self, mut push: impl FnMut(&Subscriber) -> bool) {
        let subscribers = self.subscribers.take();
        let left = subscribers.into_iter().filter(|subscriber| push(subscriber)).collect();
        self.subscribers.replace(left);
    }

    /// A beat to every subscriber.
    pub fn beat(&self) {
        if let Some(beat) = self.beat_now() {
            self.push_all(&beat);
        }
    }

    fn push_all(&self, push: &Push) {
        match PreparedPush::new(push) {
            Ok(push) => self.each(|subscriber| subscriber.pusher.try_send(&push)),
            Err(e) => log::error!("not spread: {e}"),
        }
    }

    fn beat_now(&self) -> Option<Push> {
        let age = self.age()?;
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Some(Push::Beat { age_ms, proxies: self.proxies.get() })
    }

    /// Takes a subscriber on, or names others to ask. `relay`: this is no keeper.
    pub fn subscribe(&self, call: &Call, peer_port: u16, relay: bool, pusher: Pusher) -> Answer {
        let Call::Subscribe { ip, zone, urgent, value, list } = call else { return Answer::Unready };
        if self.value.borrow().ballot == Ballot::default() || (relay && self.age().is_none_or(|age| age > MOST_AGE)) {
            return Answer::Unready;
        }
        self.each(|subscriber| subscriber.ip != *ip && !subscriber.pusher.is_closed());
        let same_zone: Vec<SocketAddrV4> = self
            .subscribers
            .borrow()
            .iter()
            .filter(|subscriber| subscriber.zone == *zone)
            .map(|subscriber| SocketAddrV4::new(subscriber.ip, peer_port))
            .collect();
        let full = match relay {
            true => self.subscribers.borrow().len() >= MOST_CHILDREN,
            false => same_zone.len() >= HEADS_PER_ZONE,
        };
        if full && !urgent {
            return Answer::Redirect(if relay { Vec::new() } else { same_zone });
        }
        let subscriber =
            Rc::new(Subscriber { ip: *ip, zone: zone.clone(), pusher, list: Cell::new(*list) });
        let known = self.value();
        if known.ballot > *value {
            subscriber.pusher.try_push(&Push::Value((*known).clone()));
        }
        if self.list.borrow().stamp > *list {
            self.push_list(&subscriber);
        }
        if let Some(beat) = self.beat_now() {
            subscriber.pusher.try_push(&beat);
        }
        self.subscribers.borrow_mut().push(subscriber);
        Answer::Done
    }

    /// Carries out a push; false if the link's list is not the one known here.
    pub fn take(&self, push: Push, confirms: bool) -> bool {
        match push {
            Push::Beat { age_ms, proxies } => {
                if confirms && let Some(at) = Instant::now().checked_sub(Duration::from_millis(age_ms.into())) {
                    self.confirm(at);
                }
                if proxies > 0 {
                    self.proxies.set(proxies);
                }
                true
            }
            Push::Value(value) => {
                self.learn_value(value);
                true
            }
            Push::List(list) => {
                self.learn_list(list);
                true
            }
            Push::ListChange { base, stamp, put, gone } => self.learn_change(base, stamp, put, &gone),
        }
    }

    /// Addresses of subscribers, for staff.
    pub fn fed(&self) -> Vec<Ipv4Addr> {
        self.subscribers.borrow().iter().map(|subscriber| subscriber.ip).collect()
    }
}

/// Beats as long as the process lives.
pub async fn keep_beating(feed: Rc<Feed>) {
    loop {
        sleep(BEAT).await;
        feed.beat();
    }
}

/// Follows the feed as a member of the tree, for good: a parent whose beats grow old is left for another. `urgent`: the
/// keepers are to feed this process themselves.
pub async fn follow(process: Rc<Process>, feed: Rc<Feed>, urgent: bool) {
    let mut pressing = urgent;
    let mut pause = Duration::from_millis(20);
    let mut others: Vec<SocketAddrV4> = Vec::new();
    loop {
        let parents = match others.is_empty() {
            true => keepers(&process, &feed),
            false => std::mem::take(&mut others),
        };
        let before = feed.fresh_at();
        for parent in parents {
            match hang_on(&process, &feed, parent, pressing).await {
                Hung::Redirected(to) => {
                    others = to;
                    // Where a relay cannot take this process on either, a keeper has to.
                    pressing = true;
                    break;
                }
                Hung::Left => {
                    // It was fed for a while: again from the start, by the tree first.
                    pressing = urgent;
                    break;
                }
                Hung::Nothing => pressing = true,
            }
        }
        if feed.fresh_at() > before {
            pause = Duration::from_millis(20);
        } else if others.is_empty() {
            sleep(pause + Duration::from_millis(drawn() % 40)).await;
            pause = (pause * 2).min(Duration::from_millis(400));
        }
    }
}

enum Hung {
    /// The asked one named others.
    Redirected(Vec<SocketAddrV4>),
    /// It fed this process, until the link broke or what it told grew old.
    Left,
    /// It did not answer, or not well.
    Nothing,
}

/// The keepers that are known, in an order drawn by chance.
fn keepers(process: &Process, feed: &Feed) -> Vec<SocketAddrV4> {
    let mut ips = feed.value().voters.clone();
    ips.extend(process.seeds());
    ips.sort();
    ips.dedup();
    let draw = drawn();
    ips.sort_by_key(|ip| fleet_model::rank(&ip.octets(), draw));
    ips.into_iter().map(|ip| process.peer(ip)).collect()
}

async fn hang_on(process: &Process, feed: &Feed, parent: SocketAddrV4, urgent: bool) -> Hung {
    let settings = process.settings();
    if *parent.ip() == settings.ip_address && settings.listen_addresses.control_plane.is_none() {
        return Hung::Nothing;
    }
    let client = PeerClient::new(parent, process.fleet(), None);
    let call = Call::Subscribe {
        ip: settings.ip_address,
        zone: settings.zone.clone(),
        urgent,
        value: feed.value().ballot,
        list: feed.list().stamp,
    };
    let mut pushes = match client.subscribe(call, Duration::from_millis(300)).await {
        Ok((Answer::Done, pushes)) => pushes,
        Ok((Answer::Redirect(to), _)) if !to.is_empty() => return Hung::Redirected(to),
        _ => return Hung::Nothing,
    };
    let began = Instant::now();
    log::info!("fed by {parent}");
    // A new parent has as long for its first beat as an old one may be silent; after that only what is fresh counts.
    let mut newest = began;
    loop {
        let patience = MOST_AGE.saturating_sub(newest.elapsed());
        match timeout(patience, pushes.next()).await {
            Ok(Some(push)) => {
                if let Push::Beat { age_ms, .. } = push {
                    newest = Instant::now().checked_sub(Duration::from_millis(age_ms.into())).unwrap_or(began);
                }
                if !feed.take(push, true) {
                    return Hung::Left;
                }
            }
            Ok(None) => break,
            Err(_) => {
                log::info!("{parent} has told nothing fresh for {} ms", MOST_AGE.as_millis());
                break;
            }
        }
    }
    match feed.fresh_at().is_some_and(|at| at > began) {
        true => Hung::Left,
        false => Hung::Nothing,
    }
}

/// Follows one parent for good: a proxy its agent.
pub async fn follow_one(process: Rc<Process>, feed: Rc<Feed>, parent: SocketAddrV4) {
    let mut pause = Duration::from_millis(10);
    loop {
        match hang_on(&process, &feed, parent, true).await {
            Hung::Left => pause = Duration::from_millis(10),
            _ => pause = (pause * 2).min(Duration::from_millis(200)),
        }
        sleep(pause).await;
    }
}

/// What is known here, for staff.
pub fn view(feed: &Feed, topic: &str) -> String {
    let state = feed.state();
    let age_ms = feed.age().map(|age| age.as_millis());
    match topic {
        "config" => serde_json::json!({
            "age_ms": age_ms,
            "version": state.version(),
            "taken": state.taken.iter().map(|taken| taken.version).collect::<Vec<_>>(),
            "config": String::from_utf8_lossy(&state.config),
        }),
        "endpoints" => serde_json::json!({ "age_ms": age_ms, "list": *feed.list() }),
        "roster" => serde_json::json!({ "age_ms": age_ms, "roster": state.roster, "fences": state.fences }),
        _ => serde_json::json!({
            "age_ms": age_ms,
            "version": state.version(),
            "ballot": feed.value().ballot,
            "voters": feed.value().voters,
            "endpoints": feed.list().endpoints.len(),
            "fed": feed.fed(),
        }),
    }
    .to_string()
}

/// Takes lists and values from `holder` while `still` says so; what it tells of their age does not count here.
pub async fn follow_lists(process: &Process, feed: &Feed, holder: Ipv4Addr, still: impl Fn() -> bool) {
    let client = PeerClient::new(process.peer(holder), process.fleet(), None);
    let settings = process.settings();
    let call = Call::Subscribe {
        ip: settings.ip_address,
        zone: format!("core:{}", settings.zone),
        urgent: true,
        value: feed.value().ballot,
        list: feed.list().stamp,
    };
    let Ok((Answer::Done, mut pushes)) = client.subscribe(call, Duration::from_millis(300)).await else { return };
    while still() {
        match timeout(MOST_AGE, pushes.next()).await {
            Ok(Some(push)) => {
                if !feed.take(push, false) {
                    return;
                }
            }
            Ok(None) | Err(_) => return,
        }
    }
}

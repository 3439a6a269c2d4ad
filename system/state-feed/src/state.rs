//! What a process knows, whom it feeds, and what is pushed to whom.

use crate::{
    HEARTBEAT_INTERVAL, MAX_HEADS_PER_ZONE, MAX_RELAY_SUBSCRIBERS, MAX_STATE_AGE, MIN_HEARTBEAT_GAP,
    RELAY_HEARTBEAT_INTERVAL,
};
use fleet_model::{
    Answer, Ballot, Call, ChosenValue, ControlState, Endpoint, EndpointList, ListVersion, PayloadError, Push,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Names a subscriber's link; the caller gives each link another number.
pub type SubscriberId = u64;

/// What the asked process is in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It knows by itself what is chosen.
    ControlNode,
    /// It knows only what it is told.
    Relay,
}

/// One push for some subscribers.
#[derive(Clone, Debug, PartialEq)]
pub struct Broadcast {
    /// What is pushed.
    pub push: Push,
    /// To whom.
    pub to: Vec<SubscriberId>,
}

/// What a call to subscribe comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Subscription {
    /// The answer; only with `Done` the link is fed.
    pub answer: Answer,
    /// What goes out on the link first. Where it cannot, the link has to be removed and the answer is `Unready`.
    pub pushes: Vec<Push>,
}

/// What came of something that was told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedUpdate {
    /// Value or list is newer than before.
    pub changed: bool,
    /// The change was on top of a list that is not the one known here: the link is to be left.
    pub out_of_step: bool,
    /// What is to be passed on.
    pub spreads: Vec<Broadcast>,
}

/// A value that cannot be read is passed over.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the value of ballot {ballot:?} cannot be read: {why}")]
pub struct UnreadableValue {
    /// Its ballot.
    pub ballot: Ballot,
    /// What is wrong with it.
    pub why: String,
}

#[derive(Clone, Debug)]
struct Subscriber {
    ip: Ipv4Addr,
    zone: String,
    /// It was taken on without asking urgently, so others of its zone may be sent to it.
    is_zone_relay: bool,
    /// The version of the newest list that it was sent.
    list: ListVersion,
}

/// What a process knows through the feed, and passes on.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    value: Rc<ChosenValue>,
    state: Rc<ControlState>,
    list: Rc<EndpointList>,
    /// The one before the newest.
    previous_list: Rc<EndpointList>,
    confirmed_at: Option<Duration>,
    proxies: u32,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
    last_heartbeat: Option<Duration>,
    /// Heartbeats come from an upstream.
    has_upstream: bool,
}

impl FeedState {
    /// The newest value.
    pub fn value(&self) -> &Rc<ChosenValue> {
        &self.value
    }

    /// The newest value, read.
    pub fn state(&self) -> &Rc<ControlState> {
        &self.state
    }

    /// The newest list.
    pub fn list(&self) -> &Rc<EndpointList> {
        &self.list
    }

    /// Proxies in the fleet, as last told; 0 if nobody told.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Tells how many proxies there are.
    pub fn set_proxies(&mut self, count: u32) {
        self.proxies = count;
    }

    /// When what is known was last confirmed.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// How old at most what is known is.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// A majority of the core had nothing newer at that time. True if none later was known.
    pub fn confirm(&mut self, at: Duration) -> bool {
        let later = self.confirmed_at.is_none_or(|confirmed| at > confirmed);
        if later {
            self.confirmed_at = Some(at);
        }
        later
    }

    /// Takes a newer value.
    pub fn learn_value(&mut self, value: ChosenValue) -> Result<FeedUpdate, UnreadableValue> {
        if value.ballot <= self.value.ballot {
            return Ok(FeedUpdate::default());
        }
        let unreadable = |e: PayloadError| UnreadableValue { ballot: value.ballot, why: e.to_string() };
        let mut state = ControlState::from_payload(&value.payload).map_err(unreadable)?;
        let same_config =
            state.committed.last().is_some_and(|taken| self.state.committed.last() == Some(taken));
        let (whole, slim) = match state.config.is_empty() && !state.committed.is_empty() {
            // It came without the configuration, which has to be the one known here.
            true if !same_config => return Ok(FeedUpdate { out_of_step: true, ..FeedUpdate::default() }),
            true => {
                state.config = self.state.config.clone();
                let payload = state.to_payload().map_err(unreadable)?;
                (ChosenValue { payload, ..value.clone() }, value)
            }
            // Whoever was fed the value before this one has its configuration.
            false if same_config => {
                let config = std::mem::take(&mut state.config);
                let payload = state.to_payload().map_err(unreadable)?;
                state.config = config;
                (value.clone(), ChosenValue { payload, ..value })
            }
            false => (value.clone(), value),
        };
        self.state = Rc::new(state);
        self.value = Rc::new(whole);
        Ok(FeedUpdate { changed: true, spreads: self.to_all(Push::Value(slim)), ..FeedUpdate::default() })
    }

    /// Takes a newer list.
    pub fn learn_list(&mut self, list: EndpointList) -> FeedUpdate {
        if list.version <= self.list.version {
            return FeedUpdate::default();
        }
        self.previous_list = std::mem::replace(&mut self.list, Rc::new(list));
        let (mut change, mut whole) = (Vec::new(), Vec::new());
        for (id, subscriber) in &mut self.subscribers {
            if subscriber.list < self.list.version {
                match subscriber.list == self.previous_list.version
                    && subscriber.list != ListVersion::default()
                {
                    true => change.push(*id),
                    false => whole.push(*id),
                }
                subscriber.list = self.list.version;
            }
        }
        let mut spreads = Vec::new();
        if !change.is_empty() {
            spreads.push(Broadcast { push: self.list_change(), to: change });
        }
        if !whole.is_empty() {
            spreads.push(Broadcast { push: Push::List((*self.list).clone()), to: whole });
        }
        FeedUpdate { changed: true, spreads, ..FeedUpdate::default() }
    }

    /// The newest list on top of the one before it.
    fn list_change(&self) -> Push {
        let by_instance = |list: &EndpointList| -> BTreeMap<String, Endpoint> {
            list.endpoints.iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone())).collect()
        };
        let (mut put, former) = (by_instance(&self.list), by_instance(&self.previous_list));
        let gone = former.keys().filter(|instance| !put.contains_key(*instance)).cloned().collect();
        put.retain(|instance, endpoint| former.get(instance) != Some(endpoint));
        let (base, version) = (self.previous_list.version, self.list.version);
        Push::ListDelta { base, version, upserted: put.into_values().collect(), removed: gone }
    }

    /// Takes changes on top of a list.
    fn learn_change(
        &mut self,
        base: ListVersion,
        version: ListVersion,
        put: Vec<Endpoint>,
        gone: &[String],
    ) -> FeedUpdate {
        if self.list.version >= version {
            return FeedUpdate::default();
        }
        if self.list.version != base {
            return FeedUpdate { out_of_step: true, ..FeedUpdate::default() };
        }
        let mut endpoints: BTreeMap<String, Endpoint> = self
            .list
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone()))
            .collect();
        for instance in gone {
            endpoints.remove(instance);
        }
        endpoints.extend(put.into_iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint)));
        self.learn_list(EndpointList { version, endpoints: endpoints.into_values().collect() })
    }

    /// Takes what an upstream pushes. `confirms`: its heartbeats count.
    pub fn apply_push(
        &mut self,
        now: Duration,
        push: Push,
        confirms: bool,
    ) -> Result<FeedUpdate, UnreadableValue> {
        match push {
            Push::Heartbeat { age_ms, proxies } => {
                if proxies > 0 {
                    self.proxies = proxies;
                }
                let at = now.checked_sub(Duration::from_millis(age_ms.into()));
                let later = confirms && at.is_some_and(|at| self.confirm(at));
                self.has_upstream |= confirms;
                let due =
                    self.last_heartbeat.is_none_or(|last| now.saturating_sub(last) >= MIN_HEARTBEAT_GAP);
                let spreads = if later && due { self.heartbeat(now) } else { Vec::new() };
                Ok(FeedUpdate { spreads, ..FeedUpdate::default() })
            }
            Push::Value(value) => self.learn_value(value),
            Push::List(list) => Ok(self.learn_list(list)),
            Push::ListDelta { base, version, upserted, removed } => {
                Ok(self.learn_change(base, version, upserted, &removed))
            }
        }
    }

    /// When a heartbeat is due next, if none goes out before.
    pub fn heartbeat_due(&self) -> Duration {
        self.last_heartbeat.map_or(Duration::ZERO, |last| {
            last + if self.has_upstream { RELAY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL }
        })
    }

    /// A heartbeat to every subscriber.
    pub fn heartbeat(&mut self, now: Duration) -> Vec<Broadcast> {
        self.last_heartbeat = Some(now);
        match self.heartbeat_now(now) {
            Some(heartbeat) => self.to_all(heartbeat),
            None => Vec::new(),
        }
    }

    fn heartbeat_now(&self, now: Duration) -> Option<Push> {
        let age_ms = u32::try_from(self.age(now)?.as_millis()).unwrap_or(u32::MAX);
        Some(Push::Heartbeat { age_ms, proxies: self.proxies })
    }

    fn to_all(&self, push: Push) -> Vec<Broadcast> {
        let to: Vec<SubscriberId> = self.subscribers.keys().copied().collect();
        if to.is_empty() { Vec::new() } else { vec![Broadcast { push, to }] }
    }

    /// Answers a call to subscribe, and takes the link on if the answer is `Done`. Links that are gone have to be removed
    /// before.
    ///
    /// Another link of the same machine stays: which of them lives, the machine knows better.
    pub fn subscribe(
        &mut self,
        now: Duration,
        role: Role,
        peer_port: u16,
        call: &Call,
        link: SubscriberId,
    ) -> Subscription {
        let refused = |answer| Subscription { answer, pushes: Vec::new() };
        let Call::Subscribe { ip, zone, urgent, value, list } = call else {
            return refused(Answer::NotReady);
        };
        let is_stale = self.age(now).is_none_or(|age| age > MAX_STATE_AGE);
        // A stale control node may be the only one left: who asks urgently is fed by it until there is another.
        if self.value.ballot == Ballot::default() || (is_stale && (role == Role::Relay || !urgent)) {
            return refused(Answer::NotReady);
        }
        if !urgent && let Some(others) = self.redirects(role, peer_port, *ip, zone) {
            return refused(Answer::Redirect(others));
        }
        let pushes = self.first_pushes(now, *value, *list);
        let list = self.list.version.max(*list);
        self.subscribers
            .insert(link, Subscriber { ip: *ip, zone: zone.clone(), is_zone_relay: !urgent, list });
        Subscription { answer: Answer::Done, pushes }
    }

    /// Whom to ask instead of this process, if it feeds enough already; nobody is named by a relay.
    fn redirects(&self, role: Role, peer_port: u16, ip: Ipv4Addr, zone: &str) -> Option<Vec<SocketAddrV4>> {
        match role {
            Role::ControlNode => {
                let relays = self.zone_relays(ip, zone);
                let addresses = || relays.iter().map(|relay| SocketAddrV4::new(*relay, peer_port)).collect();
                (relays.len() >= MAX_HEADS_PER_ZONE).then(addresses)
            }
            Role::Relay => {
                let machines: BTreeSet<Ipv4Addr> =
                    self.subscribers.values().map(|subscriber| subscriber.ip).collect();
                // A machine that is fed already, on a link that it may have given up, adds nothing.
                (machines.len() >= MAX_RELAY_SUBSCRIBERS && !machines.contains(&ip)).then(Vec::new)
            }
        }
    }

    /// Machines of a zone, other than the asking one, that others may be sent to.
    fn zone_relays(&self, asker: Ipv4Addr, zone: &str) -> BTreeSet<Ipv4Addr> {
        let subscribers = self.subscribers.values();
        subscribers
            .filter(|subscriber| {
                subscriber.ip != asker && subscriber.is_zone_relay && subscriber.zone == zone
            })
            .map(|subscriber| subscriber.ip)
            .collect()
    }

    /// What a subscriber lacks that knows this value and this list, and a heartbeat.
    fn first_pushes(&self, now: Duration, value: Ballot, list: ListVersion) -> Vec<Push> {
        let mut pushes = Vec::new();
        if self.value.ballot > value {
            pushes.push(Push::Value((*self.value).clone()));
        }
        if self.list.version > list {
            pushes.push(match list == self.previous_list.version && list != ListVersion::default() {
                true => self.list_change(),
                false => Push::List((*self.list).clone()),
            });
        }
        pushes.extend(self.heartbeat_now(now));
        pushes
    }

    /// A link is gone.
    pub fn remove(&mut self, link: SubscriberId) {
        self.subscribers.remove(&link);
    }

    /// Addresses of subscribers.
    pub fn subscriber_addresses(&self) -> Vec<Ipv4Addr> {
        self.subscribers.values().map(|subscriber| subscriber.ip).collect()
    }
}

//! State of a process that takes part in the feed: what it knows, its subscribers, and the pushes to them.

use crate::{
    HEARTBEAT_INTERVAL, MAX_RELAY_SUBSCRIBERS, MAX_RELAYS_PER_ZONE, MAX_STATE_AGE, MIN_HEARTBEAT_GAP,
    RELAY_HEARTBEAT_INTERVAL,
};
use fleet_model::{
    Answer, Ballot, Call, ChosenValue, ControlState, Endpoint, EndpointList, ListVersion, PayloadError, Push,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Number of a subscriber's link; the caller assigns a unique one to each link.
pub type SubscriberId = u64;

/// Role of a process in the dissemination tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It learns chosen values from the register itself.
    ControlNode,
    /// It knows only what its upstream pushes.
    Relay,
}

/// One push to several subscribers.
#[derive(Clone, Debug, PartialEq)]
pub struct Broadcast {
    /// The push.
    pub push: Push,
    /// The subscribers that receive it.
    pub to: Vec<SubscriberId>,
}

/// Result of a subscription call.
#[derive(Clone, Debug, PartialEq)]
pub struct Subscription {
    /// The answer; only with [`Answer::Done`] the link is subscribed.
    pub answer: Answer,
    /// The first pushes on the link. If they cannot be sent, the caller has to remove the link and answer
    /// [`Answer::NotReady`].
    pub pushes: Vec<Push>,
}

/// Effect of an update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedUpdate {
    /// Whether the value or the list is newer than before.
    pub changed: bool,
    /// Whether the update was relative to a list or configuration that is not known here, so that the link has to be closed.
    pub out_of_sync: bool,
    /// Pushes to forward to subscribers.
    pub broadcasts: Vec<Broadcast>,
}

/// A value was ignored because it cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode the value with ballot {ballot:?}: {error}")]
pub struct UnreadableValue {
    /// Ballot of the value.
    pub ballot: Ballot,
    /// Why it cannot be decoded.
    #[source]
    pub error: PayloadError,
}

#[derive(Clone, Debug)]
struct Subscriber {
    ip: Ipv4Addr,
    zone: String,
    /// Whether it subscribed without urgency, so that other subscribers of its zone may be redirected to it.
    is_zone_relay: bool,
    /// Version of the newest list that was sent to it.
    list: ListVersion,
}

/// What a process knows through the feed, and its subscribers.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    value: Rc<ChosenValue>,
    state: Rc<ControlState>,
    list: Rc<EndpointList>,
    /// The list before the newest one.
    previous_list: Rc<EndpointList>,
    confirmed_at: Option<Duration>,
    proxies: u32,
    subscribers: BTreeMap<SubscriberId, Subscriber>,
    last_heartbeat: Option<Duration>,
    /// Whether heartbeats arrive from an upstream.
    has_upstream: bool,
}

impl FeedState {
    /// The newest value.
    pub fn value(&self) -> &Rc<ChosenValue> {
        &self.value
    }

    /// The control state decoded from the newest value.
    pub fn state(&self) -> &Rc<ControlState> {
        &self.state
    }

    /// The newest endpoint list.
    pub fn list(&self) -> &Rc<EndpointList> {
        &self.list
    }

    /// Number of proxies in the fleet as last reported; 0 if unknown.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Sets the number of proxies in the fleet.
    pub fn set_proxies(&mut self, count: u32) {
        self.proxies = count;
    }

    /// When the state was last confirmed to be current, if ever.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Upper bound on the age of the state; `None` before the first confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Records that a majority of the voters had nothing newer at `at`. Returns whether that is later than any confirmation
    /// before.
    pub fn confirm(&mut self, at: Duration) -> bool {
        let is_newer = self.confirmed_at.is_none_or(|confirmed| at > confirmed);
        if is_newer {
            self.confirmed_at = Some(at);
        }
        is_newer
    }

    /// Applies a value if it is newer.
    ///
    /// # Errors
    ///
    /// [`UnreadableValue`] if its payload cannot be decoded; the state is unchanged then.
    pub fn update_value(&mut self, value: ChosenValue) -> Result<FeedUpdate, UnreadableValue> {
        if value.ballot <= self.value.ballot {
            return Ok(FeedUpdate::default());
        }
        let ballot = value.ballot;
        let unreadable = |error: PayloadError| UnreadableValue { ballot, error };
        let mut state = ControlState::from_payload(&value.payload).map_err(unreadable)?;
        let has_same_config =
            state.committed.last().is_some_and(|current| self.state.committed.last() == Some(current));
        let (complete, without_config) = match state.config.is_empty() && !state.committed.is_empty() {
            // The value omits the configuration, which has to be the one known here.
            true if !has_same_config => return Ok(FeedUpdate { out_of_sync: true, ..FeedUpdate::default() }),
            true => {
                state.config = self.state.config.clone();
                let payload = state.to_payload().map_err(unreadable)?;
                (ChosenValue { payload, ..value.clone() }, value)
            }
            // All subscribers received the value before this one, which has the same configuration.
            false if has_same_config => {
                let config = std::mem::take(&mut state.config);
                let payload = state.to_payload().map_err(unreadable)?;
                state.config = config;
                (value.clone(), ChosenValue { payload, ..value })
            }
            false => (value.clone(), value),
        };
        self.state = Rc::new(state);
        self.value = Rc::new(complete);
        Ok(FeedUpdate {
            changed: true,
            broadcasts: self.broadcast(Push::Value(without_config)),
            ..FeedUpdate::default()
        })
    }

    /// Applies an endpoint list if it is newer.
    pub fn update_list(&mut self, list: EndpointList) -> FeedUpdate {
        if list.version <= self.list.version {
            return FeedUpdate::default();
        }
        self.previous_list = std::mem::replace(&mut self.list, Rc::new(list));
        let (mut with_previous, mut without_previous) = (Vec::new(), Vec::new());
        for (id, subscriber) in &mut self.subscribers {
            if subscriber.list < self.list.version {
                match subscriber.list == self.previous_list.version
                    && subscriber.list != ListVersion::default()
                {
                    true => with_previous.push(*id),
                    false => without_previous.push(*id),
                }
                subscriber.list = self.list.version;
            }
        }
        let mut broadcasts = Vec::new();
        if !with_previous.is_empty() {
            broadcasts.push(Broadcast { push: self.list_delta(), to: with_previous });
        }
        if !without_previous.is_empty() {
            broadcasts.push(Broadcast { push: Push::List((*self.list).clone()), to: without_previous });
        }
        FeedUpdate { changed: true, broadcasts, ..FeedUpdate::default() }
    }

    /// The changes from the previous to the newest list.
    fn list_delta(&self) -> Push {
        let by_instance = |list: &EndpointList| -> BTreeMap<String, Endpoint> {
            list.endpoints.iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone())).collect()
        };
        let (mut upserted, former) = (by_instance(&self.list), by_instance(&self.previous_list));
        let removed = former.keys().filter(|instance| !upserted.contains_key(*instance)).cloned().collect();
        upserted.retain(|instance, endpoint| former.get(instance) != Some(endpoint));
        let (base, version) = (self.previous_list.version, self.list.version);
        Push::ListDelta { base, version, upserted: upserted.into_values().collect(), removed }
    }

    /// Applies changes relative to the list of version `base`.
    fn apply_delta(
        &mut self,
        base: ListVersion,
        version: ListVersion,
        upserted: Vec<Endpoint>,
        removed: &[String],
    ) -> FeedUpdate {
        if self.list.version >= version {
            return FeedUpdate::default();
        }
        if self.list.version != base {
            return FeedUpdate { out_of_sync: true, ..FeedUpdate::default() };
        }
        let mut endpoints: BTreeMap<String, Endpoint> = self
            .list
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone()))
            .collect();
        for instance in removed {
            endpoints.remove(instance);
        }
        endpoints.extend(upserted.into_iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint)));
        self.update_list(EndpointList { version, endpoints: endpoints.into_values().collect() })
    }

    /// Applies a push of an upstream; `confirms` tells whether its heartbeats confirm the state.
    ///
    /// # Errors
    ///
    /// [`UnreadableValue`] if a value cannot be decoded; the state is unchanged then.
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
                let is_newer = confirms && at.is_some_and(|at| self.confirm(at));
                self.has_upstream |= confirms;
                let is_due =
                    self.last_heartbeat.is_none_or(|last| now.saturating_sub(last) >= MIN_HEARTBEAT_GAP);
                let broadcasts = if is_newer && is_due { self.heartbeat(now) } else { Vec::new() };
                Ok(FeedUpdate { broadcasts, ..FeedUpdate::default() })
            }
            Push::Value(value) => self.update_value(value),
            Push::List(list) => Ok(self.update_list(list)),
            Push::ListDelta { base, version, upserted, removed } => {
                Ok(self.apply_delta(base, version, upserted, &removed))
            }
        }
    }

    /// When the next heartbeat is due if none is sent before.
    pub fn heartbeat_due(&self) -> Duration {
        self.last_heartbeat.map_or(Duration::ZERO, |last| {
            last + if self.has_upstream { RELAY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL }
        })
    }

    /// Heartbeats to all subscribers; none before the first confirmation.
    pub fn heartbeat(&mut self, now: Duration) -> Vec<Broadcast> {
        self.last_heartbeat = Some(now);
        match self.current_heartbeat(now) {
            Some(heartbeat) => self.broadcast(heartbeat),
            None => Vec::new(),
        }
    }

    fn current_heartbeat(&self, now: Duration) -> Option<Push> {
        let age_ms = u32::try_from(self.age(now)?.as_millis()).unwrap_or(u32::MAX);
        Some(Push::Heartbeat { age_ms, proxies: self.proxies })
    }

    fn broadcast(&self, push: Push) -> Vec<Broadcast> {
        let to: Vec<SubscriberId> = self.subscribers.keys().copied().collect();
        if to.is_empty() { Vec::new() } else { vec![Broadcast { push, to }] }
    }

    /// Answers a subscription call, and registers the link if the answer is [`Answer::Done`]. Closed links have to be removed
    /// before.
    ///
    /// Other links of the same machine remain registered, since only the machine knows which of them it uses.
    pub fn subscribe(
        &mut self,
        now: Duration,
        role: Role,
        peer_port: u16,
        call: &Call,
        link: SubscriberId,
    ) -> Subscription {
        let rejected = |answer| Subscription { answer, pushes: Vec::new() };
        let Call::Subscribe { ip, zone, urgent, value, list } = call else {
            return rejected(Answer::NotReady);
        };
        let is_stale = self.age(now).is_none_or(|age| age > MAX_STATE_AGE);
        // A stale control node may be the only one left: it serves urgent subscribers until there is another one.
        if self.value.ballot == Ballot::default() || (is_stale && (role == Role::Relay || !urgent)) {
            return rejected(Answer::NotReady);
        }
        if !urgent && let Some(addresses) = self.redirect_addresses(role, peer_port, *ip, zone) {
            return rejected(Answer::Redirect(addresses));
        }
        let pushes = self.initial_pushes(now, *value, *list);
        let list = self.list.version.max(*list);
        self.subscribers
            .insert(link, Subscriber { ip: *ip, zone: zone.clone(), is_zone_relay: !urgent, list });
        Subscription { answer: Answer::Done, pushes }
    }

    /// Where to redirect a subscriber if this process serves its maximum; a relay names no addresses.
    fn redirect_addresses(
        &self,
        role: Role,
        peer_port: u16,
        ip: Ipv4Addr,
        zone: &str,
    ) -> Option<Vec<SocketAddrV4>> {
        match role {
            Role::ControlNode => {
                let relays = self.zone_relays(ip, zone);
                let addresses = || relays.iter().map(|relay| SocketAddrV4::new(*relay, peer_port)).collect();
                (relays.len() >= MAX_RELAYS_PER_ZONE).then(addresses)
            }
            Role::Relay => {
                let machines: BTreeSet<Ipv4Addr> =
                    self.subscribers.values().map(|subscriber| subscriber.ip).collect();
                // A machine that is subscribed already, perhaps on a link that it has abandoned, adds no load.
                (machines.len() >= MAX_RELAY_SUBSCRIBERS && !machines.contains(&ip)).then(Vec::new)
            }
        }
    }

    /// Relays of a zone, other than the subscriber itself, to which subscribers may be redirected.
    fn zone_relays(&self, subscriber_ip: Ipv4Addr, zone: &str) -> BTreeSet<Ipv4Addr> {
        let subscribers = self.subscribers.values();
        subscribers
            .filter(|subscriber| {
                subscriber.ip != subscriber_ip && subscriber.is_zone_relay && subscriber.zone == zone
            })
            .map(|subscriber| subscriber.ip)
            .collect()
    }

    /// What a subscriber with this value and this list lacks, and a heartbeat.
    fn initial_pushes(&self, now: Duration, value: Ballot, list: ListVersion) -> Vec<Push> {
        let mut pushes = Vec::new();
        if self.value.ballot > value {
            pushes.push(Push::Value((*self.value).clone()));
        }
        if self.list.version > list {
            pushes.push(match list == self.previous_list.version && list != ListVersion::default() {
                true => self.list_delta(),
                false => Push::List((*self.list).clone()),
            });
        }
        pushes.extend(self.current_heartbeat(now));
        pushes
    }

    /// Removes a closed link.
    pub fn remove(&mut self, link: SubscriberId) {
        self.subscribers.remove(&link);
    }

    /// Addresses of the subscribers, one per link.
    pub fn subscriber_addresses(&self) -> Vec<Ipv4Addr> {
        self.subscribers.values().map(|subscriber| subscriber.ip).collect()
    }
}

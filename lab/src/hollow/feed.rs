//! What a process knows through the feed and whom it feeds: the rules of the programs' feed, without sockets.

use bytes::Bytes;
use fleet_model::{Answer, Ballot, Call, ChosenValue, ControlState, Endpoint, EndpointList, Frame, Push};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

/// Between two beats, in microseconds.
pub(crate) const BEAT: u64 = 250_000;
/// Told things older than this make a follower look for another parent.
pub(crate) const MOST_AGE: u64 = 1_000_000;
/// Subscribers of one zone that one keeper feeds itself.
const HEADS_PER_ZONE: usize = 2;
/// Subscribers that a relay takes unless pressed.
const MOST_CHILDREN: usize = 24;

/// One that is fed.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pub(crate) link: u64,
    pub(crate) ip: Ipv4Addr,
    zone: String,
    list: (u64, u64),
}

/// What goes out: a frame on a link.
pub(crate) type Outgoing = Vec<(u64, Bytes)>;

/// What a process knows and passes on.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    pub(crate) value: Rc<ChosenValue>,
    pub(crate) state: Rc<ControlState>,
    pub(crate) list: Rc<EndpointList>,
    former_list: Rc<EndpointList>,
    pub(crate) fresh_at: Option<u64>,
    pub(crate) subscribers: Vec<Subscriber>,
    proxies: u32,
}

fn encoded(push: Push) -> Bytes {
    peer_wire::encode(&Frame::Push(push)).expect("pushes of this size can be encoded")
}

impl Feed {
    pub(crate) fn age(&self, now: u64) -> Option<u64> {
        self.fresh_at.map(|at| now.saturating_sub(at))
    }

    pub(crate) fn confirm(&mut self, at: u64) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    pub(crate) fn set_proxies(&mut self, proxies: u32) {
        self.proxies = proxies;
    }

    fn to_all(&self, push: Push) -> Outgoing {
        let frame = encoded(push);
        self.subscribers.iter().map(|subscriber| (subscriber.link, frame.clone())).collect()
    }

    /// Takes a newer value; what is to be passed on, or none if it is not newer.
    pub(crate) fn learn_value(&mut self, value: ChosenValue) -> Option<Outgoing> {
        if value.ballot <= self.value.ballot {
            return None;
        }
        self.state = Rc::new(ControlState::from_payload(&value.payload).ok()?);
        self.value = Rc::new(value.clone());
        Some(self.to_all(Push::Value(value)))
    }

    /// Takes a newer list.
    pub(crate) fn learn_list(&mut self, list: EndpointList) -> Outgoing {
        if list.stamp <= self.list.stamp {
            return Vec::new();
        }
        self.former_list = std::mem::replace(&mut self.list, Rc::new(list));
        let (list, former) = (self.list.clone(), self.former_list.clone());
        self.subscribers
            .iter_mut()
            .map(|subscriber| (subscriber.link, list_push(&list, &former, subscriber)))
            .collect()
    }

    fn learn_change(
        &mut self,
        base: (u64, u64),
        stamp: (u64, u64),
        put: Vec<Endpoint>,
        gone: &[String],
    ) -> (bool, Outgoing) {
        let old = self.list.clone();
        if old.stamp != base {
            return (old.stamp >= stamp, Vec::new());
        }
        let mut endpoints: BTreeMap<String, Endpoint> =
            old.endpoints.iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint.clone())).collect();
        for instance in gone {
            endpoints.remove(instance);
        }
        endpoints.extend(put.into_iter().map(|endpoint| (endpoint.instance_id.clone(), endpoint)));
        (true, self.learn_list(EndpointList { stamp, endpoints: endpoints.into_values().collect() }))
    }

    fn beat_now(&self, now: u64) -> Option<Push> {
        let age_ms = u32::try_from(self.age(now)? / 1_000).unwrap_or(u32::MAX);
        Some(Push::Beat { age_ms, proxies: self.proxies })
    }

    /// A beat to every subscriber.
    pub(crate) fn beat(&self, now: u64) -> Outgoing {
        self.beat_now(now).map_or(Vec::new(), |beat| self.to_all(beat))
    }

    /// Takes a subscriber on, or names others to ask; what goes out on the link first.
    pub(crate) fn subscribe(
        &mut self,
        now: u64,
        call: &Call,
        relay: bool,
        link: u64,
    ) -> (Answer, Vec<Bytes>) {
        let Call::Subscribe { ip, zone, urgent, value, list } = call else {
            return (Answer::Unready, Vec::new());
        };
        let stale = relay && self.age(now).is_none_or(|age| age > MOST_AGE);
        if self.value.ballot == Ballot::default() || stale {
            return (Answer::Unready, Vec::new());
        }
        self.subscribers.retain(|subscriber| subscriber.ip != *ip);
        let same_zone: Vec<SocketAddrV4> = self
            .subscribers
            .iter()
            .filter(|subscriber| subscriber.zone == *zone)
            .map(|subscriber| SocketAddrV4::new(subscriber.ip, 7380))
            .collect();
        let full = match relay {
            true => self.subscribers.len() >= MOST_CHILDREN,
            false => same_zone.len() >= HEADS_PER_ZONE,
        };
        if full && !urgent {
            return (Answer::Redirect(if relay { Vec::new() } else { same_zone }), Vec::new());
        }
        let mut subscriber = Subscriber { link, ip: *ip, zone: zone.clone(), list: *list };
        let mut first = Vec::new();
        if self.value.ballot > *value {
            first.push(encoded(Push::Value((*self.value).clone())));
        }
        if self.list.stamp > *list {
            first.push(list_push(&self.list, &self.former_list, &mut subscriber));
        }
        first.extend(self.beat_now(now).map(encoded));
        self.subscribers.push(subscriber);
        (Answer::Done, first)
    }

    /// A link is gone.
    pub(crate) fn remove(&mut self, link: u64) {
        self.subscribers.retain(|subscriber| subscriber.link != link);
    }

    /// Carries out a push: false if the link is to be left, and what is to be passed on.
    pub(crate) fn take(&mut self, now: u64, push: Push, confirms: bool) -> (bool, Outgoing) {
        match push {
            Push::Beat { age_ms, proxies } => {
                if confirms {
                    self.confirm(now.saturating_sub(u64::from(age_ms) * 1_000));
                }
                if proxies > 0 {
                    self.proxies = proxies;
                }
                (true, Vec::new())
            }
            Push::Value(value) => (true, self.learn_value(value).unwrap_or_default()),
            Push::List(list) => (true, self.learn_list(list)),
            Push::ListChange { base, stamp, put, gone } => self.learn_change(base, stamp, put, &gone),
        }
    }

    /// Bytes of memory that the state holds.
    pub(crate) fn bytes(&self) -> usize {
        let lists = endpoints_bytes(&self.list) + endpoints_bytes(&self.former_list);
        let values = 2 * self.value.payload.len() + self.state.taken.capacity() * 40;
        lists + values + self.subscribers.capacity() * (size_of::<Subscriber>() + 16)
    }
}

fn endpoints_bytes(list: &EndpointList) -> usize {
    let heap = |text: &String| text.capacity().max(16) + 8;
    let each = |e: &Endpoint| size_of::<Endpoint>() + heap(&e.instance_id) + heap(&e.service) + heap(&e.zone);
    list.endpoints.iter().map(each).sum()
}

/// The change for who has the former list, otherwise the whole one: worked out anew for each subscriber.
fn list_push(list: &EndpointList, former: &EndpointList, subscriber: &mut Subscriber) -> Bytes {
    let push = match subscriber.list == former.stamp && former.stamp != (0, 0) {
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
        false => Push::List(list.clone()),
    };
    subscriber.list = list.stamp;
    encoded(push)
}

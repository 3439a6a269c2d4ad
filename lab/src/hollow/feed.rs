//! The programs' feed in the hollow fleet: `state-feed` decides, here pushes become frames of the codec.

use bytes::Bytes;
use fleet_model::{Answer, Call, ChosenValue, ControlState, Endpoint, EndpointList, Frame, Push};
use state_feed::{FeedState, Follower, Learned, LinkId, Role, Sources, Spread, Unreadable};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Told things older than this make a follower look for another parent, in microseconds.
pub(crate) const MOST_AGE: u64 = state_feed::MOST_AGE.as_micros() as u64;
/// Where all processes are asked for their feed.
pub(crate) const PEER_PORT: u16 = 7380;

/// What goes out: a frame on a link.
pub(crate) type Outgoing = Vec<(u64, Bytes)>;

/// The fleet's time as the feed takes it.
pub(crate) fn feed_time(now: u64) -> Duration {
    Duration::from_micros(now)
}

fn encoded(push: Push) -> Bytes {
    peer_wire::encode(&Frame::Push(push)).expect("pushes of this size can be encoded")
}

/// Each push is encoded once for all that get it.
fn encoded_for_all(spreads: Vec<Spread>) -> Outgoing {
    let for_all = |Spread { push, to }| {
        let frame = encoded(push);
        to.into_iter().map(move |link| (link, frame.clone()))
    };
    spreads.into_iter().flat_map(for_all).collect()
}

/// What came of a push.
pub(crate) struct Taken {
    /// The link is to be left.
    pub(crate) out_of_step: bool,
    /// What is to be passed on.
    pub(crate) frames: Outgoing,
}

impl From<Result<Learned, Unreadable>> for Taken {
    fn from(learned: Result<Learned, Unreadable>) -> Self {
        let learned = learned.expect("all values of a play can be read");
        Self { out_of_step: learned.out_of_step, frames: encoded_for_all(learned.spreads) }
    }
}

/// What a process knows and passes on.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    decides: FeedState,
}

impl Feed {
    pub(crate) fn value(&self) -> &Rc<ChosenValue> {
        self.decides.value()
    }

    pub(crate) fn state(&self) -> &Rc<ControlState> {
        self.decides.state()
    }

    pub(crate) fn list(&self) -> &Rc<EndpointList> {
        self.decides.list()
    }

    pub(crate) fn age(&self, now: u64) -> Option<u64> {
        let age = self.decides.age(feed_time(now))?;
        Some(u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
    }

    pub(crate) fn confirm(&mut self, at: u64) {
        self.decides.confirm(feed_time(at));
    }

    pub(crate) fn set_proxies(&mut self, proxies: u32) {
        self.decides.set_proxies(proxies);
    }

    /// Takes a newer value.
    pub(crate) fn learn_value(&mut self, value: ChosenValue) -> Outgoing {
        Taken::from(self.decides.learn_value(value)).frames
    }

    /// Takes a newer list.
    pub(crate) fn learn_list(&mut self, list: EndpointList) -> Outgoing {
        encoded_for_all(self.decides.learn_list(list).spreads)
    }

    /// Takes what a parent pushes. `confirms`: its beats count.
    pub(crate) fn take(&mut self, now: u64, push: Push, confirms: bool) -> Taken {
        self.decides.take(feed_time(now), push, confirms).into()
    }

    /// When a beat is due next.
    pub(crate) fn beat_due(&self) -> u64 {
        u64::try_from(self.decides.beat_due().as_micros()).unwrap_or(u64::MAX)
    }

    /// A beat to every subscriber.
    pub(crate) fn beat(&mut self, now: u64) -> Outgoing {
        encoded_for_all(self.decides.beat(feed_time(now)))
    }

    /// Takes a subscriber on, or names others to ask; what goes out on the link first.
    pub(crate) fn subscribe(&mut self, now: u64, role: Role, call: &Call, link: u64) -> (Answer, Vec<Bytes>) {
        let subscription = self.decides.subscribe(feed_time(now), role, PEER_PORT, call, link);
        (subscription.answer, subscription.pushes.into_iter().map(encoded).collect())
    }

    /// A link is gone.
    pub(crate) fn remove(&mut self, link: u64) {
        self.decides.remove(link);
    }

    /// How many are fed.
    pub(crate) fn subscribers(&self) -> usize {
        self.decides.fed().len()
    }

    /// Bytes of memory that the state holds, where the list before the newest is as long as this.
    pub(crate) fn bytes(&self) -> usize {
        let lists = 2 * endpoints_bytes(self.list());
        let values = 2 * self.value().payload.len()
            + self.state().config.len()
            + self.state().taken.capacity() * size_of::<fleet_model::TakenVersion>();
        // A link's number, an address, a zone's name and a list's stamp.
        lists + values + self.subscribers() * (8 + 4 + size_of::<String>() + 16 + 16)
    }
}

fn endpoints_bytes(list: &EndpointList) -> usize {
    let heap = |text: &String| text.capacity().max(16) + 8;
    let each = |e: &Endpoint| size_of::<Endpoint>() + heap(&e.instance_id) + heap(&e.service) + heap(&e.zone);
    list.endpoints.iter().map(each).sum()
}

/// How a process comes by its feed.
#[derive(Debug)]
pub(crate) struct Follow {
    pub(crate) follower: Follower,
    /// The one parent, where there is only one.
    pub(crate) sole: Option<Ipv4Addr>,
    /// The fleet's links by the follower's names of them; none where a link could not be opened.
    pub(crate) links: BTreeMap<LinkId, Option<u64>>,
    /// When the follower is woken next.
    pub(crate) wake_at: u64,
    sources: Sources,
    me: Ipv4Addr,
}

impl Follow {
    /// Of machine `me`; with `sole` fed by that one only.
    pub(crate) fn new(me: Ipv4Addr, sole: Option<Ipv4Addr>, urgent: bool, seed: u64) -> Self {
        let sources = if sole.is_some() { Sources::One } else { Sources::Tree { urgent } };
        let follower = Follower::new(me, sources.clone(), seed);
        Self { follower, sole, links: BTreeMap::new(), wake_at: u64::MAX, sources, me }
    }

    /// The same in a process that starts anew.
    pub(crate) fn anew(&self, seed: u64) -> Self {
        let follower = Follower::new(self.me, self.sources.clone(), seed);
        Self { follower, links: BTreeMap::new(), wake_at: u64::MAX, sources: self.sources.clone(), ..*self }
    }

    /// The follower's name of a link of the fleet.
    pub(crate) fn named(&self, link: u64) -> Option<LinkId> {
        self.links.iter().find(|(_, known)| **known == Some(link)).map(|(name, _)| *name)
    }
}

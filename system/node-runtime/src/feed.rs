//! What a node knows through the state feed and passes on. `state-feed` decides what is pushed to whom; here it is carried
//! out over links.

use crate::{FeedEvent, Runtime, Subscriber};
use fleet_model::{Answer, Call, ChosenValue, ControlState, EndpointList, Push};
use state_feed::{Broadcast, FeedState, FeedUpdate, Role, SubscriberId, UnreadableValue};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// What a node knows through the feed, and passes on.
pub struct Feed<R: Runtime> {
    runtime: R,
    decides: RefCell<FeedState>,
    subscribers: RefCell<BTreeMap<SubscriberId, R::Subscriber>>,
    last_link: Cell<SubscriberId>,
    /// Counts changes of value and list.
    changed: watch::Sender<u64>,
}

impl<R: Runtime> Feed<R> {
    /// Of a node that has just started: it knows nothing.
    pub fn new(runtime: R) -> Rc<Self> {
        Rc::new(Self {
            runtime,
            decides: RefCell::default(),
            subscribers: RefCell::default(),
            last_link: Cell::new(0),
            changed: watch::Sender::new(0),
        })
    }

    /// The process that it runs in.
    pub fn runtime(&self) -> &R {
        &self.runtime
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

    /// Proxies in the fleet, as last told; 0 if nobody told.
    pub fn proxies(&self) -> u32 {
        self.decides.borrow().proxies()
    }

    /// Tells how many proxies there are.
    pub fn set_proxies(&self, count: u32) {
        self.decides.borrow_mut().set_proxies(count);
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
        self.decides.borrow().age(self.runtime.now())
    }

    /// When what is known was last confirmed.
    pub fn fresh_at(&self) -> Option<Duration> {
        self.decides.borrow().fresh_at()
    }

    /// Takes a newer value.
    pub fn learn_value(&self, value: ChosenValue) -> bool {
        let learned = self.decides.borrow_mut().learn_value(value);
        self.carry_out(learned).changed
    }

    /// Takes a newer list.
    pub fn learn_list(&self, list: EndpointList) -> bool {
        let learned = self.decides.borrow_mut().learn_list(list);
        self.carry_out(Ok(learned)).changed
    }

    /// Carries out a push; false if the link's list is not the one known here.
    pub fn apply_push(&self, push: Push, confirms: bool) -> bool {
        let learned = {
            let mut decides = self.decides.borrow_mut();
            self.runtime.before_push(&mut decides, &push);
            decides.apply_push(self.runtime.now(), push, confirms)
        };
        !self.carry_out(learned).out_of_step
    }

    /// Passes on what was learned, and tells of it.
    fn carry_out(&self, learned: Result<FeedUpdate, UnreadableValue>) -> FeedUpdate {
        let mut learned = learned.unwrap_or_else(|e| {
            self.runtime.on_feed(FeedEvent::Unreadable(&e));
            FeedUpdate::default()
        });
        self.spread(std::mem::take(&mut learned.spreads));
        if learned.changed {
            self.changed.send_modify(|count| *count += 1);
            let (value, state, list) = (self.value(), self.state(), self.list());
            self.runtime.on_feed(FeedEvent::Changed { value: &value, state: &state, list: &list });
        }
        learned
    }

    fn spread(&self, spreads: Vec<Broadcast>) {
        for Broadcast { push, to } in spreads {
            let prepared = R::Subscriber::prepare(&push);
            for link in to {
                let pushed = match (&prepared, self.subscribers.borrow().get(&link)) {
                    (Some(push), Some(subscriber)) => subscriber.send(push),
                    _ => false,
                };
                // What it missed it would never get: it has to ask again.
                if !pushed {
                    self.remove_subscriber(link);
                }
            }
        }
    }

    fn remove_subscriber(&self, link: SubscriberId) {
        self.subscribers.borrow_mut().remove(&link);
        self.decides.borrow_mut().remove(link);
    }

    /// When the next heartbeat is due.
    fn heartbeat_due(&self) -> Duration {
        self.decides.borrow().heartbeat_due()
    }

    /// A heartbeat to every subscriber.
    pub fn send_heartbeats(&self) {
        let spreads = self.decides.borrow_mut().heartbeat(self.runtime.now());
        self.spread(spreads);
    }

    /// Takes a subscriber on, or names others to ask. `relay`: this is no control node.
    pub fn subscribe(&self, call: &Call, relay: bool, subscriber: R::Subscriber) -> Answer {
        self.remove_closed_subscribers();
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let role = if relay { Role::Relay } else { Role::ControlNode };
        let (now, peer_port) = (self.runtime.now(), self.runtime.peer_port());
        let subscription = self.decides.borrow_mut().subscribe(now, role, peer_port, call, link);
        let sent = |push: &Push| R::Subscriber::prepare(push).is_some_and(|push| subscriber.send(&push));
        // A subscriber that lacks what it was to be told first would be told that it lacks nothing.
        if !subscription.pushes.iter().all(sent) {
            self.decides.borrow_mut().remove(link);
            return Answer::NotReady;
        }
        if subscription.answer == Answer::Done {
            self.subscribers.borrow_mut().insert(link, subscriber);
        }
        subscription.answer
    }

    fn remove_closed_subscribers(&self) {
        let closed: Vec<SubscriberId> = {
            let subscribers = self.subscribers.borrow();
            let closed = subscribers.iter().filter(|(_, subscriber)| subscriber.is_closed());
            closed.map(|(link, _)| *link).collect()
        };
        for link in closed {
            self.remove_subscriber(link);
        }
    }

    /// Addresses of subscribers, for staff.
    pub fn subscriber_addresses(&self) -> Vec<Ipv4Addr> {
        self.decides.borrow().subscriber_addresses()
    }
}

/// Sends heartbeats for good.
pub async fn run_heartbeats<R: Runtime>(feed: Rc<Feed<R>>) {
    loop {
        let left = feed.heartbeat_due().saturating_sub(feed.runtime.now());
        match left.is_zero() {
            true => feed.send_heartbeats(),
            false => feed.runtime.sleep(left).await,
        }
    }
}

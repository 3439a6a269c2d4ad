//! The state that a node knows through the feed, and its subscribers. [`state_feed::FeedState`] decides which pushes go to which
//! subscriber; this module sends them over links.

use crate::{FeedEvent, Runtime, Subscriber};
use fleet_model::{Answer, Call, ChosenValue, ControlState, EndpointList, Push};
use state_feed::{Broadcast, FeedState, FeedUpdate, Role, SubscriberId, UnreadableValue};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// The feed of a node: the state that it knows, and the links of its subscribers.
pub struct Feed<R: Runtime> {
    runtime: R,
    feed_state: RefCell<FeedState>,
    subscribers: RefCell<BTreeMap<SubscriberId, R::Subscriber>>,
    last_link_id: Cell<SubscriberId>,
    /// Number of changes of the value or the list.
    changes: watch::Sender<u64>,
}

impl<R: Runtime> Feed<R> {
    /// The feed of a node that has just started and knows nothing.
    pub fn new(runtime: R) -> Rc<Self> {
        Rc::new(Self {
            runtime,
            feed_state: RefCell::default(),
            subscribers: RefCell::default(),
            last_link_id: Cell::new(0),
            changes: watch::Sender::new(0),
        })
    }

    /// The runtime of the node's process.
    pub fn runtime(&self) -> &R {
        &self.runtime
    }

    /// The newest value.
    pub fn value(&self) -> Rc<ChosenValue> {
        self.feed_state.borrow().value().clone()
    }

    /// The control state decoded from the newest value.
    pub fn state(&self) -> Rc<ControlState> {
        self.feed_state.borrow().state().clone()
    }

    /// The newest endpoint list.
    pub fn list(&self) -> Rc<EndpointList> {
        self.feed_state.borrow().list().clone()
    }

    /// Number of proxies in the fleet as last reported; 0 if unknown.
    pub fn proxies(&self) -> u32 {
        self.feed_state.borrow().proxies()
    }

    /// Sets the number of proxies in the fleet.
    pub fn set_proxies(&self, count: u32) {
        self.feed_state.borrow_mut().set_proxies(count);
    }

    /// A receiver of the number of changes of the value or the list, to wait for the next one.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records that a majority of the voters had nothing newer at `at`.
    pub fn confirm(&self, at: Duration) {
        self.feed_state.borrow_mut().confirm(at);
    }

    /// Upper bound on the age of the state; `None` before the first confirmation.
    pub fn age(&self) -> Option<Duration> {
        self.feed_state.borrow().age(self.runtime.now())
    }

    /// When the state was last confirmed to be current, if ever.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.feed_state.borrow().confirmed_at()
    }

    /// Applies a value if it is newer; returns whether it is. An unreadable value is reported and ignored.
    pub fn update_value(&self, value: ChosenValue) -> bool {
        let update = self.feed_state.borrow_mut().update_value(value);
        self.apply_update(update).changed
    }

    /// Applies an endpoint list if it is newer; returns whether it is.
    pub fn update_list(&self, list: EndpointList) -> bool {
        let update = self.feed_state.borrow_mut().update_list(list);
        self.apply_update(Ok(update)).changed
    }

    /// Applies a push of an upstream. Returns `false` if it is relative to a list or configuration that is not known here.
    /// `confirms` tells whether the upstream's heartbeats confirm the state.
    pub fn apply_push(&self, push: Push, confirms: bool) -> bool {
        let update = {
            let mut feed_state = self.feed_state.borrow_mut();
            self.runtime.before_push(&mut feed_state, &push);
            feed_state.apply_push(self.runtime.now(), push, confirms)
        };
        !self.apply_update(update).out_of_sync
    }

    /// Forwards an update to the subscribers and reports it to the runtime.
    fn apply_update(&self, update: Result<FeedUpdate, UnreadableValue>) -> FeedUpdate {
        let mut update = update.unwrap_or_else(|error| {
            self.runtime.on_feed(FeedEvent::Unreadable(&error));
            FeedUpdate::default()
        });
        self.send_broadcasts(std::mem::take(&mut update.broadcasts));
        if update.changed {
            self.changes.send_modify(|count| *count += 1);
            let (value, state, list) = (self.value(), self.state(), self.list());
            self.runtime.on_feed(FeedEvent::Changed { value: &value, state: &state, list: &list });
        }
        update
    }

    fn send_broadcasts(&self, broadcasts: Vec<Broadcast>) {
        for Broadcast { push, to } in broadcasts {
            let prepared = R::Subscriber::prepare(&push);
            for link in to {
                let was_sent = match (&prepared, self.subscribers.borrow().get(&link)) {
                    (Some(push), Some(subscriber)) => subscriber.send(push),
                    _ => false,
                };
                // A missed push is never repeated on a link: the subscriber has to subscribe again.
                if !was_sent {
                    self.remove_subscriber(link);
                }
            }
        }
    }

    fn remove_subscriber(&self, link: SubscriberId) {
        self.subscribers.borrow_mut().remove(&link);
        self.feed_state.borrow_mut().remove(link);
    }

    /// When the next heartbeat is due if none is sent before.
    fn heartbeat_due(&self) -> Duration {
        self.feed_state.borrow().heartbeat_due()
    }

    /// Sends a heartbeat to all subscribers.
    pub fn send_heartbeats(&self) {
        let broadcasts = self.feed_state.borrow_mut().heartbeat(self.runtime.now());
        self.send_broadcasts(broadcasts);
    }

    /// Accepts a subscriber, rejects it or redirects it to other nodes. `is_relay` tells that this is no control node.
    pub fn subscribe(&self, call: &Call, is_relay: bool, subscriber: R::Subscriber) -> Answer {
        self.remove_closed_subscribers();
        let link = self.last_link_id.get() + 1;
        self.last_link_id.set(link);
        let role = if is_relay { Role::Relay } else { Role::ControlNode };
        let (now, peer_port) = (self.runtime.now(), self.runtime.peer_port());
        let subscription = self.feed_state.borrow_mut().subscribe(now, role, peer_port, call, link);
        let was_sent = |push: &Push| R::Subscriber::prepare(push).is_some_and(|push| subscriber.send(&push));
        // A subscriber that missed an initial push would later be treated as if it had it.
        if !subscription.pushes.iter().all(was_sent) {
            self.feed_state.borrow_mut().remove(link);
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

    /// Addresses of the subscribers, for operators.
    pub fn subscriber_addresses(&self) -> Vec<Ipv4Addr> {
        self.feed_state.borrow().subscriber_addresses()
    }
}

/// Sends heartbeats whenever they are due; never returns.
pub async fn run_heartbeats<R: Runtime>(feed: Rc<Feed<R>>) {
    loop {
        let remaining = feed.heartbeat_due().saturating_sub(feed.runtime.now());
        match remaining.is_zero() {
            true => feed.send_heartbeats(),
            false => feed.runtime.sleep(remaining).await,
        }
    }
}

//! The feed on sockets: `state-feed` decides what is pushed to whom and by whom this process is fed; here links are opened,
//! read and written, and time passes.

use crate::start::{Process, drawn};
use fleet_model::{Answer, Call, ChosenValue, ControlState, EndpointList, Push};
use peer_wire::{PeerClient, PreparedPush, Pusher};
use state_feed::{
    Command, Event, FeedState, Follower, Learned, LinkId, Role, Sources, Spread, SubscriberId, Unreadable,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

pub use state_feed::MOST_AGE;

/// How long the opening of a link may take, its answer included; the follower may give it up before.
const OPENING: Duration = Duration::from_millis(300);
/// What links have brought and is not yet taken in, at most; more waits in the sockets.
const MOST_WAITING: usize = 64;
/// The feed's time begins so long before the process, since ages are taken off it.
const BEFORE: Duration = Duration::from_secs(100 * 24 * 3_600);

/// What a process knows through the feed, and passes on.
pub struct Feed {
    decides: RefCell<FeedState>,
    pushers: RefCell<HashMap<SubscriberId, Pusher>>,
    last_link: Cell<SubscriberId>,
    began: Instant,
    /// Counts changes of value and list.
    changed: watch::Sender<u64>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            decides: RefCell::default(),
            pushers: RefCell::default(),
            last_link: Cell::new(0),
            began: Instant::now(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Feed {
    /// The feed's time.
    fn now(&self) -> Duration {
        BEFORE + self.began.elapsed()
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
    pub fn confirm(&self, at: Instant) {
        let at = match at.checked_duration_since(self.began) {
            Some(later) => Some(BEFORE + later),
            None => BEFORE.checked_sub(self.began.duration_since(at)),
        };
        if let Some(at) = at {
            self.decides.borrow_mut().confirm(at);
        }
    }

    /// How old at most what is known here is.
    pub fn age(&self) -> Option<Duration> {
        self.decides.borrow().age(self.now())
    }

    /// When what is known was last confirmed.
    pub fn fresh_at(&self) -> Option<Instant> {
        let at = self.decides.borrow().fresh_at()?;
        match at.checked_sub(BEFORE) {
            Some(later) => self.began.checked_add(later),
            None => self.began.checked_sub(BEFORE - at),
        }
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
    pub fn take(&self, push: Push, confirms: bool) -> bool {
        let learned = self.decides.borrow_mut().take(self.now(), push, confirms);
        !self.carry_out(learned).out_of_step
    }

    /// Passes on what was learned, and tells of it.
    fn carry_out(&self, learned: Result<Learned, Unreadable>) -> Learned {
        let mut learned = learned.unwrap_or_else(|e| {
            log::error!("passed over: {e}");
            Learned::default()
        });
        self.spread(std::mem::take(&mut learned.spreads));
        if learned.changed {
            self.changed.send_modify(|count| *count += 1);
        }
        learned
    }

    fn spread(&self, spreads: Vec<Spread>) {
        for Spread { push, to } in spreads {
            let prepared = PreparedPush::new(&push).inspect_err(|e| log::error!("not spread: {e}"));
            for link in to {
                let pushed = match (&prepared, self.pushers.borrow().get(&link)) {
                    (Ok(push), Some(pusher)) => pusher.try_send(push),
                    _ => false,
                };
                // What it missed it would never get: it has to ask again.
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

    /// A beat to every subscriber.
    pub fn beat(&self) {
        let spreads = self.decides.borrow_mut().beat(self.now());
        self.spread(spreads);
    }

    /// Takes a subscriber on, or names others to ask. `relay`: this is no keeper.
    pub fn subscribe(&self, call: &Call, peer_port: u16, relay: bool, pusher: Pusher) -> Answer {
        let closed: Vec<SubscriberId> = {
            let pushers = self.pushers.borrow();
            pushers.iter().filter(|(_, pusher)| pusher.is_closed()).map(|(link, _)| *link).collect()
        };
        for link in closed {
            self.part_with(link);
        }
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let role = if relay { Role::Relay } else { Role::Keeper };
        let subscription = self.decides.borrow_mut().subscribe(self.now(), role, peer_port, call, link);
        // A subscriber that lacks what it was to be told first would be told that it lacks nothing.
        if !subscription.pushes.iter().all(|push| pusher.try_push(push)) {
            self.decides.borrow_mut().remove(link);
            return Answer::Unready;
        }
        if subscription.answer == Answer::Done {
            self.pushers.borrow_mut().insert(link, pusher);
        }
        subscription.answer
    }

    /// Addresses of subscribers, for staff.
    pub fn fed(&self) -> Vec<Ipv4Addr> {
        self.decides.borrow().fed()
    }
}

/// Beats as long as the process lives.
pub async fn keep_beating(feed: Rc<Feed>) {
    loop {
        let due = feed.decides.borrow().beat_due();
        match due.checked_sub(feed.now()).filter(|left| !left.is_zero()) {
            Some(left) => sleep(left).await,
            None => feed.beat(),
        }
    }
}

/// Follows the feed as a member of the tree, for good: a parent whose beats grow old is left for another. `urgent`: the
/// keepers are to feed this process themselves.
pub async fn follow(process: Rc<Process>, feed: Rc<Feed>, urgent: bool) {
    let keepers = |process: &Process, feed: &Feed| {
        let mut ips = feed.value().voters.clone();
        ips.extend(process.seeds());
        ips.sort();
        ips.dedup();
        ips.into_iter().map(|ip| process.peer(ip)).collect()
    };
    follow_sources(process, feed, Sources::Tree { urgent }, keepers).await;
}

/// Follows one parent for good: a proxy its agent.
pub async fn follow_one(process: Rc<Process>, feed: Rc<Feed>, parent: SocketAddrV4) {
    follow_sources(process, feed, Sources::One, |_, _| vec![parent]).await;
}

/// What a link brought.
enum Brought {
    Answer(Answer),
    Push(Push),
    End,
}

async fn follow_sources(
    process: Rc<Process>,
    feed: Rc<Feed>,
    sources: Sources,
    keepers: impl Fn(&Process, &Feed) -> Vec<SocketAddrV4>,
) {
    let mut follower = Follower::new(process.settings().ip_address, sources, drawn());
    let (links, mut brought) = mpsc::channel(MOST_WAITING);
    let mut open: HashMap<LinkId, AbortHandle> = HashMap::new();
    let mut event = Event::Tick;
    let mut parent = None;
    loop {
        for command in follower.handle(feed.now(), &keepers(&process, &feed), event) {
            match command {
                Command::Ask { link, parent, urgent } => {
                    let asked = ask(process.clone(), &feed, parent, urgent, link, links.clone());
                    open.insert(link, spawn_local(asked).abort_handle());
                }
                Command::Close(link) => {
                    if let Some(link) = open.remove(&link) {
                        link.abort();
                    }
                }
            }
        }
        if follower.parent() != parent {
            parent = follower.parent();
            match parent {
                Some(parent) => log::info!("fed by {parent}"),
                None => log::info!("fed by nobody"),
            }
        }
        event = loop {
            let left = follower.wake_at().saturating_sub(feed.now());
            match timeout(left, brought.recv()).await {
                Err(_) => break Event::Tick,
                // Never: a sender is kept here.
                Ok(None) => return,
                Ok(Some((link, _))) if !open.contains_key(&link) => {}
                Ok(Some((link, Brought::Answer(answer)))) => break Event::Answered(link, answer),
                Ok(Some((link, Brought::Push(push)))) => {
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
                Ok(Some((link, Brought::End))) => {
                    open.remove(&link);
                    break Event::Closed(link);
                }
            }
        };
    }
}

/// Opens a link, and hands on what it brings until it ends.
fn ask(
    process: Rc<Process>,
    feed: &Feed,
    parent: SocketAddrV4,
    urgent: bool,
    link: LinkId,
    links: mpsc::Sender<(LinkId, Brought)>,
) -> impl Future<Output = ()> + 'static {
    let settings = process.settings();
    let call = Call::Subscribe {
        ip: settings.ip_address,
        zone: settings.zone.clone(),
        urgent,
        value: feed.value().ballot,
        list: feed.list().stamp,
    };
    async move {
        let client = PeerClient::new(parent, process.fleet(), None);
        if let Ok((answer, mut pushes)) = client.subscribe(call, OPENING).await {
            let mut next = Some(Brought::Answer(answer));
            while let Some(brought) = next {
                // Fails with the process.
                if links.send((link, brought)).await.is_err() {
                    return;
                }
                next = pushes.next().await.map(Brought::Push);
            }
        }
        let _ = links.send((link, Brought::End)).await;
    }
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
    let Ok((Answer::Done, mut pushes)) = client.subscribe(call, Duration::from_millis(300)).await else {
        return;
    };
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

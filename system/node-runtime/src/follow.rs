//! Subscription to the state feed: [`state_feed::Follower`] selects the upstream; this module opens, reads and closes the links.

use crate::{Feed, FeedEvent, MAX_STATE_AGE, Runtime, Task, Upstream, timeout};
use fleet_model::{Answer, Call, Push};
use state_feed::{Command, Event, Follower, LinkId, Sources};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum time to open a link and receive its answer; the follower may abandon it earlier.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of events that links have delivered and that are not processed yet; more remain in the sockets.
const MAX_PENDING_LINK_EVENTS: usize = 64;

/// Follows the feed as a member of the dissemination tree; never returns. An upstream whose heartbeats become stale is
/// replaced. With `urgent` the control nodes serve this node themselves.
pub async fn follow<R: Runtime>(feed: Rc<Feed<R>>, urgent: bool) {
    let control_nodes = |feed: &Feed<R>| {
        let mut ips = feed.value().voters.clone();
        ips.extend(feed.runtime().seeds());
        ips.sort();
        ips.dedup();
        let port = feed.runtime().peer_port();
        ips.into_iter().map(|ip| SocketAddrV4::new(ip, port)).collect()
    };
    follow_sources(feed, Sources::Tree { urgent }, control_nodes).await;
}

/// Follows a single upstream, as a proxy does with its agent; never returns.
pub async fn follow_one<R: Runtime>(feed: Rc<Feed<R>>, upstream: SocketAddrV4) {
    follow_sources(feed, Sources::One, |_| vec![upstream]).await;
}

/// An event of a link.
enum LinkEvent {
    Answer(Answer),
    Push(Push),
    Closed,
}

type LinkEventSender = mpsc::Sender<(LinkId, LinkEvent)>;

async fn follow_sources<R: Runtime>(
    feed: Rc<Feed<R>>,
    sources: Sources,
    control_nodes: impl Fn(&Feed<R>) -> Vec<SocketAddrV4>,
) {
    let runtime = feed.runtime().clone();
    let mut follower = Follower::new(runtime.ip(), sources, runtime.random_u64());
    let (event_sender, mut link_events) = mpsc::channel(MAX_PENDING_LINK_EVENTS);
    let mut open: BTreeMap<LinkId, R::Task> = BTreeMap::new();
    let mut event = Event::Tick;
    let mut upstream = None;
    loop {
        for command in follower.handle(runtime.now(), &control_nodes(&feed), event) {
            match command {
                Command::Subscribe { link, upstream: address, urgent } => {
                    let call = subscription(&feed, runtime.zone(), urgent);
                    let task =
                        runtime.spawn(run_link(runtime.clone(), address, call, link, event_sender.clone()));
                    open.insert(link, task);
                }
                Command::Close(link) => {
                    if let Some(task) = open.remove(&link) {
                        task.abort();
                    }
                }
            }
        }
        if follower.upstream_address() != upstream {
            upstream = follower.upstream_address();
            runtime.on_feed(FeedEvent::UpstreamChanged(upstream));
        }
        event = loop {
            let remaining = follower.wake_at().saturating_sub(runtime.now());
            match timeout(&runtime, remaining, link_events.recv()).await {
                None => break Event::Tick,
                // Unreachable: this function owns a sender.
                Some(None) => return,
                Some(Some((link, _))) if !open.contains_key(&link) => {}
                Some(Some((link, LinkEvent::Answer(answer)))) => break Event::Answered(link, answer),
                Some(Some((link, LinkEvent::Push(push)))) => {
                    let age = heartbeat_age(&push);
                    if !feed.apply_push(push, true) {
                        break Event::OutOfSync(link);
                    }
                    if let Some(age) = age {
                        break Event::Heartbeat(link, age);
                    }
                }
                Some(Some((link, LinkEvent::Closed))) => {
                    open.remove(&link);
                    break Event::Closed(link);
                }
            }
        };
    }
}

fn heartbeat_age(push: &Push) -> Option<Duration> {
    match push {
        Push::Heartbeat { age_ms, .. } => Some(Duration::from_millis((*age_ms).into())),
        _ => None,
    }
}

fn subscription<R: Runtime>(feed: &Feed<R>, zone: String, urgent: bool) -> Call {
    Call::Subscribe {
        ip: feed.runtime().ip(),
        zone,
        urgent,
        value: feed.value().ballot,
        list: feed.list().version,
    }
}

/// Opens a link, and forwards its events until it closes.
async fn run_link<R: Runtime>(
    runtime: R,
    upstream: SocketAddrV4,
    call: Call,
    link: LinkId,
    event_sender: LinkEventSender,
) {
    if let Some((answer, mut pushes)) = runtime.subscribe(upstream, call, SUBSCRIBE_TIMEOUT).await {
        let mut next = Some(LinkEvent::Answer(answer));
        while let Some(event) = next {
            // Fails only while the process shuts down.
            if event_sender.send((link, event)).await.is_err() {
                return;
            }
            next = pushes.next().await.map(LinkEvent::Push);
        }
    }
    let _ = event_sender.send((link, LinkEvent::Closed)).await;
}

/// Applies the lists and values of the lease holder while `is_active` returns true. Its heartbeats do not confirm the state.
pub async fn follow_lists<R: Runtime>(feed: &Feed<R>, lease_holder: Ipv4Addr, is_active: impl Fn() -> bool) {
    let runtime = feed.runtime();
    let call = subscription(feed, format!("core:{}", runtime.zone()), true);
    let address = SocketAddrV4::new(lease_holder, runtime.peer_port());
    let Some((Answer::Done, mut pushes)) = runtime.subscribe(address, call, SUBSCRIBE_TIMEOUT).await else {
        return;
    };
    while is_active() {
        match timeout(runtime, MAX_STATE_AGE, pushes.next()).await {
            Some(Some(push)) => {
                if !feed.apply_push(push, false) {
                    return;
                }
            }
            Some(None) | None => return,
        }
    }
}

//! Being fed: `state-feed` decides by whom; here links are opened, read and left.

use crate::{Feed, FeedEvent, MAX_STATE_AGE, Runtime, Task, Upstream, timeout};
use fleet_model::{Answer, Call, Push};
use state_feed::{Command, Event, Follower, LinkId, Sources};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long the opening of a link may take, its answer included; the follower may give it up before.
const OPENING: Duration = Duration::from_millis(300);
/// What links have brought and is not yet taken in, at most; more waits in the sockets.
const MOST_WAITING: usize = 64;

/// Follows the feed as a member of the tree, for good: an upstream whose beats grow old is left for another. `urgent`: the
/// control nodes are to feed this node themselves.
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

/// Follows one upstream for good: a proxy its agent.
pub async fn follow_one<R: Runtime>(feed: Rc<Feed<R>>, upstream: SocketAddrV4) {
    follow_sources(feed, Sources::One, |_| vec![upstream]).await;
}

/// What a link brought.
enum Brought {
    Answer(Answer),
    Push(Push),
    End,
}

type Links = mpsc::Sender<(LinkId, Brought)>;

async fn follow_sources<R: Runtime>(
    feed: Rc<Feed<R>>,
    sources: Sources,
    control_nodes: impl Fn(&Feed<R>) -> Vec<SocketAddrV4>,
) {
    let runtime = feed.runtime().clone();
    let mut follower = Follower::new(runtime.ip(), sources, runtime.random_u64());
    let (links, mut brought) = mpsc::channel(MOST_WAITING);
    let mut open: BTreeMap<LinkId, R::Task> = BTreeMap::new();
    let mut event = Event::Tick;
    let mut upstream = None;
    loop {
        for command in follower.handle(runtime.now(), &control_nodes(&feed), event) {
            match command {
                Command::Ask { link, parent, urgent } => {
                    let call = subscription(&feed, runtime.zone(), urgent);
                    let task = runtime.spawn(ask(runtime.clone(), parent, call, link, links.clone()));
                    open.insert(link, task);
                }
                Command::Close(link) => {
                    if let Some(task) = open.remove(&link) {
                        task.abort();
                    }
                }
            }
        }
        if follower.parent() != upstream {
            upstream = follower.parent();
            runtime.on_feed(FeedEvent::UpstreamChanged(upstream));
        }
        event = loop {
            let left = follower.wake_at().saturating_sub(runtime.now());
            match timeout(&runtime, left, brought.recv()).await {
                None => break Event::Tick,
                // Never: a sender is kept here.
                Some(None) => return,
                Some(Some((link, _))) if !open.contains_key(&link) => {}
                Some(Some((link, Brought::Answer(answer)))) => break Event::Answered(link, answer),
                Some(Some((link, Brought::Push(push)))) => {
                    let age = beat_age(&push);
                    if !feed.apply_push(push, true) {
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

fn beat_age(push: &Push) -> Option<Duration> {
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

/// Opens a link, and hands on what it brings until it ends.
async fn ask<R: Runtime>(runtime: R, upstream: SocketAddrV4, call: Call, link: LinkId, links: Links) {
    if let Some((answer, mut pushes)) = runtime.subscribe(upstream, call, OPENING).await {
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

/// Takes lists and values from `holder` while `still` says so; what it tells of their age does not count here.
pub async fn follow_lists<R: Runtime>(feed: &Feed<R>, holder: Ipv4Addr, still: impl Fn() -> bool) {
    let runtime = feed.runtime();
    let call = subscription(feed, format!("core:{}", runtime.zone()), true);
    let address = SocketAddrV4::new(holder, runtime.peer_port());
    let Some((Answer::Done, mut pushes)) = runtime.subscribe(address, call, OPENING).await else { return };
    while still() {
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

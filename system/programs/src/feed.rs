//! Adapter of the state feed: `node-runtime` implements the feed, this module gives it sockets, tokio timers and the log.

use crate::process::Process;
use crate::random::random_u64;
use fleet_model::{Answer, Call, Push};
use node_runtime::{FeedEvent, Runtime, Subscriber, Task, Upstream};
use peer_wire::{PeerClient, PreparedPush, PushStream, Pusher};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

pub use node_runtime::{MAX_STATE_AGE, follow, follow_lists, follow_one, run_heartbeats};

/// The state that a process receives through the feed and forwards to its subscribers.
pub type Feed = node_runtime::Feed<ProcessRuntime>;

/// The process as the runtime of its node.
#[derive(Clone)]
pub struct ProcessRuntime {
    process: Rc<Process>,
    /// Open connections to peers.
    peers: Rc<RefCell<HashMap<Ipv4Addr, Rc<PeerClient>>>>,
}

impl ProcessRuntime {
    /// Creates the runtime of a process that has just started.
    pub fn new(process: Rc<Process>) -> Self {
        Self { process, peers: Rc::default() }
    }

    fn peer(&self, ip: Ipv4Addr) -> Rc<PeerClient> {
        let mut peers = self.peers.borrow_mut();
        let new = || Rc::new(PeerClient::new(self.process.peer(ip), self.process.fleet(), None));
        peers.entry(ip).or_insert_with(new).clone()
    }
}

/// Creates an empty feed.
pub fn new_feed(process: &Rc<Process>) -> Rc<Feed> {
    Feed::new(ProcessRuntime::new(process.clone()))
}

impl Runtime for ProcessRuntime {
    type Task = LocalTask;
    type Upstream = UpstreamLink;
    type Subscriber = SubscriberLink;

    fn ip(&self) -> Ipv4Addr {
        self.process.settings().ip_address
    }

    fn zone(&self) -> String {
        self.process.settings().zone.clone()
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.process.seeds()
    }

    fn peer_port(&self) -> u16 {
        self.process.settings().peer_port()
    }

    fn now(&self) -> Duration {
        self.process.now()
    }

    fn random_u64(&self) -> u64 {
        random_u64()
    }

    async fn sleep(&self, delay: Duration) {
        tokio::time::sleep(delay).await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> LocalTask {
        LocalTask(self.process.spawn_task("node", work))
    }

    async fn call(&self, to: Ipv4Addr, call: Call, timeout: Duration) -> Option<Answer> {
        self.peer(to).call(call, timeout).await.ok()
    }

    async fn subscribe(
        &self,
        to: SocketAddrV4,
        call: Call,
        timeout: Duration,
    ) -> Option<(Answer, UpstreamLink)> {
        let client = PeerClient::new(to, self.process.fleet(), None);
        let (answer, pushes) = client.subscribe(call, timeout).await.ok()?;
        Some((answer, UpstreamLink(pushes)))
    }

    fn on_feed(&self, event: FeedEvent<'_>) {
        match event {
            FeedEvent::Changed { .. } => {}
            FeedEvent::Unreadable(e) => log::error!("unreadable update ignored: error={e}"),
            FeedEvent::UpstreamChanged(Some(upstream)) => {
                log::info!("upstream of the state feed changed: peer={upstream}")
            }
            FeedEvent::UpstreamChanged(None) => log::info!("no upstream for the state feed"),
        }
    }
}

/// A task on the process's local set.
pub struct LocalTask(AbortHandle);

impl Task for LocalTask {
    fn abort(self) {
        self.0.abort();
    }
}

/// The subscriber's end of a link.
pub struct UpstreamLink(PushStream);

impl Upstream for UpstreamLink {
    async fn next(&mut self) -> Option<Push> {
        self.0.next().await
    }
}

/// The upstream process's end of a link.
pub struct SubscriberLink(pub Pusher);

impl Subscriber for SubscriberLink {
    type Prepared = PreparedPush;

    fn prepare(push: &Push) -> Option<PreparedPush> {
        PreparedPush::new(push).inspect_err(|e| log::error!("update cannot be encoded: error={e}")).ok()
    }

    fn send(&self, push: &PreparedPush) -> bool {
        self.0.try_send(push)
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

//! The interface of a node to its process: time, randomness, tasks, calls to its peers and links of the state feed.
//!
//! All of it is behind the [`Runtime`] trait, so that the simulation runs the same code as the service. This crate does no I/O,
//! reads no clock and generates no random numbers itself. On top of the trait it runs the state feed ([`Feed`], [`follow`])
//! and provides time-outs ([`timeout`], [`timeout_at`]).

mod feed;
mod follow;
mod timeout;

pub use feed::{Feed, run_heartbeats};
pub use follow::{follow, follow_lists, follow_one};
pub use state_feed::MAX_STATE_AGE;
pub use timeout::{timeout, timeout_at};

use fleet_model::{Answer, Call, ChosenValue, ControlState, EndpointList, Push};
use state_feed::{FeedState, UnreadableValue};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The process of a node. Everything runs on one thread, so futures need not be `Send`.
#[allow(async_fn_in_trait, reason = "all tasks run on one thread, so no bound on the futures is needed")]
pub trait Runtime: Clone + 'static {
    /// Handle of a spawned task.
    type Task: Task;
    /// The subscriber's end of a link of the state feed.
    type Upstream: Upstream;
    /// The serving node's end of a link of the state feed.
    type Subscriber: Subscriber;

    /// Address of this machine.
    fn ip(&self) -> Ipv4Addr;

    /// Zone of this machine.
    fn zone(&self) -> String;

    /// Addresses of the control nodes in the settings.
    fn seeds(&self) -> Vec<Ipv4Addr>;

    /// Port on which machines accept calls of their peers.
    fn peer_port(&self) -> u16;

    /// Time of a monotonic clock. Its origin is far in the past, since ages are subtracted from it.
    fn now(&self) -> Duration;

    /// A random number.
    fn random_u64(&self) -> u64;

    /// Completes after `duration`.
    async fn sleep(&self, duration: Duration);

    /// Spawns a task, which ends with the process at the latest.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Calls the node of another machine; `None` without an answer within `timeout`.
    async fn call(&self, to: Ipv4Addr, call: Call, timeout: Duration) -> Option<Answer>;

    /// Opens a link of the state feed; `None` without an answer within `timeout`.
    async fn subscribe(
        &self,
        to: SocketAddrV4,
        call: Call,
        timeout: Duration,
    ) -> Option<(Answer, Self::Upstream)>;

    /// Is notified of events of the feed.
    fn on_feed(&self, event: FeedEvent<'_>);

    /// Is called with each push before it is applied. The default does nothing; a simulation overrides it to inject faults.
    fn before_push(&self, _known: &mut FeedState, _push: &Push) {}

    /// Time in milliseconds, of the same clock as [`Runtime::now`].
    fn now_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Handle of a spawned task. The task continues if the handle is dropped.
pub trait Task {
    /// Cancels the task.
    fn abort(self);
}

/// The subscriber's end of a link; dropping it closes the link.
#[allow(async_fn_in_trait, reason = "all tasks run on one thread, so no bound on the futures is needed")]
pub trait Upstream {
    /// The next push; `None` once the link is closed.
    async fn next(&mut self) -> Option<Push>;
}

/// The serving node's end of a link.
pub trait Subscriber {
    /// An encoded push.
    type Prepared;

    /// Encodes a push, once for all subscribers; `None` if it cannot be sent.
    fn prepare(push: &Push) -> Option<Self::Prepared>;

    /// Sends a push, in order; returns `false` if it cannot be delivered.
    fn send(&self, push: &Self::Prepared) -> bool;

    /// Whether the link is closed.
    fn is_closed(&self) -> bool;
}

/// An event of a node's feed.
#[derive(Debug)]
pub enum FeedEvent<'a> {
    /// The value or the list changed.
    Changed {
        /// The newest value.
        value: &'a ChosenValue,
        /// The control state decoded from it.
        state: &'a ControlState,
        /// The newest endpoint list.
        list: &'a EndpointList,
    },
    /// A value was ignored because it cannot be decoded.
    Unreadable(&'a UnreadableValue),
    /// The upstream changed; `None` while there is none.
    UpstreamChanged(Option<SocketAddrV4>),
}

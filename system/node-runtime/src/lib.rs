//! What a node of the fleet needs of its process: time, chance, tasks, calls to its peers and links of the state feed. All of
//! it is behind [`Runtime`], so that the code that runs in service is the code that the simulation plays. Nothing here does
//! I/O, reads a clock or draws random numbers.

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

/// A process as its node sees it. Everything runs on one thread.
#[allow(async_fn_in_trait)]
pub trait Runtime: Clone + 'static {
    /// A task that was begun.
    type Task: Task;
    /// The subscriber's end of a link of the feed.
    type Upstream: Upstream;
    /// The feeding node's end of a link of the feed.
    type Subscriber: Subscriber;

    /// This machine's address.
    fn ip(&self) -> Ipv4Addr;

    /// This machine's zone.
    fn zone(&self) -> String;

    /// The core machines that the settings name.
    fn seeds(&self) -> Vec<Ipv4Addr>;

    /// Where machines take calls of their peers.
    fn peer_port(&self) -> u16;

    /// Time that only rises. It begins far from zero, since ages are taken off it.
    fn now(&self) -> Duration;

    /// A random number.
    fn random_u64(&self) -> u64;

    /// Passes when so much time is over.
    async fn sleep(&self, pause: Duration);

    /// Begins a task, which ends with the process at the latest.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Calls the node of another machine; none without an answer in time.
    async fn call(&self, to: Ipv4Addr, call: Call, timeout: Duration) -> Option<Answer>;

    /// Opens a link of the feed; none without an answer in time.
    async fn subscribe(
        &self,
        to: SocketAddrV4,
        call: Call,
        timeout: Duration,
    ) -> Option<(Answer, Self::Upstream)>;

    /// Is told what happens to the feed.
    fn on_feed(&self, event: FeedEvent<'_>);

    /// Sees each push before it is taken. Nothing is to be done here in service; a simulation that breaks the feed on purpose
    /// does it here.
    fn before_push(&self, _known: &mut FeedState, _push: &Push) {}

    /// Time in milliseconds, of the same clock as [`Runtime::now`].
    fn now_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }
}

/// A task that was begun. It goes on when this is dropped.
pub trait Task {
    /// Ends it.
    fn abort(self);
}

/// The subscriber's end of a link; the link closes when this is dropped.
#[allow(async_fn_in_trait)]
pub trait Upstream {
    /// The next push; none once the link is closed.
    async fn next(&mut self) -> Option<Push>;
}

/// The feeding node's end of a link.
pub trait Subscriber {
    /// A push in the form in which it is sent.
    type Prepared;

    /// Brings a push into that form, once for all subscribers; none if it cannot be sent.
    fn prepare(push: &Push) -> Option<Self::Prepared>;

    /// Sends a push after those before it; false if it will not get there.
    fn send(&self, push: &Self::Prepared) -> bool;

    /// Whether the link is closed.
    fn is_closed(&self) -> bool;
}

/// What happens to a node's feed.
#[derive(Debug)]
pub enum FeedEvent<'a> {
    /// It goes by another value or list.
    Changed {
        /// The newest value.
        value: &'a ChosenValue,
        /// The same, read.
        state: &'a ControlState,
        /// The newest list.
        list: &'a EndpointList,
    },
    /// A value was passed over, since it cannot be read.
    Unreadable(&'a UnreadableValue),
    /// It is fed by another upstream now, or by none.
    UpstreamChanged(Option<SocketAddrV4>),
}

//! The state feed: it disseminates the register's value and the endpoint list from the control nodes through a tree of relays
//! to every proxy.
//!
//! [`FeedState`] holds what a process knows and whom it serves; [`Follower`] selects the upstream to which it subscribes.
//! Neither has sockets, timers or a clock: the host passes in the time as a [`Duration`] since an origin of its own, which has
//! to be further in the past than any reported age, and executes the returned commands and pushes.
//!
//! Within one incarnation of a process its value and list only become newer. Heartbeats report the age of the delivered state,
//! so that a subscriber detects a frozen, partitioned or outdated upstream and selects another one.

mod follower;
mod state;

pub use follower::{Command, Event, Follower, LinkId, Sources};
pub use state::{Broadcast, FeedState, FeedUpdate, Role, SubscriberId, Subscription, UnreadableValue};

use std::time::Duration;

/// Interval between two heartbeats of a control node. Relays forward them as they arrive.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a heartbeat from its upstream after which a relay sends one of its own, to show that it is alive.
pub const RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two forwarded heartbeats.
pub const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(200);
/// Time without any heartbeat after which an upstream is considered unresponsive.
pub const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age above which state is stale: subscribers search for another control node, and a relay accepts no subscribers.
pub const MAX_STATE_AGE: Duration = Duration::from_millis(1_000);
/// Age above which subscribers of a relay search for another upstream; longer than [`MAX_STATE_AGE`], so that the relay
/// itself can find a fresh one first.
pub const MAX_RELAY_STATE_AGE: Duration = Duration::from_millis(1_400);
/// Maximum number of relays of one zone that a control node serves without urgency; it redirects the zone's other
/// subscribers to them.
pub const MAX_RELAYS_PER_ZONE: usize = 2;
/// Maximum number of machines that a relay serves without urgency.
pub const MAX_RELAY_SUBSCRIBERS: usize = 24;

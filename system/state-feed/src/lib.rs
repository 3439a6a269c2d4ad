//! The feed: the register's value and the list of endpoints, from the core down a dissemination tree of relays to every
//! proxy.
//!
//! [`FeedState`] is what a process knows and whom it feeds, [`Follower`] decides by whom it is fed. Neither has sockets,
//! timers or a clock: callers hand in the time as a [`Duration`] since a moment of their own, which
//! has to lie further back than any age that may be told, and carry out what comes back.
//!
//! Values and lists only rise within a life. Heartbeats tell the staleness of what a link told, so that who hangs
//! on a frozen, cut-off or misled upstream notices and takes another.

mod follower;
mod state;

pub use follower::{Command, Event, Follower, LinkId, Sources};
pub use state::{Broadcast, FeedState, FeedUpdate, Role, SubscriberId, Subscription, UnreadableValue};

use std::time::Duration;

/// Between two heartbeats of a control node. Relays pass them on as they come.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// After so long without a heartbeat from its upstream a relay sends one by itself, to show that it is there.
pub const RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats from the upstream are not passed on more often.
pub const MIN_HEARTBEAT_GAP: Duration = Duration::from_millis(200);
/// An upstream that has told nothing for so long is not trusted to be there.
pub const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// What is older is stale: another control node is looked for, and a relay takes no one on.
pub const MAX_STATE_AGE: Duration = Duration::from_millis(1_000);
/// As long a relay may be stale before those below it look for another upstream: first it finds one itself.
pub const MAX_RELAY_STATE_AGE: Duration = Duration::from_millis(1_400);
/// Relays of one zone that a control node feeds without being asked urgently; it names these to the zone's others.
pub const MAX_HEADS_PER_ZONE: usize = 2;
/// Machines that a relay feeds without being asked urgently.
pub const MAX_RELAY_SUBSCRIBERS: usize = 24;

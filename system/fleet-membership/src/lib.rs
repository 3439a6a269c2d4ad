//! Fleet membership and failure detection, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", DSN 2002) with ideas of Lifeguard (Dadgar, Phillips, Currey:
//! "Lifeguard: Local Health Awareness for More Accurate Failure Detection", arXiv 1707.00788).
//!
//! The crate decides which processes of the fleet are alive, suspected or dead. It does no I/O and reads no clock: the
//! host passes datagrams and the time to a [`Membership`], and carries out the [`Effect`]s that it returns.
//!
//! - **Failure detection**: in each probe interval a member pings its successor on a ring of hashed addresses, so that
//!   every member is probed by another one in each interval. Every few intervals it pings one more member in shuffled
//!   round robin (SWIM, section 4.3). A member that does not acknowledge is probed indirectly through others (ping
//!   request), then suspected, and declared dead only if it does not refute the suspicion before the time-out.
//! - **Versions**: every update about a member carries a version, which is the member's incarnation number and the number
//!   of refutations within that incarnation. The higher version wins everywhere, whatever the order of arrival.
//! - **Dissemination**: updates are gossiped on every datagram (piggybacked) and, while there are recent ones, in gossip
//!   datagrams to a few random members, each update a bounded number of times. At rest only probes are sent.
//! - **Anti-entropy**: datagrams carry a digest of the sender's view. Two members whose views differ for longer exchange
//!   their full state in pages.
//! - **Rejoining**: members that were declared dead are contacted again at their address, so that the sides of a network
//!   partition find each other after it heals.
//! - **Local stalls**: a member whose own timer ran late assumes that it was the slow one, restarts its probes and extends
//!   its suspicions (Lifeguard's local health awareness).
//!
//! What members do with the view, such as which one holds a singleton role, is decided elsewhere.
//!
//! ```
//! use fleet_membership::{Config, Effect, Member, Membership, Role, new_incarnation};
//! use std::net::Ipv4Addr;
//!
//! let local_member = Member {
//!     ip: Ipv4Addr::new(10, 0, 0, 1),
//!     role: Role::Edge,
//!     zone: "zone-a".to_owned(),
//!     name: "edge-1".to_owned(),
//!     incarnation: new_incarnation(1_700_000_000_000, 7),
//!     tags: Vec::new(),
//! };
//! let mut membership = Membership::new(local_member, Config::default(), 1, 0)?;
//! let effects = membership.join(0, &[Ipv4Addr::new(10, 0, 0, 2)]);
//! assert!(matches!(effects.as_slice(), [Effect::Send { .. }]));
//! assert_eq!(membership.member_count(), 1);
//! # Ok::<(), fleet_membership::MemberError>(())
//! ```

mod config;
mod effects;
mod gossip_queue;
mod member;
mod membership;
mod probing;
mod table;
mod wire;

pub use config::Config;
pub use effects::{Counters, Effect, MemberEvent};
pub use member::{Member, MemberError, MemberState, Role, new_incarnation};
pub use membership::Membership;
pub use wire::MAX_DATAGRAM;

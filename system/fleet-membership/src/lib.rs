//! Which processes of the fleet live, by a protocol after SWIM. There is no I/O and no clock in here: the caller hands
//! in datagrams and the time, and carries out the [`Effect`]s.
//!
//! - Failure detection: each period a member probes its successor on a ring of hashed addresses, so that everyone is
//!   probed by someone in each period, and in every few periods one more in shuffled round robin. Whoever stays silent
//!   is probed indirectly through others, then suspected, and removed only if it hasn't refuted the suspicion in time.
//! - Every change is a claim under a version: the incarnation of a member, which is the start number of its life, and
//!   how often that life has refuted. The higher version wins everywhere, whatever the order of arrival.
//! - Dissemination: claims are gossiped on every datagram and, while there are fresh ones, in datagrams of their own to
//!   a few random members, each a bounded number of times. At rest only probes are sent.
//! - Anti-entropy: datagrams carry a digest of the sender's view. Two that differ for longer exchange their states in
//!   pages.
//! - Rejoining: whoever was removed is asked again at its address, so that the parts of a cut fleet find each other.

#![warn(missing_docs)]

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

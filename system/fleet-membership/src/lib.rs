//! Which processes of the fleet live, by a protocol after SWIM. There is no I/O and no clock in here: the caller hands
//! in datagrams and the time, and carries out the [`Effect`]s.
//!
//! - Each period a member probes its successor on a ring of hashed addresses, so that everyone is asked by someone in
//!   each period, and in every few periods one more in shuffled round robin. Whoever stays silent is asked through
//!   third parties, then suspected, and removed only if it hasn't objected in time.
//! - Every change is a claim under a version: the start number of a life, and how often that life has objected. The
//!   higher version wins everywhere, whatever the order of arrival.
//! - Claims spread as rumours on every datagram and, while there are fresh ones, in datagrams of their own to a few
//!   random members, each a bounded number of times. At rest only probes are sent.
//! - Probes carry a digest of the sender's view. Two that differ for longer exchange their states in pages.
//! - Whoever was removed is sought again at its address, so that the parts of a cut fleet find each other.

#![warn(missing_docs)]

mod config;
mod member;
mod membership;
mod probing;
mod rumours;
mod table;
mod wire;

pub use config::Config;
pub use member::{Member, MemberError, MemberState, Role, start_number};
pub use membership::{Change, Counters, Effect, Membership};
pub use wire::MAX_DATAGRAM;

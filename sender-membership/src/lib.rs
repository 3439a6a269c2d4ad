//! Membership of a fleet of senders: failure detection, an agreed member list, and the voters that agree on it.
//!
//! The crate is a set of state machines without I/O, clock or async runtime. The host (sockets, a simulation or a
//! checker) passes in received bytes and the time in milliseconds, and carries out the returned [`Effect`]s in order.
//! The guarantees V1 to V6 that comments, tests and checkers cite are defined in `docs/fleet.md`.
#![forbid(unsafe_code)]

mod disk;
mod failure_view;
mod member_list;
mod node;
mod settings;
mod voter;
mod wire;

pub use disk::{Record, State, VoterRecord, VoterState};
pub use failure_view::{Health, MemberState, Row, View, ViewDigest};
pub use member_list::{Change, DepartedMember, Departure, Info, Member, MemberList};
pub use node::{Command, CommandError, Counts, Effect, Halt, Node, Notification};
pub use settings::{InjectedFaults, Settings, SettingsError};
pub use wire::{Identity, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, WireError};

/// Milliseconds of a monotonic clock with an arbitrary origin.
pub type Millis = u64;

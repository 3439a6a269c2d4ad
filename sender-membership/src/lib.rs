//! What a fleet of senders knows of itself: who belongs to it, who of them answers, and who keeps the record. State
//! machines without I/O, clock or runtime: whoever drives them (sockets, simulated time, a checker) hands in bytes and
//! the time in milliseconds, and carries out the [`Effect`]s in their order. The promises V1 to V6 that the names of
//! tests and checkers refer to stand in `docs/fleet.md`.
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

/// Milliseconds of a clock that never steps, from any beginning.
pub type Millis = u64;

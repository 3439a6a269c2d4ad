//! What a fleet of senders knows of itself: who belongs to it, who of them answers, and who keeps the record. State
//! machines without I/O, clock or runtime: whoever drives them (sockets, simulated time, a checker) hands in bytes and
//! the time in milliseconds, and carries out the [`Effect`]s in their order. The promises V1 to V6 that the names of
//! tests and checkers refer to stand in `docs/fleet.md`.
#![forbid(unsafe_code)]

mod disk;
mod keeper;
mod node;
mod roster;
mod settings;
mod view;
mod wire;

pub use disk::{KeeperRecord, KeeperState, Record, State};
pub use node::{Counts, Effect, Halt, Node, Note, Order, OrderError};
pub use roster::{Change, Farewell, Gone, Info, Member, Roster};
pub use settings::{Broken, Settings, SettingsError};
pub use view::{Health, Mark, Row, Standing, View};
pub use wire::{Identity, MOST_DATAGRAM, MOST_FRAME, WireError};

/// Milliseconds of a clock that never steps, from any beginning.
pub type Millis = u64;

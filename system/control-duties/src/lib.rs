//! What the control plane decides beside its register, without I/O, clock or randomness.
//!
//! Changes of the [`ControlState`](fleet_model::ControlState) are pure functions: they take the state that was read and
//! give the one that is wanted, or none. [`RosterWatch`] and [`CoreWatch`] are what one keeper knows of the storage and
//! the core machines; [`DutyClaim`] says whether a duty is this keeper's, [`Readings`] what becomes of a reading of the
//! list. All times are milliseconds of the caller's clock, which only rises.

mod claim;
mod config;
mod core_watch;
mod readings;
mod roster;
mod roster_watch;
pub mod times;
mod turnover;

pub use claim::{DutyClaim, stands};
pub use config::{ConfigVerdict, put_config};
pub use core_watch::CoreWatch;
pub use readings::Readings;
pub use roster::{RetireVerdict, fill, give_up, join, proposed, retire, retire_state};
pub use roster_watch::{LossesBorne, RosterStep, RosterWatch, least_stores};

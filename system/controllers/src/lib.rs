//! What the control plane decides beside its register, without I/O, clock or randomness.
//!
//! Changes of the [`ControlState`](fleet_model::ControlState) are pure functions: they take the state that was read and
//! give the one that is wanted, or none. [`StorageController`] and [`VoterController`] are what one keeper knows of the storage and
//! the core machines; [`LeaseCandidate`] says whether a duty is this keeper's, [`DiscoveryPolls`] what becomes of a reading of the
//! list. All times are milliseconds of the caller's clock, which only rises.

mod config;
mod discovery_poll;
mod lease_candidate;
mod replacement;
mod roster;
mod storage_controller;
pub mod times;
mod voter_controller;

pub use config::{ConfigVerdict, put_config};
pub use discovery_poll::DiscoveryPolls;
pub use lease_candidate::{LeaseCandidate, holds_lease};
pub use roster::{
    RetireVerdict, complete_backfill, join, proposed_nodes, remove_node, retire, retire_status,
};
pub use storage_controller::{LossTolerance, RosterStep, StorageController, min_storage_nodes};
pub use voter_controller::VoterController;

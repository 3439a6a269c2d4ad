//! Decisions of the control plane outside its register: storage roster, leases, voters, configurations and endpoint polls.
//!
//! The register (`config-register`) agrees on one value, the [`ControlState`](fleet_model::ControlState). This crate decides
//! how that value should change:
//!
//! - [`evaluate_order`] evaluates operators' orders, [`put_config`] those that submit a configuration.
//! - [`join`], [`complete_backfill`], [`remove_node`] and [`retire`] change the roster of storage nodes. They are pure
//!   functions: they take the state that was read and return the state to propose, or `None`.
//! - [`StorageController`] and [`VoterController`] detect failures of storage and control nodes and decide which to remove.
//! - [`LeaseCandidate`] acquires the lease of a singleton role; [`ProposerSelection`] decides who proposes operators' orders.
//! - [`DiscoveryPollFilter`] decides which polls of the platform's endpoint list are published.
//!
//! The crate has no I/O, clock or randomness. The host (`control-node`) sends the requests and probes, proposes the
//! resulting states to the register, and passes in the time in milliseconds of a monotonic clock.

mod config;
mod discovery_poll;
mod lease_candidate;
mod loss_tolerance;
mod order_evaluation;
mod proposer_selection;
mod replacement;
mod roster;
mod roster_step;
mod storage_controller;
pub mod times;
mod turnover;
mod voter_controller;

pub use config::put_config;
pub use discovery_poll::DiscoveryPollFilter;
pub use fleet_model::{ConfigVerdict, RetireVerdict};
pub use lease_candidate::{LeaseCandidate, holds_lease};
pub use loss_tolerance::{LossTolerance, min_storage_nodes};
pub use order_evaluation::evaluate_order;
pub use proposer_selection::ProposerSelection;
pub use roster::{
    complete_backfill, forget_turnover, join, join_initial_node, proposed_nodes, remove_node, retire,
    retire_status,
};
pub use roster_step::RosterStep;
pub use storage_controller::StorageController;
pub use voter_controller::{UnresponsiveVoter, VoterController};

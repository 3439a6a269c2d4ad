//! Decisions of the controllers: unit tests, failure scenarios, and random faults in an in-memory cluster.

mod cluster;
mod configurations;
mod discovery_polls;
mod failure_scenarios;
mod leases_and_voters;
mod proposer_selection;
mod random_faults;
mod roster_changes;
mod storage_failure_detection;

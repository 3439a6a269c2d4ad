//! Losses around changes of the storage machines: the real changes of the roster, stores, backfills and quorums, with
//! machines, control node and proxies in memory; calls are delivered one at a time, in any order.

mod client_operations;
mod cluster;
mod invariants;
mod loss_at_each_step;
mod random_faults;

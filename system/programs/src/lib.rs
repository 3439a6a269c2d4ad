//! The programs of the serving tier: `request-proxy`, `proxy-agent`, `control-node`, `storage-node` and `fleetctl`.
//!
//! Decisions (voting, routing, replication, membership) live in crates without I/O. This crate is their host: it connects
//! them to sockets, disks, clocks and signals, and serves operators ([`control_api`], [`admin`]). Each program has one
//! module with a `run` function ([`agent`], [`control`], [`proxy`], [`storage`]) that [`start::run`] calls on one thread.

pub mod admin;
pub mod agent;
pub mod control;
pub mod control_api;
pub mod disk;
pub mod feed;
pub mod late_handler;
pub mod listeners;
mod log_lines;
pub mod members;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod random;
pub mod readiness;
pub mod routing_policy;
pub mod settings_file;
pub mod start;
pub mod storage;
pub mod turns;

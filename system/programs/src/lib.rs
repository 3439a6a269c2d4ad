//! What the programs of the system share: their start, the feed, and each program's own work. Decisions stand in the
//! crates without I/O; here they meet sockets, disks and clocks.

pub mod admin;
pub mod agent;
pub mod control;
pub mod disk;
pub mod feed;
pub mod members;
pub mod operator_api;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod random;
pub mod routing_policy;
pub mod start;
pub mod storage;
pub mod turns;

//! What the programs of the system share: their start, the feed, and each program's own work. Decisions stand in the
//! crates without I/O; here they meet sockets, disks and clocks.

pub mod agent;
pub mod disk;
pub mod feed;
pub mod keeper;
pub mod members;
pub mod operator;
pub mod platform;
pub mod proxy;
pub mod routing_policy;
pub mod staff;
pub mod start;
pub mod storage;
pub mod turns;

//! Stand-in partners, directory and clients for the sender, on loopback, and a judge apart from all of them. Times are
//! microseconds from the start of a play; whatever chance decides comes from the play's seed.
#![forbid(unsafe_code)]

pub mod baseline;
mod built;
pub mod clients;
pub mod directory;
pub mod endpoints;
pub mod experiment;
pub mod fleet;
pub mod judge;
pub mod model;
pub mod peers;
pub mod plan;
pub mod play;
pub mod report;
pub mod scenario;
pub mod sim;
pub mod stage;
pub mod system;
pub mod table;
pub mod tier;

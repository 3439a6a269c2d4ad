//! Stand-in partners, directory and clients for the sender, on loopback, and a checker apart from all of them. Times are
//! microseconds from the start of a run; whatever is random comes from the run's seed.
#![forbid(unsafe_code)]

pub mod baseline;
mod built;
pub mod checker;
pub mod clients;
pub mod coordination;
pub mod directory;
pub mod endpoints;
pub mod environment;
pub mod experiment;
pub mod fleet;
pub mod misbehaving_clients;
pub mod misbehaving_endpoints;
pub mod model;
pub mod peers;
pub mod plan;
pub mod process_ends;
pub mod report;
pub mod run;
pub mod scenario;
pub mod serving_tier;
pub mod sim;
pub mod system;
pub mod table;

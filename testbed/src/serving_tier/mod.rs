//! The tier on loopback: its four programs as real processes, each machine on an address of its own, between stand-ins for
//! the platform, the endpoints, the operator and the clients, and a checker that receives reports from these alone.
pub mod checker;
pub mod clients;
pub mod endpoints;
mod faults;
pub mod history;
pub mod load;
pub mod machines;
pub mod operator;
pub mod run;
pub mod soak;
pub mod start_faults;
pub mod table;
mod tier;

//! Applications that call the coordination service (locks, numbers, keys and watches) and a checker of its rules over what
//! they sent and were answered.

pub mod applications;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod final_calls;
pub mod history;
mod memory;
pub mod plan;
pub mod run;
pub mod schedule;
pub mod summary;
pub mod wire;

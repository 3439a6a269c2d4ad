//! Fleets of senders that know one another, under faults: on processes and in simulated time, by one schedule and one
//! checker. What was done and seen goes into a history; the checker reads that, and nothing else.
pub mod campaign;
pub mod check;
pub mod history;
pub mod links;
pub mod plain;
pub mod real;
pub mod schedule;
pub mod shrink;
pub mod sim;

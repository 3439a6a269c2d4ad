//! Stories of a fleet over an in-memory network in simulated time.

mod schedules;
mod simulator;
mod stories;

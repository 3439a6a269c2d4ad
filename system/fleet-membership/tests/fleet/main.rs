//! Behaviour of a whole fleet over an in-memory network in simulated time.

mod failure_and_recovery;
mod random_faults;
mod simulator;

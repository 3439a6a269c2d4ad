//! How processes of the tier end: single real processes in surroundings that fail, and what they do then.
//!
//! A process is to end when it is told to, or when its settings can never be used; whatever else it lacks it waits for. The
//! surroundings are those of a real machine: settings that are being written, addresses that others hold, a log that
//! nobody reads, limits on files, descriptors and threads.

pub mod log_target;
pub mod lone_process;
pub mod process_status;

//! The duties' decisions: stories, and a fleet of keepers and storage machines in memory under random trouble.

mod changes;
mod fleet;
mod schedules;
mod stories;
mod watches;

//! Clients that keep to no limit, against the real programs on loopback: crowds that send large bodies, in every way, and
//! stay; the memory and descriptors of the processes meanwhile; and an ordinary request afterwards.
pub mod crowd;
pub mod process;
pub mod report;
pub mod sender;
pub mod soak;
pub mod stand_in;
pub mod tier;
pub mod usage;

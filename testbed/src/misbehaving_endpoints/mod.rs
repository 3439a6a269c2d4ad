//! Back ends whose answers do not end, behind the real programs on loopback: callers of many kinds ask them, through a proxy
//! with little memory, while requests to sound back ends go on.
pub mod callers;
pub mod form;
pub mod rig;
pub mod soak;
pub mod stand_in;

//! Bounds on what clients may occupy at a listener that admits callers which may misbehave.
//!
//! A client that announces a large body and stops short of its end occupies memory and a connection for as long as the
//! server waits. Time-outs alone do not bound the sum over many such clients. This crate bounds it: bodies, those of responses
//! that clients do not read included, share a [`BodyBudget`], connections a [`ConnectionLimit`], and [`listen_for_clients`] bounds the bytes that the kernel accepts
//! before they are read. Where a bound is reached, what has waited longest for its client gives way, so that a crowd that
//! stalls does not keep ordinary callers out.
//!
//! It is not for calls between the system's own processes, which state the length of each frame and are trusted to finish it.

mod body_budget;
mod body_reading;
mod connection_limit;
mod limits;
mod listener;
mod response_memory;

pub use body_budget::{BodyBudget, BodyBuffer, BudgetExceeded};
pub use body_reading::{BodyError, discard_body, read_body};
pub use connection_limit::{ConnectionLimit, ConnectionSlot};
pub use limits::{ClientLimits, connections_within};
pub use listener::{RECEIVE_BUFFER_BYTES, listen_for_clients};
pub use response_memory::{ResponseMemory, ServiceKey};

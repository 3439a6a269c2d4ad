//! Frames between the system's own processes, in Cap'n Proto's packed form, and calls over TCP.
//!
//! All runs on one thread: programs run a current-thread runtime within a [`tokio::task::LocalSet`].

#[allow(missing_docs, unused, clippy::all, clippy::pedantic, elided_lifetimes_in_paths)]
#[rustfmt::skip]
mod peer_capnp;

mod client;
mod codec;
mod framing;
mod server;

pub use client::{CallFailure, CallLimits, PeerClient, PushStream};
pub use codec::{WireError, decode, encode};
pub use framing::{HELLO_LEN, MAX_FRAME_LEN, PROTOCOL_VERSION};
pub use server::{Handler, PeerServer, PreparedPush, Pusher};

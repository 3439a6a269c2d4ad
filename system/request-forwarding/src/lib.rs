//! The data plane: receives HTTP requests from clients, forwards them to endpoints and streams the responses back.
//!
//! Where a request goes, whether it waits and whether it is retried is decided by [`request_routing`]; this crate
//! does the I/O: client connections, pooled connections to endpoints, deadlines, response streaming with resumption
//! at another endpoint, and graceful shutdown. Turns and token budgets are stored by the host, behind
//! [`TurnStorage`].
//!
//! Everything runs on one thread, inside a `LocalSet`.

mod active_turn;
mod body_collection;
mod client_connection;
mod client_stream;
mod complete_events;
mod delivery;
mod endpoint_attempt;
mod event_scan;
mod exchange;
mod forwarder;
mod headers;
mod local_response;
mod metrics;
mod open_connections;
mod outbound_request;
mod pool;
mod readiness;
mod response_account;
mod response_body;
mod response_channel;
mod response_forwarding;
mod server;
mod slot_wait;
mod stream_preparation;
mod turn_storage;
mod wait_queue;

pub use forwarder::{Forwarder, SystemState};
pub use metrics::ForwardingMetrics;
pub use readiness::serve_readiness;
pub use server::ShutdownPhase;
pub use turn_storage::{Chain, ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};

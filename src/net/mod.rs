//! The sender on real sockets: everything around the decision module that does I/O or reads a clock.
pub mod admin_endpoint;
pub mod clock;
pub mod connection;
pub mod discovery;
pub mod fleet;
pub mod handover;
pub mod host;
pub mod idle_trust;
pub mod input;
pub mod journal;
pub mod log;
pub mod notices;
pub mod pool;
pub mod received_body;
pub mod relay;
pub mod server;
pub mod telemetry;
pub mod tuning;
pub mod wal;

/// Descriptors for other uses than clients and endpoints: standard streams, event loops, signals, listeners, the journal's
/// two files, discovery, notices, the configuration during a reload, and admin connections.
const RESERVED: usize = 32 + admin_endpoint::MAX_CONNECTIONS;

/// Client connections that a sender has however little its memory is, so that callers in turn find room.
const MIN_CLIENTS: usize = 32;

/// The division of the process's file descriptors.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// Maximum concurrent client connections: known clients use at most a third of all, the rest is for unknown callers.
    pub clients: usize,
    /// Maximum concurrent connections to endpoints, including idle ones.
    pub endpoints: usize,
}

impl Descriptors {
    /// Divides `all` descriptors. Clients get no more than the memory has room for, in bytes, if it is limited.
    pub fn share(all: usize, memory_bytes: Option<usize>) -> Self {
        let available = all.saturating_sub(RESERVED).max(2);
        let within_memory = memory_bytes.map_or(usize::MAX, client_admission::connections_within);
        let within_memory = within_memory.max(MIN_CLIENTS);
        Self { clients: (available / 2).min(within_memory), endpoints: available - available / 2 }
    }
}

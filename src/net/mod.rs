//! The sender on real sockets: everything round the decision module that does I/O or reads a clock.
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
pub mod relay;
pub mod server;
pub mod telemetry;
pub mod tuning;
pub mod wal;

/// Descriptors besides those of clients and endpoints: standard streams, the loops' and the signals' own, the
/// listeners, the journal's two files, discovery, notices, the configuration at a reload, staff's callers.
const OWN: usize = 32 + admin_endpoint::MAX_CONNECTIONS;

/// How the descriptors that the process may hold are shared out.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// Connections from clients at once: they use a third of all at the most, the rest is for strangers.
    pub clients: usize,
    /// Connections to endpoints at once, idle ones counted.
    pub endpoints: usize,
}

impl Descriptors {
    /// The parts of so many descriptors.
    pub fn share(all: usize) -> Self {
        let left = all.saturating_sub(OWN).max(2);
        Self { clients: left / 2, endpoints: left - left / 2 }
    }
}

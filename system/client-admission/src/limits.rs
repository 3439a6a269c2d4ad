//! Limits for a process, from the memory and descriptors that its settings give it.

use crate::listener::RECEIVE_BUFFER_BYTES;

/// Part of the memory for request bodies: one in this many.
const BODY_MEMORY_DIVISOR: usize = 5;
/// Part of the memory for connections, in eighths.
const CONNECTION_MEMORY_EIGHTHS: usize = 3;
/// Part of the descriptors for clients: one in this many. The rest is for endpoints, peers and files.
const DESCRIPTOR_DIVISOR: usize = 3;
/// Memory of a connection beside its unread bytes, in bytes: the buffer of a request's head, and its task.
const CONNECTION_OVERHEAD_BYTES: usize = 32 * 1024;
/// Lower bound of the connections.
const MIN_CONNECTIONS: usize = 4;

/// What all clients of a process together may occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of bytes of request bodies in memory, apart from a single body that is alone.
    pub body_bytes: usize,
}

/// Number of client connections that three eighths of this much memory, in bytes, have room for.
pub fn connections_within(memory_bytes: usize) -> usize {
    let connection_bytes = RECEIVE_BUFFER_BYTES as usize + CONNECTION_OVERHEAD_BYTES;
    memory_bytes / 8 * CONNECTION_MEMORY_EIGHTHS / connection_bytes
}

impl ClientLimits {
    /// Limits for a process with this much memory, in MB (10^6 bytes), and this many file descriptors.
    pub fn for_process(memory_mb: f64, max_file_descriptors: u64) -> Self {
        let memory_bytes = (memory_mb.max(0.0) * 1e6) as usize;
        let descriptors = usize::try_from(max_file_descriptors).unwrap_or(usize::MAX);
        Self {
            connections: connections_within(memory_bytes)
                .min(descriptors / DESCRIPTOR_DIVISOR)
                .max(MIN_CONNECTIONS),
            body_bytes: memory_bytes / BODY_MEMORY_DIVISOR,
        }
    }
}

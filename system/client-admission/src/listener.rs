//! Listeners whose connections have a bounded receive buffer.

use std::io;
use std::net::SocketAddrV4;
use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a client connection, in bytes. Without a fixed size the kernel lets it grow to several MB, which count as
/// memory of the process until they are read.
pub const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Length of the kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Listens at an address where clients connect.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen_for_clients(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it. A kernel that does not know the option has bounds of its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

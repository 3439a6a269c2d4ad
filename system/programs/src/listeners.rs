//! Listening sockets. An address that another process holds, or that the machine does not have yet, is waited for.

use crate::process::Process;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Length of the kernel's queue of connections that are not yet accepted.
const BACKLOG: u32 = 1024;
/// Between two attempts to listen at an address.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens at `address` for other processes of the system, once it can be had.
pub async fn listen(process: &Process, address: SocketAddrV4) -> TcpListener {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(BACKLOG)
    };
    listen_with(process, address, bind).await
}

/// Listens at `address` for clients, operators or applications, once it can be had.
pub async fn listen_for_clients(process: &Process, address: SocketAddrV4) -> TcpListener {
    listen_with(process, address, || client_admission::listen_for_clients(address)).await
}

async fn listen_with(
    process: &Process,
    address: SocketAddrV4,
    bind: impl Fn() -> io::Result<TcpListener>,
) -> TcpListener {
    let what = format!("address {address}");
    process.waits().retry(&what, LISTEN_RETRY_INTERVAL, async || bind()).await
}

//! Ports of outgoing connections, for the tests of several packages.

use std::time::Duration;

/// How long ports are tried: longer than a closed connection keeps its port.
pub(crate) const OWN_PORT_TIMEOUT: Duration = Duration::from_secs(90);

/// The sockets of this host that have the port, by the kernel's table.
pub(crate) fn sockets_with_port(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{port:04X}");
    table
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1))
        .filter(|local| local.ends_with(&port))
        .count()
}

//! The sender as a process, with endpoints, platform and clients on loopback sockets.
mod admin_endpoint;
mod calls;
mod clients;
mod cost;
mod harness;
mod metrics;
mod outgoing_connections;
#[path = "../common/outgoing_ports.rs"]
mod outgoing_ports;
mod restarts;
mod shutdown;
mod upgrade;

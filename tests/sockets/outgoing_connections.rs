//! The ports of connections that the sender makes.
use message_sender::net::connection::Connection;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

const TIME_LIMIT: Duration = Duration::from_secs(20);
/// How long ports are tried: longer than a closed connection keeps its port.
const OWN_PORT_TIMEOUT: Duration = Duration::from_secs(90);

/// The sockets of this host that have the port, by the kernel's table.
fn sockets_with_port(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{port:04X}");
    table
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1))
        .filter(|local| local.ends_with(&port))
        .count()
}

#[tokio::test]
async fn a_connection_to_an_endpoint_holds_the_port_of_a_listener_that_is_away() {
    let until = Instant::now() + OWN_PORT_TIMEOUT;
    // The kernel may give a connection of another program the same port: that one would hold it.
    while Instant::now() < until {
        // It begins its search at a port that depends on the endpoint's.
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connection = Connection::open(endpoint.local_addr().unwrap(), TIME_LIMIT).await;
        let (_call, from) = endpoint.accept().await.unwrap();
        if sockets_with_port(from.port()) > 1 {
            continue;
        }
        assert!(TcpListener::bind(from).await.is_ok(), "{from} is not free for a listener");
        drop(connection);
        return;
    }
    panic!("no connection had a port of its own");
}

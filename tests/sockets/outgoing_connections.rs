//! The ports of connections that the sender makes.
use crate::outgoing_ports::{OWN_PORT_TIMEOUT, sockets_with_port};
use message_sender::net::connection::Connection;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

const TIME_LIMIT: Duration = Duration::from_secs(20);

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

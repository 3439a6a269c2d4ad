//! The ports of connections that the sender makes.
use message_sender::net::connection::Connection;
use std::time::Duration;
use tokio::net::TcpListener;

const TIME_LIMIT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_connection_to_an_endpoint_holds_the_port_of_a_listener_that_is_away() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connection = Connection::open(endpoint.local_addr().unwrap(), TIME_LIMIT).await;
    let (_call, from) = endpoint.accept().await.unwrap();
    assert!(TcpListener::bind(from).await.is_ok(), "{from} is not free for a listener");
    drop(connection);
}

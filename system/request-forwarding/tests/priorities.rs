//! Priorities under overload, measured at the clients: within one service, the served share of a priority class must
//! not be lower than that of a less urgent class by more than 0.05.

mod fixtures;

use fixtures::{HttpConnection, TestProxy, post, run_within};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;
use operator_config::OperatorConfig;
use request_forwarding::SystemState;
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of requests that the endpoint processes concurrently.
const SLOTS: u32 = 4;
/// Processing time of one request.
const WORK: Duration = Duration::from_millis(60);
/// How much higher the served share of the less urgent class may be.
const MARGIN: f64 = 0.05;

/// Paths of routes with priority 0 and priority 1.
const URGENT: &str = "/unsafe/";
const LESS_URGENT: &str = "/plain/";

/// Starts an endpoint that declines requests beyond its slots.
async fn start_endpoint() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let running = Rc::new(Cell::new(0));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(HttpConnection::new(stream), running.clone()));
        }
    });
    address
}

async fn serve(mut connection: HttpConnection, running: Rc<Cell<u32>>) {
    while let Some(request) = connection.read_message().await {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let head = if running.get() < SLOTS {
            running.set(running.get() + 1);
            sleep(WORK).await;
            running.set(running.get() - 1);
            format!("200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}")
        } else {
            format!("503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1")
        };
        connection.write(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n")).await;
    }
}

async fn start_proxy() -> TestProxy {
    let proxy = TestProxy::unconfigured().await;
    let endpoint = Endpoint {
        instance_id: "i-1".into(),
        service: "s".into(),
        address: start_endpoint().await,
        zone: "z".into(),
        capacity_slots: SLOTS,
        state: EndpointState::Ready,
    };
    proxy.forwarder.update(SystemState {
        config: Some(Rc::new(OperatorConfig::read(fixtures::CONFIG.as_bytes()).unwrap())),
        list: Some(Rc::new(EndpointList { version: ListVersion::new(1, 1), endpoints: vec![endpoint] })),
        proxies: 1,
    });
    proxy
}

/// Sends requests to a path at this interval; returns the share that is served.
async fn served_share(
    client_address: SocketAddr,
    path: &'static str,
    count: usize,
    interval: Duration,
) -> f64 {
    let mut requests = Vec::new();
    for number in 0..count {
        requests.push(spawn_local(async move {
            let id = format!("{}{number}", path.len());
            let mut client = HttpConnection::open(client_address).await;
            client.write(post(path, &id, "Deadline-Remaining: 900\r\n", "body").bytes()).await;
            client.read_message().await.is_some_and(|response| response.status() == 200)
        }));
        sleep(interval).await;
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap());
    }
    served as f64 / count as f64
}

/// Sends this many urgent and less urgent requests within a second, together more than the endpoint can serve;
/// returns the served share of both.
async fn check_served_shares(urgent: usize, less_urgent: usize) -> (f64, f64) {
    let proxy = start_proxy().await;
    let second = Duration::from_secs(1);
    let (urgent_share, other_share) = tokio::join!(
        served_share(proxy.client_address, URGENT, urgent, second / urgent as u32),
        served_share(proxy.client_address, LESS_URGENT, less_urgent, second / less_urgent as u32),
    );
    println!("{urgent} urgent: {urgent_share:.2} served, {less_urgent} others: {other_share:.2}");
    expect_that!(urgent_share + MARGIN, ge(other_share), "{urgent} urgent, {less_urgent} others");
    expect_that!(urgent_share, gt(0.0));
    (urgent_share, other_share)
}

#[gtest]
fn no_priority_class_is_served_less_often_than_a_less_urgent_one() {
    run_within(Duration::from_secs(60), async {
        // Twice what the endpoint can serve: with equal shares of both classes, and with the urgent class as a
        // twentieth and as nine tenths of it.
        let (urgent_share, other_share) = check_served_shares(100, 100).await;
        // Without ranks both classes would be served equally.
        expect_that!(urgent_share, gt(2.0 * other_share));
        check_served_shares(10, 190).await;
        check_served_shares(180, 20).await;
    });
}

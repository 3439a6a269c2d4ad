//! Urgent requests before less urgent ones, judged by what clients get: of the requests of one service, no kind may be
//! served less often than a less urgent kind by more than a twentieth of what was asked of it.

mod fixtures;

use fixtures::{TestProxy, Wire, post, run_within};
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

/// Requests that the endpoint works on at once.
const SLOTS: u32 = 4;
/// Time that it takes for one.
const WORK: Duration = Duration::from_millis(60);
/// Share of a kind by which a less urgent one may be ahead.
const MARGIN: f64 = 0.05;

/// The path of the urgent kind (priority 0), and of the less urgent one (priority 1).
const URGENT: &str = "/unsafe/";
const LESS_URGENT: &str = "/plain/";

/// An endpoint with a few slots that declines what exceeds them.
async fn endpoint() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
    let running = Rc::new(Cell::new(0));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(Wire::new(stream), running.clone()));
        }
    });
    address
}

async fn serve(mut wire: Wire, running: Rc<Cell<u32>>) {
    while let Some(request) = wire.message().await {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let head = if running.get() < SLOTS {
            running.set(running.get() + 1);
            sleep(WORK).await;
            running.set(running.get() - 1);
            format!("200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}")
        } else {
            format!("503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1")
        };
        wire.write(format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n")).await;
    }
}

async fn proxy() -> TestProxy {
    let proxy = TestProxy::unconfigured().await;
    let endpoint = Endpoint {
        instance_id: "i-1".into(),
        service: "s".into(),
        address: endpoint().await,
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

/// Sends requests of a kind, each `pause` after the one before; the share that is served.
async fn served_share(front: SocketAddr, path: &'static str, count: usize, pause: Duration) -> f64 {
    let mut requests = Vec::new();
    for number in 0..count {
        requests.push(spawn_local(async move {
            let id = format!("{}{number}", path.len());
            let mut client = Wire::open(front).await;
            client.write(post(path, &id, "Deadline-Remaining: 900\r\n", "body").bytes()).await;
            client.message().await.is_some_and(|answer| answer.status() == 200)
        }));
        sleep(pause).await;
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap());
    }
    served as f64 / count as f64
}

/// Counts of urgent and less urgent requests that arrive within a second; more than the endpoint can serve.
async fn check(urgent: usize, less_urgent: usize) -> (f64, f64) {
    let proxy = proxy().await;
    let second = Duration::from_secs(1);
    let (urgent_share, other_share) = tokio::join!(
        served_share(proxy.front, URGENT, urgent, second / urgent as u32),
        served_share(proxy.front, LESS_URGENT, less_urgent, second / less_urgent as u32),
    );
    println!("{urgent} urgent: {urgent_share:.2} served, {less_urgent} others: {other_share:.2}");
    expect_that!(urgent_share + MARGIN, ge(other_share), "{urgent} urgent, {less_urgent} others");
    expect_that!(urgent_share, gt(0.0));
    (urgent_share, other_share)
}

#[gtest]
fn no_kind_is_served_less_often_than_a_less_urgent_one() {
    run_within(Duration::from_secs(60), async {
        // Twice what the endpoint can serve: of both kinds alike, and with the urgent kind as a twentieth and as most of it.
        let (urgent_share, other_share) = check(100, 100).await;
        // Without ranks both would be served alike.
        expect_that!(urgent_share, gt(2.0 * other_share));
        check(10, 190).await;
        check(180, 20).await;
    });
}

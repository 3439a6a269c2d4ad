//! The cost of a request, of an idle sender and of its start, by the sender's own metrics. The numbers of requests
//! are fixed and small; `docs/cost.md` says how to have the costs printed.
use super::harness::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WARM_UP_REQUESTS: usize = 50;
const REQUESTS: usize = 200;
const BODY_BYTES: usize = 512;
const PENDING_MESSAGES: usize = 600;
const CLIENTS: usize = 100;

/// The budget of one request, slightly above the measured 3.0, 2.0, 64.6 and 16,069.
const MAX_WAKEUPS: f64 = 4.0;
const MAX_STEPS: f64 = 2.5;
const MAX_ALLOCATIONS: f64 = 66.0;
const MAX_ALLOCATED_BYTES: f64 = 16_300.0;
/// Resident memory of one more pending message, a few times its size because memory grows by whole pages.
const MAX_PENDING_MESSAGE_BYTES: f64 = 4_000.0;
/// Resident memory of one more idle client connection: its buffer of 8 KiB and its task.
const MAX_CLIENT_BYTES: f64 = 24_000.0;

/// The counters that measure the cost.
const COUNTERS: [&str; 6] = [
    "loop_wakeups_total",
    "steps_total",
    "allocations_total",
    "allocated_bytes_total",
    "process_cpu_seconds_total{mode=user}",
    "process_cpu_seconds_total{mode=system}",
];

/// A sender with an endpoint, and a client with a persistent connection.
struct Bench {
    node: Node,
    endpoint: MockServer,
    client: TcpStream,
    submitted: usize,
    _platform: Platform,
}

impl Bench {
    async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    async fn start_with(change: fn(&mut Value)) -> Self {
        let (endpoint, platform) = (MockServer::start().await, Platform::start().await);
        let member = member("s-1", endpoint.address, "single", "SERVING");
        let node = Node::start_with(&platform, &[member], change).await;
        let client = TcpStream::connect(node.address).await.unwrap();
        Self { node, endpoint, client, submitted: 0, _platform: platform }
    }

    /// Submits messages one after the other.
    async fn submit(&mut self, count: usize) {
        for _ in 0..count {
            let id = format!("{:016}", self.submitted);
            self.submitted += 1;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: keyed\r\nX-Remaining: 20.000\r\n\
                 X-Envelope: dest=7\r\nIdempotency-Key: {id}{id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n{}",
                "x".repeat(BODY_BYTES)
            );
            self.client.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(HttpMessage::read(&mut self.client).await.unwrap().status(), 202);
        }
    }

    /// Delivers messages one after the other.
    async fn deliver(&mut self, count: usize) {
        for _ in 0..count {
            self.submit(1).await;
            self.endpoint.next_call().await.ok();
            // Each is complete before the next one, as is usual among hundreds of senders.
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let submitted = self.submitted as f64;
        self.node.metrics_when(|f| f.finished("keyed", "completed") == submitted).await;
    }

    /// The increase of each counter by `work`, without that by a scrape.
    async fn measure(&mut self, work: impl AsyncFnOnce(&mut Self)) -> [f64; COUNTERS.len()] {
        let first = self.read().await;
        let before = self.read().await;
        work(self).await;
        let after = self.read().await;
        std::array::from_fn(|n| (after[n] - before[n]) - (before[n] - first[n]))
    }

    async fn read(&mut self) -> [f64; COUNTERS.len()] {
        let metrics = self.node.metrics().await;
        COUNTERS.map(|name| metrics.find(name).unwrap_or(0.0))
    }
}

fn print_cost(what: &str, divisor: f64, counted: &[f64; COUNTERS.len()]) {
    for (name, count) in COUNTERS.iter().zip(counted) {
        println!("cost: {what} {name} {:.6}", count / divisor);
    }
}

/// Guards against an unnoticed rise of the cost of a request.
#[tokio::test]
async fn a_request_stays_within_its_budget() {
    let mut bench = Bench::start().await;
    bench.deliver(WARM_UP_REQUESTS).await;
    let counted = bench.measure(async |bench| bench.deliver(REQUESTS).await).await;
    print_cost("request", REQUESTS as f64, &counted);
    let [wakeups, steps, allocations, bytes, ..] = counted.map(|count| count / REQUESTS as f64);
    assert!(wakeups < MAX_WAKEUPS, "{wakeups} iterations of the event loop");
    assert!(steps < MAX_STEPS, "{steps} steps");
    if cfg!(feature = "count-allocations") {
        assert!(allocations > 1.0 && allocations < MAX_ALLOCATIONS, "{allocations} allocations");
        assert!(bytes > BODY_BYTES as f64 && bytes < MAX_ALLOCATED_BYTES, "{bytes} bytes allocated");
    }
}

/// Guards against small messages that each keep a connection's whole buffer alive while they are pending.
#[tokio::test]
async fn a_pending_message_uses_little_more_memory_than_its_size() {
    let mut bench =
        Bench::start_with(|config| config["settings"]["limits"]["most_held"] = json!(1_000)).await;
    assert_eq!(bench.node.admin_request("exclude s-1").await, "done\n");
    bench.submit(100).await;
    let resident = |metrics: &Metrics| metrics.get("process_resident_memory_bytes");
    let before = resident(&bench.node.metrics().await);
    bench.submit(PENDING_MESSAGES).await;
    let after = bench.node.metrics().await;
    assert_eq!(after.get("pending"), (PENDING_MESSAGES + 100) as f64);
    let bytes_each = (resident(&after) - before) / PENDING_MESSAGES as f64;
    println!("cost: held message resident_bytes {bytes_each}");
    assert!(bytes_each < MAX_PENDING_MESSAGE_BYTES, "{bytes_each} bytes for each message of {BODY_BYTES}");
}

/// Guards against idle clients that each occupy far more memory than a request needs.
#[tokio::test]
async fn an_idle_client_uses_bounded_memory() {
    let bench = Bench::start().await;
    let mut clients = Vec::new();
    let mut resident = Vec::new();
    for _ in 0..2 {
        for _ in 0..CLIENTS {
            let mut client = TcpStream::connect(bench.node.address).await.unwrap();
            client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
            clients.push(client);
        }
        let metrics = bench.node.metrics().await;
        assert_eq!(metrics.get("descriptors{use=clients}"), clients.len() as f64 + 1.0);
        resident.push(metrics.get("process_resident_memory_bytes"));
    }
    let bytes_each = (resident[1] - resident[0]) / CLIENTS as f64;
    println!("cost: idle client resident_bytes {bytes_each}");
    assert!(bytes_each < MAX_CLIENT_BYTES, "{bytes_each} bytes for each idle client");
}

/// Guards against an idle sender that uses CPU time, or memory and descriptors that it does not need.
#[tokio::test]
async fn an_idle_sender_rarely_wakes_up() {
    let mut bench = Bench::start().await;
    let start = bench.node.metrics().await;
    print_cost("start", 1.0, &bench.read().await);
    println!("cost: start peak_bytes {}", start.get("process_peak_memory_bytes"));
    println!("cost: start descriptors {}", start.sum("descriptors"));
    bench.deliver(WARM_UP_REQUESTS).await;
    let counted = bench.measure(async |_| tokio::time::sleep(Duration::from_secs(3)).await).await;
    print_cost("second at rest", 3.0, &counted);
    let idle = bench.node.metrics().await;
    println!("cost: rest resident_bytes {}", idle.get("process_resident_memory_bytes"));
    println!("cost: rest descriptors {}", idle.sum("descriptors"));
    assert!(counted[0] / 3.0 < 3.0, "{} iterations of the event loop in three seconds", counted[0]);
}

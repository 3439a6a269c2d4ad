//! What a request costs one sender, at rest and at start, by its own figures. The numbers of requests are fixed and
//! small; `docs/cost.md` says how to have them printed.
use super::world::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WARM_UP: usize = 50;
const REQUESTS: usize = 200;
const BODY: usize = 512;
const HELD: usize = 600;
const CLIENTS: usize = 100;

/// The budget of one request: a little over what was measured: 3.0, 2.0, 64.6 and 16,069.
const MOST_WAKEUPS: f64 = 4.0;
const MOST_STEPS: f64 = 2.5;
const MOST_BLOCKS: f64 = 66.0;
const MOST_BYTES: f64 = 16_300.0;
/// Resident memory of one more message held, a few times its size: pages are coarse.
const MOST_HELD_BYTES: f64 = 4_000.0;
/// The same for a client's connection that is idle: its buffer of 8 KiB and the task round it.
const MOST_CLIENT_BYTES: f64 = 24_000.0;

/// The counters that tell a cost.
const COUNTERS: [&str; 6] = [
    "loop_wakeups_total",
    "steps_total",
    "allocations_total",
    "allocated_bytes_total",
    "process_cpu_seconds_total{mode=user}",
    "process_cpu_seconds_total{mode=system}",
];

/// A sender with an endpoint, and a client on a kept connection.
struct Bench {
    node: Node,
    endpoint: Peer,
    client: TcpStream,
    sent: usize,
    _platform: Platform,
}

impl Bench {
    async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    async fn start_with(change: fn(&mut Value)) -> Self {
        let (endpoint, platform) = (Peer::start().await, Platform::start().await);
        let member = member("s-1", endpoint.address, "single", "SERVING");
        let node = Node::start_with(&platform, &[member], change).await;
        let client = TcpStream::connect(node.address).await.unwrap();
        Self { node, endpoint, client, sent: 0, _platform: platform }
    }

    /// Hands in so many messages, one after the other.
    async fn hand_in(&mut self, count: usize) {
        for _ in 0..count {
            let id = format!("{:016}", self.sent);
            self.sent += 1;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: keyed\r\nX-Remaining: 20.000\r\n\
                 X-Envelope: dest=7\r\nIdempotency-Key: {id}{id}\r\nContent-Length: {BODY}\r\n\r\n{}",
                "x".repeat(BODY)
            );
            self.client.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(Http::read(&mut self.client).await.unwrap().status(), 202);
        }
    }

    /// Delivers so many messages, one after the other.
    async fn deliver(&mut self, count: usize) {
        for _ in 0..count {
            self.hand_in(1).await;
            self.endpoint.call().await.ok();
            // Its end is known before the next one comes, as among hundreds of senders.
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let all = self.sent as f64;
        self.node.figures_once(|f| f.ended("keyed", "completed") == all).await;
    }

    /// What `work` adds to each counter, less what a scrape does.
    async fn measure(&mut self, work: impl AsyncFnOnce(&mut Self)) -> [f64; COUNTERS.len()] {
        let first = self.read().await;
        let before = self.read().await;
        work(self).await;
        let after = self.read().await;
        std::array::from_fn(|n| (after[n] - before[n]) - (before[n] - first[n]))
    }

    async fn read(&mut self) -> [f64; COUNTERS.len()] {
        let figures = self.node.figures().await;
        COUNTERS.map(|name| figures.find(name).unwrap_or(0.0))
    }
}

fn print(what: &str, per: f64, counted: &[f64; COUNTERS.len()]) {
    for (name, count) in COUNTERS.iter().zip(counted) {
        println!("cost: {what} {name} {:.6}", count / per);
    }
}

/// Guards against a request that comes to cost more without anybody's notice.
#[tokio::test]
async fn a_request_keeps_to_its_budget() {
    let mut bench = Bench::start().await;
    bench.deliver(WARM_UP).await;
    let counted = bench.measure(async |bench| bench.deliver(REQUESTS).await).await;
    print("request", REQUESTS as f64, &counted);
    let [wakeups, steps, blocks, bytes, ..] = counted.map(|count| count / REQUESTS as f64);
    assert!(wakeups < MOST_WAKEUPS, "{wakeups} turns of the loop");
    assert!(steps < MOST_STEPS, "{steps} steps");
    if cfg!(feature = "count-allocations") {
        assert!(blocks > 1.0 && blocks < MOST_BLOCKS, "{blocks} blocks of memory");
        assert!(bytes > BODY as f64 && bytes < MOST_BYTES, "{bytes} bytes of memory");
    }
}

/// Guards against small messages that each keep a connection's whole buffer for as long as they are held.
#[tokio::test]
async fn a_held_message_takes_little_more_than_its_size() {
    let mut bench =
        Bench::start_with(|config| config["settings"]["limits"]["most_held"] = json!(1_000)).await;
    assert_eq!(bench.node.staff("exclude s-1").await, "done\n");
    bench.hand_in(100).await;
    let resident = |figures: &Figures| figures.get("process_resident_memory_bytes");
    let before = resident(&bench.node.figures().await);
    bench.hand_in(HELD).await;
    let after = bench.node.figures().await;
    assert_eq!(after.get("pending"), (HELD + 100) as f64);
    let each = (resident(&after) - before) / HELD as f64;
    println!("cost: held message resident_bytes {each}");
    assert!(each < MOST_HELD_BYTES, "{each} bytes for each message of {BODY}");
}

/// Guards against idle clients that each hold far more than a request needs.
#[tokio::test]
async fn an_idle_client_takes_a_bounded_part_of_the_memory() {
    let bench = Bench::start().await;
    let mut clients = Vec::new();
    let mut resident = Vec::new();
    for _ in 0..2 {
        for _ in 0..CLIENTS {
            let mut client = TcpStream::connect(bench.node.address).await.unwrap();
            client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            assert_eq!(Http::read(&mut client).await.unwrap().status(), 200);
            clients.push(client);
        }
        let figures = bench.node.figures().await;
        assert_eq!(figures.get("descriptors{use=clients}"), clients.len() as f64 + 1.0);
        resident.push(figures.get("process_resident_memory_bytes"));
    }
    let each = (resident[1] - resident[0]) / CLIENTS as f64;
    println!("cost: idle client resident_bytes {each}");
    assert!(each < MOST_CLIENT_BYTES, "{each} bytes for each idle client");
}

/// Guards against a sender that spends time on nothing, or holds what it does not need.
#[tokio::test]
async fn a_sender_at_rest_does_next_to_nothing() {
    let mut bench = Bench::start().await;
    let start = bench.node.figures().await;
    print("start", 1.0, &bench.read().await);
    println!("cost: start peak_bytes {}", start.get("process_peak_memory_bytes"));
    println!("cost: start descriptors {}", start.sum("descriptors"));
    bench.deliver(WARM_UP).await;
    let counted = bench.measure(async |_| tokio::time::sleep(Duration::from_secs(3)).await).await;
    print("second at rest", 3.0, &counted);
    let rest = bench.node.figures().await;
    println!("cost: rest resident_bytes {}", rest.get("process_resident_memory_bytes"));
    println!("cost: rest descriptors {}", rest.sum("descriptors"));
    assert!(counted[0] / 3.0 < 3.0, "{} turns of the loop in three seconds", counted[0]);
}

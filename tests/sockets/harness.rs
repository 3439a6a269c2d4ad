//! Test harness: a sender process, and mock servers that pass the requests they receive to the test to be answered.
use prometheus_parse::Value as Sample;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Far longer than any step of a test takes, so only a failing test waits for it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or a response.
#[derive(Debug)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads a message; none if the connection ends before it is complete.
    pub async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        let head = loop {
            if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            stream.read_buf(&mut bytes).await.ok().filter(|read| *read > 0)?;
        };
        let text = String::from_utf8(bytes[..head].to_vec()).unwrap();
        let mut lines = text.split("\r\n").map(str::to_owned);
        let start_line = lines.next().unwrap();
        let headers =
            lines.map(|l| l.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_owned())).unwrap());
        let mut http =
            HttpMessage { start_line, headers: headers.collect(), body: bytes.split_off(head + 4) };
        let length = http.header("content-length").map_or(0, |l| l.parse().unwrap());
        while http.body.len() < length {
            stream.read_buf(&mut http.body).await.ok().filter(|read| *read > 0)?;
        }
        Some(http)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// How a mock server handles a request.
pub enum Reply {
    Response(String),
    Disconnect,
}

pub fn response(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Response(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// A received request that the test has to answer. Dropping it closes the connection.
pub struct Call {
    pub http: HttpMessage,
    reply: oneshot::Sender<Reply>,
}

impl Call {
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }

    pub fn ok(self) {
        self.reply(response("200 OK", "", ""));
    }

    pub fn id(&self) -> &str {
        self.http.header("x-txn").unwrap()
    }
}

/// An HTTP server on a port of its own, whose requests the test answers.
pub struct MockServer {
    pub address: SocketAddr,
    calls: mpsc::UnboundedReceiver<Call>,
}

impl MockServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (to_test, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, to_test.clone()));
            }
        });
        Self { address, calls }
    }

    pub async fn next_call(&mut self) -> Call {
        timeout(TEST_TIMEOUT, self.calls.recv()).await.expect("a call").unwrap()
    }

    /// Whether no call arrives for `span`.
    pub async fn no_call_for(&mut self, span: Duration) -> bool {
        timeout(span, self.calls.recv()).await.is_err()
    }
}

async fn serve(mut stream: TcpStream, to_test: mpsc::UnboundedSender<Call>) {
    while let Some(http) = HttpMessage::read(&mut stream).await {
        let (reply, replied) = oneshot::channel();
        if to_test.send(Call { http, reply }).is_err() {
            return;
        }
        match replied.await {
            Ok(Reply::Response(text)) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Ok(Reply::Disconnect) | Err(_) => return,
        }
    }
}

/// Mock of the discovery agent and of the platform. It rejects notices of ids that contain "unreadable".
pub struct Platform {
    pub address: SocketAddr,
    notices: mpsc::UnboundedReceiver<Value>,
    changes: mpsc::UnboundedSender<Value>,
    /// While set, notices are read, but neither recorded nor acknowledged.
    pub ignore_notices: Arc<AtomicBool>,
    list_requests: Arc<AtomicUsize>,
}

impl Platform {
    pub async fn start() -> Self {
        let mut server = MockServer::start().await;
        let address = server.address;
        let (to_notices, notices) = mpsc::unbounded_channel();
        let (changes, mut queued_changes) = mpsc::unbounded_channel::<Value>();
        let ignore_notices = Arc::new(AtomicBool::new(false));
        let ignoring = ignore_notices.clone();
        let list_requests = Arc::<AtomicUsize>::default();
        let request_count = list_requests.clone();
        tokio::spawn(async move {
            let mut watch: Option<Call> = None;
            let mut pending_change: Option<Value> = None;
            loop {
                tokio::select! {
                    change = queued_changes.recv() => match change {
                        Some(change) => pending_change = Some(change),
                        None => return,
                    },
                    call = server.calls.recv() => {
                        let Some(call) = call else { return };
                        if call.http.start_line.starts_with("GET /api/targets") {
                            watch = Some(call);
                            request_count.fetch_add(1, Ordering::SeqCst);
                        } else if ignoring.load(Ordering::SeqCst) {
                            call.reply(Reply::Disconnect);
                        } else if call.http.body.windows(10).any(|bytes| bytes == b"unreadable") {
                            call.reply(response("400 Bad Request", "", ""));
                        } else {
                            for line in call.http.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
                                let _ = to_notices.send(serde_json::from_slice(line).unwrap());
                            }
                            call.reply(response("204 No Content", "", ""));
                        }
                    }
                }
                if watch.is_some()
                    && let Some(change) = pending_change.take()
                {
                    watch.take().unwrap().reply(response("200 OK", "", &change.to_string()));
                }
            }
        });
        Self { address, notices, changes, ignore_notices, list_requests }
    }

    pub async fn next_notice(&mut self) -> Value {
        timeout(TEST_TIMEOUT, self.notices.recv()).await.expect("a notice").unwrap()
    }

    /// The final states of this many messages, by id. A notice may arrive more than once.
    pub async fn final_states(&mut self, count: usize) -> BTreeMap<String, String> {
        let mut states = BTreeMap::new();
        while states.len() < count {
            let notice = self.next_notice().await;
            let text = |field: &str| notice[field].as_str().unwrap().to_owned();
            states.insert(text("id"), text("state"));
        }
        states
    }

    /// The final state of a message; skips the notices of others.
    pub async fn final_state(&mut self, id: &str) -> String {
        loop {
            let notice = self.next_notice().await;
            if notice["id"] == id {
                return notice["state"].as_str().unwrap().to_owned();
            }
        }
    }

    /// Number of requests for the endpoint list so far.
    pub fn list_requests(&self) -> usize {
        self.list_requests.load(Ordering::SeqCst)
    }

    /// Waits until there were more than `before` requests for the list, for example by a new process.
    pub async fn wait_for_list_request(&self, before: usize) {
        let requested = async {
            while self.list_requests() <= before {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(TEST_TIMEOUT, requested).await.expect("a request for the list");
    }

    /// Answers the pending or next watch with a change of the list.
    pub fn send_list_change(&self, members: &[Value]) {
        let change = json!({"revision": 2, "complete": false, "members": members});
        self.changes.send(change).unwrap();
    }
}

/// An endpoint of destination 7, of the kind `single` or `batching`; the latter accepts five messages in a call.
pub fn member(id: &str, address: SocketAddr, flavor: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": flavor, "cell": 7,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A sender: its state folder, its configuration, and its process while that runs.
pub struct Node {
    folder: Arc<TempDir>,
    pub config: Value,
    process: Option<Child>,
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    /// Log lines since it started listening.
    log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    pub async fn start(platform: &Platform, members: &[Value]) -> Self {
        Self::start_with(platform, members, |_| {}).await
    }

    pub async fn start_with(platform: &Platform, members: &[Value], change: fn(&mut Value)) -> Self {
        let lane = |name: &str, repeat: &str, fifo: bool| {
            json!({"name": name, "aim": 1_000_000, "hard_limit": 30_000_000, "worth": 1.0, "late_value": 0.3,
                "repeat": repeat, "group": "all", "key_ttl": 20_000_000, "fifo_by_key": fifo})
        };
        let mut config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": platform.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"revision": 1, "complete": true, "members": members},
            "settings": {
                "azs": ["a", "b"], "zone": "a", "discovery": "pushed", "fleet_size": 1,
                "kinds": ["single", "batching"],
                "lanes": [lane("unsafe", "fragile", false), lane("keyed", "dedup", false), lane("ordered", "dedup", true)],
                "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000, "max_attempts": 6,
                    "most_held": 50, "probes": false},
                "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                    "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
                "specifics": {"bundle_max": [1, 5], "kind_apart": [false, true], "decay": "even", "max_calls": 8},
                "tenants": [{"name": "acme", "allowance_per_s": 10.0}],
                "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
            }
        });
        change(&mut config);
        let mut node = Self {
            folder: Arc::new(tempfile::tempdir().unwrap()),
            config,
            process: None,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            admin_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            log: Arc::default(),
        };
        node.start_process().await;
        node
    }

    /// A second process with the same folder, not yet started.
    pub fn second_process(&self) -> Self {
        Self {
            folder: self.folder.clone(),
            config: self.config.clone(),
            process: None,
            log: Arc::default(),
            ..*self
        }
    }

    /// Starts the process with the present contents of its folder, and waits until it serves.
    pub async fn start_process(&mut self) {
        let file = self.folder.path().join("config.json");
        std::fs::write(&file, self.config.to_string()).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_message-sender"))
            .env("PROXY_CONFIG", &file)
            .env("PROXY_STATE", self.folder.path())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        self.process = Some(process);
        let (to_test, addresses) = oneshot::channel();
        let log_lines = self.log.clone();
        std::thread::spawn(move || {
            let mut find = |start: &str| log.find_map(|line| line.strip_prefix(start).map(str::to_owned));
            let _ = to_test.send((find("second address: "), find("listening on ")));
            // Keep reading, so that the process never blocks on a full pipe.
            log.for_each(|line| {
                println!("sender: {line}");
                log_lines.lock().unwrap().push(line);
            });
        });
        let (admin_address, address) =
            timeout(TEST_TIMEOUT, addresses).await.expect("the addresses in the log").unwrap();
        self.admin_address = admin_address.expect("a second address").parse().unwrap();
        self.address = address.expect("a listening sender").parse().unwrap();
        while self.admin_request("readyz").await != "done\n" {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Suspends the process with SIGSTOP: it answers nothing, and does not exit.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Starts an orderly shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.as_ref().unwrap().id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits until the process exits, and returns whether its status was success.
    pub async fn exits_cleanly(&mut self) -> bool {
        let mut process = self.process.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || process.wait().unwrap().success());
        timeout(TEST_TIMEOUT, wait).await.expect("an exit").unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.try_wait().unwrap().is_none())
    }

    /// Writes `text` to the configuration file, and has the process reload it with SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
        self.signal("HUP");
    }

    /// The configuration with another address of discovery.
    pub fn config_with_discovery(&self, discovery: SocketAddr) -> String {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.to_string());
        config.to_string()
    }

    /// Waits for the first log line with this prefix.
    pub async fn wait_for_log(&self, start: &str) -> String {
        let found = async {
            loop {
                let line = self.log.lock().unwrap().iter().find(|line| line.starts_with(start)).cloned();
                match line {
                    Some(line) => return line,
                    None => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
        };
        timeout(TEST_TIMEOUT, found).await.expect("a line of the log")
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.process.as_ref().unwrap().id());
        std::fs::read_dir(folder).unwrap().count()
    }

    pub fn journal(&self) -> std::path::PathBuf {
        self.folder.path().join("messages.wal")
    }

    /// Sends a line to the admin endpoint, and returns the answer.
    pub async fn admin_request(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.admin_address).await.unwrap();
        stream.write_all(format!("{line}\n").as_bytes()).await.unwrap();
        let mut answer = String::new();
        timeout(TEST_TIMEOUT, stream.read_to_string(&mut answer)).await.expect("an answer").unwrap();
        answer
    }

    /// The metrics of `telemetry`, read by an independent parser and checked to add up.
    pub async fn metrics(&self) -> Metrics {
        let text = self.admin_request("telemetry").await;
        Metrics::read(&text)
    }

    /// Waits until the metrics satisfy `condition`, and returns them.
    pub async fn metrics_when(&self, condition: impl Fn(&Metrics) -> bool) -> Metrics {
        let deadline = tokio::time::Instant::now() + TEST_TIMEOUT;
        loop {
            let metrics = self.metrics().await;
            if condition(&metrics) {
                return metrics;
            }
            assert!(tokio::time::Instant::now() < deadline, "{metrics:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Submits a message for destination 7, whose body is its id.
    pub async fn submit(&self, id: &str, class: &str, key: &str) -> HttpMessage {
        self.submit_with_deadline(id, class, key, "30.0").await
    }

    /// Like `submit`, with the remaining time until the deadline in seconds.
    pub async fn submit_with_deadline(
        &self,
        id: &str,
        class: &str,
        key: &str,
        remaining: &str,
    ) -> HttpMessage {
        let head = format!(
            "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\nX-Entity: {key}\r\nX-Remaining: {remaining}\r\n\
             X-Envelope: dest=7\r\nIdempotency-Key: idem-{id}\r\n"
        );
        self.request("POST /api", &head, id.as_bytes()).await
    }

    pub async fn request(&self, method_and_path: &str, headers: &str, body: &[u8]) -> HttpMessage {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let head = format!(
            "{method_and_path} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        // A sender may reject a request before it has read the body.
        let _ = stream.write_all(body).await;
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream))
            .await
            .expect("an answer")
            .expect("a complete answer")
    }
}

/// The samples of a scrape by name and labels, written as in its text without the prefix.
#[derive(Debug)]
pub struct Metrics(HashMap<String, f64>);

impl Metrics {
    pub fn read(text: &str) -> Self {
        let text = text.strip_suffix("end\n").unwrap_or_else(|| panic!("no end: {text:?}"));
        let scrape = prometheus_parse::Scrape::parse(text.lines().map(|line| Ok(line.to_owned()))).unwrap();
        let mut values = HashMap::new();
        for sample in scrape.samples {
            let name = sample.metric.strip_prefix("sender_").expect("the prefix");
            // The parser returns a histogram's sum and count as separate samples.
            let family = ["_sum", "_count"].iter().find_map(|end| sample.metric.strip_suffix(end));
            let family = family.unwrap_or(&sample.metric);
            assert!(scrape.docs.contains_key(family), "{name} lacks HELP");
            let mut labels: Vec<String> = sample.labels.iter().map(|(l, v)| format!("{l}={v}")).collect();
            labels.sort();
            let labels = if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) };
            let value = match sample.value {
                Sample::Counter(value) => {
                    assert!(name.ends_with("_total"), "{name}");
                    value
                }
                Sample::Gauge(value) => value,
                Sample::Histogram(buckets) => {
                    assert!(buckets.is_sorted_by(|a, b| a.less_than < b.less_than && a.count <= b.count));
                    buckets.last().expect("a bucket").count
                }
                Sample::Untyped(value) if family != sample.metric => value,
                other => panic!("{name} lacks TYPE: {other:?}"),
            };
            assert!(values.insert(format!("{name}{labels}"), value).is_none(), "{name}{labels} occurs twice");
        }
        let metrics = Self(values);
        let finished = metrics.sum("downstream_requests_total");
        assert_eq!(metrics.sum("taken_on_total"), finished + metrics.get("pending"), "{metrics:?}");
        assert_eq!(metrics.get("answer_seconds"), finished, "{metrics:?}");
        metrics
    }

    pub fn get(&self, name: &str) -> f64 {
        self.find(name).unwrap_or_else(|| panic!("{name} is missing: {self:?}"))
    }

    pub fn find(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// The sum over all label values.
    pub fn sum(&self, name: &str) -> f64 {
        let has_name = |key: &&String| key.strip_prefix(name).is_some_and(|rest| rest.starts_with('{'));
        self.0.keys().filter(has_name).map(|key| self.0[key]).sum()
    }

    /// Number of messages of a class with this final outcome.
    pub fn finished(&self, lane: &str, result: &str) -> f64 {
        self.get(&format!("downstream_requests_total{{lane={lane},result={result}}}"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

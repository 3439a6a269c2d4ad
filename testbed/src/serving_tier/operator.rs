//! The stand-in operator.
use super::history::{Recorder, TOKENS_PER_EVENT};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::header::{CONTENT_TYPE, IF_MATCH};
use message_sender::net::connection::{Connection, request};
use serde_json::json;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The host of all routes.
pub const HOST: &str = "tier.example";
/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next sender is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The configuration: turns and orders, and with `lookups` a third route, all on the services of the run.
pub fn configuration(version: u64, lookups: bool) -> Bytes {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "hostname": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 3})
    };
    let mut turns = route("turns", "streaming", "engine");
    turns["retained"] = json!(true);
    turns["retention_s"] = json!(60.0);
    turns["session_affinity"] = json!(true);
    turns["gap_aim_ms"] = json!(400);
    let mut routes = vec![turns, route("orders", "non_idempotent", "orders")];
    if lookups {
        routes.push(route("lookups", "idempotent", "lookups"));
    }
    let service = |name: &str| json!({"name": name, "health_check_path": "/health", "max_connections": 200});
    let mut engine = service("engine");
    engine["engine"] = json!({"capacity_slots": 8, "kv_cache_tokens": 200_000,
        "tokens_per_event": TOKENS_PER_EVENT, "models": [{"name": "m"}]});
    let text = json!({
        "version": version, "routes": routes, "services": [engine, service("orders"), service("lookups")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
    });
    text.to_string().into()
}

/// The operator, with the senders that it knows.
pub struct Operator {
    control_nodes: Vec<SocketAddrV4>,
    recorder: Arc<Recorder>,
}

impl Operator {
    /// One that knows these.
    pub fn new(control_nodes: Vec<SocketAddrV4>, recorder: Arc<Recorder>) -> Self {
        Self { control_nodes, recorder }
    }

    async fn call(
        &self,
        control_node: SocketAddrV4,
        method: Method,
        on: Option<u64>,
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let head = || {
            let head = request(method.clone(), "/sedgewood/config", control_node.into());
            match on {
                Some(on) => head.header(IF_MATCH, on).header(CONTENT_TYPE, "application/json"),
                None => head,
            }
        };
        let exchange = async {
            let (_kept, response) =
                Connection::exchange(None, control_node.into(), CALL_TIMEOUT, head, body.clone())
                    .await
                    .ok()?;
            let status = response.status().as_u16();
            Some((status, response.into_body().collect().await.ok()?.to_bytes()))
        };
        timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Sends a configuration on top of version `on` to one control node after another, until it is acknowledged or `max_wait`
    /// is over; whether it was.
    pub async fn put(&self, version: u64, on: u64, body: Bytes, max_wait: Duration) -> bool {
        self.recorder.lock().configurations.sent.push((version, body.clone()));
        let until = Instant::now() + max_wait;
        for control_node in self.control_nodes.iter().cycle() {
            match self.call(*control_node, Method::PUT, Some(on), body.clone()).await {
                Some((200, _)) => {
                    self.recorder.lock().configurations.acknowledged.push(version);
                    self.recorder
                        .event(format!("configuration {version} acknowledged by {}", control_node.ip()));
                    return true;
                }
                Some((status @ (400 | 409 | 412 | 413 | 422), text)) => {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    self.recorder.event(format!("configuration {version} refused: {status} {text}"));
                    return false;
                }
                Some((status, _)) => {
                    self.recorder
                        .event(format!("configuration {version}: {status} from {}", control_node.ip()));
                }
                None => {}
            }
            if Instant::now() >= until {
                break;
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }

    /// Reads the configuration back, from one control node after another until one gives it.
    pub async fn read(&self, max_wait: Duration) {
        let until = Instant::now() + max_wait;
        for control_node in self.control_nodes.iter().cycle() {
            if let Some((200, body)) = self.call(*control_node, Method::GET, None, Bytes::new()).await {
                self.recorder.lock().configurations.read = Some(body);
                return;
            }
            if Instant::now() >= until {
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

//! The operator's configuration: routes, services and limits, as a JSON document.
//!
//! [`OperatorConfig::read`] parses and validates a document, reports all findings together, and builds the routing table.
//! Unknown fields are ignored, for compatibility with later releases. Whether a version may follow the current one, and
//! when a configuration is applied, is left to the caller.
//!
//! ```
//! use operator_config::OperatorConfig;
//!
//! let document = br#"{
//!     "version": 1,
//!     "services": [{ "name": "chat" }],
//!     "routes": [
//!         { "hostname": "api.example", "path_prefix": "/", "timeout_ms": 1000, "service": "chat" }
//!     ]
//! }"#;
//! let config = OperatorConfig::read(document)?;
//! let route = config.route("API.example:443", "/v1/messages?stream=1").unwrap();
//! assert_eq!(route.pick_service(7), "chat");
//! # Ok::<(), operator_config::Findings>(())
//! ```

mod difference;
mod form;
mod read;
mod table;

pub use difference::difference;

use config_fields::CollectFindings;
use sha2::{Digest, Sha256};
use std::fmt;
use table::RouteTable;

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Version, above 0; 0 only in the empty default, before any configuration was applied.
    pub version: u64,
    /// The routes. Later changes of them do not affect [`OperatorConfig::route`], which uses a table built on reading.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on the requests of clients.
    pub limits: Limits,
    table: RouteTable,
}

/// Whether requests of a route may be retried, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once for each attempt of a client. The default.
    NonIdempotent,
    /// Like `NonIdempotent`; the answer is a stream of events.
    Streaming,
}

/// A route: the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name; empty if it has none.
    pub name: String,
    /// Host of its requests, as written in the document.
    pub hostname: String,
    /// Prefix of the paths of its requests; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Time-out of a request, in ms, above 0.
    pub timeout_ms: u64,
    /// Latency target: the time within which an answer has its full value, in ms; by default `timeout_ms`.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Its services with their weights, whose sum is above 0.
    pub split: Vec<WeightedService>,
    /// Maximum number of endpoints to which one attempt of a client is sent, at least 1.
    pub max_attempts: u32,
    /// Whether its turns are stored.
    pub retained: bool,
    /// Time for which turns are stored, in ms.
    pub retention_ms: u64,
    /// Whether its requests name the blocks of their prompt, for affinity to endpoints with a cached prefix.
    pub session_affinity: bool,
    /// Whether its streams can be resumed.
    pub resumable: bool,
    /// Target for the maximum time between two events of a stream, in ms; `gap_aim_ms` in the document.
    pub max_event_gap_ms: Option<u64>,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A service: a set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// HTTP path of its endpoints' health checks.
    pub health_check_path: String,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Inference engine of its endpoints, if they generate tokens.
    pub engine: Option<Engine>,
}

/// Parameters of the inference engine of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub capacity_slots: u32,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prefixes.
    pub kv_cache_tokens: u64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on the requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time-out for receiving a request's headers, in ms.
    pub header_timeout_ms: u64,
    /// Idle time after which a connection is closed, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A problem in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// Path of the field, such as `routes[3].timeout_ms`; `document` for the document itself.
    #[serde(rename = "place")]
    pub path: String,
    /// Description of the problem.
    #[serde(rename = "what")]
    pub problem: String,
}

/// All problems in a configuration; displayed as one line each.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let line_end = if index == 0 { "" } else { "\n" };
            write!(formatter, "{line_end}{}: {}", finding.path, finding.problem)?;
        }
        Ok(())
    }
}

impl Findings {
    /// The findings as a JSON object with a list `findings` of objects with `place` and `what`.
    pub fn to_json(&self) -> String {
        serde_json::json!({ "findings": self.0 }).to_string()
    }
}

impl CollectFindings for Findings {
    fn add(&mut self, path: String, problem: impl Into<String>) {
        self.0.push(Finding { path, problem: problem.into() });
    }
}

impl OperatorConfig {
    /// Parses and validates a configuration in JSON. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// With all findings, if the configuration is invalid.
    pub fn read(bytes: &[u8]) -> Result<Self, Findings> {
        read::read(bytes)
    }

    /// The route of a request: the one of its host with the longest prefix of the path. The port and case of the host and
    /// a query in the path are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(self.table.find(host, path)?)
    }

    /// The longest time for which turns of a route are stored, in ms.
    pub fn longest_retention_ms(&self) -> u64 {
        self.routes.iter().map(|route| route.retention_ms).max().unwrap_or(0)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// Picks a service by weight. `random` must be uniformly distributed; equal values pick the same service. Services
    /// of weight 0 are never picked. Returns an empty name only if the weights sum to 0, which validation rules out.
    pub fn pick_service(&self, random: u64) -> &str {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = random.checked_rem(total).unwrap_or(0);
        for share in &self.split {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        ""
    }
}

/// SHA-256 digest of a configuration's bytes as sent.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

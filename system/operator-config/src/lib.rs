//! The operator's configuration: it is read, checked with all findings told together, and turned into a table of
//! routes. Whether its version may follow the current one is for the caller to judge.

mod difference;
mod form;
mod read;
mod table;

pub use difference::difference;

use config_fields::CollectFindings;
use sha2::{Digest, Sha256};
use std::fmt;
use table::RouteTable;

/// A configuration without fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Its number, above 0; 0 in the empty default, before any was taken.
    pub version: u64,
    /// The routes. [`OperatorConfig::route`] goes by what they were when the configuration was read.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// What clients may send, and how long they may take.
    pub limits: Limits,
    table: RouteTable,
}

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each try of a client. So it is where the type is not given.
    NonIdempotent,
    /// Like `NonIdempotent`; the answer is a series of events.
    Streaming,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name; empty if it has none.
    pub name: String,
    /// The host of its requests, as given.
    pub hostname: String,
    /// What the paths of its requests begin with; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time that a request may be held, above 0.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth; `timeout_ms` if not given.
    pub target_latency_ms: u64,
    /// Its rank, 0 being highest.
    pub priority: u8,
    /// Its services by weight; their sum is above 0.
    pub split: Vec<WeightedService>,
    /// The largest number of endpoints to which one try may be sent, at least 1.
    pub max_attempts: u32,
    /// Whether its turns are kept.
    pub retained: bool,
    /// How long they are kept.
    pub retention_ms: u64,
    /// Whether its requests name the parts of their prompt.
    pub session_affinity: bool,
    /// Whether its streams can be resumed.
    pub resumable: bool,
    /// The longest pause between events for which an answer remains in time.
    pub max_event_gap_ms: Option<u64>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its weight against the route's others.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its endpoints' health checks.
    pub health_check_path: String,
    /// How many connections one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// How its endpoints generate, if they do.
    pub engine: Option<Engine>,
}

/// How the endpoints of a service generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// How many requests run in a batch.
    pub capacity_slots: u32,
    /// Tokens that running requests and cached parts share.
    pub kv_cache_tokens: u64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// What clients may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of a request's head.
    pub max_header_bytes: u64,
    /// Size of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head to arrive.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle.
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

/// Something wrong in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// Where, such as `routes[3].timeout_ms`; `document` for the whole.
    pub place: String,
    /// What.
    pub what: String,
}

/// All that is wrong in a configuration; it shows as one line each.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            let line_end = if index == 0 { "" } else { "\n" };
            write!(formatter, "{line_end}{}: {}", finding.place, finding.what)?;
        }
        Ok(())
    }
}

impl Findings {
    /// As a JSON object with a list `findings` of `place` and `what`.
    pub fn to_json(&self) -> String {
        serde_json::json!({ "findings": self.0 }).to_string()
    }
}

impl CollectFindings for Findings {
    fn add(&mut self, place: String, what: impl Into<String>) {
        self.0.push(Finding { place, what: what.into() });
    }
}

impl OperatorConfig {
    /// Reads and checks a configuration as sent, in JSON. Fields that are not known are passed over.
    pub fn read(bytes: &[u8]) -> Result<Self, Findings> {
        read::read(bytes)
    }

    /// The route of a request: of those of the host, the one with the longest prefix that begins the path. A port in
    /// the host, its case, and a query in the path have no effect.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(self.table.find(host, path)?)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// The service for a request, by weight: `draw` is spread evenly by the caller, and the same one gives the same
    /// service. Services of weight 0 are never picked. Empty if the route has no weight, which no route that was read has.
    pub fn pick_service(&self, draw: u64) -> &str {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw.checked_rem(total).unwrap_or(0);
        for share in &self.split {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        ""
    }
}

/// SHA-256 of a configuration's bytes as sent.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

//! Faulty endpoints, sound ones, and the platform that lists them.
use super::form::{FaultyAnswer, Form};
use crate::fleet::{FleetError, io};
use crate::misbehaving_clients::report::Report;
use crate::misbehaving_clients::stand_in;
use crate::serving_tier::endpoints::{Endpoint, Platform, mixed};
use crate::serving_tier::history::Kind;
use crate::serving_tier::load::Load;
use crate::serving_tier::operator::configuration;
use bytes::Bytes;
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time for the long answer, in milliseconds. Whether it passes is checked, and not how fast the machine is.
pub(crate) const LONG_ANSWER_DEADLINE_MS: u64 = 30_000;
/// The service of the faulty endpoints.
pub const FAULTY_SERVICE: &str = "faulty";
/// Numbers of the faulty endpoints, after those of the sound ones.
const FAULTY_ENDPOINTS: std::ops::Range<u8> = 10..12;
/// Requests that a faulty endpoint takes at once, as the platform's list states.
const FAULTY_SLOTS: usize = 400;
/// The most that is read of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// A faulty answer that nobody reads ends after this.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(30);
/// Length of a chunk of a sound endpoint's long answer, in bytes.
pub(crate) const LONG_ANSWER_CHUNK: usize = 16 * 1024;
/// Chunks of that answer.
pub(crate) const LONG_ANSWER_CHUNKS: usize = 512;
/// Length of that answer, in bytes.
pub const LONG_ANSWER_BYTES: usize = LONG_ANSWER_CHUNKS * LONG_ANSWER_CHUNK;

/// The kinds of route to the faulty service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultyRoute {
    /// Requests that may be repeated.
    Idempotent,
    /// Requests that run once.
    NonIdempotent,
    /// Streams.
    Streaming,
    /// Streams that may be resumed.
    Resumable,
    /// Turns, which are stored.
    Retained,
}

impl FaultyRoute {
    /// Each kind.
    pub const ALL: [Self; 5] =
        [Self::Idempotent, Self::NonIdempotent, Self::Streaming, Self::Resumable, Self::Retained];

    /// The first segment of its paths, which is the route's name as well.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "faulty-idempotent",
            Self::NonIdempotent => "faulty-non-idempotent",
            Self::Streaming => "faulty-streaming",
            Self::Resumable => "faulty-resumable",
            Self::Retained => "faulty-retained",
        }
    }

    fn route_type(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming | Self::Resumable | Self::Retained => "streaming",
        }
    }

    fn fields(self, host: &Value) -> Value {
        let mut route = json!({"name": self.name(), "hostname": host, "path_prefix": format!("/{}/", self.name()),
            "route_type": self.route_type(), "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1,
            "service": FAULTY_SERVICE, "max_attempts": 3});
        if self.route_type() == "streaming" {
            route["gap_aim_ms"] = json!(400);
            route["resumable"] = json!(self == Self::Resumable);
        }
        if self == Self::Retained {
            route["retained"] = json!(true);
            route["retention_s"] = json!(60.0);
        }
        route
    }
}

/// The configuration of a small tier with routes of each kind to the faulty service.
pub fn configuration_with_faulty_routes(version: u64) -> Bytes {
    let mut config: Value = serde_json::from_slice(&configuration(version, true)).unwrap_or_default();
    let host = config["routes"][0]["hostname"].clone();
    if let Some(routes) = config["routes"].as_array_mut() {
        for route in routes.iter_mut().filter(|route| route["name"] == "lookups") {
            route["timeout_ms"] = json!(LONG_ANSWER_DEADLINE_MS);
        }
        routes.extend(FaultyRoute::ALL.map(|route| route.fields(&host)));
    }
    if let Some(services) = config["services"].as_array_mut() {
        services.push(
            json!({"name": FAULTY_SERVICE, "health_check_path": "/health", "max_connections": 4 * FAULTY_SLOTS}),
        );
    }
    config.to_string().into()
}

/// What the faulty endpoints answer now; each request draws one by its id.
#[derive(Clone, Debug, Default)]
pub struct FaultyAnswers(Arc<Mutex<Vec<FaultyAnswer>>>);

impl FaultyAnswers {
    /// Replaces the answers.
    pub fn set(&self, answers: Vec<FaultyAnswer>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = answers;
    }

    fn draw(&self, attempt: &str) -> Option<FaultyAnswer> {
        let answers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let draw = attempt.bytes().fold(0, |hash, byte| mixed(hash ^ u64::from(byte)));
        let index = usize::try_from(draw % answers.len().max(1) as u64).unwrap_or_default();
        answers.get(index).copied()
    }
}

/// Starts the endpoints and the platform; returns the platform's address.
pub async fn start(
    parties: &mut JoinSet<()>,
    report: &Arc<Report>,
    answers: &FaultyAnswers,
) -> Result<SocketAddrV4, FleetError> {
    let mut endpoints = stand_in::start_endpoints(parties, report).await?;
    for number in FAULTY_ENDPOINTS {
        let bound = Endpoint::bind(number, FAULTY_SERVICE, Kind::Idempotent, FAULTY_SLOTS).await;
        let (endpoint, listener) = bound.map_err(io("listening"))?;
        parties.spawn(serve(listener, answers.clone()));
        endpoints.push(endpoint);
    }
    stand_in::start_platform(parties, Platform::new(endpoints, &Load::LIGHT)).await
}

async fn serve(listener: TcpListener, answers: FaultyAnswers) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(timeout(MAX_ANSWER_TIME, answer(stream, answers.clone())));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Answers one request, without end.
async fn answer(mut stream: TcpStream, answers: FaultyAnswers) {
    let Some(head) = read_request(&mut stream).await else { return };
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let attempt = header("attempt-id:").unwrap_or_default();
    let Some(FaultyAnswer { form, status }) = answers.draw(attempt) else { return };
    let is_stream = [FaultyRoute::Streaming, FaultyRoute::Resumable, FaultyRoute::Retained]
        .iter()
        .any(|route| head.contains(&format!("/{}/", route.name())));
    let content_type = if is_stream { "text/event-stream" } else { "application/octet-stream" };
    let common = match form {
        Form::InterimResponses => String::new(),
        _ => format!(
            "HTTP/1.1 {status} Status\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{attempt}\r\n\
             Content-Type: {content_type}\r\n"
        ),
    };
    let block = form.block();
    let mut written = stream.write_all(format!("{common}{}", form.start()).as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(&block).await;
    }
}

/// Reads a request; returns its head in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase());
        }
        if bytes.len() > MAX_REQUEST_BYTES || stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

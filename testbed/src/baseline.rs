//! Plain senders to compare with: each holds messages in memory, picks endpoints in turn, and repeats by one simple rule.
//! They keep what a message's class permits and the list's drains, and nothing else: no paces, no advised waits, no journal.
use crate::endpoints::plain;
use crate::scenario::Baseline;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use message_sender::wire::{
    ENVELOPE, HAND_IN, HOOK, IDEMPOTENCY_KEY, LANE, NOTICES, NoticeLine, NoticeState, Phase, READY,
    REMAINING, TARGETS, TXN, Targets,
};
use serde::Deserialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Pause of the one with fixed pauses, and the first of the one with doubling ones.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Cap of the doubling.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// A call is given up after this.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between questions for the list.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes of a body, at the most.
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Targets,
    settings: Settings,
}

#[derive(Deserialize)]
struct Settings {
    lanes: Vec<Lane>,
    limits: Limits,
    specifics: Specifics,
}

#[derive(Clone, Deserialize)]
struct Lane {
    name: String,
    repeat: String,
    key_ttl: Option<u64>,
}

#[derive(Deserialize)]
struct Limits {
    max_attempts: u32,
    #[serde(rename = "most_held")]
    max_pending: usize,
}

#[derive(Deserialize)]
struct Specifics {
    max_calls: usize,
}

/// Why a plain sender cannot work.
#[derive(Debug, thiserror::Error)]
pub enum BaselineError {
    /// `$PROXY_CONFIG` is not set.
    #[error("$PROXY_CONFIG is not set")]
    Unset,
    /// The configuration cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no configuration.
    #[error("configuration: {0}")]
    NotConfig(#[from] serde_json::Error),
    /// Its address is taken.
    #[error("listening: {0}")]
    Listen(std::io::Error),
}

struct Plain {
    how: Baseline,
    config: Config,
    http: Client<HttpConnector, Full<Bytes>>,
    list: Mutex<Targets>,
    slots: Semaphore,
    capacity: Arc<Semaphore>,
    turn: AtomicUsize,
}

/// A message under way.
struct PendingMessage {
    id: String,
    key: Option<String>,
    lane: Lane,
    dest: u64,
    due: Instant,
    body: Bytes,
}

/// How an attempt ended.
enum AttemptOutcome {
    Delivered,
    /// Never ran.
    Refused,
    /// It may have run.
    Unsure,
    /// Nothing more is owed.
    Over,
}

/// Works until it is killed.
pub async fn run(how: Baseline) -> Result<(), BaselineError> {
    let path = std::env::var_os("PROXY_CONFIG").map(PathBuf::from).ok_or(BaselineError::Unset)?;
    let text = std::fs::read(&path).map_err(|source| BaselineError::Unreadable { path, source })?;
    let mut config: Config = serde_json::from_slice(&text)?;
    let listener = TcpListener::bind(config.listen).await.map_err(BaselineError::Listen)?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let http = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(4))
        .retry_canceled_requests(false)
        .build(connector);
    let known = Targets {
        revision: config.known.revision,
        complete: true,
        members: std::mem::take(&mut config.known.members),
    };
    let plain = Arc::new(Plain {
        how,
        http,
        list: Mutex::new(known),
        slots: Semaphore::new(config.settings.specifics.max_calls),
        capacity: Arc::new(Semaphore::new(config.settings.limits.max_pending)),
        turn: AtomicUsize::new(0),
        config,
    });
    tokio::spawn(plain.clone().ask_list());
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let plain = plain.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let plain = plain.clone();
                async move { Ok::<_, Infallible>(plain.answer(request).await) }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Plain {
    async fn ask_list(self: Arc<Self>) {
        loop {
            sleep(LIST_POLL_INTERVAL).await;
            let uri = format!("http://{}{TARGETS}", self.config.discovery);
            let Ok(request) = Request::get(uri).body(Full::default()) else { return };
            let response = timeout(LIST_POLL_INTERVAL, async {
                let answer = self.http.request(request).await.ok()?;
                answer.into_body().collect().await.ok().map(|body| body.to_bytes())
            });
            if let Ok(Some(body)) = response.await
                && let Ok(list) = serde_json::from_slice(&body)
            {
                *self.list.lock().unwrap_or_else(PoisonError::into_inner) = list;
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, READY) => plain(StatusCode::OK),
            (&Method::POST, HAND_IN) => {
                let (head, body) = request.into_parts();
                let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
                    return plain(StatusCode::BAD_REQUEST);
                };
                let Some(message) = self.read(&head.headers, body.to_bytes()) else {
                    return plain(StatusCode::BAD_REQUEST);
                };
                let Ok(permit) = self.capacity.clone().try_acquire_owned() else {
                    return plain(StatusCode::SERVICE_UNAVAILABLE);
                };
                tokio::spawn(async move {
                    self.deliver(message).await;
                    drop(permit);
                });
                plain(StatusCode::ACCEPTED)
            }
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn read(&self, headers: &HeaderMap, body: Bytes) -> Option<PendingMessage> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let left: f64 = text(REMAINING)?.parse().ok().filter(|left| (0.0..1e6).contains(left))?;
        let name = text(LANE)?;
        Some(PendingMessage {
            id: text(TXN)?,
            key: text(IDEMPOTENCY_KEY),
            lane: self.config.settings.lanes.iter().find(|lane| lane.name == name)?.clone(),
            dest: text(ENVELOPE)?.strip_prefix("dest=")?.parse().ok()?,
            due: Instant::now() + Duration::from_secs_f64(left),
            body,
        })
    }

    async fn deliver(&self, message: PendingMessage) {
        let (mut ran, mut backoff): (Option<Instant>, Duration) = (None, INITIAL_BACKOFF);
        let max_attempts =
            if self.how == Baseline::OneTry { 1 } else { self.config.settings.limits.max_attempts };
        for _ in 0..max_attempts {
            let may = match (message.lane.repeat.as_str(), ran) {
                (_, None) | ("retryable", _) => true,
                ("dedup", Some(ran)) => {
                    ran.elapsed() < Duration::from_micros(message.lane.key_ttl.unwrap_or(0)).mul_f64(0.9)
                }
                _ => false,
            };
            let Ok(Ok(slot)) = timeout_at(message.due, self.slots.acquire()).await else { break };
            if !may || Instant::now() + INITIAL_BACKOFF >= message.due {
                break;
            }
            let began = Instant::now();
            let outcome = self.call(&message).await;
            drop(slot);
            match outcome {
                AttemptOutcome::Delivered | AttemptOutcome::Over => return,
                AttemptOutcome::Refused => {}
                AttemptOutcome::Unsure => drop(ran.get_or_insert(began)),
            }
            if Instant::now() + backoff >= message.due {
                break;
            }
            sleep(backoff).await;
            if self.how == Baseline::Doubling {
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        let harmless = ran.is_none() || message.lane.repeat != "fragile";
        let state = if harmless { NoticeState::Returned } else { NoticeState::Failed };
        self.notice(&message.id, state).await;
    }

    async fn call(&self, message: &PendingMessage) -> AttemptOutcome {
        let to = {
            let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
            let serving =
                |m: &&message_sender::wire::Member| m.cell == message.dest && m.phase == Phase::Serving;
            let members: Vec<_> = list.members.iter().filter(serving).map(|m| m.host_port).collect();
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            members.get(turn % members.len().max(1)).copied()
        };
        let Some(to) = to else { return AttemptOutcome::Refused };
        let left = message.due.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::post(format!("http://{to}{HOOK}"))
            .header(HOST, to.to_string())
            .header(TXN, &message.id)
            .header(REMAINING, format!("{left:.3}"));
        if let Some(key) = &message.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = request.body(Full::new(message.body.clone())) else { return AttemptOutcome::Over };
        let until = message.due.min(Instant::now() + CALL_TIMEOUT);
        match timeout_at(until, self.http.request(request)).await {
            Err(_) => AttemptOutcome::Unsure,
            Ok(Err(e)) if e.is_connect() => AttemptOutcome::Refused,
            Ok(Err(_)) => AttemptOutcome::Unsure,
            Ok(Ok(answer)) => match answer.status() {
                StatusCode::OK => AttemptOutcome::Delivered,
                StatusCode::GONE => AttemptOutcome::Over,
                StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::Refused,
                _ => AttemptOutcome::Unsure,
            },
        }
    }

    async fn notice(&self, id: &str, state: NoticeState) {
        let line = NoticeLine { id, state, after_ms: None };
        let Ok(mut body) = serde_json::to_vec(&line) else { return };
        body.push(b'\n');
        let body = Bytes::from(body);
        for _ in 0..10 {
            let uri = format!("http://{}{NOTICES}", self.config.discovery);
            let Ok(request) = Request::post(uri).body(Full::new(body.clone())) else { return };
            let sent = timeout(INITIAL_BACKOFF, self.http.request(request)).await;
            if matches!(sent, Ok(Ok(answer)) if answer.status().is_success()) {
                return;
            }
            sleep(INITIAL_BACKOFF / 10).await;
        }
    }
}

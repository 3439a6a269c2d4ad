//! Stand-in endpoints and the platform's list of them.
use super::history::{Kind, Recorder, Run, TOKENS_PER_EVENT};
use super::load::Load;
use crate::endpoints::Cut;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::http::response::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bytes of a request's body, at the most.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// One in this many streams, and idempotent tools, breaks off.
const BROKEN_STREAM_STRIDE: u64 = 25;
/// How far the list runs behind.
pub const LIST_UPDATE_LAG: Duration = Duration::from_millis(400);

/// A number drawn from another, different for different ones.
pub fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0, |hash, byte| mixed(hash ^ u64::from(byte)))
}

/// One endpoint.
pub struct Endpoint {
    /// Its service.
    pub service: &'static str,
    /// What it does.
    pub kind: Kind,
    /// Where it listens.
    pub address: SocketAddrV4,
    slots: usize,
    active: AtomicUsize,
    refused: AtomicU64,
    misdirected: AtomicU64,
    runs: AtomicU64,
    instance: Mutex<String>,
    listed: Mutex<String>,
}

impl Endpoint {
    /// Has it begin to listen.
    pub async fn bind(
        number: u8,
        service: &'static str,
        kind: Kind,
        slots: usize,
    ) -> std::io::Result<(Arc<Self>, TcpListener)> {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 50, number), 0)).await?;
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 0, 50, number), listener.local_addr()?.port());
        let instance = format!("i-{service}-{number}-1");
        let endpoint = Self {
            service,
            kind,
            address,
            slots,
            active: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            misdirected: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            instance: Mutex::new(instance.clone()),
            listed: Mutex::new(instance),
        };
        Ok((Arc::new(endpoint), listener))
    }

    /// This incarnation.
    pub fn instance(&self) -> String {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Becomes another incarnation at the same address; the list reports it later.
    pub async fn restart_as_new_incarnation(&self) {
        let next = format!("{}-anew", self.instance());
        self.instance.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&next);
        sleep(LIST_UPDATE_LAG).await;
        *self.listed.lock().unwrap_or_else(PoisonError::into_inner) = next;
    }

    /// How often it was full, and how often another incarnation was meant.
    pub fn rejected_calls(&self) -> (u64, u64) {
        (self.refused.load(Ordering::Relaxed), self.misdirected.load(Ordering::Relaxed))
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.active.load(Ordering::Relaxed), self.slots)
    }

    fn take_slot(self: &Arc<Self>) -> Option<Slot> {
        let free = |active| (active < self.slots).then_some(active + 1);
        self.active.fetch_update(Ordering::Relaxed, Ordering::Relaxed, free).ok()?;
        Some(Slot(self.clone()))
    }
}

struct Slot(Arc<Endpoint>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An answer's body.
pub enum Answer {
    /// All at once.
    Complete(Option<Bytes>),
    /// As it comes; `Err` breaks it off.
    Events(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_recv(cx).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(_) => hyper::body::SizeHint::default(),
        }
    }
}

fn full_response(builder: Builder, body: impl Into<Bytes>) -> Result<Response<Answer>, Cut> {
    builder.body(Answer::Complete(Some(body.into()).filter(|body| !body.is_empty()))).map_err(|_| Cut)
}

/// Serves an endpoint until cancelled.
pub async fn serve(endpoint: Arc<Endpoint>, recorder: Arc<Recorder>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let (endpoint, recorder) = (endpoint.clone(), recorder.clone());
                connections.spawn(async move {
                    let service = service_fn(|request| answer(&endpoint, &recorder, request));
                    // Who gives up closes its connection: the run ends with it.
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn answer(
    endpoint: &Arc<Endpoint>,
    recorder: &Arc<Recorder>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Cut> {
    let (head, body) = request.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let instance = endpoint.instance();
    if head.method == Method::GET && head.uri.path() == "/health" {
        let builder = Response::builder().header("Instance-Id", &instance);
        return full_response(builder.header("Server-Load", endpoint.load()), "");
    }
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else { return Err(Cut) };
    let body = body.to_bytes();
    let Some(attempt) = header("attempt-id") else {
        return full_response(Response::builder().status(400).header("Not-Executed", "1"), "");
    };
    let builder = Response::builder().header("Attempt-Id", &attempt).header("Server-Load", endpoint.load());
    if header("expect-instance").is_some_and(|expected| expected != instance) {
        endpoint.misdirected.fetch_add(1, Ordering::Relaxed);
        return full_response(
            builder.status(421).header("Not-Executed", "1").header("Instance-Id", &instance),
            "",
        );
    }
    let Some(slot) = endpoint.take_slot() else {
        endpoint.refused.fetch_add(1, Ordering::Relaxed);
        return full_response(
            builder.status(503).header("Not-Executed", "1").header(RETRY_AFTER, "0.05"),
            "",
        );
    };
    let number = endpoint.runs.fetch_add(1, Ordering::Relaxed);
    let seal = format!("{instance}.{number}.{:x}", hash(&attempt));
    let builder = builder.header("Server-Seal", &seal);
    let run = |answer: Bytes| {
        let run =
            Run { instance: instance.clone(), attempt: attempt.clone(), body: body.clone(), seal, answer };
        recorder.lock().runs.push(run);
    };
    let draw = hash(&attempt);
    let breaks = (draw >> 8).is_multiple_of(BROKEN_STREAM_STRIDE);
    if endpoint.kind != Kind::Turn {
        let text = Bytes::from(format!("{attempt} at {instance}: {}", String::from_utf8_lossy(&body)));
        run(text.clone());
        sleep(Duration::from_millis(5 + draw % 30)).await;
        if endpoint.kind == Kind::Idempotent && breaks {
            return Err(Cut);
        }
        return full_response(builder, text);
    }
    let max_events =
        header("token-usage").and_then(|usage| usage.split_once(',')?.1.trim().parse::<u64>().ok());
    let max_events = (max_events.unwrap_or(2 * TOKENS_PER_EVENT) / TOKENS_PER_EVENT).max(1);
    let count = max_events / 2 + draw % (max_events - max_events / 2 + 1);
    let events: Vec<Bytes> = (1..=count.max(1))
        .map(|id| Bytes::from(format!("id: {id}\ndata: {attempt} word {:x}\n\n", mixed(draw ^ id) & 0xffff)))
        .collect();
    run(events.concat().into());
    let (pieces, receiver) = mpsc::channel(4);
    tokio::spawn(async move {
        let _slot = slot;
        let last = if breaks { events.len() / 2 } else { events.len() };
        for event in &events[..last] {
            sleep(EVENT_INTERVAL).await;
            // Chunks are cut anywhere.
            let (first, rest) = (event.slice(..event.len() / 2), event.slice(event.len() / 2..));
            if pieces.send(Ok(first)).await.is_err() || pieces.send(Ok(rest)).await.is_err() {
                return;
            }
        }
        if breaks {
            // A client that disconnected needs no break.
            let _ = pieces.send(Err(Cut)).await;
        }
    });
    builder.header(CONTENT_TYPE, "text/event-stream").body(Answer::Events(receiver)).map_err(|_| Cut)
}

/// The platform's list.
pub struct Platform {
    endpoints: Vec<Arc<Endpoint>>,
    page: usize,
    calls_per_second: usize,
    /// While true, every call is one over the rate.
    pub limited: AtomicBool,
    /// Calls answered, and calls over the rate.
    pub calls: [AtomicU64; 2],
    lately: Mutex<Vec<Instant>>,
}

impl Platform {
    /// A list of these.
    pub fn new(endpoints: Vec<Arc<Endpoint>>, load: &Load) -> Self {
        Self {
            endpoints,
            page: load.list_page,
            calls_per_second: load.list_calls_per_second,
            limited: AtomicBool::new(false),
            calls: Default::default(),
            lately: Mutex::default(),
        }
    }

    fn is_over_rate(&self) -> bool {
        let mut lately = self.lately.lock().unwrap_or_else(PoisonError::into_inner);
        lately.retain(|at| at.elapsed() < Duration::from_secs(1));
        lately.push(Instant::now());
        self.limited.load(Ordering::Relaxed) || lately.len() > self.calls_per_second
    }

    fn page(&self, query: &str) -> String {
        let token = query.split('&').find_map(|pair| pair.strip_prefix("page_token=p-"));
        let from = token.and_then(|token| token.parse().ok()).unwrap_or(0).min(self.endpoints.len());
        let to = (from + self.page).min(self.endpoints.len());
        let line = |endpoint: &Arc<Endpoint>| {
            json!({
                "instance_id": *endpoint.listed.lock().unwrap_or_else(PoisonError::into_inner),
                "service": endpoint.service, "address": endpoint.address, "zone": "lab-a", "version": "v1",
                "capacity_slots": endpoint.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            })
        };
        let next = (to < self.endpoints.len()).then(|| format!("p-{to}"));
        let instances: Vec<_> = self.endpoints[from..to].iter().map(line).collect();
        json!({"instances": instances, "next_page_token": next}).to_string()
    }

    /// Answers calls until cancelled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let platform = self.clone();
                    connections.spawn(async move {
                        let service = service_fn(|request| {
                            let response = platform.answer(&request);
                            async { Ok::<_, Infallible>(response) }
                        });
                        let http = hyper::server::conn::http1::Builder::new();
                        let _ = http.serve_connection(TokioIo::new(stream), service).await;
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Answer> {
        let (status, body) = match request.uri().path() {
            "/instances" if self.is_over_rate() => (429, String::new()),
            "/instances" => (200, self.page(request.uri().query().unwrap_or_default())),
            _ => (404, String::new()),
        };
        self.calls[usize::from(status == 429)].fetch_add(1, Ordering::Relaxed);
        let builder = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
        full_response(builder, body).unwrap_or_else(|_| Response::new(Answer::Complete(None)))
    }
}

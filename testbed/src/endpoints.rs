//! Partners' endpoints on real sockets: what a model says of a call becomes an answer, silence or a broken connection.
use crate::checker::{Admission, AttemptEnd};
use crate::environment::Stage;
use crate::model::Fate;
use crate::plan::Micros;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use message_sender::wire::{HOOK, NO_SLOT, TXN};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Bytes of a body, at the most.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Pause before an address is tried again that something else has.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The connection is to break without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection breaks here")]
pub struct Cut;

/// Serves one endpoint until the run is over. While its partner is down nobody listens.
pub async fn serve(stage: Arc<Stage>, partner: usize, endpoint: usize, listener: TcpListener) {
    let address = listener.local_addr();
    let mut open = stage.open[partner].subscribe();
    let mut over = stage.over.subscribe();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        if !*open.borrow_and_update() {
            listener = None;
            connections.shutdown().await;
        } else if listener.is_none() {
            listener = match &address {
                Ok(address) => bind(*address).await,
                Err(_) => None,
            };
        }
        tokio::select! {
            _ = over.wait_for(|over| *over) => return,
            changed = open.changed() => if changed.is_err() { return },
            Some(connection) = connections.join_next() => {
                if let Err(e) = connection && e.is_panic() {
                    stage.record_testbed_fault(format!("the model of partner {partner} panicked"));
                }
            }
            accepted = accept(listener.as_ref()) => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stage.clone(), partner, endpoint, stream));
                }
            }
        }
    }
}

/// Listens again at an address that was given up; none where something else has taken it permanently.
async fn bind(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..50 {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
    None
}

async fn accept(listener: Option<&TcpListener>) -> std::io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => pending().await,
    }
}

/// Counts as open until it is dropped.
struct ConnectionGuard {
    stage: Arc<Stage>,
    partner: usize,
    endpoint: usize,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.stage.lock().partners[self.partner].disconnected(self.endpoint);
    }
}

async fn connection(stage: Arc<Stage>, partner: usize, endpoint: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let now = stage.now();
    let has_connection_capacity = {
        let mut inner = stage.lock();
        inner.checker.connected(now);
        inner.partners[partner].connected(endpoint)
    };
    let _connection_guard = ConnectionGuard { stage: stage.clone(), partner, endpoint };
    let service = service_fn(move |request| {
        let stage = stage.clone();
        async move { call(stage, partner, endpoint, has_connection_capacity, request).await }
    });
    let http = hyper::server::conn::http1::Builder::new();
    // A sender that gives up closes its connection: the call ends with it.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
}

/// A call that is out: it has its end at the latest when nobody works on it any more.
struct Out {
    stage: Arc<Stage>,
    id: String,
    began: Micros,
    partner: usize,
    sender: usize,
    first: usize,
    completed: bool,
}

impl Out {
    fn end(&mut self, outcome: AttemptEnd) {
        if !std::mem::replace(&mut self.completed, true) {
            let now = self.stage.now();
            let mut inner = self.stage.lock();
            if outcome == AttemptEnd::Delivered {
                // Its client waits for nothing more.
                inner.returns.remove(&self.first);
            } else {
                inner.partners[self.partner].witnessed(self.sender);
            }
            inner.checker.ends(now, &self.id, self.began, outcome);
        }
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cut);
    }
}

/// An answer without a body.
pub fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn call(
    stage: Arc<Stage>,
    partner: usize,
    endpoint: usize,
    has_connection_capacity: bool,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Cut> {
    let (head, body) = request.into_parts();
    if head.method != Method::POST || head.uri.path() != HOOK {
        return Ok(plain(StatusCode::NOT_FOUND));
    }
    if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
        return Ok(plain(StatusCode::BAD_REQUEST));
    }
    let Some(id) = head.headers.get(TXN).and_then(|id| id.to_str().ok()).map(str::to_owned) else {
        return Ok(plain(StatusCode::BAD_REQUEST));
    };
    if !has_connection_capacity {
        let mut full = plain(StatusCode::SERVICE_UNAVAILABLE);
        full.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return Ok(full);
    }
    let began = stage.now();
    let (fate, sender, first, open) = {
        let mut guard = stage.lock();
        let inner = &mut *guard;
        let (sender, first) = match inner.checker.begins(began, &id, partner, endpoint) {
            Admission::Through { sender, first } => (sender, first),
            Admission::Unknown => return Ok(plain(StatusCode::BAD_REQUEST)),
            Admission::Over => return Ok(plain(StatusCode::GONE)),
            Admission::Spent => return Ok(plain(StatusCode::GATEWAY_TIMEOUT)),
            Admission::NoSlot => {
                let mut none = plain(StatusCode::SERVICE_UNAVAILABLE);
                none.headers_mut().insert(NO_SLOT, HeaderValue::from_static("1"));
                return Ok(none);
            }
        };
        let work = inner.works.get(first).copied().unwrap_or(1);
        let (fate, fall) = inner.partners[partner].arrive(began, endpoint, sender, work);
        if fate.runs() {
            inner.checker.runs(began, &id);
        }
        if let Some(fall) = fall {
            inner.checker.fell(began, partner, fall.by_witnesses);
        }
        (fate, sender, first, fall.is_none())
    };
    let mut out = Out { stage: stage.clone(), id, began, partner, sender, first, completed: false };
    if !open {
        stage.open[partner].send_replace(false);
    }
    match fate {
        Fate::Refused(Some(wait)) => {
            out.end(AttemptEnd::Refused(Some(stage.now() + wait)));
            let mut refused = plain(StatusCode::TOO_MANY_REQUESTS);
            let seconds = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e6)).map_err(|_| Cut)?;
            refused.headers_mut().insert(RETRY_AFTER, seconds);
            Ok(refused)
        }
        Fate::Refused(None) => {
            out.end(AttemptEnd::Refused(None));
            Ok(plain(StatusCode::SERVICE_UNAVAILABLE))
        }
        Fate::Answered { at, ok } => {
            sleep_until(stage.instant(at)).await;
            out.end(if ok { AttemptEnd::Delivered } else { AttemptEnd::Error });
            Ok(plain(if ok { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR }))
        }
        Fate::Silent { .. } => pending().await,
        Fate::Broken { at } => {
            sleep_until(stage.instant(at)).await;
            Err(Cut)
        }
    }
}

//! The HTTP server for clients: accepts submitted messages and answers them once the journal holds them.
use super::input::Input;
use super::journal::SubmittedMessage;
use super::relay::Answer;
use super::telemetry::Shared;
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use message_sender::wire::{ENVELOPE, HAND_IN, IDEMPOTENCY_KEY, LANE, READY, REMAINING, TXN};
use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum deadline in seconds; longer ones from clients are capped.
const MAX_REMAINING_S: f64 = 86_400.0;
/// Maximum length of a header field that is stored with a message.
const MAX_FIELD_BYTES: usize = 1024;
/// Maximum read buffer of a connection: hundreds of connections, each with an endless head, must fit in memory.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// A connection without a complete request head by then is closed: unknown callers are due an error or a close
/// within 3 s.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// A first request whose head has arrived is answered by then, even if its body is incomplete: an error is more
/// useful to the client than a close, and it still arrives within the 3 s.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client that has not sent the rest of its request by then is considered disconnected.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// While draining, an idle connection stays open this long: the load balancer polls readiness ten times a second, and
/// assigns new connections for another 0.2 s after a negative answer.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(400);
/// After the listener is closed, a connection without a request so far may still submit one that is on its way: a new
/// connection that ends without an answer costs its client the request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Limits on reading from a connection after shutting down its sending side: closing with unread bytes resets the
/// connection, and the client may lose the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// The limit on time when another connection waits for the slot.
const CROWDED_LINGER_TIMEOUT: Duration = Duration::from_millis(20);
/// A connection without a new request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How client connections are treated, from normal service to shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doors {
    Open,
    /// Drained by an operator: readiness is negative, each connection closes after its next answer, and idle ones
    /// close after a grace period. New connections are still served.
    Draining,
    /// Another process serves new clients: the remaining connections move to it as in a drain.
    Leaving {
        ready: bool,
    },
    /// Each connection closes after its next answer, so that its client goes elsewhere.
    Closing,
    /// The listener is closed, and idle connections are closed.
    Shut,
}

impl Doors {
    /// Whether idle connections are closed after `DRAIN_IDLE_GRACE`.
    fn closes_idle(self) -> bool {
        matches!(self, Doors::Draining | Doors::Leaving { .. })
    }
}

/// Body bytes that one permit stands for.
const BYTES_PER_PERMIT: usize = 1024;

/// Permits for request bodies being read, which together may have that many bytes; unlimited without a limit.
pub fn bodies(bytes: Option<usize>) -> Arc<Semaphore> {
    // One body always fits, or no message could ever be submitted.
    let permits = bytes.map(|bytes| bytes.max(MAX_BODY_BYTES) / BYTES_PER_PERMIT);
    Arc::new(Semaphore::new(permits.unwrap_or(Semaphore::MAX_PERMITS).min(Semaphore::MAX_PERMITS)))
}

fn permits_for(length: usize) -> u32 {
    u32::try_from(length.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX)
}

/// Serves clients, on at most `most` connections, until shutdown closes the listener and every request that was read
/// is answered.
pub async fn serve(
    listener: TcpListener,
    room: Arc<Semaphore>,
    most: usize,
    host: UnboundedSender<Input>,
    mut doors: watch::Receiver<Doors>,
    bodies: Arc<Semaphore>,
    shared: Arc<Shared>,
) {
    let crowded = Arc::new(Notify::new());
    let mut shut = false;
    loop {
        let accepted = tokio::select! {
            // On a handover the listening socket is shared with the new process: queued connections aren't lost.
            ended = doors.wait_for(|doors| matches!(doors, Doors::Shut | Doors::Leaving { .. })) => {
                shut = ended.is_ok_and(|doors| *doors == Doors::Shut);
                // A connection that the kernel has already accepted is still served.
                match shut.then(|| accept(&listener, &room, &crowded).now_or_never()).flatten() {
                    Some(accepted) => accepted,
                    None => break,
                }
            }
            accepted = accept(&listener, &room, &crowded) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                let connection =
                    serve_connection(stream, host.clone(), crowded.clone(), doors.clone(), bodies.clone());
                let shared = shared.clone();
                tokio::spawn(async move {
                    shared.clients.fetch_add(1, Ordering::Relaxed);
                    connection.await;
                    shared.clients.fetch_sub(1, Ordering::Relaxed);
                    drop(permit);
                });
            }
            Err(_) if shut => break,
            Err(e) => {
                // For example out of descriptors: open connections continue, and closing them frees some.
                tracing::warn!("cannot accept a client connection: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    // Once all permits are returned, every connection has ended.
    let _ = room.acquire_many(u32::try_from(most).unwrap_or(u32::MAX)).await;
}

/// Accepts the next connection once a slot is free. If none is, the oldest connection is asked to close: at once if it
/// is idle, else after its next answer.
async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
    crowded: &Notify,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    if room.available_permits() == 0 {
        crowded.notify_one();
    }
    let permit = room.clone().acquire_owned().await.map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

async fn serve_connection(
    mut stream: TcpStream,
    host: UnboundedSender<Input>,
    crowded: Arc<Notify>,
    mut doors: watch::Receiver<Doors>,
    bodies: Arc<Semaphore>,
) {
    let _ = stream.set_nodelay(true);
    let linger = match serve_requests(&mut stream, host, &crowded, &mut doors, bodies).await {
        Ending::Crowded => CROWDED_LINGER_TIMEOUT,
        Ending::Other => LINGER_TIMEOUT,
    };
    // Closed or reset by the client: there is nothing left to read.
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut chunk = vec![0; 4096];
    let rest = async {
        let mut bytes_left = MAX_LINGER_BYTES;
        while let Ok(read @ 1..) = stream.read(&mut chunk).await
            && read < bytes_left
        {
            bytes_left -= read;
        }
    };
    let _ = timeout(linger, rest).await;
}

/// Why a connection ends.
enum Ending {
    /// Another connection waits for its slot.
    Crowded,
    Other,
}

/// Serves requests on a connection until this side has no more answers to send.
async fn serve_requests(
    stream: &mut TcpStream,
    host: UnboundedSender<Input>,
    crowded: &Notify,
    doors: &mut watch::Receiver<Doors>,
    bodies: Arc<Semaphore>,
) -> Ending {
    let (current_doors, connected_at) = (doors.clone(), Instant::now());
    let has_request = Arc::new(AtomicBool::new(false));
    let request_arrived = has_request.clone();
    let service = service_fn(move |request| {
        let (host, doors, bodies) = (host.clone(), *current_doors.borrow(), bodies.clone());
        // The head has arrived: from here on the request gets an answer.
        let body_timeout = match request_arrived.swap(true, Ordering::Relaxed) {
            true => BODY_TIMEOUT,
            false => BODY_TIMEOUT.min(FIRST_ANSWER_TIMEOUT.saturating_sub(connected_at.elapsed())),
        };
        async move { Ok::<_, Infallible>(respond(request, &host, doors, body_timeout, &bodies).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        // A client may close its sending side after its request and still wait for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // If the client breaks the connection, nobody is left to receive the error.
    let mut ending = Ending::Other;
    tokio::select! {
        _ = connection.as_mut() => return ending,
        () = idle_close_due(doors, &has_request) => {}
        () = crowded.notified() => ending = Ending::Crowded,
        () = first_head_overdue(&has_request) => return ending,
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = first_head_overdue(&has_request) => {}
    }
    ending
}

/// Completes when an idle connection is to be closed.
async fn idle_close_due(doors: &mut watch::Receiver<Doors>, has_request: &AtomicBool) {
    loop {
        let changed = doors.wait_for(|doors| doors.closes_idle() || *doors == Doors::Shut).await;
        if !changed.is_ok_and(|doors| doors.closes_idle()) {
            if !has_request.load(Ordering::Relaxed) {
                sleep(FIRST_REQUEST_GRACE).await;
            }
            return;
        }
        // If normal service resumes within the grace period, the connection stays.
        if timeout(DRAIN_IDLE_GRACE, doors.wait_for(|doors| !doors.closes_idle())).await.is_err() {
            return;
        }
    }
}

/// Completes when a connection's first request is overdue, and never if its head has arrived in time.
async fn first_head_overdue(has_request: &AtomicBool) {
    sleep(FIRST_HEAD_TIMEOUT).await;
    if has_request.load(Ordering::Relaxed) {
        pending::<()>().await;
    }
}

async fn respond(
    request: Request<Incoming>,
    host: &UnboundedSender<Input>,
    doors: Doors,
    body_timeout: Duration,
    bodies: &Semaphore,
) -> Response<Full<Bytes>> {
    let mut response = match (request.method(), request.uri().path()) {
        _ if !request.headers().contains_key(HOST) => plain(StatusCode::BAD_REQUEST, "Host is missing\n"),
        (&Method::GET, READY) if matches!(doors, Doors::Open | Doors::Leaving { ready: true }) => {
            plain(StatusCode::OK, "ready\n")
        }
        (&Method::GET, READY) if doors == Doors::Draining => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
        (&Method::GET, READY) => plain(StatusCode::SERVICE_UNAVAILABLE, "winding down\n"),
        (&Method::POST, HAND_IN) => submit(request, host, body_timeout, bodies).await,
        (_, READY | HAND_IN) => plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n"),
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    };
    if doors != Doors::Open {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

async fn submit(
    request: Request<Incoming>,
    host: &UnboundedSender<Input>,
    body_timeout: Duration,
    bodies: &Semaphore,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    // Clients must send Content-Length: without it the end of a message is ambiguous.
    let length = match body.size_hint().exact().map(usize::try_from) {
        None => return plain(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n"),
        Some(Ok(length)) if length <= MAX_BODY_BYTES => length,
        Some(_) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"),
    };
    // Hundreds of clients that send a long body at the same time must fit in memory.
    let Ok(_permits) = bodies.try_acquire_many(permits_for(length)) else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no room for the body now\n");
    };
    let body = match timeout(body_timeout, read_body(body, length)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body cannot be read\n"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let received_at = Instant::now();
    let (message, remaining) = match parse(&head.headers, body) {
        Ok(parsed) => parsed,
        Err(reason) => return plain(StatusCode::BAD_REQUEST, format!("{reason}\n")),
    };
    let (answer, answered) = oneshot::channel();
    let _ = host.send(Input::HandIn { message, deadline: received_at + remaining, answer });
    match answered.await {
        Ok(Answer::TakenOn) => plain(StatusCode::ACCEPTED, ""),
        Ok(Answer::Malformed(reason)) => plain(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        // A host that has ended did not accept the message.
        Ok(Answer::Refused) | Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n"),
    }
}

/// Copies a body into its own allocation. hyper's frames share the connection's buffer of 8 KiB and more, which a
/// message of a few bytes would keep allocated while it is pending, and the next request would need a new buffer.
async fn read_body(mut body: Incoming, length: usize) -> Result<Bytes, hyper::Error> {
    let mut bytes = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.into())
}

/// Parses a submitted message and the time left to deliver it. The error is sent to the client.
fn parse(headers: &HeaderMap, body: Bytes) -> Result<(SubmittedMessage, Duration), String> {
    let optional = |name: &str| -> Result<Option<String>, String> {
        if headers.get_all(name).iter().nth(1).is_some() {
            return Err(format!("{name} comes more than once"));
        }
        let text = headers.get(name).map(|value| value.to_str().map(|text| text.trim().to_owned()));
        let text = text.transpose().map_err(|_| format!("{name} is not text"))?;
        match text {
            Some(text) if text.len() > MAX_FIELD_BYTES => Err(format!("{name} is too long")),
            text => Ok(text),
        }
    };
    let required =
        |name: &str| optional(name)?.filter(|text| !text.is_empty()).ok_or(format!("{name} is missing"));
    let remaining: f64 = required(REMAINING)?.parse().map_err(|_| "X-Remaining is not a number")?;
    if !(remaining > 0.0 && remaining.is_finite()) {
        return Err("X-Remaining is not a time left".to_owned());
    }
    let envelope = required(ENVELOPE)?;
    let destination = envelope.split([',', ';', ' ']).find_map(|field| field.trim().strip_prefix("dest="));
    let destination = destination.and_then(|number| number.parse().ok());
    let message = SubmittedMessage {
        id: required(TXN)?,
        class: required(LANE)?,
        tenant: optional("X-Org")?,
        key: optional("X-Entity")?,
        idempotency_key: optional(IDEMPOTENCY_KEY)?,
        destination: destination.ok_or("X-Envelope holds no dest")?,
        body,
    };
    Ok((message, Duration::from_secs_f64(remaining.min(MAX_REMAINING_S))))
}

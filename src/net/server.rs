//! The side that clients see: messages are handed in, and answered once the journal holds them.
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

const MOST_BODY: usize = 64 * 1024;
/// Seconds that no deadline is further away; what clients say beyond it is cut.
const MOST_REMAINING: f64 = 86_400.0;
/// Longest header field that is kept with a message.
const MOST_FIELD: usize = 1024;
/// What one connection may have buffered: hundreds of them, each with a head that never ends, must fit in memory.
const MOST_BUFFER: usize = 16 * 1024;
/// Whoever has not sent a whole request so long after connecting is cut off: strangers are owed an error or a
/// close within 3 s.
const FIRST_PATIENCE: Duration = Duration::from_millis(2200);
/// A first request whose head has come is answered by then, whatever of its body has: an error serves its client
/// better than a close, and a stranger has it in time.
const FIRST_ANSWER: Duration = Duration::from_millis(2700);
/// A client that has not sent the rest of its request by then has gone.
const READ_PATIENCE: Duration = Duration::from_secs(2);
/// While the clients are sent away, an idle connection stays open this long: the front still deals out new
/// ones for 0.2 s after it heard the no, and asks ten times a second.
const DRAIN_STAY: Duration = Duration::from_millis(400);
/// With the doors shut, whoever has just connected may still hand in what is on its way: a new connection that ends
/// without an answer costs its client the request.
const FIRST_STAY: Duration = Duration::from_millis(100);
/// What still comes on a connection that this side has ended is read for so long, and so much of it: a close over
/// unread bytes is a reset, which may take the last answer with it.
const LINGER: Duration = Duration::from_millis(200);
const MOST_LINGER: usize = 256 * 1024;
/// The same where others wait for its place.
const SHORT_LINGER: Duration = Duration::from_millis(20);
/// A connection on which nothing was begun for so long makes room for others.
const IDLE: Duration = Duration::from_secs(10);

/// What winding down asks of the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doors {
    Open,
    /// Staff send the clients away: readiness says no, each connection ends with its next answer, and idle ones
    /// are closed after a short stay. New ones are served all the same.
    Draining,
    /// Another process serves new clients: those that are still here are sent to it as in a drain.
    Leaving {
        ready: bool,
    },
    /// Each connection ends with its next answer, so that its client goes elsewhere.
    Closing,
    /// No new connections, and idle ones are closed.
    Shut,
}

impl Doors {
    /// Whether idle connections are closed after a short stay.
    fn send_away(self) -> bool {
        matches!(self, Doors::Draining | Doors::Leaving { .. })
    }
}

/// Bytes of a body for one permit.
const BODY_PERMIT: usize = 1024;

/// Permits for the bodies that are being read, where they may have so many bytes together; none for any number.
pub fn bodies(bytes: Option<usize>) -> Arc<Semaphore> {
    // One body always has room, or nothing could ever be handed in.
    let permits = bytes.map(|bytes| bytes.max(MOST_BODY) / BODY_PERMIT);
    Arc::new(Semaphore::new(permits.unwrap_or(Semaphore::MAX_PERMITS).min(Semaphore::MAX_PERMITS)))
}

fn body_permits(length: usize) -> u32 {
    u32::try_from(length.div_ceil(BODY_PERMIT)).unwrap_or(u32::MAX)
}

/// Serves clients, on `most` connections at once, until the doors are shut and every request that was read has
/// its answer.
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
    let mut last = false;
    loop {
        let accepted = tokio::select! {
            // The socket itself is another process's then too: what is in its queue is not lost.
            ended = doors.wait_for(|doors| matches!(doors, Doors::Shut | Doors::Leaving { .. })) => {
                last = ended.is_ok_and(|doors| *doors == Doors::Shut);
                // Whoever has been let in by the system already is served as one that came just before.
                match last.then(|| accept(&listener, &room, &crowded).now_or_never()).flatten() {
                    Some(accepted) => accepted,
                    None => break,
                }
            }
            accepted = accept(&listener, &room, &crowded) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => {
                let connection =
                    connection(stream, host.clone(), crowded.clone(), doors.clone(), bodies.clone());
                let shared = shared.clone();
                tokio::spawn(async move {
                    shared.clients.fetch_add(1, Ordering::Relaxed);
                    connection.await;
                    shared.clients.fetch_sub(1, Ordering::Relaxed);
                    drop(permit);
                });
            }
            Err(_) if last => break,
            Err(e) => {
                // Out of descriptors, say: what is open goes on, and closing makes room.
                tracing::warn!("accepting: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    // With all permits back, every connection has ended.
    let _ = room.acquire_many(u32::try_from(most).unwrap_or(u32::MAX)).await;
}

/// The next connection, once there is room for it: where there is none, the oldest one makes it, at once if
/// it is idle and else with its next answer.
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

async fn connection(
    mut stream: TcpStream,
    host: UnboundedSender<Input>,
    crowded: Arc<Notify>,
    mut doors: watch::Receiver<Doors>,
    bodies: Arc<Semaphore>,
) {
    let _ = stream.set_nodelay(true);
    let patience = match served(&mut stream, host, &crowded, &mut doors, bodies).await {
        Ending::Crowded => SHORT_LINGER,
        Ending::Other => LINGER,
    };
    // Ended by the other side, or reset: nothing comes any more.
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut piece = vec![0; 4096];
    let rest = async {
        let mut left = MOST_LINGER;
        while let Ok(read @ 1..) = stream.read(&mut piece).await
            && read < left
        {
            left -= read;
        }
    };
    let _ = timeout(patience, rest).await;
}

/// Why a connection ends.
enum Ending {
    /// Others wait for its place.
    Crowded,
    Other,
}

/// Serves a connection until this side has nothing more to say on it.
async fn served(
    stream: &mut TcpStream,
    host: UnboundedSender<Input>,
    crowded: &Notify,
    doors: &mut watch::Receiver<Doors>,
    bodies: Arc<Semaphore>,
) -> Ending {
    let (at_door, began) = (doors.clone(), Instant::now());
    let heard = Arc::new(AtomicBool::new(false));
    let asked = heard.clone();
    let service = service_fn(move |request| {
        let (host, doors, bodies) = (host.clone(), *at_door.borrow(), bodies.clone());
        // Its head has come: from here on it gets an answer.
        let patience = match asked.swap(true, Ordering::Relaxed) {
            true => READ_PATIENCE,
            false => READ_PATIENCE.min(FIRST_ANSWER.saturating_sub(began.elapsed())),
        };
        async move { Ok::<_, Infallible>(respond(request, &host, doors, patience, &bodies).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(MOST_BUFFER)
        // A client may end its sending with its request; it still waits for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A client that breaks its connection off hears nothing more: there is nobody to tell of the error.
    let mut ending = Ending::Other;
    tokio::select! {
        _ = connection.as_mut() => return ending,
        () = sent_away(doors, &heard) => {}
        () = crowded.notified() => ending = Ending::Crowded,
        () = unheard(&heard) => return ending,
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = unheard(&heard) => {}
    }
    ending
}

/// Ends once an idle connection is to be closed.
async fn sent_away(doors: &mut watch::Receiver<Doors>, heard: &AtomicBool) {
    loop {
        let told = doors.wait_for(|doors| doors.send_away() || *doors == Doors::Shut).await;
        if !told.is_ok_and(|doors| doors.send_away()) {
            if !heard.load(Ordering::Relaxed) {
                sleep(FIRST_STAY).await;
            }
            return;
        }
        // Back at work before that, nobody has to go.
        if timeout(DRAIN_STAY, doors.wait_for(|doors| !doors.send_away())).await.is_err() {
            return;
        }
    }
}

/// Ends when a connection's patience for its first request is over, and never once the head of that has come.
async fn unheard(heard: &AtomicBool) {
    sleep(FIRST_PATIENCE).await;
    if heard.load(Ordering::Relaxed) {
        pending::<()>().await;
    }
}

async fn respond(
    request: Request<Incoming>,
    host: &UnboundedSender<Input>,
    doors: Doors,
    patience: Duration,
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
        (&Method::POST, HAND_IN) => hand_in(request, host, patience, bodies).await,
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

async fn hand_in(
    request: Request<Incoming>,
    host: &UnboundedSender<Input>,
    patience: Duration,
    bodies: &Semaphore,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    // Clients tell the length of a message: without it, where one ends is a matter of opinion.
    let length = match body.size_hint().exact().map(usize::try_from) {
        None => return plain(StatusCode::LENGTH_REQUIRED, "Content-Length is missing\n"),
        Some(Ok(length)) if length <= MOST_BODY => length,
        Some(_) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"),
    };
    // Hundreds of clients that each begin a long body at one moment must fit in memory.
    let Ok(_room) = bodies.try_acquire_many(body_permits(length)) else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no room for the body now\n");
    };
    let body = match timeout(patience, whole(body, length)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body cannot be read\n"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
    };
    let came = Instant::now();
    let (message, remaining) = match read(&head.headers, body) {
        Ok(read) => read,
        Err(what) => return plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
    };
    let (answer, answered) = oneshot::channel();
    let _ = host.send(Input::HandIn { message, deadline: came + remaining, answer });
    match answered.await {
        Ok(Answer::TakenOn) => plain(StatusCode::ACCEPTED, ""),
        Ok(Answer::Malformed(what)) => plain(StatusCode::BAD_REQUEST, format!("{what}\n")),
        // A host that has ended took nothing on.
        Ok(Answer::Refused) | Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "not taken on\n"),
    }
}

/// A body in memory of its own. As it comes it is a part of the connection's buffer, of 8 KiB and more, which a
/// message of a few bytes would keep for as long as it is held, with a new one made for the next request.
async fn whole(mut body: Incoming, length: usize) -> Result<Bytes, hyper::Error> {
    let mut bytes = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        // Trailers mean nothing here.
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.into())
}

/// A message and how long it may still be delivered.
fn read(headers: &HeaderMap, body: Bytes) -> Result<(SubmittedMessage, Duration), String> {
    let optional = |name: &str| -> Result<Option<String>, String> {
        if headers.get_all(name).iter().nth(1).is_some() {
            return Err(format!("{name} comes more than once"));
        }
        let text = headers.get(name).map(|value| value.to_str().map(|text| text.trim().to_owned()));
        let text = text.transpose().map_err(|_| format!("{name} is not text"))?;
        match text {
            Some(text) if text.len() > MOST_FIELD => Err(format!("{name} is too long")),
            text => Ok(text),
        }
    };
    let needed = |name: &str| optional(name)?.filter(|t| !t.is_empty()).ok_or(format!("{name} is missing"));
    let remaining: f64 = needed(REMAINING)?.parse().map_err(|_| "X-Remaining is not a number")?;
    if !(remaining > 0.0 && remaining.is_finite()) {
        return Err("X-Remaining is not a time left".to_owned());
    }
    let envelope = needed(ENVELOPE)?;
    let destination = envelope.split([',', ';', ' ']).find_map(|field| field.trim().strip_prefix("dest="));
    let destination = destination.and_then(|number| number.parse().ok());
    let message = SubmittedMessage {
        id: needed(TXN)?,
        class: needed(LANE)?,
        tenant: optional("X-Org")?,
        key: optional("X-Entity")?,
        idempotency_key: optional(IDEMPOTENCY_KEY)?,
        destination: destination.ok_or("X-Envelope holds no dest")?,
        body,
    };
    Ok((message, Duration::from_secs_f64(remaining.min(MOST_REMAINING))))
}

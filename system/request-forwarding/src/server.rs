//! Connections of clients.

use crate::body::AnswerBody;
use crate::forwarder::Forwarder;
use crate::turns::TurnStorage;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use operator_config::Limits;
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};

/// While the process winds down, a connection that has carried no request yet is left open for so long.
const FIRST_STAY: Duration = Duration::from_millis(300);
/// A connection on which something has come in that moment is looked at again so soon.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// When it closes, the listener is empty once nobody has come for so long.
const LAST_ACCEPT: Duration = Duration::from_millis(20);
/// Idle connections to endpoints are looked through so often.
const SWEEP: Duration = Duration::from_millis(250);
/// So long may one who is turned away at the door take.
const DOOR: Duration = Duration::from_millis(300);
/// How many may stand at the door at once.
const MOST_AT_DOOR: usize = 64;
const AT_DOOR: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The least that hyper's buffer may be.
const LEAST_BUFFER: usize = 8192;
/// Connections to the readiness address at once.
const MOST_ASKERS: usize = 32;
/// So long may one of them be idle.
const ASKER_IDLE: Duration = Duration::from_secs(10);

/// Whether a client has left is looked at so often where nothing tells it.
const LEAVING_LOOK: Duration = Duration::from_millis(200);

/// How far the process has wound down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Not at all.
    Serving,
    /// New connections are served, and each connection ends with its next answer.
    Draining,
    /// The same, and no new ones are taken.
    Closing,
}

/// What is known of a client's connection.
struct Client {
    in_flight: Cell<bool>,
    /// Whether its next bytes, or its end, wake the connection: not while some lie unread before them.
    watched: Cell<bool>,
    /// Whether it has yet to send its first request.
    fresh: Cell<bool>,
    /// When the head that is being read began.
    head_began: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
}

/// A request is answered as long as this is held.
struct InFlight(Rc<Client>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(false);
        self.0.idle_since.set(Instant::now());
    }
}

/// The stream of a client, that notes when something comes.
struct ClientStream {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            self.client.watched.set(true);
            ready!(self.stream.poll_read_ready(cx))?;
            self.client.watched.set(false);
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0 && !self.client.in_flight.get() && self.client.head_began.get().is_none() {
                        self.client.head_began.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&*self.stream).shutdown(Shutdown::Write) {
            Err(e) if e.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(e)),
            _ => Poll::Ready(Ok(())),
        }
    }
}

/// Connections that are open, and whoever waits for their end.
#[derive(Default)]
struct Open {
    count: Cell<usize>,
    changed: Notify,
}

struct Place(Rc<Open>);

impl Place {
    fn of(open: &Rc<Open>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.changed.notify_one();
    }
}

impl<T: TurnStorage> Forwarder<T> {
    /// Serves clients until `shutdown` says `Closing` and all connections have ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut shutdown: watch::Receiver<ShutdownPhase>) {
        let open = Rc::new(Open::default());
        let at_door = Rc::new(Open::default());
        let mut sweep = interval(SWEEP);
        loop {
            if stage_of(&mut shutdown) == ShutdownPhase::Closing {
                break;
            }
            tokio::select! {
                // One who has gone again, or no descriptor left: that passes.
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.take(stream, &open, &at_door, &shutdown),
                    Err(e) => {
                        log::warn!("front: {e}");
                        sleep(Duration::from_millis(5)).await;
                    }
                },
                _ = shutdown.changed() => {}
                _ = sweep.tick() => self.core.sweep(),
            }
        }
        while let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT, listener.accept()).await {
            self.take(stream, &open, &at_door, &shutdown);
        }
        drop(listener);
        while open.count.get() > 0 {
            tokio::select! {
                () = open.changed.notified() => {}
                _ = sweep.tick() => self.core.sweep(),
            }
        }
    }

    fn take(
        self: &Rc<Self>,
        stream: TcpStream,
        open: &Rc<Open>,
        at_door: &Rc<Open>,
        shutdown: &watch::Receiver<ShutdownPhase>,
    ) {
        if open.count.get() >= self.most_clients {
            self.core.count(|metrics| metrics.clients_refused += 1);
            if at_door.count.get() < MOST_AT_DOOR {
                let place = Place::of(at_door);
                spawn_local(async move {
                    let _ = timeout(DOOR, turn_away(stream)).await;
                    drop(place);
                });
            }
            return;
        }
        let place = Place::of(open);
        self.core.count(|metrics| metrics.clients += 1);
        let (forwarder, shutdown) = (self.clone(), shutdown.clone());
        spawn_local(async move {
            forwarder.clone().attend(stream, shutdown).await;
            forwarder.core.count(|metrics| metrics.clients -= 1);
            drop(place);
        });
    }

    /// Serves one connection to its end.
    async fn attend(self: Rc<Self>, stream: TcpStream, mut shutdown: watch::Receiver<ShutdownPhase>) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("front: {e}");
            return;
        }
        let stream = Rc::new(stream);
        let accepted = Instant::now();
        let client = Rc::new(Client {
            in_flight: Cell::new(false),
            watched: Cell::new(false),
            fresh: Cell::new(true),
            head_began: Cell::new(None),
            idle_since: Cell::new(accepted),
        });
        let io = TokioIo::new(ClientStream { stream: stream.clone(), client: client.clone() });
        let stage = shutdown.clone();
        let service = {
            let (forwarder, client) = (self.clone(), client.clone());
            service_fn(move |request: Request<Incoming>| {
                client.in_flight.set(true);
                client.fresh.set(false);
                let arrived = client.head_began.take().unwrap_or_else(Instant::now);
                let in_flight = InFlight(client.clone());
                let (forwarder, mut stage) = (forwarder.clone(), stage.clone());
                async move {
                    let mut answer = forwarder.answer(request, arrived).await;
                    if stage_of(&mut stage) != ShutdownPhase::Serving {
                        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    Ok::<_, Infallible>(answer.map(|body| body.guarded(in_flight)))
                }
            })
        };
        let limits = self.limits();
        let buffer = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX).max(LEAST_BUFFER);
        let connection = http1::Builder::new()
            .half_close(false)
            .header_read_timeout(None)
            .max_buf_size(buffer)
            .timer(TokioTimer::new())
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        let mut left = pin!(client_left(&client, &stream));
        let mut leaving = false;
        loop {
            // Those of now: a client goes by the newest configuration, however old its connection is.
            let limits = self.limits();
            let header_patience = Duration::from_millis(limits.header_timeout_ms.max(1));
            let idle_patience = Duration::from_millis(limits.idle_timeout_ms.max(1));
            let now = Instant::now();
            let stage = stage_of(&mut shutdown);
            let mut look_again = now + header_patience.min(idle_patience);
            if client.in_flight.get() {
                if stage != ShutdownPhase::Serving && !leaving {
                    // What is under way is finished, and is the last.
                    connection.as_mut().graceful_shutdown();
                    leaving = true;
                }
            } else if let Some(began) = client.head_began.get() {
                if now >= began + header_patience {
                    return;
                }
                look_again = look_again.min(began + header_patience);
            } else if !is_quiet(&stream) {
                look_again = now + LOOK_AGAIN;
            } else if now >= client.idle_since.get() + idle_patience {
                connection.as_mut().graceful_shutdown();
                leaving = true;
            } else if stage != ShutdownPhase::Serving && !leaving {
                if client.fresh.get() && now < accepted + FIRST_STAY {
                    look_again = accepted + FIRST_STAY;
                } else {
                    connection.as_mut().graceful_shutdown();
                    leaving = true;
                }
            } else {
                look_again = look_again.min(client.idle_since.get() + idle_patience);
            }
            tokio::select! {
                biased;
                ended = &mut connection => {
                    if let Err(e) = ended {
                        log::debug!("front: {e}");
                    }
                    return;
                }
                () = &mut left => return,
                _ = shutdown.changed(), if !leaving => {}
                () = sleep_until(look_again) => {}
            }
        }
    }

    fn limits(&self) -> Limits {
        self.config().map_or(
            Limits {
                max_header_bytes: 16_384,
                max_body_bytes: 4_194_304,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
            |config| config.limits,
        )
    }
}

/// Ends once the client has left while its request is answered. The connection itself sees that, unless further
/// requests lie before the end: those it does not read on before it has answered the first.
async fn client_left(client: &Client, stream: &TcpStream) {
    let mut look = pin!(sleep(Duration::ZERO));
    let mut looking = false;
    poll_fn(|cx| {
        loop {
            if !client.in_flight.get() || client.watched.get() {
                looking = false;
                return Poll::Pending;
            }
            if !looking {
                looking = true;
                look.as_mut().reset(Instant::now() + LEAVING_LOOK);
            }
            ready!(look.as_mut().poll(cx));
            looking = false;
            if has_ended(stream) {
                return Poll::Ready(());
            }
        }
    })
    .await;
}

/// Whether the client has closed its side, as far as that shows past what lies unread.
fn has_ended(stream: &TcpStream) -> bool {
    let told = stream.ready(Interest::READABLE).now_or_never();
    let closed = told.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()));
    closed
        || match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
}

/// Whether nothing has come that was not read yet.
fn is_quiet(stream: &TcpStream) -> bool {
    !matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

/// The stage; nobody to tell it any more is the last one.
fn stage_of(shutdown: &mut watch::Receiver<ShutdownPhase>) -> ShutdownPhase {
    if shutdown.has_changed().is_err() { ShutdownPhase::Closing } else { *shutdown.borrow_and_update() }
}

/// Answers a client for whom there is no room.
async fn turn_away(mut stream: TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = [0; 4096];
    if !matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {
        return;
    }
    if stream.write_all(AT_DOOR).await.is_ok() && stream.shutdown().await.is_ok() {
        // A close over unread bytes would take the answer with it.
        while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {}
    }
}

/// Answers `GET /sedgewood/readiness` with 200 while `ready` says so, else with 503.
pub async fn serve_readiness(listener: TcpListener, ready: impl Fn() -> bool + 'static) {
    let ready = Rc::new(ready);
    let open = Rc::new(Open::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("readiness: {e}");
                sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        if open.count.get() >= MOST_ASKERS {
            continue;
        }
        let (ready, place) = (ready.clone(), Place::of(&open));
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let status = match request.uri().path() {
                    "/sedgewood/readiness" if ready() => StatusCode::OK,
                    "/sedgewood/readiness" => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::NOT_FOUND,
                };
                let mut answer = Response::new(AnswerBody::whole(""));
                *answer.status_mut() = status;
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new()
                .max_buf_size(LEAST_BUFFER)
                .keep_alive(false)
                .timer(TokioTimer::new())
                .header_read_timeout(ASKER_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            // An asker that breaks off is its own affair.
            served.map(drop).await;
            drop(place);
        });
    }
}

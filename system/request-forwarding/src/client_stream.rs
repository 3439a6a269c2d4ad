//! The stream of a client connection: records when bytes arrive, and detects that the client has disconnected.

use client_admission::ConnectionSlot;
use futures_util::FutureExt;
use socket2::SockRef;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Interval of checks for a disconnected client while no I/O event would report it.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// State of a client connection.
pub(crate) struct ConnectionState {
    pub(crate) in_flight: Cell<bool>,
    /// Whether a read is pending, so that further bytes or the end of the stream wake the connection's task. It is
    /// not while earlier bytes are unread.
    pub(crate) read_pending: Cell<bool>,
    /// Whether no request has arrived yet.
    pub(crate) awaits_first_request: Cell<bool>,
    /// When the first byte of the request head being read arrived.
    pub(crate) head_started_at: Cell<Option<Instant>>,
    pub(crate) idle_since: Cell<Instant>,
}

impl ConnectionState {
    pub(crate) fn new(accepted: Instant) -> Self {
        Self {
            in_flight: Cell::new(false),
            read_pending: Cell::new(false),
            awaits_first_request: Cell::new(true),
            head_started_at: Cell::new(None),
            idle_since: Cell::new(accepted),
        }
    }
}

/// Marks a request as in flight until it is dropped.
pub(crate) struct InFlight {
    pub(crate) client: Rc<ConnectionState>,
    pub(crate) slot: Rc<ConnectionSlot>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.client.in_flight.set(false);
        self.client.idle_since.set(Instant::now());
        self.slot.start_waiting();
    }
}

/// The stream of a client connection; records the start of each request head.
pub(crate) struct ClientStream {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) client: Rc<ConnectionState>,
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            self.client.read_pending.set(true);
            ready!(self.stream.poll_read_ready(cx))?;
            self.client.read_pending.set(false);
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    if count > 0
                        && !self.client.in_flight.get()
                        && self.client.head_started_at.get().is_none()
                    {
                        self.client.head_started_at.set(Some(Instant::now()));
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

/// Completes once the client has disconnected while its request is in flight. The HTTP connection itself detects
/// this, unless pipelined bytes precede the end of the stream: it does not read those before it has responded to the
/// first request.
pub(crate) async fn client_disconnected(client: &ConnectionState, stream: &TcpStream) {
    let mut poll_timer = pin!(sleep(Duration::ZERO));
    let mut timer_armed = false;
    poll_fn(|cx| {
        loop {
            if !client.in_flight.get() || client.read_pending.get() {
                timer_armed = false;
                return Poll::Pending;
            }
            if !timer_armed {
                timer_armed = true;
                poll_timer.as_mut().reset(Instant::now() + DISCONNECT_POLL_INTERVAL);
            }
            ready!(poll_timer.as_mut().poll(cx));
            timer_armed = false;
            if is_closed_by_client(stream) {
                return Poll::Ready(());
            }
        }
    })
    .await;
}

/// Whether the client has closed its side, as far as this can be detected behind unread bytes.
pub(crate) fn is_closed_by_client(stream: &TcpStream) -> bool {
    let readiness = stream.ready(Interest::READABLE).now_or_never();
    let closed = readiness.is_some_and(|ready| ready.map_or(true, tokio::io::Ready::is_read_closed));
    closed
        || match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
}

/// Whether no received bytes are unread.
pub(crate) fn has_no_unread_bytes(stream: &TcpStream) -> bool {
    !matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

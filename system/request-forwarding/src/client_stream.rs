//! The stream of a client connection: it records when bytes arrive, and shows whether the client has left.

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

/// Interval at which a departed client is looked for where no event reports it.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What is known of a client's connection.
pub(crate) struct Client {
    pub(crate) in_flight: Cell<bool>,
    /// Whether its next bytes, or its end, wake the connection: not while some lie unread before them.
    pub(crate) watched: Cell<bool>,
    /// Whether it has yet to send its first request.
    pub(crate) fresh: Cell<bool>,
    /// When the head that is being read began.
    pub(crate) head_began: Cell<Option<Instant>>,
    pub(crate) idle_since: Cell<Instant>,
}

impl Client {
    pub(crate) fn new(accepted: Instant) -> Self {
        Self {
            in_flight: Cell::new(false),
            watched: Cell::new(false),
            fresh: Cell::new(true),
            head_began: Cell::new(None),
            idle_since: Cell::new(accepted),
        }
    }
}

/// Marks a request as in flight until it is dropped.
pub(crate) struct InFlight(pub(crate) Rc<Client>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(false);
        self.0.idle_since.set(Instant::now());
    }
}

/// The stream of a client, that notes when something comes.
pub(crate) struct ClientStream {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) client: Rc<Client>,
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

/// Ends once the client has left while its request is answered. The connection itself sees that, unless further
/// requests lie before the end: those it does not read on before it has answered the first.
pub(crate) async fn client_left(client: &Client, stream: &TcpStream) {
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
                look.as_mut().reset(Instant::now() + DEPARTURE_POLL_INTERVAL);
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
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    let told = stream.ready(Interest::READABLE).now_or_never();
    let closed = told.is_some_and(|ready| ready.map_or(true, tokio::io::Ready::is_read_closed));
    closed
        || match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
}

/// Whether nothing has come that was not read yet.
pub(crate) fn is_quiet(stream: &TcpStream) -> bool {
    !matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

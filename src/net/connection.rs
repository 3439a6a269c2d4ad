//! An HTTP/1.1 client connection that tracks how much of its request was written.
use super::received_body::{ReceivedBody, UnproductiveBytes};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Maximum read buffer of a connection: an endless response head must not fill the memory.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Receive buffer of a connection, which the kernel doubles for its own use. Without a fixed size it lets it grow to several
/// MB, which count as memory of the process until they are read.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// A reused connection was found unusable before any byte of the request was written.
    #[error("reused connection closed before the request was sent: {0}")]
    Stale(#[source] hyper::Error),
    /// It broke before the request's last byte was written: the call cannot have executed.
    #[error("connection broke before the request was written: {0}")]
    Unsent(#[source] hyper::Error),
    /// It broke after the request's last byte was written: the call may have executed.
    #[error("connection broke after the request was written: {0}")]
    Reset(#[source] hyper::Error),
}

/// How much of the current request has been written, counted at the socket: the only way to know whether a call
/// on a broken connection may have executed.
#[derive(Default)]
struct Written {
    /// Whether the connection had carried a request before this one.
    kept: bool,
    started: bool,
    /// Matched bytes of the `\r\n\r\n` that ends the head.
    matched: u8,
    body_left: usize,
}

impl Written {
    fn count(&mut self, mut bytes: &[u8]) {
        self.started |= !bytes.is_empty();
        while self.matched < 4
            && let Some((first, rest)) = bytes.split_first()
        {
            self.matched = match (self.matched, first) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => self.matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            bytes = rest;
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }

    fn head_complete(&self) -> bool {
        self.matched == 4
    }

    fn complete(&self) -> bool {
        self.head_complete() && self.body_left == 0
    }
}

/// A stream that counts the bytes written to it and those read in vain. It supports no vectored writes, which keeps the count
/// simple.
struct Counted {
    stream: TcpStream,
    written: Arc<Mutex<Written>>,
    unproductive: UnproductiveBytes,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.unproductive.receive(buf.filled().len() - before))
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let first_write = {
            let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
            written.kept && !written.started
        };
        if first_write {
            check_idle(&self.stream)?;
        }
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written.lock().unwrap_or_else(PoisonError::into_inner).count(&buf[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Checks that the peer has neither closed an idle connection nor sent anything on it. Peeks at the socket itself:
/// bytes that arrived since the last poll would be read as the answer to the next request.
fn check_idle(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(e) => Err(e),
        Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
        Ok(_) => Err(io::Error::new(io::ErrorKind::InvalidData, "unsolicited bytes on an idle connection")),
    }
}

/// An open connection. Dropping it closes it, which also abandons the call on it.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    written: Arc<Mutex<Written>>,
    unproductive: UnproductiveBytes,
    /// Whether it has carried a request.
    used: bool,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects from a port that a listener of this host may take while the connection lasts: without that a process could not
/// get back an address of its own from the range of outgoing ports.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // A kernel that does not know the option has bounds of its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.connect(address).await
}

impl Connection {
    /// Connects within `time_limit`.
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, CallError> {
        let stream = match timeout(time_limit, connect(address)).await {
            Ok(stream) => stream.map_err(CallError::Connect)?,
            Err(_) => return Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        };
        Self::from_stream(stream).await
    }

    /// Wraps a connected stream.
    async fn from_stream(stream: TcpStream) -> Result<Self, CallError> {
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        let written = Arc::new(Mutex::new(Written::default()));
        let unproductive = UnproductiveBytes::default();
        let counted = Counted { stream, written: written.clone(), unproductive: unproductive.clone() };
        let io = TokioIo::new(counted);
        let (requests, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(CallError::Unsent)?;
        // Its result also shows in the call on the connection, or in `is_alive`.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Self { requests, written, unproductive, used: false, driver })
    }

    /// Waits until the connection can send a request; false if it is closed.
    pub async fn is_alive(&mut self) -> bool {
        self.requests.ready().await.is_ok()
    }

    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Sends one request, and returns its answer once the head has arrived.
    pub async fn send(&mut self, request: Builder, body: Bytes) -> Result<Response<ReceivedBody>, CallError> {
        let kept = std::mem::replace(&mut self.used, true);
        *self.written() = Written { kept, body_left: body.len(), ..Written::default() };
        self.unproductive.reset();
        let request = request.body(Full::new(body)).unwrap_or_else(|e| {
            // All parts were valid header values when the server received them.
            tracing::warn!("cannot build the request: {e}");
            Request::default()
        });
        let response = self.requests.send_request(request).await.map_err(|e| match *self.written() {
            ref written if written.complete() => CallError::Reset(e),
            Written { kept: true, started: false, .. } => CallError::Stale(e),
            _ => CallError::Unsent(e),
        })?;
        self.unproductive.reset();
        Ok(response.map(|body| ReceivedBody::new(body, self.unproductive.clone())))
    }

    /// Sends one request on the `kept` connection, or on a new one if there is none or it is stale.
    pub async fn exchange(
        kept: Option<Self>,
        address: SocketAddr,
        time_limit: Duration,
        head: impl Fn() -> Builder,
        body: Bytes,
    ) -> Result<(Self, Response<ReceivedBody>), CallError> {
        if let Some(mut kept) = kept {
            match kept.send(head(), body.clone()).await {
                Err(CallError::Stale(_)) => {}
                answer => return answer.map(|answer| (kept, answer)),
            }
        }
        let mut new = Self::open(address, time_limit).await?;
        let answer = new.send(head(), body).await?;
        Ok((new, answer))
    }

    fn written(&self) -> std::sync::MutexGuard<'_, Written> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the last request's head has been written: an endpoint may start executing it before the body arrives.
    pub fn head_written(&self) -> bool {
        self.written().head_complete()
    }

    /// Whether the last request has been written completely.
    pub fn request_written(&self) -> bool {
        self.written().complete()
    }
}

/// Starts a request with its method, path and `Host` header.
pub fn request(method: Method, path: &str, host: SocketAddr) -> Builder {
    Request::builder().method(method).uri(path).header(HOST, host.to_string())
}

#[cfg(test)]
mod tests;

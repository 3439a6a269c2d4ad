//! Server side: accepting connections, running calls, and pushing to subscribers.

use crate::codec::{WireError, decode, encode};
use crate::frame_memory::FrameMemory;
use crate::frame_reader::FrameReader;
use crate::framing::{configure_socket, enable_keepalive, hello, read_hello, write_frames};
use bytes::Bytes;
use fleet_model::{Answer, Call, Frame, Push};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::{JoinSet, spawn_local};

/// Time-out for the client's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of calls of one connection that run concurrently; further ones remain unread in the socket.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Maximum number of frames queued for writing on one connection.
const MAX_QUEUED_FRAMES: usize = 512;

/// Maximum number of bytes of pushes queued on one connection; a single push may be longer.
const MAX_QUEUED_PUSH_BYTES: usize = 4 << 20;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Application logic that answers calls.
pub trait Handler: 'static {
    /// Answers a call; `pusher` sends pushes on the call's connection. Runs to completion even if the caller disconnects.
    fn call(&self, from: SocketAddr, call: Call, pusher: Pusher) -> impl Future<Output = Answer>;

    /// Length in bytes of the variable part of the answer to a call, as far as it is known before: a long answer waits for
    /// memory before its call runs.
    fn expected_answer_len(&self, call: &Call) -> usize {
        let _ = call;
        0
    }
}

/// An encoded push, so that it is encoded only once for many subscribers.
#[derive(Clone, Debug)]
pub struct PreparedPush(Bytes);

impl PreparedPush {
    /// Encodes the push.
    ///
    /// # Errors
    ///
    /// If the push is longer than [`MAX_FRAME_LEN`](crate::MAX_FRAME_LEN).
    pub fn new(push: &Push) -> Result<Self, WireError> {
        encode(&Frame::Push(push.clone())).map(Self)
    }

    /// Encoded length in bytes.
    #[expect(clippy::len_without_is_empty, reason = "no frame is empty")]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// Sends pushes on one connection, in order.
#[derive(Clone, Debug)]
pub struct Pusher {
    queue: mpsc::Sender<Outgoing>,
    queued_push_bytes: Rc<Cell<usize>>,
}

/// A frame queued for writing, and how many of its bytes count towards the limit on queued pushes.
#[derive(Debug)]
struct Outgoing {
    frame: Bytes,
    push_bytes: usize,
    /// What the frame occupies until it is written.
    _memory: Option<OwnedSemaphorePermit>,
}

impl Pusher {
    /// Queues a push. Returns `false` if it is dropped because the queue is full, the connection is closed, or the push is
    /// too long.
    pub fn try_push(&self, push: &Push) -> bool {
        match PreparedPush::new(push) {
            Ok(push) => self.try_send(&push),
            Err(error) => {
                log::error!("failed to encode a push: {error}");
                false
            }
        }
    }

    /// Like [`Pusher::try_push`], with an encoded push.
    pub fn try_send(&self, push: &PreparedPush) -> bool {
        let (queued_push_bytes, push_bytes) = (self.queued_push_bytes.get(), push.len());
        if queued_push_bytes > 0 && queued_push_bytes + push_bytes > MAX_QUEUED_PUSH_BYTES {
            return false;
        }
        let queued =
            self.queue.try_send(Outgoing { frame: push.0.clone(), push_bytes, _memory: None }).is_ok();
        if queued {
            self.queued_push_bytes.set(queued_push_bytes + push_bytes);
        }
        queued
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }
}

/// Accepts connections and passes their calls to a [`Handler`]. Clones share the handler and the count of rejected
/// connections.
#[derive(Debug)]
pub struct PeerServer<H> {
    fleet: u16,
    handler: Rc<H>,
    rejected_connections: Rc<Cell<u64>>,
    frame_memory: FrameMemory,
}

impl<H> Clone for PeerServer<H> {
    fn clone(&self) -> Self {
        Self {
            fleet: self.fleet,
            handler: self.handler.clone(),
            rejected_connections: self.rejected_connections.clone(),
            frame_memory: self.frame_memory.clone(),
        }
    }
}

/// Why a connection ended.
enum ConnectionEnd {
    /// The client disconnected, or the network failed.
    Closed,
    /// The client is not of this fleet, or violates the protocol.
    Rejected(String),
}

impl From<io::Error> for ConnectionEnd {
    fn from(error: io::Error) -> Self {
        // The framing reports a frame that is too long in this way.
        match error.kind() {
            io::ErrorKind::InvalidData => Self::Rejected(error.to_string()),
            _ => Self::Closed,
        }
    }
}

impl<H: Handler> PeerServer<H> {
    /// Creates a server for processes of this fleet.
    pub fn new(fleet: u16, handler: Rc<H>) -> Self {
        let frame_memory = FrameMemory::unlimited();
        Self { fleet, handler, rejected_connections: Rc::default(), frame_memory }
    }

    /// Limits the memory of large frames, on all connections together: of calls from their first byte until they are answered,
    /// and of answers whose length is known before until they are written. A frame that is alone always finds room. Not for a server whose calls make calls to servers with such a limit.
    #[must_use]
    pub fn with_frame_memory(self, bytes: usize) -> Self {
        Self { frame_memory: FrameMemory::limited(bytes), ..self }
    }

    /// Number of connections rejected because they are not of this fleet: a different hello, none within 2 s, or bytes that
    /// are not calls.
    pub fn rejected_connections(&self) -> u64 {
        self.rejected_connections.get()
    }

    /// Serves until the future is dropped, and then closes the connections. Must run within a
    /// [`tokio::task::LocalSet`].
    pub async fn serve(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => {
                        let server = self.clone();
                        connections.spawn_local(async move { server.handle_connection(stream, from).await });
                    }
                    Err(error) => {
                        log::warn!("failed to accept a connection: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn handle_connection(&self, stream: TcpStream, from: SocketAddr) {
        if let Err(ConnectionEnd::Rejected(reason)) = self.serve_connection(stream, from).await {
            self.rejected_connections.set(self.rejected_connections.get() + 1);
            log::warn!("rejected a connection from {from}: {reason}");
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream, from: SocketAddr) -> Result<(), ConnectionEnd> {
        configure_socket(&stream)?;
        enable_keepalive(&stream)?;
        match tokio::time::timeout(HELLO_TIMEOUT, read_hello(&mut stream, self.fleet)).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => {
                return Err(ConnectionEnd::Rejected("the hello is of another fleet or version".into()));
            }
            Ok(Err(error)) => return Err(error.into()),
            Err(_) => return Err(ConnectionEnd::Rejected("no hello within the time-out".into())),
        }
        stream.write_all(&hello(self.fleet)).await?;
        let (reader, writer) = stream.into_split();
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let pusher = Pusher { queue, queued_push_bytes: Rc::default() };
        let queued_push_bytes = pusher.queued_push_bytes.clone();
        tokio::select! {
            end = self.read_calls(FrameReader::new(reader, self.frame_memory.clone()), from, pusher) => end,
            written = write_frames(writer, outgoing, |next: &Outgoing| {
                queued_push_bytes.set(queued_push_bytes.get() - next.push_bytes);
                next.frame.clone()
            }) => Ok(written?),
        }
    }

    async fn read_calls(
        &self,
        mut frames: FrameReader<OwnedReadHalf>,
        from: SocketAddr,
        pusher: Pusher,
    ) -> Result<(), ConnectionEnd> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
        while let Some(frame) = frames.next().await? {
            let (call_id, call) = match decode(&frame.bytes) {
                Ok(Frame::Call(call_id, call)) => (call_id, call),
                Ok(_) => return Err(ConnectionEnd::Rejected("the frame is not a call".into())),
                Err(error) => return Err(ConnectionEnd::Rejected(error.to_string())),
            };
            let permit = permits.clone().acquire_owned().await.expect("never closed");
            let (handler, pusher, call_memory) = (self.handler.clone(), pusher.clone(), frame.memory);
            let frame_memory = self.frame_memory.clone();
            spawn_local(async move {
                let memory = frame_memory.reserve(handler.expected_answer_len(&call)).await;
                let answer = handler.call(from, call, pusher.clone()).await;
                let frame = encode(&Frame::Answer(call_id, answer)).or_else(|error| {
                    log::error!("failed to encode an answer: {error}");
                    encode(&Frame::Answer(call_id, Answer::NotReady))
                });
                if let Ok(frame) = frame {
                    // Fails if the caller has disconnected.
                    let _ = pusher.queue.send(Outgoing { frame, push_bytes: 0, _memory: memory }).await;
                }
                drop((permit, call_memory));
            });
        }
        Ok(())
    }
}

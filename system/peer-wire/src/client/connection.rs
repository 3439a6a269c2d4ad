//! One connection of a client: writing calls, matching answers to them, and closing when the peer stays silent.

use crate::codec::decode;
use crate::frame_memory::FrameMemory;
use crate::frame_reader::FrameReader;
use crate::framing::{configure_socket, hello, read_hello, write_frames};
use bytes::Bytes;
use fleet_model::{Answer, Frame};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Maximum number of frames queued for writing; further calls wait until their time-out.
const MAX_QUEUED_FRAMES: usize = 1024;

/// One open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) queue: mpsc::Sender<QueuedCall>,
    pub(super) pending: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    pub(super) last_received: Cell<Option<Instant>>,
    /// When the earliest timed-out call was sent since which nothing was received.
    unresponsive_since: Cell<Option<Instant>>,
    pub(super) closed: CancellationToken,
}

/// An encoded call, and the memory that it occupies until it is written.
#[derive(Debug)]
pub(super) struct QueuedCall {
    pub(super) frame: Bytes,
    pub(super) _memory: Option<OwnedSemaphorePermit>,
}

/// Removes a call from the pending ones when its caller drops it.
pub(super) struct PendingCall<'a> {
    pub(super) connection: &'a Connection,
    pub(super) call_id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.connection.pending.borrow_mut().remove(&self.call_id);
    }
}

impl Connection {
    pub(super) fn start(stream: TcpStream, frame_memory: FrameMemory) -> Rc<Self> {
        let (reader, writer) = stream.into_split();
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = Rc::new(Self {
            queue,
            pending: RefCell::default(),
            last_received: Cell::new(None),
            unresponsive_since: Cell::new(None),
            closed: CancellationToken::new(),
        });
        let running = connection.clone();
        spawn_local(async move {
            tokio::select! {
                () = running.closed.cancelled() => {}
                () = running.read_answers(reader, frame_memory) => {}
                _ = write_frames(writer, outgoing, |call: &QueuedCall| call.frame.clone()) => {}
            }
            running.close();
        });
        connection
    }

    /// Closes the connection; pending calls fail as lost.
    pub(super) fn close(&self) {
        self.closed.cancel();
        self.pending.borrow_mut().clear();
    }

    async fn read_answers(&self, reader: OwnedReadHalf, frame_memory: FrameMemory) {
        let mut frames = FrameReader::new(ActivityReader { reader, connection: self }, frame_memory);
        while let Ok(Some(frame)) = frames.next().await {
            match decode(&frame.bytes) {
                Ok(Frame::Answer(call_id, answer)) => {
                    let caller = self.pending.borrow_mut().remove(&call_id);
                    if let Some(caller) = caller {
                        // Fails if the caller has timed out.
                        let _ = caller.send(answer);
                    }
                }
                Ok(Frame::Push(_)) => {}
                Ok(Frame::Call(..)) => {
                    log::warn!("closing a connection: received a call from a server");
                    return;
                }
                Err(error) => {
                    log::warn!("closing a connection: {error}");
                    return;
                }
            }
        }
    }

    /// Handles the time-out of a call sent at `sent`: closes the connection at `sent + silence_timeout` unless something is
    /// received before.
    pub(super) fn handle_call_timeout(self: &Rc<Self>, sent: Instant, silence_timeout: Duration) {
        if self.last_received.get().is_some_and(|received| received >= sent) || self.closed.is_cancelled() {
            return;
        }
        if self.unresponsive_since.get().is_some_and(|since| since <= sent) {
            return; // A check is scheduled already.
        }
        self.unresponsive_since.set(Some(sent));
        let close_at = sent + silence_timeout;
        if Instant::now() >= close_at {
            self.close();
            return;
        }
        let connection = self.clone();
        spawn_local(async move {
            tokio::select! {
                () = connection.closed.cancelled() => {}
                () = sleep_until(close_at) => {
                    if connection.unresponsive_since.get() == Some(sent) {
                        connection.close();
                    }
                }
            }
        });
    }
}

/// Reader that records when bytes are received.
struct ActivityReader<'a> {
    reader: OwnedReadHalf,
    pub(super) connection: &'a Connection,
}

impl AsyncRead for ActivityReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.reader).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.last_received.set(Some(Instant::now()));
            self.connection.unresponsive_since.set(None);
        }
        read
    }
}

pub(super) async fn connect(
    address: SocketAddrV4,
    fleet: u16,
    local: Option<Ipv4Addr>,
    connect_timeout: Duration,
) -> io::Result<TcpStream> {
    timeout(connect_timeout, async {
        let socket = TcpSocket::new_v4()?;
        match local {
            Some(local) => socket.bind(SocketAddrV4::new(local, 0).into())?,
            // A listener of this host may take the port while the connection lasts.
            None => socket.set_reuseaddr(true)?,
        }
        let mut stream = socket.connect(address.into()).await?;
        configure_socket(&stream)?;
        stream.write_all(&hello(fleet)).await?;
        match read_hello(&mut stream, fleet).await? {
            true => Ok(stream),
            false => {
                Err(io::Error::new(io::ErrorKind::InvalidData, "the hello is of another fleet or version"))
            }
        }
    })
    .await?
}

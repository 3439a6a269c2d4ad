//! Calling.

use crate::codec::{decode, encode};
use crate::framing::{framing, hello, read_hello, tune, write_frames};
use bytes::Bytes;
use fleet_model::{Answer, Call, Frame, Push};
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// How many frames wait to be written; further calls wait within their patience.
const QUEUE_FRAMES: usize = 1024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum CallFailure {
    /// Nothing of it was sent.
    #[error("unreachable")]
    Unreachable,
    /// The connection broke: it may have been carried out.
    #[error("lost")]
    Lost,
    /// No answer within the patience: it may have been carried out.
    #[error("timed out")]
    TimedOut,
}

/// Bounds of a client's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How long an attempt to connect lasts at most, hellos included.
    pub connect_timeout: Duration,
    /// The pause after the first failed attempt, doubled with each further one.
    pub initial_backoff: Duration,
    /// The longest pause.
    pub max_backoff: Duration,
    /// Calls time out and nothing is received since they were sent: after so long the connection is closed.
    pub silence_timeout: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(600),
        }
    }
}

/// Calls one peer over one connection, opened when it is needed. Clones share it. Has to be used within a `LocalSet`.
#[derive(Clone, Debug)]
pub struct PeerClient {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddrV4,
    fleet: u16,
    local: Option<Ipv4Addr>,
    limits: CallLimits,
    state: RefCell<State>,
    /// The number of the last call. It rises over all connections, so that an answer to a call of a former one is no
    /// answer to any of this one.
    last_number: Cell<u64>,
    /// Attempts since a connection last brought something.
    failures: Cell<u32>,
}

#[derive(Debug)]
enum State {
    /// No connection, and none is tried before this moment, if there is one.
    Closed(Option<Instant>),
    /// An attempt is under way, for these.
    Connecting(Vec<oneshot::Sender<Rc<Link>>>),
    /// There is a connection, which may have ended.
    Open(Rc<Link>),
}

/// One connection.
#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Bytes>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    last_received: Cell<Option<Instant>>,
    /// When the first of the calls was sent that timed out with nothing received since then.
    silent_since: Cell<Option<Instant>>,
    ended: CancellationToken,
}

/// Forgets a call when its caller does.
struct PendingCall<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.pending.borrow_mut().remove(&self.number);
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        if let State::Open(link) = self.state.get_mut() {
            link.end();
        }
    }
}

impl PeerClient {
    /// A client of the process at `address`, for members of this fleet; its connections come from `local`, if given.
    pub fn new(address: SocketAddrV4, fleet: u16, local: Option<Ipv4Addr>) -> Self {
        Self::with_limits(address, fleet, local, CallLimits::default())
    }

    /// As [`PeerClient::new`], with other limits.
    pub fn with_limits(
        address: SocketAddrV4,
        fleet: u16,
        local: Option<Ipv4Addr>,
        limits: CallLimits,
    ) -> Self {
        let (state, failures) = (RefCell::new(State::Closed(None)), Cell::new(0));
        let last_number = Cell::new(0);
        Self { shared: Rc::new(Shared { address, fleet, local, limits, state, last_number, failures }) }
    }

    /// The address of the process that it calls.
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Calls, and waits for the answer for at most `patience`, connecting included.
    pub async fn call(&self, call: Call, patience: Duration) -> Result<Answer, CallFailure> {
        let deadline = Instant::now() + patience;
        let link = self.link(deadline).await?;
        let number = self.shared.last_number.get() + 1;
        self.shared.last_number.set(number);
        let frame = encode(&Frame::Call(number, call)).map_err(|error| {
            log::error!("a call cannot be sent: {error}");
            CallFailure::Unreachable
        })?;
        let place = match timeout_at(deadline, link.queue.reserve()).await {
            Ok(Ok(place)) => place,
            Ok(Err(_)) | Err(_) => return Err(CallFailure::Unreachable),
        };
        if link.ended.is_cancelled() {
            return Err(CallFailure::Unreachable);
        }
        let (sender, answer) = oneshot::channel();
        link.pending.borrow_mut().insert(number, sender);
        let _pending = PendingCall { link: &link, number };
        let sent = Instant::now();
        place.send(frame);
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallFailure::Lost),
            Err(_) => {
                link.heard_nothing_since(sent, self.shared.limits.silence_timeout);
                Err(CallFailure::TimedOut)
            }
        }
    }

    /// Calls on a connection of its own, which then brings pushes; to be used with [`Call::Subscribe`]. The pauses
    /// between attempts are the caller's affair.
    pub async fn subscribe(
        &self,
        call: Call,
        patience: Duration,
    ) -> Result<(Answer, PushStream), CallFailure> {
        let deadline = Instant::now() + patience;
        let frame = encode(&Frame::Call(1, call)).map_err(|error| {
            log::error!("a call cannot be sent: {error}");
            CallFailure::Unreachable
        })?;
        let stream = match timeout_at(deadline, self.shared.connect()).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(CallFailure::Unreachable),
        };
        let (reader, writer) = stream.into_split();
        let mut writer = FramedWrite::new(writer, framing());
        let mut pushes =
            PushStream { frames: FramedRead::new(reader, framing()), early: VecDeque::new(), _writer: None };
        let answer = timeout_at(deadline, async {
            writer.send(frame).await.ok()?;
            loop {
                match pushes.frame().await? {
                    Frame::Answer(1, answer) => return Some(answer),
                    Frame::Push(push) => pushes.early.push_back(push),
                    _ => return None,
                }
            }
        });
        match answer.await {
            Ok(Some(answer)) => {
                pushes._writer = Some(writer.into_inner());
                Ok((answer, pushes))
            }
            Ok(None) => Err(CallFailure::Lost),
            Err(_) => Err(CallFailure::TimedOut),
        }
    }

    /// The connection, opened if there is none.
    async fn link(&self, deadline: Instant) -> Result<Rc<Link>, CallFailure> {
        let (sender, opened) = oneshot::channel();
        {
            let state = &mut *self.shared.state.borrow_mut();
            if let State::Open(link) = state {
                if !link.ended.is_cancelled() {
                    return Ok(link.clone());
                }
                let pause = self.shared.pause_after(link);
                *state = State::Closed(pause);
            }
            match state {
                State::Connecting(waiting) => waiting.push(sender),
                State::Closed(Some(until)) if Instant::now() < *until => {
                    return Err(CallFailure::Unreachable);
                }
                State::Closed(_) | State::Open(_) => {
                    *state = State::Connecting(vec![sender]);
                    spawn_local(open(Rc::downgrade(&self.shared)));
                }
            }
        }
        match timeout_at(deadline, opened).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Unreachable),
        }
    }
}

impl Shared {
    /// A connection on which both hellos were said.
    async fn connect(&self) -> io::Result<TcpStream> {
        dial(self.address, self.fleet, self.local, self.limits.connect_timeout).await
    }

    /// Until when nothing is tried after one more failure.
    fn pause(&self) -> Option<Instant> {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let pause = self.limits.initial_backoff.saturating_mul(1 << failures.min(16));
        Some(Instant::now() + pause.min(self.limits.max_backoff))
    }

    /// A connection that brought something may be opened again at once, another one is a failure.
    fn pause_after(&self, link: &Link) -> Option<Instant> {
        if link.last_received.get().is_some() {
            self.failures.set(0);
            return None;
        }
        self.pause()
    }
}

async fn dial(
    address: SocketAddrV4,
    fleet: u16,
    local: Option<Ipv4Addr>,
    patience: Duration,
) -> io::Result<TcpStream> {
    timeout(patience, async {
        let socket = TcpSocket::new_v4()?;
        if let Some(local) = local {
            socket.bind(SocketAddrV4::new(local, 0).into())?;
        }
        let mut stream = socket.connect(address.into()).await?;
        tune(&stream)?;
        stream.write_all(&hello(fleet)).await?;
        match read_hello(&mut stream, fleet).await? {
            true => Ok(stream),
            false => Err(io::Error::new(io::ErrorKind::InvalidData, "another hello")),
        }
    })
    .await?
}

/// Opens the connection and tells those who wait for it. Does not keep the client alive.
async fn open(shared: Weak<Shared>) {
    let Some(attempt) = shared.upgrade().map(|s| (s.address, s.fleet, s.local, s.limits.connect_timeout))
    else {
        return;
    };
    let (address, fleet, local, patience) = attempt;
    let stream = dial(address, fleet, local, patience).await;
    let Some(shared) = shared.upgrade() else { return };
    let next = match stream {
        Ok(stream) => State::Open(Link::start(stream)),
        Err(error) => {
            log::debug!("no connection to {address}: {error}");
            State::Closed(shared.pause())
        }
    };
    let link = match &next {
        State::Open(link) => Some(link.clone()),
        _ => None,
    };
    if let (State::Connecting(waiting), Some(link)) = (shared.state.replace(next), link) {
        for waiter in waiting {
            // Fails if the caller has lost its patience.
            let _ = waiter.send(link.clone());
        }
    }
}

impl Link {
    fn start(stream: TcpStream) -> Rc<Self> {
        let (reader, writer) = stream.into_split();
        let (queue, outgoing) = mpsc::channel(QUEUE_FRAMES);
        let link = Rc::new(Self {
            queue,
            pending: RefCell::default(),
            last_received: Cell::new(None),
            silent_since: Cell::new(None),
            ended: CancellationToken::new(),
        });
        let running = link.clone();
        spawn_local(async move {
            tokio::select! {
                () = running.ended.cancelled() => {}
                () = running.read_answers(reader) => {}
                _ = write_frames(writer, outgoing, |frame| frame) => {}
            }
            running.end();
        });
        link
    }

    /// Those who wait for answers learn that the connection is lost.
    fn end(&self) {
        self.ended.cancel();
        self.pending.borrow_mut().clear();
    }

    async fn read_answers(&self, reader: OwnedReadHalf) {
        let mut frames = FramedRead::new(Heard { reader, link: self }, framing());
        while let Some(Ok(bytes)) = frames.next().await {
            match decode(&bytes) {
                Ok(Frame::Answer(number, answer)) => {
                    let caller = self.pending.borrow_mut().remove(&number);
                    if let Some(caller) = caller {
                        // Fails if the caller has lost its patience.
                        let _ = caller.send(answer);
                    }
                }
                Ok(Frame::Push(_)) => {}
                Ok(Frame::Call(..)) => {
                    log::warn!("closed a connection: a call came where answers are due");
                    return;
                }
                Err(error) => {
                    log::warn!("closed a connection: {error}");
                    return;
                }
            }
        }
    }

    /// A call that was sent then has timed out.
    fn heard_nothing_since(self: &Rc<Self>, sent: Instant, silence: Duration) {
        if self.last_received.get().is_some_and(|received| received >= sent) || self.ended.is_cancelled() {
            return;
        }
        if self.silent_since.get().is_some_and(|since| since <= sent) {
            return; // The end of the silence is awaited already.
        }
        self.silent_since.set(Some(sent));
        let end = sent + silence;
        if Instant::now() >= end {
            self.end();
            return;
        }
        let link = self.clone();
        spawn_local(async move {
            tokio::select! {
                () = link.ended.cancelled() => {}
                () = sleep_until(end) => {
                    if link.silent_since.get() == Some(sent) {
                        link.end();
                    }
                }
            }
        });
    }
}

/// Notes when bytes came.
struct Heard<'a> {
    reader: OwnedReadHalf,
    link: &'a Link,
}

impl AsyncRead for Heard<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.reader).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.link.last_received.set(Some(Instant::now()));
            self.link.silent_since.set(None);
        }
        read
    }
}

/// The pushes of one subscription. Dropped, it closes its connection.
#[derive(Debug)]
pub struct PushStream {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Came before the answer.
    early: VecDeque<Push>,
    /// Dropped, it would close the connection in its direction.
    _writer: Option<OwnedWriteHalf>,
}

impl PushStream {
    /// The next push; nothing once the connection is gone. Loses none when dropped while it waits.
    pub async fn next(&mut self) -> Option<Push> {
        if let Some(push) = self.early.pop_front() {
            return Some(push);
        }
        match self.frame().await? {
            Frame::Push(push) => Some(push),
            _ => None,
        }
    }

    async fn frame(&mut self) -> Option<Frame> {
        let bytes = self.frames.next().await?.ok()?;
        decode(&bytes).inspect_err(|error| log::warn!("a feed is closed: {error}")).ok()
    }
}

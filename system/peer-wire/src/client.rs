//! Client side: calls to one peer over a shared connection, and subscriptions.

mod connection;
mod push_stream;

pub use push_stream::PushStream;

use self::connection::{Connection, PendingCall, QueuedCall, connect};
use crate::codec::{encode, estimated_len};
use crate::frame_memory::FrameMemory;
use crate::framing::framing;
use fleet_model::{Answer, Call, Frame};
use futures_util::SinkExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite};

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum CallFailure {
    /// No connection: nothing of the call was sent.
    #[error("unreachable")]
    Unreachable,
    /// The connection was lost: the call may have been executed.
    #[error("lost")]
    Lost,
    /// No answer before the time-out: the call may have been executed.
    #[error("timed out")]
    TimedOut,
}

/// Time-outs and backoff of a client's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Time-out of a connection attempt, hellos included.
    pub connect_timeout: Duration,
    /// Backoff after the first failed attempt; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// A connection on which a call timed out is closed if nothing was received for this long since that call was sent.
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

/// Memory for large frames of clients, which may share it.
#[derive(Clone, Debug)]
pub struct ClientFrameMemory {
    /// For calls until they are written.
    pub calls: FrameMemory,
    /// For answers while they are read.
    pub answers: FrameMemory,
}

impl ClientFrameMemory {
    /// Memory without a limit.
    pub fn unlimited() -> Self {
        Self { calls: FrameMemory::unlimited(), answers: FrameMemory::unlimited() }
    }

    /// This many bytes for calls, and as many for answers.
    pub fn limited(bytes: usize) -> Self {
        Self { calls: FrameMemory::limited(bytes), answers: FrameMemory::limited(bytes) }
    }
}

/// Client of one peer, with one connection that is opened on demand. Clones share it. Must be used within a
/// [`tokio::task::LocalSet`].
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
    frame_memory: ClientFrameMemory,
    state: RefCell<State>,
    /// Id of the last call. Ids increase across connections, so that an answer to a call on an earlier connection never
    /// matches a call on this one.
    last_call_id: Cell<u64>,
    /// Failed attempts since data was last received on a connection.
    failures: Cell<u32>,
}

#[derive(Debug)]
enum State {
    /// No connection; if there is a backoff, no attempt is made before it ends.
    Closed(Option<Instant>),
    /// A connection attempt is in progress, for these callers.
    Connecting(Vec<oneshot::Sender<Rc<Connection>>>),
    /// A connection, which may have been closed.
    Open(Rc<Connection>),
}

impl Drop for Shared {
    fn drop(&mut self) {
        if let State::Open(connection) = self.state.get_mut() {
            connection.close();
        }
    }
}

impl PeerClient {
    /// Creates a client of the process at `address` in this fleet; its connections are bound to `local`, if given.
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
        Self::with_frame_memory(address, fleet, local, limits, ClientFrameMemory::unlimited())
    }

    /// As [`PeerClient::with_limits`], with memory for large frames: a call waits for it and occupies it until it is written, an
    /// answer occupies it while it is read. Calls and answers have memory of their own, so that none waits for the other.
    pub fn with_frame_memory(
        address: SocketAddrV4,
        fleet: u16,
        local: Option<Ipv4Addr>,
        limits: CallLimits,
        frame_memory: ClientFrameMemory,
    ) -> Self {
        let (state, failures) = (RefCell::new(State::Closed(None)), Cell::new(0));
        let last_call_id = Cell::new(0);
        let shared = Shared { address, fleet, local, limits, frame_memory, state, last_call_id, failures };
        Self { shared: Rc::new(shared) }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Sends a call and waits for the answer, for at most `timeout`, connecting included.
    ///
    /// # Errors
    ///
    /// If there is no connection, or no answer before the time-out; see [`CallFailure`] for what is known of the call.
    pub async fn call(&self, call: Call, timeout: Duration) -> Result<Answer, CallFailure> {
        let deadline = Instant::now() + timeout;
        let connection = self.open_or_reuse(deadline).await?;
        let call_id = self.shared.last_call_id.get() + 1;
        self.shared.last_call_id.set(call_id);
        let call = Frame::Call(call_id, call);
        let memory = self.shared.frame_memory.calls.reserve(estimated_len(&call));
        let memory = timeout_at(deadline, memory).await.map_err(|_| CallFailure::Unreachable)?;
        let frame = encode(&call).map_err(|error| {
            log::error!("failed to encode a call: {error}");
            CallFailure::Unreachable
        })?;
        drop(call);
        let permit = match timeout_at(deadline, connection.queue.reserve()).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) | Err(_) => return Err(CallFailure::Unreachable),
        };
        if connection.closed.is_cancelled() {
            return Err(CallFailure::Unreachable);
        }
        let (sender, answer) = oneshot::channel();
        connection.pending.borrow_mut().insert(call_id, sender);
        let _pending = PendingCall { connection: &connection, call_id };
        let sent = Instant::now();
        permit.send(QueuedCall { frame, _memory: memory });
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallFailure::Lost),
            Err(_) => {
                connection.handle_call_timeout(sent, self.shared.limits.silence_timeout);
                Err(CallFailure::TimedOut)
            }
        }
    }

    /// Sends a call on a separate connection, which then carries pushes; for [`Call::Subscribe`]. Backoff between
    /// attempts is left to the caller.
    ///
    /// # Errors
    ///
    /// If there is no connection, or no answer before the time-out.
    pub async fn subscribe(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<(Answer, PushStream), CallFailure> {
        let deadline = Instant::now() + timeout;
        let frame = encode(&Frame::Call(1, call)).map_err(|error| {
            log::error!("failed to encode a call: {error}");
            CallFailure::Unreachable
        })?;
        let stream = match timeout_at(deadline, self.shared.connect()).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(CallFailure::Unreachable),
        };
        let (reader, writer) = stream.into_split();
        let mut writer = FramedWrite::new(writer, framing());
        let mut pushes = PushStream {
            frames: FramedRead::new(reader, framing()),
            pushes_before_answer: VecDeque::new(),
            _writer: None,
        };
        let answer = timeout_at(deadline, async {
            writer.send(frame).await.ok()?;
            loop {
                match pushes.next_frame().await? {
                    Frame::Answer(1, answer) => return Some(answer),
                    Frame::Push(push) => pushes.pushes_before_answer.push_back(push),
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

    /// The current connection; opens one if there is none.
    async fn open_or_reuse(&self, deadline: Instant) -> Result<Rc<Connection>, CallFailure> {
        let (sender, opened) = oneshot::channel();
        {
            let state = &mut *self.shared.state.borrow_mut();
            if let State::Open(connection) = state {
                if !connection.closed.is_cancelled() {
                    return Ok(connection.clone());
                }
                let backoff_end = self.shared.backoff_end_after(connection);
                *state = State::Closed(backoff_end);
            }
            match state {
                State::Connecting(waiters) => waiters.push(sender),
                State::Closed(Some(until)) if Instant::now() < *until => {
                    return Err(CallFailure::Unreachable);
                }
                State::Closed(_) | State::Open(_) => {
                    *state = State::Connecting(vec![sender]);
                    spawn_local(open_connection(Rc::downgrade(&self.shared)));
                }
            }
        }
        match timeout_at(deadline, opened).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(CallFailure::Unreachable),
        }
    }
}

impl Shared {
    /// Opens a connection and exchanges hellos.
    async fn connect(&self) -> io::Result<TcpStream> {
        connect(self.address, self.fleet, self.local, self.limits.connect_timeout).await
    }

    /// Counts a failure; returns the end of the backoff that follows it.
    fn next_backoff_end(&self) -> Option<Instant> {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let backoff = self.limits.initial_backoff.saturating_mul(1 << failures.min(16));
        Some(Instant::now() + backoff.min(self.limits.max_backoff))
    }

    /// The end of the backoff after a closed connection: none if data was received on it; otherwise it counts as a
    /// failure.
    fn backoff_end_after(&self, connection: &Connection) -> Option<Instant> {
        if connection.last_received.get().is_some() {
            self.failures.set(0);
            return None;
        }
        self.next_backoff_end()
    }
}

/// Opens the connection and passes it to the waiting callers. Does not keep the client alive.
async fn open_connection(shared: Weak<Shared>) {
    let Some(attempt) = shared.upgrade().map(|s| (s.address, s.fleet, s.local, s.limits.connect_timeout))
    else {
        return;
    };
    let (address, fleet, local, connect_timeout) = attempt;
    let stream = connect(address, fleet, local, connect_timeout).await;
    let Some(shared) = shared.upgrade() else { return };
    let next = match stream {
        Ok(stream) => State::Open(Connection::start(stream, shared.frame_memory.answers.clone())),
        Err(error) => {
            log::debug!("failed to connect to {address}: {error}");
            State::Closed(shared.next_backoff_end())
        }
    };
    let connection = match &next {
        State::Open(connection) => Some(connection.clone()),
        _ => None,
    };
    if let (State::Connecting(waiters), Some(connection)) = (shared.state.replace(next), connection) {
        for waiter in waiters {
            // Fails if the caller has timed out.
            let _ = waiter.send(connection.clone());
        }
    }
}

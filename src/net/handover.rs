//! Upgrade without downtime: a running process hands its state over to a new one that uses the same folder.
//!
//! The process that writes the journal locks a file beside it; the kernel releases the lock however the process ends.
//! The lock holder listens on a Unix socket there. A new process that finds the lock held connects to that socket:
//!
//! 1. new: sends its version; the old one stops deciding and writing.
//! 2. old: sends the listening socket, then its [`State`].
//! 3. new: sends [`ToOld::Taken`].
//! 4. old: releases the lock, then sends [`ToNew::Yours`]. From here on the new one decides and writes.
//!
//! If anything fails before step 4, the old process resumes as before, and the new one retries until it has the lock.
//! After step 4 the old process finishes its calls and forwards what still reaches it.
use super::relay::{ToNew, ToOld};
use message_sender::{EndpointId, Event, Sender, Time};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{File, TryLockError};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Protocol version, raised with every change of the handed-over state. Between different versions there is no
/// handover: the new process waits for the old one to end.
const VERSION: u32 = 5;
/// Maximum frame length: a thousand pending messages take a fraction of a megabyte.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Interval between attempts to take the lock.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The interval after a failure that shows that the two processes are incompatible.
const INCOMPATIBLE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for the version from a process that has connected.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the old process that the journal does not hold.
#[derive(Serialize, Deserialize)]
pub struct State<S, P> {
    pub sender: S,
    /// Events since the decision module's last step.
    pub pending: P,
    /// The decision module's number of each endpoint, its id, address, zone and batch size.
    pub endpoints: Vec<(EndpointId, String, SocketAddr, String, usize)>,
    /// The number for the next new endpoint.
    pub next_endpoint: u32,
    /// The names behind the decision module's other numbers.
    pub numbering: Vec<Vec<String>>,
    /// Revision of the list of endpoints.
    pub revision: u64,
    /// Whether the process is draining.
    pub draining: bool,
    /// Client connections that the old process still serves.
    pub clients: usize,
}

/// The state as read by the new process.
pub type Known = State<Sender, Vec<(Time, Event)>>;
/// The state as borrowed by the old process, which keeps it if the handover fails.
pub type Given<'a> = State<&'a Sender, &'a [(Time, Event)]>;

/// The state without the decision module.
pub type Rest = State<(), Vec<(Time, Event)>>;

impl Known {
    /// Separates the decision module from the rest.
    pub fn split(self) -> (Sender, Rest) {
        let State { sender, pending, endpoints, next_endpoint, numbering, revision, draining, clients } =
            self;
        let rest =
            State { sender: (), pending, endpoints, next_endpoint, numbering, revision, draining, clients };
        (sender, rest)
    }
}

#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    #[error("{doing} {path}: {source}")]
    Folder { doing: &'static str, path: PathBuf, source: io::Error },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("invalid frame: {0}")]
    Frame(#[from] postcard::Error),
    #[error("no listening socket was received")]
    NoSocket,
    #[error("this process is ending")]
    Ending,
    #[error("unexpected message from the other process")]
    Turn,
    #[error("the zones, kinds or tenants of the running process differ from this configuration")]
    Numbering,
    #[error("no answer in time")]
    Silent(#[from] tokio::time::error::Elapsed),
}

/// The exclusive right to write the journal, held until this is dropped or the process ends.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// The file beside the journal whose lock is the right to write it.
struct LockFile {
    path: PathBuf,
    file: File,
}

impl LockFile {
    fn open(folder: &Path) -> Result<Self, HandoverError> {
        let path = folder.join("journal.lock");
        match File::options().write(true).create(true).truncate(false).open(&path) {
            Ok(file) => Ok(Self { path, file }),
            Err(source) => Err(HandoverError::Folder { doing: "opening", path, source }),
        }
    }

    /// Takes the lock; gives the file back if another process holds it.
    fn try_lock(self) -> Result<Result<Lock, Self>, HandoverError> {
        match self.file.try_lock() {
            Ok(()) => Ok(Ok(Lock { _file: self.file })),
            Err(TryLockError::WouldBlock) => Ok(Err(self)),
            Err(TryLockError::Error(source)) => Err(self.locking_error(source)),
        }
    }

    /// Waits for the lock.
    fn lock(self) -> Result<Lock, HandoverError> {
        match self.file.lock() {
            Ok(()) => Ok(Lock { _file: self.file }),
            Err(source) => Err(self.locking_error(source)),
        }
    }

    fn locking_error(self, source: io::Error) -> HandoverError {
        HandoverError::Folder { doing: "locking", path: self.path, source }
    }
}

/// What a running process handed over.
pub struct Inherited {
    pub state: Box<Known>,
    pub listener: TcpListener,
    pub stream: UnixStream,
}

/// Waits for the lock on the folder's journal, asking the process that holds it to hand over.
///
/// # Errors
/// The lock file cannot be opened or locked.
pub async fn claim(
    folder: &Path,
    numbering: &[Vec<String>],
) -> Result<(Lock, Option<Inherited>), HandoverError> {
    let mut logged = String::new();
    loop {
        let held = match LockFile::open(folder)?.try_lock()? {
            Ok(lock) => return Ok((lock, None)),
            Err(held) => held,
        };
        match request_handover(folder, numbering).await {
            // The old process released the lock before its last message.
            Ok(inherited) => return Ok((held.lock()?, Some(inherited))),
            Err(e) => {
                // Log each reason once, not each attempt.
                let text = e.to_string();
                if logged != text {
                    tracing::warn!("another process holds the journal and did not hand over: {text}");
                    logged = text;
                }
                // An attempt that gets this far pauses the other process for a moment.
                let incompatible = matches!(e, HandoverError::Numbering | HandoverError::Frame(_));
                sleep(if incompatible { INCOMPATIBLE_RETRY_INTERVAL } else { RETRY_INTERVAL }).await;
            }
        }
    }
}

/// What a process that claims the journal again finds.
pub enum Claim {
    /// The lock is this process's.
    Locked(Lock),
    /// Another process has taken over.
    HeldByAnother,
}

/// Takes the lock on the folder's journal, without asking a process that holds it to hand over.
///
/// # Errors
/// The lock file cannot be opened or locked.
pub fn claim_again(folder: &Path) -> Result<Claim, HandoverError> {
    Ok(match LockFile::open(folder)?.try_lock()? {
        Ok(lock) => Claim::Locked(lock),
        Err(_) => Claim::HeldByAnother,
    })
}

/// The path of the handover socket, through the folder's descriptor if the plain path is too long for a socket address.
fn socket_path(folder: &Path) -> io::Result<(PathBuf, File)> {
    let open = File::open(folder)?;
    let path = folder.join("handover.sock");
    if path.as_os_str().len() < 100 {
        return Ok((path, open));
    }
    Ok((PathBuf::from(format!("/proc/self/fd/{}/handover.sock", open.as_raw_fd())), open))
}

/// Requests a handover. No time limit: if the old process never answers, this waits until its end closes the connection.
async fn request_handover(folder: &Path, numbering: &[Vec<String>]) -> Result<Inherited, HandoverError> {
    let (path, _open) = socket_path(folder)?;
    let mut stream = UnixStream::connect(path).await?;
    write(&mut stream, &ToOld::Hello(VERSION)).await?;
    let listener = TcpListener::from(receive_descriptor(&stream).await?);
    let state: Box<Known> = Box::new(read(&mut stream).await?);
    if state.numbering != numbering {
        return Err(HandoverError::Numbering);
    }
    write(&mut stream, &ToOld::Taken).await?;
    match read(&mut stream).await? {
        ToNew::Yours => Ok(Inherited { state, listener, stream }),
        _ => Err(HandoverError::Turn),
    }
}

/// Listens for processes that request a handover, and passes their connections to `on_request`, which returns false to
/// stop listening.
pub fn listen(folder: &Path, on_request: impl Fn(UnixStream) -> bool + Send + 'static) -> io::Result<()> {
    let (path, _open) = socket_path(folder)?;
    // This process holds the lock: an existing socket belongs to a process that has ended or is ending.
    match std::fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            let hello = timeout(HELLO_TIMEOUT, read(&mut stream)).await;
            match hello {
                Ok(Ok(ToOld::Hello(VERSION))) if on_request(stream) => {}
                Ok(Ok(ToOld::Hello(VERSION))) => return,
                _ => {
                    tracing::warn!("handover: ignored a request that does not use protocol version {VERSION}")
                }
            }
        }
    });
    Ok(())
}

/// Sends the listening socket and the state, and waits until the new process has taken them. On an error the old process
/// still owns everything.
pub async fn offer(
    stream: &mut UnixStream,
    listener: &TcpListener,
    state: &Given<'_>,
) -> Result<(), HandoverError> {
    send_descriptor(stream, listener).await?;
    write(stream, state).await?;
    match read(stream).await? {
        ToOld::Taken => Ok(()),
        _ => Err(HandoverError::Turn),
    }
}

async fn send_descriptor(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let descriptors = [listener.as_fd()];
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
            sendmsg(stream, &[IoSlice::new(&[0])], &mut control, SendFlags::NOSIGNAL)?;
            Ok(())
        })
        .await
}

async fn receive_descriptor(stream: &UnixStream) -> Result<OwnedFd, HandoverError> {
    let received = stream.async_io(Interest::READABLE, || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        recvmsg(stream, &mut [IoSliceMut::new(&mut [0])], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let descriptor = control.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
            _ => None,
        });
        Ok(descriptor)
    });
    received.await?.ok_or(HandoverError::NoSocket)
}

/// Writes a frame: its length, then its bytes.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &T,
) -> Result<(), HandoverError> {
    let mut frame = postcard::to_extend(message, vec![0; 4])?;
    let length = u32::try_from(frame.len() - 4).map_err(io::Error::other)?;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    Ok(stream.write_all(&frame).await?)
}

async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<T, HandoverError> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(HandoverError::Io(io::ErrorKind::InvalidData.into()));
    }
    let mut frame = Vec::new();
    stream.take(length as u64).read_to_end(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}

/// Connects a stream to channels. Received messages are passed to `on_message`, with none for the end of the stream. The
/// returned task completes once all sent messages are written.
pub fn link<In, Out>(
    stream: UnixStream,
    on_message: impl Fn(Option<In>) -> bool + Send + 'static,
) -> (UnboundedSender<Out>, JoinHandle<()>)
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + Sync + 'static,
{
    let (mut reads, mut writes) = stream.into_split();
    let (send, mut queue): (UnboundedSender<Out>, UnboundedReceiver<Out>) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let message = read(&mut reads).await.ok();
            let ended = message.is_none();
            if !on_message(message) || ended {
                return;
            }
        }
    });
    let writer = tokio::spawn(async move {
        while let Some(out) = queue.recv().await {
            if write(&mut writes, &out).await.is_err() {
                return;
            }
        }
    });
    (send, writer)
}

#[cfg(test)]
mod tests;

//! The upgrade: a running process hands what it has over to a new one that uses the same folder.
//!
//! Whoever writes the journal holds a lock on a file beside it, which the kernel frees at any end of the process.
//! The holder listens at a local socket there. A new process that finds the lock taken asks at that socket:
//!
//! 1. new: its version; the old one stops deciding and writing.
//! 2. old: the listening socket, then its [`State`].
//! 3. new: [`ToOld::Taken`].
//! 4. old: lets the lock go, then [`ToNew::Yours`]. From here on the new one decides and writes.
//!
//! Before 4 the old one goes on as if nothing had been asked where anything fails; the new one asks again until it
//! has the lock. After 4 the old one finishes its calls and passes on what still reaches it.
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

/// Raised with every change of what is handed over: processes of different versions wait for each other's end.
const VERSION: u32 = 5;
/// No frame is longer: a thousand messages under way take a fraction of a megabyte.
const MOST_FRAME: usize = 16 << 20;
/// Between two attempts to have the lock.
const PAUSE: Duration = Duration::from_millis(20);
/// The same, where both processes answer and do not fit.
const LONG_PAUSE: Duration = Duration::from_secs(2);
/// A process that asks says so at once.
const HELLO_PATIENCE: Duration = Duration::from_secs(1);

/// What the old process knows that the journal does not hold.
#[derive(Serialize, Deserialize)]
pub struct State<S, P> {
    pub sender: S,
    /// What has happened since the module's last step.
    pub pending: P,
    /// The module's number, id, address, zone, messages in a call.
    pub endpoints: Vec<(EndpointId, String, SocketAddr, String, usize)>,
    /// The next one's number.
    pub next_endpoint: u32,
    /// The names that the module's other numbers stand for.
    pub numbering: Vec<Vec<String>>,
    /// Version of the list.
    pub revision: u64,
    /// Clients are being sent away.
    pub draining: bool,
    /// Connections from clients that the old process still serves.
    pub clients: usize,
}

/// As the new process has it.
pub type Known = State<Sender, Vec<(Time, Event)>>;
/// As the old process gives it, and keeps it where that fails.
pub type Given<'a> = State<&'a Sender, &'a [(Time, Event)]>;

/// All but the module itself.
pub type Rest = State<(), Vec<(Time, Event)>>;

impl Known {
    /// The module, and the rest.
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
    #[error("what came cannot be read: {0}")]
    Frame(#[from] postcard::Error),
    #[error("no listening socket came")]
    NoSocket,
    #[error("this process is ending")]
    Ending,
    #[error("it answered out of turn")]
    Turn,
    #[error("its zones, kinds or tenants are not those of this configuration")]
    Numbering,
    #[error("no answer in time")]
    Silent(#[from] tokio::time::error::Elapsed),
}

/// The right to write the journal, for as long as this is held.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// What came from a process that was running.
pub struct Inherited {
    pub state: Box<Known>,
    pub listener: TcpListener,
    pub stream: UnixStream,
}

/// Waits for the right to the folder's journal, asking whoever has it to hand over.
pub async fn claim(
    folder: &Path,
    numbering: &[Vec<String>],
) -> Result<(Lock, Option<Inherited>), HandoverError> {
    let path = folder.join("journal.lock");
    let error = |doing| {
        let path = path.clone();
        move |source| HandoverError::Folder { doing, path, source }
    };
    let mut said = String::new();
    loop {
        let file = File::options().write(true).create(true).truncate(false).open(&path);
        let file = file.map_err(error("opening"))?;
        match file.try_lock() {
            Ok(()) => return Ok((Lock { _file: file }, None)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(source)) => return Err(error("locking")(source)),
        }
        match ask(folder, numbering).await {
            Ok(inherited) => {
                // It let go before its last word.
                file.lock().map_err(error("locking"))?;
                return Ok((Lock { _file: file }, Some(inherited)));
            }
            Err(e) => {
                // Once a reason, not once an attempt.
                let text = e.to_string();
                if said != text {
                    tracing::warn!("another process has the journal, and has not handed over: {text}");
                    said = text;
                }
                // Each attempt that goes so far stops the other process for a moment.
                let far = matches!(e, HandoverError::Numbering | HandoverError::Frame(_));
                sleep(if far { LONG_PAUSE } else { PAUSE }).await;
            }
        }
    }
}

/// The socket's name: through the folder's descriptor where its own is too long for one.
fn socket(folder: &Path) -> io::Result<(PathBuf, File)> {
    let open = File::open(folder)?;
    let path = folder.join("handover.sock");
    if path.as_os_str().len() < 100 {
        return Ok((path, open));
    }
    Ok((PathBuf::from(format!("/proc/self/fd/{}/handover.sock", open.as_raw_fd())), open))
}

/// No limit on time: one that never answers is waited for until its end breaks the connection.
async fn ask(folder: &Path, numbering: &[Vec<String>]) -> Result<Inherited, HandoverError> {
    let (path, _open) = socket(folder)?;
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

/// Listens for a process that is to take over; those that ask come through `found`, one at a time.
pub fn listen(folder: &Path, found: impl Fn(UnixStream) -> bool + Send + 'static) -> io::Result<()> {
    let (path, _open) = socket(folder)?;
    // Whoever has the lock is alone: what stands there was left by a process that has ended, or is ending.
    match std::fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            let hello = timeout(HELLO_PATIENCE, read(&mut stream)).await;
            match hello {
                Ok(Ok(ToOld::Hello(VERSION))) if found(stream) => {}
                Ok(Ok(ToOld::Hello(VERSION))) => return,
                _ => tracing::warn!("handover: asked for by something that does not speak version {VERSION}"),
            }
        }
    });
    Ok(())
}

/// The old one's part up to the word that the state was taken; nothing is given away before that.
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
    what: &T,
) -> Result<(), HandoverError> {
    let mut frame = postcard::to_extend(what, vec![0; 4])?;
    let length = u32::try_from(frame.len() - 4).map_err(io::Error::other)?;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    Ok(stream.write_all(&frame).await?)
}

async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<T, HandoverError> {
    let length = stream.read_u32_le().await? as usize;
    if length > MOST_FRAME {
        return Err(HandoverError::Io(io::ErrorKind::InvalidData.into()));
    }
    let mut frame = Vec::new();
    stream.take(length as u64).read_to_end(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}

/// The two ends of a connection as channels: what comes goes to `take`, with none for its end; the task ends once
/// all that was sent is written.
pub fn link<In, Out>(
    stream: UnixStream,
    take: impl Fn(Option<In>) -> bool + Send + 'static,
) -> (UnboundedSender<Out>, JoinHandle<()>)
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + Sync + 'static,
{
    let (mut reads, mut writes) = stream.into_split();
    let (send, mut queue): (UnboundedSender<Out>, UnboundedReceiver<Out>) = unbounded_channel();
    tokio::spawn(async move {
        loop {
            let came = read(&mut reads).await.ok();
            let ended = came.is_none();
            if !take(came) || ended {
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

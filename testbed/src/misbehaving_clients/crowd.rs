//! Crowds of clients, each of which misbehaves in one way, again and again, until it is dropped.
use super::report::Report;
use crate::serving_tier::operator::HOST;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A stalled client stays for this long at most before it begins anew; far longer than any time-out of the programs.
const MAX_STAY: Duration = Duration::from_secs(120);
/// Between two pieces of a body that is sent piece by piece.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
/// Between two connections of a client.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes written at once where a body is sent as one.
const WRITE_BYTES: usize = 64 * 1024;
/// The most that a client reads of an answer's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Length of a head that is not finished, in bytes: legal at every listener.
const STALLED_HEAD_BYTES: usize = 4 * 1024;
/// A body over the limit is so many times as long as the limit.
const OVER_LIMIT_FACTOR: usize = 16;

/// Clients started so far, so that no two requests have the same id.
static CLIENTS: AtomicU64 = AtomicU64::new(0);

/// One way to misbehave. Lengths are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Sends whole bodies of the greatest legal length, one after another.
    WholeBody,
    /// Announces a body of the greatest legal length, sends all but its last byte, in pieces of this length, and stays.
    StalledBody {
        /// Length of a piece.
        piece: usize,
    },
    /// Sends a chunked body in chunks of this length, stops short of the greatest legal length, and stays.
    StalledChunks {
        /// Length of a chunk.
        chunk: usize,
    },
    /// Announces a body far over the limit, and sends it.
    AnnouncedOverLimit,
    /// Sends a chunked body far over the limit.
    SentOverLimit,
    /// Sends a small request, and bytes of no request behind it.
    BytesBehindRequest,
    /// Sends part of a head, and stays.
    StalledHead,
}

impl Behavior {
    /// Each way, with lengths as they come from a network and with extreme ones.
    pub const ALL: [Self; 10] = [
        Self::WholeBody,
        Self::StalledBody { piece: usize::MAX },
        Self::StalledBody { piece: 16 * 1024 },
        Self::StalledChunks { chunk: 1 },
        Self::StalledChunks { chunk: 64 },
        Self::StalledChunks { chunk: 1024 * 1024 },
        Self::AnnouncedOverLimit,
        Self::SentOverLimit,
        Self::BytesBehindRequest,
        Self::StalledHead,
    ];
}

/// Where a crowd sends its requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// The listener.
    pub address: SocketAddrV4,
    /// Method and path.
    pub request: &'static str,
    /// Header lines, each with its line end.
    pub headers: &'static str,
    /// Whether each request continues from the last one of its client that was served (`Previous`).
    pub continues: bool,
    /// Name of the header with the request's id.
    pub id_header: &'static str,
    /// The greatest legal length of a body.
    pub max_body_bytes: usize,
}

/// Clients that run until the crowd is dropped.
pub struct Crowd {
    _clients: JoinSet<()>,
    unsettled: Arc<Unsettled>,
}

/// Clients that have not yet come to the end of their first request: all of it was sent, or it was answered or cut off.
#[derive(Debug)]
struct Unsettled {
    clients: AtomicUsize,
    settled: Notify,
}

impl Unsettled {
    fn settle_one(&self) {
        if self.clients.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.settled.notify_one();
        }
    }
}

impl Crowd {
    /// Starts this many clients, which take the behaviors in turn.
    pub fn start(target: &Target, behaviors: &[Behavior], clients: usize, report: &Arc<Report>) -> Self {
        let mut running = JoinSet::new();
        let unsettled = Arc::new(Unsettled { clients: AtomicUsize::new(clients), settled: Notify::new() });
        for number in 0..clients {
            let behavior = behaviors[number % behaviors.len()];
            let client = CLIENTS.fetch_add(1, Ordering::Relaxed);
            running.spawn(misbehave(target.clone(), behavior, client, report.clone(), unsettled.clone()));
        }
        Self { _clients: running, unsettled }
    }

    /// Waits until each client has sent its first request as far as it wants to, or got an end of it.
    pub async fn settled(&self) {
        while self.unsettled.clients.load(Ordering::Relaxed) > 0 {
            self.unsettled.settled.notified().await;
        }
    }
}

async fn misbehave(
    target: Target,
    behavior: Behavior,
    number: u64,
    report: Arc<Report>,
    unsettled: Arc<Unsettled>,
) {
    let mut first = Some(FirstRequest(unsettled));
    let mut previous = None;
    for round in 0_u64.. {
        if let Ok(stream) = TcpStream::connect(target.address).await {
            let (reader, writer) = stream.into_split();
            let report = &*report;
            let previous = &mut previous;
            let mut client =
                Client { target: &target, writer, reader, number, round, requests: 0, previous, report };
            // However it ends, the client comes back.
            let _ = timeout(MAX_STAY, client.run(behavior, &mut first)).await;
        }
        first = None;
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// A client's first request, until it is dropped.
struct FirstRequest(Arc<Unsettled>);

impl Drop for FirstRequest {
    fn drop(&mut self) {
        self.0.settle_one();
    }
}

/// One connection of a client.
struct Client<'a> {
    target: &'a Target,
    writer: OwnedWriteHalf,
    reader: OwnedReadHalf,
    number: u64,
    round: u64,
    requests: u64,
    previous: &'a mut Option<String>,
    report: &'a Report,
}

impl Client<'_> {
    /// Sends one request after another while the connection lasts.
    async fn run(&mut self, behavior: Behavior, first: &mut Option<FirstRequest>) {
        loop {
            self.requests += 1;
            let id = format!("{:x}-{:x}-{:x}", self.number, self.round, self.requests);
            let head = format!(
                "{} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}{}",
                self.target.request,
                self.target.id_header,
                self.target.headers,
                self.previous.as_ref().map_or_else(String::new, |id| format!("Previous: {id}\r\n")),
            );
            let max_body_bytes = self.target.max_body_bytes;
            let (writer, reader) = (&mut self.writer, &mut self.reader);
            let send = async {
                // The other side may close before all is sent.
                let _ = send(writer, &head, behavior, max_body_bytes).await;
                if behavior != Behavior::WholeBody {
                    *first = None;
                }
                std::future::pending::<()>().await
            };
            let status = tokio::select! {
                status = read_response(reader) => status,
                () = send => return,
            };
            *first = None;
            let Some(response) = status else {
                self.report.closed();
                return;
            };
            self.report.answered(&id, response.status);
            if self.target.continues && response.status == 200 {
                self.stay().await;
                *self.previous = Some(id);
                return;
            }
            if response.status == 404 {
                *self.previous = None;
            }
            if behavior != Behavior::WholeBody {
                return self.stay().await;
            }
            if response.closes {
                return;
            }
        }
    }

    /// Keeps the connection open until the other side closes it.
    async fn stay(&mut self) {
        let mut bytes = [0; 4096];
        while matches!(self.reader.read(&mut bytes).await, Ok(1..)) {}
    }
}

async fn send(
    writer: &mut OwnedWriteHalf,
    head: &str,
    behavior: Behavior,
    max_bytes: usize,
) -> std::io::Result<()> {
    match behavior {
        Behavior::WholeBody => send_body(writer, head, max_bytes, max_bytes, WRITE_BYTES).await,
        Behavior::StalledBody { piece } => send_body(writer, head, max_bytes, max_bytes - 1, piece).await,
        Behavior::AnnouncedOverLimit => {
            let length = max_bytes * OVER_LIMIT_FACTOR;
            send_body(writer, head, length, length, WRITE_BYTES).await
        }
        Behavior::StalledChunks { chunk } => send_chunks(writer, head, max_bytes - 1, chunk).await,
        Behavior::SentOverLimit => {
            send_chunks(writer, head, max_bytes * OVER_LIMIT_FACTOR, WRITE_BYTES).await
        }
        Behavior::BytesBehindRequest => {
            send_body(writer, head, 1, 1, WRITE_BYTES).await?;
            writer.write_all(&vec![b'x'; max_bytes]).await
        }
        Behavior::StalledHead => {
            writer.write_all(head.as_bytes()).await?;
            writer.write_all(format!("X-Filler: {}", "x".repeat(STALLED_HEAD_BYTES)).as_bytes()).await
        }
    }
}

/// Announces a body of `length` bytes and sends `sent` of them.
async fn send_body(
    writer: &mut OwnedWriteHalf,
    head: &str,
    length: usize,
    sent: usize,
    piece: usize,
) -> std::io::Result<()> {
    writer.write_all(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).await?;
    let is_paced = piece < WRITE_BYTES;
    let bytes = vec![b'x'; piece.min(sent)];
    let mut left = sent;
    while left > 0 {
        let count = left.min(bytes.len());
        writer.write_all(&bytes[..count]).await?;
        left -= count;
        if is_paced {
            sleep(PIECE_INTERVAL).await;
        }
    }
    Ok(())
}

/// Sends a chunked body of at most `length` bytes without its last chunk.
async fn send_chunks(
    writer: &mut OwnedWriteHalf,
    head: &str,
    length: usize,
    chunk: usize,
) -> std::io::Result<()> {
    writer.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    let chunks_per_write = (WRITE_BYTES / one.len()).max(1);
    let batch = one.repeat(chunks_per_write);
    let mut left = length / chunk;
    while left > 0 {
        let count = left.min(chunks_per_write);
        writer.write_all(&batch.as_bytes()[..count * one.len()]).await?;
        left -= count;
    }
    Ok(())
}

/// What a client takes from an answer.
pub(super) struct Response {
    /// The status.
    pub(super) status: u16,
    /// Whether the connection cannot be used for another request.
    pub(super) closes: bool,
}

/// Reads an answer with a stated length; `None` if the connection ends before it is complete.
pub(super) async fn read_response(reader: &mut OwnedReadHalf) -> Option<Response> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if bytes.len() > MAX_HEAD_BYTES || reader.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split_ascii_whitespace().nth(1)?.parse().ok()?;
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: Option<usize> = header("content-length:").and_then(|length| length.parse().ok());
    while bytes.len() < head_end + length.unwrap_or(0) {
        if reader.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(Response { status, closes: length.is_none() || header("connection:") == Some("close") })
}

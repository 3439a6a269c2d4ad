//! Callers of a faulty service: each repeats its request, and reads the answer in its own way.
use super::stand_in::FaultyRoute;
use crate::serving_tier::operator::HOST;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time that a request has, in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// A caller gives up its connection after this.
const MAX_CALL_TIME: Duration = Duration::from_secs(12);
/// Between two requests of a caller.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Read at once, in bytes.
const READ_BYTES: usize = 64 * 1024;
/// Between two reads of a slow reader.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Requests sent so far, so that no two have the same id.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// How a caller reads its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// At once.
    Fast,
    /// 64 KiB every 50 ms.
    Slow,
    /// Its first piece, and nothing after it.
    Never,
}

impl Reader {
    /// Each way.
    pub const ALL: [Self; 3] = [Self::Fast, Self::Slow, Self::Never];
}

/// Callers that run until they are dropped.
pub struct Callers {
    _running: JoinSet<()>,
}

impl Callers {
    /// Starts this many callers at a proxy, which take the routes and the ways of reading in turn.
    pub fn start(proxy: SocketAddrV4, routes: &[FaultyRoute], readers: &[Reader], count: usize) -> Self {
        let mut running = JoinSet::new();
        for number in 0..count {
            let route = routes[number % routes.len()];
            let reader = readers[number / routes.len() % readers.len()];
            running.spawn(async move {
                loop {
                    // However it ends, the caller comes back.
                    let _ = timeout(MAX_CALL_TIME, call(proxy, route, reader)).await;
                    sleep(REPEAT_INTERVAL).await;
                }
            });
        }
        Self { _running: running }
    }
}

/// Sends requests on one connection while it lasts; an answer that does not end keeps it for itself.
async fn call(proxy: SocketAddrV4, route: FaultyRoute, reader: Reader) -> Option<()> {
    let mut stream = TcpStream::connect(proxy).await.ok()?;
    let id = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let request = format!(
        "POST /{}/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: faulty-{id}\r\n\
         Deadline-Remaining: {DEADLINE_MS}\r\nToken-Usage: 10,4\r\nContent-Length: 1\r\n\r\no",
        route.name()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = vec![0; READ_BYTES];
    loop {
        if stream.read(&mut bytes).await.ok()? == 0 {
            return None;
        }
        match reader {
            Reader::Fast => {}
            Reader::Slow => sleep(SLOW_READ_INTERVAL).await,
            Reader::Never => sleep(MAX_CALL_TIME).await,
        }
    }
}

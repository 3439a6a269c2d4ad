//! A small tier with faulty endpoints behind it, and requests to the sound ones meanwhile.
use super::stand_in::{
    FaultyAnswers, LONG_ANSWER_BYTES, LONG_ANSWER_DEADLINE_MS, configuration_with_faulty_routes,
    start as start_stand_ins,
};
use crate::fleet::FleetError;
use crate::misbehaving_clients::process::TierLimits;
use crate::misbehaving_clients::report::Report;
use crate::misbehaving_clients::stand_in::LONG_ANSWER_PATH;
use crate::misbehaving_clients::tier::{Backends, SmallTier};
use crate::serving_tier::operator::HOST;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the long answer of a sound endpoint.
const LONG_ANSWER_TIMEOUT: Duration = Duration::from_millis(LONG_ANSWER_DEADLINE_MS + 1_000);

/// A tier and what its faulty endpoints answer.
pub struct Rig {
    /// The tier.
    pub tier: SmallTier,
    /// The faulty answers, none at first.
    pub answers: FaultyAnswers,
}

impl Rig {
    /// Starts the tier and waits until ordinary requests are answered.
    pub async fn start(limits: TierLimits, seed: u64) -> Result<Self, FleetError> {
        let report = Arc::new(Report::default());
        let answers = FaultyAnswers::default();
        let mut parties = JoinSet::new();
        let platform = start_stand_ins(&mut parties, &report, &answers).await?;
        let backends = Backends { parties, platform, configuration: configuration_with_faulty_routes };
        let tier = SmallTier::start_with(limits, seed, report, backends).await?;
        Ok(Self { tier, answers })
    }

    /// Sends sound requests to a proxy, one after another, for this long; returns how many were answered and what was not.
    pub async fn sound_requests(&self, edge: usize, length: Duration) -> (usize, Vec<String>) {
        let end = Instant::now() + length;
        let (mut answered, mut failures) = (0, Vec::new());
        while Instant::now() < end {
            let began = Instant::now();
            if self.tier.ordinary_request_answered_at_once(edge).await {
                answered += 1;
            } else {
                failures.push(format!("a sound request failed after {} ms", began.elapsed().as_millis()));
            }
            sleep(SOUND_INTERVAL).await;
        }
        (answered, failures)
    }

    /// Asks for the long answer of a sound endpoint through a proxy; what came of it.
    pub async fn long_answer(&self, edge: usize) -> LongAnswer {
        let received = read_long_answer(self.tier.addresses.front(edge));
        timeout(LONG_ANSWER_TIMEOUT, received).await.ok().flatten().unwrap_or(LongAnswer::Incomplete)
    }
}

/// What came of a request for the long answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongAnswer {
    /// It arrived whole.
    Complete,
    /// The proxy answered with this status, another than 200.
    Status(u16),
    /// It broke off, or did not arrive in time.
    Incomplete,
}

/// Asks for the long answer; `None` if the connection fails.
async fn read_long_answer(proxy: SocketAddrV4) -> Option<LongAnswer> {
    let mut stream = TcpStream::connect(proxy).await.ok()?;
    let request = format!(
        "POST {LONG_ANSWER_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: long-{}\r\n\
         Deadline-Remaining: {LONG_ANSWER_DEADLINE_MS}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        stream.local_addr().ok()?.port()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    let body = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..body]).to_ascii_lowercase();
    let status = head.split_ascii_whitespace().nth(1)?.parse().ok()?;
    if status != 200 {
        return Some(LongAnswer::Status(status));
    }
    let ends = !head.contains("chunked") || bytes.ends_with(b"\r\n0\r\n\r\n");
    // The answer consists of this letter alone, which no size of a chunk contains.
    let length = bytes[body..].iter().filter(|byte| **byte == b'l').count();
    Some(if ends && length == LONG_ANSWER_BYTES { LongAnswer::Complete } else { LongAnswer::Incomplete })
}

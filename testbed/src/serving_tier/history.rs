//! What endpoints ran and clients saw, as it is stored for the checker.
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Tokens in each event of a stream.
pub const TOKENS_PER_EVENT: u64 = 2;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A turn: a stream of events, with the chain before its input.
    Turn,
    /// A tool that may run once for each attempt.
    NonIdempotent,
    /// A tool that may run again.
    Idempotent,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    /// The incarnation that ran it.
    pub instance: String,
    /// The `Attempt-Id` that it came with.
    pub attempt: String,
    /// The body that it came with.
    pub body: Bytes,
    /// The seal of its answer.
    pub seal: String,
    /// Its answer's body, complete, also where the endpoint broke it off.
    pub answer: Bytes,
}

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// No connection came up, or it was closed before the request was written.
    Unsent,
    /// The connection ended without the head of an answer.
    Broken,
    /// Its client left before: its program was over.
    Left,
    /// Neither an end nor a break came in its time.
    Silent,
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its `Attempt-Id`.
        id: Option<String>,
        /// Its `Server-Seal`.
        seal: Option<String>,
        /// What was received of its body.
        body: Bytes,
        /// Whether the body came to its end; otherwise it broke off.
        complete: bool,
    },
}

/// Where an attempt went, and its times in the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptRoute {
    /// The sender.
    pub to: Option<SocketAddr>,
    /// When it began.
    pub began: Duration,
    /// When it ended, if its client stayed so long.
    pub ended_at: Option<Duration>,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The program that it belongs to.
    pub program: usize,
    /// Its `Attempt-Id`.
    pub attempt: String,
    /// What was asked for.
    pub kind: Kind,
    /// The turn that it continues from.
    pub previous: Option<String>,
    /// Its input.
    pub input: Bytes,
    /// The sender that it went to, when, and when it ended.
    pub route: AttemptRoute,
    /// How it ended.
    pub end: End,
}

/// A program that was started.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its number.
    pub number: usize,
    /// The tokens that its turns may generate together.
    pub budget: u64,
    /// The most tokens that one of its turns generates.
    pub max_tokens_per_turn: u64,
    /// How it ended: `Err` tells why it did not finish.
    pub end: Result<(), String>,
}

/// What was sent, acknowledged and read back of the configurations.
#[derive(Clone, Debug, Default)]
pub struct Configurations {
    /// Versions with their bytes, as they were sent.
    pub sent: Vec<(u64, Bytes)>,
    /// Versions that were acknowledged.
    pub acknowledged: Vec<u64>,
    /// What was read at the end.
    pub read: Option<Bytes>,
}

/// A time in which a sender was killed or stood still.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The sender.
    pub of: SocketAddr,
    /// When it began.
    pub from: Duration,
    /// When the process was back.
    pub until: Duration,
}

/// Everything that the checker receives.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Runs at endpoints.
    pub runs: Vec<Run>,
    /// Attempts of clients.
    pub attempts: Vec<Attempt>,
    /// Programs that ended.
    pub programs: Vec<Program>,
    /// Programs that were started.
    pub started: usize,
    /// Configurations.
    pub configurations: Configurations,
    /// Times in which senders were killed or stood still.
    pub disturbances: Vec<Disturbance>,
    /// Only programs from this number on have to finish.
    pub judged_from: usize,
    /// What happened, for the reader: the time in the run and a line.
    pub events: Vec<(Duration, String)>,
}

/// The history while it is written, with the run's clock.
pub struct Recorder {
    began: Instant,
    verbose: bool,
    history: Mutex<History>,
}

impl Recorder {
    /// An empty one; `verbose` has events printed as they happen.
    pub fn new(verbose: bool) -> Self {
        Self { began: Instant::now(), verbose, history: Mutex::default() }
    }

    /// The history, to write to it.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time in the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Notes an event.
    pub fn event(&self, what: impl Into<String>) {
        let (at, what) = (self.now(), what.into());
        if self.verbose {
            println!("  {:5.1} s  {what}", at.as_secs_f64());
        }
        self.lock().events.push((at, what));
    }
}

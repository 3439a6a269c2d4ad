//! Stand-in clients behind the platform's front: agent programs of turns, with tools between them.
use super::endpoints::mixed;
use super::history::{Attempt, AttemptRoute, End, Kind, Program, Recorder};
use super::load::Load;
use super::operator::HOST;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{CONNECTION, HOST as HOST_HEADER, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request};
use message_sender::net::connection::{CallError, Connection, request};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a client waits for one request, over all its attempts.
const DEADLINE: Duration = Duration::from_secs(4);
/// And so much longer until it calls the silence one.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A new connection is given so long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A turn that failed is sent again from its start so often.
const MAX_TURN_RETRIES: u32 = 2;
/// Between two questions whether senders are ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A sender that missed this many has no new connections.
const MAX_MISSED_POLLS: usize = 2;
/// The budget of a program that loops.
const LOOP_BUDGET: u64 = 120;
/// A program that loops is ended by the test bed after this many rounds.
const MAX_TURNS: usize = 60;

/// The front: which senders get new connections.
pub struct Front {
    senders: Vec<(SocketAddrV4, SocketAddrV4, AtomicUsize)>,
}

impl Front {
    /// A front of senders, by the address for clients and that for readiness.
    pub fn new(senders: Vec<(SocketAddrV4, SocketAddrV4)>) -> Self {
        let out = |(front, readiness)| (front, readiness, AtomicUsize::new(MAX_MISSED_POLLS));
        Self { senders: senders.into_iter().map(out).collect() }
    }

    /// Polls the readiness of all senders until cancelled.
    pub async fn poll_readiness(self: Arc<Self>) {
        loop {
            for (_, readiness, missed) in &self.senders {
                match is_ready(*readiness).await {
                    true => missed.store(0, Ordering::Relaxed),
                    false => drop(missed.fetch_add(1, Ordering::Relaxed)),
                }
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    /// Where clients call a sender.
    pub fn address(&self, number: usize) -> SocketAddrV4 {
        self.senders[number].0
    }

    /// All senders.
    pub fn all(&self) -> usize {
        self.senders.len()
    }

    /// Senders that are in.
    pub fn ready(&self) -> usize {
        self.senders.iter().filter(|sender| sender.2.load(Ordering::Relaxed) < MAX_MISSED_POLLS).count()
    }

    /// The sender for a connection, drawn among those that are in, or among all where none is.
    fn pick(&self, draw: u64) -> SocketAddrV4 {
        let is_in = |sender: &&(_, _, AtomicUsize)| sender.2.load(Ordering::Relaxed) < MAX_MISSED_POLLS;
        let mut fronts: Vec<SocketAddrV4> =
            self.senders.iter().filter(is_in).map(|sender| sender.0).collect();
        if fronts.is_empty() {
            fronts = self.senders.iter().map(|sender| sender.0).collect();
        }
        fronts[(draw % fronts.len() as u64) as usize]
    }
}

async fn is_ready(readiness: SocketAddrV4) -> bool {
    let send_request = async {
        let head = || request(Method::GET, "/sedgewood/readiness", readiness.into());
        let answer = Connection::exchange(None, readiness.into(), CONNECT_TIMEOUT, head, Bytes::new()).await;
        answer.is_ok_and(|(_, response)| response.status().is_success())
    };
    timeout(Duration::from_millis(500), send_request).await.unwrap_or(false)
}

/// All clients.
pub struct Clients {
    front: Arc<Front>,
    recorder: Arc<Recorder>,
    seed: u64,
    load: Load,
    ids: AtomicU64,
    /// Whether lookups may be asked for: their route is in force.
    pub lookups: AtomicBool,
}

/// A connection that is reused, to this sender.
type IdleConnection = (SocketAddr, Connection);

/// What a client asks for.
struct PlannedRequest<'a> {
    program: &'a ProgramLine,
    kind: Kind,
    previous: Option<&'a str>,
    input: Bytes,
}

/// A line of turns of one program.
struct ProgramLine {
    number: usize,
    budget: u64,
    session: u64,
    finish: Instant,
}

/// How a request ended, over all its attempts.
enum RequestOutcome {
    /// With this attempt's answer.
    Done(String),
    /// With a status after which nothing is tried again.
    Denied(u16),
    /// In another way.
    Failed(String),
}

/// How an attempt goes on.
enum Next {
    End(RequestOutcome),
    /// It has not run: again, after a pause.
    Again(Duration, String),
    /// It may have run.
    Unknown(String),
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

impl Clients {
    /// Clients that come by this front.
    pub fn new(front: Arc<Front>, recorder: Arc<Recorder>, seed: u64, load: Load) -> Self {
        Self { front, recorder, seed, load, ids: AtomicU64::new(0), lookups: AtomicBool::new(false) }
    }

    fn draw(&self) -> u64 {
        mixed(mixed(self.seed) ^ self.ids.fetch_add(1, Ordering::Relaxed))
    }

    /// One request, with its attempts. Lines of turns keep their connection.
    async fn send_request(
        &self,
        planned: &PlannedRequest<'_>,
        idle_connection: &mut Option<IdleConnection>,
    ) -> RequestOutcome {
        let until = Instant::now() + DEADLINE;
        let mut last = "no time".to_owned();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(50) {
                return RequestOutcome::Failed(last);
            }
            match self.send_attempt(planned, idle_connection, until).await {
                Next::End(outcome) => return outcome,
                Next::Again(backoff, why) => {
                    last = why;
                    sleep(backoff.min(left / 3)).await;
                }
                Next::Unknown(why) if planned.kind == Kind::Idempotent => {
                    last = why;
                    sleep(Duration::from_millis(50)).await;
                }
                Next::Unknown(why) => return RequestOutcome::Failed(why),
            }
        }
    }

    async fn send_attempt(
        &self,
        planned: &PlannedRequest<'_>,
        idle_connection: &mut Option<IdleConnection>,
        until: Instant,
    ) -> Next {
        let attempt = format!("{:016x}", self.draw());
        let path = match planned.kind {
            Kind::Turn => "/turns/next",
            Kind::NonIdempotent => "/orders/new",
            Kind::Idempotent => "/lookups/one",
        };
        let ms = |until: Instant| until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let head = || {
            let mut head = Request::builder().method(Method::POST).uri(path).header(HOST_HEADER, HOST);
            head = head.header("Attempt-Id", &attempt).header("Deadline-Remaining", ms(until));
            head = head.header("Program", format!("{:x}", planned.program.number));
            head = head.header("Session", format!("{:x}", planned.program.session));
            head = head.header("Finish-Ms", ms(planned.program.finish));
            if planned.kind == Kind::Turn {
                head = head.header("Model", "m").header("Budget", planned.program.budget);
                head = head.header("Token-Usage", format!("200,{}", self.load.max_tokens_per_turn));
                head = head.header("Prompt-Prefix", format!("{:x}:200", planned.program.session));
            }
            match planned.previous {
                Some(previous) => head.header("Previous", previous),
                None => head,
            }
        };
        let (address, reused) = match idle_connection.take() {
            Some((address, connection)) => (address, Some(connection)),
            None => (self.front.pick(self.draw()).into(), None),
        };
        // What is sent may run, whatever becomes of its client.
        let index = {
            let (program, previous) = (planned.program.number, planned.previous.map(str::to_owned));
            let (attempt, input) = (attempt.clone(), planned.input.clone());
            let route = AttemptRoute { to: Some(address), began: self.recorder.now(), ended_at: None };
            let mut history = self.recorder.lock();
            history.attempts.push(Attempt {
                program,
                attempt,
                kind: planned.kind,
                previous,
                input,
                route,
                end: End::Left,
            });
            history.attempts.len() - 1
        };
        let exchange = Connection::exchange(reused, address, CONNECT_TIMEOUT, head, planned.input.clone());
        let deadline = until + IDLE_TIMEOUT;
        let (end, next) = match timeout_at(deadline, exchange).await {
            Err(_) => (End::Silent, Next::Unknown("silence".to_owned())),
            Ok(Err(CallError::Reset(e))) => (End::Broken, Next::Unknown(format!("broken: {e}"))),
            Ok(Err(e)) => (End::Unsent, Next::Again(Duration::from_millis(50), e.to_string())),
            Ok(Ok((connection, response))) => {
                let (head, mut body) = response.into_parts();
                let mut read = BytesMut::new();
                let complete = loop {
                    match timeout_at(deadline, body.frame()).await {
                        Err(_) => break None,
                        Ok(None) => break Some(true),
                        Ok(Some(Err(_))) => break Some(false),
                        Ok(Some(Ok(frame))) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                    }
                };
                let status = head.status.as_u16();
                let closes = header(&head.headers, CONNECTION.as_str()).is_some_and(|value| value == "close");
                if complete == Some(true) && !closes {
                    *idle_connection = Some((address, connection));
                }
                let backoff =
                    header(&head.headers, RETRY_AFTER.as_str()).and_then(|text| text.parse::<f64>().ok());
                let backoff =
                    Duration::try_from_secs_f64(backoff.unwrap_or(0.05)).unwrap_or(READINESS_POLL_INTERVAL);
                let next = match (status, complete) {
                    (200..300, Some(true)) => Next::End(RequestOutcome::Done(attempt.clone())),
                    (200..300, _) => Next::Unknown("broken off".to_owned()),
                    (400 | 401 | 402 | 403 | 404 | 413 | 431, _) => Next::End(RequestOutcome::Denied(status)),
                    (408 | 421 | 429 | 503, _) => Next::Again(backoff, status.to_string()),
                    _ => Next::Unknown(status.to_string()),
                };
                let end = match complete {
                    None => End::Silent,
                    Some(complete) => End::Answered {
                        status,
                        id: header(&head.headers, "attempt-id"),
                        seal: header(&head.headers, "server-seal"),
                        body: read.freeze(),
                        complete,
                    },
                };
                (end, next)
            }
        };
        let now = self.recorder.now();
        let of = &mut self.recorder.lock().attempts[index];
        (of.end, of.route.ended_at) = (end, Some(now));
        next
    }

    /// One turn, sent again from its start where it failed; its attempt.
    async fn turn(
        &self,
        line: &ProgramLine,
        previous: Option<&str>,
        input: String,
        idle_connection: &mut Option<IdleConnection>,
    ) -> RequestOutcome {
        let planned = PlannedRequest { program: line, kind: Kind::Turn, previous, input: input.into() };
        let mut retries = 0;
        loop {
            let outcome = self.send_request(&planned, idle_connection).await;
            if !matches!(outcome, RequestOutcome::Failed(_)) || retries == MAX_TURN_RETRIES {
                return outcome;
            }
            retries += 1;
            sleep(Duration::from_millis(100 + self.draw() % 300)).await;
        }
    }

    /// Several tools at once.
    async fn tools(self: &Arc<Self>, line: &Arc<ProgramLine>, count: u64) -> Result<(), String> {
        let mut tools = JoinSet::new();
        for tool in 0..count {
            let (clients, line) = (self.clone(), line.clone());
            let lookup = tool % 2 == 1 && self.lookups.load(Ordering::Relaxed);
            let kind = if lookup { Kind::Idempotent } else { Kind::NonIdempotent };
            tools.spawn(async move {
                let input = format!("tool {tool} of {}", line.number).into();
                let planned = PlannedRequest { program: &line, kind, previous: None, input };
                match clients.send_request(&planned, &mut None).await {
                    RequestOutcome::Done(_) => Ok(()),
                    RequestOutcome::Denied(status) => Err(format!("a tool got {status}")),
                    RequestOutcome::Failed(why) => Err(format!("a tool failed: {why}")),
                }
            });
        }
        while let Some(done) = tools.join_next().await {
            done.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// The input of a turn, which differs from those of all others.
    fn input(&self, turn: u64, program: usize) -> String {
        let mut input = format!("turn {turn} of {program}: {:x} ", self.draw());
        while input.len() + 1 < self.load.input_bytes {
            input.push('x');
        }
        input.push('\n');
        input
    }

    /// A program of several turns.
    async fn work(self: &Arc<Self>, line: &Arc<ProgramLine>, draw: u64) -> Result<(), String> {
        let mut idle_connection = None;
        let mut previous: Option<String> = None;
        for turn in 0..self.load.turns_of(draw) {
            let input = self.input(turn, line.number);
            previous = match self.turn(line, previous.as_deref(), input, &mut idle_connection).await {
                RequestOutcome::Done(attempt) => Some(attempt),
                RequestOutcome::Denied(status) => return Err(format!("turn {turn} got {status}")),
                RequestOutcome::Failed(why) => return Err(format!("turn {turn} failed: {why}")),
            };
            if turn == 1 && draw.is_multiple_of(4) {
                self.side_by_side(line, previous.as_deref()).await?;
            } else {
                self.tools(line, self.load.tools_of(self.draw())).await?;
            }
        }
        Ok(())
    }

    /// Two sub-agents that continue from the same turn; the number of those that did.
    async fn side_by_side(&self, line: &ProgramLine, previous: Option<&str>) -> Result<(), String> {
        let (first, second) = (
            ProgramLine { session: line.session ^ 1, ..*line },
            ProgramLine { session: line.session ^ 2, ..*line },
        );
        let (mut one, mut other) = (None, None);
        let (first, second) = tokio::join!(
            self.turn(&first, previous, format!("first beside {}\n", line.number), &mut one),
            self.turn(&second, previous, format!("second beside {}\n", line.number), &mut other),
        );
        for outcome in [first, second] {
            match outcome {
                RequestOutcome::Done(_) => {}
                RequestOutcome::Denied(402) => return Err("402".to_owned()),
                RequestOutcome::Denied(status) => return Err(format!("a sub-agent got {status}")),
                RequestOutcome::Failed(why) => return Err(format!("a sub-agent failed: {why}")),
            }
        }
        Ok(())
    }

    /// A program that starts sub-agents until its budget is spent, and twice more.
    async fn run_until_budget_spent(&self, line: &ProgramLine) -> Result<(), String> {
        let (mut idle_connection, mut spent) = (None, 0);
        for round in 0..MAX_TURNS {
            let first = match self.turn(line, None, format!("round {round}\n"), &mut idle_connection).await {
                RequestOutcome::Done(attempt) => self.side_by_side(line, Some(&attempt)).await,
                RequestOutcome::Denied(402) => Err("402".to_owned()),
                RequestOutcome::Denied(status) => Err(format!("a round got {status}")),
                RequestOutcome::Failed(why) => Err(why),
            };
            match first {
                Ok(()) => {}
                Err(why) if why == "402" && spent < 2 => spent += 1,
                Err(why) if why == "402" => return Ok(()),
                Err(why) => return Err(why),
            }
        }
        Err("its budget did not end it".to_owned())
    }

    /// Runs one program to its end; `loops`: until it gets 402.
    pub async fn run(self: Arc<Self>, number: usize, loops: bool, finish: Duration) {
        self.recorder.lock().started += 1;
        let draw = self.draw();
        let budget = if loops { LOOP_BUDGET } else { self.load.budget() };
        let line = Arc::new(ProgramLine { number, budget, session: draw, finish: Instant::now() + finish });
        let running = async {
            match loops {
                true => self.run_until_budget_spent(&line).await,
                false => self.work(&line, draw).await,
            }
        };
        let end = timeout(finish, running).await.unwrap_or_else(|_| Err("not over in its time".to_owned()));
        self.recorder.lock().programs.push(Program {
            number,
            budget,
            max_tokens_per_turn: self.load.max_tokens_per_turn,
            end,
        });
    }
}

//! Stand-in clients behind a plain front: each hands its message in, and again after a refusal.
use crate::environment::Stage;
use crate::plan::{Arrival, Micros, micros};
use crate::scenario::Effect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use message_sender::wire::{ENVELOPE, HAND_IN, IDEMPOTENCY_KEY, LANE, REMAINING, TXN};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

/// Clients that give up wait this share of the others' patience, at the most.
const EARLY: f64 = 0.02;
/// A stranger is owed an error or a close within this.
const STRANGER_TIMEOUT: Duration = Duration::from_secs(3);
/// What strangers send: nothing, no HTTP, half a head, half a body, and a message without what it needs.
const STRANGERS: [&str; 5] = [
    "",
    "EHLO senders\r\n\r\n",
    "POST /api HTTP/1.1\r\nHost: a\r\n",
    "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: stranger\r\nContent-Length: 400\r\n\r\nhalf",
    "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: stranger\r\nContent-Length: 4\r\n\r\nbody",
];

/// One stranger's visit.
async fn stranger(stage: Arc<Stage>, to: SocketAddr, sends: &str) {
    let visit = async {
        let Ok(mut stream) = TcpStream::connect(to).await else { return true };
        if stream.write_all(sends.as_bytes()).await.is_err() {
            return true;
        }
        let mut answer = [0; 16];
        match stream.read(&mut answer).await {
            Ok(read) if read >= 12 => matches!(answer[9], b'4' | b'5'),
            // Closed, or broken off.
            _ => true,
        }
    };
    let served = timeout(STRANGER_TIMEOUT, visit).await.unwrap_or(false);
    stage.lock().checker.stranger(served);
}

/// What the front knows of a sender.
pub struct FrontEntry {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Until when the front considers it dead, and from when: microseconds of the run; equal for never.
    pub dead: (AtomicU64, AtomicU64),
}

/// The front and the clients behind it.
pub struct Clients {
    stage: Arc<Stage>,
    senders: Vec<FrontEntry>,
    http: Client<HttpConnector, Full<Bytes>>,
    next_id: AtomicU64,
    seed: u64,
    body: Bytes,
}

/// What a client heard.
enum SubmissionAnswer {
    Accepted,
    Refused(Option<Micros>),
    Nothing,
}

impl Clients {
    /// Clients that use the senders at these addresses.
    pub fn new(stage: Arc<Stage>, senders: Vec<SocketAddr>, seed: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(1500))
            .build(connector);
        let entry = |address| FrontEntry { address, dead: (AtomicU64::new(0), AtomicU64::new(0)) };
        let body = Bytes::from(vec![b'.'; stage.scenario.traffic.body]);
        Self {
            senders: senders.into_iter().map(entry).collect(),
            http,
            next_id: AtomicU64::new(1),
            seed,
            body,
            stage,
        }
    }

    /// A sender has died: the front notices later, at random.
    pub fn died(&self, sender: usize, random: f64) {
        let [min, max] = self.stage.scenario.clients.notice_s;
        let noticed = self.stage.now() + micros(min + (max - min) * random);
        let (from, until) = &self.senders[sender].dead;
        from.store(noticed, Ordering::Relaxed);
        until.store(Micros::MAX, Ordering::Relaxed);
    }

    /// A sender is not there yet: the front knows of none.
    pub fn absent(&self, sender: usize) {
        let (from, until) = &self.senders[sender].dead;
        from.store(0, Ordering::Relaxed);
        until.store(Micros::MAX, Ordering::Relaxed);
    }

    /// A sender is ready.
    pub fn ready(&self, sender: usize) {
        self.senders[sender].dead.1.store(self.stage.now(), Ordering::Relaxed);
    }

    /// Submits all messages of the plan in their time, and waits until the last client has finished.
    pub async fn run(self: Arc<Self>) {
        let arrivals = self.stage.plan.arrivals.clone();
        let mut over = self.stage.over.subscribe();
        let mut clients = JoinSet::new();
        for (number, arrival) in arrivals.into_iter().enumerate() {
            tokio::select! {
                () = sleep_until(self.stage.instant(arrival.at)) => {}
                _ = over.wait_for(|over| *over) => return,
            }
            clients.spawn(self.clone().client(number, arrival));
            while clients.try_join_next().is_some() {}
        }
        tokio::select! {
            () = async { while clients.join_next().await.is_some() {} } => {}
            _ = over.wait_for(|over| *over) => {}
        }
    }

    async fn client(self: Arc<Self>, number: usize, arrival: Arrival) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ (number as u64).wrapping_mul(0x9E37_79B9));
        let (scenario, stage) = (&self.stage.scenario, &self.stage);
        let class = &scenario.classes[arrival.class];
        let came = stage.now();
        let due = came + micros(class.deadline_ms / 1000.0);
        let first = {
            let mut inner = stage.lock();
            inner.works.push(arrival.work);
            inner.checker.wants(came, arrival.class)
        };
        let honours = rng.random::<f64>() < scenario.clients.honour;
        let gives_up = rng.random::<f64>() < scenario.clients.give_up;
        let full_wait = micros(scenario.clients.response_timeout_ms / 1000.0) as f64;
        let max_wait = Duration::from_micros(
            (full_wait * if gives_up { EARLY * rng.random::<f64>() } else { 1.0 }) as u64,
        );
        for try_number in 0..=scenario.clients.retries {
            let now = stage.now();
            if now >= due {
                return;
            }
            let random = if try_number == 0 { arrival.random } else { rng.random() };
            let Some(sender) = self.pick(now, random) else { return };
            let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
            let back = {
                let mut inner = stage.lock();
                inner.checker.submitted(&id, first, sender, arrival.partner, due);
                let (advised_delay, back) = oneshot::channel();
                inner.returns.insert(first, advised_delay);
                back
            };
            let advised_delay = match self.submit(&id, first, sender, &arrival, (due, max_wait)).await {
                SubmissionAnswer::Accepted => {
                    stage.lock().checker.answered(stage.now(), &id, true);
                    tokio::select! {
                        advised_delay = back => match advised_delay {
                            Ok(after_ms) => after_ms.map(|ms| ms * 1000),
                            Err(_) => return,
                        },
                        () = sleep_until(stage.instant(due)) => return,
                    }
                }
                SubmissionAnswer::Refused(after) => {
                    stage.lock().checker.answered(stage.now(), &id, false);
                    after
                }
                SubmissionAnswer::Nothing => {
                    stage.lock().checker.unanswered(&id);
                    if gives_up {
                        return;
                    }
                    None
                }
            };
            let [min, max] = scenario.clients.resubmit_delay_ms;
            let own = (min + (max - min) * rng.random::<f64>()) * f64::from(1 << try_number.min(10));
            let wait = advised_delay.filter(|_| honours).unwrap_or(micros(own / 1000.0));
            sleep_until(stage.instant(stage.now() + wait)).await;
            if !stage.lock().checker.may_resubmit(stage.now(), first) {
                return;
            }
        }
    }

    /// Sends strangers to the senders until the run is over.
    pub async fn strangers(self: Arc<Self>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x57A6);
        let Ok(gap) = Exp::new(self.stage.scenario.clients.strangers) else { return };
        let mut visits = JoinSet::new();
        let mut at = gap.sample(&mut rng);
        while at < self.stage.scenario.seconds {
            sleep_until(self.stage.instant(micros(at))).await;
            let (random, kind) = (rng.random(), rng.random_range(0..STRANGERS.len()));
            if let Some(sender) = self.pick(self.stage.now(), random) {
                visits.spawn(stranger(self.stage.clone(), self.senders[sender].address, STRANGERS[kind]));
            }
            while visits.try_join_next().is_some() {}
            at += gap.sample(&mut rng);
        }
        while visits.join_next().await.is_some() {}
    }

    /// A sender at random, of those that the front considers alive.
    fn pick(&self, now: Micros, random: f64) -> Option<usize> {
        let alive = |entry: &FrontEntry| {
            let (from, until) = (entry.dead.0.load(Ordering::Relaxed), entry.dead.1.load(Ordering::Relaxed));
            !(from..until).contains(&now)
        };
        let alive: Vec<usize> = (0..self.senders.len()).filter(|s| alive(&self.senders[*s])).collect();
        let index = (random * alive.len() as f64) as usize;
        alive.get(index.min(alive.len().saturating_sub(1))).copied()
    }

    async fn submit(
        &self,
        id: &str,
        first: usize,
        sender: usize,
        arrival: &Arrival,
        (due, max_wait): (Micros, Duration),
    ) -> SubmissionAnswer {
        let class = &self.stage.scenario.classes[arrival.class];
        let address = self.senders[sender].address;
        let left = due.saturating_sub(self.stage.now()) as f64 / 1e6;
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{HAND_IN}"))
            .header(HOST, "service.internal")
            .header(TXN, id)
            .header(LANE, &class.name)
            .header(REMAINING, format!("{left:.3}"))
            .header(ENVELOPE, format!("dest={}", arrival.partner));
        if class.effect == Effect::Keyed {
            request = request.header(IDEMPOTENCY_KEY, format!("{first:032x}"));
        }
        let Ok(request) = request.body(Full::new(self.body.clone())) else {
            return SubmissionAnswer::Nothing;
        };
        let Ok(Ok(answer)) = timeout(max_wait, self.http.request(request)).await else {
            return SubmissionAnswer::Nothing;
        };
        match answer.status() {
            StatusCode::OK | StatusCode::ACCEPTED => SubmissionAnswer::Accepted,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let after =
                    answer.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                SubmissionAnswer::Refused(after.filter(|s| s.is_finite()).map(micros))
            }
            other => {
                self.stage.record_testbed_fault(format!("a sender answered {other} to a proper request"));
                SubmissionAnswer::Nothing
            }
        }
    }
}

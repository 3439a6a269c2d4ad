//! The stand-in directory: the list, watches on it, and the notices that end messages. Each sender has an address of
//! its own, so that it is known what it received.
use crate::endpoints::{Cut, plain};
use crate::environment::Stage;
use crate::scenario::Rules;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use message_sender::wire::{Member, NOTICES, NoticeLine, NoticeState, Phase, TARGETS, Targets};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// The longest that a watch may wait.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);
/// Bytes of a request with notices, at the most.
const MAX_NOTICE_BYTES: usize = 64 * 1024;
/// The first version of the list.
const FIRST: u64 = 1;

/// The list, with what it takes to report changes.
pub struct Directory {
    entries: Mutex<Vec<Entry>>,
    revision: watch::Sender<u64>,
    down: watch::Sender<bool>,
}

struct Entry {
    member: Member,
    partner: usize,
    endpoint: usize,
    /// The version in which it changed last.
    changed: u64,
}

impl Directory {
    /// A directory of these endpoints: their partner, their number there and their entry.
    pub fn new(members: Vec<(usize, usize, Member)>) -> Self {
        let entry = |(partner, endpoint, member)| Entry { member, partner, endpoint, changed: FIRST };
        Self {
            entries: Mutex::new(members.into_iter().map(entry).collect()),
            revision: watch::Sender::new(FIRST),
            down: watch::Sender::new(false),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of an endpoint.
    pub fn set(&self, partner: usize, endpoint: usize, phase: Phase) {
        let next = *self.revision.borrow() + 1;
        let mut entries = self.entries();
        for entry in entries.iter_mut().filter(|e| e.partner == partner && e.endpoint == endpoint) {
            (entry.member.phase, entry.changed) = (phase, next);
        }
        drop(entries);
        self.revision.send_replace(next);
    }

    /// Ends all watches and answers no more calls for the list, or answers them again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// The complete list, or the changes since a version that is not ahead of it.
    pub fn list(&self, since: Option<u64>) -> Targets {
        let revision = *self.revision.borrow();
        let since = since.filter(|from| (FIRST..=revision).contains(from));
        let entries = self.entries();
        let wanted = |e: &&Entry| match since {
            Some(from) => e.changed > from,
            None => e.member.phase != Phase::Deleted,
        };
        let members = entries.iter().filter(wanted).map(|e| e.member.clone()).collect();
        Targets { revision, complete: since.is_none(), members }
    }

    /// Reports to the checker what a sender receives in that list.
    fn note(&self, stage: &Stage, sender: usize, targets: &Targets) {
        let now = stage.now();
        let entries = self.entries();
        let mut inner = stage.lock();
        for entry in entries.iter() {
            let named = targets.members.iter().find(|m| m.id == entry.member.id);
            if named.is_some() || targets.complete {
                let serves = named.is_some_and(|m| m.phase == Phase::Serving);
                inner.checker.endpoint_reported(now, sender, entry.partner, entry.endpoint, serves);
            }
        }
    }
}

/// Serves one sender until the run is over.
pub async fn serve(stage: Arc<Stage>, directory: Arc<Directory>, sender: usize, listener: TcpListener) {
    let mut over = stage.over.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = over.wait_for(|over| *over) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let (stage, directory) = (stage.clone(), directory.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&stage, &directory, sender, request));
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    stage: &Stage,
    directory: &Directory,
    sender: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Cut> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, TARGETS) => {
            let query = request.uri().query().unwrap_or_default();
            targets(stage, directory, sender, query).await
        }
        (&Method::POST, NOTICES) => Ok(notices(stage, request.into_body()).await),
        _ => Ok(plain(StatusCode::NOT_FOUND)),
    }
}

async fn targets(
    stage: &Stage,
    directory: &Directory,
    sender: usize,
    query: &str,
) -> Result<Response<Full<Bytes>>, Cut> {
    let field = |name: &str| {
        let of = |pair: &str| pair.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v.parse::<u64>());
        query.split('&').find_map(of).transpose()
    };
    let (Ok(from), Ok(hold)) = (field("from"), field("hold_ms")) else {
        return Ok(plain(StatusCode::BAD_REQUEST));
    };
    let mut down = directory.down.subscribe();
    if *down.borrow() {
        return Err(Cut);
    }
    if let Some(from) = from {
        let hold = Duration::from_millis(hold.unwrap_or(0)).min(MAX_LONG_POLL);
        let mut revision = directory.revision.subscribe();
        tokio::select! {
            _ = down.wait_for(|down| *down) => return Err(Cut),
            _ = timeout(hold, revision.wait_for(|now| *now != from)) => {}
        }
    }
    let targets = directory.list(from);
    let Ok(body) = serde_json::to_vec(&targets) else { return Err(Cut) };
    directory.note(stage, sender, &targets);
    Ok(Response::new(Full::new(body.into())))
}

async fn notices(stage: &Stage, body: Incoming) -> Response<Full<Bytes>> {
    let Ok(body) = Limited::new(body, MAX_NOTICE_BYTES).collect().await else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let read: Result<Vec<NoticeLine<String>>, _> = lines.map(serde_json::from_slice).collect();
    let Ok(read) = read else { return plain(StatusCode::BAD_REQUEST) };
    let now = stage.now();
    let mut inner = stage.lock();
    for line in read {
        let back = inner.checker.noticed(now, &line.id, line.state == NoticeState::Returned);
        let client = back.and_then(|first| inner.returns.remove(&first));
        if let Some(client) = client.filter(|_| line.state == NoticeState::Returned) {
            // One whose client has disconnected has nobody to come again.
            let _ = client.send(line.after_ms);
        }
    }
    plain(StatusCode::NO_CONTENT)
}

/// Figures of the rules as the settings give them, in microseconds.
pub fn invariants(rules: &Rules) -> serde_json::Value {
    serde_json::json!({
        "answer_slack": (rules.late_end_ms * 1000.0) as u64,
        "drain_grace": (rules.drain_ms * 1000.0) as u64,
        "cold_share": rules.initial_capacity_share,
        "ramp_time": (rules.warm_up_s * 1e6) as u64,
        "overload_factor": rules.fall_multiple,
        "fall": (rules.fall_s * 1e6) as u64,
        "must_ask_in": 10_000_000,
    })
}

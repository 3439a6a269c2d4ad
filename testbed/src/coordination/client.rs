//! An application's HTTP client: one control node at a time, and another one after a failure.

use super::history::{Answer, Call, Phase, Recorder, Request};
use super::wire::{decode, encode};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use message_sender::net::connection::{Connection, request as request_head};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tokio::time::timeout;

/// A control node that has not answered by then is left for another.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A control node's number and address.
pub type Node = (usize, SocketAddrV4);

/// What all applications of a run share.
pub struct Shared {
    /// The control nodes of the operator's list, which changes as machines are replaced.
    nodes: RwLock<Vec<Node>>,
    /// Where calls are recorded.
    pub recorder: Recorder,
    /// Whether the final phase has begun.
    pub is_final: AtomicBool,
}

impl Shared {
    /// For applications that know these control nodes.
    pub fn new(nodes: Vec<Node>) -> Arc<Self> {
        let nodes = RwLock::new(nodes);
        Arc::new(Self { nodes, recorder: Recorder::default(), is_final: AtomicBool::new(false) })
    }

    /// Tells all applications another list of control nodes.
    pub fn set_nodes(&self, nodes: Vec<Node>) {
        *self.nodes.write().unwrap_or_else(PoisonError::into_inner) = nodes;
    }

    /// The control node at this position of the list, counted round and round.
    fn node(&self, position: usize) -> Node {
        let nodes = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
        nodes[position % nodes.len()]
    }

    /// The present part of the run.
    pub fn phase(&self) -> Phase {
        if self.is_final.load(Ordering::Relaxed) { Phase::Final } else { Phase::Work }
    }
}

/// The client of one application, with the connection that it reuses.
pub struct Client {
    shared: Arc<Shared>,
    caller: u32,
    position: usize,
    connection: Option<(Node, Connection)>,
}

/// A call that was sent. One that is dropped before its end is recorded as unanswered: it may have been executed.
struct PendingCall<'a> {
    recorder: &'a Recorder,
    call: Option<Call>,
}

impl PendingCall<'_> {
    fn end(mut self, answer: Answer) {
        if let Some(call) = &mut self.call {
            call.answer = answer;
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.recorder.add(Call { ended_us: self.recorder.now_us(), ..call });
        }
    }
}

impl Client {
    /// The client of this application; its number also chooses the control node that it begins with.
    pub fn new(shared: Arc<Shared>, caller: u32) -> Self {
        Self { shared, caller, position: caller as usize, connection: None }
    }

    /// Sends a request once, records it, and turns to another control node unless it was answered.
    pub async fn call(&mut self, request: Request) -> Answer {
        let shared = self.shared.clone();
        // An open connection stays in use while it works, also when the list has changed.
        let node = self.connection.as_ref().map_or_else(|| shared.node(self.position), |(node, _)| *node);
        let sent_us = shared.recorder.now_us();
        let pending = PendingCall {
            recorder: &shared.recorder,
            call: Some(Call {
                caller: self.caller,
                node: node.0,
                sent_us,
                ended_us: sent_us,
                phase: shared.phase(),
                request: request.clone(),
                answer: Answer::Unanswered,
            }),
        };
        let answer = match timeout(answer_timeout(&request), self.exchange(node, &request)).await {
            Ok(Some((status, body))) => decode(&request, status, &body),
            Ok(None) | Err(_) => Answer::Unanswered,
        };
        pending.end(answer.clone());
        if !answer.is_clear() {
            self.connection = None;
            self.position += 1;
        }
        answer
    }

    async fn exchange(&mut self, node: Node, request: &Request) -> Option<(u16, Bytes)> {
        let address = node.1.into();
        let wire = encode(request);
        let head = || {
            let head = request_head(wire.method.clone(), &wire.path, address);
            if wire.body.is_empty() { head } else { head.header(CONTENT_TYPE, "application/json") }
        };
        let body = Bytes::from(wire.body.clone());
        let reused = self.connection.take().map(|(_, connection)| connection);
        let (connection, response) =
            Connection::exchange(reused, address, ANSWER_TIMEOUT, head, body).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.connection = Some((node, connection));
        Some((status, body))
    }
}

fn answer_timeout(request: &Request) -> Duration {
    match request {
        Request::Watch { wait_ms, .. } => ANSWER_TIMEOUT + Duration::from_millis(*wait_ms),
        _ => ANSWER_TIMEOUT,
    }
}

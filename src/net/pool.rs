//! The pool of idle connections to endpoints, and calls on them: one call at a time on a connection, with its result
//! as an [`Outcome`].
use super::connection::{CallError, Connection, request};
use super::idle_trust::IdleTrust;
use super::input::{Called, Input};
use super::received_body::read_body;
use super::tuning::ReportFields;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, StatusCode};
use message_sender::wire::{HOOK, IDEMPOTENCY_KEY, NO_SLOT, REMAINING, TXN};
use message_sender::{EndpointId, Outcome, Report, Span};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum length of an answer's body. No peer sends more; a longer answer closes its connection.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Time limit for the rest of an answer once its head has arrived: a `Retry-After` in it takes effect 100 ms later.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(50);

/// A message as sent in a call.
#[derive(Clone)]
pub struct Parcel {
    pub number: u32,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub body: Bytes,
}

/// A call to an endpoint, with one message or several.
pub struct Call {
    pub number: u64,
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub parcels: Vec<Parcel>,
    /// Deadline: the call is abandoned then.
    pub expires: Instant,
    pub connect_timeout: Duration,
}

/// Idle connections by address, the most recently used one taken first: an endpoint that moves to a new address leaves
/// its old connections behind.
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<(Connection, Instant)>>,
    keep: Duration,
    trust: IdleTrust,
}

impl Pool {
    /// Creates an empty pool. `idle_time` is how long endpoints keep an idle connection open; connections here are
    /// closed after four fifths of it.
    pub fn new(idle_time: Duration) -> Self {
        Self { idle: HashMap::new(), keep: idle_time * 4 / 5, trust: IdleTrust::new() }
    }

    /// Changes how long endpoints keep an idle connection open.
    pub fn keep_for(&mut self, idle_time: Duration) {
        self.keep = idle_time * 4 / 5;
    }

    /// Removes the most recently used idle connection to the address, if there is a usable one, and returns it with its
    /// idle time.
    pub fn take(&mut self, address: SocketAddr) -> Option<(Connection, Duration)> {
        self.prune();
        let idle = self.idle.get_mut(&address)?;
        idle.pop().map(|(connection, since)| (connection, since.elapsed()))
    }

    /// Records whether a call's connection broke, with its idle time before the call, or none if it was new.
    pub fn learn(&mut self, idle: Option<Duration>, broke: bool) {
        self.trust.learn(idle, broke);
    }

    /// Adds an idle connection for later calls.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        self.prune();
        self.idle.entry(address).or_default().push((connection, Instant::now()));
    }

    /// Closes the connections that have been idle for longest until at most `most` remain.
    pub fn trim(&mut self, most: usize) {
        let over = self.idle().saturating_sub(most);
        for _ in 0..over {
            // The connections of an address are in the order in which they became idle.
            let oldest = self.idle.iter_mut().min_by_key(|(_, idle)| idle.first().map(|(_, since)| *since));
            if let Some((_, idle)) = oldest.filter(|(_, idle)| !idle.is_empty()) {
                idle.remove(0);
            }
            self.idle.retain(|_, idle| !idle.is_empty());
        }
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have been idle for too long.
    fn prune(&mut self) {
        self.trust.forget();
        let keep = self.trust.limit().map_or(self.keep, |limit| limit.min(self.keep));
        self.idle.retain(|_, idle| {
            idle.retain(|(connection, since)| since.elapsed() < keep && !connection.is_closed());
            !idle.is_empty()
        });
    }
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

#[derive(Deserialize)]
struct BatchResult {
    id: String,
    state: ItemState,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ItemState {
    Ok,
    Error,
    Later,
    Gone,
    Exhausted,
}

impl Call {
    /// Makes the call, on the `kept` connection or a new one. Sends its result to the host as soon as it is known, and
    /// returns the connection if it can be reused.
    pub async fn run(
        self,
        kept: Option<(Connection, Duration)>,
        fields: ReportFields,
        mut called_off: oneshot::Receiver<()>,
        host: &UnboundedSender<Input>,
    ) -> Option<Connection> {
        let mut kept = kept;
        let (connection, idle, answer) = loop {
            let (mut connection, idle) = match self.open_or_reuse(kept.take(), host).await {
                Ok(Some(connection)) => connection,
                Ok(None) => {
                    let _ = host.send(Input::Called(self.called(self.all_with(Outcome::Void), None, None)));
                    return None;
                }
                Err(e) => {
                    let _ = host.send(Input::Called(self.failed(&e)));
                    return None;
                }
            };
            let (request, body) = self.request();
            let answer = tokio::select! {
                answer = timeout_at(self.expires, connection.send(request, body)) => answer.map_err(|_| Outcome::TimedOut),
                Ok(()) = &mut called_off => Err(Outcome::Cancelled),
            };
            // Nothing was written: the call is retried on a new connection, after asking again whether it may start.
            if !matches!(answer, Ok(Err(CallError::Stale(_)))) {
                break (connection, idle, answer);
            }
        };
        let done = |called| drop(host.send(Input::Called(Called { idle, ..called })));
        match answer {
            // Not an answer to this call: endpoints execute it only after its last byte, which was not written.
            Ok(Ok(answer)) if answer.status() == StatusCode::OK && !connection.request_written() => {
                drop(connection);
                done(self.called(self.all_with(Outcome::ConnectFailed), None, None));
                None
            }
            Ok(Ok(answer)) if self.parcels.len() > 1 && answer.status() == StatusCode::OK => {
                // The outcomes of a batch's messages are known only once the whole body has arrived.
                let (head, body) = answer.into_parts();
                let read = timeout_at(self.expires, read_body(body, MAX_ANSWER_BYTES)).await;
                let wait = retry_after(&head.headers);
                let (ends, complete) = match read {
                    Ok(Ok(body)) => (self.batch_outcomes(&body, wait), true),
                    Ok(Err(_)) => (self.all_with(Outcome::Reset), false),
                    Err(_) => (self.all_with(Outcome::TimedOut), false),
                };
                done(self.called(ends, wait, fields.read(&head.headers)));
                complete.then_some(connection)
            }
            Ok(Ok(answer)) => {
                let wait = retry_after(answer.headers());
                let (outcome, is_final) = match wait {
                    None if idle.is_none() && connection_refused(answer.status(), answer.headers()) => {
                        (Outcome::NoRoom, false)
                    }
                    _ => outcome(answer.status(), answer.headers(), wait),
                };
                let ends = self.parcels.iter().map(|parcel| (parcel.number, outcome, is_final)).collect();
                let called = self.called(ends, wait, fields.read(answer.headers()));
                let body = read_body(answer.into_body(), MAX_ANSWER_BYTES);
                // The call is in flight until its answer is complete or its connection is closed: until then it
                // occupies a slot, and another attempt could execute concurrently.
                let read = timeout(ANSWER_REST_TIMEOUT, body).await;
                let connection = matches!(read, Ok(Ok(_))).then_some(connection);
                done(called);
                connection
            }
            Ok(Err(e)) => {
                done(self.failed(&e));
                None
            }
            Err(abandoned) => {
                // Close the connection first: an incomplete request then never executes.
                let outcome = if connection.request_written() { abandoned } else { Outcome::ConnectFailed };
                drop(connection);
                done(self.called(self.all_with(outcome), None, None));
                None
            }
        }
    }

    /// Returns a connection for the call, with its idle time unless it is new, or none if the host no longer allows the
    /// messages to be sent once a new connection is open.
    async fn open_or_reuse(
        &self,
        kept: Option<(Connection, Duration)>,
        host: &UnboundedSender<Input>,
    ) -> Result<Option<(Connection, Option<Duration>)>, CallError> {
        if let Some((mut kept, idle)) = kept
            && kept.is_alive().await
        {
            return Ok(Some((kept, Some(idle))));
        }
        let left = self.expires.saturating_duration_since(Instant::now());
        let new = Connection::open(self.address, left.min(self.connect_timeout)).await?;
        let (may_begin, allowed) = oneshot::channel();
        let messages = self.parcels.iter().map(|parcel| parcel.number).collect();
        let _ = host.send(Input::Connected { endpoint: self.endpoint, messages, may_begin });
        // A host that has ended makes no more calls.
        Ok(allowed.await.unwrap_or(false).then_some((new, None)))
    }

    fn request(&self) -> (Builder, Bytes) {
        let left = self.expires.saturating_duration_since(Instant::now()).as_secs_f64();
        let path = if self.parcels.len() > 1 { "/hook/batch" } else { HOOK };
        let head = request(Method::POST, path, self.address).header(REMAINING, format!("{left:.3}"));
        if let [parcel] = &self.parcels[..] {
            let mut head = head.header(TXN, &parcel.id);
            if let Some(key) = &parcel.idempotency_key {
                head = head.header(IDEMPOTENCY_KEY, key);
            }
            return (head, parcel.body.clone());
        }
        let items: Vec<_> = (self.parcels.iter())
            .map(|parcel| BatchItem {
                id: &parcel.id,
                key: parcel.idempotency_key.as_deref(),
                body: BASE64.encode(&parcel.body),
            })
            .collect();
        // Strings always have a JSON form.
        let body = serde_json::to_vec(&items).unwrap_or_default();
        (head.header(CONTENT_TYPE, "application/json"), body.into())
    }

    fn all_with(&self, outcome: Outcome) -> Vec<(u32, Outcome, bool)> {
        self.parcels.iter().map(|parcel| (parcel.number, outcome, false)).collect()
    }

    fn batch_outcomes(&self, body: &[u8], wait: Option<Span>) -> Vec<(u32, Outcome, bool)> {
        let states: HashMap<String, ItemState> = match serde_json::from_slice::<Vec<BatchResult>>(body) {
            Ok(results) => results.into_iter().map(|result| (result.id, result.state)).collect(),
            Err(e) => {
                tracing::warn!("invalid answer to a batch: {e}");
                HashMap::new()
            }
        };
        let end = |parcel: &Parcel| match states.get(&parcel.id) {
            Some(ItemState::Ok) => (Outcome::Success, true),
            Some(ItemState::Later) => (Outcome::Full(wait), false),
            Some(ItemState::Gone) => (Outcome::Void, true),
            Some(ItemState::Exhausted) => (Outcome::Void, false),
            // A message that is missing in the answer may have executed.
            Some(ItemState::Error) | None => (Outcome::Failure, false),
        };
        self.parcels.iter().map(|parcel| (parcel.number, end(parcel).0, end(parcel).1)).collect()
    }

    fn failed(&self, error: &CallError) -> Called {
        let outcome = match error {
            CallError::Connect(_) | CallError::Stale(_) | CallError::Unsent(_) => Outcome::ConnectFailed,
            CallError::Reset(_) => Outcome::Reset,
        };
        self.called(self.all_with(outcome), None, None)
    }

    fn called(&self, ends: Vec<(u32, Outcome, bool)>, wait: Option<Span>, report: Option<Report>) -> Called {
        let (number, endpoint) = (self.number, self.endpoint);
        Called { number, endpoint, at: Instant::now(), ends, wait, report, idle: None }
    }
}

/// Maps an answer to its outcome, and whether the message needs no further attempt.
fn outcome(status: StatusCode, headers: &HeaderMap, wait: Option<Span>) -> (Outcome, bool) {
    match status {
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Full(wait), false),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(NO_SLOT) => (Outcome::Void, false),
        StatusCode::SERVICE_UNAVAILABLE => (Outcome::Full(wait), false),
        StatusCode::GATEWAY_TIMEOUT => (Outcome::Void, false),
        StatusCode::GONE => (Outcome::Void, true),
        // The protocol defines no other status: the message may have executed.
        _ => (Outcome::Failure, false),
    }
}

/// Whether the endpoint refused a new connection because it has reached its connection limit. Refusals for other
/// reasons leave the connection open.
fn connection_refused(status: StatusCode, headers: &HeaderMap) -> bool {
    let closes = headers.get(CONNECTION).and_then(|value| value.to_str().ok());
    status == StatusCode::SERVICE_UNAVAILABLE
        && !headers.contains_key(NO_SLOT)
        && closes.is_some_and(|value| value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
}

/// The `Retry-After` of an answer, in seconds with decimals.
fn retry_after(headers: &HeaderMap) -> Option<Span> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Span((seconds * 1e6).ceil() as u64))
}

#[cfg(test)]
mod tests;

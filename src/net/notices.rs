//! Notifies the platform of the final outcomes of undelivered messages, in order, retrying each until it is acknowledged.
use super::connection::{CallError, Connection, request};
use super::discovery::Pauses;
use super::input::Input;
use super::journal::FinalOutcome;
use super::received_body::read_body;
use super::telemetry::Shared;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use message_sender::wire::{NOTICES, NoticeLine, NoticeState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Maximum notices in one request: even with the longest ids the body stays under 64 KiB.
const MAX_BATCH: usize = 50;
/// Time limit for a request. The platform answers immediately, so a connection without an answer by then is abandoned.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean backoff after a first failed request: a notice is late 300 ms after its message's deadline.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff: the platform answers even while discovery is down.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum length of an answer's body, which is ignored and read only so that the connection can be reused.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The final outcome of an undelivered message, to be reported to the platform.
pub struct Notice {
    pub number: u32,
    pub id: String,
    pub end: FinalOutcome,
}

#[derive(Debug, thiserror::Error)]
enum NoticeError {
    #[error("no answer")]
    Silent,
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(StatusCode),
}

/// Sends notices from `queue` to the platform at the current `address`, and reports acknowledged ones to the host, until
/// the queue or the host ends.
pub async fn run(
    mut address: watch::Receiver<SocketAddr>,
    mut queue: UnboundedReceiver<Notice>,
    seed: u64,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
) {
    let (mut connection, mut batch, mut failing) = (None, Vec::new(), false);
    // With jitter, as all senders lose the platform at the same time.
    let mut pauses = Pauses::between(seed, FIRST_BACKOFF, MAX_BACKOFF);
    while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
        // The kept connection is of no use if the address changed while the queue was empty.
        if address.has_changed().unwrap_or(false) {
            connection = None;
        }
        let mut count = batch.len();
        while !batch.is_empty() {
            count = count.min(batch.len());
            let body = lines(&batch[..count]);
            let platform = *address.borrow_and_update();
            let sent = tokio::select! {
                // A notice that also reached the old address is harmless.
                Ok(()) = address.changed() => {
                    connection = None;
                    continue;
                }
                sent = timeout(REQUEST_TIMEOUT, send(platform, body, &mut connection)) => sent,
            };
            let sent = sent.unwrap_or(Err(NoticeError::Silent));
            shared.notice_calls.count(sent.is_ok());
            match sent {
                Ok(()) => {
                    failing = false;
                    pauses.start_over();
                }
                // An invalid notice must not block the others: each is sent alone, and the invalid one is dropped.
                Err(NoticeError::Status(StatusCode::BAD_REQUEST)) if count > 1 => {
                    count = 1;
                    continue;
                }
                Err(NoticeError::Status(StatusCode::BAD_REQUEST)) => {
                    tracing::warn!(
                        "notices: the platform rejected the notice for message {:?} as invalid; dropping it",
                        batch[0].id
                    );
                }
                Err(e) => {
                    // Log once per outage, not once per request.
                    if !failing {
                        tracing::warn!("notices: {e}");
                    }
                    failing = true;
                    connection = None;
                    sleep(pauses.again()).await;
                    continue;
                }
            }
            let numbers = batch.drain(..count).map(|notice| notice.number).collect();
            if host.send(Input::Noticed(numbers)).is_err() {
                return;
            }
        }
    }
}

/// Encodes notices as one JSON object per line.
fn lines(batch: &[Notice]) -> Bytes {
    let mut body = Vec::new();
    for notice in batch {
        let (state, after_ms) = match notice.end {
            FinalOutcome::Failed => (NoticeState::Failed, None),
            FinalOutcome::Returned(after) => (NoticeState::Returned, after),
        };
        // Strings and numbers always have a JSON form.
        body.extend(serde_json::to_vec(&NoticeLine { id: &notice.id, state, after_ms }).unwrap_or_default());
        body.push(b'\n');
    }
    body.into()
}

async fn send(platform: SocketAddr, body: Bytes, kept: &mut Option<Connection>) -> Result<(), NoticeError> {
    let head = || request(Method::POST, NOTICES, platform);
    let (connection, answer) =
        Connection::exchange(kept.take(), platform, REQUEST_TIMEOUT, head, body).await?;
    let status = answer.status();
    let read = read_body(answer.into_body(), MAX_ANSWER_BYTES).await;
    if !status.is_success() {
        return Err(NoticeError::Status(status));
    }
    *kept = read.is_ok().then_some(connection);
    Ok(())
}

#[cfg(test)]
mod tests;

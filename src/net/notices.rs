//! Final answers to the platform: each is sent again until it is acknowledged, in the order in which they came.
use super::connection::{CallError, Connection, request};
use super::discovery::Pauses;
use super::input::Input;
use super::journal::FinalOutcome;
use super::telemetry::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, StatusCode};
use message_sender::wire::{NOTICES, NoticeLine, NoticeState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Notices in one request: the longest ids stay under the 64 KiB of a body.
const MOST_LINES: usize = 50;
/// The platform answers at once; a connection that stays silent for so long is given up.
const PATIENCE: Duration = Duration::from_millis(500);
/// Pause after a first request that failed, on average: a notice is late 300 ms after its message's time.
const PAUSE: Duration = Duration::from_millis(50);
/// The longest pause: the platform answers even while discovery is down.
const MOST_PAUSE: Duration = Duration::from_millis(400);
/// Bodies of answers mean nothing and are read up to this, so that the connection can be used again.
const MOST_ANSWER: usize = 64 * 1024;

/// How a message ended that was not delivered, on its way to the platform.
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

/// Sends what comes from `queue` to the platform, at the address that is told last, and tells the host what was
/// acknowledged, for as long as both are there.
pub async fn run(
    mut address: watch::Receiver<SocketAddr>,
    mut queue: UnboundedReceiver<Notice>,
    seed: u64,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
) {
    let (mut connection, mut batch, mut failing) = (None, Vec::new(), false);
    // By chance apart: all senders lose the platform at one moment.
    let mut pauses = Pauses::between(seed, PAUSE, MOST_PAUSE);
    while queue.recv_many(&mut batch, MOST_LINES).await > 0 {
        // One that changed while nothing was to be sent is not the kept connection's.
        if address.has_changed().unwrap_or(false) {
            connection = None;
        }
        let mut take = batch.len();
        while !batch.is_empty() {
            take = take.min(batch.len());
            let body = lines(&batch[..take]);
            let platform = *address.borrow_and_update();
            let sent = tokio::select! {
                // A notice that reached the old address too does no harm.
                Ok(()) = address.changed() => {
                    connection = None;
                    continue;
                }
                sent = timeout(PATIENCE, send(platform, body, &mut connection)) => sent,
            };
            let sent = sent.unwrap_or(Err(NoticeError::Silent));
            shared.notice_calls.count(sent.is_ok());
            match sent {
                Ok(()) => {
                    failing = false;
                    pauses.start_over();
                }
                // One that cannot be read must not hold up the others: each goes alone, and that one nowhere.
                Err(NoticeError::Status(StatusCode::BAD_REQUEST)) if take > 1 => {
                    take = 1;
                    continue;
                }
                Err(NoticeError::Status(StatusCode::BAD_REQUEST)) => {
                    tracing::warn!("notices: the platform cannot read the one of {:?}: dropped", batch[0].id);
                }
                Err(e) => {
                    // One line an outage, not one a request.
                    if !failing {
                        tracing::warn!("notices: {e}");
                    }
                    failing = true;
                    connection = None;
                    sleep(pauses.again()).await;
                    continue;
                }
            }
            let numbers = batch.drain(..take).map(|notice| notice.number).collect();
            if host.send(Input::Noticed(numbers)).is_err() {
                return;
            }
        }
    }
}

/// One JSON object a line.
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
    let (connection, answer) = Connection::exchange(kept.take(), platform, PATIENCE, head, body).await?;
    let status = answer.status();
    let read = Limited::new(answer.into_body(), MOST_ANSWER).collect().await;
    if !status.is_success() {
        return Err(NoticeError::Status(status));
    }
    *kept = read.is_ok().then_some(connection);
    Ok(())
}

#[cfg(test)]
mod tests;

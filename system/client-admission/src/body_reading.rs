//! Reading of request bodies within a budget, a length and a deadline.

use crate::body_budget::{BodyBudget, BudgetExceeded};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Why a body was not read to its end. In each case the connection cannot be used for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed, or states that it is.
    #[error("the request body is too large")]
    TooLarge,
    /// The connection ended within it, or its chunks are malformed.
    #[error("the request body is malformed or incomplete")]
    Malformed,
    /// It was not complete at the deadline.
    #[error("the request body did not arrive in time")]
    Late,
    /// The memory for bodies is used up.
    #[error(transparent)]
    NoMemory(#[from] BudgetExceeded),
}

/// Reads a body of at most `max_bytes` until `deadline`.
///
/// # Errors
///
/// [`BodyError`] if it was not read to its end.
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
    budget: &BodyBudget,
) -> Result<Bytes, BodyError> {
    check_stated_length(&body, max_bytes)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let known_length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = budget.begin(known_length, max_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.evicted() => return Err(BudgetExceeded.into()),
            frame = next_data(&mut body, deadline) => frame?,
        };
        let Some(data) = frame else { break };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&data)?;
    }
    Ok(buffer.finish()?)
}

/// Reads a body as [`read_body`] does, and keeps nothing of it.
///
/// # Errors
///
/// [`BodyError`] if it was not read to its end.
pub async fn discard_body<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(), BodyError> {
    check_stated_length(&body, max_bytes)?;
    let mut length = 0;
    while let Some(data) = next_data(&mut body, deadline).await? {
        length += data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}

fn check_stated_length(body: &impl Body, max_bytes: usize) -> Result<(), BodyError> {
    if body.size_hint().lower() > max_bytes as u64 { Err(BodyError::TooLarge) } else { Ok(()) }
}

/// The next bytes of a body; `None` at its end. Trailers count as empty data.
async fn next_data<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    deadline: Instant,
) -> Result<Option<Bytes>, BodyError> {
    match timeout_at(deadline, body.frame()).await {
        Err(_) => Err(BodyError::Late),
        Ok(Some(Err(_))) => Err(BodyError::Malformed),
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(None) => Ok(None),
    }
}

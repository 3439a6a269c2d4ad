//! Reading of complete request and response bodies.

use crate::local_response::LocalResponse;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

/// Upper bound on a collected response, which matters for one that does not state its length.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Reads a request's body. The error is the response to the client: the body is too large, malformed or late.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, LocalResponse> {
    let too_large = || LocalResponse::closing(StatusCode::PAYLOAD_TOO_LARGE);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let read = async {
        let mut chunks = ChunkBuffer::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(LocalResponse::closing(StatusCode::BAD_REQUEST)) };
            let data = frame.into_data().unwrap_or_default();
            if chunks.len() + data.len() > max_bytes {
                return Err(too_large());
            }
            chunks.push(data);
        }
        Ok(chunks.into_bytes())
    };
    timeout_at(deadline, read)
        .await
        .unwrap_or_else(|_| Err(LocalResponse::closing(StatusCode::REQUEST_TIMEOUT)))
}

/// Reads a response body; `None` if it is incomplete or too large.
pub(crate) async fn read_response_body(mut body: Incoming) -> Option<Bytes> {
    let mut chunks = ChunkBuffer::default();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if chunks.len() + data.len() > MAX_RESPONSE_BYTES {
            return None;
        }
        chunks.push(data);
    }
    Some(chunks.into_bytes())
}

/// Joins the chunks of a body; a body of a single chunk is not copied.
#[derive(Default)]
struct ChunkBuffer {
    first: Bytes,
    joined: BytesMut,
}

impl ChunkBuffer {
    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
        } else {
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
            self.joined.extend_from_slice(&data);
        }
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}

#[cfg(test)]
mod tests;

//! Bodies that are read whole, of requests and of answers.

use crate::local_response::LocalResponse;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

/// Answers without a told length are read up to this.
const MOST_UNTOLD: usize = 8 * 1024 * 1024;

/// A request's body, up to so many bytes and until then.
pub(crate) async fn read_body(
    mut body: Incoming,
    most: usize,
    until: Instant,
) -> Result<Bytes, LocalResponse> {
    let too_large = || LocalResponse::closing(StatusCode::PAYLOAD_TOO_LARGE);
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = async {
        let mut chunks = ChunkBuffer::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(LocalResponse::closing(StatusCode::BAD_REQUEST)) };
            let data = frame.into_data().unwrap_or_default();
            if chunks.len() + data.len() > most {
                return Err(too_large());
            }
            chunks.add(data);
        }
        Ok(chunks.whole())
    };
    timeout_at(until, read).await.unwrap_or_else(|_| Err(LocalResponse::closing(StatusCode::REQUEST_TIMEOUT)))
}

/// A whole answer, if it is that and not too large.
pub(crate) async fn read_whole(mut body: Incoming) -> Option<Bytes> {
    let mut chunks = ChunkBuffer::default();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        if chunks.len() + data.len() > MOST_UNTOLD {
            return None;
        }
        chunks.add(data);
    }
    Some(chunks.whole())
}

/// A body as it comes; one that comes in one piece is not copied.
#[derive(Default)]
struct ChunkBuffer {
    only: Bytes,
    several: BytesMut,
}

impl ChunkBuffer {
    fn len(&self) -> usize {
        self.only.len() + self.several.len()
    }

    fn add(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.only = data;
        } else {
            self.several.extend_from_slice(&std::mem::take(&mut self.only));
            self.several.extend_from_slice(&data);
        }
    }

    fn whole(self) -> Bytes {
        if self.several.is_empty() { self.only } else { self.several.freeze() }
    }
}

#[cfg(test)]
mod tests;

//! Collection of responses, so that one that turns out to be incomplete can be retried before a part of it was forwarded. A
//! response that is too long or too slow for that, or for which there is no memory, is streamed from there on.

use crate::response_account::{FREE_BYTES, ResponseAccount};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use message_sender::net::received_body::ReceivedBody;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Responses up to this length, in bytes, are collected.
const MAX_COLLECTED_BYTES: usize = 1024 * 1024;
/// A response over [`FREE_BYTES`] is collected for this long at most: it occupies memory that others need.
const MAX_COLLECTION_TIME: Duration = Duration::from_secs(1);

/// What became of a response.
#[derive(Debug)]
pub(crate) enum Collected {
    /// All of it.
    Complete(Bytes),
    /// Its first bytes; the rest is to be streamed.
    Prefix(Bytes),
    /// It broke off, or is malformed.
    Broken,
    /// It was not complete at the deadline.
    Late,
}

/// Collects a response; what it holds is in the account.
pub(crate) async fn collect(
    body: &mut ReceivedBody,
    account: &ResponseAccount,
    deadline: Instant,
) -> Collected {
    if body.is_end_stream() {
        return Collected::Complete(Bytes::new());
    }
    if body.size_hint().lower() > MAX_COLLECTED_BYTES as u64 {
        return Collected::Prefix(Bytes::new());
    }
    let mut chunks = ChunkBuffer::default();
    let collect_until = deadline.min(Instant::now() + MAX_COLLECTION_TIME);
    loop {
        let is_short = chunks.len() <= FREE_BYTES;
        let frame = match timeout_at(if is_short { deadline } else { collect_until }, body.frame()).await {
            Err(_) if is_short || Instant::now() >= deadline => return Collected::Late,
            Err(_) => return Collected::Prefix(chunks.into_bytes()),
            Ok(None) => return Collected::Complete(chunks.into_bytes()),
            Ok(Some(Err(_))) => return Collected::Broken,
            Ok(Some(Ok(frame))) => frame,
        };
        let data = frame.into_data().unwrap_or_default();
        let fits = chunks.len() + data.len() <= MAX_COLLECTED_BYTES && chunks.reserve(&data, account);
        chunks.push(data);
        if !fits {
            return Collected::Prefix(chunks.into_bytes());
        }
    }
}

/// Joins the chunks of a body; a body of a single chunk is not copied.
#[derive(Default)]
struct ChunkBuffer {
    first: Bytes,
    joined: BytesMut,
    held_bytes: usize,
}

impl ChunkBuffer {
    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Holds memory for the buffer with these bytes; whether there is any. Up to [`FREE_BYTES`] need none.
    fn reserve(&mut self, data: &Bytes, account: &ResponseAccount) -> bool {
        let length = self.len() + data.len();
        if length <= FREE_BYTES.max(self.held_bytes) {
            return true;
        }
        let capacity = length.next_power_of_two();
        if account.hold(capacity - self.held_bytes).is_err() {
            return false;
        }
        self.held_bytes = capacity;
        true
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        let capacity = self.held_bytes.max(self.len() + data.len());
        self.joined.reserve(capacity - self.joined.len());
        self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}

#[cfg(test)]
mod tests;

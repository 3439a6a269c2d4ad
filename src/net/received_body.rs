//! Bodies of answers, and the guard against answers that give nothing: bytes without end that make up neither a head nor a part
//! of a body, such as the digits of a chunk's size or interim responses. The HTTP library reads those in a loop.
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Bytes that a connection may receive without an answer's head or a part of a body being delivered. More than what the HTTP
/// library reads ahead: a part that is queued and one that is being read, each as long as its buffer.
pub const MAX_UNPRODUCTIVE_BYTES: usize = 128 * 1024;

/// Counts the bytes that a connection has received since it last delivered a head or a part of a body. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct UnproductiveBytes(Arc<AtomicUsize>);

impl UnproductiveBytes {
    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// `InvalidData` once there are more than [`MAX_UNPRODUCTIVE_BYTES`].
    pub(super) fn receive(&self, count: usize) -> io::Result<()> {
        let unproductive = self.0.fetch_add(count, Ordering::Relaxed) + count;
        if unproductive <= MAX_UNPRODUCTIVE_BYTES {
            return Ok(());
        }
        let message = format!("{unproductive} bytes without a head or a part of a body");
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }

    /// Starts over, as something was delivered or a new request begins.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// The body of an answer.
#[derive(Debug)]
pub struct ReceivedBody {
    incoming: Incoming,
    unproductive: UnproductiveBytes,
}

impl ReceivedBody {
    pub(super) fn new(incoming: Incoming, unproductive: UnproductiveBytes) -> Self {
        Self { incoming, unproductive }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        if frame.is_ready() {
            self.unproductive.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is longer than it may be, or states that it is.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// Its connection failed, or it is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` into one buffer, whatever the length of its parts.
///
/// # Errors
///
/// [`ReadError`] if it was not read to its end.
pub async fn read_body(mut body: ReceivedBody, max_bytes: usize) -> Result<Bytes, ReadError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLong(max_bytes));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLong(max_bytes));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

//! Bodies of responses to clients.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Item of the channel that feeds a streamed body.
pub(crate) enum BodyChunk {
    Data(Bytes),
    /// The body is complete. If the channel closes without it, the body was aborted.
    End,
}

enum BodyKind {
    Complete(Option<Bytes>),
    Streamed { chunks: mpsc::Receiver<BodyChunk>, length: Option<u64>, ended: bool },
}

/// The body of a response; `guard` is dropped with it.
pub(crate) struct ResponseBody {
    kind: BodyKind,
    guard: Option<Box<dyn std::any::Any>>,
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        Self {
            kind: BodyKind::Complete(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty())),
            guard: None,
        }
    }

    pub(crate) fn streamed(chunks: mpsc::Receiver<BodyChunk>, length: Option<u64>) -> Self {
        Self { kind: BodyKind::Streamed { chunks, length, ended: false }, guard: None }
    }

    pub(crate) fn guarded(mut self, guard: impl std::any::Any) -> Self {
        self.guard = Some(Box::new(guard));
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.kind {
            BodyKind::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            BodyKind::Streamed { ended: true, .. } => Poll::Ready(None),
            BodyKind::Streamed { chunks, ended, .. } => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(BodyChunk::End) => {
                    *ended = true;
                    None
                }
                None => {
                    *ended = true;
                    Some(Err(io::Error::new(
                        io::ErrorKind::ConnectionAborted,
                        "response body aborted before its end",
                    )))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.kind, BodyKind::Complete(None) | BodyKind::Streamed { ended: true, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodyKind::Streamed { length: Some(length), .. } => SizeHint::with_exact(*length),
            BodyKind::Streamed { .. } => SizeHint::default(),
        }
    }
}

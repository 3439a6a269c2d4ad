//! Bodies of responses to clients.

use crate::response_account::ResponseAccount;
use crate::response_channel::{BodyChunk, MAX_PIECE_BYTES, ResponseReceiver};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

enum BodyKind {
    /// The account is that of a response of an endpoint.
    Complete {
        left: Bytes,
        account: Option<Rc<ResponseAccount>>,
    },
    Streamed {
        chunks: ResponseReceiver,
        length: Option<u64>,
        ended: bool,
    },
}

/// The body of a response; `guard` is dropped with it.
pub(crate) struct ResponseBody {
    kind: BodyKind,
    guard: Option<Box<dyn std::any::Any>>,
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        Self { kind: BodyKind::Complete { left: bytes.into(), account: None }, guard: None }
    }

    /// A body that was received completely from an endpoint.
    pub(crate) fn collected(left: Bytes, account: Rc<ResponseAccount>) -> Self {
        account.keep_complete(&left);
        account.bytes_wait();
        Self { kind: BodyKind::Complete { left, account: Some(account) }, guard: None }
    }

    pub(crate) fn streamed(chunks: ResponseReceiver, length: Option<u64>) -> Self {
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
            BodyKind::Complete { left, .. } if left.is_empty() => Poll::Ready(None),
            BodyKind::Complete { left, account } => {
                // A connection copies what it cannot write at once.
                let piece = left.split_to(left.len().min(MAX_PIECE_BYTES));
                if let Some(account) = account {
                    account.bytes_taken(piece.len(), !left.is_empty());
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            BodyKind::Streamed { ended: true, .. } => Poll::Ready(None),
            BodyKind::Streamed { chunks, ended, .. } => chunks.poll_next(cx).map(|chunk| match chunk {
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
        match &self.kind {
            BodyKind::Complete { left, .. } => left.is_empty(),
            BodyKind::Streamed { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Complete { left, .. } => SizeHint::with_exact(left.len() as u64),
            BodyKind::Streamed { length: Some(length), .. } => SizeHint::with_exact(*length),
            BodyKind::Streamed { .. } => SizeHint::default(),
        }
    }
}

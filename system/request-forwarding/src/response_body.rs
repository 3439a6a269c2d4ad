//! Bodies of answers to clients.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// What comes through the channel of a body that is passed on as it arrives.
pub(crate) enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The body is whole. A channel that closes without it is a body that broke off.
    End,
}

enum Kind {
    Whole(Option<Bytes>),
    Passed { chunks: mpsc::Receiver<BodyChunk>, length: Option<u64>, over: bool },
}

/// The body of an answer; `guard` is dropped with it.
pub(crate) struct ResponseBody {
    kind: Kind,
    guard: Option<Box<dyn std::any::Any>>,
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self { kind: Kind::Whole(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty())), guard: None }
    }

    pub(crate) fn passed(chunks: mpsc::Receiver<BodyChunk>, length: Option<u64>) -> Self {
        Self { kind: Kind::Passed { chunks, length, over: false }, guard: None }
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
            Kind::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Kind::Passed { over: true, .. } => Poll::Ready(None),
            Kind::Passed { chunks, over, .. } => chunks.poll_recv(cx).map(|piece| match piece {
                Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(BodyChunk::End) => {
                    *over = true;
                    None
                }
                None => {
                    *over = true;
                    Some(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the answer broke off")))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.kind, Kind::Whole(None) | Kind::Passed { over: true, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Kind::Passed { length: Some(length), .. } => SizeHint::with_exact(*length),
            Kind::Passed { .. } => SizeHint::default(),
        }
    }
}

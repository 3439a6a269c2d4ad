//! The way of a streamed response from the task that reads it to its client's connection. What is under way is bounded in bytes,
//! and what the client takes is recorded.

use crate::response_account::{FREE_BYTES, ResponseAccount};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::{Notify, mpsc};

/// Pieces under way at most.
const MAX_PIECES: usize = 16;
/// Length of a piece at most, in bytes.
pub(crate) const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Bytes under way at most.
const WINDOW_BYTES: usize = 2 * MAX_PIECE_BYTES;
/// Pieces up to this length, in bytes, are copied if they have to wait: they would keep the buffer that they were read into.
const COPIED_BYTES: usize = 4 * 1024;

/// Item of the channel.
pub(crate) enum BodyChunk {
    Data(Bytes),
    /// The body is complete. If the channel closes without it, the body was aborted.
    End,
}

/// The client's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientGone;

/// What is under way.
struct Window {
    account: Rc<ResponseAccount>,
    queued_bytes: Cell<usize>,
    sent_bytes: Cell<usize>,
    taken: Notify,
}

/// The end that the response is written to.
pub(crate) struct ResponseSender {
    chunks: mpsc::Sender<BodyChunk>,
    window: Rc<Window>,
}

/// The end that the client's connection reads.
pub(crate) struct ResponseReceiver {
    chunks: mpsc::Receiver<BodyChunk>,
    window: Rc<Window>,
}

/// Creates the channel of a response.
pub(crate) fn response_channel(account: Rc<ResponseAccount>) -> (ResponseSender, ResponseReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_PIECES);
    let window =
        Window { account, queued_bytes: Cell::new(0), sent_bytes: Cell::new(0), taken: Notify::new() };
    let window = Rc::new(window);
    (ResponseSender { chunks: sender, window: window.clone() }, ResponseReceiver { chunks: receiver, window })
}

impl ResponseSender {
    /// Sends bytes, once there is room for them.
    pub(crate) async fn send(&self, mut data: Bytes) -> Result<(), ClientGone> {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_PIECE_BYTES));
            tokio::select! {
                biased;
                () = self.closed() => return Err(ClientGone),
                () = self.window.admit(piece.len()) => {}
            }
            let waits = self.window.queued_bytes.get() > piece.len();
            let piece =
                if waits && piece.len() <= COPIED_BYTES { Bytes::copy_from_slice(&piece) } else { piece };
            self.chunks.send(BodyChunk::Data(piece)).await.map_err(|_| ClientGone)?;
        }
        Ok(())
    }

    /// Ends the response as complete.
    pub(crate) async fn end(&self) -> Result<(), ClientGone> {
        self.chunks.send(BodyChunk::End).await.map_err(|_| ClientGone)
    }

    /// Completes once the client's connection has ended.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl ResponseReceiver {
    /// The next item; `None` if the response was aborted.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let chunk = ready!(self.chunks.poll_recv(context));
        if let Some(BodyChunk::Data(piece)) = &chunk {
            self.window.take(piece.len());
        }
        Poll::Ready(chunk)
    }
}

impl Window {
    /// Waits for room, for the response in the memory of all and for the piece in the window, and counts the piece.
    async fn admit(&self, bytes: usize) {
        let sent_bytes = self.sent_bytes.get().saturating_add(bytes);
        if sent_bytes > FREE_BYTES {
            self.account.opened().await;
        }
        while self.queued_bytes.get() > 0 && self.queued_bytes.get() + bytes > WINDOW_BYTES {
            self.taken.notified().await;
        }
        self.sent_bytes.set(sent_bytes);
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
        self.account.bytes_wait();
    }

    fn take(&self, bytes: usize) {
        let queued_bytes = self.queued_bytes.get().saturating_sub(bytes);
        self.queued_bytes.set(queued_bytes);
        self.account.bytes_taken(bytes, queued_bytes > 0);
        self.taken.notify_one();
    }
}

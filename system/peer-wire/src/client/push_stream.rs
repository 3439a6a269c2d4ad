//! The stream of pushes of one subscription.

use crate::codec::decode;
use fleet_model::{Frame, Push};
use futures_util::StreamExt;
use std::collections::VecDeque;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// The pushes of one subscription. Dropping it closes its connection.
#[derive(Debug)]
pub struct PushStream {
    pub(super) frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Pushes received before the answer to the subscription.
    pub(super) pushes_before_answer: VecDeque<Push>,
    /// Held only to keep the connection's write direction open.
    pub(super) _writer: Option<OwnedWriteHalf>,
}

impl PushStream {
    /// The next push; `None` once the connection is closed. Cancel-safe: no push is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<Push> {
        if let Some(push) = self.pushes_before_answer.pop_front() {
            return Some(push);
        }
        match self.next_frame().await? {
            Frame::Push(push) => Some(push),
            _ => None,
        }
    }

    pub(super) async fn next_frame(&mut self) -> Option<Frame> {
        let bytes = self.frames.next().await?.ok()?;
        decode(&bytes).inspect_err(|error| log::warn!("closing a subscription: {error}")).ok()
    }
}

//! The stream of pushes of one subscription.

use crate::codec::decode;
use fleet_model::{Frame, Push};
use futures_util::StreamExt;
use std::collections::VecDeque;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// The pushes of one subscription. Dropped, it closes its connection.
#[derive(Debug)]
pub struct PushStream {
    pub(super) frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// Came before the answer.
    pub(super) pushes_before_answer: VecDeque<Push>,
    /// Dropped, it would close the connection in its direction.
    pub(super) _writer: Option<OwnedWriteHalf>,
}

impl PushStream {
    /// The next push; nothing once the connection is gone. Loses none when dropped while it waits.
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

//! Reading of frames on the server side, within a bound on the memory of large ones.

use crate::frame_memory::FrameMemory;
use crate::framing::MAX_FRAME_LEN;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, BufReader};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

/// Length of the buffer in which small frames are read together, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// A large frame that is not complete by then closes its connection, as it keeps others waiting.
const LARGE_FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// A frame, and the memory that it occupies until this is dropped.
pub(crate) struct ReceivedFrame {
    pub(crate) bytes: Vec<u8>,
    pub(crate) memory: Option<OwnedSemaphorePermit>,
}

/// Reads frames with a 32-bit big-endian length prefix.
pub(crate) struct FrameReader<R> {
    reader: BufReader<R>,
    memory: FrameMemory,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    pub(crate) fn new(reader: R, memory: FrameMemory) -> Self {
        Self { reader: BufReader::with_capacity(READ_BUFFER_BYTES, reader), memory }
    }

    /// The next frame; `None` if the connection ends before one begins.
    ///
    /// # Errors
    ///
    /// The connection failed or ended within a frame, or the frame is too long (`InvalidData`).
    pub(crate) async fn next(&mut self) -> io::Result<Option<ReceivedFrame>> {
        let length = match self.reader.read_u32().await {
            Ok(length) => length as usize,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        };
        if length > MAX_FRAME_LEN {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too long"));
        }
        let memory = self.memory.reserve(length).await;
        let mut bytes = Vec::with_capacity(length);
        let mut frame = (&mut self.reader).take(length as u64);
        let read = frame.read_to_end(&mut bytes);
        match memory {
            Some(_) => timeout(LARGE_FRAME_TIMEOUT, read).await.map_err(io::Error::from)??,
            None => read.await?,
        };
        if bytes.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(Some(ReceivedFrame { bytes, memory }))
    }
}

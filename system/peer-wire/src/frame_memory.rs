//! Memory for large frames, shared by connections.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Frames over this length, in bytes, take permits.
const LARGE_FRAME_BYTES: usize = 64 * 1024;
/// Bytes that one permit stands for.
const BYTES_PER_PERMIT: usize = 1024;

/// Memory for large frames. Clones share it.
#[derive(Clone, Debug)]
pub struct FrameMemory {
    permits: Arc<Semaphore>,
    max_permits: u32,
}

impl FrameMemory {
    /// Memory without a limit.
    pub fn unlimited() -> Self {
        Self::with_permits(Semaphore::MAX_PERMITS)
    }

    /// This many bytes of memory. A longer frame takes all of it.
    pub fn limited(bytes: usize) -> Self {
        Self::with_permits((bytes / BYTES_PER_PERMIT).clamp(1, Semaphore::MAX_PERMITS))
    }

    fn with_permits(permits: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(permits)),
            max_permits: u32::try_from(permits).unwrap_or(u32::MAX),
        }
    }

    /// Waits until there is memory for this many bytes; small ones take none.
    pub async fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        if bytes <= LARGE_FRAME_BYTES {
            return None;
        }
        let permits = u32::try_from(bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX);
        self.permits.clone().acquire_many_owned(permits.min(self.max_permits)).await.ok()
    }
}

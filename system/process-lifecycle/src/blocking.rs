//! Work that blocks, such as reading a disk, on a thread of its own. The process ends without waiting for it.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use tokio::sync::oneshot;

/// Why blocking work has no result.
#[derive(Debug, thiserror::Error)]
pub enum BlockingError {
    /// The thread could not be started.
    #[error("a thread cannot be started: {0}")]
    NotStarted(#[from] io::Error),
    /// The work panicked.
    #[error("the thread panicked")]
    Panicked,
}

/// Runs `work` on a thread with this name.
///
/// # Errors
///
/// [`BlockingError`] if the thread could not be started, or the work panicked.
pub async fn run_on_thread<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, BlockingError> {
    let (done, result) = oneshot::channel();
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        // A panic is told by the channel that closes, and logged by the hook.
        if let Ok(value) = catch_unwind(AssertUnwindSafe(work)) {
            // Nobody waits any more when the process ends.
            let _ = done.send(value);
        }
    })?;
    result.await.map_err(|_| BlockingError::Panicked)
}

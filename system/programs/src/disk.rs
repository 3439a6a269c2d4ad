//! Durable writes: a writer thread writes and syncs records, the program's single-threaded loop awaits the results.

mod journal;
#[cfg(test)]
mod tests;

pub use journal::JournalWriter;

use crate::start::StartError;
use process_lifecycle::blocking::BlockingError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::oneshot;
use turn_store::{RecordLog, Write, WriteFailed, Writer};

/// Number of submitted writes without a result. The writer thread decrements it with each result, also when the caller
/// has dropped its future.
#[derive(Clone, Default)]
struct Pending(Arc<AtomicUsize>);

impl Pending {
    fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn track(&self) -> PendingWrite {
        self.0.fetch_add(1, Ordering::AcqRel);
        PendingWrite(self.clone())
    }
}

/// One pending write; counted until it is dropped.
struct PendingWrite(Pending);

impl Drop for PendingWrite {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handle of the writer thread: submits writes whose completion can be awaited.
pub struct Durable {
    writer: Writer,
    pending: Pending,
}

impl From<BlockingError> for StartError {
    fn from(e: BlockingError) -> Self {
        StartError::Disk(e.to_string())
    }
}

impl From<turn_store::DiskError> for StartError {
    fn from(e: turn_store::DiskError) -> Self {
        StartError::Disk(e.to_string())
    }
}

/// Decodes a record. A complete record that cannot be decoded was written by another program.
///
/// # Errors
///
/// [`StartError::Disk`] if the bytes are no complete record of this type.
pub fn decode_record<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, StartError> {
    match postcard::take_from_bytes(bytes) {
        Ok((record, [])) => Ok(record),
        Ok((_, rest)) => Err(unknown_record(path, &format!("{} bytes too many", rest.len()))),
        Err(e) => Err(unknown_record(path, &e.to_string())),
    }
}

fn unknown_record(path: &Path, what: &str) -> StartError {
    StartError::Disk(format!("{}: a record that this program does not know: {what}", path.display()))
}

impl Durable {
    /// Creates a handle of a started writer.
    ///
    /// # Errors
    ///
    /// [`StartError::System`] if the writer thread could not be started.
    pub fn with_writer(writer: std::io::Result<Writer>) -> Result<Self, StartError> {
        let failed = |source| StartError::System { what: "the writer's thread".to_owned(), source };
        Ok(Self { writer: writer.map_err(failed)?, pending: Pending::default() })
    }

    /// Starts a writer over the log of a single record.
    ///
    /// # Errors
    ///
    /// [`StartError::System`] if the writer thread could not be started.
    pub fn with_log(log: RecordLog) -> Result<Self, StartError> {
        Self::with_writer(Writer::start_log(log))
    }

    /// Puts the record of a log; it is synced, with all earlier writes, when this returns `Ok`.
    ///
    /// After an error the record may be on disk or not. It is written again with the next `put` or [`Durable::flush`],
    /// whichever comes first, and nothing is reported as synced before it is.
    ///
    /// # Errors
    ///
    /// [`WriteFailed`] if the record could not be encoded, written or synced.
    pub async fn put<T: Serialize>(&self, record: &T) -> Result<(), WriteFailed> {
        let bytes = postcard::to_allocvec(record).map_err(|e| WriteFailed(e.to_string()))?;
        self.write(vec![Write::put("record", Vec::new(), bytes)]).await
    }

    /// Writes these; they are synced, with all earlier writes, when the future is ready with `Ok`. They are submitted at
    /// once, and written also if nobody waits.
    ///
    /// # Errors
    ///
    /// The future is ready with [`WriteFailed`] if a write or sync failed.
    pub fn write(&self, writes: Vec<Write>) -> impl Future<Output = Result<(), WriteFailed>> + use<> {
        let (done, waiting) = oneshot::channel();
        let pending = self.pending.track();
        let completion = move |result| {
            drop(pending);
            // The caller may have dropped its future.
            let _ = done.send(result);
        };
        self.writer.submit(writes, Box::new(completion));
        async { waiting.await.unwrap_or_else(|_| Err(WriteFailed("the writer has ended".to_owned()))) }
    }

    /// Waits until all earlier writes are synced. A record log retries what failed.
    ///
    /// # Errors
    ///
    /// [`WriteFailed`] if an earlier write is not on disk.
    pub async fn flush(&self) -> Result<(), WriteFailed> {
        if self.pending.count() == 0 && !self.writer.is_failing() {
            return Ok(());
        }
        self.write(Vec::new()).await
    }

    /// Whether the last write failed and none has succeeded since.
    pub fn is_failing(&self) -> bool {
        self.writer.is_failing()
    }

    /// Submits writes that are synced with the next batch; no completion is reported.
    pub fn write_lazily(&self, writes: Vec<Write>) {
        self.writer.submit_deferred(writes);
    }
}

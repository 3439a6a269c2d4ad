//! Durable writes to a replica's journal, whose results the program's single-threaded loop awaits.

use replicated_log::JournalWrite;
use std::cell::OnceCell;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;
use turn_store::{EntryLog, EntryWrite, WriteFailed, Writer};

/// Handle of the journal's writer thread, which starts with the first write.
pub struct JournalWriter {
    log: Arc<Mutex<EntryLog>>,
    writer: OnceCell<Writer<EntryWrite>>,
}

impl JournalWriter {
    /// Creates a handle over an opened log.
    pub fn new(log: EntryLog) -> Self {
        Self { log: Arc::new(Mutex::new(log)), writer: OnceCell::new() }
    }

    /// The writer, whose thread is started if it does not run yet.
    fn writer(&self) -> Result<&Writer<EntryWrite>, WriteFailed> {
        if self.writer.get().is_none() {
            let started = Writer::start_entry_log(self.log.clone());
            let writer = started.map_err(|e| WriteFailed(format!("the writer's thread: {e}")))?;
            // Only one thread has this handle, so that nobody else can have set it.
            let _ = self.writer.set(writer);
        }
        self.writer.get().ok_or_else(|| WriteFailed("the writer's thread".to_owned()))
    }

    /// Writes this; it is synced when the future is ready with `Ok`. It is submitted at once, and written also if nobody
    /// waits. After an error appends fail until a checkpoint is written.
    ///
    /// # Errors
    ///
    /// The future is ready with [`WriteFailed`] if it was not synced.
    pub fn write(&self, write: JournalWrite) -> impl Future<Output = Result<(), WriteFailed>> + use<> {
        let write = match write {
            JournalWrite::Append(records) => EntryWrite::Append(records),
            JournalWrite::Checkpoint(checkpoint) => EntryWrite::Restart(checkpoint),
        };
        let (done, waiting) = oneshot::channel();
        let submitted = self.writer().map(|writer| {
            // The caller may have dropped its future.
            writer.submit(vec![write], Box::new(|result| drop(done.send(result))));
        });
        async move {
            submitted?;
            waiting.await.unwrap_or_else(|_| Err(WriteFailed("the writer has ended".to_owned())))
        }
    }
}

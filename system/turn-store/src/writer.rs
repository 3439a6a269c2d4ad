//! Group commit: all pending writes go to the disk in one batch with one sync.
//!
//! A failure has different consequences. An engine is not reliable after one: its writer fails all that follows, until the
//! engine is opened again and gets another writer. The log of a record can still be used: each batch of its writer has its
//! own result, and one without a record waits until the newest record is synced. The log of entries takes no appends after a
//! failure until it is restarted with a checkpoint.

use crate::disk::{Disk, Write};
use crate::entry_log::{EntryLog, EntryWrite};
use crate::record_log::RecordLog;
use bytes::Bytes;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Longest time that deferred writes wait for a batch.
const MAX_DEFERRED_DELAY: Duration = Duration::from_millis(200);

/// A batch was not synced: its writes may or may not be on the disk. Holds the cause.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not written: {0}")]
pub struct WriteFailed(pub String);

/// Callback for the result of a request, called on the writer's thread.
pub type Completion = Box<dyn FnOnce(Result<(), WriteFailed>) + Send>;

struct Queue<W> {
    writes: Vec<W>,
    completions: Vec<Completion>,
    deferred_since: Option<Instant>,
    closing: bool,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self { writes: Vec::new(), completions: Vec::new(), deferred_since: None, closing: false }
    }
}

struct Shared<W> {
    queue: Mutex<Queue<W>>,
    wake: Condvar,
    /// Whether the last batch failed; for a log also whether its newest record is not synced.
    failing: AtomicBool,
}

impl<W> Shared<W> {
    fn lock(&self) -> MutexGuard<'_, Queue<W>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a batch's result, before it is reported to anyone. Only a change is logged, not each of many failures.
    fn record_result(&self, result: &Result<(), WriteFailed>) {
        let failed = self.failing.swap(result.is_err(), Ordering::AcqRel);
        match result {
            Err(error) if !failed => log::error!("{error}"),
            Ok(()) if failed => log::warn!("the disk takes writes again"),
            _ => {}
        }
    }
}

/// The thread that writes to a disk. When dropped it first writes what is pending.
pub struct Writer<W = Write> {
    shared: Arc<Shared<W>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread over an engine. At the first failure `failed` is called, and nothing is reported as synced after it.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        disk: Arc<Disk>,
        failed: impl FnOnce(WriteFailed) + Send + 'static,
    ) -> std::io::Result<Self> {
        let commit = move |writes: &[Write]| {
            // An engine whose own thread panicked may panic here too.
            match catch_unwind(AssertUnwindSafe(|| disk.write(writes))) {
                Ok(written) => written.map_err(|error| WriteFailed(error.to_string())),
                Err(_) => Err(WriteFailed("the storage engine broke off".to_owned())),
            }
        };
        Self::start_engine(commit, failed)
    }

    /// Like [`Writer::start`], over any function that writes and syncs a batch.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start_engine(
        mut commit: impl FnMut(&[Write]) -> Result<(), WriteFailed> + Send + 'static,
        failed: impl FnOnce(WriteFailed) + Send + 'static,
    ) -> std::io::Result<Self> {
        let mut failed = Some(failed);
        let mut result = Ok(());
        let latched = move |writes: &[Write]| {
            // A later request may wait for the write that failed.
            if result.is_ok() {
                result = commit(writes);
            }
            if let Err(error) = &result
                && let Some(failed) = failed.take()
            {
                failed(error.clone());
            }
            result.clone()
        };
        Self::spawn(latched, false)
    }

    /// Starts the thread over the log of a record: of all pending writes the last one counts.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start_log(mut log: RecordLog) -> std::io::Result<Self> {
        let has_unsynced_record = log.has_unsynced_record();
        let commit = move |writes: &[Write]| {
            let record: Option<&Bytes> = writes.iter().rev().find_map(|write| write.value.as_ref());
            let synced = match record {
                Some(record) => log.put(record),
                None => log.sync_newest(),
            };
            synced.map_err(|error| WriteFailed(error.to_string()))
        };
        Self::spawn(commit, has_unsynced_record)
    }
}

impl Writer<EntryWrite> {
    /// Starts the thread over a log of entries. A failed batch may be on disk or not; the log then takes no appends until
    /// it is restarted.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start_entry_log(log: Arc<Mutex<EntryLog>>) -> std::io::Result<Self> {
        let commit = move |writes: &[EntryWrite]| {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.commit(writes).map_err(|error| WriteFailed(error.to_string()))
        };
        Self::spawn(commit, false)
    }
}

impl<W: Send + 'static> Writer<W> {
    fn spawn(
        mut commit: impl FnMut(&[W]) -> Result<(), WriteFailed> + Send + 'static,
        failing: bool,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            queue: Mutex::default(),
            wake: Condvar::new(),
            failing: AtomicBool::new(failing),
        });
        let thread_shared = Arc::clone(&shared);
        let run = move || {
            while let Some((writes, completions)) = next_batch(&thread_shared) {
                let result = commit(&writes);
                thread_shared.record_result(&result);
                for completion in completions {
                    completion(result.clone());
                }
            }
        };
        let thread = std::thread::Builder::new().name("writer".into()).stack_size(512 << 10).spawn(run)?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Whether the last batch was not synced. When it changes to `false`, all that was submitted before is synced.
    pub fn is_failing(&self) -> bool {
        self.shared.failing.load(Ordering::Acquire)
    }

    /// Submits writes; `done` is called when they and all earlier ones are synced. Without writes it waits for the earlier
    /// ones only.
    pub fn submit(&self, writes: Vec<W>, done: Completion) {
        let mut queue = self.shared.lock();
        queue.writes.extend(writes);
        queue.completions.push(done);
        drop(queue);
        self.shared.wake.notify_one();
    }

    /// Submits writes that nobody waits for: they go with the next batch, after 200 ms at the latest.
    pub fn submit_deferred(&self, writes: Vec<W>) {
        if writes.is_empty() {
            return;
        }
        let mut queue = self.shared.lock();
        queue.writes.extend(writes);
        queue.deferred_since.get_or_insert_with(Instant::now);
        drop(queue);
        self.shared.wake.notify_one();
    }
}

impl<W> Drop for Writer<W> {
    fn drop(&mut self) {
        self.shared.lock().closing = true;
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.thread().id() != std::thread::current().id()
        {
            let _ = thread.join();
        }
    }
}

fn next_batch<W>(shared: &Shared<W>) -> Option<(Vec<W>, Vec<Completion>)> {
    let mut queue = shared.lock();
    loop {
        let remaining = queue.deferred_since.map(|since| MAX_DEFERRED_DELAY.saturating_sub(since.elapsed()));
        if !queue.completions.is_empty()
            || remaining == Some(Duration::ZERO)
            || (queue.closing && remaining.is_some())
        {
            queue.deferred_since = None;
            return Some((std::mem::take(&mut queue.writes), std::mem::take(&mut queue.completions)));
        }
        if queue.closing {
            return None;
        }
        queue = match remaining {
            Some(remaining) => {
                shared.wake.wait_timeout(queue, remaining).unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared.wake.wait(queue).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

//! Group commit: all that waits goes to the disk in one batch with one sync.
//!
//! What a failure means differs. An engine is not to be trusted after one: its writer fails all that follows, until the
//! engine is opened again and gets another writer. The log of a record can be used further: each batch of its writer tells
//! for itself whether it was synced, and one without a record waits until the newest record is.

use crate::disk::{Disk, Write};
use crate::record_log::RecordLog;
use bytes::Bytes;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

const LAZY: Duration = Duration::from_millis(200);

/// A batch was not synced: what it was to write may be on the disk or not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not written: {0}")]
pub struct WriteFailed(pub String);

/// What is called when a request is synced, or could not be; on the writer's thread.
pub type Completion = Box<dyn FnOnce(Result<(), WriteFailed>) + Send>;

#[derive(Default)]
struct Queue {
    writes: Vec<Write>,
    completions: Vec<Completion>,
    lazy_since: Option<Instant>,
    closing: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    /// Whether the last batch failed; for a log also whether its newest record is not synced.
    failing: AtomicBool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of a batch's result, before anybody is told; a change goes to the log, not each of many failures.
    fn note(&self, result: &Result<(), WriteFailed>) {
        let failed = self.failing.swap(result.is_err(), Ordering::AcqRel);
        match result {
            Err(error) if !failed => log::error!("{error}"),
            Ok(()) if failed => log::warn!("the disk takes writes again"),
            _ => {}
        }
    }
}

/// The thread that writes to a disk. When dropped it first writes what waits.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Start the thread over an engine. After the first failure `failed` is called, and nothing is told synced any more.
    pub fn start(
        disk: Arc<Disk>,
        failed: impl FnOnce(WriteFailed) + Send + 'static,
    ) -> std::io::Result<Self> {
        let commit = move |writes: &[Write]| {
            // An engine whose own thread broke off may break off here too.
            match catch_unwind(AssertUnwindSafe(|| disk.write(writes))) {
                Ok(written) => written.map_err(|error| WriteFailed(error.to_string())),
                Err(_) => Err(WriteFailed("the storage engine broke off".to_owned())),
            }
        };
        Self::start_engine(commit, failed)
    }

    /// As [`Writer::start`], over any function that writes and syncs a batch.
    pub fn start_engine(
        mut commit: impl FnMut(&[Write]) -> Result<(), WriteFailed> + Send + 'static,
        failed: impl FnOnce(WriteFailed) + Send + 'static,
    ) -> std::io::Result<Self> {
        let mut failed = Some(failed);
        let mut result = Ok(());
        let latched = move |writes: &[Write]| {
            // What failed may be what a later request waits for.
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
        Self::over(latched, false)
    }

    /// Start the thread over the log of a record: of all writes that wait, the last one counts.
    pub fn start_log(mut log: RecordLog) -> std::io::Result<Self> {
        let behind = log.is_behind();
        let commit = move |writes: &[Write]| {
            let record: Option<&Bytes> = writes.iter().rev().find_map(|write| write.value.as_ref());
            let synced = match record {
                Some(record) => log.put(record),
                None => log.settle(),
            };
            synced.map_err(|error| WriteFailed(error.to_string()))
        };
        Self::over(commit, behind)
    }

    fn over(
        mut commit: impl FnMut(&[Write]) -> Result<(), WriteFailed> + Send + 'static,
        failing: bool,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared { failing: AtomicBool::new(failing), ..Shared::default() });
        let theirs = Arc::clone(&shared);
        let run = move || {
            while let Some((writes, completions)) = next_batch(&theirs) {
                let result = commit(&writes);
                theirs.note(&result);
                for completion in completions {
                    completion(result.clone());
                }
            }
        };
        let thread = std::thread::Builder::new().name("writer".into()).stack_size(512 << 10).spawn(run)?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Whether the last batch was not synced. After `true` turns `false` all that was submitted before it is synced.
    pub fn is_failing(&self) -> bool {
        self.shared.failing.load(Ordering::Acquire)
    }

    /// Have these written, and `done` called when they and all earlier ones are synced. Without writes it waits for the
    /// earlier ones alone.
    pub fn submit(&self, writes: Vec<Write>, done: Completion) {
        let mut queue = self.shared.lock();
        queue.writes.extend(writes);
        queue.completions.push(done);
        drop(queue);
        self.shared.wake.notify_one();
    }

    /// Have these written with the next batch, or after 200 ms.
    pub fn submit_lazy(&self, writes: Vec<Write>) {
        if writes.is_empty() {
            return;
        }
        let mut queue = self.shared.lock();
        queue.writes.extend(writes);
        queue.lazy_since.get_or_insert_with(Instant::now);
        drop(queue);
        self.shared.wake.notify_one();
    }
}

impl Drop for Writer {
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

fn next_batch(shared: &Shared) -> Option<(Vec<Write>, Vec<Completion>)> {
    let mut queue = shared.lock();
    loop {
        let left = queue.lazy_since.map(|since| LAZY.saturating_sub(since.elapsed()));
        if !queue.completions.is_empty() || left == Some(Duration::ZERO) || (queue.closing && left.is_some())
        {
            queue.lazy_since = None;
            return Some((std::mem::take(&mut queue.writes), std::mem::take(&mut queue.completions)));
        }
        if queue.closing {
            return None;
        }
        queue = match left {
            Some(left) => shared.wake.wait_timeout(queue, left).unwrap_or_else(PoisonError::into_inner).0,
            None => shared.wake.wait(queue).unwrap_or_else(PoisonError::into_inner),
        };
    }
}

//! Group commit: all that waits goes to the disk in one batch with one sync.

use crate::disk::{Disk, Write};
use crate::record_log::RecordLog;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

const LAZY: Duration = Duration::from_millis(200);

/// A batch was not written; the disk is not to be trusted any more.
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
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The thread that writes to a disk. When dropped it first writes what waits.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Start the thread.
    pub fn start(disk: Arc<Disk>) -> std::io::Result<Self> {
        Self::over(move |writes| disk.write(writes).map_err(|error| WriteFailed(error.to_string())))
    }

    /// Start the thread over the log of a record: of all writes that wait, the last one counts.
    pub fn start_log(mut log: RecordLog) -> std::io::Result<Self> {
        Self::over(move |writes| {
            let record = writes.iter().rev().find_map(|write| write.value.as_ref());
            let put = record.map_or(Ok(()), |record| log.put(record));
            put.map_err(|error| WriteFailed(error.to_string()))
        })
    }

    fn over(
        mut commit: impl FnMut(&[Write]) -> Result<(), WriteFailed> + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let theirs = Arc::clone(&shared);
        let run = move || {
            // Nothing is told synced after a failure: what failed may be what a later request waits for.
            let mut result = Ok(());
            while let Some((writes, completions)) = next_batch(&theirs) {
                if result.is_ok() {
                    result = commit(&writes);
                    if let Err(error) = &result {
                        log::error!("{error}");
                    }
                }
                for completion in completions {
                    completion(result.clone());
                }
            }
        };
        let thread = std::thread::Builder::new().name("writer".into()).stack_size(512 << 10).spawn(run)?;
        Ok(Self { shared, thread: Some(thread) })
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

//! What a process waits for: each wait is logged when it begins, now and then while it lasts, and when it ends, and is told
//! by metrics.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Between two lines of the log about the same wait.
const REMINDER_INTERVAL: Duration = Duration::from_secs(30);
/// Work that takes longer counts as a wait.
const SLOW_WORK_THRESHOLD: Duration = Duration::from_secs(1);
/// The error of a wait for work that has neither succeeded nor failed.
const NO_RESULT_YET: &str = "no result yet";

/// The waits of a process. Bound to one thread.
#[derive(Debug, Default)]
pub struct Waits {
    current: RefCell<BTreeMap<u64, Instant>>,
    begun: Cell<u64>,
}

impl Waits {
    /// Number of things that the process waits for now.
    pub fn current(&self) -> usize {
        self.current.borrow().len()
    }

    /// Number of waits since the start.
    pub fn begun(&self) -> u64 {
        self.begun.get()
    }

    /// How long the longest of the current waits has lasted.
    pub fn longest(&self) -> Duration {
        self.current.borrow().values().map(Instant::elapsed).max().unwrap_or_default()
    }

    /// Begins a wait for something that could not be had because of `error`.
    pub fn begin(self: &Rc<Self>, what: impl Into<String>, error: &impl Display) -> Wait {
        let id = self.begun.get();
        self.begun.set(id + 1);
        let now = Instant::now();
        self.current.borrow_mut().insert(id, now);
        let what = what.into();
        log::warn!("waiting: for={what} error={error}");
        Wait { waits: self.clone(), id, what, began: now, last_logged: Cell::new(now) }
    }

    /// Attempts something until it succeeds, with a pause after each failure.
    pub async fn retry<T, E: Display>(
        self: &Rc<Self>,
        what: &str,
        interval: Duration,
        mut attempt: impl AsyncFnMut() -> Result<T, E>,
    ) -> T {
        let mut wait: Option<Wait> = None;
        loop {
            let result = match &wait {
                None => self.observe(what, attempt()).await,
                Some(_) => attempt().await,
            };
            match result {
                Ok(value) => return value,
                Err(error) => wait.get_or_insert_with(|| self.begin(what, &error)).remind(&error),
            }
            sleep(interval).await;
        }
    }

    /// Awaits work that neither fails nor has a time limit, such as a write to a disk that may stall. It counts as a wait
    /// once it has taken a second.
    pub async fn observe<T>(self: &Rc<Self>, what: &str, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        if let Ok(result) = timeout(SLOW_WORK_THRESHOLD, work.as_mut()).await {
            return result;
        }
        let wait = self.begin(what, &NO_RESULT_YET);
        loop {
            match timeout(REMINDER_INTERVAL, work.as_mut()).await {
                Ok(result) => return result,
                Err(_) => wait.remind(&NO_RESULT_YET),
            }
        }
    }
}

/// A wait, which ends when this is dropped.
#[derive(Debug)]
pub struct Wait {
    waits: Rc<Waits>,
    id: u64,
    what: String,
    began: Instant,
    last_logged: Cell<Instant>,
}

impl Wait {
    /// Logs that the wait goes on because of `error`, if it was not logged lately.
    pub fn remind(&self, error: &impl Display) {
        if self.last_logged.get().elapsed() >= REMINDER_INTERVAL {
            self.last_logged.set(Instant::now());
            let seconds = self.began.elapsed().as_secs();
            log::warn!("still waiting: for={} after={seconds} s error={error}", self.what);
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.waits.current.borrow_mut().remove(&self.id);
        log::info!("no longer waiting: for={} after={} ms", self.what, self.began.elapsed().as_millis());
    }
}

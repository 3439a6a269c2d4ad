//! A replica that recovers from disk failures.
//!
//! After the first failed write or sync the replica refuses what would have to be synced and serves what needs no write.
//! The disk is probed until it takes a write. Then the engine is dropped and opened again, and the state is built anew from
//! what the disk holds, as at a start of the process: nothing in memory outlives the failure.

use super::replica::{DataDirectory, Machine, Progress, Replica};
use crate::start::StartError;
use fleet_model::{Answer, Call, Roster};
use process_lifecycle::blocking::{BlockingError, run_on_thread};
use process_lifecycle::waits::{Wait, Waits};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::sleep;
use turn_store::{DiskError, Write, WriteFailed};

#[cfg(test)]
mod tests;

/// Between a failure and the first probe.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(250);
/// Between two probes, at most.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(2);
/// An engine that failed sooner after its opening was opened too early: the pause goes on growing.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// What a storage node waits for while its disk stalls or refuses.
const DIRECTORY_WAIT: &str = "the data directory";

/// Pauses between probes: each is twice the one before.
#[derive(Debug)]
struct Backoff {
    first: Duration,
    next: Duration,
}

impl Backoff {
    fn from(first: Duration) -> Self {
        Self { first, next: first }
    }

    fn take(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_PROBE_BACKOFF);
        delay
    }

    fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Milliseconds of the process's own clock.
pub(super) type Clock = Box<dyn Fn() -> u64>;

/// The replica of a storage machine, whatever its disk does.
pub(super) struct RecoveringReplica {
    directory: Arc<dyn DataDirectory>,
    machine: Machine,
    now_ms: Clock,
    /// `None` while the directory cannot be opened.
    current: RefCell<Option<Replica>>,
    /// Counts replicas that were built; what was begun with one is not ended with another.
    generation: Cell<u64>,
    roster: RefCell<Roster>,
    /// The longest retention in force, in milliseconds.
    account_retention_ms: Cell<u64>,
    /// The wait for a disk that refuses.
    refusing: RefCell<Option<Wait>>,
    waits: Rc<Waits>,
    refusals: Cell<u64>,
    failures: mpsc::UnboundedSender<WriteFailed>,
}

/// Tells of failures of the replica's engine.
pub(super) type Failures = mpsc::UnboundedReceiver<WriteFailed>;

impl RecoveringReplica {
    /// One that has not opened its directory.
    pub(super) fn new(
        directory: Arc<dyn DataDirectory>,
        machine: Machine,
        now_ms: Clock,
        waits: Rc<Waits>,
    ) -> (Rc<Self>, Failures) {
        let (failures, told) = mpsc::unbounded_channel();
        let replica = Self {
            directory,
            machine,
            now_ms,
            current: RefCell::default(),
            generation: Cell::new(0),
            roster: RefCell::default(),
            account_retention_ms: Cell::new(0),
            refusing: RefCell::default(),
            waits,
            refusals: Cell::new(0),
            failures,
        };
        (Rc::new(replica), told)
    }

    /// Opens the directory for the first time. An error is left to [`RecoveringReplica::supervise`].
    pub(super) async fn start(&self) {
        if let Err(error) = self.waits.observe(DIRECTORY_WAIT, self.reopen()).await {
            self.mark_refusing(&error.to_string());
        }
    }

    /// Opens the directory again whenever its engine has failed, once the disk takes writes.
    pub(super) async fn supervise(self: Rc<Self>, failures: Failures) {
        self.supervise_with(failures, MIN_PROBE_BACKOFF).await;
    }

    async fn supervise_with(self: Rc<Self>, mut failures: Failures, min_backoff: Duration) {
        let mut backoff = Backoff::from(min_backoff);
        let mut told = None;
        loop {
            if self.refusing.borrow().is_none() {
                let opened = Instant::now();
                let Some(failure) = failures.recv().await else { return };
                self.mark_refusing(&failure.0);
                if opened.elapsed() > STABLE_AFTER {
                    backoff.reset();
                }
            }
            sleep(backoff.take()).await;
            match self.recover().await {
                Ok(()) => told = None,
                Err(error) => {
                    // The same reason is told once, however often it is met.
                    let reason = Some(error.to_string());
                    if told != reason {
                        log::warn!("disk still refuses writes: error={error}");
                    }
                    told = reason;
                }
            }
        }
    }

    async fn recover(&self) -> Result<(), OpenError> {
        let directory = self.directory.clone();
        blocking(move || directory.probe()).await?;
        self.reopen().await?;
        log::warn!("disk accepts writes again, replica reloaded");
        self.refusing.take();
        Ok(())
    }

    fn mark_refusing(&self, why: &str) {
        log::error!("disk refuses writes, durable requests are rejected: error={why}");
        self.refusing.replace(Some(self.waits.begin(DIRECTORY_WAIT, &why)));
        self.refusals.set(self.refusals.get() + 1);
    }

    /// Drops the engine, if there is one, and builds a replica from what the directory holds. Its calls get `Unready` so long.
    async fn reopen(&self) -> Result<(), OpenError> {
        let former = self.current.take();
        let (directory, failures) = (self.directory.clone(), self.failures.clone());
        let on_failure = Box::new(move |failure| {
            // Nobody listens any more when the process ends.
            let _ = failures.send(failure);
        });
        let opened = blocking(move || {
            drop(former);
            directory.open(on_failure)
        });
        let mut replica = Replica::new((self.now_ms)(), &self.machine, opened.await?)?;
        replica.set_roster(&self.roster.borrow());
        replica.set_account_retention(self.account_retention_ms.get());
        self.generation.set(self.generation.get() + 1);
        *self.current.borrow_mut() = Some(replica);
        Ok(())
    }

    /// Answers a call. What has to be synced for that is synced when the answer is there.
    pub(super) async fn answer(&self, call: &Call) -> Answer {
        let now_ms = (self.now_ms)();
        let Some(progress) = self.with(|replica| replica.handle(now_ms, call)) else {
            return Answer::NotReady;
        };
        match progress {
            Progress::Done(answer) => answer,
            Progress::Syncing(answer, synced) => match synced.await {
                Ok(()) => answer,
                Err(_) => Answer::NotReady,
            },
        }
    }

    /// Goes by a newer roster.
    pub(super) fn set_roster(&self, roster: &Roster) {
        if roster.epoch > self.roster.borrow().epoch {
            roster.clone_into(&mut self.roster.borrow_mut());
        }
        self.with(|replica| replica.set_roster(roster));
    }

    /// Retains accounts for the longest retention in force.
    pub(super) fn set_account_retention(&self, retention_ms: u64) {
        self.account_retention_ms.set(retention_ms);
        self.with(|replica| replica.set_account_retention(retention_ms));
    }

    /// Drops what has expired.
    pub(super) fn expire(&self) {
        let now_ms = (self.now_ms)();
        self.with(|replica| replica.expire(now_ms));
    }

    /// Writes these to the replica of this generation, and waits until they and all earlier writes are synced.
    pub(super) async fn write(&self, generation: u64, writes: Vec<Write>) -> Result<(), WriteFailed> {
        let replaced = || WriteFailed("the disk was opened anew meanwhile".to_owned());
        let synced = self.with_generation(generation, |replica| replica.write(writes));
        synced.ok_or_else(replaced)?.await
    }

    /// Lets `act` do with the replica; `None` if the directory is not open.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        self.current.borrow_mut().as_mut().map(act)
    }

    /// As [`RecoveringReplica::with`]; `None` also if the replica was built anew since.
    pub(super) fn with_generation<T>(
        &self,
        generation: u64,
        act: impl FnOnce(&mut Replica) -> T,
    ) -> Option<T> {
        if self.generation.get() == generation { self.with(act) } else { None }
    }

    /// Number of the replica that was built last.
    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Length in bytes of the chain that ends with this turn, as far as it is stored here.
    pub(super) fn chain_bytes(&self, attempt: &str) -> usize {
        self.with(|replica| replica.state.chain_bytes(attempt)).unwrap_or(0)
    }

    /// Whether what would have to be synced is refused.
    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.borrow().is_some() || self.with(|replica| replica.has_failed()).unwrap_or(true)
    }

    /// How often the disk began to refuse.
    pub(super) fn refusals(&self) -> u64 {
        self.refusals.get()
    }
}

/// Why a directory was not opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error("{0}")]
    Disk(#[from] DiskError),
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("{0}")]
    Thread(#[from] BlockingError),
}

async fn blocking<T: Send + 'static>(
    act: impl FnOnce() -> Result<T, DiskError> + Send + 'static,
) -> Result<T, OpenError> {
    Ok(run_on_thread("disk", act).await??)
}

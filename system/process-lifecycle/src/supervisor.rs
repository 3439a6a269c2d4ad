//! Runs the parts of a process, and starts all of them again when one fails.
//!
//! **Problem.** A part that panics, or that cannot be started, leaves a process that lives and does not do its work. **Behavior.**
//! The parts run as tasks of one thread. If one fails, the tasks of all are dropped, with their sockets and files, and the
//! body of the program runs again after a pause: what is kept is what is on disk, as after a crash, which every part has to
//! survive anyway. The pause doubles with each failure and is short again once a run was stable. **When not to use it.** Tasks that serve
//! a single connection or request: their failure concerns their client only.

use crate::panics;
use crate::signals::SignalRequests;
use futures_util::FutureExt;
use std::cell::Cell;
use std::fmt::Display;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Pause after the first failure.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// A run that has lasted for this long was stable.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// Why a run has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Failure {
    part: &'static str,
    reason: String,
}

/// How far one run of a program's body has come.
#[derive(Debug, Default)]
struct Progress {
    /// It has all that it needs, and ends in order.
    is_started: Cell<bool>,
    /// Another process does the program's work: this run is the last one of this process.
    is_superseded: Cell<bool>,
}

/// Reports the failure of a part that runs on a thread of its own.
#[derive(Clone, Debug)]
pub struct FailureReporter {
    failures: mpsc::UnboundedSender<Failure>,
    part: &'static str,
}

impl FailureReporter {
    /// Reports that the part has failed.
    pub fn report(&self, reason: impl Into<String>) {
        // Nobody listens any more when the run has ended.
        let _ = self.failures.send(Failure { part: self.part, reason: reason.into() });
    }
}

/// The parts of one run of a program's body.
#[derive(Clone, Debug)]
pub struct Parts {
    failures: mpsc::UnboundedSender<Failure>,
    progress: Rc<Progress>,
}

impl Parts {
    /// Parts whose failures nobody handles, for tests of a single part.
    pub fn unsupervised() -> Self {
        Self { failures: mpsc::unbounded_channel().0, progress: Rc::default() }
    }

    /// Spawns a part that works for as long as the process: it fails if it panics or returns.
    pub fn spawn(&self, part: &'static str, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        let reporter = self.reporter(part);
        let watched = async move {
            match AssertUnwindSafe(work).catch_unwind().await {
                Ok(()) => reporter.report("it returned"),
                Err(payload) => reporter.report(panics::message(&*payload)),
            }
        };
        spawn_local(watched).abort_handle()
    }

    /// Spawns a task that may return: it fails if it panics.
    pub fn spawn_task(&self, part: &'static str, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        let reporter = self.reporter(part);
        spawn_local(report_panic(reporter, work)).abort_handle()
    }

    /// The same for a task of the runtime. It is not dropped with the run: it ends when what it works for does.
    pub fn spawn_send_task(
        &self,
        part: &'static str,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        tokio::spawn(report_panic(self.reporter(part), work))
    }

    /// A reporter of the failure of this part.
    pub fn reporter(&self, part: &'static str) -> FailureReporter {
        FailureReporter { failures: self.failures.clone(), part }
    }

    /// Notes that the body has all that it needs. Until then a request to end the process drops the body at once; from then
    /// on the body ends by itself.
    pub fn set_started(&self) {
        self.progress.is_started.set(true);
    }

    /// Notes that another process does the program's work from now on: a failure is no reason to start the body again.
    pub fn set_superseded(&self) {
        self.progress.is_superseded.set(true);
    }
}

async fn report_panic(reporter: FailureReporter, work: impl Future<Output = ()>) {
    if let Err(payload) = AssertUnwindSafe(work).catch_unwind().await {
        reporter.report(panics::message(&*payload));
    }
}

/// Counts of a process's restarts within the process.
#[derive(Debug, Default)]
pub struct Restarts(Cell<u64>);

impl Restarts {
    /// Number of restarts since the start of the process.
    pub fn count(&self) -> u64 {
        self.0.get()
    }
}

/// Runs `body` until it returns after a shutdown was requested, and again whenever it or one of its parts has failed.
pub async fn supervise<E: Display, F: Future<Output = Result<(), E>>>(
    requests: &SignalRequests,
    restarts: &Restarts,
    mut body: impl FnMut(Parts) -> F,
) {
    let mut delay = MIN_RESTART_DELAY;
    loop {
        let began = Instant::now();
        let Some(failure) = run_once(requests, &mut body).await else { return };
        restarts.0.set(restarts.0.get() + 1);
        if began.elapsed() >= STABLE_AFTER {
            delay = MIN_RESTART_DELAY;
        }
        log::error!(
            "part failed, restarting: part={} error={} delay={delay:?}",
            failure.part,
            failure.reason
        );
        tokio::select! {
            () = sleep(delay) => {}
            () = requests.shutdown_requested() => return,
        }
        delay = (delay * 2).min(MAX_RESTART_DELAY);
    }
}

/// Runs `body` until it ends or fails; `None` if it has ended.
async fn run_once<E: Display, F: Future<Output = Result<(), E>>>(
    requests: &SignalRequests,
    body: &mut impl FnMut(Parts) -> F,
) -> Option<Failure> {
    let (failure_sender, mut failures) = mpsc::unbounded_channel();
    let parts = Parts { failures: failure_sender.clone(), progress: Rc::default() };
    let progress = parts.progress.clone();
    let tasks = LocalSet::new();
    let mut run = pin!(tasks.run_until(AssertUnwindSafe(body(parts)).catch_unwind()));
    let failure = loop {
        tokio::select! {
            biased;
            outcome = &mut run => break match outcome {
                Ok(Ok(())) => return None,
                Ok(Err(error)) => Failure { part: "start", reason: error.to_string() },
                Err(payload) => Failure { part: "body", reason: panics::message(&*payload) },
            },
            () = shutdown_before_start(requests, &progress) => return None,
            // Parts end one after the other in a shutdown, which the body sees to its end.
            failure = failures.recv() => match failure {
                Some(failure) if !*requests.shutdown.borrow() => break failure,
                _ => {}
            },
        }
    };
    if progress.is_superseded.get() {
        log::error!(
            "part failed, ending as another process has taken over: part={} error={}",
            failure.part,
            failure.reason
        );
        return None;
    }
    Some(failure)
}

/// Completes when a shutdown is requested before the body has started; never once it has.
async fn shutdown_before_start(requests: &SignalRequests, progress: &Progress) {
    requests.shutdown_requested().await;
    if progress.is_started.get() {
        std::future::pending::<()>().await;
    }
}

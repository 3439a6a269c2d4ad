//! The host of a process: what its incarnation sees of its machine and of the cluster.

use super::{Cluster, Pushes};
use crate::system::Mutation;
use crate::system::disk::Disk;
use crate::system::executor::{Executor, ProcessId};
use crate::system::history::Fact;
use crate::system::schedule::{Class, Machine};
use fleet_model::{Answer, Call};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// One incarnation of a process, with access to its machine.
#[derive(Clone)]
pub struct Host {
    pub(super) cluster: Weak<Cluster>,
    pub(super) executor: Executor,
    /// Index of the process.
    pub node: usize,
    /// Role of the process.
    pub class: Class,
    /// Number of this start of the process, from 1.
    pub incarnation: u64,
    pub(super) process: ProcessId,
    pub(super) rng: Rc<RefCell<ChaCha8Rng>>,
    pub(super) disk: Rc<Disk>,
    /// Its machine.
    pub machine: Rc<Machine>,
}

impl Host {
    /// The cluster, while it exists.
    pub fn cluster(&self) -> Option<Rc<Cluster>> {
        self.cluster.upgrade()
    }

    /// Virtual time.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.executor.now())
    }

    /// Virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.executor.now() / 1_000
    }

    /// A random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.borrow_mut().next_u64()
    }

    /// A random number from `from` to `to`, both included.
    pub fn random_between(&self, from: u64, to: u64) -> u64 {
        from + self.random_u64() % (to - from + 1)
    }

    /// Machines that may be lost at once.
    pub fn tolerance(&self) -> usize {
        self.cluster().map_or(0, |cluster| cluster.tolerance)
    }

    /// Whether this mutation is active.
    pub fn breaks(&self, mutation: Mutation) -> bool {
        self.cluster().is_some_and(|cluster| cluster.breaks(mutation))
    }

    /// Whether writes are synced before they are acknowledged.
    pub fn syncs(&self) -> bool {
        !self.breaks(Mutation::NoSync)
    }

    /// Its disk.
    pub fn disk(&self) -> &Rc<Disk> {
        &self.disk
    }

    /// Appends an event to the history.
    pub fn record(&self, fact: Fact) {
        if let Some(cluster) = self.cluster() {
            cluster.record(fact);
        }
    }

    /// Sleeps for `for_ms` milliseconds.
    pub async fn sleep(&self, for_ms: u64) {
        self.executor.sleep(for_ms * 1_000).await;
    }

    /// Sleeps for `for_us` microseconds.
    pub async fn sleep_us(&self, for_us: u64) {
        self.executor.sleep(for_us).await;
    }

    /// The output of `work`, or none after `for_ms` milliseconds.
    pub async fn timeout<F: Future>(&self, for_ms: u64, work: F) -> Option<F::Output> {
        self.executor.timeout(for_ms * 1_000, work).await
    }

    /// Spawns a task that ends with this incarnation.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) -> u64 {
        self.executor.spawn(self.process, work)
    }

    /// Ends a task.
    pub fn abort(&self, task: u64) {
        self.executor.abort(task);
    }

    /// Calls the process of another machine; none on a time-out or failure.
    pub async fn call(&self, to: Ipv4Addr, call: Call, timeout_ms: u64) -> Option<Answer> {
        let answer = self.cluster()?.call(self, to, call, None);
        self.timeout(timeout_ms, answer).await?.ok()
    }

    /// Opens a link of the feed.
    pub async fn subscribe(&self, to: Ipv4Addr, call: Call, timeout_ms: u64) -> Option<(Answer, Pushes)> {
        let (link, answer) = {
            let cluster = self.cluster()?;
            let (link, pushes) = cluster.open_link(self);
            let answer = cluster.call(self, to, call, Some(link));
            (Pushes { cluster: self.cluster.clone(), link, pushes }, answer)
        };
        let answer = self.timeout(timeout_ms, answer).await?.ok()?;
        Some((answer, link))
    }
}

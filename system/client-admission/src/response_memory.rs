//! The part of a response in the memory that the bodies of a process share.

use crate::body_budget::{BodyBudget, BudgetExceeded, Shared};
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The service whose endpoint sends a response. No service may occupy more than half of the budget with responses, and what it
/// holds back may not take it above three eighths, so that answers of other services find room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceKey(pub u64);

/// What a response occupies, until this is dropped. Clones are not possible: the parties of a response share it by reference
/// count.
///
/// A response whose client takes nothing for a second gives way to others once the budget is used up, and so does one that has
/// passed much already. It then occupies nothing more, and whoever holds `evicted` closes its client's connection.
#[derive(Debug)]
pub struct ResponseMemory {
    shared: Arc<Shared>,
    id: u64,
}

/// A response in the budget.
#[derive(Debug)]
pub(crate) struct ResponseUsage {
    pub(crate) service: ServiceKey,
    pub(crate) started_at: Instant,
    pub(crate) charged_bytes: usize,
    /// Bytes that the client has taken.
    pub(crate) passed_bytes: u64,
    /// Since when bytes wait for the client; `None` while none do.
    pub(crate) waiting_since: Option<Instant>,
    pub(crate) evicted: Arc<Notify>,
}

impl BodyBudget {
    /// Begins a response of a service that occupies `bytes`; `evicted` is notified if it has to give way.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if there is no room for it.
    pub fn begin_response(
        &self,
        service: ServiceKey,
        bytes: usize,
        evicted: Arc<Notify>,
    ) -> Result<ResponseMemory, BudgetExceeded> {
        let id = self.shared.begin_response(service, bytes, evicted)?;
        Ok(ResponseMemory { shared: self.shared.clone(), id })
    }
}

impl ResponseMemory {
    /// Occupies more bytes.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if there is no room for them, or the response was evicted.
    pub fn grow(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.shared.grow_response(self.id, bytes)
    }

    /// Gives bytes back.
    pub fn shrink(&self, bytes: usize) {
        self.shared.shrink_response(self.id, bytes);
    }

    /// Records that bytes wait for the client from now on, unless some do already.
    pub fn bytes_wait(&self) {
        self.shared.update_response(self.id, |usage| {
            usage.waiting_since.get_or_insert_with(Instant::now);
        });
    }

    /// Records that the client has taken bytes, and whether more wait for it.
    pub fn bytes_taken(&self, bytes: usize, more_wait: bool) {
        self.shared.update_response(self.id, |usage| {
            usage.passed_bytes += bytes as u64;
            usage.waiting_since = more_wait.then(Instant::now);
        });
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.shared.end_response(self.id);
    }
}

//! What the response to one request occupies of the memory for bodies: nothing while it is short, then what its connection
//! occupies, and what is held back of it.

use bytes::Bytes;
use client_admission::{BodyBudget, BudgetExceeded, ConnectionSlot, ResponseMemory, ServiceKey};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Bytes of a response that occupy nothing: a client's connection has room for them.
pub(crate) const FREE_BYTES: usize = 16 * 1024;
/// What a longer response occupies beside the bytes held back: what its endpoint's connection has received, the buffer that it
/// is read into, and the pieces on their way to the client.
const CONNECTION_BYTES: usize = 96 * 1024;
/// Interval of attempts to get memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The account of one response.
pub(crate) struct ResponseAccount {
    budget: BodyBudget,
    service: ServiceKey,
    slot: Rc<ConnectionSlot>,
    memory: RefCell<Option<ResponseMemory>>,
    held_bytes: Cell<usize>,
}

impl ResponseAccount {
    /// The connection of `slot` closes if the response has to give way.
    pub(crate) fn new(budget: BodyBudget, service: ServiceKey, slot: Rc<ConnectionSlot>) -> Self {
        Self { budget, service, slot, memory: RefCell::default(), held_bytes: Cell::new(0) }
    }

    /// Has the response occupy what its connection does, if it does not yet.
    pub(crate) fn open(&self) -> Result<(), BudgetExceeded> {
        let mut memory = self.memory.borrow_mut();
        if memory.is_none() {
            let evicted = self.slot.response_evicted();
            *memory = Some(self.budget.begin_response(self.service, CONNECTION_BYTES, evicted)?);
        }
        Ok(())
    }

    /// Waits until [`Self::open`] succeeds.
    pub(crate) async fn opened(&self) {
        while self.open().is_err() {
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Occupies memory for bytes that are held back.
    pub(crate) fn hold(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.open()?;
        self.memory.borrow().as_ref().map_or(Ok(()), |memory| memory.grow(bytes))?;
        self.held_bytes.set(self.held_bytes.get() + bytes);
        Ok(())
    }

    /// Waits until [`Self::hold`] succeeds.
    pub(crate) async fn held(&self, bytes: usize) {
        while self.hold(bytes).is_err() {
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Gives back the memory of all bytes that were held back.
    pub(crate) fn release_held(&self) {
        let held_bytes = self.held_bytes.take();
        if let Some(memory) = &*self.memory.borrow() {
            memory.shrink(held_bytes);
        }
    }

    /// Occupies nothing any more.
    pub(crate) fn clear(&self) {
        self.memory.take();
        self.held_bytes.set(0);
    }

    /// The response was received completely: from now on it occupies its length.
    pub(crate) fn keep_complete(&self, body: &Bytes) {
        if let Some(memory) = &*self.memory.borrow() {
            let occupied_bytes = CONNECTION_BYTES + self.held_bytes.replace(body.len());
            memory.shrink(occupied_bytes.saturating_sub(body.len()));
        }
    }

    /// Bytes wait for the client.
    pub(crate) fn bytes_wait(&self) {
        self.slot.bytes_wait();
        if let Some(memory) = &*self.memory.borrow() {
            memory.bytes_wait();
        }
    }

    /// The client has taken bytes.
    pub(crate) fn bytes_taken(&self, bytes: usize, more_wait: bool) {
        self.slot.bytes_taken(more_wait);
        if let Some(memory) = &*self.memory.borrow() {
            memory.bytes_taken(bytes, more_wait);
        }
    }
}

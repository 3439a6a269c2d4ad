//! Memory shared by the request bodies of a process.
//!
//! A body occupies the budget from its first byte until the last [`Bytes`] made of it is dropped. Where the budget is used up,
//! bodies that are incomplete after [`EVICTION_AGE`] give way, the oldest first; if there is none, the growing body is
//! refused. Complete bodies are never taken away: their requests may be running.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// An incomplete body gives way to others after this time.
const EVICTION_AGE: Duration = Duration::from_secs(1);
/// Bodies up to this length, in bytes, may use the whole budget; longer ones leave a quarter of it free.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Smallest capacity of the buffer of a body of unknown length, in bytes.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// The budget has no room for more of a body: the body was evicted, or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the request body")]
pub struct BudgetExceeded;

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Capacity of all buffers, incomplete and complete.
    used_bytes: usize,
    /// Bodies that are being read, by the order in which they began.
    incomplete: BTreeMap<u64, IncompleteBody>,
    next_id: u64,
    evicted: u64,
}

#[derive(Debug)]
struct IncompleteBody {
    started_at: Instant,
    bytes: Vec<u8>,
    /// The part of the budget that it occupies.
    charged_bytes: usize,
    evicted: Arc<Notify>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for `added_bytes` more of a body that has `own_bytes` already.
    fn make_room(
        &self,
        state: &mut State,
        id: Option<u64>,
        own_bytes: usize,
        added_bytes: usize,
    ) -> Result<(), BudgetExceeded> {
        let is_small = own_bytes + added_bytes <= SMALL_BODY_BYTES;
        let limit = if is_small { self.max_bytes } else { self.max_bytes / 4 * 3 };
        // A body that is alone always fits: it is bounded by the limit on its length.
        while state.used_bytes > own_bytes && state.used_bytes + added_bytes > limit {
            state.evict_oldest(id)?;
        }
        state.used_bytes += added_bytes;
        Ok(())
    }
}

impl State {
    /// Frees the memory of the body that has been incomplete for longest, other than `id`.
    fn evict_oldest(&mut self, id: Option<u64>) -> Result<(), BudgetExceeded> {
        let now = Instant::now();
        let oldest = self
            .incomplete
            .iter()
            .take_while(|(_, body)| body.started_at + EVICTION_AGE <= now)
            .find(|(other, body)| Some(**other) != id && body.charged_bytes > 0);
        let oldest = oldest.map(|(other, _)| *other).ok_or(BudgetExceeded)?;
        self.remove(oldest);
        self.evicted += 1;
        Ok(())
    }

    /// Removes an incomplete body, with its memory, and wakes its reader.
    fn remove(&mut self, id: u64) {
        if let Some(body) = self.incomplete.remove(&id) {
            self.used_bytes -= body.charged_bytes;
            body.evicted.notify_one();
        }
    }
}

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { shared: Arc::new(Shared { max_bytes, state: Mutex::default() }) }
    }

    /// Begins a body without bytes. `known_length` is its length where the client has stated it, and `max_length` the greatest
    /// that it may have.
    pub fn begin(&self, known_length: Option<usize>, max_length: usize) -> BodyBuffer {
        let evicted = Arc::new(Notify::new());
        let mut state = self.shared.state();
        let id = state.next_id;
        state.next_id += 1;
        let body = IncompleteBody {
            started_at: Instant::now(),
            bytes: Vec::new(),
            charged_bytes: 0,
            evicted: evicted.clone(),
        };
        state.incomplete.insert(id, body);
        drop(state);
        BodyBuffer { shared: self.shared.clone(), id, known_length, max_length, evicted }
    }

    /// Joins parts into one value that occupies the budget as a body does.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if there is no room for it.
    pub fn join(&self, parts: &[&[u8]]) -> Result<Bytes, BudgetExceeded> {
        let length = parts.iter().map(|part| part.len()).sum();
        self.shared.make_room(&mut self.shared.state(), None, 0, length)?;
        let mut bytes = Vec::with_capacity(length);
        parts.iter().for_each(|part| bytes.extend_from_slice(part));
        Ok(Bytes::from_owner(CompleteBody { bytes, shared: self.shared.clone() }))
    }

    /// Bytes that bodies occupy now.
    pub fn used_bytes(&self) -> usize {
        self.shared.state().used_bytes
    }

    /// Number of bodies that gave way so far.
    pub fn evicted(&self) -> u64 {
        self.shared.state().evicted
    }
}

/// A body that is being read. Dropping it frees its memory.
#[derive(Debug)]
pub struct BodyBuffer {
    shared: Arc<Shared>,
    id: u64,
    known_length: Option<usize>,
    max_length: usize,
    evicted: Arc<Notify>,
}

impl BodyBuffer {
    /// Appends bytes. The caller checks the length of the body.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if there is no room for them, or the body was evicted.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let mut state = self.shared.state();
        let body = state.incomplete.get(&self.id).ok_or(BudgetExceeded)?;
        let (length, charged_bytes) = (body.bytes.len(), body.charged_bytes);
        let needed_bytes = length + data.len();
        let capacity =
            if needed_bytes > charged_bytes { self.next_capacity(needed_bytes) } else { charged_bytes };
        self.shared.make_room(&mut state, Some(self.id), charged_bytes, capacity - charged_bytes)?;
        let body = state.incomplete.get_mut(&self.id).ok_or(BudgetExceeded)?;
        body.charged_bytes = capacity;
        body.bytes.reserve_exact(capacity - length);
        body.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The capacity that a buffer of at least `needed_bytes` gets: twice as much, within the length that the body can have.
    fn next_capacity(&self, needed_bytes: usize) -> usize {
        let max_length = self.known_length.unwrap_or(self.max_length);
        needed_bytes.saturating_mul(2).max(MIN_CAPACITY_BYTES).min(max_length).max(needed_bytes)
    }

    /// Number of bytes read so far; none of an evicted body are left.
    pub fn len(&self) -> usize {
        self.shared.state().incomplete.get(&self.id).map_or(0, |body| body.bytes.len())
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Completes once the body was evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// The complete body.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if the body was evicted.
    pub fn finish(self) -> Result<Bytes, BudgetExceeded> {
        let mut state = self.shared.state();
        let mut body = state.incomplete.remove(&self.id).ok_or(BudgetExceeded)?;
        body.bytes.shrink_to_fit();
        // What stays charged is what the complete body gives back.
        state.used_bytes = state.used_bytes - body.charged_bytes + body.bytes.len();
        drop(state);
        Ok(Bytes::from_owner(CompleteBody { bytes: body.bytes, shared: self.shared.clone() }))
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.shared.state().remove(self.id);
    }
}

/// The memory of a complete body, which occupies the budget until it is dropped.
struct CompleteBody {
    bytes: Vec<u8>,
    shared: Arc<Shared>,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CompleteBody {
    fn drop(&mut self) {
        self.shared.state().used_bytes -= self.bytes.len();
    }
}

//! Memory shared by the bodies of a process: those of requests, and those of responses ([`crate::ResponseMemory`]).
//!
//! A request's body occupies the budget from its first byte until the last [`Bytes`] made of it is dropped. Where the budget is
//! used up, what has waited longest for its client gives way, [`EVICTION_AGE`] at least: a request's body that is incomplete, or a
//! response of which the client takes nothing. If there is none, it is the response that has passed most bytes, from
//! [`LONG_RESPONSE_BYTES`] on; then the growing body is refused. Complete request bodies are never taken away: their requests may
//! be running.

use crate::response_memory::{ResponseUsage, ServiceKey};
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
/// A response that has passed this many bytes, and is older than [`EVICTION_AGE`], gives way if nothing waits for its client.
const LONG_RESPONSE_BYTES: u64 = 1024 * 1024;
/// Smallest capacity of the buffer of a body of unknown length, in bytes.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// The budget has no room for more of a body: the body was evicted, or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the request body")]
pub struct BudgetExceeded;

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    max_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Capacity of all buffers, incomplete and complete.
    used_bytes: usize,
    /// Bodies that are being read, by the order in which they began.
    incomplete: BTreeMap<u64, IncompleteBody>,
    /// Responses, by the order in which they began.
    responses: BTreeMap<u64, ResponseUsage>,
    /// The part of `used_bytes` that responses occupy.
    response_bytes: usize,
    /// The same by service.
    service_bytes: BTreeMap<ServiceKey, usize>,
    next_id: u64,
    evicted: u64,
    responses_evicted: u64,
}

/// Who asks for room.
#[derive(Clone, Copy)]
struct Requester {
    /// `None` for a body that is joined from parts.
    id: Option<u64>,
    /// What it occupies already.
    own_bytes: usize,
    /// Bytes that its client has taken; responses that passed no more do not give way to it.
    passed_bytes: u64,
    /// The service of a response, and the bytes that its responses may occupy together.
    service: Option<(ServiceKey, usize)>,
}

/// Parts of the budget, in eighths.
#[derive(Clone, Copy)]
struct Eighths(usize);

/// Room for large request bodies, and for responses under way.
const LARGE_BODIES: Eighths = Eighths(6);
/// Room for what responses hold back.
const HELD_BACK: Eighths = Eighths(5);
/// Room for the responses of one service.
const SERVICE_RESPONSES: Eighths = Eighths(4);
/// Room for what the responses of one service hold back.
const SERVICE_HELD_BACK: Eighths = Eighths(3);

/// What gives way.
enum Victim {
    Body(u64),
    Response(u64),
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
    fn part(&self, part: Eighths) -> usize {
        self.max_bytes / 8 * part.0
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for `added_bytes` more of a request's body that has `own_bytes` already.
    fn make_room(
        &self,
        state: &mut State,
        id: Option<u64>,
        own_bytes: usize,
        added_bytes: usize,
    ) -> Result<(), BudgetExceeded> {
        let is_small = own_bytes + added_bytes <= SMALL_BODY_BYTES;
        let limit = if is_small { self.max_bytes } else { self.part(LARGE_BODIES) };
        state.make_room(Requester { id, own_bytes, passed_bytes: 0, service: None }, added_bytes, limit)
    }

    pub(crate) fn begin_response(
        &self,
        service: ServiceKey,
        bytes: usize,
        evicted: Arc<Notify>,
    ) -> Result<u64, BudgetExceeded> {
        let mut state = self.state();
        let service_limit = Some((service, self.part(SERVICE_RESPONSES)));
        let requester = Requester { id: None, own_bytes: 0, passed_bytes: 0, service: service_limit };
        state.make_room(requester, bytes, self.part(LARGE_BODIES))?;
        state.charge_response(service, bytes);
        let id = state.next_id;
        state.next_id += 1;
        let usage = ResponseUsage {
            service,
            started_at: Instant::now(),
            charged_bytes: bytes,
            passed_bytes: 0,
            waiting_since: None,
            evicted,
        };
        state.responses.insert(id, usage);
        Ok(id)
    }

    pub(crate) fn grow_response(&self, id: u64, bytes: usize) -> Result<(), BudgetExceeded> {
        let mut state = self.state();
        let usage = state.responses.get(&id).ok_or(BudgetExceeded)?;
        let service = usage.service;
        let requester = Requester {
            id: Some(id),
            own_bytes: usage.charged_bytes,
            passed_bytes: usage.passed_bytes,
            service: Some((service, self.part(SERVICE_HELD_BACK))),
        };
        state.make_room(requester, bytes, self.part(HELD_BACK))?;
        state.charge_response(service, bytes);
        let usage = state.responses.get_mut(&id).ok_or(BudgetExceeded)?;
        usage.charged_bytes += bytes;
        Ok(())
    }

    pub(crate) fn shrink_response(&self, id: u64, bytes: usize) {
        let mut state = self.state();
        let Some(usage) = state.responses.get_mut(&id) else { return };
        let freed_bytes = bytes.min(usage.charged_bytes);
        usage.charged_bytes -= freed_bytes;
        let service = usage.service;
        state.release_response(service, freed_bytes);
    }

    pub(crate) fn update_response(&self, id: u64, update: impl FnOnce(&mut ResponseUsage)) {
        if let Some(usage) = self.state().responses.get_mut(&id) {
            update(usage);
        }
    }

    pub(crate) fn end_response(&self, id: u64) {
        self.state().remove_response(id);
    }
}

impl State {
    /// Adds to the used bytes, once there is room within `limit`.
    fn make_room(
        &mut self,
        requester: Requester,
        added_bytes: usize,
        limit: usize,
    ) -> Result<(), BudgetExceeded> {
        // What is alone always fits: it is bounded by the limit on its length.
        if let Some((service, service_limit)) = requester.service {
            while self.service_bytes(service) > requester.own_bytes
                && self.service_bytes(service) + added_bytes > service_limit
            {
                self.evict_one(requester, Some(service))?;
            }
        }
        while self.used_bytes > requester.own_bytes && self.used_bytes + added_bytes > limit {
            self.evict_one(requester, None)?;
        }
        self.used_bytes += added_bytes;
        Ok(())
    }

    fn service_bytes(&self, service: ServiceKey) -> usize {
        self.service_bytes.get(&service).copied().unwrap_or(0)
    }

    /// Counts bytes as those of a response that are counted as used already.
    fn charge_response(&mut self, service: ServiceKey, bytes: usize) {
        self.response_bytes += bytes;
        *self.service_bytes.entry(service).or_default() += bytes;
    }

    fn release_response(&mut self, service: ServiceKey, bytes: usize) {
        self.used_bytes -= bytes;
        self.response_bytes -= bytes;
        let left = self.service_bytes(service) - bytes;
        match left {
            0 => drop(self.service_bytes.remove(&service)),
            _ => drop(self.service_bytes.insert(service, left)),
        }
    }

    /// Frees the memory of what gives way first, other than the requester; of responses of one service where there is one.
    fn evict_one(&mut self, requester: Requester, service: Option<ServiceKey>) -> Result<(), BudgetExceeded> {
        let now = Instant::now();
        let victim = self
            .longest_waiting(requester, service, now)
            .or_else(|| self.longest_response(requester, service, now));
        match victim.ok_or(BudgetExceeded)? {
            Victim::Body(id) => {
                self.remove(id);
                self.evicted += 1;
            }
            Victim::Response(id) => {
                if let Some(usage) = self.remove_response(id) {
                    usage.evicted.notify_one();
                }
                self.responses_evicted += 1;
            }
        }
        Ok(())
    }

    /// What has waited for its client for longest.
    fn longest_waiting(
        &self,
        requester: Requester,
        service: Option<ServiceKey>,
        now: Instant,
    ) -> Option<Victim> {
        let bodies = self
            .incomplete
            .iter()
            .filter(|(_, body)| service.is_none() && body.charged_bytes > 0)
            .map(|(id, body)| (body.started_at, *id, Victim::Body(*id)));
        let responses = self
            .responses
            .iter()
            .filter(|(_, usage)| service.is_none_or(|service| usage.service == service))
            .filter_map(|(id, usage)| Some((usage.waiting_since?, *id, Victim::Response(*id))));
        let candidates = bodies.chain(responses);
        let waiting = candidates
            .filter(|(since, id, _)| Some(*id) != requester.id && *since + EVICTION_AGE <= now)
            .min_by_key(|(since, id, _)| (*since, *id));
        waiting.map(|(_, _, victim)| victim)
    }

    /// The response that has passed most bytes.
    fn longest_response(
        &self,
        requester: Requester,
        service: Option<ServiceKey>,
        now: Instant,
    ) -> Option<Victim> {
        let min_bytes = LONG_RESPONSE_BYTES.max(requester.passed_bytes + 1);
        let longest = self
            .responses
            .iter()
            .filter(|(id, usage)| {
                Some(**id) != requester.id
                    && service.is_none_or(|service| usage.service == service)
                    && usage.passed_bytes >= min_bytes
                    && usage.started_at + EVICTION_AGE <= now
            })
            .max_by_key(|(_, usage)| usage.passed_bytes);
        longest.map(|(id, _)| Victim::Response(*id))
    }

    fn remove_response(&mut self, id: u64) -> Option<ResponseUsage> {
        let usage = self.responses.remove(&id)?;
        self.release_response(usage.service, usage.charged_bytes);
        Some(usage)
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

    /// Bytes that bodies of requests and responses occupy now.
    pub fn used_bytes(&self) -> usize {
        self.shared.state().used_bytes
    }

    /// The part of them that responses occupy.
    pub fn response_bytes(&self) -> usize {
        self.shared.state().response_bytes
    }

    /// Number of responses that gave way so far.
    pub fn responses_evicted(&self) -> u64 {
        self.shared.state().responses_evicted
    }

    /// Number of request bodies that gave way so far.
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

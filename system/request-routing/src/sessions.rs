//! Session affinity table: the endpoint that last served each recent session.

use crate::hash::{hash, mix};
use crate::types::{EndpointKey, RoutingRequest};
use std::collections::HashMap;

/// Upper bound on the sessions in the table.
const MAX_SESSIONS: usize = 20_000;

struct SessionUse {
    endpoint: EndpointKey,
    /// Logical time of the session's last use.
    tick: u64,
}

/// Maps the hash of a session to the endpoint that last served it.
#[derive(Default)]
pub(crate) struct SessionTable {
    by_hash: HashMap<u64, SessionUse>,
    /// Logical clock: incremented with each recorded use.
    tick: u64,
}

impl SessionTable {
    /// The endpoint that last served the session with this hash.
    pub(crate) fn endpoint_of(&self, session_hash: u64) -> Option<EndpointKey> {
        self.by_hash.get(&session_hash).map(|last_use| last_use.endpoint)
    }

    /// Records a use. On overflow the least recently used half is evicted.
    pub(crate) fn record_use(&mut self, session_hash: u64, endpoint: EndpointKey) {
        self.tick += 1;
        self.by_hash.insert(session_hash, SessionUse { endpoint, tick: self.tick });
        if self.by_hash.len() > MAX_SESSIONS {
            let mut ticks: Vec<u64> = self.by_hash.values().map(|last_use| last_use.tick).collect();
            let (_, median, _) = ticks.select_nth_unstable(MAX_SESSIONS / 2);
            let median = *median;
            self.by_hash.retain(|_, last_use| last_use.tick > median);
        }
    }
}

/// Hash of the request's service and session; None for a request without a session.
pub(crate) fn session_hash(request: &RoutingRequest) -> Option<u64> {
    let session = request.session.as_ref()?;
    Some(mix(hash(request.service.as_bytes()) ^ hash(session.as_bytes()).rotate_left(1)))
}

//! Decides which polls of the platform's endpoint list are published.

use crate::times::{EMPTY_LIST_CONFIRMATION_MS, MAX_DISCOVERY_POLL_DURATION_MS, MAX_EMPTY_POLL_GAP_MS};
use fleet_model::{Endpoint, EndpointList, ListVersion};

/// A series of consecutive polls that returned no endpoints.
#[derive(Clone, Copy, Debug)]
struct EmptySeries {
    first_ms: u64,
    last_ms: u64,
}

/// State of the endpoint polls under one fencing token. A poll under another token resets it.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryPollFilter {
    token: u64,
    /// Sequence number of the last list published under the token.
    sequence: u64,
    empty: Option<EmptySeries>,
}

impl DiscoveryPollFilter {
    /// Evaluates the result of a poll that was sent at `started_ms` under `token`.
    ///
    /// Returns the list to publish, if it differs from `known` in its endpoints or its token. Processes that know a list of
    /// a later token ignore it. An empty result is published only after [`EMPTY_LIST_CONFIRMATION_MS`]: the platform may have
    /// lost its registrations while the endpoints still run.
    pub fn accept_poll(
        &mut self,
        now_ms: u64,
        started_ms: u64,
        token: u64,
        known: &EndpointList,
        endpoints: Vec<Endpoint>,
    ) -> Option<EndpointList> {
        if self.token != token {
            *self = Self { token, ..Self::default() };
        }
        if now_ms.saturating_sub(started_ms) > MAX_DISCOVERY_POLL_DURATION_MS {
            return None;
        }
        if !endpoints.is_empty() {
            self.empty = None;
        } else if !known.endpoints.is_empty() {
            let ongoing = self
                .empty
                .filter(|series| started_ms.saturating_sub(series.last_ms) <= MAX_EMPTY_POLL_GAP_MS);
            let first_ms = ongoing.map_or(started_ms, |series| series.first_ms);
            self.empty = Some(EmptySeries { first_ms, last_ms: started_ms });
            if started_ms - first_ms < EMPTY_LIST_CONFIRMATION_MS {
                return None;
            }
        }
        if known.endpoints == endpoints && known.version.token == token {
            return None;
        }
        self.sequence += 1;
        Some(EndpointList { version: ListVersion::new(token, self.sequence), endpoints })
    }
}

use crate::times::{EMPTY_LIST_CONFIRMATION_MS, MAX_EMPTY_POLL_GAP_MS, MAX_POLL_DURATION_MS};
use fleet_model::{Endpoint, EndpointList, ListVersion};

/// What becomes of the readings of the list, under one fence after another.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryPolls {
    fence: u64,
    sequence: u64,
    /// When a series of empty answers began, and its last one.
    empty: Option<(u64, u64)>,
}

impl DiscoveryPolls {
    /// The platform was asked at `asked_ms` under `fence` and listed these; the list to spread, if it is another one than
    /// is known. Whoever knows a list of a later fence passes this one over.
    pub fn accept_poll(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        fence: u64,
        known: &EndpointList,
        endpoints: Vec<Endpoint>,
    ) -> Option<EndpointList> {
        if self.fence != fence {
            *self = Self { fence, ..Self::default() };
        }
        if now_ms.saturating_sub(asked_ms) > MAX_POLL_DURATION_MS {
            return None;
        }
        if !endpoints.is_empty() {
            self.empty = None;
        } else if !known.endpoints.is_empty() {
            // The platform may have lost its memory; the endpoints live on.
            let began =
                self.empty.filter(|(_, last)| asked_ms.saturating_sub(*last) <= MAX_EMPTY_POLL_GAP_MS);
            let began = began.map_or(asked_ms, |(began, _)| began);
            self.empty = Some((began, asked_ms));
            if asked_ms - began < EMPTY_LIST_CONFIRMATION_MS {
                return None;
            }
        }
        if known.endpoints == endpoints && known.version.token == fence {
            return None;
        }
        self.sequence += 1;
        Some(EndpointList { version: ListVersion::new(fence, self.sequence), endpoints })
    }
}

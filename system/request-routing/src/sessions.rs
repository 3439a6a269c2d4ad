//! Which endpoint last ran a session: the newest so many.

use crate::types::EndpointKey;
use std::collections::HashMap;

/// Sessions remembered at most.
const MOST: usize = 20_000;

#[derive(Default)]
pub(crate) struct Sessions {
    /// By hash of the session: the endpoint, and the tick of the last use.
    last_endpoint: HashMap<u64, (EndpointKey, u64)>,
    tick: u64,
}

impl Sessions {
    pub fn get(&self, session: u64) -> Option<EndpointKey> {
        self.last_endpoint.get(&session).map(|(key, _)| *key)
    }

    /// Notes a run. When there are too many, the older half of what there is goes.
    pub fn put(&mut self, session: u64, key: EndpointKey) {
        self.tick += 1;
        self.last_endpoint.insert(session, (key, self.tick));
        if self.last_endpoint.len() > MOST {
            let mut ticks: Vec<u64> = self.last_endpoint.values().map(|(_, tick)| *tick).collect();
            let (_, middle, _) = ticks.select_nth_unstable(MOST / 2);
            let middle = *middle;
            self.last_endpoint.retain(|_, (_, tick)| *tick > middle);
        }
    }
}

//! What is known of one service: its terms, who waits for it and how fast places become free.

use crate::admission::Admission;
use crate::endpoint::Bounds;
use crate::prefix_demand::PrefixDemand;
use crate::types::*;
use message_sender::{Span, Time};
use operator_config::RouteKind;

/// Weight of one more observation in a learned mean.
const LEARNING_RATE: f64 = 0.1;
/// Time between two ends of calls before any was seen, in microseconds.
const FIRST_GAP: f64 = 50_000.0;
/// The longest that counts.
const MOST_GAP: u64 = 1_000_000;
/// Slots of an endpoint of which nothing tells them.
const SLOTS: u32 = 8;
/// Share of the connections that the proxies use together.
const CONNECTIONS_USED: f64 = 0.9;
/// Connections that a proxy may have to an endpoint in any case.
const LEAST_CONNECTIONS: u32 = 2;

pub(crate) struct Service {
    /// None once the configuration does not name it.
    pub terms: Option<ServiceSettings>,
    /// Indices of its endpoints in this zone that are listed as ready.
    pub local: Vec<usize>,
    /// The same of the other zones.
    pub remote: Vec<usize>,
    /// Mean time to the first byte, in microseconds; 0 before the first.
    pub pace: f64,
    /// The same of idempotent requests.
    repeatable_pace: f64,
    pub admission: Admission,
    /// How its prompts share their prefixes.
    pub prefixes: PrefixDemand,
    gap: f64,
    ended: Time,
}

impl Service {
    pub fn new() -> Service {
        Service {
            terms: None,
            local: Vec::new(),
            remote: Vec::new(),
            pace: 0.0,
            repeatable_pace: 0.0,
            admission: Admission::default(),
            prefixes: PrefixDemand::default(),
            gap: FIRST_GAP,
            ended: Time(0),
        }
    }

    pub fn bounds(&self, proxies: u32) -> Bounds {
        let terms = self.terms.as_ref();
        let all = terms.map_or(0, |terms| terms.max_connections);
        let share = (CONNECTIONS_USED * f64::from(all) / f64::from(proxies)) as u32;
        Bounds {
            engine: terms.is_some_and(|terms| terms.engine),
            proxies,
            connections: if all == 0 { u32::MAX } else { share.max(LEAST_CONNECTIONS) },
            default_slots: terms.and_then(|terms| terms.slots).unwrap_or(SLOTS),
            cache_tokens: terms.and_then(|terms| terms.cache_tokens).unwrap_or(0),
        }
    }

    /// Whether nothing holds it any more.
    pub fn idle(&self) -> bool {
        self.terms.is_none() && self.local.is_empty() && self.remote.is_empty() && self.admission.idle()
    }

    /// Indices of all its endpoints that are listed as ready.
    pub fn all(&self) -> impl Iterator<Item = usize> {
        self.local.iter().chain(&self.remote).copied()
    }

    pub fn end(&mut self, now: Time, request: &RoutingRequest) {
        self.admission.ended(request);
        if self.ended > Time(0) {
            self.gap += LEARNING_RATE * (now.since(self.ended).min(MOST_GAP) as f64 - self.gap);
        }
        self.ended = now;
    }

    pub fn learn_pace(&mut self, request: &RoutingRequest, elapsed: Span) {
        let learn = |mean: &mut f64| {
            let took = elapsed.0 as f64;
            *mean = if *mean > 0.0 { *mean + LEARNING_RATE * (took - *mean) } else { took };
        };
        learn(&mut self.pace);
        if request.kind == RouteKind::Idempotent {
            learn(&mut self.repeatable_pace);
        }
    }

    /// Mean time to the first byte of idempotent requests, in microseconds; 0 before the first.
    pub fn repeatable_pace(&self) -> f64 {
        self.repeatable_pace
    }

    /// Time until a place becomes free, in microseconds.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// Time until one becomes free for a newcomer, behind those that wait.
    pub fn turn(&self) -> f64 {
        self.gap * (self.admission.waiting() + 1) as f64
    }
}

//! Which of a service's endpoints takes a call: by session, by shared prefix, by load.

use crate::endpoint::{Bounds, Endpoint};
use crate::hash::{hash, mix};
use crate::policy::RoutingPolicy;
use crate::service::Service;
use crate::types::*;
use message_sender::Time;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

/// How far an endpoint's load may lie above its peers' mean before affinity yields to load.
#[derive(Clone, Copy, Debug)]
struct LoadBound {
    factor: f64,
    slack: f64,
}

/// For the sake of a shared prefix, part of which any endpoint may have to read.
const PREFIX_BOUND: LoadBound = LoadBound { factor: 1.25, slack: 2.0 };
/// For the sake of a session, all of whose prompt is kept there.
const SESSION_BOUND: LoadBound = LoadBound { factor: 1.5, slack: 3.0 };
/// Endpoints of other zones count as having a place below this share of their slots.
const REMOTE_SHARE: f64 = 0.8;

/// What a choice is made from.
pub(crate) struct Candidates<'a> {
    now: Time,
    policy: &'a RoutingPolicy,
    history: &'a AttemptHistory,
    service: &'a Service,
    pub bounds: Bounds,
    endpoints: &'a [Endpoint],
}

/// How well an endpoint suits a call: the lower tier is better, and within a tier the lower score.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rating {
    tier: u8,
    score: f64,
}

impl<'a> Candidates<'a> {
    /// A service's endpoints as one of `proxies` proxies may use them now.
    pub fn new(
        now: Time,
        policy: &'a RoutingPolicy,
        history: &'a AttemptHistory,
        service: &'a Service,
        proxies: u32,
        endpoints: &'a [Endpoint],
    ) -> Self {
        Self { now, policy, history, service, bounds: service.bounds(proxies), endpoints }
    }

    /// Whether an endpoint may get a call now.
    pub fn usable(&self, endpoint: &Endpoint) -> bool {
        let load = endpoint.load(self.now);
        endpoint.in_service()
            && !endpoint.closed(self.now)
            && !endpoint.ejected(self.now)
            && endpoint.in_flight < endpoint.limit(&self.bounds, load)
    }

    /// The endpoint that ran this session last, unless it is loaded far above its peers.
    pub fn by_session(&self, last_endpoint: Option<usize>, service: &str) -> Option<usize> {
        let index = last_endpoint.filter(|_| self.policy.session_affinity)?;
        let endpoint = &self.endpoints[index];
        (endpoint.listed.service == service && self.takes(endpoint, SESSION_BOUND, self.mean_load()))
            .then_some(index)
    }

    /// The least loaded of the endpoints that are to keep this prefix; none where all endpoints are.
    pub fn by_prefix(&self, prefix: &str, rng: &mut ChaCha8Rng) -> Option<usize> {
        if !self.policy.prefix_affinity {
            return None;
        }
        let prefix = hash(prefix.as_bytes());
        let group = self.home_group();
        let slots = self.endpoints[*group.first()?].slots(&self.bounds);
        let share = self.service.prefixes.replica_share(prefix, self.bounds.cache_tokens, slots);
        if share >= 1.0 {
            return None;
        }
        let replicas = ((share * group.len() as f64).ceil() as usize).max(1);
        let mut ranked = group.to_vec();
        ranked.sort_unstable_by_key(|index| std::cmp::Reverse(mix(prefix ^ self.endpoints[*index].hash)));
        ranked.truncate(replicas);
        let mean = self.mean_load();
        ranked.retain(|index| self.takes(&self.endpoints[*index], PREFIX_BOUND, mean));
        self.least(ranked.into_iter().map(|index| (index, 0)), rng)
    }

    /// The least loaded one: of those it has not met, before those it has; of those with a free slot in this zone, then
    /// in others, then of those that would queue it. Ties go by chance.
    pub fn by_load(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let local = self.service.local.iter().map(|index| (*index, true));
        let all = local.chain(self.service.remote.iter().map(|index| (*index, false)));
        let usable = all.filter(|(index, _)| self.usable(&self.endpoints[*index]));
        self.least(usable.map(|(index, is_local)| (index, self.tier(index, is_local))), rng)
    }

    /// Where all are ejected, the one that would be back first.
    pub fn least_bad(&self) -> Option<usize> {
        let all = || self.service.all().filter(|index| self.endpoints[*index].in_service());
        if !all().all(|index| self.endpoints[index].ejected(self.now)) {
            return None;
        }
        let free = all().filter(|index| {
            let endpoint = &self.endpoints[*index];
            !endpoint.closed(self.now)
                && endpoint.in_flight < endpoint.limit(&self.bounds, endpoint.load(self.now))
        });
        free.min_by_key(|index| self.endpoints[*index].opens(self.now))
    }

    /// The endpoints among which affinity chooses.
    fn home_group(&self) -> &[usize] {
        if self.service.local.is_empty() { &self.service.remote } else { &self.service.local }
    }

    /// Mean load of the home group.
    fn mean_load(&self) -> f64 {
        let group = self.home_group().iter().map(|index| &self.endpoints[*index]);
        let (sum, count) = group
            .filter(|endpoint| endpoint.in_service())
            .fold((0.0, 0.0), |(sum, count), endpoint| (sum + endpoint.load(self.now), count + 1.0));
        sum / f64::max(count, 1.0)
    }

    /// Whether affinity may send a call there.
    fn takes(&self, endpoint: &Endpoint, bound: LoadBound, mean: f64) -> bool {
        let load = endpoint.load(self.now);
        self.usable(endpoint)
            && load < f64::from(endpoint.slots(&self.bounds))
            && (!self.policy.load_bounds || load <= bound.factor * mean + bound.slack)
            && self.penalty(endpoint) == 0.0
            && !self.history.avoided.contains(&endpoint.key)
    }

    fn tier(&self, index: usize, is_local: bool) -> u8 {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load(self.now);
        let slots = f64::from(endpoint.slots(&self.bounds));
        let tier = match is_local || !self.policy.zone_tiers {
            true if load < slots => 0,
            false if load < REMOTE_SHARE * slots => 1,
            true => 2,
            false => 3,
        };
        let met = self.history.avoided.contains(&endpoint.key);
        tier + if met { 4 } else { 0 }
    }

    fn score(&self, index: usize) -> f64 {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load(self.now);
        let slots = f64::from(endpoint.slots(&self.bounds));
        let slowness =
            if self.policy.latency_weight { endpoint.slowness(self.now, self.service.pace) } else { 1.0 };
        (load + 1.0) / slots * slowness + self.penalty(endpoint)
    }

    fn penalty(&self, endpoint: &Endpoint) -> f64 {
        if self.policy.failure_penalty { endpoint.penalty(self.now) } else { 0.0 }
    }

    /// The best of these endpoints with their tiers; ties go by chance.
    fn least(&self, all: impl Iterator<Item = (usize, u8)>, rng: &mut ChaCha8Rng) -> Option<usize> {
        let mut best: Option<(Rating, usize)> = None;
        let mut ties = 0;
        for (index, tier) in all {
            let rating = Rating { tier, score: self.score(index) };
            match best {
                Some((least, _)) if rating == least => {
                    ties += 1;
                    if rng.next_u32().is_multiple_of(ties + 1) {
                        best = Some((rating, index));
                    }
                }
                Some((least, _)) if rating > least => {}
                _ => {
                    best = Some((rating, index));
                    ties = 0;
                }
            }
        }
        best.map(|(_, index)| index)
    }
}

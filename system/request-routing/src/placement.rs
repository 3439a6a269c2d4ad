//! Endpoint selection within a service: session affinity first, then prefix affinity by rendezvous hashing with bounded
//! loads, then the least loaded endpoint.

use crate::endpoint::{Endpoint, EndpointLimits};
use crate::hash::{hash, mix};
use crate::placement_metrics::{AffinityMiss, PlacementReason};
use crate::policy::RoutingPolicy;
use crate::service::Service;
use crate::sessions::{SessionTable, session_hash};
use crate::types::{AttemptHistory, RoutingRequest};
use message_sender::Time;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

/// Upper bound on an endpoint's load for affinity: `factor` times its peers' mean load, plus `slack` calls.
#[derive(Clone, Copy, Debug)]
struct LoadBound {
    factor: f64,
    slack: f64,
}

/// Bound for prefix affinity. It is tight because a miss costs only the prefill of the prefix.
const PREFIX_AFFINITY_BOUND: LoadBound = LoadBound { factor: 1.25, slack: 2.0 };
/// Bound for session affinity. It is looser because the endpoint caches the complete prompt so far.
const SESSION_AFFINITY_BOUND: LoadBound = LoadBound { factor: 1.5, slack: 3.0 };
/// Lower bound of the total weight of the peers' load reports, in fresh reports: below it, their mean decays.
const MIN_REPORT_WEIGHT: f64 = 1.0;
/// An endpoint in another zone counts as having a free slot while its load is below this share of its slots.
const REMOTE_FREE_SHARE: f64 = 0.8;

/// Sums over a group of endpoints, for their mean load.
#[derive(Clone, Copy, Debug, Default)]
struct GroupLoad {
    /// Number of endpoints.
    endpoints: f64,
    /// Calls of this proxy.
    in_flight: f64,
    /// Decayed reports of other proxies' calls.
    reported: f64,
    /// Remaining weights of these reports.
    report_weight: f64,
}

impl GroupLoad {
    fn from_endpoint(endpoint: &Endpoint, now: Time) -> Self {
        Self {
            endpoints: 1.0,
            in_flight: f64::from(endpoint.in_flight),
            reported: endpoint.load_of_other_proxies(now),
            report_weight: endpoint.report_weight(now),
        }
    }

    fn add(&mut self, other: &Self) {
        self.endpoints += other.endpoints;
        self.in_flight += other.in_flight;
        self.reported += other.reported;
        self.report_weight += other.report_weight;
    }

    /// Estimated mean load of the other endpoints. Reports are weighted by freshness, so that an endpoint without a
    /// recent report does not count as idle: the load that is compared with this mean comes from a fresh report.
    fn mean_peer_load(&self, endpoint: &Endpoint, now: Time) -> f64 {
        let own = Self::from_endpoint(endpoint, now);
        let peers = f64::max(self.endpoints - own.endpoints, 1.0);
        let weight = f64::max(self.report_weight - own.report_weight, MIN_REPORT_WEIGHT);
        (self.in_flight - own.in_flight).max(0.0) / peers + (self.reported - own.reported).max(0.0) / weight
    }
}

/// The endpoints of a service and the state on which the choice among them depends.
pub(crate) struct Candidates<'a> {
    now: Time,
    policy: &'a RoutingPolicy,
    history: &'a AttemptHistory,
    service: &'a Service,
    pub(crate) limits: EndpointLimits,
    endpoints: &'a [Endpoint],
}

/// Suitability of an endpoint for a call: the lower tier wins, and within a tier the lower score.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rating {
    tier: u8,
    score: f64,
}

impl<'a> Candidates<'a> {
    /// The endpoints of `service` as one of `proxies` proxies may use them at `now`.
    pub(crate) fn new(
        now: Time,
        policy: &'a RoutingPolicy,
        history: &'a AttemptHistory,
        service: &'a Service,
        proxies: u32,
        endpoints: &'a [Endpoint],
    ) -> Self {
        Self { now, policy, history, service, limits: service.endpoint_limits(proxies), endpoints }
    }

    /// Whether an endpoint may receive a call now.
    pub(crate) fn is_usable(&self, endpoint: &Endpoint) -> bool {
        let load = endpoint.load(self.now);
        endpoint.is_in_service()
            && !endpoint.is_backing_off(self.now)
            && !endpoint.is_ejected(self.now)
            && endpoint.in_flight < endpoint.max_in_flight(&self.limits, load)
    }

    /// The endpoint that served the previous turn of the conversation, unless it is unusable or its load exceeds the
    /// bound.
    pub(crate) fn by_conversation(
        &self,
        request: &RoutingRequest,
        sessions: &SessionTable,
    ) -> Result<usize, AffinityMiss> {
        if !self.policy.session_affinity {
            return Err(AffinityMiss::Unknown);
        }
        // The request may name the endpoint of the previous turn, whichever proxy sent that turn. The session table
        // only contains this proxy's own calls.
        let index = match &request.previous_endpoint {
            Some(instance_id) => self.ready_instance(instance_id).ok_or(AffinityMiss::Unusable)?,
            None => self.endpoint_of_session(request, sessions).ok_or(AffinityMiss::Unknown)?,
        };
        let endpoint = &self.endpoints[index];
        if endpoint.listed.service != request.service || !self.is_eligible_for_affinity(endpoint) {
            return Err(AffinityMiss::Unusable);
        }
        if !self.is_within_bound(endpoint, SESSION_AFFINITY_BOUND, &self.group_load()) {
            return Err(AffinityMiss::Overloaded);
        }
        Ok(index)
    }

    fn ready_instance(&self, instance_id: &str) -> Option<usize> {
        self.service.ready_endpoints().find(|index| &*self.endpoints[*index].instance_id == instance_id)
    }

    fn endpoint_of_session(&self, request: &RoutingRequest, sessions: &SessionTable) -> Option<usize> {
        let key = sessions.endpoint_of(session_hash(request)?)?;
        self.endpoints.binary_search_by_key(&key, |endpoint| endpoint.key).ok()
    }

    /// The least loaded of the endpoints that cache this prefix; None if all endpoints should cache it or none of those
    /// that cache it is eligible.
    pub(crate) fn by_prefix(&self, prefix: &str, rng: &mut ChaCha8Rng) -> Option<usize> {
        if !self.policy.prefix_affinity {
            return None;
        }
        let prefix = hash(prefix.as_bytes());
        let group = self.affinity_group();
        let slots = self.endpoints[*group.first()?].slots(&self.limits);
        let replica_share = self.service.prefix_demand.replica_share(prefix, self.limits.cache_tokens, slots);
        if replica_share >= 1.0 {
            return None;
        }
        let replicas = ((replica_share * group.len() as f64).ceil() as usize).max(1);
        let mut ranked = group.to_vec();
        ranked.sort_unstable_by_key(|index| std::cmp::Reverse(mix(prefix ^ self.endpoints[*index].hash)));
        ranked.truncate(replicas);
        let group_load = self.group_load();
        ranked.retain(|index| {
            let endpoint = &self.endpoints[*index];
            self.is_eligible_for_affinity(endpoint)
                && self.is_within_bound(endpoint, PREFIX_AFFINITY_BOUND, &group_load)
        });
        self.least_loaded(ranked.into_iter().map(|index| (index, 0)), rng)
    }

    /// The least loaded usable endpoint. Endpoints that the request has not tried precede those that it has; within
    /// either group, those with a free slot in this zone come first, then those in other zones, then those that would
    /// queue the call. Ties are broken at random.
    pub(crate) fn by_load(&self, rng: &mut ChaCha8Rng) -> Option<(usize, PlacementReason)> {
        let local = self.service.local.iter().map(|index| (*index, true));
        let all = local.chain(self.service.remote.iter().map(|index| (*index, false)));
        let usable = all.filter(|(index, _)| self.is_usable(&self.endpoints[*index]));
        let index =
            self.least_loaded(usable.map(|(index, is_local)| (index, self.tier(index, is_local))), rng)?;
        let reason = match self.service.local.contains(&index) {
            true => PlacementReason::LocalLoad,
            false => PlacementReason::RemoteLoad,
        };
        Some((index, reason))
    }

    /// If all endpoints in service are ejected, the one that becomes usable first.
    pub(crate) fn first_to_recover(&self) -> Option<usize> {
        let in_service =
            || self.service.ready_endpoints().filter(|index| self.endpoints[*index].is_in_service());
        if !in_service().all(|index| self.endpoints[index].is_ejected(self.now)) {
            return None;
        }
        let free = in_service().filter(|index| {
            let endpoint = &self.endpoints[*index];
            !endpoint.is_backing_off(self.now)
                && endpoint.in_flight < endpoint.max_in_flight(&self.limits, endpoint.load(self.now))
        });
        free.min_by_key(|index| self.endpoints[*index].usable_at(self.now))
    }

    /// The endpoints among which affinity chooses: those of this zone, or all if this zone has none.
    fn affinity_group(&self) -> &[usize] {
        if self.service.local.is_empty() { &self.service.remote } else { &self.service.local }
    }

    /// Loads of the endpoints of the affinity group that are in service.
    fn group_load(&self) -> GroupLoad {
        let group = self.affinity_group().iter().map(|index| &self.endpoints[*index]);
        let mut total = GroupLoad::default();
        for endpoint in group.filter(|endpoint| endpoint.is_in_service()) {
            total.add(&GroupLoad::from_endpoint(endpoint, self.now));
        }
        total
    }

    /// Whether affinity may select the endpoint, apart from the load bound.
    fn is_eligible_for_affinity(&self, endpoint: &Endpoint) -> bool {
        self.is_usable(endpoint)
            && endpoint.load(self.now) < f64::from(endpoint.slots(&self.limits))
            && self.penalty(endpoint) == 0.0
            && !self.history.avoided_endpoints.contains(&endpoint.key)
    }

    /// Whether the endpoint's load is within the bound, compared with the other endpoints of `group`.
    fn is_within_bound(&self, endpoint: &Endpoint, bound: LoadBound, group: &GroupLoad) -> bool {
        if !self.policy.load_bounds {
            return true;
        }
        let mean = group.mean_peer_load(endpoint, self.now);
        endpoint.load(self.now) <= bound.factor * mean + bound.slack
    }

    /// The tier of an endpoint; the lower is better.
    fn tier(&self, index: usize, is_local: bool) -> u8 {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load(self.now);
        let slots = f64::from(endpoint.slots(&self.limits));
        let tier = match is_local || !self.policy.zone_tiers {
            true if load < slots => 0,
            false if load < REMOTE_FREE_SHARE * slots => 1,
            true => 2,
            false => 3,
        };
        let already_tried = self.history.avoided_endpoints.contains(&endpoint.key);
        tier + if already_tried { 4 } else { 0 }
    }

    /// Relative load with the call added, weighted by latency, plus the failure penalty.
    fn score(&self, index: usize) -> f64 {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load(self.now);
        let slots = f64::from(endpoint.slots(&self.limits));
        let latency_weight = if self.policy.latency_weight {
            endpoint.latency_weight(self.now, self.service.mean_ttfb)
        } else {
            1.0
        };
        (load + 1.0) / slots * latency_weight + self.penalty(endpoint)
    }

    /// The failure penalty, if the policy applies it.
    fn penalty(&self, endpoint: &Endpoint) -> f64 {
        if self.policy.failure_penalty { endpoint.failure_penalty(self.now) } else { 0.0 }
    }

    /// The best-rated of the endpoints, each given with its tier; ties are broken by reservoir sampling.
    fn least_loaded(&self, all: impl Iterator<Item = (usize, u8)>, rng: &mut ChaCha8Rng) -> Option<usize> {
        let mut best: Option<(Rating, usize)> = None;
        let mut ties = 0;
        for (index, tier) in all {
            let rating = Rating { tier, score: self.score(index) };
            match best {
                Some((best_rating, _)) if rating == best_rating => {
                    ties += 1;
                    if rng.next_u32().is_multiple_of(ties + 1) {
                        best = Some((rating, index));
                    }
                }
                Some((best_rating, _)) if rating > best_rating => {}
                _ => {
                    best = Some((rating, index));
                    ties = 0;
                }
            }
        }
        best.map(|(_, index)| index)
    }
}

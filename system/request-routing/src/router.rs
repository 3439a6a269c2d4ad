//! The router: applies configuration, endpoint lists and observations, and decides to which endpoint a request is sent,
//! whether it waits and whether it is retried.

use crate::admission::priority_of;
use crate::endpoint::{CompletedCall, Endpoint, EndpointLimits, Presence};
use crate::hash::{hash, mix};
use crate::placement::Candidates;
use crate::placement_metrics::{Placement, PlacementMetrics, PlacementReason};
use crate::policy::RoutingPolicy;
use crate::prefix_demand::Prompt;
use crate::retry;
use crate::service::Service;
use crate::sessions::{SessionTable, session_hash};
use crate::types::{
    AttemptHistory, EndpointKey, EndpointView, RetryDecision, RoutingDecision, RoutingRequest, SendTarget,
    ServerLoad, ServiceSettings,
};
use fleet_model::EndpointList;
use message_sender::{Outcome, Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Lower bound of the interval after which a waiting request is routed again, in microseconds.
const MIN_POLL_INTERVAL_MICROS: f64 = 5_000.0;
/// Upper bound of the interval after which a waiting request is routed again, in microseconds.
const MAX_POLL_INTERVAL_MICROS: f64 = 50_000.0;
/// Lower bound of that interval where the request's time in the queue ends sooner, in microseconds.
const MIN_REMAINING_WAIT_MICROS: u64 = 1_000;
/// Lower bound of the `Retry-After` of a refused request, in microseconds.
const MIN_RETRY_AFTER_MICROS: f64 = 20_000.0;
/// Upper bound of the `Retry-After` of a refused request, in microseconds.
const MAX_RETRY_AFTER_MICROS: f64 = 2_000_000.0;
/// `Retry-After` where no endpoint is in service, in microseconds: about the interval between endpoint lists.
const RETRY_AFTER_WITHOUT_ENDPOINT_MICROS: u64 = 500_000;

/// Routes the requests of one proxy.
pub struct Router {
    zone: String,
    policy: RoutingPolicy,
    seed: u64,
    rng: ChaCha8Rng,
    proxies: u32,
    /// Time of the last event.
    now: Time,
    /// The last endpoint key assigned.
    last_key: u32,
    /// In ascending order of keys, for binary search.
    endpoints: Vec<Endpoint>,
    services: BTreeMap<String, Service>,
    sessions: SessionTable,
    placement_metrics: PlacementMetrics,
}

impl Router {
    /// Creates a router for a proxy in `zone`; all its random values derive from `seed`.
    pub fn new(zone: String, seed: u64, policy: RoutingPolicy) -> Router {
        Router {
            zone,
            policy,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            proxies: 1,
            now: Time(0),
            last_key: 0,
            endpoints: Vec::new(),
            services: BTreeMap::new(),
            sessions: SessionTable::default(),
            placement_metrics: PlacementMetrics::default(),
        }
    }

    /// Replaces the services with those of a new configuration. A service that is no longer configured is removed once
    /// it has neither ready endpoints nor calls in flight.
    pub fn update_services(&mut self, now: Time, services: &[ServiceSettings]) {
        self.now = now;
        for service in self.services.values_mut() {
            service.settings = None;
        }
        for settings in services {
            self.services.entry(settings.name.clone()).or_insert_with(Service::new).settings =
                Some(settings.clone());
        }
        self.services.retain(|_, service| !service.is_removable());
    }

    /// Replaces the endpoint list. The host decides which of two lists is newer. A draining incarnation stays draining
    /// even if a later list states otherwise.
    pub fn update_endpoints(&mut self, now: Time, list: &EndpointList) {
        self.now = now;
        for endpoint in &mut self.endpoints {
            if endpoint.presence == Presence::Ready {
                endpoint.presence = Presence::Unlisted;
            }
        }
        let identity =
            |entry: &fleet_model::Endpoint| (entry.instance_id.clone(), entry.address, entry.service.clone());
        let mut index_by_identity: BTreeMap<_, usize> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (identity(&endpoint.listed), index))
            .collect();
        let mut listed = vec![false; self.endpoints.len()];
        for entry in &list.endpoints {
            let existing = index_by_identity.get(&identity(entry)).copied();
            match existing {
                Some(index) => {
                    self.endpoints[index].update_from_list(entry);
                    listed[index] = true;
                }
                None => {
                    self.last_key += 1;
                    index_by_identity.insert(identity(entry), self.endpoints.len());
                    self.endpoints.push(Endpoint::new(EndpointKey(self.last_key), entry));
                    listed.push(true);
                }
            }
        }
        let mut listed = listed.into_iter();
        self.endpoints.retain(|endpoint| listed.next() == Some(true) || endpoint.in_flight > 0);
        self.rebuild_service_index();
    }

    /// Rebuilds each service's indices of its ready endpoints, by zone.
    fn rebuild_service_index(&mut self) {
        for service in self.services.values_mut() {
            service.local.clear();
            service.remote.clear();
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.presence == Presence::Ready {
                let service =
                    self.services.entry(endpoint.listed.service.clone()).or_insert_with(Service::new);
                let group =
                    if endpoint.listed.zone == self.zone { &mut service.local } else { &mut service.remote };
                group.push(index);
            }
        }
        self.services.retain(|_, service| !service.is_removable());
    }

    /// Sets the number of proxies, this one included.
    pub fn set_proxy_count(&mut self, now: Time, count: u32) {
        self.now = now;
        self.proxies = count.max(1);
    }

    /// Routes a request. A call that is to be sent counts as in flight at once.
    pub fn pick(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> RoutingDecision {
        self.now = now;
        if retry::is_exhausted(request, history) || now > retry::latest_send_time(request) {
            return self.give_up(now, request, history);
        }
        if now < history.not_before {
            return RoutingDecision::Wait(Span(history.not_before.since(now)));
        }
        if let Some(service) = self.services.get_mut(&request.service) {
            service.admission.sweep(now);
        }
        match self.choose_endpoint(now, request, history) {
            Some(placement) => self.send(request, &placement),
            None => self.wait_or_give_up(now, request, history),
        }
    }

    fn give_up(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> RoutingDecision {
        if let Some(service) = self.services.get_mut(&request.service) {
            service.admission.remove(request);
        }
        RoutingDecision::GiveUp(retry::give_up(history, self.retry_after(now, request)))
    }

    fn send(&mut self, request: &RoutingRequest, placement: &Placement) -> RoutingDecision {
        let unshared_tokens = request.total_tokens.saturating_sub(request.prefix_tokens);
        self.placement_metrics.record(placement, request.continues_conversation, unshared_tokens);
        let endpoint = &mut self.endpoints[placement.index];
        let mut may_open = true;
        if let Some(service) = self.services.get_mut(&request.service) {
            may_open = endpoint.may_open(&service.endpoint_limits(self.proxies));
            service.admission.record_send(request);
            if let Some(prompt) = shared_prompt(request) {
                service.prefix_demand.observe(prompt);
            }
        }
        endpoint.record_send();
        RoutingDecision::Send(SendTarget {
            key: endpoint.key,
            address: endpoint.listed.address,
            instance_id: endpoint.instance_id.clone(),
            may_open_connection: may_open,
        })
    }

    /// Handles a request that no endpoint can accept now: it waits as long as a later send is still useful.
    fn wait_or_give_up(
        &mut self,
        now: Time,
        request: &RoutingRequest,
        history: &AttemptHistory,
    ) -> RoutingDecision {
        let mut wait_deadline = retry::latest_send_time(request);
        if history.execution.guarantees_not_executed() && self.policy.queue_patience {
            wait_deadline = wait_deadline.min(retry::queue_deadline(request));
        }
        if now >= wait_deadline {
            return self.give_up(now, request, history);
        }
        let time_until_usable = self.time_until_usable(now, request);
        let remaining = wait_deadline.since(now).max(MIN_REMAINING_WAIT_MICROS);
        let Some(service) = self.services.get_mut(&request.service) else {
            return RoutingDecision::Wait(Span((MAX_POLL_INTERVAL_MICROS as u64).min(remaining)));
        };
        let wait = time_until_usable
            .unwrap_or_else(|| service.expected_completion_interval())
            .clamp(MIN_POLL_INTERVAL_MICROS, MAX_POLL_INTERVAL_MICROS) as u64;
        let wait = wait.min(remaining);
        if service.admission.enqueue(request, now.after(wait as f64)) {
            RoutingDecision::Wait(Span(wait))
        } else {
            self.give_up(now, request, history)
        }
    }

    /// Time in microseconds until the first endpoint becomes usable, if refusal backoffs and ejections make all of them
    /// unusable now.
    fn time_until_usable(&self, now: Time, request: &RoutingRequest) -> Option<f64> {
        let service = self.services.get(&request.service)?;
        let ready = service.ready_endpoints().map(|index| &self.endpoints[index]);
        let earliest = ready
            .filter(|endpoint| endpoint.is_in_service())
            .map(|endpoint| endpoint.usable_at(now))
            .min()?;
        (earliest > now).then(|| earliest.since(now) as f64)
    }

    /// The expected time until a slot is free, as a `Retry-After` for the client.
    fn retry_after(&self, now: Time, request: &RoutingRequest) -> Span {
        let Some(service) = self.services.get(&request.service) else {
            return Span(RETRY_AFTER_WITHOUT_ENDPOINT_MICROS);
        };
        if !service.ready_endpoints().any(|index| self.endpoints[index].is_in_service()) {
            return Span(RETRY_AFTER_WITHOUT_ENDPOINT_MICROS);
        }
        let wait = self.time_until_usable(now, request).unwrap_or_else(|| service.expected_queue_time());
        Span(wait.clamp(MIN_RETRY_AFTER_MICROS, MAX_RETRY_AFTER_MICROS) as u64)
    }

    fn choose_endpoint(
        &mut self,
        now: Time,
        request: &RoutingRequest,
        history: &AttemptHistory,
    ) -> Option<Placement> {
        let service = self.services.get(&request.service)?;
        if service.admission.must_yield(priority_of(request), &self.policy) {
            return None;
        }
        let candidates = Candidates::new(now, &self.policy, history, service, self.proxies, &self.endpoints);
        let mut affinity_miss = None;
        if candidates.limits.engine || request.prefix_id.is_some() {
            match candidates.by_conversation(request, &self.sessions) {
                Ok(index) => {
                    return Some(Placement { index, reason: PlacementReason::Session, affinity_miss: None });
                }
                Err(miss) => affinity_miss = Some(miss),
            }
            if let Some(prefix) = &request.prefix_id
                && let Some(index) = candidates.by_prefix(prefix, &mut self.rng)
            {
                return Some(Placement { index, reason: PlacementReason::Prefix, affinity_miss });
            }
        }
        if let Some((index, reason)) = candidates.by_load(&mut self.rng) {
            return Some(Placement { index, reason, affinity_miss });
        }
        let index = candidates.first_to_recover()?;
        Some(Placement { index, reason: PlacementReason::FirstToRecover, affinity_miss })
    }

    fn find_endpoint(&self, key: EndpointKey) -> Option<usize> {
        self.endpoints.binary_search_by_key(&key, |endpoint| endpoint.key).ok()
    }

    /// Records a completed call, with the endpoint's load report if the response had one. `time_to_first_byte` is used
    /// only if the call succeeded.
    pub fn record_completion(
        &mut self,
        now: Time,
        key: EndpointKey,
        request: &RoutingRequest,
        outcome: Outcome,
        load: Option<ServerLoad>,
        time_to_first_byte: Span,
    ) {
        self.now = now;
        if let Some(service) = self.services.get_mut(&request.service) {
            service.record_completion(now, request);
            if outcome == Outcome::Success {
                service.record_ttfb(request, time_to_first_byte);
            }
        }
        let Some(index) = self.find_endpoint(key) else { return };
        if let Some(load) = load.filter(|_| self.policy.reported_load) {
            self.endpoints[index].record_load(now, load);
        }
        let limits = self.endpoint_limits(index);
        let jitter = unit_interval(self.rng.next_u64());
        let call = CompletedCall { outcome, time_to_first_byte, may_eject: self.may_eject(index), jitter };
        self.endpoints[index].record_completion(now, &call, &limits, &self.policy);
        if outcome == Outcome::Success
            && (limits.engine || request.prefix_id.is_some())
            && let Some(session) = session_hash(request)
        {
            self.sessions.record_use(session, key);
        }
    }

    /// Whether at least half of the service's endpoints remain if this one is ejected as well.
    fn may_eject(&self, index: usize) -> bool {
        let Some(service) = self.services.get(&self.endpoints[index].listed.service) else { return false };
        let in_service = service.ready_endpoints().filter(|other| self.endpoints[*other].is_in_service());
        let (mut ready, mut unproven) = (0, 0);
        for other in in_service {
            ready += 1;
            unproven += usize::from(other != index && self.endpoints[other].is_unproven());
        }
        (unproven + 1) * 2 <= ready
    }

    fn endpoint_limits(&self, index: usize) -> EndpointLimits {
        match self.services.get(&self.endpoints[index].listed.service) {
            Some(service) => service.endpoint_limits(self.proxies),
            None => Service::new().endpoint_limits(self.proxies),
        }
    }

    /// Records a load report that arrives before its call completes, for example with the response head.
    pub fn record_load(&mut self, now: Time, key: EndpointKey, load: ServerLoad) {
        self.now = now;
        if let Some(index) = self.find_endpoint(key).filter(|_| self.policy.reported_load) {
            self.endpoints[index].record_load(now, load);
        }
    }

    /// Records that this proxy opened a connection to the endpoint.
    pub fn record_connection_opened(&mut self, key: EndpointKey) {
        if let Some(index) = self.find_endpoint(key) {
            self.endpoints[index].connections += 1;
        }
    }

    /// Records that a connection of this proxy to the endpoint was closed.
    pub fn record_connection_closed(&mut self, key: EndpointKey) {
        if let Some(index) = self.find_endpoint(key) {
            let connections = &mut self.endpoints[index].connections;
            *connections = connections.saturating_sub(1);
        }
    }

    /// Records that another incarnation responds at the endpoint's address: it is not used until its list entry
    /// changes.
    pub fn mark_misdirected(&mut self, now: Time, key: EndpointKey) {
        self.now = now;
        if let Some(index) = self.find_endpoint(key) {
            self.endpoints[index].mark_misdirected();
        }
    }

    /// Decides whether to retry a request after an attempt with this outcome, and records the attempt in `history`.
    /// Call [`Router::record_completion`] first.
    pub fn decide_retry(
        &self,
        now: Time,
        request: &RoutingRequest,
        history: &mut AttemptHistory,
        key: EndpointKey,
        outcome: Outcome,
    ) -> RetryDecision {
        retry::record_outcome(history, key, outcome);
        if retry::is_exhausted(request, history) {
            return RetryDecision::GiveUp(retry::give_up(history, self.retry_after(now, request)));
        }
        let is_first_attempt = history.attempts.max(history.unexecuted_attempts) == 1;
        let free_elsewhere = self.has_free_untried_endpoint(now, request, history);
        let never_sent = outcome == Outcome::Void;
        let delay = if history.execution.guarantees_not_executed()
            && (never_sent || (is_first_attempt && free_elsewhere))
        {
            0.0
        } else {
            let random = mix(self.seed ^ mix(now.0 ^ mix(request.arrived_at.0 ^ u64::from(key.0) << 40)));
            let requested_wait = match outcome {
                Outcome::Full(Some(wait)) if !free_elsewhere => wait.0 as f64,
                _ => 0.0,
            };
            let backoff = match self.policy.retry_backoff {
                true => retry::backoff(request, history, unit_interval(random)),
                false => retry::first_backoff(request),
            };
            backoff.max(requested_wait)
        };
        history.not_before = now.after(delay);
        if history.not_before > retry::latest_send_time(request) {
            return RetryDecision::GiveUp(retry::give_up(history, self.retry_after(now, request)));
        }
        RetryDecision::Retry
    }

    /// Timeout of an attempt that is about to be sent; None unless the request is idempotent and has another attempt
    /// and another endpoint left. `history` is the history before the attempt.
    pub fn attempt_timeout(
        &self,
        now: Time,
        request: &RoutingRequest,
        history: &AttemptHistory,
    ) -> Option<Span> {
        let service = self.services.get(&request.service).filter(|_| self.policy.try_timeout)?;
        let timeout = retry::attempt_timeout(now, request, history, service.idempotent_mean_ttfb())?;
        let ready = service.ready_endpoints().map(|index| &self.endpoints[index]);
        let others = ready
            .filter(|other| other.is_in_service() && !history.avoided_endpoints.contains(&other.key))
            .count();
        (others > 1).then_some(timeout)
    }

    /// Whether an endpoint that the request has not tried has a free slot.
    fn has_free_untried_endpoint(
        &self,
        now: Time,
        request: &RoutingRequest,
        history: &AttemptHistory,
    ) -> bool {
        let Some(service) = self.services.get(&request.service) else { return false };
        let candidates = Candidates::new(now, &self.policy, history, service, self.proxies, &self.endpoints);
        service.ready_endpoints().map(|index| &self.endpoints[index]).any(|endpoint| {
            !history.avoided_endpoints.contains(&endpoint.key) && candidates.is_usable(endpoint)
        })
    }

    /// Placement counters since the start of the proxy.
    pub fn placement_metrics(&self) -> PlacementMetrics {
        self.placement_metrics
    }

    /// Snapshot of all endpoints as of the last event, for the admin endpoint.
    pub fn endpoint_views(&self) -> Vec<EndpointView> {
        (0..self.endpoints.len())
            .map(|index| self.endpoints[index].view(self.now, &self.endpoint_limits(index)))
            .collect()
    }
}

/// The prompt of a request that states a shared prefix and its size.
fn shared_prompt(request: &RoutingRequest) -> Option<Prompt> {
    let prefix = request.prefix_id.as_ref().filter(|_| request.prefix_tokens > 0)?;
    Some(Prompt {
        prefix: hash(prefix.as_bytes()),
        prefix_tokens: request.prefix_tokens,
        total_tokens: request.total_tokens,
    })
}

/// Maps a random number to [0, 1).
fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}

//! The decisions: which endpoint, whether to wait, whether to go again.

use crate::admission::priority_of;
use crate::endpoint::{Bounds, EndedCall, Endpoint, Presence};
use crate::hash::{hash, mix};
use crate::placement::Candidates;
use crate::policy::RoutingPolicy;
use crate::prefix_demand::Prompt;
use crate::retry;
use crate::service::Service;
use crate::sessions::Sessions;
use crate::types::*;
use fleet_model::EndpointList;
use message_sender::{Outcome, Span, Time};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Shortest and longest wait before asking again, in microseconds.
const WAIT: (f64, f64) = (5_000.0, 50_000.0);
/// The shortest, where the request's own time ends sooner.
const LEAST_WAIT: u64 = 1_000;
/// Shortest and longest time after which a refused client is asked to come again, in microseconds.
const RETRY_AFTER: (f64, f64) = (20_000.0, 2_000_000.0);
/// The same where no endpoint is known: the list comes that often.
const NO_ENDPOINT: u64 = 500_000;

/// Decides for one proxy.
pub struct Router {
    zone: String,
    policy: RoutingPolicy,
    seed: u64,
    rng: ChaCha8Rng,
    proxies: u32,
    now: Time,
    next_key: u32,
    /// By key, rising.
    endpoints: Vec<Endpoint>,
    services: BTreeMap<String, Service>,
    sessions: Sessions,
}

impl Router {
    /// A router for a proxy in this zone; all its chance comes from the seed.
    pub fn new(zone: String, seed: u64, policy: RoutingPolicy) -> Router {
        Router {
            zone,
            policy,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            proxies: 1,
            now: Time(0),
            next_key: 0,
            endpoints: Vec::new(),
            services: BTreeMap::new(),
            sessions: Sessions::default(),
        }
    }

    /// Takes the services of a new configuration, in place of those before.
    pub fn update_services(&mut self, now: Time, services: &[ServiceSettings]) {
        self.now = now;
        for service in self.services.values_mut() {
            service.terms = None;
        }
        for terms in services {
            self.services.entry(terms.name.clone()).or_insert_with(Service::new).terms = Some(terms.clone());
        }
        self.services.retain(|_, service| !service.idle());
    }

    /// Takes a new list, in place of the one before: which of two is later is for the host to know. An incarnation
    /// that was draining stays so, whatever a list says.
    pub fn update_endpoints(&mut self, now: Time, list: &EndpointList) {
        self.now = now;
        for endpoint in &mut self.endpoints {
            if endpoint.presence == Presence::Ready {
                endpoint.presence = Presence::Unlisted;
            }
        }
        let name =
            |entry: &fleet_model::Endpoint| (entry.instance_id.clone(), entry.address, entry.service.clone());
        let mut known: BTreeMap<_, usize> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (name(&endpoint.listed), index))
            .collect();
        let mut listed = vec![false; self.endpoints.len()];
        for entry in &list.endpoints {
            let same = known.get(&name(entry)).copied();
            match same {
                Some(index) => {
                    self.endpoints[index].list(entry);
                    listed[index] = true;
                }
                None => {
                    self.next_key += 1;
                    known.insert(name(entry), self.endpoints.len());
                    self.endpoints.push(Endpoint::new(EndpointKey(self.next_key), entry));
                    listed.push(true);
                }
            }
        }
        let mut listed = listed.into_iter();
        self.endpoints.retain(|endpoint| listed.next() == Some(true) || endpoint.in_flight > 0);
        self.rebuild_service_index();
    }

    /// Sorts the ready endpoints by service and zone.
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
        self.services.retain(|_, service| !service.idle());
    }

    /// How many proxies there are, this one included.
    pub fn set_proxy_count(&mut self, now: Time, count: u32) {
        self.now = now;
        self.proxies = count.max(1);
    }

    /// Where this request goes now. A send is counted as out at once.
    pub fn pick(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> RoutingDecision {
        self.now = now;
        if retry::spent(request, history) || now > retry::last_send(request) {
            return self.give_up(now, request, history);
        }
        if now < history.not_before {
            return RoutingDecision::Wait(Span(history.not_before.since(now)));
        }
        if let Some(service) = self.services.get_mut(&request.service) {
            service.admission.sweep(now);
        }
        match self.choose(now, request, history) {
            Some(index) => self.send(request, index),
            None => self.hold(now, request, history),
        }
    }

    fn give_up(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> RoutingDecision {
        if let Some(service) = self.services.get_mut(&request.service) {
            service.admission.leave(request);
        }
        RoutingDecision::GiveUp(retry::last_answer(history, self.retry_after(now, request)))
    }

    fn send(&mut self, request: &RoutingRequest, index: usize) -> RoutingDecision {
        let endpoint = &mut self.endpoints[index];
        let mut may_open = true;
        if let Some(service) = self.services.get_mut(&request.service) {
            may_open = endpoint.may_open(&service.bounds(self.proxies));
            service.admission.sent(request);
            if let Some(prompt) = prompt(request) {
                service.prefixes.observe(prompt);
            }
        }
        endpoint.send();
        RoutingDecision::Send(Target {
            key: endpoint.key,
            address: endpoint.listed.address,
            instance_id: endpoint.instance_id.clone(),
            may_open,
        })
    }

    /// No endpoint takes it now: it waits, as long as that makes sense.
    fn hold(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> RoutingDecision {
        let mut until = retry::last_send(request);
        if history.execution.may_promise() && self.policy.queue_patience {
            until = until.min(retry::patience(request));
        }
        if now >= until {
            return self.give_up(now, request, history);
        }
        let opens = self.opens(now, request);
        let left = until.since(now).max(LEAST_WAIT);
        let Some(service) = self.services.get_mut(&request.service) else {
            return RoutingDecision::Wait(Span((WAIT.1 as u64).min(left)));
        };
        let wait = opens.unwrap_or_else(|| service.gap()).clamp(WAIT.0, WAIT.1) as u64;
        let wait = wait.min(left);
        if service.admission.hold(request, now.after(wait as f64)) {
            RoutingDecision::Wait(Span(wait))
        } else {
            self.give_up(now, request, history)
        }
    }

    /// Time until the first of its endpoints opens, if refusals and failures keep all of them closed.
    fn opens(&self, now: Time, request: &RoutingRequest) -> Option<f64> {
        let service = self.services.get(&request.service)?;
        let all = service.all().map(|index| &self.endpoints[index]);
        let first = all.filter(|endpoint| endpoint.in_service()).map(|endpoint| endpoint.opens(now)).min()?;
        (first > now).then(|| first.since(now) as f64)
    }

    /// When a place is expected.
    fn retry_after(&self, now: Time, request: &RoutingRequest) -> Span {
        let Some(service) = self.services.get(&request.service) else { return Span(NO_ENDPOINT) };
        if !service.all().any(|index| self.endpoints[index].in_service()) {
            return Span(NO_ENDPOINT);
        }
        let wait = self.opens(now, request).unwrap_or_else(|| service.turn());
        Span(wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1) as u64)
    }

    fn choose(&mut self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> Option<usize> {
        let service = self.services.get(&request.service)?;
        if service.admission.yields(priority_of(request), &self.policy) {
            return None;
        }
        let candidates = Candidates::new(now, &self.policy, history, service, self.proxies, &self.endpoints);
        if candidates.bounds.engine || request.prefix_id.is_some() {
            let last = session_hash(request).and_then(|session| self.sessions.get(session));
            let last = last.and_then(|key| self.find(key));
            if let Some(index) = candidates.by_session(last, &request.service) {
                return Some(index);
            }
            if let Some(prefix) = &request.prefix_id
                && let Some(index) = candidates.by_prefix(prefix, &mut self.rng)
            {
                return Some(index);
            }
        }
        candidates.by_load(&mut self.rng).or_else(|| candidates.least_bad())
    }

    fn find(&self, key: EndpointKey) -> Option<usize> {
        self.endpoints.binary_search_by_key(&key, |endpoint| endpoint.key).ok()
    }

    /// A call has ended; `elapsed` is the time to its first byte.
    pub fn record_completion(
        &mut self,
        now: Time,
        key: EndpointKey,
        request: &RoutingRequest,
        outcome: Outcome,
        load: Option<ServerLoad>,
        elapsed: Span,
    ) {
        self.now = now;
        if let Some(service) = self.services.get_mut(&request.service) {
            service.end(now, request);
            if outcome == Outcome::Success {
                service.learn_pace(request, elapsed);
            }
        }
        let Some(index) = self.find(key) else { return };
        if let Some(load) = load.filter(|_| self.policy.reported_load) {
            self.endpoints[index].report(now, load);
        }
        let bounds = self.bounds(index);
        let jitter = unit_interval(self.rng.next_u64());
        let call = EndedCall { outcome, elapsed, may_eject: self.may_eject(index), jitter };
        self.endpoints[index].end(now, &call, &bounds, &self.policy);
        if outcome == Outcome::Success
            && (bounds.engine || request.prefix_id.is_some())
            && let Some(session) = session_hash(request)
        {
            self.sessions.put(session, key);
        }
    }

    /// Whether half of its service is left without it.
    fn may_eject(&self, index: usize) -> bool {
        let Some(service) = self.services.get(&self.endpoints[index].listed.service) else { return false };
        let all = service.all().filter(|other| self.endpoints[*other].in_service());
        let (mut ready, mut in_flight) = (0, 0);
        for other in all {
            ready += 1;
            in_flight += usize::from(other != index && self.endpoints[other].unproven());
        }
        (in_flight + 1) * 2 <= ready
    }

    fn bounds(&self, index: usize) -> Bounds {
        match self.services.get(&self.endpoints[index].listed.service) {
            Some(service) => service.bounds(self.proxies),
            None => Service::new().bounds(self.proxies),
        }
    }

    /// An endpoint reported its load.
    pub fn record_load(&mut self, now: Time, key: EndpointKey, load: ServerLoad) {
        self.now = now;
        if let Some(index) = self.find(key).filter(|_| self.policy.reported_load) {
            self.endpoints[index].report(now, load);
        }
    }

    /// A connection was opened.
    pub fn connection_opened(&mut self, key: EndpointKey) {
        if let Some(index) = self.find(key) {
            self.endpoints[index].connections += 1;
        }
    }

    /// A connection was closed.
    pub fn connection_closed(&mut self, key: EndpointKey) {
        if let Some(index) = self.find(key) {
            let connections = &mut self.endpoints[index].connections;
            *connections = connections.saturating_sub(1);
        }
    }

    /// Another incarnation answers at its address: it is closed until the list says something new of it.
    pub fn mark_misdirected(&mut self, now: Time, key: EndpointKey) {
        self.now = now;
        if let Some(index) = self.find(key) {
            self.endpoints[index].misdirect();
        }
    }

    /// Whether a request goes again after an attempt that ended like this; to be asked after [`Router::record_completion`]. What
    /// the attempt was is noted in `history`.
    pub fn decide_retry(
        &self,
        now: Time,
        request: &RoutingRequest,
        history: &mut AttemptHistory,
        key: EndpointKey,
        outcome: Outcome,
    ) -> RetryDecision {
        retry::note(history, key, outcome);
        if retry::spent(request, history) {
            return RetryDecision::GiveUp(retry::last_answer(history, self.retry_after(now, request)));
        }
        let first = history.attempts.max(history.unexecuted) == 1;
        let elsewhere = self.free_elsewhere(now, request, history);
        let unsent = outcome == Outcome::Void;
        let wait = if history.execution.may_promise() && (unsent || (first && elsewhere)) {
            0.0
        } else {
            let random = mix(self.seed ^ mix(now.0 ^ mix(request.arrived_at.0 ^ u64::from(key.0) << 40)));
            let told = match outcome {
                Outcome::Full(Some(told)) if !elsewhere => told.0 as f64,
                _ => 0.0,
            };
            let backoff = match self.policy.retry_backoff {
                true => retry::backoff(request, history, unit_interval(random)),
                false => retry::first_backoff(request),
            };
            backoff.max(told)
        };
        history.not_before = now.after(wait);
        if history.not_before > retry::last_send(request) {
            return RetryDecision::GiveUp(retry::last_answer(history, self.retry_after(now, request)));
        }
        RetryDecision::Retry
    }

    /// How long an attempt that is about to be sent may be silent before another endpoint is tried: only an
    /// idempotent one is, where there is an attempt left and another endpoint to make it. `history` is what came before it.
    pub fn try_timeout(&self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> Option<Span> {
        let service = self.services.get(&request.service).filter(|_| self.policy.try_timeout)?;
        let timeout = retry::try_timeout(now, request, history, service.repeatable_pace())?;
        let ready = service.all().map(|index| &self.endpoints[index]);
        let others =
            ready.filter(|other| other.in_service() && !history.avoided.contains(&other.key)).count();
        (others > 1).then_some(timeout)
    }

    /// Whether an endpoint that it has not met has a place.
    fn free_elsewhere(&self, now: Time, request: &RoutingRequest, history: &AttemptHistory) -> bool {
        let Some(service) = self.services.get(&request.service) else { return false };
        let candidates = Candidates::new(now, &self.policy, history, service, self.proxies, &self.endpoints);
        service
            .all()
            .map(|index| &self.endpoints[index])
            .any(|endpoint| !history.avoided.contains(&endpoint.key) && candidates.usable(endpoint))
    }

    /// All endpoints as they stood at the last event.
    pub fn endpoint_views(&self) -> Vec<EndpointView> {
        (0..self.endpoints.len())
            .map(|index| self.endpoints[index].view(self.now, &self.bounds(index)))
            .collect()
    }
}

fn session_hash(request: &RoutingRequest) -> Option<u64> {
    let session = request.session.as_ref()?;
    Some(mix(hash(request.service.as_bytes()) ^ hash(session.as_bytes()).rotate_left(1)))
}

/// How much of its prompt a request shares with others, where it tells.
fn prompt(request: &RoutingRequest) -> Option<Prompt> {
    let prefix = request.prefix_id.as_ref().filter(|_| request.prefix_tokens > 0)?;
    Some(Prompt {
        prefix: hash(prefix.as_bytes()),
        prefix_tokens: request.prefix_tokens,
        total_tokens: request.total_tokens,
    })
}

/// Within 0 and 1.
fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}

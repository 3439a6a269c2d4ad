//! State of one service: its settings, ready endpoints, admission queue and mean time to first byte.

use crate::admission::AdmissionQueue;
use crate::endpoint::EndpointLimits;
use crate::prefix_demand::PrefixDemand;
use crate::types::{RoutingRequest, ServiceSettings};
use message_sender::{Span, Time};
use operator_config::RouteKind;

/// Weight of a new observation in a moving mean.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Assumed interval between completions before any is observed, in microseconds.
const INITIAL_COMPLETION_INTERVAL_MICROS: f64 = 50_000.0;
/// Upper bound of an observed interval between completions, in microseconds.
const MAX_COMPLETION_INTERVAL_MICROS: u64 = 1_000_000;
/// Slots of an endpoint for which neither the list nor the configuration states them.
const DEFAULT_SLOTS: u32 = 8;
/// Share of an endpoint's maximum connections that all proxies together use.
const CONNECTION_UTILIZATION: f64 = 0.9;
/// Lower bound of a proxy's share of an endpoint's connections.
const MIN_CONNECTIONS: u32 = 2;

pub(crate) struct Service {
    /// None if the configuration does not name the service.
    pub(crate) settings: Option<ServiceSettings>,
    /// Indices of the endpoints in this proxy's zone that are listed as ready.
    pub(crate) local: Vec<usize>,
    /// Indices of the endpoints in other zones that are listed as ready.
    pub(crate) remote: Vec<usize>,
    /// Moving mean of the time to first byte, in microseconds; 0 before the first response.
    pub(crate) mean_ttfb: f64,
    /// Moving mean of the time to first byte of idempotent requests, in microseconds; 0 before the first response.
    idempotent_mean_ttfb: f64,
    pub(crate) admission: AdmissionQueue,
    pub(crate) prefix_demand: PrefixDemand,
    /// Moving mean of the interval between completions, in microseconds.
    completion_interval: f64,
    last_completion: Time,
}

impl Service {
    pub(crate) fn new() -> Service {
        Service {
            settings: None,
            local: Vec::new(),
            remote: Vec::new(),
            mean_ttfb: 0.0,
            idempotent_mean_ttfb: 0.0,
            admission: AdmissionQueue::default(),
            prefix_demand: PrefixDemand::default(),
            completion_interval: INITIAL_COMPLETION_INTERVAL_MICROS,
            last_completion: Time(0),
        }
    }

    /// Limits of each endpoint, for one of `proxies` proxies.
    pub(crate) fn endpoint_limits(&self, proxies: u32) -> EndpointLimits {
        let settings = self.settings.as_ref();
        let max_connections = settings.map_or(0, |settings| settings.max_connections);
        let share = (CONNECTION_UTILIZATION * f64::from(max_connections) / f64::from(proxies)) as u32;
        EndpointLimits {
            engine: settings.is_some_and(|settings| settings.is_engine),
            proxies,
            max_connections: if max_connections == 0 { u32::MAX } else { share.max(MIN_CONNECTIONS) },
            default_slots: settings.and_then(|settings| settings.slots).unwrap_or(DEFAULT_SLOTS),
            cache_tokens: settings.and_then(|settings| settings.cache_tokens).unwrap_or(0),
        }
    }

    /// Whether the service may be removed: not configured, without ready endpoints and without calls in flight.
    pub(crate) fn is_removable(&self) -> bool {
        self.settings.is_none() && self.local.is_empty() && self.remote.is_empty() && self.admission.is_idle()
    }

    /// Indices of all endpoints that are listed as ready.
    pub(crate) fn ready_endpoints(&self) -> impl Iterator<Item = usize> {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Records a completed call, for the priorities and for the interval between completions.
    pub(crate) fn record_completion(&mut self, now: Time, request: &RoutingRequest) {
        self.admission.record_completion(request);
        if self.last_completion > Time(0) {
            self.completion_interval += SMOOTHING_FACTOR
                * (now.since(self.last_completion).min(MAX_COMPLETION_INTERVAL_MICROS) as f64
                    - self.completion_interval);
        }
        self.last_completion = now;
    }

    /// Records the time to first byte of a successful call.
    pub(crate) fn record_ttfb(&mut self, request: &RoutingRequest, time_to_first_byte: Span) {
        let update_mean = |mean: &mut f64| {
            let sample = time_to_first_byte.0 as f64;
            *mean = if *mean > 0.0 { *mean + SMOOTHING_FACTOR * (sample - *mean) } else { sample };
        };
        update_mean(&mut self.mean_ttfb);
        if request.kind == RouteKind::Idempotent {
            update_mean(&mut self.idempotent_mean_ttfb);
        }
    }

    /// Moving mean of the time to first byte of idempotent requests, in microseconds; 0 before the first response.
    pub(crate) fn idempotent_mean_ttfb(&self) -> f64 {
        self.idempotent_mean_ttfb
    }

    /// Expected time until a slot becomes free, in microseconds.
    pub(crate) fn expected_completion_interval(&self) -> f64 {
        self.completion_interval
    }

    /// Expected time until a slot becomes free for a new request after all waiting requests are served, in
    /// microseconds.
    pub(crate) fn expected_queue_time(&self) -> f64 {
        self.completion_interval * (self.admission.waiting_count() + 1) as f64
    }
}

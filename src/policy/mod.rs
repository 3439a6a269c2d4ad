//! The sending policy of a sender; its events, actions and settings are in `src/interface.rs`.
//!
//! A message is one operation: it is retried only after a transient failure and as its idempotency permits,
//! after an exponential backoff or the reported `Retry-After`. Scheduling is fair: a free slot goes to the
//! waiting destination with the fewest calls in flight. A [`Route`] holds what was learned about one
//! endpoint, or about one destination whose endpoints share a limit; a send must be permitted by each route
//! it uses.
//!
//! The policy is deterministic: time comes with each step, and randomness from a seeded generator. I/O,
//! clocks and storage are left to the host.

mod connections;
mod draining;
mod endpoint_selection;
mod fair_scheduling;
mod idempotency;
mod load_shedding;
mod message_lifecycle;
mod outage;
mod outcomes;
mod rate_limit;
mod retry;
mod sending_rules;
mod state;
mod timeouts;

use crate::interface::{
    Action, DestinationId, Discovery, EndpointId, Event, Listing, MessageId, OrderKey, Settings,
    SettingsError, Time,
};
use connections::MAX_IDLE_TOLERANCES;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use slab::Slab;
use state::{Call, Destination, Endpoint, KeyState, PendingMessage, Route};
use std::collections::BTreeMap;

/// Time over which a route's call rate is averaged, in seconds: longer than a burst, shorter than an outage.
const RATE_WINDOW_S: f64 = 4.0;
/// Minimum delay of a timer, in step periods.
const MIN_TIMER_PERIODS: u64 = 4;

/// The sending policy of one sender. Its serialized form is its complete state, see [`Sender::taken_over`].
#[derive(Serialize, Deserialize)]
pub struct Sender {
    settings: Settings,
    #[serde(skip, default = "unseeded")]
    random: ChaCha8Rng,
    now: Time,
    pending: BTreeMap<MessageId, PendingMessage>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    routes: Slab<Route>,
    /// Maximum number of endpoints listed at once so far.
    max_listed: usize,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    keys: BTreeMap<OrderKey, KeyState>,
    /// Complete but not yet acknowledged by the client; until then the ordering key is not released.
    unacknowledged: BTreeMap<MessageId, OrderKey>,
    /// When the process stops, during shutdown.
    shutdown_at: Option<Time>,
    timer_at: Option<Time>,
    list_request_at: Option<Time>,
    list_failures: u32,
    /// By kind: how long an idle connection is worth keeping, in overload tolerances.
    idle_tolerances: Vec<f64>,
    /// Smoothed share of calls that get no answer.
    lost_share: f64,
    /// When an answer was last known to be lost.
    lost_seen_at: Option<Time>,
    /// Seconds for which an idle connection is trusted to be alive.
    trusted_idle_s: f64,
    #[serde(skip)]
    log: Vec<String>,
}

impl Sender {
    /// A sender with no messages and no endpoint list.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Sender {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time(0),
            pending: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            destinations: BTreeMap::new(),
            routes: Slab::new(),
            max_listed: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            keys: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            shutdown_at: None,
            timer_at: None,
            list_request_at: (settings.discovery == Discovery::OnRequest).then_some(Time(0)),
            list_failures: 0,
            idle_tolerances: vec![MAX_IDLE_TOLERANCES; settings.kinds.len()],
            lost_share: 0.0,
            lost_seen_at: None,
            trusted_idle_s: f64::INFINITY,
            log: Vec::new(),
            settings,
        })
    }

    /// Resumes a sender that another process serialized, under this process's settings.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn taken_over(mut self, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        self.random = ChaCha8Rng::seed_from_u64(seed);
        self.timer_at = None;
        self.apply_settings(settings);
        Ok(self)
    }

    /// Handles all `events`, then schedules once; appends the actions for the host to `actions`.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.trusted_idle_s *= (seconds(now.since(self.now)) / RATE_WINDOW_S).exp();
        self.now = now;
        for event in events {
            self.handle(event, actions);
        }
        self.evict_removed(actions);
        self.end_expired(actions);
        self.shed_load(actions);
        self.schedule(actions);
        self.cancel_lost(actions);
        if self.list_request_at.take_if(|due| *due <= now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.set_timer(actions);
        actions.extend(self.log.drain(..).map(Action::Log));
    }

    fn handle(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(message) => self.accept(*message),
            Event::Resumed(resumed) => self.resume(resumed),
            Event::RetryAfterReported { endpoint, wait } => self.record_retry_after(*endpoint, *wait),
            Event::OutcomeAcknowledged(id) => {
                if let Some(key) = self.unacknowledged.remove(id) {
                    self.release_key(*id, key);
                }
            }
            Event::ShutdownScheduled(end) => self.shutdown_at = Some(*end),
            Event::AttemptCompleted { .. } => self.attempt_completed(event, actions),
            Event::ClientCancelled(id) => self.cancel(*id),
            Event::FullList(entries) => {
                for endpoint in self.endpoints.values_mut() {
                    endpoint.listing = Listing::Removed;
                }
                self.update_endpoints(entries);
            }
            Event::ListChanges(entries) => self.update_endpoints(entries),
            Event::Excluded(endpoint) => self.exclude(*endpoint, actions),
            Event::Included(endpoint) => self.include(*endpoint, actions),
            Event::SettingsChanged(settings) => self.apply_settings((**settings).clone()),
            Event::ListFailed => {
                // The list's server may be overloaded: retry with exponential backoff and jitter.
                self.list_failures = (self.list_failures + 1).min(4);
                let max_wait = self.settings.rules.must_ask_in.0 as f64 / 2.0;
                let wait = self.settings.connect_timeout.0 as f64 * f64::from(1 << self.list_failures) / 4.0;
                self.list_request_at = Some(self.now.after(wait.min(max_wait) * (0.5 + self.random())));
            }
            Event::HealthCheckCompleted { .. } => {}
            Event::TimerFired => self.timer_at = None,
        }
    }

    fn apply_settings(&mut self, settings: Settings) {
        self.idle_tolerances.resize(settings.kinds.len(), MAX_IDLE_TOLERANCES);
        self.settings = settings;
    }

    fn random(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }
}

fn unseeded() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(0)
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

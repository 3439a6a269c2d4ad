//! The endpoint list, draining and excluded endpoints, and the shutdown of this process.

use super::Sender;
use super::state::{Endpoint, Health, Route};
use super::timeouts::OVERDUE_DEVIATIONS;
use crate::interface::{Action, EndpointId, Entry, Hints, Listing, Time};

impl Sender {
    /// Counts the listed endpoints, and those of them that are draining, excluded or in an outage.
    pub fn members(&self) -> (usize, usize) {
        let listed = || self.endpoints.values().filter(|endpoint| endpoint.listing != Listing::Removed);
        let down = |endpoint: &&Endpoint| matches!(self.routes[endpoint.route].health, Health::Down(_));
        (listed().count(), listed().filter(|endpoint| !endpoint.in_service() || down(endpoint)).count())
    }

    pub(super) fn update_endpoints(&mut self, entries: &[Entry]) {
        self.list_failures = 0;
        for entry in entries.iter().filter(|entry| entry.kind.0 < self.settings.kinds.len()) {
            let independent = self.settings.kinds[entry.kind.0].independent_routes;
            if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
                known.listing = entry.listing;
                continue;
            }
            let hint = if self.settings.hints == Hints::None { 0.0 } else { entry.hint };
            let Entry { endpoint, destination, zone, kind, listing, .. } = *entry;
            let state = self.destinations.entry(destination).or_default();
            state.endpoints.push(endpoint);
            if !independent && state.shared_route.is_none() {
                state.shared_route = Some(self.routes.insert(Route::new(destination, None, hint)));
            }
            let hint = if independent { hint } else { 0.0 };
            let route = self.routes.insert(Route::new(destination, Some(endpoint), hint));
            let added = Endpoint { destination, zone, kind, listing, excluded: false, route };
            self.endpoints.insert(endpoint, added);
        }
        self.max_listed = self.max_listed.max(self.members().0);
        for destination in self.destinations.values() {
            let Some(shared) = destination.shared_route else { continue };
            let sharing: Vec<&Endpoint> = destination
                .endpoints
                .iter()
                .map(|id| &self.endpoints[id])
                .filter(|endpoint| endpoint.in_service())
                .collect();
            let equal_share = self.routes[shared].known_limit / sharing.len().max(1) as f64;
            sharing.iter().for_each(|endpoint| self.routes[endpoint.route].known_limit = equal_share);
        }
    }

    /// Evicts removed endpoints, oldest first. Their state is retained, as they may return, but at most twice
    /// as many endpoints as were ever listed at once: replaced endpoints would accumulate.
    pub(super) fn evict_removed(&mut self, actions: &mut Vec<Action>) {
        let surplus = self.endpoints.len().saturating_sub(2 * self.max_listed);
        let idle = |endpoint: &Endpoint| {
            endpoint.listing == Listing::Removed && self.routes[endpoint.route].in_flight.is_empty()
        };
        let removed = self.endpoints.iter().filter(|(_, endpoint)| idle(endpoint)).map(|(id, _)| *id);
        for id in removed.take(surplus).collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.remove(&id) else { continue };
            self.routes.remove(endpoint.route);
            let destination = self.destinations.entry(endpoint.destination).or_default();
            destination.endpoints.retain(|other| *other != id);
            if destination.endpoints.is_empty() {
                destination.shared_route.map(|route| self.routes.remove(route));
                self.destinations.remove(&endpoint.destination);
            }
            actions.push(Action::Forget(id));
        }
    }

    /// Stops sending to the endpoint; calls in flight complete.
    pub(super) fn exclude(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        if !std::mem::replace(&mut state.excluded, true) {
            let route = &mut self.routes[state.route];
            route.refresh(self.now, &self.settings);
            // As in an outage, its rate is frozen: slow start begins from it.
            route.health = Health::Down(Time(u64::MAX));
            actions.push(Action::CloseIdle(endpoint));
        }
    }

    /// Returns an excluded endpoint to service. It is cold and without connections: as after an outage it has
    /// a slow start, based on its rate when excluded or on its share of the limit.
    pub(super) fn include(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(state) = self.endpoints.get_mut(&endpoint).filter(|state| state.excluded) else { return };
        state.excluded = false;
        let (now, route) = (self.now, &mut self.routes[state.route]);
        (route.refilled_at, route.tokens) = (now, 0.0);
        (route.health, route.failure_rate, route.consecutive_failures, route.rejections) =
            (Health::Recovering(now), 0.0, 0, 0);
        actions.push(Action::CloseIdle(endpoint));
    }

    /// Whether a call's answer is expected before the process stops, if it is shutting down.
    pub(super) fn ends_before_shutdown(&self, route: &Route) -> bool {
        let slowest = if route.latency > 0.0 { route.latency_bound(OVERDUE_DEVIATIONS) } else { 0.0 };
        let latency = slowest.max(self.settings.period.0 as f64);
        self.shutdown_at.is_none_or(|end| self.now.after(latency) < end)
    }
}

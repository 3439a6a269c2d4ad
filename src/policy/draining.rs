//! The endpoint list, draining and excluded endpoints, and the shutdown of this process.

use super::Sender;
use super::state::{Endpoint, Health, Route};
use super::timeouts::OVERDUE_DEVIATIONS;
use crate::interface::{Action, EndpointId, Entry, Hints, Listing, Time};

impl Sender {
    /// Listed endpoints, and those of them that nothing is sent to: draining, excluded or in an outage.
    pub fn members(&self) -> (usize, usize) {
        let listed = || self.endpoints.values().filter(|at| at.listing != Listing::Removed);
        let down = |at: &&Endpoint| matches!(self.routes[at.route].health, Health::Down(_));
        (listed().count(), listed().filter(|at| !at.in_service() || down(at)).count())
    }

    pub(super) fn update_endpoints(&mut self, entries: &[Entry]) {
        self.list_failures = 0;
        for entry in entries.iter().filter(|e| e.kind.0 < self.settings.kinds.len()) {
            let independent = self.settings.kinds[entry.kind.0].independent_routes;
            if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
                known.listing = entry.listing;
                continue;
            }
            let hint = if self.settings.hints == Hints::None { 0.0 } else { entry.hint };
            let Entry { endpoint, destination, zone, kind, listing, .. } = *entry;
            let d = self.destinations.entry(destination).or_default();
            d.endpoints.push(endpoint);
            if !independent && d.shared_route.is_none() {
                d.shared_route = Some(self.routes.insert(Route::new(destination, None, hint)));
            }
            let hint = if independent { hint } else { 0.0 };
            let route = self.routes.insert(Route::new(destination, Some(endpoint), hint));
            let new = Endpoint { destination, zone, kind, listing, excluded: false, route };
            self.endpoints.insert(endpoint, new);
        }
        self.max_listed = self.max_listed.max(self.members().0);
        for d in self.destinations.values() {
            let Some(shared) = d.shared_route else { continue };
            let sharing: Vec<&Endpoint> =
                d.endpoints.iter().map(|e| &self.endpoints[e]).filter(|at| at.in_service()).collect();
            let part = self.routes[shared].known_limit / sharing.len().max(1) as f64;
            sharing.iter().for_each(|at| self.routes[at.route].known_limit = part);
        }
    }

    /// Removed endpoints may return, and are remembered: in all at most twice as many as were ever listed at
    /// once, or replaced endpoints would accumulate. The oldest is evicted first.
    pub(super) fn evict_removed(&mut self, actions: &mut Vec<Action>) {
        let surplus = self.endpoints.len().saturating_sub(2 * self.max_listed);
        let idle = |at: &Endpoint| at.listing == Listing::Removed && self.routes[at.route].out.is_empty();
        let removed = self.endpoints.iter().filter(|(_, at)| idle(at)).map(|(id, _)| *id);
        for id in removed.take(surplus).collect::<Vec<_>>() {
            let Some(at) = self.endpoints.remove(&id) else { continue };
            self.routes.remove(at.route);
            let destination = self.destinations.entry(at.destination).or_default();
            destination.endpoints.retain(|other| *other != id);
            if destination.endpoints.is_empty() {
                destination.shared_route.map(|route| self.routes.remove(route));
                self.destinations.remove(&at.destination);
            }
            actions.push(Action::Forget(id));
        }
    }

    /// Nothing more is sent to the endpoint; calls in flight complete.
    pub(super) fn exclude(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.endpoints.get_mut(&endpoint) else { return };
        if !std::mem::replace(&mut at.excluded, true) {
            let route = &mut self.routes[at.route];
            route.refresh(self.now, &self.settings);
            // Its rate is frozen, as in an outage: its slow start is measured by it.
            route.health = Health::Down(Time(u64::MAX));
            actions.push(Action::CloseIdle(endpoint));
        }
    }

    /// An endpoint returned to service starts cold and without connections: as after an outage it has a slow
    /// start, from its rate when excluded, or else from its part of the limit.
    pub(super) fn include(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.endpoints.get_mut(&endpoint).filter(|at| at.excluded) else { return };
        at.excluded = false;
        let (now, route) = (self.now, &mut self.routes[at.route]);
        (route.refilled_at, route.tokens) = (now, 0.0);
        (route.health, route.failure_rate, route.consecutive_failures, route.rejections) =
            (Health::Recovering(now), 0.0, 0, 0);
        actions.push(Action::CloseIdle(endpoint));
    }

    /// During shutdown, no call is begun whose answer would arrive after the process stops.
    pub(super) fn ends_before_shutdown(&self, route: &Route) -> bool {
        let known = if route.latency > 0.0 { route.latency_bound(OVERDUE_DEVIATIONS) } else { 0.0 };
        let answer = known.max(self.settings.period.0 as f64);
        self.shutdown_at.is_none_or(|end| self.now.after(answer) < end)
    }
}

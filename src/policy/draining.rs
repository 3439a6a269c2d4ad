//! The endpoint list, draining and excluded endpoints, and the shutdown of this process.

use super::Sender;
use super::state::{Endpoint, Health, Line};
use super::timeouts::OVERDUE_DEVS;
use crate::interface::{Action, EndpointId, Entry, Hints, Listing, Time};

impl Sender {
    /// Endpoints on the list, and those of them that nothing goes to now: draining, excluded or in an outage.
    pub fn members(&self) -> (usize, usize) {
        let listed = || self.endpoints.values().filter(|at| at.listing != Listing::Removed);
        let down = |at: &&Endpoint| matches!(self.lines[at.line].health, Health::Down(_));
        (listed().count(), listed().filter(|at| !at.in_service() || down(at)).count())
    }

    pub(super) fn list(&mut self, entries: &[Entry]) {
        self.list_failures = 0;
        for entry in entries.iter().filter(|e| e.kind.0 < self.settings.kinds.len()) {
            let apart = self.settings.kinds[entry.kind.0].independent_routes;
            if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
                known.listing = entry.listing;
                continue;
            }
            let hint = if self.settings.hints == Hints::None { 0.0 } else { entry.hint };
            let Entry { endpoint, destination, zone, kind, listing, .. } = *entry;
            let d = self.destinations.entry(destination).or_default();
            d.endpoints.push(endpoint);
            if !apart && d.shared.is_none() {
                d.shared = Some(self.lines.insert(Line::new(destination, None, hint)));
            }
            let hint = if apart { hint } else { 0.0 };
            let line = self.lines.insert(Line::new(destination, Some(endpoint), hint));
            let new = Endpoint { destination, zone, kind, listing, excluded: false, line };
            self.endpoints.insert(endpoint, new);
        }
        self.most_listed = self.most_listed.max(self.members().0);
        for d in self.destinations.values() {
            let Some(shared) = d.shared else { continue };
            let sharing: Vec<&Endpoint> =
                d.endpoints.iter().map(|e| &self.endpoints[e]).filter(|at| at.in_service()).collect();
            let part = self.lines[shared].limit / sharing.len().max(1) as f64;
            sharing.iter().for_each(|at| self.lines[at.line].limit = part);
        }
    }

    /// What the list drops may come back, and is remembered: but no more in all than twice what it ever named
    /// at once, or replaced endpoints would add up for good. Who came first is forgotten first.
    pub(super) fn forget_gone(&mut self, actions: &mut Vec<Action>) {
        let over = self.endpoints.len().saturating_sub(2 * self.most_listed);
        let idle = |at: &Endpoint| at.listing == Listing::Removed && self.lines[at.line].out.is_empty();
        let gone = self.endpoints.iter().filter(|(_, at)| idle(at)).map(|(id, _)| *id);
        for id in gone.take(over).collect::<Vec<_>>() {
            let Some(at) = self.endpoints.remove(&id) else { continue };
            self.lines.remove(at.line);
            let destination = self.destinations.entry(at.destination).or_default();
            destination.endpoints.retain(|other| *other != id);
            if destination.endpoints.is_empty() {
                destination.shared.map(|line| self.lines.remove(line));
                self.destinations.remove(&at.destination);
            }
            actions.push(Action::Forget(id));
        }
    }

    /// Nothing more goes to the endpoint; what is out there comes to its end.
    pub(super) fn exclude(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.endpoints.get_mut(&endpoint) else { return };
        if !std::mem::replace(&mut at.excluded, true) {
            let line = &mut self.lines[at.line];
            line.refresh(self.now, &self.settings);
            // Its rate stands still, as in an outage: the pace of its return is measured by it.
            line.health = Health::Down(Time(u64::MAX));
            actions.push(Action::CloseIdle(endpoint));
        }
    }

    /// An endpoint that is put back comes cold and with no connection left: as after an outage it is paced by
    /// the ramp, from the rate that it had when it went, or else from its part of the limit.
    pub(super) fn include(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let Some(at) = self.endpoints.get_mut(&endpoint).filter(|at| at.excluded) else { return };
        at.excluded = false;
        let (now, line) = (self.now, &mut self.lines[at.line]);
        (line.tokens_at, line.tokens) = (now, 0.0);
        (line.health, line.failing, line.streak, line.fulls) = (Health::Returning(now), 0.0, 0, 0);
        actions.push(Action::CloseIdle(endpoint));
    }

    /// Winding down, no call is begun whose answer would come after the process's end.
    pub(super) fn ends_before_process(&self, line: &Line) -> bool {
        let known = if line.latency > 0.0 { line.slowest(OVERDUE_DEVS) } else { 0.0 };
        let answer = known.max(self.settings.period.0 as f64);
        self.ends_at.is_none_or(|end| self.now.after(answer) < end)
    }
}

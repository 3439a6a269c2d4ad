//! The endpoint list, which maps endpoint ids to the policy's numbers.
use crate::net::tuning::Tuning;
use message_sender::wire::{Member, Phase, Targets};
use message_sender::{DestinationId, EndpointId, Entry, Event, Listing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// An endpoint that the policy has not forgotten.
pub(super) struct Endpoint {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    /// Maximum number of messages in a call to it.
    pub(super) max_batch: usize,
}

/// The endpoints that the policy has not forgotten. Numbers are never reused: a call that completes late refers to
/// its endpoint by number.
#[derive(Default)]
pub(super) struct EndpointList {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    numbers: HashMap<String, EndpointId>,
    next_number: u32,
    pub(super) revision: u64,
}

/// An endpoint in a handover: number, id, address, zone, maximum number of messages in a call.
pub(super) type HandoverEntry = (EndpointId, String, SocketAddr, String, usize);

impl EndpointList {
    /// The list that another process of this sender handed over.
    pub(super) fn inherited(revision: u64, next_number: u32, entries: Vec<HandoverEntry>) -> Self {
        let mut list = Self { revision, next_number, ..Self::default() };
        for (number, id, address, zone, max_batch) in entries {
            list.numbers.insert(id.clone(), number);
            list.endpoints.insert(number, Endpoint { id, address, zone, max_batch });
        }
        list
    }

    /// The next free number and the endpoints, for a handover.
    pub(super) fn handover_entries(&self) -> (u32, Vec<HandoverEntry>) {
        let entry = |(number, e): (&EndpointId, &Endpoint)| {
            (*number, e.id.clone(), e.address, e.zone.clone(), e.max_batch)
        };
        (self.next_number, self.endpoints.iter().map(entry).collect())
    }

    pub(super) fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&endpoint)
    }

    pub(super) fn number(&self, id: &str) -> Option<EndpointId> {
        self.numbers.get(id).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Removes an endpoint that the policy has forgotten.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        if let Some(removed) = self.endpoints.remove(&endpoint) {
            self.numbers.remove(&removed.id);
        }
    }

    /// Applies a list or changes from discovery. Returns the events for the policy, which one step must handle
    /// together: otherwise something could be sent to a new endpoint whose exclusion is still pending. `excluded`
    /// says whether operators took the endpoint with this id out of service.
    pub(super) fn update(
        &mut self,
        targets: Targets,
        tuning: &Tuning,
        excluded: impl Fn(&str) -> bool,
    ) -> Vec<Event> {
        self.revision = targets.revision;
        let mut entries = Vec::with_capacity(targets.members.len());
        let mut exclusions = Vec::new();
        for member in targets.members {
            let (names, flavor, locality) = (&tuning.names, &member.flavor, &member.locality);
            let (Some(kind), Some(zone)) = (names.kinds.get(flavor), names.zones.get(locality)) else {
                tracing::warn!("discovery: endpoint {} has an unknown kind or zone; ignoring it", member.id);
                continue;
            };
            let listing = match member.phase {
                Phase::Serving => Listing::Active,
                Phase::Draining => Listing::Draining,
                Phase::Deleted => Listing::Removed,
            };
            let (destination, hint) = (DestinationId(member.cell), member.size);
            let endpoint = self.number_or_assign(&member.id);
            if let Err(new) = endpoint
                && excluded(&member.id)
            {
                exclusions.push(Event::Excluded(new));
            }
            let endpoint = endpoint.unwrap_or_else(|new| new);
            self.insert(endpoint, member, tuning.settings.kinds[kind.0].batch.max(1));
            entries.push(Entry { endpoint, destination, kind: *kind, zone: *zone, listing, hint });
        }
        let mut events = Vec::new();
        if targets.complete {
            events.push(Event::FullList(entries));
        } else if !entries.is_empty() {
            events.push(Event::ListChanges(entries));
        }
        events.append(&mut exclusions);
        events
    }

    /// The number of an id, or as the error a newly assigned one.
    fn number_or_assign(&mut self, id: &str) -> Result<EndpointId, EndpointId> {
        if let Some(known) = self.number(id) {
            return Ok(known);
        }
        let new = EndpointId(self.next_number);
        self.next_number += 1;
        self.numbers.insert(id.to_owned(), new);
        Err(new)
    }

    fn insert(&mut self, endpoint: EndpointId, member: Member, max_batch: usize) {
        let (id, address, zone) = (member.id, member.host_port, member.locality);
        self.endpoints.insert(endpoint, Endpoint { id, address, zone, max_batch });
    }
}

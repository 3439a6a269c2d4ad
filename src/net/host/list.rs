//! The list of endpoints, and the numbers that the module knows them by.
use crate::net::tuning::Tuning;
use message_sender::wire::{Member, Phase, Targets};
use message_sender::{DestinationId, EndpointId, Entry, Event, Listing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// An endpoint that the module remembers.
pub(super) struct Endpoint {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    /// Messages that a call there may carry.
    pub(super) batch: usize,
}

/// The endpoints that the module remembers. Numbers are not used again: calls that end late name theirs.
#[derive(Default)]
pub(super) struct List {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    numbers: HashMap<String, EndpointId>,
    next: u32,
    pub(super) revision: u64,
}

/// As it is handed over: the module's number, id, address, zone, messages in a call.
pub(super) type Row = (EndpointId, String, SocketAddr, String, usize);

impl List {
    /// As another process of this sender had it.
    pub(super) fn inherited(revision: u64, next: u32, rows: Vec<Row>) -> Self {
        let mut list = Self { revision, next, ..Self::default() };
        for (number, id, address, zone, batch) in rows {
            list.numbers.insert(id.clone(), number);
            list.endpoints.insert(number, Endpoint { id, address, zone, batch });
        }
        list
    }

    /// For another process of this sender, with the next number.
    pub(super) fn rows(&self) -> (u32, Vec<Row>) {
        let row = |(number, e): (&EndpointId, &Endpoint)| {
            (*number, e.id.clone(), e.address, e.zone.clone(), e.batch)
        };
        (self.next, self.endpoints.iter().map(row).collect())
    }

    pub(super) fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&endpoint)
    }

    /// The number of an id, while it is remembered.
    pub(super) fn number(&self, id: &str) -> Option<EndpointId> {
        self.numbers.get(id).copied()
    }

    /// How many are remembered.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// The module remembers nothing of it any more.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        if let Some(gone) = self.endpoints.remove(&endpoint) {
            self.numbers.remove(&gone.id);
        }
    }

    /// Takes in what discovery tells: the events for the module, to be taken in by one step, and so before
    /// anything can go out. `excluded` knows what staff took out of service.
    pub(super) fn told(
        &mut self,
        targets: Targets,
        tuning: &Tuning,
        excluded: impl Fn(&str) -> bool,
    ) -> Vec<Event> {
        self.revision = targets.revision;
        let mut entries = Vec::with_capacity(targets.members.len());
        let mut bans = Vec::new();
        for member in targets.members {
            let (names, flavor, locality) = (&tuning.names, &member.flavor, &member.locality);
            let (Some(kind), Some(zone)) = (names.kinds.get(flavor), names.zones.get(locality)) else {
                tracing::warn!("discovery: {} is of an unknown kind or zone", member.id);
                continue;
            };
            let listing = match member.phase {
                Phase::Serving => Listing::Active,
                Phase::Draining => Listing::Draining,
                Phase::Deleted => Listing::Removed,
            };
            let (destination, hint) = (DestinationId(member.cell), member.size);
            let endpoint = self.number_for(&member.id);
            if let Err(new) = endpoint
                && excluded(&member.id)
            {
                bans.push(Event::Excluded(new));
            }
            let endpoint = endpoint.unwrap_or_else(|new| new);
            self.set(endpoint, member, tuning.settings.kinds[kind.0].batch.max(1));
            entries.push(Entry { endpoint, destination, kind: *kind, zone: *zone, listing, hint });
        }
        let mut events = Vec::new();
        if targets.complete {
            events.push(Event::FullList(entries));
        } else if !entries.is_empty() {
            events.push(Event::ListChanges(entries));
        }
        events.append(&mut bans);
        events
    }

    /// The number of an id; a new one, as the error, where it has none.
    fn number_for(&mut self, id: &str) -> Result<EndpointId, EndpointId> {
        if let Some(known) = self.number(id) {
            return Ok(known);
        }
        let new = EndpointId(self.next);
        self.next += 1;
        self.numbers.insert(id.to_owned(), new);
        Err(new)
    }

    fn set(&mut self, endpoint: EndpointId, member: Member, batch: usize) {
        let (id, address, zone) = (member.id, member.host_port, member.locality);
        self.endpoints.insert(endpoint, Endpoint { id, address, zone, batch });
    }
}

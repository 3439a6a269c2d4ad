//! A simulated control node: the production `control-node` crate on a simulated host.

use super::Mutation;
use super::cluster::{AnswerFuture, Host};
use super::disk::{ACCEPTOR_RECORD, ACCEPTOR_SPACE};
use super::history::Fact;
use super::runtime::Feed;
use bytes::Bytes;
use config_register::{AcceptorRecord, BallotSource};
use control_node::{
    ControlBackend, ControlEvent, ControlNode, CurrentConfig, DiscoveryError, ENDPOINT_DISCOVERY_TASK,
    InitialState, PersistError, PutConfigOutcome, RetireOutcome,
};
use controllers::{ConfigVerdict, LeaseCandidate, RetireVerdict};
use fleet_model::{AcceptedValue, Call, ControlState, Endpoint, Lease, Roster, StorageNode, rendezvous_rank};
use node_runtime::Runtime;
use replicated_log::{JournalWrite, RecoveredJournal};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use turn_store::Write;

/// Gives the control node access to its simulated host.
pub struct Backend {
    host: Host,
}

/// Control nodes by process index.
pub type ControlNodes = BTreeMap<usize, Rc<SimulatedControlNode>>;

/// An incarnation of a control node.
pub struct SimulatedControlNode {
    host: Host,
    node: Rc<ControlNode<Host, Backend>>,
    /// The state that it knows and relays.
    pub feed: Rc<Feed>,
}

fn initial_state(host: &Host, first: bool) -> InitialState {
    let record = host.disk().get(ACCEPTOR_SPACE, ACCEPTOR_RECORD);
    let record: Option<AcceptorRecord> = record.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    let never_voted = first && host.machine.first;
    match record {
        Some(record) => InitialState::Existing(record),
        // Mutation: an empty disk is treated as that of a machine that never voted.
        None if never_voted || host.breaks(Mutation::NoAmnesiaGuard) => {
            InitialState::never_voted(host.machine.ip, &host.seeds())
        }
        None => InitialState::Recovering,
    }
}

impl SimulatedControlNode {
    /// Starts an incarnation. `first`: its machine never ran before, and the whole system starts.
    pub fn start(host: &Host, first: bool) -> Rc<Self> {
        let feed = Feed::new(host.clone());
        let backend = Backend { host: host.clone() };
        let ballots = BallotSource::new(host.machine.ip, host.random_u64());
        let node = ControlNode::new(
            host.clone(),
            backend,
            feed.clone(),
            ballots,
            initial_state(host, first),
            RecoveredJournal::Empty,
        );
        if let Some(cluster) = host.cluster() {
            let serving = node.clone();
            let handler = move |from: Ipv4Addr, call: Call, pusher| {
                let node = serving.clone();
                Box::pin(async move { node.answer(from, call, pusher).await }) as AnswerFuture
            };
            cluster.serve(host, Rc::new(handler));
        }
        node.run();
        Rc::new(Self { host: host.clone(), node, feed })
    }

    /// The host of its process.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Whether it may vote.
    pub fn can_vote(&self) -> bool {
        self.node.can_vote()
    }

    /// The fencing token under which this incarnation holds the endpoint discovery lease.
    pub fn discovery_token(&self) -> Option<u64> {
        self.node.discovery_token()
    }

    /// Replaces the configuration of version `expected`; none without a majority.
    pub async fn put_config(&self, expected: u64, body: Bytes) -> Option<ConfigVerdict> {
        match self.node.put_config(Some(expected), body).await {
            PutConfigOutcome::Committed(_) => Some(ConfigVerdict::Committed),
            PutConfigOutcome::VersionMismatch(current) => Some(ConfigVerdict::VersionMismatch(current)),
            PutConfigOutcome::VersionNotNewer => Some(ConfigVerdict::NotNewer),
            PutConfigOutcome::Unavailable => None,
            outcome @ (PutConfigOutcome::Invalid(_) | PutConfigOutcome::MissingExpectedVersion) => {
                unreachable!("{outcome:?}")
            }
        }
    }

    /// The version of the current configuration; none if it cannot be determined.
    pub async fn version(&self) -> Option<u64> {
        match self.node.config().await {
            CurrentConfig::Unset => Some(0),
            CurrentConfig::Current(state) => Some(state.version()),
            CurrentConfig::Unavailable => None,
        }
    }

    /// Starts to retire a storage node; none without a majority.
    pub async fn retire(&self, name: &str) -> Option<RetireVerdict> {
        match self.node.retire(name).await {
            RetireOutcome::Progress { verdict, .. } => Some(verdict),
            RetireOutcome::Unavailable => None,
        }
    }
}

impl Backend {
    fn record_chosen(&self, chosen: &AcceptedValue) {
        let state = ControlState::from_payload(&chosen.value.payload).unwrap_or_default();
        let voters: Vec<u8> = chosen.value.voters.iter().flat_map(|ip| ip.octets()).collect();
        self.host.record(Fact::Chosen {
            node: self.host.node,
            ballot: chosen.ballot,
            versions: state.committed.iter().map(|committed| committed.version).collect(),
            hash: rendezvous_rank(&chosen.value.payload, rendezvous_rank(&voters, 0)),
        });
    }

    fn record_roster(&self, roster: &Roster) {
        let disks = |stores: &[StorageNode]| stores.iter().map(|store| store.disk).collect();
        self.host.record(Fact::Roster {
            node: self.host.node,
            epoch: roster.epoch,
            current: disks(&roster.current),
            next: roster.next.as_deref().map(disks),
            in_sync: roster.in_sync.clone(),
        });
    }
}

impl ControlBackend for Backend {
    fn tolerance(&self) -> usize {
        self.host.tolerance()
    }

    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError> {
        let bytes = postcard::to_allocvec(record).map_err(|e| PersistError(e.to_string()))?;
        let write = Write::put(ACCEPTOR_SPACE, ACCEPTOR_RECORD.to_vec(), bytes);
        let written = self.host.disk().try_write(&self.host, vec![write], self.host.syncs()).await;
        written.map_err(|refused| PersistError(refused.0.to_owned()))
    }

    async fn write_journal(&self, _write: JournalWrite) -> Result<(), PersistError> {
        Err(PersistError("the journal is not simulated".to_owned()))
    }

    fn event_retention(&self) -> Duration {
        Duration::from_secs(20)
    }

    fn discovers_endpoints(&self) -> bool {
        true
    }

    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError> {
        self.host.sleep(2 + self.host.random_u64() % 40).await;
        let cluster = self.host.cluster().ok_or_else(|| DiscoveryError("the play is over".to_owned()))?;
        let endpoints = cluster.listed_endpoints();
        self.host.sleep(2 + self.host.random_u64() % 40).await;
        Ok(endpoints)
    }

    fn on_event(&self, event: &ControlEvent<'_>) {
        match event {
            ControlEvent::Chosen(chosen) => self.record_chosen(chosen),
            ControlEvent::Adopted { state, before, .. } if state.roster != before.roster => {
                self.record_roster(&state.roster);
            }
            ControlEvent::LeaseAcquired { token, .. } => {
                let (node, incarnation) = (self.host.node, self.host.incarnation);
                self.host.record(Fact::Holds { node, incarnation, token: *token });
            }
            _ => {}
        }
    }

    fn acquire(
        &self,
        candidate: &LeaseCandidate,
        state: &ControlState,
        from: &Lease,
    ) -> Option<ControlState> {
        if !self.host.breaks(Mutation::FenceNotChecked) {
            return candidate.acquire(state, from);
        }
        // Mutation: acquires the lease whatever token is current by now.
        let mut state = state.clone();
        let lease = Lease { token: from.token + 1, holder: Some(self.host.machine.ip) };
        state.leases.insert(ENDPOINT_DISCOVERY_TASK.to_owned(), lease);
        Some(state)
    }
}

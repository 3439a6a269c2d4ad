//! A control node: an acceptor, proposer and learner of the replicated register, with the services built on it. It answers other
//! proposers, makes the changes that operators and storage nodes request, confirms by quorum reads that its state is current,
//! publishes the state to agents, and runs the singleton tasks while it holds their lease.
//!
//! The decision logic is in `config-register` and `controllers`; this crate executes the decisions through
//! [`node_runtime::Runtime`] and [`ControlBackend`]. The production program and the simulation run the same code: nothing in
//! this crate performs I/O, reads a clock or generates random numbers directly. The safety argument is in
//! `docs/control-safety.md`.

mod coordination;
mod durable_acceptor;
mod endpoint_discovery;
mod event;
mod failure_detection;
mod founding;
mod learner;
mod membership;
mod node;
mod operator_requests;
mod orders;
mod proposer;
mod recovery;
mod replica;
mod vote_delay;

pub use coordination::{
    ApplicationReply, ApplicationRequest, CoordinationStatus, CounterStatus, GroupStatus, LockStatus,
    check_journal,
};
pub use durable_acceptor::{
    DiskState, DurableAcceptor, PendingReply, PendingWrite, WriteNumber, WriteOutcome,
};
pub use event::{ControlEvent, StorageLosses};
pub use node::{BallotCounts, ControlNode, InitialState};
pub use operator_requests::{CurrentConfig, PutConfigOutcome, RetireOutcome};

use config_register::AcceptorRecord;
use controllers::LeaseCandidate;
use fleet_model::{ControlState, Endpoint, Lease};
use replicated_log::JournalWrite;
use std::time::Duration;

/// Lease name of the singleton task that reads the platform's endpoint list and removes unresponsive nodes. The name is stored
/// in the register.
pub const ENDPOINT_DISCOVERY_TASK: &str = "list";

/// A disk write failed. Whether the record reached the disk is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PersistError(pub String);

/// The platform's endpoint list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DiscoveryError(pub String);

/// The services that a host provides to its control node, in addition to a [`node_runtime::Runtime`].
#[allow(async_fn_in_trait, reason = "the futures run on one thread and need not be `Send`")]
pub trait ControlBackend: 'static {
    /// The number of nodes whose simultaneous loss must be tolerated, from the program's settings.
    fn tolerance(&self) -> usize;

    /// Writes the acceptor's complete record and syncs it before returning. Calls do not overlap. After an error, a later call
    /// writes the same or a newer record, which must replace the failed one, even across a restart.
    ///
    /// # Errors
    ///
    /// If the write or the sync failed.
    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError>;

    /// Writes to the journal of the coordination log's replica and syncs it before returning. Calls do not overlap. After an
    /// error the next write is a checkpoint.
    ///
    /// # Errors
    ///
    /// If the write or the sync failed.
    async fn write_journal(&self, write: JournalWrite) -> Result<(), PersistError>;

    /// How long events of watched keys are retained, from the program's settings.
    fn event_retention(&self) -> Duration;

    /// Whether the settings name a platform from which to read endpoints.
    fn discovers_endpoints(&self) -> bool;

    /// Reads the platform's endpoint list.
    ///
    /// # Errors
    ///
    /// If the list could not be read.
    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError>;

    /// Reports an event, for the host to log or to check.
    fn on_event(&self, event: &ControlEvent<'_>);

    /// The state in which this node holds a lease; `None` if the lease no longer equals `from`. Overridden only by a simulation
    /// that disables fencing deliberately.
    fn acquire(
        &self,
        candidate: &LeaseCandidate,
        state: &ControlState,
        from: &Lease,
    ) -> Option<ControlState> {
        candidate.acquire(state, from)
    }
}

//! A control node: an acceptor, proposer and learner of the replicated register, with the services built on it. It answers other
//! proposers, makes the changes that operators and storage nodes request, confirms by quorum reads that its state is current,
//! feeds agents, and runs the singleton tasks while it holds their lease.
//!
//! The decisions are made in `config-register` and `controllers`; here they are carried out, over [`node_runtime::Runtime`] and
//! [`ControlBackend`]. The program in service and the simulation run the same code. Nothing here does I/O, reads a clock or
//! draws random numbers by itself. The page is `docs/control-safety.md`.

mod coordination;
mod durable_acceptor;
mod endpoint_discovery;
mod event;
mod failure_detection;
mod learner;
mod membership;
mod node;
mod operator_requests;
mod orders;
mod proposer;
mod recovery;
mod replica;

pub use coordination::{
    ApplicationReply, ApplicationRequest, CoordinationStatus, CounterStatus, GroupStatus, LockStatus,
    check_journal,
};
pub use durable_acceptor::{
    DiskState, DurableAcceptor, PendingReply, PendingWrite, WriteNumber, WriteOutcome,
};
pub use event::{ControlEvent, StorageLosses};
pub use node::{ControlNode, InitialState, RoundCounts};
pub use operator_requests::{CurrentConfig, PutConfigOutcome, RetireOutcome};

use config_register::AcceptorRecord;
use controllers::LeaseCandidate;
use fleet_model::{ControlState, Endpoint, Lease};
use replicated_log::JournalWrite;
use std::time::Duration;

/// The singleton task whose lease holder reads the platform's endpoint list and removes unresponsive nodes. The name is stored in
/// the register.
pub const ENDPOINT_DISCOVERY_TASK: &str = "list";

/// The disk refused a write. Whether the disk has the record or not is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PersistError(pub String);

/// The platform's endpoint list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DiscoveryError(pub String);

/// What a control node needs from its host besides a [`node_runtime::Runtime`].
#[allow(async_fn_in_trait, reason = "the futures run on one thread and need not be `Send`")]
pub trait ControlBackend: 'static {
    /// The number of nodes whose simultaneous loss must be tolerated, from the settings.
    fn tolerance(&self) -> usize;

    /// Writes the acceptor's complete record; it is synced when this returns. Calls do not overlap. After an error it is called
    /// again later; the later write then replaces the failed one, also after a restart.
    ///
    /// # Errors
    ///
    /// If the disk refused the write.
    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError>;

    /// Writes to the journal of the coordination service's replica; the write is synced when this returns. Calls do not overlap.
    /// After an error the next write is a checkpoint.
    ///
    /// # Errors
    ///
    /// If the disk refused the write.
    async fn write_journal(&self, write: JournalWrite) -> Result<(), PersistError>;

    /// For how long events of watched keys are retained, from the settings.
    fn history(&self) -> Duration;

    /// Whether the settings name a platform from which to read endpoints.
    fn discovers_endpoints(&self) -> bool;

    /// Reads the platform's endpoint list.
    ///
    /// # Errors
    ///
    /// If the list could not be read.
    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError>;

    /// Called on each change of state.
    fn on_event(&self, event: &ControlEvent<'_>);

    /// The state in which this node holds a lease, if the lease is still as in `from`. Overridden only by a simulation that
    /// breaks the fencing on purpose.
    fn acquire(
        &self,
        candidate: &LeaseCandidate,
        state: &ControlState,
        from: &Lease,
    ) -> Option<ControlState> {
        candidate.acquire(state, from)
    }
}

//! A control node: it answers proposers of the register as an acceptor, proposes what operators and storage nodes ask for,
//! confirms by quorum reads what it knows, feeds agents, and carries out the singleton tasks of whoever holds their lease.
//!
//! What is decided stands in `config-register` and `controllers`; here it is carried out, over [`node_runtime::Runtime`] and
//! [`ControlBackend`]: the program in service and the simulation run this very code. Nothing here does I/O, reads a clock or
//! draws random numbers.

mod durable_acceptor;
mod event;
mod learner;
mod membership;
mod node;
mod operator_requests;
mod proposer;
mod recovery;
mod replica;
mod singleton_tasks;

pub use durable_acceptor::{
    DiskState, DurableAcceptor, PendingReply, PendingWrite, WriteNumber, WriteOutcome,
};
pub use event::{ControlEvent, StorageLosses};
pub use node::{ControlNode, InitialState, RoundCounts};
pub use operator_requests::{CurrentConfig, PutConfigOutcome, RetireOutcome};

use config_register::AcceptorRecord;
use controllers::LeaseCandidate;
use fleet_model::{ControlState, Endpoint, Lease};

/// The name of the singleton task that reads the platform's list and looks after machines that are gone.
pub const ENDPOINT_DISCOVERY_TASK: &str = "list";

/// The disk refused a write; what it holds of it is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PersistError(pub String);

/// The platform's list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DiscoveryError(pub String);

/// What a control node needs of its machine beside a [`node_runtime::Runtime`].
#[allow(async_fn_in_trait)]
pub trait ControlBackend: 'static {
    /// Machines that may be lost at once, as the settings have it.
    fn tolerance(&self) -> usize;

    /// Writes the acceptor's whole state; it is synced when this returns. After an error it is called again some time: then it
    /// is the later write that counts, also after a restart. It is called again only after it has returned.
    async fn persist(&self, record: &AcceptorRecord) -> Result<(), PersistError>;

    /// Whether the settings name a platform to read endpoints from.
    fn discovers_endpoints(&self) -> bool;

    /// Reads the platform's list.
    async fn discover_endpoints(&self) -> Result<Vec<Endpoint>, DiscoveryError>;

    /// Is told of changes of state.
    fn on_event(&self, event: &ControlEvent<'_>);

    /// The state in which a lease passes to this node, if it still stands as in `from`. Nothing else is to be done here in
    /// service; a simulation that breaks the fencing on purpose does it here.
    fn acquire(
        &self,
        candidate: &LeaseCandidate,
        state: &ControlState,
        from: &Lease,
    ) -> Option<ControlState> {
        candidate.acquire(state, from)
    }
}

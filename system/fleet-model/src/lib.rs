//! Types that the programs of the fleet share: the register's values and messages, the replicated control state, the set of
//! storage nodes, endpoints, stored records, quorum sizes, and the messages between processes.
//!
//! The types have no behaviour beyond what follows from their fields, and no I/O. `peer-wire` encodes the messages,
//! `config-register` and `turn-store` store the records.

mod control_state;
mod coordination;
mod endpoints;
mod message;
mod order;
mod payload;
mod quorum;
mod records;
mod register;
mod roster;

pub use control_state::{COORDINATION_FOUNDER_PREFIX, CommittedVersion, ControlState, Lease, RejectedConfig};
pub use coordination::{
    AcceptedEntry, CommitPosition, CoordinationAnswer, CoordinationBatch, CoordinationCall,
    CoordinationCommand, CoordinationOutcome, CoordinationQuery, CoordinationReading, KeyRevision, LogEntry,
    LogLeader, LogMember, LogReply, LogRequest, LogSnapshot, ReplicaId, SlotEntry,
};
pub use endpoints::{Endpoint, EndpointList, EndpointState, ListVersion};
pub use message::{Answer, Call, Frame, Push};
pub use order::{ConfigVerdict, Order, OrderVerdict, RetireVerdict};
pub use payload::PayloadError;
pub use quorum::{QuorumSizes, account_replicas, rendezvous_rank};
pub use records::{Reservation, Turn};
pub use register::{AcceptedValue, Ballot, ChosenValue, RegisterReply, RegisterRequest, RegisterValue};
pub use roster::{Departure, Roster, StorageNode, Turnover};

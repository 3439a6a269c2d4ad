//! A replicated log: Multi-Paxos with one open slot, for state machines that are small enough to be sent as a whole.
//!
//! A leader prepares a ballot at a majority of the members once ([`Campaign`]) and then has one slot after the other chosen, each
//! by one round of accepts ([`VoteCount`]). A [`Replica`] is the acceptor and learner of a node: it holds the state after all
//! applied slots and at most one accepted entry for the next slot, because a leader proposes a slot only once it knows the one
//! before to be chosen. What a slot contains is batched by the leader.
//!
//! Nothing here does I/O, reads a clock or draws random numbers. The host sends the messages, writes the journal and decides when
//! to become a candidate. The messages are types of `fleet_model`.
//!
//! # Obligations of the host
//!
//! - No two campaigns share a ballot, see `config_register::BallotSource`.
//! - The records of a reply ([`Replica::take_records`]) are synced before the reply is sent if [`is_vote`] says so. Records are
//!   written in their order. Where writing fails, the next write is a [`Replica::checkpoint`].
//! - A replica whose journal is gone or unreadable is a new one with a new random [`fleet_model::ReplicaId`], which is on disk
//!   before any reply.
//! - The members of slot 1 are agreed elsewhere, once; slot 1 contains [`fleet_model::LogEntry::Members`] with them.
//!
//! # Why it is safe
//!
//! - **One slot.** This is the synod of *Paxos Made Simple* (Lamport, 2001): an acceptor rejects what is below its promise, and a
//!   candidate proposes the entry of the highest ballot that a majority reports for the slot.
//! - **All slots.** A promise holds for all later slots. A leader proposes slot n + 1 only after slot n is chosen, so a replica
//!   that accepts n + 1 learns with it that n is chosen, and under which ballot ([`fleet_model::CommitPosition`]); if it has
//!   accepted n under that ballot it applies it, otherwise it asks for the entries that it lacks.
//! - **Members.** The members of slot n + 1 are those after slot n. After a change of members, also one that its campaign found
//!   pending, the leader campaigns anew, so that each slot's first phase is done at a majority of that slot's members. Old and
//!   new majorities need not intersect: whoever proposes at slot n + 1 knows slot n.
//! - **Lost disks.** Members are identified by replica, not by address. A node without its journal is no member until the others
//!   have chosen so; what it promised before binds the former replica, which never answers again.
//! - **Reads.** A leader answers a read from its state once a majority has confirmed, after the read arrived, that it has promised
//!   no higher ballot.
//!
//! It is not for states of many megabytes: a replica that lacks more than the recent entries is sent the whole state.

mod campaign;
mod journal;
mod membership;
mod replica;
mod state_machine;
mod votes;

pub use campaign::{Campaign, CampaignStep};
pub use journal::{JournalError, JournalWrite, RecoveredJournal};
pub use membership::{KnownReplica, next_members};
pub use replica::{MAX_RECENT_ENTRIES, Replica, is_vote};
pub use state_machine::StateMachine;
pub use votes::VoteCount;

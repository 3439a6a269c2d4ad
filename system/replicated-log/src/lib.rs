//! A replicated log: Multi-Paxos with one undecided slot at a time, for state machines that are small enough to be sent whole.
//!
//! A leader prepares a ballot once at a majority of the members ([`Campaign`]). It then has the slots chosen one after another,
//! each in one round of accepts ([`VoteCount`]). A [`Replica`] is the acceptor and learner of a node. It holds the state after
//! all applied slots and at most one accepted entry for the next slot, because a leader proposes a slot only after it knows that
//! the previous one is chosen. The leader batches the commands of a slot.
//!
//! This crate does no I/O, reads no clock and generates no random numbers. The host sends the messages, writes the journal and
//! decides when to become a candidate. The message types are in `fleet_model`.
//!
//! # Obligations of the host
//!
//! - No two campaigns use the same ballot, see `config_register::BallotSource`.
//! - If [`is_vote`] holds for a reply, the records of [`Replica::take_records`] must be synced before the reply is sent. Records
//!   are written in order. After a failed write, the next write is a [`Replica::checkpoint`].
//! - A replica whose journal is lost or unreadable becomes a new replica with a new random [`fleet_model::ReplicaId`], which must
//!   be on disk before the first reply.
//! - The members of slot 1 are agreed once by other means; slot 1 contains [`fleet_model::LogEntry::Members`] with them.
//!
//! # Why it is safe
//!
//! - **One slot.** This is the synod protocol of *Paxos Made Simple* (Lamport, 2001): an acceptor rejects ballots below its
//!   promise, and a candidate proposes the entry with the highest ballot that a majority reports for the slot.
//! - **All slots.** A promise covers all later slots. A leader proposes slot n + 1 only after slot n is chosen, so a replica that
//!   accepts n + 1 learns with it that n is chosen, and under which ballot ([`fleet_model::CommitPosition`]). If the replica has
//!   accepted n under that ballot, it applies n; otherwise it requests the missing entries.
//! - **Membership.** The members that decide on slot n + 1 are those after slot n. After a membership change, including one that
//!   its campaign found pending, the leader starts another campaign, so that the first phase of each slot runs at a majority of
//!   the members of that slot. Old and new majorities need not intersect, because whoever proposes slot n + 1 knows slot n.
//! - **Lost disks.** Members are identified by replica ID and not by address. A node without its journal is not a member until the
//!   other members have chosen an entry that adds it. Its earlier promises bind the former replica, which never replies again.
//! - **Reads.** A leader answers a read from its state once a majority has confirmed, after the read arrived, that it has promised
//!   no higher ballot.
//!
//! The crate does not suit states of many megabytes: a replica that is missing more than the recent entries is sent the entire
//! state.

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

//! A register for one value, changed by expected value in two rounds at a majority of voters, after CASPaxos: no log,
//! no leader. Nothing here does I/O, reads a clock or draws random numbers; the caller carries the requests, syncs
//! the acceptor's record and paces retries.
//!
//! # What the caller owes
//!
//! - No two runs share a ballot, also across restarts and lost disks: all come from a [`BallotSource`], made once in each
//!   life of the process with a nonce of 64 random bits. It counts on over a restore, a freeze and every lost run.
//! - Each ballot that is heard of goes to [`BallotSource::observe`]; that is for progress alone, not for safety.
//! - A record that changed is synced before the reply leaves; [`Acceptor::handle`] tells.
//! - Each request handed out gets at most one `on_reply` or `on_failure`, to the run that asked. A reply that comes
//!   after its request was given up is dropped. Replies carry no ballot, so they are told apart by their calls.
//! - The `known` value that a run starts with was chosen: the founding value, a run's `Done`, a fetched value that
//!   [`Learner::confirms`], or [`AcceptorRecord::chosen_voters`].
//! - A voter without a record is [`Acceptor::recovering`] until a [`Recovery`] ends.
//!
//! # Why it is safe
//!
//! *Chosen* is a value that was accepted under one ballot by a majority of its voters and, if the newest value chosen
//! below it has other voters, by a majority of those too. Let d be chosen and V its voters.
//!
//! 1. Voters change one at a time, and only on top of a value whose own voters are known to be in force: of the known
//!    epoch, or seen to be chosen. So each proposal made above d and below the next chosen value has the voters V, or
//!    V with one machine more or less. Two majorities of such neighbours always meet.
//! 2. A run ends its first round at value w with promises from a majority of w's voters. Was some d' chosen that it
//!    missed, then take the lowest such: the value chosen before it is d, at or below w, and w's voters are V or
//!    neighbours. Those that accepted d' include a majority of V, and it meets the majority that promised. The
//!    machine in both would have told of d' or refused it. Hence a run sees all that was chosen below its ballot.
//! 3. A run proposes on top of the value w that it read. If w's voters are V, a majority of V and one of the new
//!    voters must accept. Otherwise w is an unfinished change. Its run takes no further change on top, and if it
//!    started at V, it asks V too. If it started further back, it cannot know V; then it needs `ceil(n/2) + 1` of w's
//!    `n` voters, which holds a majority of each of their neighbours. Hence each accepted value that counts as chosen
//!    was accepted by a majority of V.
//!
//! A stale run starts at old voters, finds there at least the next chosen value, and follows. One frozen between its
//! rounds finds its ballot overtaken, or else no other run read since, or that run read what it had left behind.
//!
//! # Why a restored voter is safe
//!
//! A voter M that lost its disk may have promised and accepted anything. [`Recovery`] prepares ballot r at `n - q + 1`
//! others of its n voters, q being a majority. Any majority with M in it has `q - 1` others, and
//! `(q - 1) + (n - q + 1) = n > n - 1`: they meet.
//!
//! - A value below r that M had accepted and that was chosen, or could still be, is read by M or refused by a machine
//!   that promised r. Had M accepted one above r, a machine asked would have promised that ballot before the
//!   disk was lost, and refuses r.
//! - A promise that M gave to a ballot b' below r needs nothing: M refuses all below r.
//! - A promise that M gave to b' above r is *not* fenced by the promises for r: another machine may promise r first
//!   and b' after. Between r and b' a value could be chosen with M's new vote, unseen by b'. So a restore has a
//!   second round: the value read is accepted under r by `n - q + 1` others. Whatever majority b' gathers around M's
//!   old promise now has a machine that tells of r or more. And a run counts no promise that came with an older value
//!   than the newest it has seen, unless it was asked for after that: so b' asks M again, and hears what M holds now.

mod acceptor;
mod backoff;
mod ballot;
mod ballot_run;
mod learner;
mod proposer;
mod record_format;
mod recovery;

pub use acceptor::{Acceptor, AcceptorRecord, VoterState, founding_record};
pub use backoff::ProposerBackoff;
pub use ballot::BallotSource;
pub use learner::{Learner, PollOutcome, completion_rank, known_chosen_value};
pub use proposer::{Change, Proposer, ProposerStep};
pub use record_format::{RecordFormat, RecordV1};
pub use recovery::{Recovery, RecoveryStep};

use fleet_model::RegisterRequest;
use std::net::Ipv4Addr;

/// Requests with the machines that they go to.
pub type Outbox = Vec<(Ipv4Addr, RegisterRequest)>;

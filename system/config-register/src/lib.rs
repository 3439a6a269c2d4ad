//! A replicated register for one value, changed by compare-and-swap in two phases at a majority of its voters, after `CASPaxos`
//! (Rystsov, 2018) and *Paxos Made Simple* (Lamport, 2001): no log, no leader.
//!
//! The register decides which value is chosen. Nothing here does I/O, reads a clock or draws random numbers: the host sends the
//! requests, syncs the acceptor's record and schedules retries.
//!
//! # Obligations of the host
//!
//! - No two attempts share a ballot, also across restarts and lost disks: all come from a [`BallotSource`], created once per
//!   incarnation of the process with a nonce of 64 random bits. It is kept over recoveries, freezes and lost ballots.
//! - Each ballot that is seen goes to [`BallotSource::observe`]; that is for progress alone, not for safety.
//! - A record that changed is synced before the reply is sent, see [`AcceptorResponse::record_changed`].
//! - Each request handed out gets at most one `on_reply` or `on_failure`, at the attempt that sent it. A reply that arrives
//!   after its request was given up is dropped. Replies carry no ballot, so they are matched to their calls.
//! - The `known` value that an attempt starts with is chosen: the founding value, a proposer's `Done`, a fetched value that
//!   [`Learner::confirms`], or [`AcceptorRecord::chosen_voters`].
//! - A voter without a record is [`Acceptor::recovering`] until a [`Recovery`] is done, or a [`Founder`] found that nothing was
//!   ever chosen.
//!
//! # Example
//!
//! ```
//! use config_register::{Acceptor, BallotSource, Change, Proposer, ProposerStep, founding_record};
//! use std::net::Ipv4Addr;
//!
//! let node = Ipv4Addr::new(10, 0, 0, 1);
//! let record = founding_record(vec![node]);
//! let known = record.chosen_voters.clone().unwrap();
//! let mut acceptor = Acceptor::new(record);
//! let mut ballots = BallotSource::new(node, 0x5eed);
//!
//! let mut proposer = Proposer::start(ballots.next_ballot(), &known);
//! let mut outbox = proposer.outbox();
//! let chosen = loop {
//!     let message = outbox.remove(0);
//!     // A host syncs the record here, if the response says that it changed.
//!     let response = acceptor.handle(&message.request);
//!     match proposer.on_reply(message.to, &response.reply, &mut |_| Change::Set("new".into())) {
//!         ProposerStep::Send(requests) => outbox = requests,
//!         ProposerStep::Done(chosen) => break chosen,
//!         step => panic!("{step:?}"),
//!     }
//! };
//! assert_eq!(chosen.value.payload, "new");
//! ```
//!
//! # Why it is safe
//!
//! *Chosen* is a value that was accepted under one ballot by a majority of its voters and, if the newest value chosen
//! below it has other voters, by a majority of those too. Let d be chosen and V its voters.
//!
//! 1. Voters change one at a time, and only on top of a value whose own voters are known to be in force: of the known
//!    epoch, or seen to be chosen. So each proposal made above d and below the next chosen value has the voters V, or
//!    V with one node more or less. Two majorities of such neighbouring sets always intersect.
//! 2. A proposer completes phase 1 at value w with promises from a majority of w's voters. If some d' was chosen that it
//!    missed, take the lowest such: the value chosen before it is d, at or below w, and w's voters are V or a
//!    neighbouring set. Those that accepted d' include a majority of V, which intersects the majority that promised. The
//!    node in both would have reported d' or rejected the ballot. Hence a proposer sees all that was chosen below its ballot.
//! 3. A proposer proposes on top of the value w that it read. If w's voters are V, a majority of V and one of the new
//!    voters must accept. Otherwise w is an unfinished change. Its proposer makes no further change on top, and if it
//!    started at V, it requires V too. If it started further back, it cannot know V; then it requires `ceil(n/2) + 1` of w's
//!    `n` voters, which contains a majority of each neighbouring set. Hence each accepted value that counts as chosen
//!    was accepted by a majority of V.
//!
//! A stale proposer starts at old voters, finds there at least the next chosen value, and follows. One frozen between its
//! phases finds its ballot overtaken, or else no other proposer read since, or that one read what it had left behind.
//!
//! # Why a recovered voter is safe
//!
//! A voter M that lost its disk may have promised and accepted anything. [`Recovery`] prepares ballot r at `n - q + 1`
//! others of its n voters, q being a majority. Any majority with M in it has `q - 1` others, and
//! `(q - 1) + (n - q + 1) = n > n - 1`: they intersect.
//!
//! - A value below r that M had accepted and that was chosen, or could still be, is read by M or rejected by a node
//!   that promised r. Had M accepted one above r, one of the nodes would have promised that ballot before the
//!   disk was lost, and rejects r.
//! - A promise that M gave to a ballot b' below r needs nothing: M rejects all below r.
//! - A promise that M gave to b' above r is *not* covered by the promises for r: another node may promise r first
//!   and b' after. Between r and b' a value could be chosen with M's new vote, unseen by b'. So a recovery has a
//!   second phase: the value read is accepted under r by `n - q + 1` others. Whatever majority b' gathers around M's
//!   old promise now has a node that reports r or more. And a proposer does not count a promise that came with an older value
//!   than the newest it has seen, unless it was requested after that: so b' asks M again, and gets what M has accepted now.

mod acceptor;
mod backoff;
mod ballot;
mod ballot_run;
mod founding;
mod learner;
mod proposer;
mod quorum;
mod record_format;
mod recovery;

pub use acceptor::{Acceptor, AcceptorRecord, AcceptorResponse, VoterState, founding_record};
pub use backoff::ProposerBackoff;
pub use ballot::BallotSource;
pub use founding::{FOUNDING_DELAY_MS, Founder, founded_record};
pub use learner::{Learner, PollOutcome, completion_rank, known_chosen_value};
pub use proposer::{Change, Proposer, ProposerStep};
pub use record_format::{RecordFormat, RecordV1};
pub use recovery::{Recovery, RecoveryStep};

use fleet_model::RegisterRequest;
use std::net::Ipv4Addr;

/// A request and the node to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The receiving node.
    pub to: Ipv4Addr,
    /// The request.
    pub request: RegisterRequest,
}

/// Requests to send, in this order.
pub type Outbox = Vec<OutgoingRequest>;

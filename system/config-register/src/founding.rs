//! Founding of seeds that ended before their initial record was on disk.
//!
//! # Problem
//!
//! A seed without a record may have lost its disk, so it must not vote before a [`crate::Recovery`], which needs records at
//! `n - q + 1` other voters. A seed that is killed in the first moment of the fleet's first start looks the same. If too few seeds
//! have a record, none of the others can recover, and the register is never founded.
//!
//! # Behavior
//!
//! A seed that has run without interruption since the first start, the founder, would have learned of any chosen value. While it
//! knows of none, each other seed replies to its polls, and none of them has accepted anything but the initial value, it sends
//! that value to the seeds without a record: an `Accept` under the lowest ballot, which no proposer uses. They start with it as
//! they would have at the first start.
//!
//! # When not to use it
//!
//! After a restart of the founder: what it learned may not have been on disk. While a seed does not reply: it may have voted.
//!
//! # Why it is safe
//!
//! Let a value have been chosen. Its quorum held a majority of the seeds or of voters that such a quorum chose. Each seed replies,
//! so those that accepted it have lost their disks, and the founder has not heard of it from any voter. Then the founder was cut
//! off from them until they were lost, and at one moment it and a majority were lost together. A register of `n` voters tolerates
//! the loss of fewer than a majority, so nothing that it promises to keep is given up.

use crate::{AcceptorRecord, Outbox, OutgoingRequest, founding_record};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use std::net::Ipv4Addr;

/// How long all replies must agree before the initial value is sent, in milliseconds.
pub const FOUNDING_DELAY_MS: u64 = 3_000;

/// Decides when a founder sends the initial value to seeds that have no record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Founder {
    me: Ipv4Addr,
    initial: RegisterValue,
    /// When the replies began to show that the seeds cannot recover by themselves.
    stuck_since_ms: Option<u64>,
}

impl Founder {
    /// The founder `me` with its initial record; `None` if that is not the record of a seed.
    pub fn new(me: Ipv4Addr, record: &AcceptorRecord) -> Option<Self> {
        let initial = record.accepted.clone().filter(|accepted| accepted.ballot == Ballot::default())?.value;
        initial.voters.contains(&me).then_some(Self { me, initial, stuck_since_ms: None })
    }

    /// Whether the founder's acceptor has still accepted nothing but the initial value.
    pub fn is_unused(&self, accepted: Option<&AcceptedValue>) -> bool {
        accepted
            .is_some_and(|accepted| accepted.ballot == Ballot::default() && accepted.value == self.initial)
    }

    /// The polls to send to the other seeds.
    pub fn outbox(&self) -> Outbox {
        let poll = RegisterRequest::Poll { chosen: Ballot::default() };
        self.peers().map(|to| OutgoingRequest { to, request: poll.clone() }).collect()
    }

    /// Handles the replies to one round of polls, `None` being a seed that did not reply. Returns the requests that found the
    /// seeds without a record, once the replies have agreed for [`FOUNDING_DELAY_MS`].
    pub fn on_polled(&mut self, now_ms: u64, replies: &[(Ipv4Addr, Option<RegisterReply>)]) -> Outbox {
        let empty = self.seeds_to_found(replies);
        if empty.is_empty() {
            self.stuck_since_ms = None;
            return Outbox::new();
        }
        let stuck_since_ms = *self.stuck_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(stuck_since_ms) < FOUNDING_DELAY_MS {
            return Outbox::new();
        }
        let initial = AcceptedValue { ballot: Ballot::default(), value: self.initial.clone() };
        let found = RegisterRequest::Accept(initial);
        empty.into_iter().map(|to| OutgoingRequest { to, request: found.clone() }).collect()
    }

    /// The other seeds.
    fn peers(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.initial.voters.iter().copied().filter(|seed| *seed != self.me)
    }

    /// The seeds without a record, if all seeds replied, nothing was accepted, and a [`crate::Recovery`] cannot succeed.
    fn seeds_to_found(&self, replies: &[(Ipv4Addr, Option<RegisterReply>)]) -> Vec<Ipv4Addr> {
        let mut empty = Vec::new();
        for seed in self.peers() {
            let reply = replies.iter().find(|(from, _)| *from == seed).and_then(|(_, reply)| reply.as_ref());
            match reply {
                Some(RegisterReply::Recovering) => empty.push(seed),
                Some(RegisterReply::Polled { accepted: Some(accepted), chosen })
                    if *accepted == Ballot::default() && *chosen == Ballot::default() => {}
                _ => return Vec::new(),
            }
        }
        let seed_count = self.initial.voters.len();
        let can_recover = empty.len() < crate::quorum::majority(seed_count);
        if can_recover { Vec::new() } else { empty }
    }
}

/// The record with which a seed without one starts, if `request` is a founder's.
pub fn founded_record(me: Ipv4Addr, request: &RegisterRequest) -> Option<AcceptorRecord> {
    let RegisterRequest::Accept(AcceptedValue { ballot, value }) = request else { return None };
    let is_initial = *ballot == Ballot::default() && value.epoch == 0 && value.payload.is_empty();
    (is_initial && value.voters.contains(&me)).then(|| founding_record(value.voters.clone()))
}

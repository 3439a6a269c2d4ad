//! Tells whether the newest chosen value is known.

use crate::Outbox;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue, rendezvous_rank};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What a round of polling has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// Nothing to tell until more answers come.
    Pending,
    /// Nothing newer was chosen when the round began.
    Fresh,
    /// Something newer was chosen, or has a majority: fetch it from one of these, and see if [`Learner::confirms`] it.
    Behind {
        /// Who holds it.
        from: Vec<Ipv4Addr>,
        /// Its ballot.
        ballot: Ballot,
    },
    /// Something newer was accepted, and it is not known whether it is chosen: a run that keeps the value tells.
    Undecided,
    /// Too few machines answered.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Asked,
    Failed,
    Polled { accepted: Option<Ballot>, chosen: Ballot },
}

/// The value that a machine knows to be chosen and holds, by what it answered to a poll and then to a fetch.
pub fn known_chosen_value(polled: &RegisterReply, fetched: &RegisterReply) -> Option<RegisterValue> {
    let RegisterReply::Polled { accepted: Some(accepted), chosen } = polled else { return None };
    let RegisterReply::Fetched(Some(held)) = fetched else { return None };
    (accepted == chosen && held.ballot == *chosen).then(|| held.value.clone())
}

/// One round of polling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Learner {
    known: Ballot,
    answers: BTreeMap<Ipv4Addr, Answer>,
}

impl Learner {
    /// Starts a round at the voters of the value that was chosen under `chosen`.
    pub fn start(voters: &[Ipv4Addr], chosen: Ballot) -> Self {
        let answers = BTreeSet::from_iter(voters).into_iter().map(|ip| (*ip, Answer::Asked)).collect();
        Self { known: chosen, answers }
    }

    /// The requests to send.
    pub fn outbox(&self) -> Outbox {
        let request = RegisterRequest::Poll { chosen: self.known };
        self.answers.keys().map(|ip| (*ip, request.clone())).collect()
    }

    /// Takes an answer.
    pub fn on_polled(&mut self, from: Ipv4Addr, accepted: Option<Ballot>, chosen: Ballot) -> PollOutcome {
        if let Some(answer) = self.answers.get_mut(&from) {
            *answer = Answer::Polled { accepted, chosen };
        }
        self.verdict()
    }

    /// Takes note that a machine did not answer, or is unfit.
    pub fn on_failure(&mut self, from: Ipv4Addr) -> PollOutcome {
        if let Some(answer @ Answer::Asked) = self.answers.get_mut(&from) {
            *answer = Answer::Failed;
        }
        self.verdict()
    }

    /// Whether a fetched value is chosen, by what this round told. `known` is the value chosen under the ballot that
    /// the round began with. Where it does not, a run that keeps the value settles it.
    pub fn confirms(&self, known: &RegisterValue, fetched: &AcceptedValue) -> bool {
        let told = self
            .answers
            .values()
            .any(|answer| matches!(answer, Answer::Polled { chosen, .. } if *chosen == fetched.ballot));
        // With other voters, a majority of the known ones is not enough.
        let same = known.epoch == fetched.value.epoch;
        told || (same && self.holders(fetched.ballot).len() >= self.majority())
    }

    fn majority(&self) -> usize {
        self.answers.len() / 2 + 1
    }

    fn holders(&self, ballot: Ballot) -> Vec<Ipv4Addr> {
        let holds =
            |answer: &Answer| matches!(answer, Answer::Polled { accepted, .. } if *accepted == Some(ballot));
        self.answers.iter().filter(|(_, answer)| holds(answer)).map(|(ip, _)| *ip).collect()
    }

    fn verdict(&self) -> PollOutcome {
        let asked = self.answers.values().filter(|answer| **answer == Answer::Asked).count();
        let polled: Vec<_> = self
            .answers
            .values()
            .filter_map(|answer| match answer {
                Answer::Polled { accepted, chosen } => Some((*accepted, *chosen)),
                _ => None,
            })
            .collect();
        let newer: BTreeSet<_> = polled
            .iter()
            .filter_map(|(accepted, _)| *accepted)
            .filter(|ballot| *ballot > self.known)
            .collect();
        let told = polled.iter().map(|(_, chosen)| *chosen).max().filter(|chosen| *chosen > self.known);
        for ballot in newer.iter().rev() {
            let from = self.holders(*ballot);
            if from.len() >= self.majority() || Some(*ballot) == told {
                return PollOutcome::Behind { from, ballot: *ballot };
            }
        }
        if polled.len() + asked < self.majority() {
            return PollOutcome::Failed;
        }
        if polled.len() < self.majority() {
            return PollOutcome::Pending;
        }
        if newer.is_empty() && told.is_none() {
            return PollOutcome::Fresh;
        }
        // One that is not heard of yet may complete a majority, or hold what was told to be chosen.
        if asked > 0
            && (told.is_some() || newer.iter().any(|b| self.holders(*b).len() + asked >= self.majority()))
        {
            return PollOutcome::Pending;
        }
        PollOutcome::Undecided
    }
}

/// In which place `me` completes a value that was accepted under `ballot` and stays unsettled: all who see it would
/// otherwise get into each other's way, and into its proposer's, who comes last.
pub fn completion_rank(me: Ipv4Addr, voters: &[Ipv4Addr], ballot: Ballot) -> usize {
    let mut others: Vec<Ipv4Addr> =
        voters.iter().copied().filter(|ip| u32::from(*ip) != ballot.proposer).collect();
    others.sort_by_key(|ip| (rendezvous_rank(&ip.octets(), ballot.round), *ip));
    others.iter().position(|ip| *ip == me).unwrap_or(others.len())
}

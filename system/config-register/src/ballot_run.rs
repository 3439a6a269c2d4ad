//! The two phases of one ballot, shared by [`crate::Proposer`] and [`crate::Recovery`]: `Prepare` at a quorum, then `Accept`
//! at a quorum (*Paxos Made Simple*, section 2.2).

use crate::quorum::{Quorum, VoterKnowledge, are_same_voters};
use crate::{Outbox, OutgoingRequest};
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// The state of one acceptor in the ballot. `highest_version` is the value of [`BallotRun::highest_version`] when `Prepare`
/// was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum AcceptorProgress {
    PrepareSent { highest_version: u32 },
    Promised { highest_version: u32, accepted: Option<Ballot> },
    AcceptSent,
    Accepted,
    Failed,
}

/// The value proposed in phase 2, and the quorums that must accept it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    value: AcceptedValue,
    quorums: Vec<Quorum>,
}

/// The outcome of phase 1.
pub(crate) struct ReadValue {
    /// The value with the highest ballot among the promises.
    pub(crate) value: AcceptedValue,
    /// Whether its voters are known to be in force.
    pub(crate) voters_in_force: bool,
    /// Whether it is chosen already.
    pub(crate) is_chosen: bool,
}

/// The progress of a ballot.
pub(crate) enum Progress {
    /// More replies are needed.
    Wait,
    /// Requests to send.
    Send(Outbox),
    /// Phase 1 is complete.
    Read(ReadValue),
    /// Phase 2 is complete: the value is chosen.
    Accepted(AcceptedValue),
    /// An acceptor has seen this higher ballot.
    Lost(Ballot),
    /// No quorum can be reached.
    Failed,
}

/// One ballot of one proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BallotRun {
    ballot: Ballot,
    /// The proposer itself, if it has lost its disk; its vote does not count.
    recovering: Option<Ipv4Addr>,
    known: Option<RegisterValue>,
    acceptors: BTreeMap<Ipv4Addr, AcceptorProgress>,
    /// The value with the highest ballot among the promises.
    highest: Option<AcceptedValue>,
    /// How many times `highest` has been replaced by a newer value.
    highest_version: u32,
    proposal: Option<Proposal>,
    is_over: bool,
}

impl BallotRun {
    /// Starts a ballot at the voters of `known` and at `peers`.
    pub(crate) fn start(
        ballot: Ballot,
        recovering: Option<Ipv4Addr>,
        known: Option<RegisterValue>,
        peers: &[Ipv4Addr],
    ) -> Self {
        let voters = known.iter().flat_map(|known| &known.voters);
        let targets = voters.chain(peers).filter(|target| Some(**target) != recovering);
        let acceptors =
            targets.map(|ip| (*ip, AcceptorProgress::PrepareSent { highest_version: 0 })).collect();
        Self {
            ballot,
            recovering,
            known,
            acceptors,
            highest: None,
            highest_version: 0,
            proposal: None,
            is_over: false,
        }
    }

    /// The first requests.
    pub(crate) fn outbox(&self) -> Outbox {
        self.prepare_requests(self.acceptors.keys().copied())
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(crate) fn on_reply(&mut self, from: Ipv4Addr, reply: &RegisterReply) -> Progress {
        if self.is_over {
            return Progress::Wait;
        }
        match (reply, self.proposal.is_some()) {
            (RegisterReply::Rejected(seen), _) if *seen > self.ballot => self.finish(Progress::Lost(*seen)),
            (RegisterReply::Rejected(_) | RegisterReply::Recovering, _) => self.on_failure(from),
            (RegisterReply::Promised(accepted), false) => self.on_promise(from, accepted.as_ref()),
            (RegisterReply::Accepted, true) if self.acceptors.contains_key(&from) => {
                self.acceptors.insert(from, AcceptorProgress::Accepted);
                self.check_accepts()
            }
            _ => Progress::Wait,
        }
    }

    pub(crate) fn on_failure(&mut self, from: Ipv4Addr) -> Progress {
        match self.acceptors.get_mut(&from) {
            Some(state @ (AcceptorProgress::PrepareSent { .. } | AcceptorProgress::AcceptSent))
                if !self.is_over =>
            {
                *state = AcceptorProgress::Failed;
            }
            _ => return Progress::Wait,
        }
        if self.proposal.is_some() { self.check_accepts() } else { self.check_promises(Outbox::new()) }
    }

    /// Starts phase 2. `value` must have the voters of the value read, or differ from them by one node.
    pub(crate) fn propose(&mut self, value: RegisterValue) -> Outbox {
        let mut quorums = self.read_quorums();
        quorums.push(self.quorum(&value.voters, VoterKnowledge::Adjacent));
        let value = AcceptedValue { ballot: self.ballot, value };
        let targets: BTreeSet<_> = quorums.iter().flat_map(|quorum| &quorum.members).copied().collect();
        self.acceptors = targets.iter().map(|ip| (*ip, AcceptorProgress::AcceptSent)).collect();
        self.proposal = Some(Proposal { value: value.clone(), quorums });
        let request = RegisterRequest::Accept(value);
        targets.into_iter().map(|to| OutgoingRequest { to, request: request.clone() }).collect()
    }

    /// Ends the ballot: later replies are ignored.
    pub(crate) fn finish(&mut self, progress: Progress) -> Progress {
        self.is_over = true;
        progress
    }

    fn prepare_requests(&self, targets: impl IntoIterator<Item = Ipv4Addr>) -> Outbox {
        let request = RegisterRequest::Prepare(self.ballot);
        targets.into_iter().map(|to| OutgoingRequest { to, request: request.clone() }).collect()
    }

    fn on_promise(&mut self, from: Ipv4Addr, accepted: Option<&AcceptedValue>) -> Progress {
        let Some(&AcceptorProgress::PrepareSent { highest_version }) = self.acceptors.get(&from) else {
            return Progress::Wait;
        };
        let accepted_ballot = accepted.map(|accepted| accepted.ballot);
        if let Some(ballot) = accepted_ballot.filter(|ballot| *ballot >= self.ballot) {
            // The ballot was used before: nothing may be proposed under it again.
            return self.finish(Progress::Lost(ballot));
        }
        let promised = AcceptorProgress::Promised { highest_version, accepted: accepted_ballot };
        self.acceptors.insert(from, promised);
        if accepted_ballot > self.highest.as_ref().map(|highest| highest.ballot) {
            self.highest = accepted.cloned();
            self.highest_version += 1;
        }
        let targets = self.prepare_targets();
        for ip in &targets {
            let sent = AcceptorProgress::PrepareSent { highest_version: self.highest_version };
            self.acceptors.insert(*ip, sent);
        }
        self.check_promises(self.prepare_requests(targets))
    }

    /// Voters of the highest value that have not been asked, then those whose promise is outdated. For an outdated promise
    /// whose request is still in flight, the reply is awaited first.
    fn prepare_targets(&self) -> Vec<Ipv4Addr> {
        let mut targets: Vec<_> =
            self.highest.iter().flat_map(|highest| highest.value.voters.clone()).collect();
        targets.retain(|ip| !(self.acceptors.contains_key(ip) || self.recovering == Some(*ip)));
        let outdated = self.acceptors.iter().filter(|(_, state)| self.is_outdated(state));
        targets.extend(outdated.map(|(ip, _)| *ip));
        targets
    }

    /// Whether a promise came with an older value than the highest one and was requested before that was seen. See "Why a
    /// recovered voter is safe" in the crate's documentation.
    fn is_outdated(&self, state: &AcceptorProgress) -> bool {
        matches!(state, AcceptorProgress::Promised { highest_version, .. } if *highest_version < self.highest_version)
            && !self.has_highest(state)
    }

    fn has_highest(&self, state: &AcceptorProgress) -> bool {
        let highest = self.highest.as_ref().map(|highest| highest.ballot);
        matches!(state, AcceptorProgress::Promised { accepted, .. } if *accepted == highest)
    }

    /// Whether the acceptors that satisfy `agrees` contain all of the quorums.
    fn all_reached(&self, quorums: &[Quorum], agrees: impl Fn(&AcceptorProgress) -> bool) -> bool {
        let does_agree = |ip: &Ipv4Addr| self.acceptors.get(ip).is_some_and(&agrees);
        quorums.iter().all(|quorum| quorum.is_reached(does_agree))
    }

    /// Checks whether phase 1 is complete or has become impossible; otherwise sends `requests`.
    fn check_promises(&mut self, requests: Outbox) -> Progress {
        let quorums = self.read_quorums();
        let has_promised = |state: &AcceptorProgress| {
            matches!(state, AcceptorProgress::Promised { .. }) && !self.is_outdated(state)
        };
        if let Some(value) = self.highest.clone()
            && self.all_reached(&quorums, has_promised)
        {
            return self.on_promised(value, &quorums);
        }
        let is_possible = |quorum: &Quorum| {
            quorum.is_reached(|ip| self.acceptors.get(ip) != Some(&AcceptorProgress::Failed))
        };
        let known_quorum =
            self.known.as_ref().map(|known| self.quorum(&known.voters, VoterKnowledge::Adjacent));
        let is_pending =
            self.acceptors.values().any(|state| matches!(state, AcceptorProgress::PrepareSent { .. }));
        if !is_pending || known_quorum.is_some_and(|quorum| !is_possible(&quorum)) {
            return self.finish(Progress::Failed);
        }
        if requests.is_empty() { Progress::Wait } else { Progress::Send(requests) }
    }

    /// All quorums have promised, and `value` is the highest that they have accepted.
    fn on_promised(&mut self, value: AcceptedValue, quorums: &[Quorum]) -> Progress {
        let is_known_epoch = match &self.known {
            Some(known) if known.epoch > value.value.epoch => return self.finish(Progress::Failed),
            Some(known) if known.epoch == value.value.epoch => {
                if !are_same_voters(&known.voters, &value.value.voters) {
                    return self.finish(Progress::Failed);
                }
                true
            }
            _ => false,
        };
        let is_chosen = self.all_reached(quorums, |state| self.has_highest(state));
        Progress::Read(ReadValue { value, voters_in_force: is_known_epoch || is_chosen, is_chosen })
    }

    /// Checks whether phase 2 is complete or has become impossible.
    fn check_accepts(&mut self) -> Progress {
        let Some(Proposal { value, quorums }) = &self.proposal else { return Progress::Wait };
        let has_accepted = |ip: &Ipv4Addr| self.acceptors.get(ip) == Some(&AcceptorProgress::Accepted);
        let may_accept = |ip: &Ipv4Addr| self.acceptors.get(ip) != Some(&AcceptorProgress::Failed);
        if quorums.iter().all(|quorum| quorum.is_reached(has_accepted)) {
            let value = value.clone();
            return self.finish(Progress::Accepted(value));
        }
        if quorums.iter().all(|quorum| quorum.is_reached(may_accept)) {
            return Progress::Wait;
        }
        self.finish(Progress::Failed)
    }

    /// The quorums that must promise, as far as the highest value shows: among the voters that the ballot started with, and
    /// among the voters of that value.
    fn read_quorums(&self) -> Vec<Quorum> {
        let known = self.known.iter().map(|known| self.quorum(&known.voters, VoterKnowledge::Adjacent));
        let mut quorums: Vec<_> = known.collect();
        if let Some(AcceptedValue { value, .. }) = &self.highest {
            let is_adjacent = self.known.as_ref().is_some_and(|known| value.epoch <= known.epoch + 1);
            let knowledge =
                if is_adjacent { VoterKnowledge::Adjacent } else { VoterKnowledge::PredecessorUnknown };
            quorums.push(self.quorum(&value.voters, knowledge));
        }
        quorums
    }

    fn quorum(&self, voters: &[Ipv4Addr], knowledge: VoterKnowledge) -> Quorum {
        Quorum::new(voters, knowledge, self.recovering)
    }
}

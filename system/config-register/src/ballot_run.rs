//! The two rounds that [`crate::Proposer`] and [`crate::Recovery`] share.

use crate::Outbox;
use fleet_model::{AcceptedValue, Ballot, RegisterReply, RegisterRequest, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Where a machine stands in the run. `Asked` and `Promised` have the number of the newest value that was seen when
/// the machine was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Heard {
    Asked(u32),
    Promised { asked: u32, told: Option<Ballot> },
    Accepting,
    Accepted,
    Failed,
}

/// Machines of which so many must agree.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Quorum {
    members: BTreeSet<Ipv4Addr>,
    needed: usize,
}

impl Quorum {
    fn has(&self, mut agrees: impl FnMut(&Ipv4Addr) -> bool) -> bool {
        self.members.iter().filter(|member| agrees(member)).count() >= self.needed
    }
}

/// What a run has come to.
pub(crate) enum Progress {
    Wait,
    Send(Outbox),
    /// The first round has ended with this value.
    Read {
        found: AcceptedValue,
        /// Its voters are in force.
        settled: bool,
        /// It was chosen already.
        chosen: bool,
    },
    /// The second round has ended.
    Accepted(AcceptedValue),
    Lost(Ballot),
    Failed,
}

/// A run under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    me: Ipv4Addr,
    ballot: Ballot,
    /// `me` has lost its disk: its vote does not count.
    restoring: bool,
    known: Option<RegisterValue>,
    heard: BTreeMap<Ipv4Addr, Heard>,
    highest: Option<AcceptedValue>,
    /// How often `highest` has risen.
    rises: u32,
    proposed: Option<(AcceptedValue, Vec<Quorum>)>,
    over: bool,
}

impl Round {
    pub(crate) fn start(
        me: Ipv4Addr,
        ballot: Ballot,
        restoring: bool,
        known: Option<RegisterValue>,
        asked: &[Ipv4Addr],
    ) -> Self {
        let voters = known.iter().flat_map(|known| &known.voters);
        let asked = voters.chain(asked).filter(|ip| !(restoring && **ip == me));
        let heard = asked.map(|ip| (*ip, Heard::Asked(0))).collect();
        Self { me, ballot, restoring, known, heard, highest: None, rises: 0, proposed: None, over: false }
    }

    /// The first requests.
    pub(crate) fn outbox(&self) -> Outbox {
        self.heard.keys().map(|ip| (*ip, RegisterRequest::Prepare(self.ballot))).collect()
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(crate) fn on_reply(&mut self, from: Ipv4Addr, reply: &RegisterReply) -> Progress {
        if self.over {
            return Progress::Wait;
        }
        match (reply, self.proposed.is_some()) {
            (RegisterReply::Rejected(seen), _) if *seen > self.ballot => self.end(Progress::Lost(*seen)),
            (RegisterReply::Rejected(_) | RegisterReply::Recovering, _) => self.on_failure(from),
            (RegisterReply::Promised(told), false) => self.on_promise(from, told.as_ref()),
            (RegisterReply::Accepted, true) if self.heard.contains_key(&from) => {
                self.heard.insert(from, Heard::Accepted);
                self.second_round()
            }
            _ => Progress::Wait,
        }
    }

    pub(crate) fn on_failure(&mut self, from: Ipv4Addr) -> Progress {
        match self.heard.get_mut(&from) {
            Some(heard @ (Heard::Asked(_) | Heard::Accepting)) if !self.over => *heard = Heard::Failed,
            _ => return Progress::Wait,
        }
        if self.proposed.is_some() { self.second_round() } else { self.first_round(Outbox::new()) }
    }

    /// Starts the second round. `value` must have the voters of the value read, or differ from them by one machine.
    pub(crate) fn propose(&mut self, value: RegisterValue) -> Outbox {
        let mut quorums = self.quorums();
        quorums.push(self.quorum(&value.voters, false));
        let offered = AcceptedValue { ballot: self.ballot, value };
        let targets: BTreeSet<_> = quorums.iter().flat_map(|quorum| &quorum.members).copied().collect();
        self.heard = targets.iter().map(|ip| (*ip, Heard::Accepting)).collect();
        self.proposed = Some((offered.clone(), quorums));
        targets.into_iter().map(|ip| (ip, RegisterRequest::Accept(offered.clone()))).collect()
    }

    pub(crate) fn end(&mut self, progress: Progress) -> Progress {
        self.over = true;
        progress
    }

    fn on_promise(&mut self, from: Ipv4Addr, told: Option<&AcceptedValue>) -> Progress {
        let Some(Heard::Asked(asked)) = self.heard.get(&from).cloned() else { return Progress::Wait };
        let ballot = told.map(|told| told.ballot);
        if let Some(ballot) = ballot.filter(|ballot| *ballot >= self.ballot) {
            // The ballot was used before: nothing may be proposed under it again.
            return self.end(Progress::Lost(ballot));
        }
        self.heard.insert(from, Heard::Promised { asked, told: ballot });
        if ballot > self.highest.as_ref().map(|highest| highest.ballot) {
            self.highest = told.cloned();
            self.rises += 1;
        }
        let mut ask: Vec<_> = self.highest.iter().flat_map(|highest| highest.value.voters.clone()).collect();
        let is_mine = |ip: &Ipv4Addr| self.restoring && *ip == self.me;
        ask.retain(|ip| !(self.heard.contains_key(ip) || is_mine(ip)));
        // A promise that came with an older value is asked for again; one under way is waited for first.
        ask.extend(self.heard.iter().filter(|(_, heard)| self.is_overtaken(heard)).map(|(ip, _)| *ip));
        for ip in &ask {
            self.heard.insert(*ip, Heard::Asked(self.rises));
        }
        self.first_round(ask.into_iter().map(|ip| (ip, RegisterRequest::Prepare(self.ballot))).collect())
    }

    fn is_overtaken(&self, heard: &Heard) -> bool {
        matches!(heard, Heard::Promised { asked, .. } if *asked < self.rises) && !self.tells_highest(heard)
    }

    fn tells_highest(&self, heard: &Heard) -> bool {
        let highest = self.highest.as_ref().map(|highest| highest.ballot);
        matches!(heard, Heard::Promised { told, .. } if *told == highest)
    }

    fn first_round(&mut self, send: Outbox) -> Progress {
        let quorums = self.quorums();
        let holds = |heard: &Heard| matches!(heard, Heard::Promised { .. }) && !self.is_overtaken(heard);
        let all = |agrees: &dyn Fn(&Heard) -> bool| {
            quorums.iter().all(|quorum| quorum.has(|ip| self.heard.get(ip).is_some_and(agrees)))
        };
        if let Some(found) = self.highest.clone()
            && all(&holds)
        {
            let settled = match &self.known {
                Some(known) if known.epoch > found.value.epoch => return self.end(Progress::Failed),
                Some(known) if known.epoch == found.value.epoch => {
                    if !same_voters(&known.voters, &found.value.voters) {
                        return self.end(Progress::Failed);
                    }
                    true
                }
                _ => false,
            };
            let chosen = all(&|heard| self.tells_highest(heard));
            return Progress::Read { found, settled: settled || chosen, chosen };
        }
        let is_lost = |quorum: &Quorum| !quorum.has(|ip| self.heard.get(ip) != Some(&Heard::Failed));
        let known = self.known.as_ref().map(|known| self.quorum(&known.voters, false));
        let is_idle = !self.heard.values().any(|heard| matches!(heard, Heard::Asked(_)));
        if is_idle || known.is_some_and(|known| is_lost(&known)) {
            return self.end(Progress::Failed);
        }
        if send.is_empty() { Progress::Wait } else { Progress::Send(send) }
    }

    fn second_round(&mut self) -> Progress {
        let Some((offered, quorums)) = &self.proposed else { return Progress::Wait };
        let accepted = |ip: &Ipv4Addr| self.heard.get(ip) == Some(&Heard::Accepted);
        let possible = |ip: &Ipv4Addr| self.heard.get(ip) != Some(&Heard::Failed);
        if quorums.iter().all(|quorum| quorum.has(accepted)) {
            let offered = offered.clone();
            return self.end(Progress::Accepted(offered));
        }
        if quorums.iter().all(|quorum| quorum.has(possible)) {
            return Progress::Wait;
        }
        self.end(Progress::Failed)
    }

    /// Who must agree, as far as the newest value seen tells: the voters that the run started with, and that value's.
    fn quorums(&self) -> Vec<Quorum> {
        let mut quorums: Vec<_> = self.known.iter().map(|known| self.quorum(&known.voters, false)).collect();
        if let Some(AcceptedValue { value, .. }) = &self.highest {
            let is_far = self.known.as_ref().is_none_or(|known| value.epoch > known.epoch + 1);
            quorums.push(self.quorum(&value.voters, is_far));
        }
        quorums
    }

    /// How many of `voters` must agree. `is_far`: the voters in force before these are not known, so that those who
    /// agree must hold a majority of each of their neighbours.
    fn quorum(&self, voters: &[Ipv4Addr], is_far: bool) -> Quorum {
        let mut members: BTreeSet<_> = voters.iter().copied().collect();
        let count = members.len();
        let majority = count / 2 + 1;
        let is_restored_voter = self.restoring && members.remove(&self.me);
        let needed = match (is_restored_voter, is_far) {
            (false, false) => majority,
            (false, true) => count.div_ceil(2) + 1,
            (true, false) => count - majority + 1,
            // Of two voters, the one that is left may have missed what the lost one accepted with a third.
            (true, true) => (count - 1).max(2),
        };
        Quorum { members, needed }
    }
}

fn same_voters(one: &[Ipv4Addr], other: &[Ipv4Addr]) -> bool {
    BTreeSet::from_iter(one) == BTreeSet::from_iter(other)
}

/// Whether `new` is a set without repeats that has one machine more or less than `old`.
pub(crate) fn is_single_change(old: &[Ipv4Addr], new: &[Ipv4Addr]) -> bool {
    let (old, distinct) = (BTreeSet::from_iter(old), BTreeSet::from_iter(new));
    !new.is_empty() && distinct.len() == new.len() && old.symmetric_difference(&distinct).count() == 1
}

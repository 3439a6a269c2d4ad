//! Merging what others claim into the table. Every change of another member's state is made here.

use super::Membership;
use crate::effects::{Effect, MemberEvent};
use crate::table::Entry;
use crate::wire::{Claim, Status, Version};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// Most entries, dead ones included.
const MAX_ENTRIES: usize = 16_384;

/// How a claim came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// It was gossiped.
    Gossip,
    /// In a page of another's state.
    Page,
}

/// What became of a claim.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It needs no answer.
    Settled,
    /// Its teller is behind, and should be told.
    Outdated,
}

/// What was known at an address before a claim came.
struct Known {
    version: Version,
    status: Status,
    has_member: bool,
}

impl From<&Entry> for Known {
    fn from(entry: &Entry) -> Self {
        Self { version: entry.version, status: entry.status, has_member: entry.member.is_some() }
    }
}

impl Membership {
    /// A datagram tells its sender's version: one that has refuted its suspicion or removal lives.
    pub(super) fn heard_from(&mut self, now_ms: u64, from: Ipv4Addr, version: Version) {
        let Some(entry) = self.table.get(from) else { return };
        let is_same_life = entry.version.incarnation == version.incarnation;
        if !is_same_life || entry.version >= version || entry.status == Status::Left {
            return;
        }
        if let Some(member) = entry.member.clone() {
            self.change(now_ms, Claim::Alive { member, refutation: version.refutation });
        }
    }

    /// A member leaves by itself.
    pub(super) fn learn_leave(&mut self, now_ms: u64, from: Ipv4Addr, version: Version) {
        if self.table.live(from).is_some_and(|entry| entry.version <= version) {
            self.change(now_ms, Claim::Left { ip: from, version });
        }
    }

    /// Takes a claim in if it outranks what is known.
    pub(super) fn learn(&mut self, now_ms: u64, claim: Claim, source: Source) -> Outcome {
        if claim.ip() == self.local_member.ip {
            self.refute(now_ms, claim.version(), claim.status());
            return Outcome::Settled;
        }
        let Some(known) = self.table.get(claim.ip()).map(Known::from) else {
            // Who has left or was removed is remembered although it wasn't known, against late gossip.
            if claim.status() != Status::Suspect && self.table.len() < MAX_ENTRIES {
                self.change(now_ms, claim);
            }
            return Outcome::Settled;
        };
        if (claim.version(), claim.status()) <= (known.version, known.status) {
            return self.learn_older(now_ms, &claim, &known);
        }
        self.learn_newer(now_ms, claim, &known, source);
        Outcome::Settled
    }

    /// A claim that doesn't outrank what is known changes nothing, but may need an answer.
    fn learn_older(&mut self, now_ms: u64, claim: &Claim, known: &Known) -> Outcome {
        let is_same_life = known.version.incarnation == claim.version().incarnation;
        if claim.status() == Status::Alive && known.status == Status::Removed && is_same_life {
            // It counts as living elsewhere: if it does live, it refutes when it hears that it doesn't here.
            self.doubt(now_ms, claim.ip());
        }
        let claims_otherwise = claim.status() != Status::Alive && known.status.is_live();
        if claim.version() < known.version && claims_otherwise { Outcome::Outdated } else { Outcome::Settled }
    }

    fn learn_newer(&mut self, now_ms: u64, claim: Claim, known: &Known, source: Source) {
        let (ip, version) = (claim.ip(), claim.version());
        let is_same_life = known.version.incarnation == version.incarnation;
        match claim.status() {
            Status::Alive | Status::Left => self.change(now_ms, claim),
            Status::Suspect => {
                if is_same_life && known.has_member {
                    self.change(now_ms, claim);
                }
            }
            // Nobody is removed who wasn't suspected here before.
            Status::Removed if is_same_life && known.status == Status::Alive => match source {
                Source::Gossip => self.change(now_ms, Claim::Suspect { ip, version }),
                Source::Page => self.doubt(now_ms, ip),
            },
            Status::Removed if is_same_life && known.status == Status::Suspect && source == Source::Page => {}
            Status::Removed => self.change(now_ms, claim),
        }
    }

    /// Outranks whatever is said against this life.
    fn refute(&mut self, now_ms: u64, version: Version, status: Status) {
        if (version, status) <= (self.my_version(), Status::Alive) {
            return;
        }
        if version.incarnation > self.local_member.incarnation {
            self.local_member.incarnation = version.incarnation.saturating_add(1);
            self.refutation = 0;
        } else {
            self.refutation = version.refutation.saturating_add(1);
        }
        self.counters.refutations += 1;
        self.last_change = now_ms;
        self.disseminate(now_ms, self.local_member.ip);
    }

    /// Makes every change of another member's state.
    pub(super) fn change(&mut self, now_ms: u64, claim: Claim) {
        let ip = claim.ip();
        let before = self.table.get(ip).cloned();
        let after = self.entry(now_ms, claim, before.as_ref());
        let was_alone = self.table.addresses().is_empty();
        self.table.put(ip, after.clone());
        self.last_change = now_ms;
        if was_alone {
            self.start_timers(now_ms);
        }
        let was_live = before.as_ref().is_some_and(|before| before.status.is_live());
        if after.status != Status::Removed {
            self.lost.remove(&ip);
        } else if was_live {
            self.remember_lost(now_ms, ip);
        }
        if was_live && !after.status.is_live() {
            self.rejoin_soon(now_ms);
        }
        if was_live || after.status.is_live() {
            self.disseminate(now_ms, ip);
        }
        self.effects.extend(MemberEvent::between(before.as_ref(), &after).into_iter().map(Effect::Event));
    }

    /// The table's entry after a claim; what is known of a member outlasts claims that don't tell it.
    fn entry(&self, now_ms: u64, claim: Claim, before: Option<&Entry>) -> Entry {
        let (version, status) = (claim.version(), claim.status());
        let is_same_life = |before: &&Entry| before.version.incarnation == version.incarnation;
        let member = match claim {
            Claim::Alive { member, .. } => Some(member),
            _ => before.filter(is_same_life).and_then(|before| before.member.clone()),
        };
        let deadline = match status {
            Status::Alive => u64::MAX,
            Status::Suspect => now_ms + self.config.suspicion_for(self.member_count()),
            Status::Removed | Status::Left => now_ms + self.config.dead_retention_ms,
        };
        Entry { member, version, status, deadline }
    }

    /// Nothing was due while there was nobody to send to.
    fn start_timers(&mut self, now_ms: u64) {
        let first_probe = now_ms + self.random.next_u64() % self.config.probe_interval_ms.max(1);
        self.next_probe = self.next_probe.max(first_probe);
        self.next_gossip = self.next_gossip.max(now_ms);
    }
}

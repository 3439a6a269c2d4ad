//! Merging of received updates into the member table. Every change of another member's state is made here.

use super::Membership;
use crate::effects::{Effect, MemberEvent};
use crate::table::Entry;
use crate::wire::{Status, Update, Version};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// Maximum number of table entries, dead members included.
const MAX_ENTRIES: usize = 16_384;

/// Source of an update.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// Gossip on a datagram.
    Gossip,
    /// A page of another member's full state.
    Page,
}

/// Result of an update.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// No reply is needed.
    NoReply,
    /// The sender's view is outdated and should be corrected.
    SenderOutdated,
}

/// State at an address before an update.
struct KnownState {
    version: Version,
    status: Status,
    has_member: bool,
}

impl From<&Entry> for KnownState {
    fn from(entry: &Entry) -> Self {
        Self { version: entry.version, status: entry.status, has_member: entry.member.is_some() }
    }
}

impl Membership {
    /// Notes the sender's version: a member that has refuted its suspicion or death is alive.
    pub(super) fn note_sender_version(&mut self, now_ms: u64, from: Ipv4Addr, version: Version) {
        let Some(entry) = self.table.get(from) else { return };
        let is_same_incarnation = entry.version.incarnation == version.incarnation;
        if !is_same_incarnation || entry.version >= version || entry.status == Status::Left {
            return;
        }
        if let Some(member) = entry.member.clone() {
            self.apply(now_ms, Update::Alive { member, refutation: version.refutation });
        }
    }

    /// Handles a voluntary leave.
    pub(super) fn apply_leave(&mut self, now_ms: u64, from: Ipv4Addr, version: Version) {
        if self.table.live_entry(from).is_some_and(|entry| entry.version <= version) {
            self.apply(now_ms, Update::Left { ip: from, version });
        }
    }

    /// Applies an update if it takes precedence over the known state.
    pub(super) fn apply_update(&mut self, now_ms: u64, update: Update, source: Source) -> Outcome {
        if update.ip() == self.local_member.ip {
            self.refute(now_ms, update.version(), update.status());
            return Outcome::NoReply;
        }
        let Some(known) = self.table.get(update.ip()).map(KnownState::from) else {
            // Members that left or died are remembered although they were not known, against late gossip.
            if update.status() != Status::Suspect && self.table.len() < MAX_ENTRIES {
                self.apply(now_ms, update);
            }
            return Outcome::NoReply;
        };
        if (update.version(), update.status()) <= (known.version, known.status) {
            return self.handle_stale_update(now_ms, &update, &known);
        }
        self.apply_newer_update(now_ms, update, &known, source);
        Outcome::NoReply
    }

    /// An update without precedence changes nothing but may need a reply.
    fn handle_stale_update(&mut self, now_ms: u64, update: &Update, known: &KnownState) -> Outcome {
        let is_same_incarnation = known.version.incarnation == update.version().incarnation;
        if update.status() == Status::Alive && known.status == Status::Dead && is_same_incarnation {
            // It is alive in another view: if it is alive, it refutes its death when the probe reports that to it.
            self.schedule_extra_probe(now_ms, update.ip());
        }
        let conflicts = update.status() != Status::Alive && known.status.is_live();
        if update.version() < known.version && conflicts { Outcome::SenderOutdated } else { Outcome::NoReply }
    }

    fn apply_newer_update(&mut self, now_ms: u64, update: Update, known: &KnownState, source: Source) {
        let (ip, version) = (update.ip(), update.version());
        let is_same_incarnation = known.version.incarnation == version.incarnation;
        match update.status() {
            Status::Alive | Status::Left => self.apply(now_ms, update),
            Status::Suspect => {
                if is_same_incarnation && known.has_member {
                    self.apply(now_ms, update);
                }
            }
            // No member is declared dead that was not suspected here first.
            Status::Dead if is_same_incarnation && known.status == Status::Alive => match source {
                Source::Gossip => self.apply(now_ms, Update::Suspect { ip, version }),
                Source::Page => self.schedule_extra_probe(now_ms, ip),
            },
            Status::Dead
                if is_same_incarnation && known.status == Status::Suspect && source == Source::Page => {}
            Status::Dead => self.apply(now_ms, update),
        }
    }

    /// Refutes a suspicion or death of the local member: its next state has a higher version.
    fn refute(&mut self, now_ms: u64, version: Version, status: Status) {
        if (version, status) <= (self.local_version(), Status::Alive) {
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

    /// Changes another member's state; every such change is made here.
    pub(super) fn apply(&mut self, now_ms: u64, update: Update) {
        let ip = update.ip();
        let before = self.table.get(ip).cloned();
        let after = self.entry_after(now_ms, update, before.as_ref());
        let was_alone = self.table.live_addresses().is_empty();
        self.table.insert(ip, after.clone());
        self.last_change = now_ms;
        if was_alone {
            self.start_timers(now_ms);
        }
        let was_live = before.as_ref().is_some_and(|before| before.status.is_live());
        if after.status != Status::Dead {
            self.lost_addresses.remove(&ip);
        } else if was_live {
            self.remember_lost(now_ms, ip);
        }
        if was_live && !after.status.is_live() {
            self.schedule_rejoin(now_ms);
        }
        if was_live || after.status.is_live() {
            self.disseminate(now_ms, ip);
        }
        self.effects.extend(MemberEvent::between(before.as_ref(), &after).into_iter().map(Effect::Event));
    }

    /// The table entry after an update; the member's data is retained if the update has none.
    fn entry_after(&self, now_ms: u64, update: Update, before: Option<&Entry>) -> Entry {
        let (version, status) = (update.version(), update.status());
        let is_same_incarnation = |before: &&Entry| before.version.incarnation == version.incarnation;
        let member = match update {
            Update::Alive { member, .. } => Some(member),
            _ => before.filter(is_same_incarnation).and_then(|before| before.member.clone()),
        };
        let deadline = match status {
            Status::Alive => u64::MAX,
            Status::Suspect => now_ms + self.config.suspicion_for(self.member_count()),
            Status::Dead | Status::Left => now_ms + self.config.dead_retention_ms,
        };
        Entry { member, version, status, deadline }
    }

    /// Starts the timers, which are idle while no other member is known.
    fn start_timers(&mut self, now_ms: u64) {
        let first_probe = now_ms + self.rng.next_u64() % self.config.probe_interval_ms.max(1);
        self.next_probe = self.next_probe.max(first_probe);
        self.next_gossip = self.next_gossip.max(now_ms);
    }
}

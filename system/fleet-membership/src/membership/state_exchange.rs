//! Anti-entropy: two members whose views differ for a while exchange their whole states, page by page.

use super::Membership;
use super::updates::Source;
use crate::wire::{MAX_DATAGRAM, Message, Status, Update};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// How long to wait for a page.
pub(super) const PAGE_TIMEOUT_MS: u64 = 300;
/// How often a page is asked for.
const MAX_PAGE_ATTEMPTS: u32 = 3;
/// Bytes of a page's datagram beside its claims.
const PAGE_OVERHEAD_BYTES: usize = 96;
/// How long views may differ while nothing changes here, before states are exchanged.
const MIN_QUIET_DIVERGENCE_MS: u64 = 1_000;
/// How long views may differ at most.
const MAX_DIVERGENCE_MS: u64 = 5_000;
/// Views that were the same for so many probe periods no longer differ.
const DIVERGENCE_PERIODS: u64 = 3;
/// Between two exchanges for differing views.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// Pages that are being fetched.
pub(super) struct StateFetch {
    peer: Ipv4Addr,
    /// The last address of the pages that came.
    after: Option<Ipv4Addr>,
    pub(super) deadline: u64,
    attempts: u32,
}

/// For how long views have differed.
#[derive(Clone, Copy)]
pub(super) struct Divergence {
    since: u64,
    last_seen: u64,
}

impl Membership {
    /// Compares a sender's digest with this member's own view.
    pub(super) fn compare_digest(&mut self, now_ms: u64, from: Ipv4Addr, digest: [u8; 8]) {
        if u64::from_le_bytes(digest) == self.digest() || self.table.live_entry(from).is_none() {
            return;
        }
        let since = self.diverged_since(now_ms);
        self.divergence = Some(Divergence { since, last_seen: now_ms });
        if self.is_exchange_due(now_ms, since) && now_ms >= self.next_exchange {
            let jitter = self.rng.next_u64() % EXCHANGE_INTERVAL_MS;
            self.next_exchange = now_ms + EXCHANGE_INTERVAL_MS + jitter;
            self.start_fetch(now_ms, from);
        }
    }

    /// Since when views differ. Some others may be as wrong as this one, so that only every now and then one differs.
    fn diverged_since(&self, now_ms: u64) -> u64 {
        let forgotten_after = DIVERGENCE_PERIODS * self.config.probe_interval_ms;
        let ongoing = self.divergence.filter(|divergence| now_ms <= divergence.last_seen + forgotten_after);
        ongoing.map_or(now_ms, |divergence| divergence.since)
    }

    fn is_exchange_due(&self, now_ms: u64, since: u64) -> bool {
        let quiet_ms = now_ms.saturating_sub(since.max(self.last_change));
        let is_quiet = self.gossip_queue.is_empty() && quiet_ms >= MIN_QUIET_DIVERGENCE_MS;
        is_quiet || now_ms.saturating_sub(since) >= MAX_DIVERGENCE_MS
    }

    pub(super) fn start_fetch(&mut self, now_ms: u64, peer: Ipv4Addr) {
        if self.fetch.is_none() {
            self.fetch =
                Some(StateFetch { peer, after: None, deadline: now_ms + PAGE_TIMEOUT_MS, attempts: 1 });
            self.send_join(peer);
        }
    }

    /// Takes a page in, and asks for the next.
    pub(super) fn apply_page(
        &mut self,
        now_ms: u64,
        from: Ipv4Addr,
        next: Option<Ipv4Addr>,
        updates: Vec<Update>,
    ) {
        for update in updates {
            self.apply_update(now_ms, update, Source::Page);
        }
        self.continue_fetch(now_ms, from, next);
    }

    fn continue_fetch(&mut self, now_ms: u64, from: Ipv4Addr, next: Option<Ipv4Addr>) {
        let is_other =
            |fetch: &StateFetch| fetch.peer != from || next.is_some_and(|next| fetch.after >= Some(next));
        if self.fetch.as_ref().is_some_and(is_other) {
            return;
        }
        let deadline = now_ms + PAGE_TIMEOUT_MS;
        self.fetch = next.map(|next| StateFetch { peer: from, after: Some(next), deadline, attempts: 1 });
        if let Some(after) = next {
            self.send(from, Message::SyncRequest { after: Some(after), is_isolated: false }, &[]);
        }
    }

    pub(super) fn retry_fetch(&mut self, now_ms: u64) {
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.attempts >= MAX_PAGE_ATTEMPTS {
            self.fetch = None;
            return;
        }
        fetch.attempts += 1;
        fetch.deadline = now_ms + PAGE_TIMEOUT_MS;
        let (peer, after) = (fetch.peer, fetch.after);
        if after.is_none() {
            self.send_join(peer);
        } else {
            self.send(peer, Message::SyncRequest { after, is_isolated: false }, &[]);
        }
    }

    /// A page of the state for `to`: as many claims as fit.
    pub(super) fn state_page(&self, to: Ipv4Addr, after: Option<Ipv4Addr>) -> Message {
        let mut updates = Vec::new();
        let mut remaining_bytes = MAX_DATAGRAM - PAGE_OVERHEAD_BYTES;
        if after.is_none() {
            let update = self.local_update();
            remaining_bytes = remaining_bytes.saturating_sub(update.encode().len());
            updates.push(update);
        }
        let mut last = after;
        for (ip, entry) in self.table.after(after).filter(|(ip, _)| **ip != to) {
            let mut both = Vec::new();
            if let (Status::Suspect, Some(member)) = (entry.status, &entry.member) {
                both.push(Update::Alive { member: member.clone(), refutation: entry.version.refutation });
            }
            both.extend(entry.update(*ip));
            let size: usize = both.iter().map(|update| update.encode().len()).sum();
            if size > remaining_bytes {
                return Message::SyncPage { next: last.or(Some(Ipv4Addr::UNSPECIFIED)), updates };
            }
            remaining_bytes -= size;
            updates.extend(both);
            last = Some(*ip);
        }
        Message::SyncPage { next: None, updates }
    }
}

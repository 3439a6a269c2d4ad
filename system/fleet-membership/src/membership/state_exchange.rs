//! Anti-entropy: two members whose views differ for a while exchange their full states, page by page.

use super::Membership;
use super::updates::Source;
use crate::wire::{MAX_DATAGRAM, Message, Status, Update};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// Time-out of a page request, in ms.
pub(super) const PAGE_TIMEOUT_MS: u64 = 300;
/// Maximum number of requests for one page.
const MAX_PAGE_ATTEMPTS: u32 = 3;
/// Bytes of a page's datagram beside its updates.
const PAGE_OVERHEAD_BYTES: usize = 96;
/// Time in ms for which views must differ without local changes before states are exchanged.
const MIN_QUIET_DIVERGENCE_MS: u64 = 1_000;
/// Time in ms after which states are exchanged even while there are local changes.
const MAX_DIVERGENCE_MS: u64 = 5_000;
/// A divergence that was not seen for this many probe intervals has ended.
const DIVERGENCE_PERIODS: u64 = 3;
/// Minimum time between two exchanges because of a divergence, in ms.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// A fetch of another member's full state.
pub(super) struct StateFetch {
    peer: Ipv4Addr,
    /// Last address of the received pages.
    after: Option<Ipv4Addr>,
    pub(super) deadline: u64,
    attempts: u32,
}

/// A divergence of the local view from others.
#[derive(Clone, Copy)]
pub(super) struct Divergence {
    since: u64,
    last_seen: u64,
}

impl Membership {
    /// Compares a sender's digest with the local view, and starts an exchange if they differ for long.
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

    /// Start of the divergence. Some members may share the local error, so that not every digest differs.
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

    /// Applies a page and requests the next one.
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

    /// A page of the full state for `to`, with as many updates as fit.
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

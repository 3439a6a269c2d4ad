//! Anti-entropy: two members whose views differ for a while exchange their whole states, page by page.

use super::Membership;
use super::claims::Source;
use crate::wire::{Body, Claim, MAX_DATAGRAM, Status};
use rand_chacha::rand_core::RngCore;
use std::net::Ipv4Addr;

/// How long to wait for a page.
pub(super) const PAGE_TIMEOUT_MS: u64 = 300;
/// How often a page is asked for.
const PAGE_TRIES: u32 = 3;
/// Bytes of a page's datagram beside its claims.
const PAGE_OVERHEAD_BYTES: usize = 96;
/// How long views may differ while nothing changes here, before states are exchanged.
const DIVERGENCE_QUIET_MS: u64 = 1_000;
/// How long views may differ at most.
const DIVERGENCE_MOST_MS: u64 = 5_000;
/// Views that were the same for so many probe periods no longer differ.
const DIVERGENCE_PERIODS: u64 = 3;
/// Between two exchanges for differing views.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// Pages that are being fetched.
pub(super) struct Fetch {
    peer: Ipv4Addr,
    /// The last address of the pages that came.
    after: Option<Ipv4Addr>,
    pub(super) deadline: u64,
    tries: u32,
}

/// For how long views have differed.
#[derive(Clone, Copy)]
pub(super) struct Divergence {
    since: u64,
    last_seen: u64,
}

impl Membership {
    /// Compares a sender's digest with this member's own view.
    pub(super) fn compare(&mut self, now_ms: u64, from: Ipv4Addr, digest: [u8; 8]) {
        if u64::from_le_bytes(digest) == self.digest() || self.table.live(from).is_none() {
            return;
        }
        let since = self.diverged_since(now_ms);
        self.divergence = Some(Divergence { since, last_seen: now_ms });
        if self.is_exchange_due(now_ms, since) && now_ms >= self.next_exchange {
            let jitter = self.random.next_u64() % EXCHANGE_INTERVAL_MS;
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
        let is_quiet = self.gossip_queue.is_empty() && quiet_ms >= DIVERGENCE_QUIET_MS;
        is_quiet || now_ms.saturating_sub(since) >= DIVERGENCE_MOST_MS
    }

    pub(super) fn start_fetch(&mut self, now_ms: u64, peer: Ipv4Addr) {
        if self.fetch.is_none() {
            self.fetch = Some(Fetch { peer, after: None, deadline: now_ms + PAGE_TIMEOUT_MS, tries: 1 });
            self.send_join(peer);
        }
    }

    /// Takes a page in, and asks for the next.
    pub(super) fn learn_page(
        &mut self,
        now_ms: u64,
        from: Ipv4Addr,
        next: Option<Ipv4Addr>,
        claims: Vec<Claim>,
    ) {
        for claim in claims {
            self.learn(now_ms, claim, Source::Page);
        }
        self.continue_fetch(now_ms, from, next);
    }

    fn continue_fetch(&mut self, now_ms: u64, from: Ipv4Addr, next: Option<Ipv4Addr>) {
        let is_other =
            |fetch: &Fetch| fetch.peer != from || next.is_some_and(|next| fetch.after >= Some(next));
        if self.fetch.as_ref().is_some_and(is_other) {
            return;
        }
        let deadline = now_ms + PAGE_TIMEOUT_MS;
        self.fetch = next.map(|next| Fetch { peer: from, after: Some(next), deadline, tries: 1 });
        if let Some(after) = next {
            self.send(from, Body::Join { after: Some(after), alone: false }, &[]);
        }
    }

    pub(super) fn retry_fetch(&mut self, now_ms: u64) {
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.tries >= PAGE_TRIES {
            self.fetch = None;
            return;
        }
        fetch.tries += 1;
        fetch.deadline = now_ms + PAGE_TIMEOUT_MS;
        let (peer, after) = (fetch.peer, fetch.after);
        if after.is_none() {
            self.send_join(peer);
        } else {
            self.send(peer, Body::Join { after, alone: false }, &[]);
        }
    }

    /// A page of the state for `to`: as many claims as fit.
    pub(super) fn page(&self, to: Ipv4Addr, after: Option<Ipv4Addr>) -> Body {
        let mut claims = Vec::new();
        let mut room = MAX_DATAGRAM - PAGE_OVERHEAD_BYTES;
        if after.is_none() {
            let claim = self.my_claim();
            room = room.saturating_sub(claim.encode().len());
            claims.push(claim);
        }
        let mut last = after;
        for (ip, entry) in self.table.after(after).filter(|(ip, _)| **ip != to) {
            let mut both = Vec::new();
            if let (Status::Suspect, Some(member)) = (entry.status, &entry.member) {
                both.push(Claim::Alive { member: member.clone(), refutation: entry.version.refutation });
            }
            both.extend(entry.claim(*ip));
            let size: usize = both.iter().map(|claim| claim.encode().len()).sum();
            if size > room {
                return Body::Page { next: last.or(Some(Ipv4Addr::UNSPECIFIED)), claims };
            }
            room -= size;
            claims.extend(both);
            last = Some(*ip);
        }
        Body::Page { next: None, claims }
    }
}

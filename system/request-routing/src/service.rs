//! What is known of one service: its terms, who waits for it and how fast places become free.

use crate::endpoint::Bounds;
use crate::retry::runs_once;
use crate::types::*;
use micadrum::{Span, Time};
use std::collections::BTreeMap;

/// Requests that wait for one service at most.
const MOST_WAITING: usize = 2_000;
/// One that does not ask again so long after its time has left.
const GONE: u64 = 50_000;
/// Time between two looks for those.
const SWEEP: u64 = 20_000;
/// Ranks told apart; the others count as the last.
const RANKS: usize = 10;
/// Each rank that waits gets at least one in so many of the calls out.
const LEAST_SHARE: u32 = 8;
/// Weight of one more observation in a learned mean.
const LEARN: f64 = 0.1;
/// Time between two ends of calls before any was seen, in microseconds.
const FIRST_GAP: f64 = 50_000.0;
/// The longest that counts.
const MOST_GAP: u64 = 1_000_000;
/// Slots of an endpoint of which nothing tells them.
const SLOTS: u32 = 8;
/// Share of the connections that the proxies use together.
const CONNECTIONS_USED: f64 = 0.9;
/// Connections that a proxy may have to an endpoint in any case.
const LEAST_CONNECTIONS: u32 = 2;

pub(crate) fn rank_of(ask: &Ask) -> usize {
    usize::from(ask.priority).min(RANKS - 1)
}

pub(crate) struct Service {
    /// None once the configuration does not name it.
    pub terms: Option<ServiceTerms>,
    /// Indices of its endpoints in this zone that are listed as ready.
    pub near: Vec<usize>,
    /// The same of the other zones.
    pub far: Vec<usize>,
    /// Mean time to the first byte, in microseconds; 0 before the first.
    pub pace: f64,
    /// The same of requests that may run twice.
    repeatable_pace: f64,
    out: [u32; RANKS],
    waiting: [u32; RANKS],
    /// By time of arrival: rank, and when it is to ask again.
    waiters: BTreeMap<u64, (usize, Time)>,
    swept: Time,
    gap: f64,
    ended: Time,
}

impl Service {
    pub fn new() -> Service {
        Service {
            terms: None,
            near: Vec::new(),
            far: Vec::new(),
            pace: 0.0,
            repeatable_pace: 0.0,
            out: [0; RANKS],
            waiting: [0; RANKS],
            waiters: BTreeMap::new(),
            swept: Time(0),
            gap: FIRST_GAP,
            ended: Time(0),
        }
    }

    pub fn bounds(&self, proxies: u32) -> Bounds {
        let terms = self.terms.as_ref();
        let all = terms.map_or(0, |terms| terms.max_connections);
        let share = (CONNECTIONS_USED * f64::from(all) / f64::from(proxies)) as u32;
        Bounds {
            engine: terms.is_some_and(|terms| terms.engine),
            proxies,
            connections: if all == 0 { u32::MAX } else { share.max(LEAST_CONNECTIONS) },
            default_slots: terms.and_then(|terms| terms.slots).unwrap_or(SLOTS),
        }
    }

    /// Whether nothing holds it any more.
    pub fn idle(&self) -> bool {
        self.terms.is_none() && self.near.is_empty() && self.far.is_empty() && self.out == [0; RANKS]
    }

    pub fn send(&mut self, ask: &Ask) {
        self.out[rank_of(ask)] += 1;
        self.leave(ask);
    }

    pub fn end(&mut self, now: Time, ask: &Ask) {
        let out = &mut self.out[rank_of(ask)];
        *out = out.saturating_sub(1);
        if self.ended > Time(0) {
            self.gap += LEARN * (now.since(self.ended).min(MOST_GAP) as f64 - self.gap);
        }
        self.ended = now;
    }

    pub fn learn_pace(&mut self, ask: &Ask, elapsed: Span) {
        let learn = |mean: &mut f64| {
            let took = elapsed.0 as f64;
            *mean = if *mean > 0.0 { *mean + LEARN * (took - *mean) } else { took };
        };
        learn(&mut self.pace);
        if !runs_once(ask) {
            learn(&mut self.repeatable_pace);
        }
    }

    /// Mean time to the first byte of requests that may run twice, in microseconds; 0 before the first.
    pub fn repeatable_pace(&self) -> f64 {
        self.repeatable_pace
    }

    /// Whether one of this rank leaves a free place to another rank: to a more urgent one that waits, once it has its
    /// least share, and to a less urgent one that waits and has not.
    pub fn yields(&self, rank: usize) -> bool {
        let total: u32 = self.out.iter().sum();
        let lacks = |rank: usize| self.out[rank] * LEAST_SHARE < total.max(1);
        let urgent_waits = self.waiting[..rank].iter().any(|count| *count > 0);
        let starved = (rank + 1..RANKS).any(|other| self.waiting[other] > 0 && lacks(other));
        let most = self.out[rank] * LEAST_SHARE > total * (LEAST_SHARE - 1);
        (urgent_waits && !lacks(rank)) || (starved && most && total >= LEAST_SHARE)
    }

    /// One waits, until then; false if there is no room for it.
    pub fn hold(&mut self, ask: &Ask, until: Time) -> bool {
        let rank = rank_of(ask);
        if let Some(waiter) = self.waiters.get_mut(&ask.arrived.0) {
            waiter.1 = until;
            return true;
        }
        if self.waiters.len() >= MOST_WAITING {
            return false;
        }
        self.waiters.insert(ask.arrived.0, (rank, until));
        self.waiting[rank] += 1;
        true
    }

    /// One waits no more.
    pub fn leave(&mut self, ask: &Ask) {
        if let Some((rank, _)) = self.waiters.remove(&ask.arrived.0) {
            self.waiting[rank] -= 1;
        }
    }

    /// Those that have not asked again have left.
    pub fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        let waiting = &mut self.waiting;
        self.waiters.retain(|_, (rank, until)| {
            let stays = now.since(*until) <= GONE;
            waiting[*rank] -= u32::from(!stays);
            stays
        });
    }

    /// Time until a place becomes free, in microseconds.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// Time until one becomes free for a newcomer, behind those that wait.
    pub fn turn(&self) -> f64 {
        self.gap * (self.waiters.len() + 1) as f64
    }
}

//! Who of one service's requests may take a free place: priorities that wait, and the least share of each.

use crate::policy::RoutingPolicy;
use crate::types::*;
use message_sender::Time;
use std::collections::BTreeMap;

/// Requests that wait for one service at most.
const MOST_WAITING: usize = 2_000;
/// One that does not ask again so long after its time has left, in microseconds.
const GONE: u64 = 50_000;
/// Time between two looks for those, in microseconds.
const SWEEP: u64 = 20_000;
/// Priorities told apart; the others count as the last.
pub(crate) const PRIORITIES: usize = 10;
/// Each priority that waits gets at least one in so many of the calls out.
const LEAST_SHARE: u32 = 8;

pub(crate) fn priority_of(request: &RoutingRequest) -> usize {
    usize::from(request.priority).min(PRIORITIES - 1)
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    priority: usize,
    /// When it is to ask again.
    until: Time,
}

/// The calls out and the requests that wait, by priority.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    in_flight: [u32; PRIORITIES],
    waiting: [u32; PRIORITIES],
    /// By time of arrival.
    waiters: BTreeMap<u64, Waiter>,
    swept: Time,
}

impl Admission {
    /// Whether no call is out.
    pub fn idle(&self) -> bool {
        self.in_flight == [0; PRIORITIES]
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    pub fn sent(&mut self, request: &RoutingRequest) {
        self.in_flight[priority_of(request)] += 1;
        self.leave(request);
    }

    pub fn ended(&mut self, request: &RoutingRequest) {
        let in_flight = &mut self.in_flight[priority_of(request)];
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Whether one of this priority leaves a free place to another: to a more urgent one that waits, once it has its
    /// least share, and to a less urgent one that waits and has not.
    pub fn yields(&self, priority: usize, policy: &RoutingPolicy) -> bool {
        let total: u32 = self.in_flight.iter().sum();
        let lacks =
            |priority: usize| policy.minimum_share && self.in_flight[priority] * LEAST_SHARE < total.max(1);
        let urgent_waits = policy.priority_yield && self.waiting[..priority].iter().any(|count| *count > 0);
        let starved = (priority + 1..PRIORITIES).any(|other| self.waiting[other] > 0 && lacks(other));
        let most = self.in_flight[priority] * LEAST_SHARE > total * (LEAST_SHARE - 1);
        (urgent_waits && !lacks(priority)) || (starved && most && total >= LEAST_SHARE)
    }

    /// One waits, until then; false if there is no room for it.
    pub fn hold(&mut self, request: &RoutingRequest, until: Time) -> bool {
        let priority = priority_of(request);
        if let Some(waiter) = self.waiters.get_mut(&request.arrived_at.0) {
            waiter.until = until;
            return true;
        }
        if self.waiters.len() >= MOST_WAITING {
            return false;
        }
        self.waiters.insert(request.arrived_at.0, Waiter { priority, until });
        self.waiting[priority] += 1;
        true
    }

    /// One waits no more.
    pub fn leave(&mut self, request: &RoutingRequest) {
        if let Some(waiter) = self.waiters.remove(&request.arrived_at.0) {
            self.waiting[waiter.priority] -= 1;
        }
    }

    /// Those that have not asked again have left.
    pub fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        let waiting = &mut self.waiting;
        self.waiters.retain(|_, waiter| {
            let stays = now.since(waiter.until) <= GONE;
            waiting[waiter.priority] -= u32::from(!stays);
            stays
        });
    }
}

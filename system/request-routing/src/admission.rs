//! Admission queue of one service: priorities, and the minimum share that each priority is guaranteed.

use crate::policy::RoutingPolicy;
use crate::types::RoutingRequest;
use message_sender::Time;
use std::collections::BTreeMap;

/// Upper bound on the requests that wait for one service.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// A waiting request that has not polled again this long after its retry time counts as abandoned, in microseconds.
const ABANDONED_AFTER_MICROS: u64 = 50_000;
/// Interval between sweeps for abandoned requests, in microseconds.
const SWEEP_INTERVAL_MICROS: u64 = 20_000;
/// Number of distinct priorities; higher values count as the last.
pub(crate) const PRIORITY_COUNT: usize = 10;
/// Each priority that waits is guaranteed one in this many of the calls in flight.
const MINIMUM_SHARE_DIVISOR: u32 = 8;

/// The request's priority as an index below [`PRIORITY_COUNT`].
pub(crate) fn priority_of(request: &RoutingRequest) -> usize {
    usize::from(request.priority).min(PRIORITY_COUNT - 1)
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    priority: usize,
    /// When it polls again.
    next_poll: Time,
}

/// Calls in flight and waiting requests, by priority.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    in_flight_by_priority: [u32; PRIORITY_COUNT],
    waiting_by_priority: [u32; PRIORITY_COUNT],
    /// By time of arrival.
    waiters: BTreeMap<u64, WaitingRequest>,
    last_sweep: Time,
}

impl AdmissionQueue {
    /// Whether no call is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight_by_priority == [0; PRIORITY_COUNT]
    }

    /// Number of waiting requests.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiters.len()
    }

    /// Records that a request is sent; it no longer waits.
    pub(crate) fn record_send(&mut self, request: &RoutingRequest) {
        self.in_flight_by_priority[priority_of(request)] += 1;
        self.remove(request);
    }

    /// Records that a call is completed.
    pub(crate) fn record_completion(&mut self, request: &RoutingRequest) {
        let in_flight = &mut self.in_flight_by_priority[priority_of(request)];
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Whether a request of this priority leaves a free slot to another one: to a waiting one of higher priority, once
    /// its own priority has its minimum share, or to a waiting one of lower priority whose priority lacks its share.
    pub(crate) fn yields(&self, priority: usize, policy: &RoutingPolicy) -> bool {
        let total: u32 = self.in_flight_by_priority.iter().sum();
        let lacks_share = |priority: usize| {
            policy.minimum_share
                && self.in_flight_by_priority[priority] * MINIMUM_SHARE_DIVISOR < total.max(1)
        };
        let urgent_waits =
            policy.priority_yield && self.waiting_by_priority[..priority].iter().any(|count| *count > 0);
        let starved = (priority + 1..PRIORITY_COUNT)
            .any(|other| self.waiting_by_priority[other] > 0 && lacks_share(other));
        let dominates = self.in_flight_by_priority[priority] * MINIMUM_SHARE_DIVISOR
            > total * (MINIMUM_SHARE_DIVISOR - 1);
        (urgent_waits && !lacks_share(priority)) || (starved && dominates && total >= MINIMUM_SHARE_DIVISOR)
    }

    /// Enqueues a request until its next poll; false if the queue is full.
    pub(crate) fn enqueue(&mut self, request: &RoutingRequest, next_poll: Time) -> bool {
        let priority = priority_of(request);
        if let Some(waiter) = self.waiters.get_mut(&request.arrived_at.0) {
            waiter.next_poll = next_poll;
            return true;
        }
        if self.waiters.len() >= MAX_WAITING_REQUESTS {
            return false;
        }
        self.waiters.insert(request.arrived_at.0, WaitingRequest { priority, next_poll });
        self.waiting_by_priority[priority] += 1;
        true
    }

    /// Removes a request that no longer waits.
    pub(crate) fn remove(&mut self, request: &RoutingRequest) {
        if let Some(waiter) = self.waiters.remove(&request.arrived_at.0) {
            self.waiting_by_priority[waiter.priority] -= 1;
        }
    }

    /// Removes abandoned requests.
    pub(crate) fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL_MICROS {
            return;
        }
        self.last_sweep = now;
        let waiting = &mut self.waiting_by_priority;
        self.waiters.retain(|_, waiter| {
            let retained = now.since(waiter.next_poll) <= ABANDONED_AFTER_MICROS;
            waiting[waiter.priority] -= u32::from(!retained);
            retained
        });
    }
}

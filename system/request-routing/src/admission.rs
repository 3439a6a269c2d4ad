//! Admission queue of one service: priorities, and the minimum share that is guaranteed to each of them.

use crate::policy::RoutingPolicy;
use crate::types::RoutingRequest;
use message_sender::Time;
use std::collections::BTreeMap;

/// Upper bound on the requests that wait for one service.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// A waiting request that is not routed again within this time after its next poll counts as abandoned, in
/// microseconds.
const ABANDONED_AFTER_MICROS: u64 = 50_000;
/// Interval between sweeps for abandoned requests, in microseconds.
const SWEEP_INTERVAL_MICROS: u64 = 20_000;
/// Number of distinct priorities; higher values are treated as the lowest one.
pub(crate) const PRIORITY_COUNT: usize = 10;
/// Each priority with waiting requests is guaranteed one in this many of the calls in flight.
const MINIMUM_SHARE_DIVISOR: u32 = 8;

/// The request's priority as an index below [`PRIORITY_COUNT`].
pub(crate) fn priority_of(request: &RoutingRequest) -> usize {
    usize::from(request.priority).min(PRIORITY_COUNT - 1)
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    priority: usize,
    /// When the host is expected to route the request again.
    next_poll: Time,
}

/// Calls in flight and waiting requests, by priority.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    in_flight_by_priority: [u32; PRIORITY_COUNT],
    waiting_by_priority: [u32; PRIORITY_COUNT],
    /// Waiting requests by time of arrival in microseconds.
    waiters: BTreeMap<u64, WaitingRequest>,
    last_sweep: Time,
}

impl AdmissionQueue {
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight_by_priority == [0; PRIORITY_COUNT]
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.waiters.len()
    }

    /// Records that a request is sent and removes it from the queue.
    pub(crate) fn record_send(&mut self, request: &RoutingRequest) {
        self.in_flight_by_priority[priority_of(request)] += 1;
        self.remove(request);
    }

    /// Records that a call is completed.
    pub(crate) fn record_completion(&mut self, request: &RoutingRequest) {
        let in_flight = &mut self.in_flight_by_priority[priority_of(request)];
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Whether a request of this priority has to leave a free slot to a waiting request: to one of higher priority,
    /// unless its own priority lacks its minimum share, or to one of a lower priority that lacks its share while this
    /// priority has almost all calls in flight.
    pub(crate) fn must_yield(&self, priority: usize, policy: &RoutingPolicy) -> bool {
        let total: u32 = self.in_flight_by_priority.iter().sum();
        let lacks_share = |priority: usize| {
            policy.minimum_share
                && self.in_flight_by_priority[priority] * MINIMUM_SHARE_DIVISOR < total.max(1)
        };
        let higher_priority_waits =
            policy.priority_yield && self.waiting_by_priority[..priority].iter().any(|count| *count > 0);
        let starved_priority_waits = (priority + 1..PRIORITY_COUNT)
            .any(|other| self.waiting_by_priority[other] > 0 && lacks_share(other));
        let dominates = self.in_flight_by_priority[priority] * MINIMUM_SHARE_DIVISOR
            > total * (MINIMUM_SHARE_DIVISOR - 1);
        (higher_priority_waits && !lacks_share(priority))
            || (starved_priority_waits && dominates && total >= MINIMUM_SHARE_DIVISOR)
    }

    /// Enqueues a request, or postpones the next poll of one in the queue; false if the queue is full.
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

    /// Removes a request that is sent or given up.
    pub(crate) fn remove(&mut self, request: &RoutingRequest) {
        if let Some(waiter) = self.waiters.remove(&request.arrived_at.0) {
            self.waiting_by_priority[waiter.priority] -= 1;
        }
    }

    /// Removes abandoned requests, at most once per sweep interval.
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

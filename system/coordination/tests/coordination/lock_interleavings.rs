//! Exhaustive search over the interleavings of two callers of one lock with one or two calls each. The steps are sending,
//! proposing, applying and answering a call, one change of leader, and the passing of time. A caller measures its hold from the
//! time it sent the call, a leader from the time it applied it. The two callers must never hold the lock at the same time.

use crate::commands::{acquire_after_expiry, batch, renew};
use coordination::{CoordinationState, HoldTracker};
use fleet_model::{CoordinationCommand, CoordinationOutcome};
use googletest::prelude::*;
use std::collections::{HashSet, VecDeque};

const LOCK: &str = "l";
const CALLERS: [&str; 2] = ["a", "b"];
/// The hold of each call of each caller, in milliseconds. The second call of the first caller asks for a shorter hold.
const HOLDS_MS: [&[u64]; 2] = [&[200, 50], &[100]];
/// The time that passes in one step, in milliseconds.
const TICK_MS: u64 = 50;
/// Older times are treated alike, because no hold lasts this long.
const MAX_AGE_MS: u64 = 300;

/// The time from which a leader measures a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldStart {
    /// When the command is applied.
    Apply,
    /// Fault: when the previous command was applied, as if the clock were read at the end of the previous batch.
    PreviousApply,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Sent,
    Proposed(CoordinationCommand),
    Answered(CoordinationOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    caller: usize,
    call_number: usize,
    sent_ms: u64,
    /// The fencing token, if the call is a renewal.
    renewed_fence: Option<u64>,
    stage: Stage,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Caller {
    sent_calls: usize,
    /// The number, in order of sending, of the latest granted call.
    last_granted_call: Option<usize>,
    fence: Option<u64>,
    /// The time until which the caller considers itself the holder.
    holds_until_ms: u64,
}

#[derive(Clone, Debug)]
struct Model {
    now_ms: u64,
    last_apply_ms: u64,
    can_change_leader: bool,
    state: CoordinationState,
    tracker: HoldTracker,
    callers: [Caller; 2],
    calls: Vec<Call>,
    /// The last fencing token that each caller was granted.
    fences: [u64; 2],
}

impl Model {
    fn new() -> Self {
        Self {
            now_ms: 0,
            last_apply_ms: 0,
            can_change_leader: true,
            state: CoordinationState::default(),
            tracker: HoldTracker::default(),
            callers: Default::default(),
            calls: Vec::new(),
            fences: [0; 2],
        }
    }

    fn has_two_holders(&self) -> bool {
        self.callers.iter().all(|caller| self.now_ms < caller.holds_until_ms)
    }

    /// Identifies equivalent states. Times are relative to now and capped, so that the search ends without a limit on time.
    fn dedup_key(&self) -> impl Eq + std::hash::Hash + use<> {
        let age = |time_ms: u64| (self.now_ms - time_ms).min(MAX_AGE_MS);
        let mut calls = self.calls.clone();
        calls.sort_by_key(|call| (call.caller, call.call_number));
        calls.iter_mut().for_each(|call| call.sent_ms = age(call.sent_ms));
        let mut callers = self.callers.clone();
        callers
            .iter_mut()
            .for_each(|caller| caller.holds_until_ms = caller.holds_until_ms.saturating_sub(self.now_ms));
        (
            (age(self.last_apply_ms), self.can_change_leader),
            self.state.snapshot(),
            self.tracker.remaining_ms(LOCK, &self.state, self.now_ms),
            (callers, calls, self.fences),
        )
    }

    fn successors(&self, hold_start: HoldStart) -> Vec<Self> {
        let mut successors = vec![Self { now_ms: self.now_ms + TICK_MS, ..self.clone() }];
        if self.can_change_leader {
            successors.push(self.with_new_leader());
        }
        for (index, caller) in self.callers.iter().enumerate() {
            if caller.sent_calls < HOLDS_MS[index].len() {
                successors.push(self.with_sent(index, None));
                successors.extend(caller.fence.map(|fence| self.with_sent(index, Some(fence))));
            }
        }
        for call in 0..self.calls.len() {
            successors.push(match &self.calls[call].stage {
                Stage::Sent => self.with_proposed(call),
                Stage::Proposed(command) => self.with_applied(call, command, hold_start),
                Stage::Answered(outcome) => self.with_answered(call, outcome),
            });
        }
        successors
    }

    /// Another process becomes leader. It restores the state from a snapshot and observes the holds for the first time.
    fn with_new_leader(&self) -> Self {
        let state = CoordinationState::restore(&self.state.snapshot()).unwrap();
        let mut tracker = HoldTracker::default();
        tracker.observe(&state, self.now_ms);
        Self { state, tracker, can_change_leader: false, ..self.clone() }
    }

    fn with_sent(&self, caller: usize, renewed_fence: Option<u64>) -> Self {
        let mut model = self.clone();
        let call_number = model.callers[caller].sent_calls;
        model.callers[caller].sent_calls += 1;
        model.calls.push(Call {
            caller,
            call_number,
            sent_ms: self.now_ms,
            renewed_fence,
            stage: Stage::Sent,
        });
        model
    }

    fn with_proposed(&self, call: usize) -> Self {
        let mut model = self.clone();
        let Call { caller, call_number, renewed_fence, .. } = self.calls[call];
        let (holder, hold_ms) = (CALLERS[caller], HOLDS_MS[caller][call_number]);
        let command = match renewed_fence {
            Some(fence) => renew(LOCK, holder, fence, hold_ms),
            None => {
                let is_expired = self.tracker.is_expired(LOCK, &self.state, self.now_ms);
                let grant = self.state.lock(LOCK).map(|lock| lock.grant).filter(|_| is_expired);
                acquire_after_expiry(LOCK, holder, hold_ms, grant)
            }
        };
        model.calls[call].stage = Stage::Proposed(command);
        model
    }

    fn with_applied(&self, call: usize, command: &CoordinationCommand, hold_start: HoldStart) -> Self {
        let mut model = self.clone();
        let outcome = model.state.apply(&batch(0, vec![command.clone()])).remove(0);
        let seen_ms = match hold_start {
            HoldStart::Apply => self.now_ms,
            HoldStart::PreviousApply => self.last_apply_ms,
        };
        model.tracker.observe(&model.state, seen_ms);
        if hold_start == HoldStart::PreviousApply {
            model.last_apply_ms = self.now_ms;
        }
        if let CoordinationOutcome::LockGranted { fence } = outcome {
            let caller = self.calls[call].caller;
            assert!(
                fence > self.fences[1 - caller],
                "fencing token is not above the other caller's: {self:?}"
            );
            assert!(
                fence >= self.fences[caller],
                "fencing token is below the caller's previous one: {self:?}"
            );
            model.fences[caller] = fence;
        }
        model.calls[call].stage = Stage::Answered(outcome);
        model
    }

    fn with_answered(&self, call: usize, outcome: &CoordinationOutcome) -> Self {
        let mut model = self.clone();
        let Call { caller, call_number, sent_ms, renewed_fence, .. } = model.calls.remove(call);
        let holder = &mut model.callers[caller];
        let is_too_late = renewed_fence.is_some() && self.now_ms >= holder.holds_until_ms;
        match outcome {
            CoordinationOutcome::LockGranted { fence } if !is_too_late => {
                holder.fence = Some(*fence);
                if holder.last_granted_call.is_none_or(|last| last < call_number) {
                    holder.last_granted_call = Some(call_number);
                    holder.holds_until_ms = sent_ms + HOLDS_MS[caller][call_number];
                }
            }
            // The caller gives up the lock if a renewal is denied or its reply arrives too late. A denied acquisition does not
            // affect a hold.
            _ if renewed_fence.is_some() => {
                holder.fence = None;
                holder.holds_until_ms = 0;
            }
            _ => {}
        }
        model
    }
}

/// The result of a search, which is exhaustive unless it ended at a violation.
struct SearchResult {
    /// A state in which both callers hold the lock.
    violation: Option<Model>,
    /// Number of states in which the second caller holds the lock after the first caller held it.
    takeovers: usize,
}

fn search(hold_start: HoldStart) -> SearchResult {
    let mut result = SearchResult { violation: None, takeovers: 0 };
    let mut visited = HashSet::new();
    let mut frontier = VecDeque::from([Model::new()]);
    while let Some(model) = frontier.pop_front() {
        if model.has_two_holders() {
            result.violation = Some(model);
            break;
        }
        let [first, second] = &model.callers;
        result.takeovers +=
            usize::from(first.last_granted_call.is_some() && model.now_ms < second.holds_until_ms);
        let successors = model.successors(hold_start).into_iter();
        frontier.extend(successors.filter(|successor| visited.insert(successor.dedup_key())));
    }
    println!("{hold_start:?}: {} states, {} takeovers", visited.len(), result.takeovers);
    result
}

#[gtest]
fn two_callers_never_hold_the_lock_at_the_same_time() {
    let result = search(HoldStart::Apply);
    expect_that!(result.violation, none());
    expect_that!(result.takeovers, gt(100));
}

#[gtest]
fn the_search_detects_a_hold_measured_from_before_its_apply() {
    expect_that!(search(HoldStart::PreviousApply).violation, some(anything()));
}

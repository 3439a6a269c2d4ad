//! The node as proposer: it changes the register's value, one attempt at a time.

use crate::{ControlBackend, ControlEvent, ControlNode};
use bytes::Bytes;
use config_register::{Change, OutgoingRequest, Proposer, ProposerStep};
use fleet_model::{Ballot, ControlState, RegisterValue};
use futures_util::stream::{FuturesUnordered, StreamExt};
use node_runtime::{Runtime, timeout_at};
use std::net::Ipv4Addr;
use std::time::Duration;

/// How long to wait for the reply of an acceptor.
pub(crate) const REGISTER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The change to make to the state that was read.
pub(crate) enum ProposedChange {
    /// None: the state is as wanted, or the change is impossible.
    Keep,
    /// Replace the state.
    State(Box<ControlState>),
    /// Replace the voters by a set with one node more or fewer.
    Voters(Vec<Ipv4Addr>),
}

impl From<Option<ControlState>> for ProposedChange {
    fn from(state: Option<ControlState>) -> Self {
        state.map_or(Self::Keep, |state| Self::State(Box::new(state)))
    }
}

/// The parts of the chosen value by which an attempt tells that its change was made.
#[derive(Default)]
struct ExpectedValue {
    payload: Option<Bytes>,
    voters: Option<Vec<Ipv4Addr>>,
}

impl ExpectedValue {
    fn matches(&self, value: &RegisterValue) -> bool {
        self.payload.as_ref().is_none_or(|payload| *payload == value.payload)
            && self.voters.as_ref().is_none_or(|voters| *voters == value.voters)
    }
}

/// The outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// A value is chosen and adopted.
    Chosen {
        /// Whether it contains the change.
        has_change: bool,
    },
    /// A higher ballot was seen.
    Lost,
    /// No quorum was reached.
    Failed,
    /// The deadline passed first.
    TimedOut,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The ballot of a new attempt.
    pub(crate) fn next_ballot(&self) -> Ballot {
        self.count_attempt();
        self.ballots.borrow_mut().next_ballot()
    }

    /// The ballot of a recovery attempt, which is not overtaken by a flood of others' ballots.
    pub(crate) fn recovery_ballot(&self) -> Ballot {
        self.count_attempt();
        self.ballots.borrow_mut().recovery_ballot()
    }

    fn count_attempt(&self) {
        let mut rounds = self.rounds.get();
        rounds.begun += 1;
        self.rounds.set(rounds);
    }

    /// Notes a ballot: later ones of this node are above it.
    pub(crate) fn observe_ballot(&self, ballot: Ballot) {
        self.ballots.borrow_mut().observe(ballot);
    }

    /// Changes the state. Returns true once the register is as wanted, through this node or another.
    pub(crate) async fn change(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState) -> ProposedChange,
    ) -> bool {
        self.propose(within, |state, _| wanted(state)).await
    }

    /// As [`ControlNode::change`], for changes that depend on the voters or replace them.
    pub(crate) async fn propose(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> bool {
        let deadline = self.runtime.now() + within;
        let Some(_alone) = timeout_at(&self.runtime, deadline, self.proposing.lock()).await else {
            return false;
        };
        while self.wait_for_turn(deadline).await {
            match self.attempt(deadline, &mut wanted).await {
                AttemptOutcome::Chosen { has_change: true } => return true,
                AttemptOutcome::Chosen { has_change: false }
                | AttemptOutcome::Lost
                | AttemptOutcome::Failed => {}
                AttemptOutcome::TimedOut => return false,
            }
        }
        false
    }

    /// One attempt, until the deadline.
    pub(crate) async fn attempt(
        &self,
        deadline: Duration,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> AttemptOutcome {
        let Some(known) = self.known.borrow().clone() else { return AttemptOutcome::TimedOut };
        timeout_at(&self.runtime, deadline, self.run_ballot(&known, wanted))
            .await
            .unwrap_or(AttemptOutcome::TimedOut)
    }

    /// Waits until no competing ballot is in progress and the backoff after a lost one is over; false if that is after the
    /// deadline.
    pub(crate) async fn wait_for_turn(&self, deadline: Duration) -> bool {
        while self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            // The random part keeps waiting proposers from starting at the same moment.
            let delay = Duration::from_millis(10 + self.runtime.random_u64() % 15);
            if self.runtime.now() + delay >= deadline {
                return false;
            }
            self.runtime.sleep(delay).await;
        }
        true
    }

    /// Counts an attempt that lost to a higher ballot or reached no quorum, and backs off.
    pub(crate) fn on_attempt_lost(&self) {
        let mut rounds = self.rounds.get();
        rounds.lost += 1;
        self.rounds.set(rounds);
        self.backoff.borrow_mut().on_lost(self.runtime.now_ms(), self.runtime.random_u64());
    }

    /// The change to propose on top of the value that was read.
    fn proposed(
        &self,
        read: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> (Change, Option<ExpectedValue>) {
        let state = match ControlState::from_payload(&read.payload) {
            Ok(state) => state,
            Err(error) => {
                self.backend.on_event(&ControlEvent::Unreadable(&error.to_string()));
                return (Change::Keep, None);
            }
        };
        match wanted(&state, &read.voters) {
            ProposedChange::Keep => (Change::Keep, Some(ExpectedValue::default())),
            ProposedChange::State(state) => match state.to_payload() {
                Ok(payload) => {
                    let expected_value = ExpectedValue { payload: Some(payload.clone()), voters: None };
                    (Change::Set(payload), Some(expected_value))
                }
                Err(_) => (Change::Keep, None),
            },
            ProposedChange::Voters(voters) => {
                let expected_value = ExpectedValue { payload: None, voters: Some(voters.clone()) };
                (Change::Voters(voters), Some(expected_value))
            }
        }
    }

    async fn run_ballot(
        &self,
        known: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> AttemptOutcome {
        let mut proposal = Proposer::start(self.next_ballot(), known);
        let mut expected_value: Option<ExpectedValue> = None;
        let mut change = |read: &RegisterValue| {
            let (change, new_expected) = self.proposed(read, wanted);
            if new_expected.is_some() {
                expected_value = new_expected;
            }
            change
        };
        let mut calls = FuturesUnordered::new();
        let call = |OutgoingRequest { to, request }: OutgoingRequest| async move {
            (to, self.call_register(to, request, REGISTER_CALL_TIMEOUT).await)
        };
        calls.extend(proposal.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => proposal.on_reply(ip, &reply, &mut change),
                None => proposal.on_failure(ip, &mut change),
            };
            match step {
                ProposerStep::Wait => {}
                ProposerStep::Send(requests) => calls.extend(requests.into_iter().map(call)),
                ProposerStep::Done(value) => {
                    let has_change = expected_value
                        .as_ref()
                        .is_some_and(|expected_value| expected_value.matches(&value.value));
                    self.backoff.borrow_mut().reset();
                    self.adopt(value);
                    self.poll_now.notify_one();
                    return AttemptOutcome::Chosen { has_change };
                }
                ProposerStep::Lost { seen } => {
                    self.observe_ballot(seen);
                    self.on_attempt_lost();
                    return AttemptOutcome::Lost;
                }
                ProposerStep::Failed => break,
            }
        }
        self.on_attempt_lost();
        AttemptOutcome::Failed
    }
}

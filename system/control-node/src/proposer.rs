//! The proposer role: changes the register's value, one ballot at a time.

use crate::{ControlBackend, ControlEvent, ControlNode};
use bytes::Bytes;
use config_register::{Change, OutgoingRequest, Proposer, ProposerStep};
use fleet_model::{Ballot, ControlState, RegisterValue};
use futures_util::stream::{FuturesUnordered, StreamExt};
use node_runtime::{Runtime, timeout_at};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Timeout of a request to an acceptor on a fast disk; see [`VoteDelay`](crate::vote_delay::VoteDelay).
const REGISTER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The change to propose on top of the state that phase 1 has read.
pub(crate) enum ProposedChange {
    /// Propose the same value: it needs no change, or the change is not possible.
    Keep,
    /// Replace the state.
    State(Box<ControlState>),
    /// Replace the voters with a set that has one node more or one node fewer.
    Voters(Vec<Ipv4Addr>),
}

impl From<Option<ControlState>> for ProposedChange {
    fn from(state: Option<ControlState>) -> Self {
        state.map_or(Self::Keep, |state| Self::State(Box::new(state)))
    }
}

/// The parts of the proposed value that the chosen value must contain for the change to have been made.
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

/// The outcome of one ballot.
pub(crate) enum AttemptOutcome {
    /// A value is chosen and adopted.
    Chosen {
        /// Whether the chosen value contains the change.
        has_change: bool,
    },
    /// An acceptor has promised a higher ballot.
    Lost,
    /// No quorum was reached.
    Failed,
    /// The deadline passed before a value was chosen, or the node does not know the voters.
    TimedOut,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// How long a vote takes at present, in milliseconds.
    pub(crate) fn vote_delay_ms(&self) -> u64 {
        u64::try_from(self.replica.vote_delay().get().as_millis()).unwrap_or(u64::MAX)
    }

    /// The timeout of a request to an acceptor.
    pub(crate) fn register_call_timeout(&self) -> Duration {
        self.replica.vote_delay().call_timeout(REGISTER_CALL_TIMEOUT)
    }

    /// The time limit of a change that may take `usual` on a fast disk.
    pub(crate) fn change_timeout(&self, usual: Duration) -> Duration {
        self.replica.vote_delay().change_timeout(usual)
    }

    /// Counts an attempt and returns a new ballot for it.
    pub(crate) fn next_ballot(&self) -> Ballot {
        self.count_attempt();
        self.ballots.borrow_mut().next_ballot()
    }

    /// Counts a recovery attempt and returns its ballot, which other nodes cannot overtake by starting many ballots.
    pub(crate) fn recovery_ballot(&self) -> Ballot {
        self.count_attempt();
        self.ballots.borrow_mut().recovery_ballot()
    }

    fn count_attempt(&self) {
        let mut counts = self.ballot_counts.get();
        counts.started += 1;
        self.ballot_counts.set(counts);
    }

    /// Records a ballot, so that this node's next ballots are higher.
    pub(crate) fn observe_ballot(&self, ballot: Ballot) {
        self.ballots.borrow_mut().observe(ballot);
    }

    /// Changes the state. Returns true once the register contains the change, whether this node or another made it.
    pub(crate) async fn change(
        &self,
        max_wait: Duration,
        mut make_change: impl FnMut(&ControlState) -> ProposedChange,
    ) -> bool {
        self.propose(max_wait, |state, _| make_change(state)).await
    }

    /// Like [`ControlNode::change`], for changes that depend on the voters or replace them.
    pub(crate) async fn propose(
        &self,
        max_wait: Duration,
        mut make_change: impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> bool {
        let deadline = self.runtime.now() + self.change_timeout(max_wait);
        let Some(_proposal_guard) = timeout_at(&self.runtime, deadline, self.proposal_lock.lock()).await
        else {
            return false;
        };
        while self.wait_for_backoff(deadline).await {
            match self.attempt(deadline, &mut make_change).await {
                AttemptOutcome::Chosen { has_change: true } => return true,
                AttemptOutcome::Chosen { has_change: false }
                | AttemptOutcome::Lost
                | AttemptOutcome::Failed => {}
                AttemptOutcome::TimedOut => return false,
            }
        }
        false
    }

    /// Runs one ballot, until the deadline at most.
    pub(crate) async fn attempt(
        &self,
        deadline: Duration,
        make_change: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> AttemptOutcome {
        let Some(known) = self.known_value.borrow().clone() else { return AttemptOutcome::TimedOut };
        timeout_at(&self.runtime, deadline, self.run_ballot(&known, make_change))
            .await
            .unwrap_or(AttemptOutcome::TimedOut)
    }

    /// Waits until no competing ballot is in progress and the backoff after a lost ballot is over. Returns false if the deadline
    /// passes first.
    pub(crate) async fn wait_for_backoff(&self, deadline: Duration) -> bool {
        while self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            // Random jitter keeps waiting proposers from starting at the same moment.
            let delay = Duration::from_millis(10 + self.runtime.random_u64() % 15);
            if self.runtime.now() + delay >= deadline {
                return false;
            }
            self.runtime.sleep(delay).await;
        }
        true
    }

    /// Counts an attempt that lost to a higher ballot or reached no quorum, and starts the backoff.
    pub(crate) fn on_attempt_lost(&self) {
        let mut counts = self.ballot_counts.get();
        counts.lost += 1;
        self.ballot_counts.set(counts);
        let mut backoff = self.backoff.borrow_mut();
        backoff.set_vote_delay(self.vote_delay_ms());
        backoff.on_lost(self.runtime.now_ms(), self.runtime.random_u64());
    }

    /// The change to propose on top of `read`, and what the chosen value must then contain; no expectation if the change could
    /// not be computed.
    fn compute_change(
        &self,
        read: &RegisterValue,
        make_change: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> (Change, Option<ExpectedValue>) {
        let state = match ControlState::from_payload(&read.payload) {
            Ok(state) => state,
            Err(error) => {
                self.backend.on_event(&ControlEvent::UndecodableValue(&error.to_string()));
                return (Change::Keep, None);
            }
        };
        match make_change(&state, &read.voters) {
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
        make_change: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> ProposedChange,
    ) -> AttemptOutcome {
        let mut proposer = Proposer::start(self.next_ballot(), known);
        let mut expected_value: Option<ExpectedValue> = None;
        let mut change = |read: &RegisterValue| {
            let (change, new_expected) = self.compute_change(read, make_change);
            if new_expected.is_some() {
                expected_value = new_expected;
            }
            change
        };
        let call_timeout = self.register_call_timeout();
        let mut calls = FuturesUnordered::new();
        let call = |OutgoingRequest { to, request }: OutgoingRequest| async move {
            (to, self.call_register(to, request, call_timeout).await)
        };
        calls.extend(proposer.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => proposer.on_reply(ip, &reply, &mut change),
                None => proposer.on_failure(ip, &mut change),
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
                    self.poll_requested.notify_one();
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

//! The node as proposer: it changes the register's value.

use crate::{ControlBackend, ControlEvent, ControlNode};
use bytes::Bytes;
use config_register::{Change, OutgoingRequest, Proposer, ProposerStep};
use fleet_model::{Ballot, ControlState, RegisterValue};
use futures_util::stream::{FuturesUnordered, StreamExt};
use node_runtime::{Runtime, timeout_at};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Longest time for one request to an acceptor.
pub(crate) const PATIENCE: Duration = Duration::from_millis(300);

/// What a change makes of the state that it reads.
pub(crate) enum Wanted {
    /// Nothing: it is as wanted, or cannot be.
    Nothing,
    /// This state.
    State(ControlState),
    /// These voters, one more or less.
    Voters(Vec<Ipv4Addr>),
}

impl From<Option<ControlState>> for Wanted {
    fn from(state: Option<ControlState>) -> Self {
        state.map_or(Self::Nothing, Self::State)
    }
}

/// What a round is to have chosen, where it proposes a change.
#[derive(Default)]
struct Aim {
    payload: Option<Bytes>,
    voters: Option<Vec<Ipv4Addr>>,
}

impl Aim {
    fn is_met_by(&self, value: &RegisterValue) -> bool {
        self.payload.as_ref().is_none_or(|payload| *payload == value.payload)
            && self.voters.as_ref().is_none_or(|voters| *voters == value.voters)
    }
}

/// How a round ended.
pub(crate) enum Ended {
    /// A value is chosen, and taken.
    Chosen {
        /// It is the wanted one.
        as_wanted: bool,
    },
    /// Another's round was in the way.
    Lost,
    /// It reached too few.
    Failed,
    /// Its time was over before it came to an end.
    Late,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// The ballot of a new round.
    pub(crate) fn next_ballot(&self) -> Ballot {
        self.count_round();
        self.ballots.borrow_mut().next_ballot()
    }

    /// The ballot of a new round by which this node recovers: a flood of others' rounds does not overtake it.
    pub(crate) fn recovery_ballot(&self) -> Ballot {
        self.count_round();
        self.ballots.borrow_mut().recovery_ballot()
    }

    fn count_round(&self) {
        let mut rounds = self.rounds.get();
        rounds.begun += 1;
        self.rounds.set(rounds);
    }

    /// A ballot was seen: later ones of this node are above it.
    pub(crate) fn observe_ballot(&self, ballot: Ballot) {
        self.ballots.borrow_mut().observe(ballot);
    }

    /// Changes the state; true once it is as wanted, by this or by another.
    pub(crate) async fn change(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState) -> Wanted,
    ) -> bool {
        self.propose(within, |state, _| wanted(state)).await
    }

    /// The same, for what looks at the voters too.
    pub(crate) async fn propose(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> bool {
        let deadline = self.runtime.now() + within;
        let Some(_alone) = timeout_at(&self.runtime, deadline, self.proposing.lock()).await else {
            return false;
        };
        while self.way_is_free(deadline).await {
            match self.attempt(deadline, &mut wanted).await {
                Ended::Chosen { as_wanted: true } => return true,
                Ended::Chosen { as_wanted: false } | Ended::Lost | Ended::Failed => {}
                Ended::Late => return false,
            }
        }
        false
    }

    /// One round, as far as the time goes.
    pub(crate) async fn attempt(
        &self,
        deadline: Duration,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let Some(known) = self.known.borrow().clone() else { return Ended::Late };
        timeout_at(&self.runtime, deadline, self.round(&known, wanted)).await.unwrap_or(Ended::Late)
    }

    /// Waits until no other's round is under way and the pause after a lost one is over; false if that is too late.
    pub(crate) async fn way_is_free(&self, deadline: Duration) -> bool {
        while self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            // Those who wait do not all begin in the moment in which the way gets free.
            let pause = Duration::from_millis(10 + self.runtime.random_u64() % 15);
            if self.runtime.now() + pause >= deadline {
                return false;
            }
            self.runtime.sleep(pause).await;
        }
        true
    }

    /// A round that another's was in the way of, or that reached too few.
    pub(crate) fn lost_round(&self) {
        let mut rounds = self.rounds.get();
        rounds.lost += 1;
        self.rounds.set(rounds);
        self.backoff.borrow_mut().on_lost(self.runtime.now_ms(), self.runtime.random_u64());
    }

    /// What is proposed on top of the value that was read.
    fn proposed(
        &self,
        read: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> (Change, Option<Aim>) {
        let state = match ControlState::from_payload(&read.payload) {
            Ok(state) => state,
            Err(e) => {
                self.backend.on_event(&ControlEvent::Unreadable(&e.to_string()));
                return (Change::Keep, None);
            }
        };
        match wanted(&state, &read.voters) {
            Wanted::Nothing => (Change::Keep, Some(Aim::default())),
            Wanted::State(state) => match state.to_payload() {
                Ok(payload) => {
                    let aim = Aim { payload: Some(payload.clone()), voters: None };
                    (Change::Set(payload), Some(aim))
                }
                Err(_) => (Change::Keep, None),
            },
            Wanted::Voters(voters) => {
                let aim = Aim { payload: None, voters: Some(voters.clone()) };
                (Change::Voters(voters), Some(aim))
            }
        }
    }

    async fn round(
        &self,
        known: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let mut proposal = Proposer::start(self.next_ballot(), known);
        let mut aim: Option<Aim> = None;
        let mut change = |read: &RegisterValue| {
            let (change, aims) = self.proposed(read, wanted);
            if aims.is_some() {
                aim = aims;
            }
            change
        };
        let mut calls = FuturesUnordered::new();
        let call = |OutgoingRequest { to, request }: OutgoingRequest| async move {
            (to, self.ask(to, request, PATIENCE).await)
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
                    let as_wanted = aim.as_ref().is_some_and(|aim| aim.is_met_by(&value.value));
                    self.backoff.borrow_mut().reset();
                    self.adopt(value);
                    self.poll_now.notify_one();
                    return Ended::Chosen { as_wanted };
                }
                ProposerStep::Lost { seen } => {
                    self.observe_ballot(seen);
                    self.lost_round();
                    return Ended::Lost;
                }
                ProposerStep::Failed => break,
            }
        }
        self.lost_round();
        Ended::Failed
    }
}

//! Forwards application requests to the leader of the log, and executes them at the leader.

use super::{APPLICATION_TIMEOUT, ApplicationReply, LEADER_TIMEOUT};
use crate::{ControlBackend, ControlNode};
use fleet_model::{
    Ballot, CoordinationAnswer, CoordinationCall, CoordinationCommand, CoordinationOutcome,
    CoordinationQuery, CoordinationReading, LogLeader,
};
use futures_util::future::{Either, select};
use node_runtime::{Runtime, timeout_at};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that a request waits for a leader before it is rejected.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(650);
/// Interval between checks whether the leader to which a request was sent is still live.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a request that a leader has rejected or not answered is retried. A call to a peer fails immediately while its
/// connection is in backoff, so without a delay the retry loop would starve all other tasks of the thread.
const RESUBMIT_DELAY: Duration = Duration::from_millis(5);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Has the leader execute a command. Retries with the next leader if the outcome is unknown, which is safe because commands
    /// are idempotent across leaders, apart from gaps in the numbers of a counter.
    pub(super) async fn submit_command(self: &Rc<Self>, command: CoordinationCommand) -> ApplicationReply {
        let deadline = self.runtime.now() + APPLICATION_TIMEOUT;
        let mut may_be_executed = false;
        while let Some(leader) = self.wait_for_leader(deadline).await {
            let answer = match leader.ip == self.me {
                true => {
                    let executing = self.execute(leader.ballot, command.clone());
                    timeout_at(&self.runtime, deadline, executing).await
                }
                false => {
                    let call = CoordinationCall::Submit { ballot: leader.ballot, command: command.clone() };
                    self.call_leader(leader, call, deadline).await
                }
            };
            match answer {
                Some(CoordinationAnswer::Outcome(CoordinationOutcome::LimitReached)) if may_be_executed => {
                    return ApplicationReply::Indeterminate;
                }
                Some(CoordinationAnswer::Outcome(outcome)) => return ApplicationReply::Outcome(outcome),
                Some(CoordinationAnswer::Overloaded) if !may_be_executed => {
                    return ApplicationReply::Overloaded;
                }
                Some(CoordinationAnswer::NotExecuted { .. } | CoordinationAnswer::Overloaded) => {
                    self.on_rejected(leader).await;
                }
                _ => {
                    may_be_executed = true;
                    self.runtime.sleep(RESUBMIT_DELAY).await;
                }
            }
        }
        match may_be_executed {
            true => ApplicationReply::Indeterminate,
            false => ApplicationReply::Unavailable,
        }
    }

    /// Has the leader answer a read; `None` if there is no answer in time or the leader is overloaded.
    pub(super) async fn read(
        self: &Rc<Self>,
        query: &CoordinationQuery,
        deadline: Duration,
    ) -> Option<CoordinationReading> {
        while let Some(leader) = self.wait_for_leader(deadline).await {
            let answer = match leader.ip == self.me {
                true => {
                    let reading = self.execute_read(leader.ballot, query.clone());
                    timeout_at(&self.runtime, deadline, reading).await
                }
                false => {
                    let call = CoordinationCall::Read { ballot: leader.ballot, query: query.clone() };
                    self.call_leader(leader, call, deadline).await
                }
            };
            match answer {
                Some(CoordinationAnswer::Reading(reading)) => return Some(reading),
                Some(CoordinationAnswer::Overloaded) => return None,
                Some(_) => self.on_rejected(leader).await,
                None => self.runtime.sleep(RESUBMIT_DELAY).await,
            }
        }
        None
    }

    /// Reads a key through the leader; `Unavailable` if there is no answer in time.
    pub(super) async fn read_key(self: &Rc<Self>, key: String) -> ApplicationReply {
        let deadline = self.runtime.now() + APPLICATION_TIMEOUT;
        match self.read(&CoordinationQuery::Key(key), deadline).await {
            Some(CoordinationReading::Key(value)) => ApplicationReply::Key(value),
            _ => ApplicationReply::Unavailable,
        }
    }

    /// Executes a command if this node is the leader of `ballot`.
    pub(super) async fn execute(&self, ballot: Ballot, command: CoordinationCommand) -> CoordinationAnswer {
        let Some(leadership) = self.leadership_with_ballot(ballot) else {
            return CoordinationAnswer::NotExecuted { leader: self.live_leader() };
        };
        match leadership.push_command(command) {
            Some(answer) => answer.await.unwrap_or(CoordinationAnswer::Indeterminate),
            None => CoordinationAnswer::Overloaded,
        }
    }

    /// Answers a read if this node is the leader of `ballot`.
    pub(super) async fn execute_read(&self, ballot: Ballot, query: CoordinationQuery) -> CoordinationAnswer {
        let Some(leadership) = self.leadership_with_ballot(ballot) else {
            return CoordinationAnswer::NotExecuted { leader: self.live_leader() };
        };
        match leadership.push_read(query) {
            Some(answer) => answer.await.unwrap_or(CoordinationAnswer::NotExecuted { leader: None }),
            None => CoordinationAnswer::Overloaded,
        }
    }

    fn leadership_with_ballot(&self, ballot: Ballot) -> Option<Rc<super::leadership::Leadership>> {
        let leadership = self.coordination.leadership()?;
        (leadership.ballot == ballot && leadership.is_ready()).then_some(leadership)
    }

    /// Calls the leader; gives up early once the leader is no longer live.
    async fn call_leader(
        &self,
        leader: LogLeader,
        call: CoordinationCall,
        deadline: Duration,
    ) -> Option<CoordinationAnswer> {
        let started_at = self.runtime.now();
        let call = pin!(self.call_coordination(leader.ip, call, deadline.saturating_sub(started_at)));
        let leader_lost = pin!(async {
            let is_live = || self.live_leader().is_some_and(|live| live.ballot == leader.ballot);
            while is_live() || self.runtime.now() < started_at + LEADER_TIMEOUT {
                self.runtime.sleep(LEADER_CHECK_INTERVAL).await;
            }
        });
        match select(call, leader_lost).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => None,
        }
    }

    /// Handles the rejection by a node that is not the leader any more.
    async fn on_rejected(&self, leader: LogLeader) {
        self.forget_leader(leader.ballot);
        self.runtime.sleep(RESUBMIT_DELAY).await;
    }

    /// Waits until a leader is known; `None` after [`LEADER_WAIT_TIMEOUT`] or at the deadline.
    async fn wait_for_leader(&self, deadline: Duration) -> Option<LogLeader> {
        let wait_deadline = deadline.min(self.runtime.now() + LEADER_WAIT_TIMEOUT);
        while self.runtime.now() < wait_deadline {
            let leader_found = self.coordination.leader_found.notified();
            if let Some(leader) = self.live_leader() {
                return Some(leader);
            }
            self.request_leader();
            timeout_at(&self.runtime, wait_deadline, leader_found).await?;
        }
        None
    }
}

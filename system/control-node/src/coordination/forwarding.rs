//! Requests of applications on their way to the leader.

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

/// How long a request waits for a leader before it is rejected.
const LEADER_WAIT: Duration = Duration::from_millis(650);
/// Interval between checks whether the leader to which a request was sent is still heard.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a request that a leader has rejected, or that had no answer, is sent again. A call to a peer fails at once
/// while its connection is in backoff: without a pause the loop would keep the thread from all other work.
const RESUBMIT_DELAY: Duration = Duration::from_millis(5);

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Has the leader execute a command; after a failure without a clear answer, the next one. That is safe because commands
    /// that are executed twice by different leaders have the same effect as once, apart from gaps in numbers.
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

    /// Has the leader answer a read; `None` without an answer in time.
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

    /// Reads a key.
    pub(super) async fn read_key(self: &Rc<Self>, key: String) -> ApplicationReply {
        let deadline = self.runtime.now() + APPLICATION_TIMEOUT;
        match self.read(&CoordinationQuery::Key(key), deadline).await {
            Some(CoordinationReading::Key(value)) => ApplicationReply::Key(value),
            _ => ApplicationReply::Unavailable,
        }
    }

    /// Executes a command if this node leads under this ballot.
    pub(super) async fn execute(&self, ballot: Ballot, command: CoordinationCommand) -> CoordinationAnswer {
        let Some(leadership) = self.leadership_of(ballot) else {
            return CoordinationAnswer::NotExecuted { leader: self.live_leader() };
        };
        match leadership.push_command(command) {
            Some(answer) => answer.await.unwrap_or(CoordinationAnswer::Indeterminate),
            None => CoordinationAnswer::Overloaded,
        }
    }

    /// Answers a read if this node leads under this ballot.
    pub(super) async fn execute_read(&self, ballot: Ballot, query: CoordinationQuery) -> CoordinationAnswer {
        let Some(leadership) = self.leadership_of(ballot) else {
            return CoordinationAnswer::NotExecuted { leader: self.live_leader() };
        };
        match leadership.push_read(query) {
            Some(answer) => answer.await.unwrap_or(CoordinationAnswer::NotExecuted { leader: None }),
            None => CoordinationAnswer::Overloaded,
        }
    }

    fn leadership_of(&self, ballot: Ballot) -> Option<Rc<super::leadership::Leadership>> {
        let leadership = self.coordination.leadership()?;
        (leadership.ballot == ballot && leadership.is_ready()).then_some(leadership)
    }

    /// Calls the leader; gives up early once it is not heard any more.
    async fn call_leader(
        &self,
        leader: LogLeader,
        call: CoordinationCall,
        deadline: Duration,
    ) -> Option<CoordinationAnswer> {
        let started_at = self.runtime.now();
        let call = pin!(self.call_coordination(leader.ip, call, deadline.saturating_sub(started_at)));
        let lost = pin!(async {
            let is_live = || self.live_leader().is_some_and(|live| live.ballot == leader.ballot);
            while is_live() || self.runtime.now() < started_at + LEADER_TIMEOUT {
                self.runtime.sleep(LEADER_CHECK_INTERVAL).await;
            }
        });
        match select(call, lost).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => None,
        }
    }

    /// A node that was taken for the leader is not.
    async fn on_rejected(&self, leader: LogLeader) {
        self.forget_leader(leader.ballot);
        self.runtime.sleep(RESUBMIT_DELAY).await;
    }

    /// Waits until a leader is known; `None` if that takes too long.
    async fn wait_for_leader(&self, deadline: Duration) -> Option<LogLeader> {
        let until = deadline.min(self.runtime.now() + LEADER_WAIT);
        while self.runtime.now() < until {
            let found = self.coordination.leader_found.notified();
            if let Some(leader) = self.live_leader() {
                return Some(leader);
            }
            self.need_leader();
            timeout_at(&self.runtime, until, found).await?;
        }
        None
    }
}

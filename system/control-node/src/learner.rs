//! The node as learner: quorum reads confirm that its state is current, and complete values that others left undecided.

use crate::proposer::{ProposedChange, REGISTER_CALL_TIMEOUT};
use crate::{ControlBackend, ControlNode};
use config_register::{Learner, Outbox, OutgoingRequest, PollOutcome, completion_rank};
use fleet_model::{Ballot, RegisterReply, RegisterRequest};
use node_runtime::{Runtime, timeout, timeout_at};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval between polls; up to 40 ms of random jitter are added.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before completing an undecided value, in milliseconds, because its proposer may still be active; up to the same again
/// is added at random.
const COMPLETION_DELAY_MS: u64 = 120;
/// Additional delay for each voter with a lower rank, in milliseconds, see [`completion_rank`].
const COMPLETION_RANK_DELAY_MS: u64 = 200;
/// Deadline for completing a value.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(500);

/// An accepted value that is not known to be chosen.
pub(crate) struct Undecided {
    ballot: Ballot,
    /// When to complete it, if it stays undecided.
    complete_at: Duration,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Polls the voters periodically, and whenever a poll is requested.
    pub(crate) async fn run_polling(self: Rc<Self>) {
        let mut undecided = None;
        loop {
            let poll_again = self.clone().poll(&mut undecided).await;
            self.polled.notify_waiters();
            if !poll_again {
                let delay = POLL_INTERVAL + Duration::from_millis(self.runtime.random_u64() % 40);
                let _ = timeout(&self.runtime, delay, self.poll_now.notified()).await;
            }
        }
    }

    /// One poll; true if another is to follow immediately.
    async fn poll(self: Rc<Self>, undecided: &mut Option<Undecided>) -> bool {
        let Some(known) = self.known.borrow().clone().filter(|_| self.can_vote()) else { return false };
        let began = self.runtime.now();
        let mut learner = Learner::start(&known.voters, self.feed.value().ballot);
        let mut answered = self.call_all(learner.outbox());
        let (mut outcome, mut newest) = (PollOutcome::Failed, Ballot::default());
        while let Some((ip, reply)) = answered.recv().await {
            outcome = match reply {
                Some(RegisterReply::Polled { accepted, chosen }) => {
                    newest = newest.max(accepted.unwrap_or_default());
                    self.observe_ballot(newest);
                    learner.on_polled(ip, accepted, chosen)
                }
                _ => learner.on_failure(ip),
            };
            if outcome != PollOutcome::Pending {
                break;
            }
        }
        match outcome {
            PollOutcome::Fresh => {
                *undecided = None;
                self.backoff.borrow_mut().reset();
                self.feed.confirm(began);
                false
            }
            PollOutcome::Behind { from, .. } => {
                for ip in from {
                    if let Some(RegisterReply::Fetched(Some(value))) =
                        self.call_register(ip, RegisterRequest::Fetch, REGISTER_CALL_TIMEOUT).await
                        && learner.confirms(&known, &value)
                    {
                        self.adopt(value);
                        return true;
                    }
                }
                self.complete(undecided, newest).await
            }
            PollOutcome::Undecided => self.complete(undecided, newest).await,
            PollOutcome::Pending | PollOutcome::Failed => false,
        }
    }

    /// Sends requests and forwards the replies. Each call runs to its end even if the poll is decided earlier, because the
    /// calls also detect whether the voters are alive.
    fn call_all(
        self: &Rc<Self>,
        requests: Outbox,
    ) -> mpsc::UnboundedReceiver<(Ipv4Addr, Option<RegisterReply>)> {
        let (answers, answered) = mpsc::unbounded_channel();
        for OutgoingRequest { to: ip, request } in requests {
            let (node, answers) = (self.clone(), answers.clone());
            self.runtime.spawn(async move {
                let reply = node.call_register(ip, request, REGISTER_CALL_TIMEOUT).await;
                let _ = answers.send((ip, reply));
            });
        }
        answered
    }

    /// Handles a value that may or may not be chosen. Usually its proposer is about to report it, or a newer value is chosen
    /// meanwhile; if neither happens, an attempt that keeps the value completes it.
    async fn complete(&self, undecided: &mut Option<Undecided>, newest: Ballot) -> bool {
        let waiting = undecided.take().filter(|waiting| waiting.ballot == newest);
        let waiting = waiting.unwrap_or_else(|| {
            let rank = completion_rank(self.me, &self.feed.value().voters, newest);
            let random_ms = self.runtime.random_u64() % COMPLETION_DELAY_MS;
            let wait = COMPLETION_DELAY_MS + random_ms + COMPLETION_RANK_DELAY_MS * rank as u64;
            Undecided { ballot: newest, complete_at: self.runtime.now() + Duration::from_millis(wait) }
        });
        let is_waiting = self.runtime.now() < waiting.complete_at;
        if is_waiting || self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            *undecided = Some(waiting);
            self.runtime.sleep(Duration::from_millis(25 + self.runtime.random_u64() % 20)).await;
        } else {
            let deadline = self.runtime.now() + COMPLETION_TIMEOUT;
            // One attempt; the next poll shows whether another is needed.
            if let Some(_alone) = timeout_at(&self.runtime, deadline, self.proposing.lock()).await {
                self.attempt(deadline, &mut |_, _| ProposedChange::Keep).await;
            }
        }
        true
    }
}

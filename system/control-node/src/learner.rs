//! The learner role: quorum reads (polls) confirm that the node's state is current, and find values that their proposers left
//! undecided, which are then completed.

use crate::proposer::ProposedChange;
use crate::{ControlBackend, ControlNode};
use config_register::{Learner, Outbox, OutgoingRequest, PollOutcome, completion_rank};
use fleet_model::{Ballot, RegisterReply, RegisterRequest};
use node_runtime::{Runtime, timeout, timeout_at};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval between polls, to which up to 40 ms of random jitter is added.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay in milliseconds before an undecided value is completed, since its proposer may still be active. Random jitter of up to
/// the same amount is added.
const COMPLETION_DELAY_MS: u64 = 120;
/// Additional delay in milliseconds for each voter with a lower rank; see [`completion_rank`].
const COMPLETION_RANK_DELAY_MS: u64 = 200;
/// Deadline for the ballot that completes a value.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(500);

/// An accepted value that is not known to be chosen.
pub(crate) struct UndecidedValue {
    ballot: Ballot,
    /// When this node completes the value, if it is still undecided by then.
    complete_at: Duration,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Polls the voters periodically, and immediately when a poll is requested.
    pub(crate) async fn run_polling(self: Rc<Self>) {
        let mut undecided = None;
        loop {
            let poll_again = self.clone().poll(&mut undecided).await;
            self.poll_completed.notify_waiters();
            if !poll_again {
                let delay = POLL_INTERVAL + Duration::from_millis(self.runtime.random_u64() % 40);
                let _ = timeout(&self.runtime, delay, self.poll_requested.notified()).await;
            }
        }
    }

    /// Polls the voters once. Returns whether another poll must follow immediately.
    async fn poll(self: Rc<Self>, undecided: &mut Option<UndecidedValue>) -> bool {
        let Some(known) = self.known_value.borrow().clone().filter(|_| self.can_vote()) else { return false };
        let started_at = self.runtime.now();
        let mut learner = Learner::start(&known.voters, self.feed.value().ballot);
        let mut replies = self.call_all(learner.outbox());
        let (mut outcome, mut newest_ballot) = (PollOutcome::Failed, Ballot::default());
        while let Some((ip, reply)) = replies.recv().await {
            outcome = match reply {
                Some(RegisterReply::Polled { accepted, chosen }) => {
                    newest_ballot = newest_ballot.max(accepted.unwrap_or_default());
                    self.observe_ballot(newest_ballot);
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
                self.feed.confirm(started_at);
                false
            }
            PollOutcome::Behind { from, .. } => {
                for ip in from {
                    if let Some(RegisterReply::Fetched(Some(value))) =
                        self.call_register(ip, RegisterRequest::Fetch, self.register_call_timeout()).await
                        && learner.confirms(&known, &value)
                    {
                        self.adopt(value);
                        return true;
                    }
                }
                self.complete_undecided(undecided, newest_ballot).await
            }
            PollOutcome::Undecided => self.complete_undecided(undecided, newest_ballot).await,
            PollOutcome::Pending | PollOutcome::Failed => false,
        }
    }

    /// Sends requests and returns a channel of the replies. Each call runs to its end even if the poll is decided earlier,
    /// because the calls also detect whether the voters are alive.
    fn call_all(
        self: &Rc<Self>,
        requests: Outbox,
    ) -> mpsc::UnboundedReceiver<(Ipv4Addr, Option<RegisterReply>)> {
        let (reply_sender, replies) = mpsc::unbounded_channel();
        for OutgoingRequest { to: ip, request } in requests {
            let (node, reply_sender) = (self.clone(), reply_sender.clone());
            self.runtime.spawn(async move {
                let reply = node.call_register(ip, request, node.register_call_timeout()).await;
                let _ = reply_sender.send((ip, reply));
            });
        }
        replies
    }

    /// Handles a value of which a poll cannot tell whether it is chosen. Usually its proposer is about to report that it is, or a
    /// newer value is chosen meanwhile. If neither happens before `complete_at`, a ballot that proposes the same value
    /// completes it. Returns true, because another poll must show the result.
    async fn complete_undecided(
        &self,
        undecided: &mut Option<UndecidedValue>,
        newest_ballot: Ballot,
    ) -> bool {
        let pending = undecided.take().filter(|pending| pending.ballot == newest_ballot);
        let pending = pending.unwrap_or_else(|| {
            let rank = completion_rank(self.me, &self.feed.value().voters, newest_ballot);
            let random_ms = self.runtime.random_u64() % COMPLETION_DELAY_MS;
            let delay_ms = COMPLETION_DELAY_MS + random_ms + COMPLETION_RANK_DELAY_MS * rank as u64;
            UndecidedValue {
                ballot: newest_ballot,
                complete_at: self.runtime.now() + Duration::from_millis(delay_ms),
            }
        });
        let is_early = self.runtime.now() < pending.complete_at;
        if is_early || self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            *undecided = Some(pending);
            self.runtime.sleep(Duration::from_millis(25 + self.runtime.random_u64() % 20)).await;
        } else {
            let deadline = self.runtime.now() + self.change_timeout(COMPLETION_TIMEOUT);
            // A single ballot; the next poll shows whether another is needed.
            if let Some(_proposal_guard) =
                timeout_at(&self.runtime, deadline, self.proposal_lock.lock()).await
            {
                self.attempt(deadline, &mut |_, _| ProposedChange::Keep).await;
            }
        }
        true
    }
}

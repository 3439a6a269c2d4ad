//! The node as learner: quorum reads confirm what it knows, and complete what others left undecided.

use crate::proposer::{PATIENCE, Wanted};
use crate::{ControlBackend, ControlNode};
use config_register::{Learner, Outbox, OutgoingRequest, PollOutcome, completion_rank};
use fleet_model::{Ballot, RegisterReply, RegisterRequest};
use node_runtime::{Runtime, timeout, timeout_at};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Between two polls.
const POLL: Duration = Duration::from_millis(250);
/// A value that stays undecided is completed after this and up to as much again by chance, in milliseconds: its proposer
/// may be at it.
const UNDECIDED_MS: u64 = 120;
/// Each voter after the first that would complete it waits so much longer, in milliseconds.
const COMPLETING_STEP_MS: u64 = 200;
/// Longest time for completing a value.
const COMPLETING: Duration = Duration::from_millis(500);

/// An accepted value of which it is not known whether it is chosen.
pub(crate) struct Undecided {
    ballot: Ballot,
    /// When it is completed, if nothing moves before.
    until: Duration,
}

impl<R: Runtime, B: ControlBackend> ControlNode<R, B> {
    /// Polls the voters for good, and whenever somebody waits for it.
    pub(crate) async fn keep_polling(self: Rc<Self>) {
        let mut undecided = None;
        loop {
            let at_once = self.clone().poll(&mut undecided).await;
            self.polled.notify_waiters();
            if !at_once {
                let pause = POLL + Duration::from_millis(self.runtime.random_u64() % 40);
                let _ = timeout(&self.runtime, pause, self.poll_now.notified()).await;
            }
        }
    }

    /// One round; true if another is to follow at once.
    async fn poll(self: Rc<Self>, undecided: &mut Option<Undecided>) -> bool {
        let Some(known) = self.known.borrow().clone().filter(|_| self.can_vote()) else { return false };
        let began = self.runtime.now();
        let mut learner = Learner::start(&known.voters, self.feed.value().ballot);
        let mut answered = self.ask_all(learner.outbox());
        let (mut verdict, mut newest) = (PollOutcome::Failed, Ballot::default());
        while let Some((ip, reply)) = answered.recv().await {
            verdict = match reply {
                Some(RegisterReply::Polled { accepted, chosen }) => {
                    newest = newest.max(accepted.unwrap_or_default());
                    self.observe_ballot(newest);
                    learner.on_polled(ip, accepted, chosen)
                }
                _ => learner.on_failure(ip),
            };
            if verdict != PollOutcome::Pending {
                break;
            }
        }
        match verdict {
            PollOutcome::Fresh => {
                *undecided = None;
                self.backoff.borrow_mut().reset();
                self.feed.confirm(began);
                false
            }
            PollOutcome::Behind { from, .. } => {
                for ip in from {
                    if let Some(RegisterReply::Fetched(Some(value))) =
                        self.ask(ip, RegisterRequest::Fetch, PATIENCE).await
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

    /// Asks these, and hands on what they answer. All are asked to their end: the round may be over without one that was
    /// asked to see whether it is there.
    fn ask_all(
        self: &Rc<Self>,
        requests: Outbox,
    ) -> mpsc::UnboundedReceiver<(Ipv4Addr, Option<RegisterReply>)> {
        let (answers, answered) = mpsc::unbounded_channel();
        for OutgoingRequest { to: ip, request } in requests {
            let (node, answers) = (self.clone(), answers.clone());
            self.runtime.spawn(async move {
                let reply = node.ask(ip, request, PATIENCE).await;
                let _ = answers.send((ip, reply));
            });
        }
        answered
    }

    /// A value was accepted that may or may not be chosen. Most often its proposer is just about to say, or another has
    /// gone further meanwhile; where nothing moves, a round that keeps it completes it.
    async fn complete(&self, undecided: &mut Option<Undecided>, newest: Ballot) -> bool {
        let waiting = undecided.take().filter(|waiting| waiting.ballot == newest);
        let waiting = waiting.unwrap_or_else(|| {
            let place = completion_rank(self.me, &self.feed.value().voters, newest);
            let chance = self.runtime.random_u64() % UNDECIDED_MS;
            let wait = UNDECIDED_MS + chance + COMPLETING_STEP_MS * place as u64;
            Undecided { ballot: newest, until: self.runtime.now() + Duration::from_millis(wait) }
        });
        let is_early = self.runtime.now() < waiting.until;
        if is_early || self.backoff.borrow().remaining_delay_ms(self.runtime.now_ms()) > 0 {
            *undecided = Some(waiting);
            self.runtime.sleep(Duration::from_millis(25 + self.runtime.random_u64() % 20)).await;
        } else {
            let deadline = self.runtime.now() + COMPLETING;
            // One round, and the next poll tells whether another is wanted.
            if let Some(_alone) = timeout_at(&self.runtime, deadline, self.proposing.lock()).await {
                self.attempt(deadline, &mut |_, _| Wanted::Nothing).await;
            }
        }
        true
    }
}

//! A keeper as proposer and learner of the register.

use super::*;
use config_register::{Change, Learner, Proposal, Restore, RestoreStep, Step, Verdict, completing_place};
use fleet_model::RegisterValue;
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Between two polls.
const POLL: Duration = Duration::from_millis(250);
/// Longest time for one request to an acceptor.
const PATIENCE: Duration = Duration::from_millis(300);
/// A value that stays unsettled is completed after this and up to as much again by chance, in milliseconds: its proposer
/// may be at it.
const UNSETTLED: u64 = 120;
/// Each voter after the first that would complete it waits so much longer, in milliseconds.
const COMPLETING_STEP: u64 = 200;
/// Longest time that a restore waits for others' runs to end.
const MOST_WAIT: Duration = Duration::from_millis(600);

/// What a change makes of the state that it reads.
pub(super) enum Wanted {
    /// Nothing: it is as wanted, or cannot be.
    Nothing,
    /// This state.
    State(ControlState),
    /// These voters, one more or less.
    Voters(Vec<Ipv4Addr>),
}

/// An accepted value of which it is not known whether it is chosen.
struct Unsettled {
    ballot: Ballot,
    /// When it is completed, if nothing moves before.
    until: Instant,
}

enum Ended {
    /// A value is chosen, and taken.
    Chosen {
        as_wanted: bool,
    },
    Lost,
    Failed,
    /// Its time was over before it came to an end.
    Late,
}

impl Keeper {
    /// The ballot of a new run.
    fn next_ballot(&self) -> Ballot {
        self.runs.begun.set(self.runs.begun.get() + 1);
        self.ballots.borrow_mut().next_ballot()
    }

    /// The ballot of a new run that restores this machine.
    fn recovery_ballot(&self) -> Ballot {
        self.runs.begun.set(self.runs.begun.get() + 1);
        self.ballots.borrow_mut().recovery_ballot()
    }

    pub(super) fn saw(&self, ballot: Ballot) {
        self.ballots.borrow_mut().saw(ballot);
    }

    /// Changes the state; true once it is as wanted, by this or by another.
    pub(super) async fn change(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState) -> Wanted,
    ) -> bool {
        self.propose(within, |state, _| wanted(state)).await
    }

    /// The same, for what looks at the voters too.
    pub(super) async fn propose(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> bool {
        let deadline = tokio::time::Instant::now() + within;
        let Ok(_alone) = timeout_at(deadline, self.proposing.lock()).await else { return false };
        while self.way_is_free(deadline).await {
            match self.attempt(deadline, &mut wanted).await {
                Ended::Chosen { as_wanted: true } => return true,
                Ended::Chosen { as_wanted: false } | Ended::Lost | Ended::Failed => {}
                Ended::Late => return false,
            }
        }
        false
    }

    /// One run, as far as the time goes.
    async fn attempt(
        &self,
        deadline: tokio::time::Instant,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let Some(known) = self.known.borrow().clone() else { return Ended::Late };
        timeout_at(deadline, self.run(&known, wanted)).await.unwrap_or(Ended::Late)
    }

    /// Waits until no other's run is under way and the pause after a lost one is over; false if that is too late.
    async fn way_is_free(&self, deadline: tokio::time::Instant) -> bool {
        while self.pacing.borrow().waits(self.process.now_ms()) > 0 {
            // Those who wait do not all begin in the moment in which the way gets free.
            let pause = Duration::from_millis(10 + drawn() % 15);
            if tokio::time::Instant::now() + pause >= deadline {
                return false;
            }
            sleep(pause).await;
        }
        true
    }

    /// A run that another's was in the way of, or that reached too few.
    fn lost_run(&self) {
        self.runs.lost.set(self.runs.lost.get() + 1);
        self.pacing.borrow_mut().loses(self.process.now_ms(), drawn());
    }

    async fn run(
        &self,
        known: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let mut proposal = Proposal::start(self.me, self.next_ballot(), known);
        let mut aim: Option<(Option<Bytes>, Option<Vec<Ipv4Addr>>)> = None;
        let mut change = |read: &RegisterValue| {
            let state = match ControlState::from_payload(&read.payload) {
                Ok(state) => state,
                Err(e) => {
                    log::error!("the register holds what cannot be read: {e}");
                    return Change::Keep;
                }
            };
            match wanted(&state, &read.voters) {
                Wanted::Nothing => {
                    aim = Some((None, None));
                    Change::Keep
                }
                Wanted::State(state) => match state.to_payload() {
                    Ok(payload) => {
                        aim = Some((Some(payload.clone()), None));
                        Change::Set(payload)
                    }
                    Err(_) => Change::Keep,
                },
                Wanted::Voters(voters) => {
                    aim = Some((None, Some(voters.clone())));
                    Change::Voters(voters)
                }
            }
        };
        let mut calls = FuturesUnordered::new();
        let call = |(ip, request)| async move { (ip, self.ask(ip, request, PATIENCE).await) };
        calls.extend(proposal.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => proposal.on_reply(ip, &reply, &mut change),
                None => proposal.on_failure(ip, &mut change),
            };
            match step {
                Step::Wait => {}
                Step::Send(requests) => calls.extend(requests.into_iter().map(call)),
                Step::Done(value) => {
                    let as_wanted = aim.as_ref().is_some_and(|(payload, voters)| {
                        payload.as_ref().is_none_or(|payload| *payload == value.value.payload)
                            && voters.as_ref().is_none_or(|voters| *voters == value.value.voters)
                    });
                    self.pacing.borrow_mut().calms();
                    self.adopt(value);
                    self.poll_now.notify_one();
                    return Ended::Chosen { as_wanted };
                }
                Step::Lost { seen } => {
                    self.saw(seen);
                    self.lost_run();
                    return Ended::Lost;
                }
                Step::Failed => break,
            }
        }
        self.lost_run();
        Ended::Failed
    }

    /// Polls the voters for good, and whenever somebody waits for it.
    pub(super) async fn keep_polling(self: Rc<Self>) {
        let mut unsettled = None;
        loop {
            let at_once = self.clone().poll(&mut unsettled).await;
            self.polled.notify_waiters();
            if !at_once {
                let _ = timeout(POLL + Duration::from_millis(drawn() % 40), self.poll_now.notified()).await;
            }
        }
    }

    /// One round; true if another is to follow at once.
    async fn poll(self: Rc<Self>, unsettled: &mut Option<Unsettled>) -> bool {
        let Some(known) = self.known.borrow().clone().filter(|_| self.acceptor.borrow().record().is_some())
        else {
            return false;
        };
        let began = Instant::now();
        let mut learner = Learner::poll_round(&known.voters, self.feed.value().ballot);
        let (answers, mut answered) = mpsc::unbounded_channel();
        for (ip, request) in learner.outbox() {
            let (keeper, answers) = (self.clone(), answers.clone());
            spawn_local(async move {
                let reply = keeper.ask(ip, request, PATIENCE).await;
                // The round may have come to its end without this one: it was asked to see whether it is there.
                let _ = answers.send((ip, reply));
            });
        }
        drop(answers);
        let (mut verdict, mut newest) = (Verdict::Failed, Ballot::default());
        while let Some((ip, reply)) = answered.recv().await {
            verdict = match reply {
                Some(RegisterReply::Polled { accepted, chosen }) => {
                    newest = newest.max(accepted.unwrap_or_default());
                    self.saw(newest);
                    learner.on_polled(ip, accepted, chosen)
                }
                _ => learner.on_failure(ip),
            };
            if verdict != Verdict::Wait {
                break;
            }
        }
        match verdict {
            Verdict::Fresh => {
                *unsettled = None;
                self.pacing.borrow_mut().calms();
                self.feed.confirm(began);
                false
            }
            Verdict::Behind { from, .. } => {
                for ip in from {
                    if let Some(RegisterReply::Fetched(Some(value))) =
                        self.ask(ip, RegisterRequest::Fetch, PATIENCE).await
                        && learner.confirms(&known, &value)
                    {
                        self.adopt(value);
                        return true;
                    }
                }
                self.settle(unsettled, newest).await
            }
            Verdict::Unsettled => self.settle(unsettled, newest).await,
            Verdict::Wait | Verdict::Failed => false,
        }
    }

    /// A value was accepted that may or may not be chosen. Most often its proposer is just about to say, or another has
    /// gone further meanwhile; where nothing moves, a run that keeps it completes it.
    async fn settle(&self, unsettled: &mut Option<Unsettled>, newest: Ballot) -> bool {
        let waiting = unsettled.take().filter(|waiting| waiting.ballot == newest);
        let waiting = waiting.unwrap_or_else(|| {
            let place = completing_place(self.me, &self.feed.value().voters, newest);
            let wait = UNSETTLED + drawn() % UNSETTLED + COMPLETING_STEP * place as u64;
            Unsettled { ballot: newest, until: Instant::now() + Duration::from_millis(wait) }
        });
        if Instant::now() < waiting.until || self.pacing.borrow().waits(self.process.now_ms()) > 0 {
            *unsettled = Some(waiting);
            sleep(Duration::from_millis(25 + drawn() % 20)).await;
        } else {
            let deadline = tokio::time::Instant::now() + Duration::from_millis(500);
            // One run, and the next poll tells whether another is wanted.
            if let Ok(_alone) = timeout_at(deadline, self.proposing.lock()).await {
                self.attempt(deadline, &mut |_, _| Wanted::Nothing).await;
            }
        }
        true
    }

    /// The newest value that one of these knows to be chosen.
    async fn told_chosen(&self, others: &[Ipv4Addr]) -> Option<RegisterValue> {
        let asked = others.iter().map(|ip| async move {
            let poll = RegisterRequest::Poll { chosen: Ballot::default() };
            let polled = self.ask(*ip, poll, PATIENCE).await?;
            if let RegisterReply::Polled { accepted, chosen } = &polled {
                self.saw(accepted.unwrap_or_default().max(*chosen));
            }
            let fetched = self.ask(*ip, RegisterRequest::Fetch, PATIENCE).await?;
            config_register::told_chosen(&polled, &fetched)
        });
        join_all(asked).await.into_iter().flatten().max_by_key(|known| known.epoch)
    }

    /// Brings an acceptor without a record to where it may vote.
    pub(super) async fn restore(&self) {
        // It begins in any case: runs of others that go on for good must not keep this machine from its vote.
        self.way_is_free(tokio::time::Instant::now() + MOST_WAIT).await;
        let others: Vec<Ipv4Addr> = self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect();
        // With a chosen value to start from, a voter that is gone for good need not answer.
        let known = self.told_chosen(&others).await;
        let ballot = self.recovery_ballot();
        let mut restore = match known {
            Some(known) => Restore::start_from(self.me, ballot, &known, &others),
            None => Restore::start(self.me, ballot, &others),
        };
        let mut calls = FuturesUnordered::new();
        let call = |(ip, request)| async move { (ip, self.ask(ip, request, PATIENCE).await) };
        calls.extend(restore.outbox().into_iter().map(call));
        while let Some((ip, reply)) = calls.next().await {
            let step = match reply {
                Some(reply) => restore.on_reply(ip, &reply),
                None => restore.on_failure(ip),
            };
            match step {
                RestoreStep::Wait => {}
                RestoreStep::Send(requests) => calls.extend(requests.into_iter().map(call)),
                RestoreStep::Lost { seen } => {
                    self.lost_run();
                    return self.saw(seen);
                }
                RestoreStep::Failed => return self.lost_run(),
                RestoreStep::Done(record) => {
                    if self.disk.put(&record).await.is_err() {
                        return;
                    }
                    self.saw(record.promised);
                    self.acceptor.borrow_mut().restore(record.clone());
                    log::info!(
                        "restored under round {}: standing {:?}",
                        record.promised.round,
                        record.standing
                    );
                    // What a restore has had accepted anew is chosen.
                    if let Some(accepted) = record.accepted {
                        self.adopt(accepted);
                    }
                    return;
                }
            }
        }
    }
}

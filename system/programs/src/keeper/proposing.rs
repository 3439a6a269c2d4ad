//! A keeper as proposer and learner of the register.

use super::*;
use config_register::{Change, Learner, Proposal, Restore, RestoreStep, Step, Verdict};
use fleet_model::{AcceptedValue, RegisterValue};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Between two polls.
const POLL: Duration = Duration::from_millis(250);
/// Longest time for one request to an acceptor.
const PATIENCE: Duration = Duration::from_millis(300);
/// A value that stays unsettled is completed after this and as much again by chance: its proposer may be at it.
const UNSETTLED: u64 = 120;
/// Longest pause after a run that lost, in milliseconds.
const MOST_PAUSE: u64 = 320;
/// The low bits of a round tell the lives of a proposer apart.
const LIFE_BITS: u32 = 16;

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
    /// A value is chosen; whether it is as wanted.
    Chosen(AcceptedValue, bool),
    Lost,
    Failed,
}

fn state_of(payload: &[u8]) -> Option<ControlState> {
    match payload {
        [] => Some(ControlState::default()),
        bytes => postcard::from_bytes(bytes).ok(),
    }
}

impl Keeper {
    /// A ballot above all that were seen, which no other life of this machine has used: one that lost its disk does not
    /// know its old ballots, but the time of day has risen since.
    fn next_ballot(&self) -> Ballot {
        let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
        let rising = ((self.highest.get().round >> LIFE_BITS) + 1).max(seconds);
        let round = rising << LIFE_BITS | self.life;
        let ballot = Ballot { round, proposer: u32::from(self.me) };
        self.highest.set(ballot);
        ballot
    }

    fn saw(&self, ballot: Ballot) {
        self.highest.set(self.highest.get().max(ballot));
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
        for lost in 0_u32.. {
            let Some(known) = self.known.borrow().clone() else { return false };
            match timeout_at(deadline, self.run(&known, &mut wanted)).await {
                Err(_) => return false,
                Ok(Ended::Chosen(value, as_wanted)) => {
                    self.adopt(value);
                    self.poll_now.notify_one();
                    if as_wanted {
                        return true;
                    }
                }
                Ok(Ended::Lost | Ended::Failed) => {}
            }
            // Proposers that get into each other's way part by pauses that grow: each needs two rounds undisturbed.
            let pause = Duration::from_millis(4 + drawn() % (MOST_PAUSE.min(16 << lost.min(8))));
            if tokio::time::Instant::now() + pause >= deadline {
                return false;
            }
            sleep(pause).await;
        }
        false
    }

    async fn run(
        &self,
        known: &RegisterValue,
        wanted: &mut impl FnMut(&ControlState, &[Ipv4Addr]) -> Wanted,
    ) -> Ended {
        let mut proposal = Proposal::start(self.me, self.next_ballot(), known);
        let mut aim: Option<(Option<Bytes>, Option<Vec<Ipv4Addr>>)> = None;
        let mut change = |read: &RegisterValue| {
            let Some(state) = state_of(&read.payload) else {
                log::error!("the register holds what cannot be read");
                return Change::Keep;
            };
            match wanted(&state, &read.voters) {
                Wanted::Nothing => {
                    aim = Some((None, None));
                    Change::Keep
                }
                Wanted::State(state) => match postcard::to_allocvec(&state) {
                    Ok(bytes) => {
                        let payload = Bytes::from(bytes);
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
                    return Ended::Chosen(value, as_wanted);
                }
                Step::Lost { seen } => {
                    self.saw(seen);
                    return Ended::Lost;
                }
                Step::Failed => return Ended::Failed,
            }
        }
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
        let waiting = waiting.unwrap_or_else(|| Unsettled {
            ballot: newest,
            until: Instant::now() + Duration::from_millis(UNSETTLED + drawn() % UNSETTLED),
        });
        if Instant::now() < waiting.until {
            *unsettled = Some(waiting);
            sleep(Duration::from_millis(25 + drawn() % 20)).await;
        } else {
            self.change(Duration::from_millis(500), |_| Wanted::Nothing).await;
        }
        true
    }

    /// The newest value that one of these knows to be chosen.
    async fn told_chosen(&self, others: &[Ipv4Addr]) -> Option<RegisterValue> {
        let asked = others.iter().map(|ip| async move {
            let poll = RegisterRequest::Poll { chosen: Ballot::default() };
            let polled = self.ask(*ip, poll, PATIENCE).await?;
            let fetched = self.ask(*ip, RegisterRequest::Fetch, PATIENCE).await?;
            config_register::told_chosen(&polled, &fetched)
        });
        join_all(asked).await.into_iter().flatten().max_by_key(|known| known.epoch)
    }

    /// Brings an acceptor without a record to where it may vote.
    pub(super) async fn restore(&self) {
        let others: Vec<Ipv4Addr> = self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect();
        // With a chosen value to start from, a voter that is gone for good need not answer.
        let mut restore = match self.told_chosen(&others).await {
            Some(known) => Restore::start_from(self.me, self.next_ballot(), &known, &others),
            None => Restore::start(self.me, self.next_ballot(), &others),
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
                RestoreStep::Lost { seen } => return self.saw(seen),
                RestoreStep::Failed => return,
                RestoreStep::Done(record) => {
                    if self.disk.put(RECORD, &record).await.is_err() {
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

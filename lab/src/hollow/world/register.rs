//! The register on a control node: its acceptor, and learning what was chosen.

use super::calls::Pending;
use super::schedule::Due;
use super::{MS, PATIENCE, World};
use crate::hollow::keeper::{Poll, Unsettled, Wanted};
use config_register::{Learner, Verdict, completing_place};
use fleet_model::{AcceptedValue, Ballot, Call, ChosenValue, RegisterReply, RegisterRequest};
use std::net::Ipv4Addr;

/// Between two polls, and up to so much more by chance.
const POLL_INTERVAL: u64 = 250 * MS;
const POLL_JITTER: u64 = 40 * MS;
/// The next poll of a control node that is behind comes after this.
const BEHIND_PAUSE: u64 = 50 * MS;
/// A value that stays unsettled is completed after this and up to as much again by chance.
const UNSETTLED: u64 = 120 * MS;
/// Each voter after the first that would complete it waits so much longer.
const COMPLETING_STEP: u64 = 200 * MS;

impl World {
    pub(super) fn saw_peer(&mut self, node: usize, ip: Ipv4Addr) {
        let now = self.now;
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.seen.insert(ip, now);
        }
    }

    pub(super) fn register(
        &mut self,
        node: usize,
        from: Ipv4Addr,
        request: &RegisterRequest,
    ) -> Option<RegisterReply> {
        let keeper = self.nodes[node].keeper.as_mut()?;
        if let RegisterRequest::Prepare(ballot) = request {
            keeper.ballots.saw(*ballot);
        }
        let (reply, changed) = keeper.acceptor.handle(request);
        self.nodes[node].tally.syncs += u64::from(changed);
        if let RegisterRequest::Poll { chosen } = request {
            self.learn_chosen(node, from, *chosen);
        }
        Some(reply)
    }

    pub(super) fn learn_chosen(&mut self, node: usize, from: Ipv4Addr, chosen: Ballot) {
        if chosen <= self.nodes[node].feed.value().ballot {
            return;
        }
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let own = keeper.acceptor.record().and_then(|record| record.accepted.clone());
        match own {
            Some(accepted) if accepted.ballot == chosen => self.adopt(node, accepted),
            _ if from != self.nodes[node].ip => self.poll_now(node),
            _ => {}
        }
    }

    pub(super) fn adopt(&mut self, node: usize, accepted: AcceptedValue) {
        let known = self.nodes[node].feed.value().ballot;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        keeper.acceptor.learn_value(&accepted);
        if accepted.ballot >= known {
            keeper.known = accepted.value.clone();
        } else {
            return;
        }
        let value = ChosenValue {
            ballot: accepted.ballot,
            voters: accepted.value.voters,
            payload: accepted.value.payload,
        };
        let frames = self.nodes[node].feed.learn_value(value);
        self.spread(node, frames);
        self.learned(node);
    }

    pub(super) fn poll_now(&mut self, node: usize) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        // A round that is under way is let go: the next one begins at once.
        keeper.polls += 1;
        keeper.poll = None;
        let round = keeper.polls;
        self.later(node, 0, Due::Poll(round));
    }

    pub(super) fn poll(&mut self, node: usize, round: u64) {
        let now = self.now;
        let ip = self.nodes[node].ip;
        let chosen = self.nodes[node].feed.value().ballot;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        if keeper.polls != round || keeper.poll.is_some() {
            return;
        }
        let learner = Learner::poll_round(&keeper.known.voters, chosen);
        let outbox = learner.outbox();
        keeper.poll = Some(Poll { round, learner, began: now, newest: Ballot::default() });
        for (to, request) in outbox {
            if to == ip {
                let reply = self.register(node, ip, &request);
                self.polled(node, round, ip, reply);
            } else if let Some(to_node) = self.by_ip.get(&to).copied() {
                self.call(
                    node,
                    to_node,
                    Call::Register(request),
                    Pending::Poll { round, voter: to },
                    PATIENCE,
                );
            }
        }
    }

    pub(super) fn polled(&mut self, node: usize, round: u64, ip: Ipv4Addr, reply: Option<RegisterReply>) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(poll) = keeper.poll.as_mut().filter(|poll| poll.round == round) else { return };
        let verdict = match reply {
            Some(RegisterReply::Polled { accepted, chosen }) => {
                poll.newest = poll.newest.max(accepted.unwrap_or_default());
                keeper.ballots.saw(poll.newest);
                poll.learner.on_polled(ip, accepted, chosen)
            }
            _ => poll.learner.on_failure(ip),
        };
        if verdict == Verdict::Wait {
            return;
        }
        let (began, newest) = (poll.began, poll.newest);
        keeper.poll = None;
        keeper.polls += 1;
        let next = keeper.polls;
        let mut pause = POLL_INTERVAL + self.draw(POLL_JITTER);
        match verdict {
            Verdict::Fresh => {
                if let Some(keeper) = &mut self.nodes[node].keeper {
                    keeper.unsettled = None;
                }
                self.nodes[node].feed.confirm(began);
            }
            Verdict::Behind { from, .. } => {
                if let Some(to) = from.first().and_then(|ip| self.by_ip.get(ip).copied()) {
                    self.call(node, to, Call::Register(RegisterRequest::Fetch), Pending::Fetch, PATIENCE);
                }
                pause = BEHIND_PAUSE;
            }
            Verdict::Unsettled => {
                pause = self.settle(node, newest);
            }
            Verdict::Wait | Verdict::Failed => {}
        }
        self.later(node, pause, Due::Poll(next));
    }

    /// A value was accepted that may or may not be chosen: where nothing moves, the voters complete it in turn. The pause
    /// until the next poll.
    pub(super) fn settle(&mut self, node: usize, newest: Ballot) -> u64 {
        let (now, me) = (self.now, self.nodes[node].ip);
        let drawn = self.draw(UNSETTLED);
        let place = completing_place(me, &self.nodes[node].feed.value().voters, newest);
        let Some(keeper) = &mut self.nodes[node].keeper else { return 0 };
        let waiting = keeper.unsettled.take().filter(|waiting| waiting.ballot == newest);
        let until = now + UNSETTLED + drawn + COMPLETING_STEP * place as u64;
        let waiting = waiting.unwrap_or(Unsettled { ballot: newest, until });
        if now < waiting.until {
            keeper.unsettled = Some(waiting);
        } else {
            self.want(node, Wanted::Keep, 500 * MS);
        }
        25 * MS + self.draw(20 * MS)
    }
}

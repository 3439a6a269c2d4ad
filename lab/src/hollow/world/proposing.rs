//! Changes of the register: proposals, and retries after those that lost.

use super::calls::Pending;
use super::schedule::Due;
use super::{MS, PATIENCE, World};
use crate::hollow::keeper::{Queued, Run, Wanted, apply};
use config_register::{Change, Proposal, Step};
use fleet_model::{Call, RegisterReply, RegisterRequest, RegisterValue};
use std::net::Ipv4Addr;

/// Pauses after proposals that lost are drawn below this at first, unless proposals take longer.
const FIRST_BACKOFF: u64 = 16 * MS;
/// They are drawn below this at most.
const LONGEST_BACKOFF: u64 = 320 * MS;
/// Pauses are at least so long.
const SHORTEST_BACKOFF: u64 = 4 * MS;

impl World {
    /// Has a keeper make a change; one at a time.
    pub(crate) fn want(&mut self, node: usize, wanted: Wanted, within: u64) {
        let until = self.now + within;
        if let Some(keeper) = &mut self.nodes[node].keeper {
            keeper.queue.push_back(Queued { wanted, until, lost: 0 });
        }
        self.begin_run(node);
    }

    pub(super) fn begin_run(&mut self, node: usize) {
        let (now, ip) = (self.now, self.nodes[node].ip);
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        if keeper.run.is_some() {
            return;
        }
        while keeper.queue.front().is_some_and(|queued| queued.until < now) {
            keeper.queue.pop_front();
        }
        let Some(queued) = keeper.queue.pop_front() else { return };
        keeper.runs += 1;
        let number = keeper.runs;
        let ballot = keeper.ballots.next_ballot();
        let proposal = Proposal::start(ip, ballot, &keeper.known);
        let outbox = proposal.outbox();
        keeper.run = Some(Run { number, proposal, queued, began: now });
        self.send_run(node, number, outbox);
    }

    pub(super) fn send_run(&mut self, node: usize, run: u64, outbox: Vec<(Ipv4Addr, RegisterRequest)>) {
        let ip = self.nodes[node].ip;
        for (to, request) in outbox {
            if to == ip {
                let reply = self.register(node, ip, &request);
                self.step(node, run, ip, reply);
            } else if let Some(to_node) = self.by_ip.get(&to).copied() {
                self.call(
                    node,
                    to_node,
                    Call::Register(request),
                    Pending::Proposal { run, voter: to },
                    PATIENCE,
                );
            }
        }
    }

    pub(super) fn step(&mut self, node: usize, number: u64, ip: Ipv4Addr, reply: Option<RegisterReply>) {
        let now = self.now;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(run) = keeper.run.as_mut().filter(|run| run.number == number) else { return };
        let wanted = run.queued.wanted.clone();
        let mut change = |read: &RegisterValue| apply(&wanted, read);
        let step = match reply {
            Some(reply) => run.proposal.on_reply(ip, &reply, &mut change),
            None => run.proposal.on_failure(ip, &mut change),
        };
        match step {
            Step::Wait => {}
            Step::Send(outbox) => self.send_run(node, number, outbox),
            Step::Done(value) => {
                let again = !matches!(apply(&wanted, &value.value), Change::Keep);
                keeper.run_took = (now - run.began).min(LONGEST_BACKOFF);
                if !again {
                    keeper.run = None;
                }
                self.adopt(node, value);
                self.poll_now(node);
                if again {
                    self.try_again(node, number);
                } else {
                    self.begin_run(node);
                }
            }
            Step::Lost { seen } => {
                keeper.ballots.saw(seen);
                self.try_again(node, number);
            }
            Step::Failed => self.try_again(node, number),
        }
    }

    pub(super) fn try_again(&mut self, node: usize, run: u64) {
        let now = self.now;
        let Some(keeper) = &self.nodes[node].keeper else { return };
        let Some(lost) = keeper.run.as_ref().map(|run| run.queued.lost) else { return };
        // Proposers that get into each other's way part by pauses that grow.
        let window = (FIRST_BACKOFF.max(keeper.run_took) << lost.min(8)).min(LONGEST_BACKOFF);
        let pause = SHORTEST_BACKOFF + self.draw(window);
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        // Whoever gets in the way of completing a value is completing it too, or has gone further.
        let ends = |run: &Run| matches!(run.queued.wanted, Wanted::Keep) || now + pause >= run.queued.until;
        match keeper.run.take_if(|run| ends(run)) {
            Some(_) => self.begin_run(node),
            None => self.later(node, pause, Due::Retry(run)),
        }
    }

    pub(super) fn retry(&mut self, node: usize, number: u64) {
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        let Some(run) = keeper.run.take_if(|run| run.number == number) else { return };
        keeper.queue.push_front(Queued { lost: run.queued.lost + 1, ..run.queued });
        self.begin_run(node);
    }
}

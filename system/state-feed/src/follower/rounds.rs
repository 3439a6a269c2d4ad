//! Transitions that are due by time: rounds over the candidates, backoff between them, and the return to the tree.

use super::{
    ANSWER_TIMEOUT, Attempt, Candidate, Command, Follower, HEDGE_DELAY, MAX_CONCURRENT_ATTEMPTS,
    RETURN_BACKOFF, Round, Search, Sources, UPSTREAM_ABANDON_TIMEOUT,
};
use fleet_model::rendezvous_rank;
use std::net::SocketAddrV4;
use std::time::Duration;

impl Follower {
    /// Performs the transitions that are due.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        commands: &mut Vec<Command>,
    ) {
        if let Some(upstream) =
            self.upstream.take_if(|upstream| now >= upstream.last_seen_at + UPSTREAM_ABANDON_TIMEOUT)
        {
            commands.push(Command::Close(upstream.link));
        }
        loop {
            let trusted = self.trusts_upstream(now);
            let next = match &mut self.search {
                Search::Idle if !trusted => {
                    if let Some(address) = self.upstream_address() {
                        self.avoid(now, address);
                    }
                    Search::BackingOff(now)
                }
                Search::Idle => match &self.upstream {
                    Some(upstream) if upstream.is_urgent && now >= self.return_at => Search::InRound(Round {
                        queue: [Candidate { address: upstream.address, urgent: false }].into(),
                        attempts: Vec::new(),
                        hedge_at: now,
                        is_return: true,
                    }),
                    _ => return,
                },
                Search::BackingOff(_) if trusted => {
                    self.become_idle();
                    return;
                }
                Search::BackingOff(until) if now < *until => return,
                Search::BackingOff(_) => Search::InRound(self.new_round(now, control_nodes)),
                Search::InRound(round) if trusted && !round.is_return => {
                    self.close_attempts(commands);
                    self.become_idle();
                    return;
                }
                Search::InRound(round) if !trusted && round.is_return => {
                    self.close_attempts(commands);
                    Search::BackingOff(now)
                }
                Search::InRound(_) => match self.advance_round(now, control_nodes, commands) {
                    Some(next) => next,
                    None => return,
                },
            };
            self.search = next;
        }
    }

    /// Continues the round; returns the next state once the round is finished.
    pub(super) fn advance_round(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        commands: &mut Vec<Command>,
    ) -> Option<Search> {
        let Search::InRound(round) = &mut self.search else { return None };
        let mut timed_out = Vec::new();
        round.attempts.retain(|attempt| {
            let is_pending = now < attempt.deadline;
            if !is_pending {
                commands.push(Command::Close(attempt.link));
                timed_out.push(attempt.address);
            }
            is_pending
        });
        while round.attempts.is_empty()
            || (now >= round.hedge_at && round.attempts.len() < MAX_CONCURRENT_ATTEMPTS)
        {
            let Some(Candidate { address, urgent }) = round.queue.pop_front() else { break };
            self.last_link += 1;
            commands.push(Command::Subscribe { link: self.last_link, upstream: address, urgent });
            let is_control_node = control_nodes.contains(&address) && self.sources != Sources::One;
            let deadline = now + ANSWER_TIMEOUT;
            round.attempts.push(Attempt { link: self.last_link, address, is_control_node, urgent, deadline });
            round.hedge_at = now + HEDGE_DELAY;
        }
        let (is_finished, is_return) = (round.attempts.is_empty(), round.is_return);
        for address in timed_out {
            self.avoid(now, address);
        }
        if !is_finished {
            return None;
        }
        if is_return {
            self.return_backoff = (self.return_backoff * 2).min(RETURN_BACKOFF.max);
            self.return_at = now + self.return_backoff + self.random_below(self.return_backoff);
            return Some(Search::Idle);
        }
        let until = now + self.backoff + self.random_below(self.backoff);
        let max = Self::round_backoff(&self.sources).max;
        self.backoff = (self.backoff * 2).min(max);
        self.asks_urgently = true;
        Some(Search::BackingOff(until))
    }

    /// A round over the control nodes in random order, recently failed ones last.
    pub(super) fn new_round(&mut self, now: Duration, control_nodes: &[SocketAddrV4]) -> Round {
        let order_seed = self.random_u64();
        let mut order: Vec<SocketAddrV4> = control_nodes
            .iter()
            .copied()
            .filter(|node| {
                self.has_single_source()
                    || (*node.ip() != self.me && !self.is_responsive_upstream(now, *node))
            })
            .collect();
        order.sort_by_key(|node| {
            (self.avoided.contains_key(node), rendezvous_rank(&node.ip().octets(), order_seed))
        });
        let queue =
            order.into_iter().map(|address| Candidate { address, urgent: self.asks_urgently }).collect();
        Round { queue, attempts: Vec::new(), hedge_at: now, is_return: false }
    }
}

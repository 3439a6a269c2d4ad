//! Transitions on answers, heartbeats and closed links.

use super::{
    ANSWER_TIMEOUT, Candidate, Command, Follower, LinkId, MAX_JITTER, RETURN_BACKOFF, Round, Search, Sources,
    Upstream,
};
use crate::{MAX_STATE_AGE, UPSTREAM_TIMEOUT};
use fleet_model::{Answer, rendezvous_rank};
use std::net::SocketAddrV4;
use std::time::Duration;

impl Follower {
    pub(super) fn on_answer(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        link: LinkId,
        answer: Answer,
        commands: &mut Vec<Command>,
    ) {
        if answer == Answer::Done {
            if let Search::InRound(round) = &mut self.search
                && let Some(attempt) = round.attempts.iter_mut().find(|attempt| attempt.link == link)
            {
                // The first heartbeat has to follow.
                attempt.deadline = now + ANSWER_TIMEOUT;
            }
            return;
        }
        let Some(attempt) = self.remove_attempt(link) else { return };
        commands.push(Command::Close(link));
        match answer {
            Answer::Redirect(relays) if attempt.is_control_node && !attempt.urgent => {
                self.on_redirect(now, control_nodes, attempt.address, relays);
            }
            _ => self.avoid(now, attempt.address),
        }
    }

    /// Continues the round with the named relays, and then with urgent subscriptions at the control nodes.
    pub(super) fn on_redirect(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        by: SocketAddrV4,
        mut relays: Vec<SocketAddrV4>,
    ) {
        relays.retain(|relay| {
            *relay.ip() != self.me
                && !self.avoided.contains_key(relay)
                && !self.is_responsive_upstream(now, *relay)
        });
        let order_seed = self.random_u64();
        relays.sort_by_key(|relay| rendezvous_rank(&relay.ip().octets(), order_seed));
        let Search::InRound(round) = &mut self.search else { return };
        relays.retain(|relay| {
            !round.queue.iter().any(|candidate| candidate.address == *relay)
                && !round.attempts.iter().any(|attempt| attempt.address == *relay)
        });
        round.hedge_at = now;
        if round.is_return {
            round.queue.extend(relays.into_iter().map(|address| Candidate { address, urgent: false }));
            return;
        }
        for candidate in &mut round.queue {
            candidate.urgent |= control_nodes.contains(&candidate.address);
        }
        let first_control_node =
            round.queue.iter().position(|candidate| control_nodes.contains(&candidate.address));
        round
            .queue
            .insert(first_control_node.unwrap_or(round.queue.len()), Candidate { address: by, urgent: true });
        for address in relays {
            round.queue.push_front(Candidate { address, urgent: false });
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        link: LinkId,
        age: Duration,
        commands: &mut Vec<Command>,
    ) {
        let at = now.checked_sub(age);
        if let Some(upstream) = self.upstream.as_mut().filter(|upstream| upstream.link == link) {
            upstream.last_seen_at = now;
            upstream.confirmed_at = upstream.confirmed_at.max(at);
            return;
        }
        let is_return = matches!(&self.search, Search::InRound(round) if round.is_return);
        let Some(attempt) = self.remove_attempt(link) else { return };
        let fresh = self.has_single_source() || age < MAX_STATE_AGE;
        let better = match &self.upstream {
            None => true,
            Some(upstream) => {
                now >= upstream.last_seen_at + UPSTREAM_TIMEOUT
                    || at > upstream.confirmed_at.map(|confirmed| confirmed + MAX_STATE_AGE / 4)
            }
        };
        if !fresh && (is_return || !better) {
            commands.push(Command::Close(link));
            self.avoid(now, attempt.address);
            return;
        }
        let is_urgent =
            attempt.is_control_node && attempt.urgent && self.sources == Sources::Tree { urgent: false };
        let upstream = Upstream {
            link,
            address: attempt.address,
            is_control_node: attempt.is_control_node,
            is_urgent,
            last_seen_at: now,
            confirmed_at: at,
        };
        if let Some(former) = self.upstream.replace(upstream) {
            commands.push(Command::Close(former.link));
        }
        self.jitter = self.random_below(MAX_JITTER);
        if !is_urgent {
            self.return_backoff = RETURN_BACKOFF.initial;
        }
        self.return_at = now + self.return_backoff + self.random_below(self.return_backoff);
        if fresh {
            self.close_attempts(commands);
            self.become_idle();
        }
    }

    pub(super) fn on_out_of_sync(&mut self, now: Duration, link: LinkId, commands: &mut Vec<Command>) {
        if self.remove_attempt(link).is_some() {
            commands.push(Command::Close(link));
            return;
        }
        let Some(upstream) = self.upstream.take_if(|upstream| upstream.link == link) else { return };
        commands.push(Command::Close(link));
        // The upstream is healthy: a new subscription makes it send the complete list.
        let retry = Candidate { address: upstream.address, urgent: upstream.is_urgent || self.asks_urgently };
        match &mut self.search {
            Search::InRound(round) if !round.is_return => round.queue.push_front(retry),
            _ => {
                self.close_attempts(commands);
                self.search = Search::InRound(Round {
                    queue: [retry].into(),
                    attempts: Vec::new(),
                    hedge_at: now,
                    is_return: false,
                });
            }
        }
    }

    pub(super) fn on_closed(&mut self, now: Duration, link: LinkId, commands: &mut Vec<Command>) {
        if let Some(attempt) = self.remove_attempt(link) {
            self.avoid(now, attempt.address);
        } else if let Some(upstream) = self.upstream.take_if(|upstream| upstream.link == link) {
            self.avoid(now, upstream.address);
            if !matches!(&self.search, Search::InRound(round) if !round.is_return) {
                self.close_attempts(commands);
                let spread =
                    if self.has_single_source() { self.backoff } else { self.random_below(MAX_JITTER) };
                self.search = Search::BackingOff(now + spread);
            }
        }
    }
}

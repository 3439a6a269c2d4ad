//! By whom a process is fed: whom it asks next, when it leaves its upstream, when it asks a control node urgently.
//!
//! An upstream that grows silent or stale is kept until another one feeds: it may come back, and none may be better. What any
//! link brings is taken in, so during a change two links do no harm.

use crate::{MAX_RELAY_STATE_AGE, MAX_STATE_AGE, UPSTREAM_TIMEOUT};
use fleet_model::{Answer, rendezvous_rank};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Names an asked process's link; no two of a follower have the same.
pub type LinkId = u64;

/// How long an asked process may take to answer, and then to send its first heartbeat.
const PATIENCE: Duration = Duration::from_millis(300);
/// After so long without an answer the next one is asked as well.
const HEDGE: Duration = Duration::from_millis(120);
/// Asked at once.
const MOST_ATTEMPTS: usize = 2;
/// Pauses that are doubled from the first to the longest.
struct Backoff {
    first: Duration,
    longest: Duration,
}

/// After a round in which nobody fed.
const ROUNDS: Backoff = Backoff { first: Duration::from_millis(40), longest: Duration::from_millis(400) };
/// The same for a follower of one upstream.
const ROUNDS_OF_ONE: Backoff =
    Backoff { first: Duration::from_millis(10), longest: Duration::from_millis(200) };
/// Who has asked a control node urgently asks to be fed by the tree after these.
const RETURNS: Backoff = Backoff { first: Duration::from_secs(4), longest: Duration::from_secs(32) };
/// What failed is asked again only after the others for so long.
const AVOIDED: Duration = Duration::from_secs(3);
/// An upstream that is silent for so long is given up, also if there is no other.
const GIVEN_UP: Duration = Duration::from_secs(5);
/// Up to so long who lost an upstream waits, by chance: its former siblings have lost it too.
const SPREAD: Duration = Duration::from_millis(60);

/// Who may feed a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The control nodes, and relays that they name. `urgent`: only control nodes.
    Tree {
        /// The control nodes are to feed this process themselves.
        urgent: bool,
    },
    /// One process, however stale.
    One,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed, or nothing but the control nodes changed.
    Tick,
    /// The asked one answered.
    Answered(LinkId, Answer),
    /// A heartbeat came that told this age. What else the link brings is no event here.
    Beat(LinkId, Duration),
    /// What the link brought is on top of a list that is not known here.
    OutOfStep(LinkId),
    /// The link broke, or could not be opened.
    Closed(LinkId),
}

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a link to `parent` and ask it to feed this process.
    Ask {
        /// Under this number events tell of the link.
        link: LinkId,
        /// Whom.
        parent: SocketAddrV4,
        /// Take this process on, however many there are.
        urgent: bool,
    },
    /// Close the link; nothing that it brings from now on counts.
    Close(LinkId),
}

/// The link on which this process is fed.
#[derive(Clone, Debug)]
struct Upstream {
    link: LinkId,
    address: SocketAddrV4,
    is_control_node: bool,
    /// It took this process on because it was asked urgently, however many it feeds.
    is_urgent: bool,
    heard_at: Duration,
    confirmed_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Attempt {
    link: LinkId,
    address: SocketAddrV4,
    is_control_node: bool,
    urgent: bool,
    until: Duration,
}

/// Who is to be asked.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddrV4,
    urgent: bool,
}

/// Who is asked in turn.
#[derive(Clone, Debug)]
struct Round {
    queue: VecDeque<Candidate>,
    attempts: Vec<Attempt>,
    /// From then on the next one is asked, though others have not answered yet.
    hedge_at: Duration,
    /// All is well, but a control node was asked urgently: now the tree is asked.
    returning: bool,
}

/// What the follower is at, beside the upstream that it may have.
#[derive(Clone, Debug)]
enum Search {
    /// The upstream is trusted.
    Resting,
    /// A round begins then.
    BackingOff(Duration),
    /// A round is under way.
    Asking(Round),
}

/// Decides by whom a process is fed.
#[derive(Clone, Debug)]
pub struct Follower {
    me: Ipv4Addr,
    sources: Sources,
    seed: u64,
    draws: u64,
    last_link: LinkId,
    upstream: Option<Upstream>,
    search: Search,
    /// Whether the control nodes are asked urgently.
    asks_urgently: bool,
    /// The pause after the next round in which nobody feeds.
    backoff: Duration,
    /// Drawn for each upstream, so that siblings do not leave it at one time.
    slack: Duration,
    return_at: Duration,
    return_backoff: Duration,
    avoided: BTreeMap<SocketAddrV4, Duration>,
}

impl Follower {
    /// Of machine `me`; `seed` is drawn by chance.
    pub fn new(me: Ipv4Addr, sources: Sources, seed: u64) -> Self {
        let backoff = Self::round_backoff(&sources).first;
        Self {
            me,
            asks_urgently: sources != Sources::Tree { urgent: false },
            sources,
            seed,
            draws: 0,
            last_link: 0,
            upstream: None,
            search: Search::BackingOff(Duration::ZERO),
            backoff,
            slack: Duration::ZERO,
            return_at: Duration::MAX,
            return_backoff: RETURNS.first,
            avoided: BTreeMap::new(),
        }
    }

    /// Who feeds this process now, be it silent.
    pub fn parent(&self) -> Option<SocketAddrV4> {
        self.upstream.as_ref().map(|upstream| upstream.address)
    }

    /// The one place where state changes. `control_nodes`: those known now; with [`Sources::One`] the one upstream.
    pub fn handle(&mut self, now: Duration, control_nodes: &[SocketAddrV4], event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.avoided.retain(|_, until| now < *until);
        match event {
            Event::Tick => {}
            Event::Answered(link, answer) => self.answered(now, control_nodes, link, answer, &mut commands),
            Event::Beat(link, age) => self.heartbeat(now, link, age, &mut commands),
            Event::OutOfStep(link) => self.out_of_step(now, link, &mut commands),
            Event::Closed(link) => self.closed(now, link, &mut commands),
        }
        self.advance(now, control_nodes, &mut commands);
        commands
    }

    /// When [`Event::Tick`] is due, if nothing else happens before.
    pub fn wake_at(&self) -> Duration {
        let upstream = self.upstream.as_ref();
        let silent = upstream.map_or(Duration::MAX, |upstream| upstream.heard_at + GIVEN_UP);
        match &self.search {
            Search::Resting => {
                let returning = if upstream.is_some_and(|upstream| upstream.is_urgent) {
                    self.return_at
                } else {
                    Duration::MAX
                };
                upstream.map_or(Duration::ZERO, |upstream| self.trusted_until(upstream)).min(returning)
            }
            Search::BackingOff(until) => silent.min(*until),
            Search::Asking(round) => {
                let mut at =
                    round.attempts.iter().map(|attempt| attempt.until).min().unwrap_or(Duration::ZERO);
                if round.attempts.len() < MOST_ATTEMPTS && !round.queue.is_empty() {
                    at = at.min(round.hedge_at);
                }
                if round.returning
                    && let Some(upstream) = upstream
                {
                    at = at.min(self.trusted_until(upstream));
                }
                silent.min(at)
            }
        }
    }

    fn round_backoff(sources: &Sources) -> Backoff {
        if *sources == Sources::One { ROUNDS_OF_ONE } else { ROUNDS }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        rendezvous_rank(&self.draws.to_le_bytes(), self.seed)
    }

    fn draw_below(&mut self, below: Duration) -> Duration {
        let below = u64::try_from(below.as_millis()).unwrap_or(u64::MAX).max(1);
        Duration::from_millis((self.draw() >> 16) % below)
    }

    fn is_one(&self) -> bool {
        self.sources == Sources::One
    }

    /// Until then an upstream is trusted, if nothing more comes of it.
    fn trusted_until(&self, upstream: &Upstream) -> Duration {
        let stale = match (self.is_one(), upstream.confirmed_at) {
            (true, _) => Duration::MAX,
            (false, None) => Duration::ZERO,
            (false, Some(at)) => {
                at + if upstream.is_control_node { MAX_STATE_AGE } else { MAX_RELAY_STATE_AGE }
            }
        };
        (upstream.heard_at + UPSTREAM_TIMEOUT).min(stale).saturating_add(self.slack)
    }

    fn trusts_upstream(&self, now: Duration) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| now < self.trusted_until(upstream))
    }

    /// What is known here is as good as it can be until something changes.
    fn settle(&mut self) {
        self.search = Search::Resting;
        self.backoff = Self::round_backoff(&self.sources).first;
        self.asks_urgently = self.sources != Sources::Tree { urgent: false };
    }

    fn take_attempt(&mut self, link: LinkId) -> Option<Attempt> {
        let Search::Asking(round) = &mut self.search else { return None };
        let place = round.attempts.iter().position(|attempt| attempt.link == link)?;
        Some(round.attempts.remove(place))
    }

    fn close_attempts(&mut self, commands: &mut Vec<Command>) {
        if let Search::Asking(round) = &mut self.search {
            commands.extend(round.attempts.drain(..).map(|attempt| Command::Close(attempt.link)));
        }
    }

    fn avoid(&mut self, now: Duration, address: SocketAddrV4) {
        if !self.is_one() {
            self.avoided.insert(address, now + AVOIDED);
        }
    }

    /// It can be seen to live, so to ask it again brings nothing.
    fn hears(&self, now: Duration, address: SocketAddrV4) -> bool {
        self.upstream
            .as_ref()
            .is_some_and(|upstream| upstream.address == address && now < upstream.heard_at + UPSTREAM_TIMEOUT)
    }

    fn answered(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        link: LinkId,
        answer: Answer,
        commands: &mut Vec<Command>,
    ) {
        if answer == Answer::Done {
            if let Search::Asking(round) = &mut self.search
                && let Some(attempt) = round.attempts.iter_mut().find(|attempt| attempt.link == link)
            {
                // Its first heartbeat is waited for.
                attempt.until = now + PATIENCE;
            }
            return;
        }
        let Some(attempt) = self.take_attempt(link) else { return };
        commands.push(Command::Close(link));
        match answer {
            Answer::Redirect(relays) if attempt.is_control_node && !attempt.urgent => {
                self.redirected(now, control_nodes, attempt.address, relays);
            }
            _ => self.avoid(now, attempt.address),
        }
    }

    /// First those that were named are asked, then the control nodes, urgently.
    fn redirected(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        by: SocketAddrV4,
        mut relays: Vec<SocketAddrV4>,
    ) {
        relays.retain(|relay| {
            *relay.ip() != self.me && !self.avoided.contains_key(relay) && !self.hears(now, *relay)
        });
        let draw = self.draw();
        relays.sort_by_key(|relay| rendezvous_rank(&relay.ip().octets(), draw));
        let Search::Asking(round) = &mut self.search else { return };
        relays.retain(|relay| {
            !round.queue.iter().any(|candidate| candidate.address == *relay)
                && !round.attempts.iter().any(|attempt| attempt.address == *relay)
        });
        round.hedge_at = now;
        if round.returning {
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

    fn heartbeat(&mut self, now: Duration, link: LinkId, age: Duration, commands: &mut Vec<Command>) {
        let at = now.checked_sub(age);
        if let Some(upstream) = self.upstream.as_mut().filter(|upstream| upstream.link == link) {
            upstream.heard_at = now;
            upstream.confirmed_at = upstream.confirmed_at.max(at);
            return;
        }
        let returning = matches!(&self.search, Search::Asking(round) if round.returning);
        let Some(attempt) = self.take_attempt(link) else { return };
        let fresh = self.is_one() || age < MAX_STATE_AGE;
        let better = match &self.upstream {
            None => true,
            Some(upstream) => {
                now >= upstream.heard_at + UPSTREAM_TIMEOUT
                    || at > upstream.confirmed_at.map(|confirmed| confirmed + MAX_STATE_AGE / 4)
            }
        };
        if !fresh && (returning || !better) {
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
            heard_at: now,
            confirmed_at: at,
        };
        if let Some(former) = self.upstream.replace(upstream) {
            commands.push(Command::Close(former.link));
        }
        self.slack = self.draw_below(SPREAD);
        if !is_urgent {
            self.return_backoff = RETURNS.first;
        }
        self.return_at = now + self.return_backoff + self.draw_below(self.return_backoff);
        if fresh {
            self.close_attempts(commands);
            self.settle();
        }
    }

    fn out_of_step(&mut self, now: Duration, link: LinkId, commands: &mut Vec<Command>) {
        if self.take_attempt(link).is_some() {
            commands.push(Command::Close(link));
            return;
        }
        let Some(upstream) = self.upstream.take_if(|upstream| upstream.link == link) else { return };
        commands.push(Command::Close(link));
        // Nothing is wrong with it: it only has to send the whole list.
        let again = Candidate { address: upstream.address, urgent: upstream.is_urgent || self.asks_urgently };
        match &mut self.search {
            Search::Asking(round) if !round.returning => round.queue.push_front(again),
            _ => {
                self.close_attempts(commands);
                self.search = Search::Asking(Round {
                    queue: [again].into(),
                    attempts: Vec::new(),
                    hedge_at: now,
                    returning: false,
                });
            }
        }
    }

    fn closed(&mut self, now: Duration, link: LinkId, commands: &mut Vec<Command>) {
        if let Some(attempt) = self.take_attempt(link) {
            self.avoid(now, attempt.address);
        } else if let Some(upstream) = self.upstream.take_if(|upstream| upstream.link == link) {
            self.avoid(now, upstream.address);
            if !matches!(&self.search, Search::Asking(round) if !round.returning) {
                self.close_attempts(commands);
                let spread = if self.is_one() { self.backoff } else { self.draw_below(SPREAD) };
                self.search = Search::BackingOff(now + spread);
            }
        }
    }

    /// Goes on with what has become due.
    fn advance(&mut self, now: Duration, control_nodes: &[SocketAddrV4], commands: &mut Vec<Command>) {
        if let Some(upstream) = self.upstream.take_if(|upstream| now >= upstream.heard_at + GIVEN_UP) {
            commands.push(Command::Close(upstream.link));
        }
        loop {
            let trusted = self.trusts_upstream(now);
            let next = match &mut self.search {
                Search::Resting if !trusted => {
                    if let Some(address) = self.parent() {
                        self.avoid(now, address);
                    }
                    Search::BackingOff(now)
                }
                Search::Resting => match &self.upstream {
                    Some(upstream) if upstream.is_urgent && now >= self.return_at => Search::Asking(Round {
                        queue: [Candidate { address: upstream.address, urgent: false }].into(),
                        attempts: Vec::new(),
                        hedge_at: now,
                        returning: true,
                    }),
                    _ => return,
                },
                Search::BackingOff(_) if trusted => {
                    self.settle();
                    return;
                }
                Search::BackingOff(until) if now < *until => return,
                Search::BackingOff(_) => Search::Asking(self.round(now, control_nodes)),
                Search::Asking(round) if trusted && !round.returning => {
                    self.close_attempts(commands);
                    self.settle();
                    return;
                }
                Search::Asking(round) if !trusted && round.returning => {
                    self.close_attempts(commands);
                    Search::BackingOff(now)
                }
                Search::Asking(_) => match self.ask_on(now, control_nodes, commands) {
                    Some(next) => next,
                    None => return,
                },
            };
            self.search = next;
        }
    }

    /// Goes on with a round; its end leads to another state.
    fn ask_on(
        &mut self,
        now: Duration,
        control_nodes: &[SocketAddrV4],
        commands: &mut Vec<Command>,
    ) -> Option<Search> {
        let Search::Asking(round) = &mut self.search else { return None };
        let mut late = Vec::new();
        round.attempts.retain(|attempt| {
            let stays = now < attempt.until;
            if !stays {
                commands.push(Command::Close(attempt.link));
                late.push(attempt.address);
            }
            stays
        });
        while round.attempts.is_empty() || (now >= round.hedge_at && round.attempts.len() < MOST_ATTEMPTS) {
            let Some(Candidate { address, urgent }) = round.queue.pop_front() else { break };
            self.last_link += 1;
            commands.push(Command::Ask { link: self.last_link, parent: address, urgent });
            let is_control_node = control_nodes.contains(&address) && self.sources != Sources::One;
            let until = now + PATIENCE;
            round.attempts.push(Attempt { link: self.last_link, address, is_control_node, urgent, until });
            round.hedge_at = now + HEDGE;
        }
        let (ended, returning) = (round.attempts.is_empty(), round.returning);
        for address in late {
            self.avoid(now, address);
        }
        if !ended {
            return None;
        }
        if returning {
            self.return_backoff = (self.return_backoff * 2).min(RETURNS.longest);
            self.return_at = now + self.return_backoff + self.draw_below(self.return_backoff);
            return Some(Search::Resting);
        }
        let until = now + self.backoff + self.draw_below(self.backoff);
        let longest = Self::round_backoff(&self.sources).longest;
        self.backoff = (self.backoff * 2).min(longest);
        self.asks_urgently = true;
        Some(Search::BackingOff(until))
    }

    /// A round over the control nodes, in an order drawn by chance.
    fn round(&mut self, now: Duration, control_nodes: &[SocketAddrV4]) -> Round {
        let draw = self.draw();
        let mut order: Vec<SocketAddrV4> = control_nodes
            .iter()
            .copied()
            .filter(|node| self.is_one() || (*node.ip() != self.me && !self.hears(now, *node)))
            .collect();
        order.sort_by_key(|node| {
            (self.avoided.contains_key(node), rendezvous_rank(&node.ip().octets(), draw))
        });
        let queue =
            order.into_iter().map(|address| Candidate { address, urgent: self.asks_urgently }).collect();
        Round { queue, attempts: Vec::new(), hedge_at: now, returning: false }
    }
}

//! By whom a process is fed: whom it asks next, when it leaves a parent, when it presses a keeper.
//!
//! A parent that grows silent or stale is kept until another one feeds: it may come back, and none may be better. What any
//! link brings is taken in, so during a change two links do no harm.

use crate::{MOST_AGE, RELAY_AGE, SILENCE};
use fleet_model::{Answer, rank};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Names an asked process's link; no two of a follower have the same.
pub type LinkId = u64;

/// How long an asked process may take to answer, and then to send its first beat.
const PATIENCE: Duration = Duration::from_millis(300);
/// After so long without an answer the next one is asked as well.
const HEDGE: Duration = Duration::from_millis(120);
/// Asked at once.
const MOST_ATTEMPTS: usize = 2;
/// Pauses after a round in which nobody fed, doubled from the first to the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(400));
/// The same for a follower of one parent.
const SOLE_PAUSES: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));
/// Who pressed a keeper asks to be fed by the tree after the first of these, doubled up to the other.
const RETURNS: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(32));
/// What failed is asked again only after the others for so long.
const SHUNNED: Duration = Duration::from_secs(3);
/// A parent that is silent for so long is given up, also if there is no other.
const GIVEN_UP: Duration = Duration::from_secs(5);
/// Up to so long who lost a parent waits, by chance: its former siblings have lost it too.
const SPREAD: Duration = Duration::from_millis(60);

/// Who may feed a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The keepers, and relays that they name. `urgent`: only keepers.
    Tree {
        /// The keepers are to feed this process themselves.
        urgent: bool,
    },
    /// One process, however stale.
    One,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed, or nothing but the keepers changed.
    Tick,
    /// The asked one answered.
    Answered(LinkId, Answer),
    /// A beat came that told this age. What else the link brings is no event here.
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
struct Parent {
    link: LinkId,
    address: SocketAddrV4,
    keeper: bool,
    pressed: bool,
    heard_at: Duration,
    fresh_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Attempt {
    link: LinkId,
    address: SocketAddrV4,
    keeper: bool,
    urgent: bool,
    until: Duration,
}

/// Who is asked in turn.
#[derive(Clone, Debug)]
struct Round {
    queue: VecDeque<(SocketAddrV4, bool)>,
    attempts: Vec<Attempt>,
    /// From then on the next one is asked, though others have not answered yet.
    hedge_at: Duration,
    /// All is well, but a keeper was pressed: now the tree is asked.
    returning: bool,
}

/// What the follower is at, beside the parent that it may have.
#[derive(Clone, Debug)]
enum Search {
    /// The parent is good.
    Resting,
    /// A round begins then.
    Pausing(Duration),
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
    parent: Option<Parent>,
    search: Search,
    pressing: bool,
    pause: Duration,
    /// Drawn for each parent, so that siblings do not leave it at one time.
    slack: Duration,
    return_at: Duration,
    return_pause: Duration,
    shunned: BTreeMap<SocketAddrV4, Duration>,
}

impl Follower {
    /// Of machine `me`; `seed` is drawn by chance.
    pub fn new(me: Ipv4Addr, sources: Sources, seed: u64) -> Self {
        let pause = if sources == Sources::One { SOLE_PAUSES.0 } else { PAUSES.0 };
        Self {
            me,
            pressing: sources != Sources::Tree { urgent: false },
            sources,
            seed,
            draws: 0,
            last_link: 0,
            parent: None,
            search: Search::Pausing(Duration::ZERO),
            pause,
            slack: Duration::ZERO,
            return_at: Duration::MAX,
            return_pause: RETURNS.0,
            shunned: BTreeMap::new(),
        }
    }

    /// Who feeds this process now, be it silent.
    pub fn parent(&self) -> Option<SocketAddrV4> {
        self.parent.as_ref().map(|parent| parent.address)
    }

    /// The one place where state changes. `keepers`: those known now; with [`Sources::One`] the one parent.
    pub fn handle(&mut self, now: Duration, keepers: &[SocketAddrV4], event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.shunned.retain(|_, until| now < *until);
        match event {
            Event::Tick => {}
            Event::Answered(link, answer) => self.answered(now, keepers, link, answer, &mut commands),
            Event::Beat(link, age) => self.beat(now, link, age, &mut commands),
            Event::OutOfStep(link) => self.out_of_step(now, link, &mut commands),
            Event::Closed(link) => self.closed(now, link, &mut commands),
        }
        self.settle(now, keepers, &mut commands);
        commands
    }

    /// When [`Event::Tick`] is due, if nothing else happens before.
    pub fn wake_at(&self) -> Duration {
        let parent = self.parent.as_ref();
        let silent = parent.map_or(Duration::MAX, |parent| parent.heard_at + GIVEN_UP);
        match &self.search {
            Search::Resting => {
                let returning =
                    if parent.is_some_and(|parent| parent.pressed) { self.return_at } else { Duration::MAX };
                parent.map_or(Duration::ZERO, |parent| self.good_until(parent)).min(returning)
            }
            Search::Pausing(until) => silent.min(*until),
            Search::Asking(round) => {
                let mut at =
                    round.attempts.iter().map(|attempt| attempt.until).min().unwrap_or(Duration::ZERO);
                if round.attempts.len() < MOST_ATTEMPTS && !round.queue.is_empty() {
                    at = at.min(round.hedge_at);
                }
                if round.returning
                    && let Some(parent) = parent
                {
                    at = at.min(self.good_until(parent));
                }
                silent.min(at)
            }
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        rank(&self.draws.to_le_bytes(), self.seed)
    }

    fn draw_below(&mut self, below: Duration) -> Duration {
        let below = u64::try_from(below.as_millis()).unwrap_or(u64::MAX).max(1);
        Duration::from_millis((self.draw() >> 16) % below)
    }

    fn is_one(&self) -> bool {
        self.sources == Sources::One
    }

    /// Until then a parent is trusted, if nothing more comes of it.
    fn good_until(&self, parent: &Parent) -> Duration {
        let stale = match (self.is_one(), parent.fresh_at) {
            (true, _) => Duration::MAX,
            (false, None) => Duration::ZERO,
            (false, Some(at)) => at + if parent.keeper { MOST_AGE } else { RELAY_AGE },
        };
        (parent.heard_at + SILENCE).min(stale).saturating_add(self.slack)
    }

    fn is_good(&self, now: Duration) -> bool {
        self.parent.as_ref().is_some_and(|parent| now < self.good_until(parent))
    }

    /// What is known here is as good as it can be until something changes.
    fn rest(&mut self) {
        self.search = Search::Resting;
        self.pause = if self.is_one() { SOLE_PAUSES.0 } else { PAUSES.0 };
        self.pressing = self.sources != Sources::Tree { urgent: false };
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

    fn shun(&mut self, now: Duration, address: SocketAddrV4) {
        if !self.is_one() {
            self.shunned.insert(address, now + SHUNNED);
        }
    }

    /// It can be seen to live, so to ask it again brings nothing.
    fn hears(&self, now: Duration, address: SocketAddrV4) -> bool {
        self.parent
            .as_ref()
            .is_some_and(|parent| parent.address == address && now < parent.heard_at + SILENCE)
    }

    fn answered(
        &mut self,
        now: Duration,
        keepers: &[SocketAddrV4],
        link: LinkId,
        answer: Answer,
        commands: &mut Vec<Command>,
    ) {
        if answer == Answer::Done {
            if let Search::Asking(round) = &mut self.search
                && let Some(attempt) = round.attempts.iter_mut().find(|attempt| attempt.link == link)
            {
                // Its first beat is waited for.
                attempt.until = now + PATIENCE;
            }
            return;
        }
        let Some(attempt) = self.take_attempt(link) else { return };
        commands.push(Command::Close(link));
        match answer {
            Answer::Redirect(heads) if attempt.keeper && !attempt.urgent => {
                self.redirected(now, keepers, attempt.address, heads);
            }
            _ => self.shun(now, attempt.address),
        }
    }

    /// First those that were named are asked, then the keepers are pressed.
    fn redirected(
        &mut self,
        now: Duration,
        keepers: &[SocketAddrV4],
        by: SocketAddrV4,
        mut heads: Vec<SocketAddrV4>,
    ) {
        heads.retain(|head| {
            *head.ip() != self.me && !self.shunned.contains_key(head) && !self.hears(now, *head)
        });
        let draw = self.draw();
        heads.sort_by_key(|head| rank(&head.ip().octets(), draw));
        let Search::Asking(round) = &mut self.search else { return };
        heads.retain(|head| {
            !round.queue.iter().any(|(asked, _)| asked == head)
                && !round.attempts.iter().any(|attempt| attempt.address == *head)
        });
        round.hedge_at = now;
        if round.returning {
            round.queue.extend(heads.into_iter().map(|head| (head, false)));
            return;
        }
        for (address, urgent) in &mut round.queue {
            *urgent |= keepers.contains(address);
        }
        let first_keeper = round.queue.iter().position(|(address, _)| keepers.contains(address));
        round.queue.insert(first_keeper.unwrap_or(round.queue.len()), (by, true));
        for head in heads {
            round.queue.push_front((head, false));
        }
    }

    fn beat(&mut self, now: Duration, link: LinkId, age: Duration, commands: &mut Vec<Command>) {
        let at = now.checked_sub(age);
        if let Some(parent) = self.parent.as_mut().filter(|parent| parent.link == link) {
            parent.heard_at = now;
            parent.fresh_at = parent.fresh_at.max(at);
            return;
        }
        let returning = matches!(&self.search, Search::Asking(round) if round.returning);
        let Some(attempt) = self.take_attempt(link) else { return };
        let fresh = self.is_one() || age < MOST_AGE;
        let better = match &self.parent {
            None => true,
            Some(parent) => {
                now >= parent.heard_at + SILENCE || at > parent.fresh_at.map(|fresh| fresh + MOST_AGE / 4)
            }
        };
        if !fresh && (returning || !better) {
            commands.push(Command::Close(link));
            self.shun(now, attempt.address);
            return;
        }
        let pressed = attempt.keeper && attempt.urgent && self.sources == Sources::Tree { urgent: false };
        let parent = Parent {
            link,
            address: attempt.address,
            keeper: attempt.keeper,
            pressed,
            heard_at: now,
            fresh_at: at,
        };
        if let Some(former) = self.parent.replace(parent) {
            commands.push(Command::Close(former.link));
        }
        self.slack = self.draw_below(SPREAD);
        if !pressed {
            self.return_pause = RETURNS.0;
        }
        self.return_at = now + self.return_pause + self.draw_below(self.return_pause);
        if fresh {
            self.close_attempts(commands);
            self.rest();
        }
    }

    fn out_of_step(&mut self, now: Duration, link: LinkId, commands: &mut Vec<Command>) {
        if self.take_attempt(link).is_some() {
            commands.push(Command::Close(link));
            return;
        }
        let Some(parent) = self.parent.take_if(|parent| parent.link == link) else { return };
        commands.push(Command::Close(link));
        // Nothing is wrong with it: it only has to send the whole list.
        let again = (parent.address, parent.pressed || self.pressing);
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
            self.shun(now, attempt.address);
        } else if let Some(parent) = self.parent.take_if(|parent| parent.link == link) {
            self.shun(now, parent.address);
            if !matches!(&self.search, Search::Asking(round) if !round.returning) {
                self.close_attempts(commands);
                let spread = if self.is_one() { self.pause } else { self.draw_below(SPREAD) };
                self.search = Search::Pausing(now + spread);
            }
        }
    }

    /// Goes on with what has become due.
    fn settle(&mut self, now: Duration, keepers: &[SocketAddrV4], commands: &mut Vec<Command>) {
        if let Some(parent) = self.parent.take_if(|parent| now >= parent.heard_at + GIVEN_UP) {
            commands.push(Command::Close(parent.link));
        }
        loop {
            let good = self.is_good(now);
            let next = match &mut self.search {
                Search::Resting if !good => {
                    if let Some(address) = self.parent() {
                        self.shun(now, address);
                    }
                    Search::Pausing(now)
                }
                Search::Resting => match &self.parent {
                    Some(parent) if parent.pressed && now >= self.return_at => Search::Asking(Round {
                        queue: [(parent.address, false)].into(),
                        attempts: Vec::new(),
                        hedge_at: now,
                        returning: true,
                    }),
                    _ => return,
                },
                Search::Pausing(_) if good => {
                    self.rest();
                    return;
                }
                Search::Pausing(until) if now < *until => return,
                Search::Pausing(_) => Search::Asking(self.round(now, keepers)),
                Search::Asking(round) if good && !round.returning => {
                    self.close_attempts(commands);
                    self.rest();
                    return;
                }
                Search::Asking(round) if !good && round.returning => {
                    self.close_attempts(commands);
                    Search::Pausing(now)
                }
                Search::Asking(_) => match self.ask_on(now, keepers, commands) {
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
        keepers: &[SocketAddrV4],
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
            let Some((address, urgent)) = round.queue.pop_front() else { break };
            self.last_link += 1;
            commands.push(Command::Ask { link: self.last_link, parent: address, urgent });
            let keeper = keepers.contains(&address) && self.sources != Sources::One;
            let until = now + PATIENCE;
            round.attempts.push(Attempt { link: self.last_link, address, keeper, urgent, until });
            round.hedge_at = now + HEDGE;
        }
        let (ended, returning) = (round.attempts.is_empty(), round.returning);
        for address in late {
            self.shun(now, address);
        }
        if !ended {
            return None;
        }
        if returning {
            self.return_pause = (self.return_pause * 2).min(RETURNS.1);
            self.return_at = now + self.return_pause + self.draw_below(self.return_pause);
            return Some(Search::Resting);
        }
        let until = now + self.pause + self.draw_below(self.pause);
        let longest = if self.is_one() { SOLE_PAUSES.1 } else { PAUSES.1 };
        self.pause = (self.pause * 2).min(longest);
        self.pressing = true;
        Some(Search::Pausing(until))
    }

    /// A round over the keepers, in an order drawn by chance.
    fn round(&mut self, now: Duration, keepers: &[SocketAddrV4]) -> Round {
        let draw = self.draw();
        let mut order: Vec<SocketAddrV4> = keepers
            .iter()
            .copied()
            .filter(|keeper| self.is_one() || (*keeper.ip() != self.me && !self.hears(now, *keeper)))
            .collect();
        order.sort_by_key(|keeper| (self.shunned.contains_key(keeper), rank(&keeper.ip().octets(), draw)));
        let queue = order.into_iter().map(|keeper| (keeper, self.pressing)).collect();
        Round { queue, attempts: Vec::new(), hedge_at: now, returning: false }
    }
}

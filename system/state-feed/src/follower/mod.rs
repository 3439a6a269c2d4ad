//! Selection of the upstream of a subscriber: where it subscribes next, when it leaves its upstream, and when it subscribes
//! urgently at a control node.
//!
//! An unresponsive or stale upstream is kept until another one delivers: it may recover, and none may be better. Updates from
//! every open link are applied, so two links during a change do no harm.

mod events;
mod rounds;

use crate::{MAX_RELAY_STATE_AGE, MAX_STATE_AGE, UPSTREAM_TIMEOUT};
use fleet_model::{Answer, rendezvous_rank};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Number of a link that a follower opened; unique within the follower.
pub type LinkId = u64;

/// Time that a process has to answer a subscription, and then to send its first heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without an answer after which a hedged request goes to the next candidate.
const HEDGE_DELAY: Duration = Duration::from_millis(120);
/// Maximum number of concurrent subscription attempts.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;
/// An exponential backoff that doubles from the initial to the maximum delay.
struct Backoff {
    initial: Duration,
    max: Duration,
}

/// Backoff after a round in which no candidate delivered.
const ROUND_BACKOFF: Backoff =
    Backoff { initial: Duration::from_millis(40), max: Duration::from_millis(400) };
/// The same for a follower of a single upstream.
const SINGLE_SOURCE_BACKOFF: Backoff =
    Backoff { initial: Duration::from_millis(10), max: Duration::from_millis(200) };
/// Backoff before an urgently accepted subscriber tries to return to the regular tree.
const RETURN_BACKOFF: Backoff = Backoff { initial: Duration::from_secs(4), max: Duration::from_secs(32) };
/// Time for which a failed candidate is tried only after the others.
const AVOID_DURATION: Duration = Duration::from_secs(3);
/// Time after which an unresponsive upstream is abandoned even if there is no other.
const UPSTREAM_ABANDON_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum random delay after the loss of an upstream, since its other subscribers have lost it at the same time.
const MAX_JITTER: Duration = Duration::from_millis(60);

/// The processes that may be the upstream of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The control nodes, and the relays to which they redirect.
    Tree {
        /// Whether the control nodes have to serve this process themselves, without relays.
        urgent: bool,
    },
    /// A single process, however stale.
    One,
}

/// An input of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed, or the set of control nodes changed.
    Tick,
    /// The subscription on the link was answered.
    Answered(LinkId, Answer),
    /// A heartbeat arrived that reported this age. Other pushes on the link are no events.
    Heartbeat(LinkId, Duration),
    /// The link delivered a change relative to a list or configuration that is not known here.
    OutOfSync(LinkId),
    /// The link closed, or could not be opened.
    Closed(LinkId),
}

/// An action for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a link to `upstream` and subscribe to its feed.
    Subscribe {
        /// Number of the link in later events.
        link: LinkId,
        /// Address of the process.
        upstream: SocketAddrV4,
        /// Whether the process has to accept the subscription even beyond its limit.
        urgent: bool,
    },
    /// Close the link and ignore whatever still arrives on it.
    Close(LinkId),
}

/// The link that delivers the feed.
#[derive(Clone, Debug)]
struct Upstream {
    link: LinkId,
    address: SocketAddrV4,
    is_control_node: bool,
    /// Whether it accepted this process only because the subscription was urgent.
    is_urgent: bool,
    last_seen_at: Duration,
    confirmed_at: Option<Duration>,
}

/// A subscription that has not delivered a heartbeat yet.
#[derive(Clone, Debug)]
struct Attempt {
    link: LinkId,
    address: SocketAddrV4,
    is_control_node: bool,
    urgent: bool,
    deadline: Duration,
}

/// A process to subscribe to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    address: SocketAddrV4,
    urgent: bool,
}

/// One pass over the candidates.
#[derive(Clone, Debug)]
struct Round {
    queue: VecDeque<Candidate>,
    attempts: Vec<Attempt>,
    /// When the next candidate is tried although others have not answered yet.
    hedge_at: Duration,
    /// Whether the upstream is fine but was acquired urgently, and this round tries to return to the regular tree.
    is_return: bool,
}

/// State of the search for an upstream, independent of the present one.
#[derive(Clone, Debug)]
enum Search {
    /// The upstream is trusted.
    Idle,
    /// The next round starts at this time.
    BackingOff(Duration),
    /// A round is in progress.
    InRound(Round),
}

/// Selects the upstream of one process, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct Follower {
    me: Ipv4Addr,
    sources: Sources,
    seed: u64,
    random_count: u64,
    last_link: LinkId,
    upstream: Option<Upstream>,
    search: Search,
    /// Whether subscriptions at control nodes are urgent.
    asks_urgently: bool,
    /// Delay after the next round in which no candidate delivers.
    backoff: Duration,
    /// Random for each upstream, so that its subscribers do not all leave it at the same time.
    jitter: Duration,
    return_at: Duration,
    return_backoff: Duration,
    avoided: BTreeMap<SocketAddrV4, Duration>,
}

impl Follower {
    /// The follower of machine `me`; `seed` has to be random.
    pub fn new(me: Ipv4Addr, sources: Sources, seed: u64) -> Self {
        let backoff = Self::round_backoff(&sources).initial;
        Self {
            me,
            asks_urgently: sources != Sources::Tree { urgent: false },
            sources,
            seed,
            random_count: 0,
            last_link: 0,
            upstream: None,
            search: Search::BackingOff(Duration::ZERO),
            backoff,
            jitter: Duration::ZERO,
            return_at: Duration::MAX,
            return_backoff: RETURN_BACKOFF.initial,
            avoided: BTreeMap::new(),
        }
    }

    /// Address of the present upstream, which may be unresponsive.
    pub fn upstream_address(&self) -> Option<SocketAddrV4> {
        self.upstream.as_ref().map(|upstream| upstream.address)
    }

    /// Handles an event and returns the actions that follow; the only method that changes state.
    ///
    /// `control_nodes` are the addresses known now; with [`Sources::One`] that of the single upstream.
    pub fn handle(&mut self, now: Duration, control_nodes: &[SocketAddrV4], event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.avoided.retain(|_, until| now < *until);
        match event {
            Event::Tick => {}
            Event::Answered(link, answer) => self.on_answer(now, control_nodes, link, answer, &mut commands),
            Event::Heartbeat(link, age) => self.on_heartbeat(now, link, age, &mut commands),
            Event::OutOfSync(link) => self.on_out_of_sync(now, link, &mut commands),
            Event::Closed(link) => self.on_closed(now, link, &mut commands),
        }
        self.advance(now, control_nodes, &mut commands);
        commands
    }

    /// When [`Event::Tick`] is due if no other event arrives before.
    pub fn wake_at(&self) -> Duration {
        let upstream = self.upstream.as_ref();
        let silent =
            upstream.map_or(Duration::MAX, |upstream| upstream.last_seen_at + UPSTREAM_ABANDON_TIMEOUT);
        match &self.search {
            Search::Idle => {
                let is_return = if upstream.is_some_and(|upstream| upstream.is_urgent) {
                    self.return_at
                } else {
                    Duration::MAX
                };
                upstream.map_or(Duration::ZERO, |upstream| self.trusted_until(upstream)).min(is_return)
            }
            Search::BackingOff(until) => silent.min(*until),
            Search::InRound(round) => {
                let mut at =
                    round.attempts.iter().map(|attempt| attempt.deadline).min().unwrap_or(Duration::ZERO);
                if round.attempts.len() < MAX_CONCURRENT_ATTEMPTS && !round.queue.is_empty() {
                    at = at.min(round.hedge_at);
                }
                if round.is_return
                    && let Some(upstream) = upstream
                {
                    at = at.min(self.trusted_until(upstream));
                }
                silent.min(at)
            }
        }
    }

    fn round_backoff(sources: &Sources) -> Backoff {
        if *sources == Sources::One { SINGLE_SOURCE_BACKOFF } else { ROUND_BACKOFF }
    }

    fn random_u64(&mut self) -> u64 {
        self.random_count += 1;
        rendezvous_rank(&self.random_count.to_le_bytes(), self.seed)
    }

    fn random_below(&mut self, below: Duration) -> Duration {
        let below = u64::try_from(below.as_millis()).unwrap_or(u64::MAX).max(1);
        Duration::from_millis((self.random_u64() >> 16) % below)
    }

    fn has_single_source(&self) -> bool {
        self.sources == Sources::One
    }

    /// Until when the upstream is trusted if it sends nothing more.
    fn trusted_until(&self, upstream: &Upstream) -> Duration {
        let stale = match (self.has_single_source(), upstream.confirmed_at) {
            (true, _) => Duration::MAX,
            (false, None) => Duration::ZERO,
            (false, Some(at)) => {
                at + if upstream.is_control_node { MAX_STATE_AGE } else { MAX_RELAY_STATE_AGE }
            }
        };
        (upstream.last_seen_at + UPSTREAM_TIMEOUT).min(stale).saturating_add(self.jitter)
    }

    fn trusts_upstream(&self, now: Duration) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| now < self.trusted_until(upstream))
    }

    /// Ends the search: the present upstream is as good as any until something changes.
    fn become_idle(&mut self) {
        self.search = Search::Idle;
        self.backoff = Self::round_backoff(&self.sources).initial;
        self.asks_urgently = self.sources != Sources::Tree { urgent: false };
    }

    fn remove_attempt(&mut self, link: LinkId) -> Option<Attempt> {
        let Search::InRound(round) = &mut self.search else { return None };
        let index = round.attempts.iter().position(|attempt| attempt.link == link)?;
        Some(round.attempts.remove(index))
    }

    fn close_attempts(&mut self, commands: &mut Vec<Command>) {
        if let Search::InRound(round) = &mut self.search {
            commands.extend(round.attempts.drain(..).map(|attempt| Command::Close(attempt.link)));
        }
    }

    fn avoid(&mut self, now: Duration, address: SocketAddrV4) {
        if !self.has_single_source() {
            self.avoided.insert(address, now + AVOID_DURATION);
        }
    }

    /// Whether the process is the upstream and responsive, so that another subscription gains nothing.
    fn is_responsive_upstream(&self, now: Duration, address: SocketAddrV4) -> bool {
        self.upstream.as_ref().is_some_and(|upstream| {
            upstream.address == address && now < upstream.last_seen_at + UPSTREAM_TIMEOUT
        })
    }
}

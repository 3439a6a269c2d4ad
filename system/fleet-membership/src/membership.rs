//! One member's part of the protocol: its state, the events that move it on, and the questions it answers. Each module
//! below holds one part of what follows from an event.

mod claims;
mod failure_detector;
mod gossip;
mod messages;
mod rejoin;
mod sending;
mod state_exchange;

use self::state_exchange::{Divergence, Fetch};
use crate::config::Config;
use crate::effects::{Counters, Effect};
use crate::gossip_queue::GossipQueue;
use crate::member::{Member, MemberError, MemberState, Role, is_usable};
use crate::probing::Probes;
use crate::table::Table;
use crate::wire::{Body, DecodeError, Status, decode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// Members told by one that leaves.
const TOLD_OF_LEAVE: usize = 8;

/// One member's view of the fleet.
pub struct Membership {
    local_member: Member,
    /// How often this life has refuted what was said of it.
    refutation: u32,
    config: Config,
    random: ChaCha8Rng,
    table: Table,
    gossip_queue: GossipQueue,
    probes: Probes,
    /// Left of this round of the shuffled round robin.
    round: Vec<Ipv4Addr>,
    /// Probe periods so far.
    periods: u64,
    /// Members to be probed out of turn, because another sees them differently or this process had no time.
    doubted: VecDeque<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    /// When the members at these addresses were removed.
    lost: BTreeMap<Ipv4Addr, u64>,
    fetch: Option<Fetch>,
    divergence: Option<Divergence>,
    last_change: u64,
    next_exchange: u64,
    next_probe: u64,
    next_gossip: u64,
    next_doubted_probe: u64,
    next_rejoin: u64,
    left: bool,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Membership {
    /// A member that knows no other yet. What it draws follows from `seed`.
    pub fn new(me: Member, config: Config, seed: u64, now_ms: u64) -> Result<Self, MemberError> {
        me.check()?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let next_probe = now_ms + random.next_u64() % config.probe_interval_ms.max(1);
        Ok(Self {
            local_member: me,
            refutation: 0,
            config,
            random,
            table: Table::default(),
            gossip_queue: GossipQueue::default(),
            probes: Probes::default(),
            round: Vec::new(),
            periods: 0,
            doubted: VecDeque::new(),
            seeds: Vec::new(),
            lost: BTreeMap::new(),
            fetch: None,
            divergence: None,
            last_change: now_ms,
            next_exchange: now_ms,
            next_probe,
            next_gossip: now_ms,
            next_doubted_probe: now_ms,
            next_rejoin: u64::MAX,
            left: false,
            counters: Counters::default(),
            effects: Vec::new(),
        })
    }

    // Events.

    /// Asks these addresses to be let in, now and until one answers. They replace those given before.
    pub fn join(&mut self, now_ms: u64, seeds: &[Ipv4Addr]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        self.seeds = seeds.iter().copied().filter(|ip| *ip != self.local_member.ip).collect();
        self.seeds.sort_unstable();
        self.seeds.dedup();
        self.join_seeds(now_ms);
        self.take_effects()
    }

    /// Tells some members that this one goes. Nothing is done or answered afterwards.
    pub fn leave(&mut self, _now_ms: u64) -> Vec<Effect> {
        if !self.left {
            let told = self.choose(self.table.addresses().to_vec(), TOLD_OF_LEAVE);
            for ip in told {
                self.send(ip, Body::Leave, &[]);
            }
            self.left = true;
        }
        self.take_effects()
    }

    /// A datagram came.
    pub fn receive_datagram(&mut self, now_ms: u64, from: Ipv4Addr, bytes: &[u8]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        match decode(self.config.fleet_id, bytes) {
            Err(DecodeError::Stranger) => self.counters.foreign_datagrams += 1,
            Err(DecodeError::Malformed) => self.counters.malformed_datagrams += 1,
            Ok(_) if from == self.local_member.ip || !is_usable(from) => self.counters.foreign_datagrams += 1,
            Ok((head, claims)) => self.message(now_ms, from, head, claims),
        }
        self.take_effects()
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        self.expire_probes(now_ms);
        self.expire_suspicions(now_ms);
        if self.next_probe <= now_ms {
            self.begin_period(now_ms);
        }
        if self.next_doubted_probe <= now_ms && !self.doubted.is_empty() {
            self.probe_doubted(now_ms);
        }
        if self.next_gossip <= now_ms && !self.gossip_queue.is_empty() {
            self.gossip(now_ms);
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.deadline <= now_ms) {
            self.retry_fetch(now_ms);
        }
        if self.next_rejoin <= now_ms {
            self.rejoin(now_ms);
        }
        self.take_effects()
    }

    /// When `tick` is due next.
    pub fn next_tick_ms(&self) -> u64 {
        if self.left {
            return u64::MAX;
        }
        let has_others = !self.table.addresses().is_empty();
        let when = |condition: bool, at: u64| if condition { at } else { u64::MAX };
        [
            when(has_others, self.next_probe),
            when(has_others && !self.gossip_queue.is_empty(), self.next_gossip),
            when(!self.doubted.is_empty(), self.next_doubted_probe),
            self.probes.next_deadline(),
            self.table.next_suspect().map_or(u64::MAX, |(deadline, _)| deadline),
            self.fetch.as_ref().map_or(u64::MAX, |fetch| fetch.deadline),
            self.next_rejoin,
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
    }

    // Questions.

    /// This member.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// All members with their state, this one first.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        let me = (!self.left).then_some((&self.local_member, MemberState::Alive));
        me.into_iter().chain(self.table.iter().filter_map(|(_, entry)| match entry.status {
            Status::Alive => Some((entry.member.as_ref()?, MemberState::Alive)),
            Status::Suspect => Some((entry.member.as_ref()?, MemberState::Suspect)),
            Status::Removed | Status::Left => None,
        }))
    }

    /// The members of a role that count as living, suspected ones among them.
    pub fn live_members(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members().map(|(member, _)| member).filter(move |member| member.role == role)
    }

    /// The living member at an address.
    pub fn member_at(&self, ip: Ipv4Addr) -> Option<&Member> {
        if ip == self.local_member.ip {
            return (!self.left).then_some(&self.local_member);
        }
        self.table.live(ip)?.member.as_ref()
    }

    /// How many members there are, this one included.
    pub fn member_count(&self) -> usize {
        self.table.addresses().len() + usize::from(!self.left)
    }

    /// Whether the member at this address is suspected.
    pub fn is_suspect(&self, ip: Ipv4Addr) -> bool {
        self.table.status(ip) == Some(Status::Suspect)
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

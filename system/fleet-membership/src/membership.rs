//! The state of one member in the protocol, the events that change it, and queries. The submodules handle one concern
//! each: probing, updates, gossip, state exchange, rejoining.

mod failure_detector;
mod gossip;
mod messages;
mod rejoin;
mod sending;
mod state_exchange;
mod updates;

use self::state_exchange::{Divergence, StateFetch};
use crate::config::Config;
use crate::effects::{Counters, Effect};
use crate::gossip_queue::GossipQueue;
use crate::member::{Member, MemberError, MemberState, Role, is_usable};
use crate::probing::Probes;
use crate::table::Table;
use crate::wire::{DecodeError, Message, Status, decode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// Number of members that are notified when the local member leaves.
const LEAVE_FANOUT: usize = 8;

/// The local member's view of the fleet.
pub struct Membership {
    local_member: Member,
    /// Number of refutations of the local member in this incarnation.
    refutation: u32,
    config: Config,
    rng: ChaCha8Rng,
    table: Table,
    gossip_queue: GossipQueue,
    probes: Probes,
    /// Remaining members of the current pass of the shuffled round robin.
    round_robin: Vec<Ipv4Addr>,
    /// Number of probe intervals so far.
    periods: u64,
    /// Members to probe out of turn, because another view differs or this process has stalled.
    extra_probes: VecDeque<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    /// When the members at these addresses were declared dead.
    lost_addresses: BTreeMap<Ipv4Addr, u64>,
    fetch: Option<StateFetch>,
    divergence: Option<Divergence>,
    last_change: u64,
    next_exchange: u64,
    next_probe: u64,
    next_gossip: u64,
    next_extra_probe: u64,
    next_rejoin: u64,
    left: bool,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Membership {
    /// Creates a member that knows no other one. Its random choices are determined by `seed`.
    ///
    /// # Errors
    ///
    /// If `local_member` has an unusable address or its texts are too long for a datagram.
    pub fn new(local_member: Member, config: Config, seed: u64, now_ms: u64) -> Result<Self, MemberError> {
        local_member.check()?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_probe = now_ms + rng.next_u64() % config.probe_interval_ms.max(1);
        Ok(Self {
            local_member,
            refutation: 0,
            config,
            rng,
            table: Table::default(),
            gossip_queue: GossipQueue::default(),
            probes: Probes::default(),
            round_robin: Vec::new(),
            periods: 0,
            extra_probes: VecDeque::new(),
            seeds: Vec::new(),
            lost_addresses: BTreeMap::new(),
            fetch: None,
            divergence: None,
            last_change: now_ms,
            next_exchange: now_ms,
            next_probe,
            next_gossip: now_ms,
            next_extra_probe: now_ms,
            next_rejoin: u64::MAX,
            left: false,
            counters: Counters::default(),
            effects: Vec::new(),
        })
    }

    // Events.

    /// Joins the fleet through these seed addresses, with retries until one replies. They replace earlier seeds.
    pub fn join(&mut self, now_ms: u64, seeds: &[Ipv4Addr]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.detect_stall(now_ms);
        self.seeds = seeds.iter().copied().filter(|ip| *ip != self.local_member.ip).collect();
        self.seeds.sort_unstable();
        self.seeds.dedup();
        self.join_seeds(now_ms);
        self.take_effects()
    }

    /// Leaves the fleet and notifies some members. Afterwards events have no effect.
    pub fn leave(&mut self, _now_ms: u64) -> Vec<Effect> {
        if !self.left {
            let recipients = self.choose_random(self.table.live_addresses().to_vec(), LEAVE_FANOUT);
            for ip in recipients {
                self.send(ip, Message::Leave, &[]);
            }
            self.left = true;
        }
        self.take_effects()
    }

    /// Handles a received datagram.
    pub fn receive_datagram(&mut self, now_ms: u64, from: Ipv4Addr, bytes: &[u8]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.detect_stall(now_ms);
        match decode(self.config.fleet_id, bytes) {
            Err(DecodeError::Foreign) => self.counters.foreign_datagrams += 1,
            Err(DecodeError::Malformed) => self.counters.malformed_datagrams += 1,
            Ok(_) if from == self.local_member.ip || !is_usable(from) => self.counters.foreign_datagrams += 1,
            Ok((header, updates)) => self.handle_message(now_ms, from, header, updates),
        }
        self.take_effects()
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.detect_stall(now_ms);
        self.expire_probes(now_ms);
        self.expire_suspicions(now_ms);
        if self.next_probe <= now_ms {
            self.begin_period(now_ms);
        }
        if self.next_extra_probe <= now_ms && !self.extra_probes.is_empty() {
            self.send_extra_probes(now_ms);
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

    /// When [`Membership::tick`] is due next, in ms; `u64::MAX` if nothing is scheduled.
    pub fn next_tick_ms(&self) -> u64 {
        if self.left {
            return u64::MAX;
        }
        let has_others = !self.table.live_addresses().is_empty();
        let due_if = |condition: bool, due_at: u64| if condition { due_at } else { u64::MAX };
        [
            due_if(has_others, self.next_probe),
            due_if(has_others && !self.gossip_queue.is_empty(), self.next_gossip),
            due_if(!self.extra_probes.is_empty(), self.next_extra_probe),
            self.probes.next_deadline(),
            self.table.next_suspect().map_or(u64::MAX, |(deadline, _)| deadline),
            self.fetch.as_ref().map_or(u64::MAX, |fetch| fetch.deadline),
            self.next_rejoin,
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
    }

    // Queries.

    /// The local member.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// All live members with their state, the local one first.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        let local = (!self.left).then_some((&self.local_member, MemberState::Alive));
        local.into_iter().chain(self.table.iter().filter_map(|(_, entry)| match entry.status {
            Status::Alive => Some((entry.member.as_ref()?, MemberState::Alive)),
            Status::Suspect => Some((entry.member.as_ref()?, MemberState::Suspect)),
            Status::Dead | Status::Left => None,
        }))
    }

    /// The live members of a role, suspected ones included.
    pub fn live_members(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members().map(|(member, _)| member).filter(move |member| member.role == role)
    }

    /// The live member at an address.
    pub fn member_at(&self, ip: Ipv4Addr) -> Option<&Member> {
        if ip == self.local_member.ip {
            return (!self.left).then_some(&self.local_member);
        }
        self.table.live_entry(ip)?.member.as_ref()
    }

    /// Number of live members, the local one included.
    pub fn member_count(&self) -> usize {
        self.table.live_addresses().len() + usize::from(!self.left)
    }

    /// Whether the member at this address is suspected.
    pub fn is_suspect(&self, ip: Ipv4Addr) -> bool {
        self.table.status(ip) == Some(Status::Suspect)
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

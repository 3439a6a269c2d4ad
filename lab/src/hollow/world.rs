//! The hollow fleet's machines, its network and its clock. What happens to a process is an item of the schedule; each
//! module below holds one part of what processes then do.

mod build;
mod calls;
mod dissemination;
mod duties;
mod faults;
mod network;
mod platform;
mod proposing;
mod register;
mod schedule;

use self::calls::Pending;
use self::network::{Link, LinkNumber};
use self::schedule::Item;
use super::feed::{Feed, Follow};
use super::keeper::Keeper;
use super::{Plan, Role, Tally};
use fleet_model::{Ballot, Endpoint};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::Ipv4Addr;

/// All times are in microseconds.
const MS: u64 = 1_000;
/// One way: over loopback, within a zone, between zones, between regions.
const DELAYS: [u64; 4] = [20, 100, 1_400, 12_000];
/// How long a subscriber waits for an answer, connecting included; as long for a register's answer.
const PATIENCE: u64 = 300 * MS;
/// A proxy whose state is older than this is stale.
const STALE: u64 = 1_500 * MS;
/// No tree of relays is deeper.
const MAX_DEPTH: usize = 64;

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) role: Role,
    pub(crate) ip: Ipv4Addr,
    pub(crate) zone: usize,
    machine_up: bool,
    up: bool,
    /// How often it has ended.
    life: u32,
    pub(crate) feed: Feed,
    follow: Option<Follow>,
    pub(crate) keeper: Option<Keeper>,
    /// The number of its disk.
    disk: u64,
    pub(crate) tally: Tally,
    /// The configuration's version in force.
    version: u64,
    /// When it last had a newer configuration in force.
    pub(crate) version_at: u64,
    /// When it last had a newer list in force.
    pub(crate) list_at: u64,
    /// The roster's epoch for which it told that it is full.
    filled_for: u64,
}

/// The whole fleet.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    plan: Plan,
    links: HashMap<LinkNumber, Link>,
    /// Links for calls, by caller and callee.
    peers: BTreeMap<(usize, usize), LinkNumber>,
    /// Calls that wait for an answer, with their callers.
    pending: HashMap<u64, (usize, Pending)>,
    due: BinaryHeap<Reverse<Item>>,
    /// The last number given to a link, a call or an item of the schedule.
    number: u64,
    rng: ChaCha8Rng,
    by_ip: HashMap<Ipv4Addr, usize>,
    keepers: Vec<usize>,
    /// Whether the regions do not reach each other.
    cut: bool,
    /// What asking for the processor time costs itself, in nanoseconds.
    clock_cost: u64,
    /// The platform's endpoints.
    platform: Vec<Endpoint>,
    /// The same, page by page, as the platform answers.
    pages: Vec<String>,
    /// When a newer list was read last.
    pub(crate) listed_at: u64,
}

/// Processor time of this thread, in nanoseconds.
pub(super) fn processor() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}

impl World {
    fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Everything counted so far is forgotten.
    pub(crate) fn forget_tallies(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.tally = Tally::default());
    }

    /// Processes of a role that run.
    pub(crate) fn running(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| node.role == role && node.up)
    }

    /// Proxies that run but lack value, list or a fresh age.
    pub(crate) fn stale_proxies(&self) -> usize {
        self.running(Role::Proxy)
            .filter(|node| {
                node.feed.value().ballot == Ballot::default()
                    || node.feed.list().stamp == (0, 0)
                    || node.feed.age(self.now).is_none_or(|age| age > STALE)
            })
            .count()
    }

    /// How many links lie between a process and the keeper that feeds it, through its parents; none if it is not fed.
    pub(crate) fn depth(&self, node: usize) -> Option<usize> {
        let (mut at, mut depth) = (node, 0);
        while self.nodes[at].role != Role::Keeper {
            let parent = self.nodes[at].follow.as_ref()?.follower.parent()?;
            at = *self.by_ip.get(parent.ip())?;
            depth += 1;
            if depth > MAX_DEPTH {
                return None;
            }
        }
        Some(depth)
    }
}

//! Building a fleet with its first configuration.

use super::schedule::Due;
use super::{MS, Node, World, processor};
use crate::hollow::feed::{Feed, Follow};
use crate::hollow::keeper::{Keeper, LIST};
use crate::hollow::{Plan, Role, Tally};
use fleet_model::{
    AcceptedValue, Ballot, ChosenValue, ControlState, Fence, RegisterValue, Roster, Store, TakenVersion, rank,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::Ipv4Addr;

/// The fleet's time at its beginning.
const BEGINNING: u64 = 60_000 * MS;
/// All processes start within this time.
const START_SPREAD: u64 = 300 * MS;
/// How often the clock is asked to find out what asking costs.
const CLOCK_TRIES: u64 = 1_000;

/// What asking for the processor time costs itself, in nanoseconds.
fn clock_cost() -> u64 {
    let once = |_| {
        let began = processor();
        processor() - began
    };
    (0..CLOCK_TRIES).map(once).sum::<u64>() / CLOCK_TRIES
}

impl World {
    /// A fleet with its first configuration, all processes starting within 0.3 s.
    pub(crate) fn new(plan: &Plan) -> Self {
        let mut world = Self::empty(plan);
        world.write_pages();
        world.add_machines();
        world.install_state();
        for node in 0..world.nodes.len() {
            let at = world.draw(START_SPREAD);
            world.later(node, at, Due::Start);
        }
        world
    }

    fn empty(plan: &Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        Self {
            now: BEGINNING,
            nodes: Vec::new(),
            plan: plan.clone(),
            links: HashMap::new(),
            peers: BTreeMap::new(),
            pending: HashMap::new(),
            due: BinaryHeap::new(),
            number: 0,
            by_ip: HashMap::new(),
            keepers: Vec::new(),
            cut: false,
            clock_cost: clock_cost(),
            platform: plan.endpoint_list(),
            pages: Vec::new(),
            listed_at: 0,
            rng: ChaCha8Rng::seed_from_u64(rng.next_u64()),
        }
    }

    fn add_machines(&mut self) {
        let Plan { keepers, stores, senders, zones, .. } = self.plan;
        for index in 0..keepers {
            let node = self.add(Role::Keeper, index, index % zones);
            self.keepers.push(node);
        }
        for index in 0..stores {
            self.add(Role::Store, index, index % zones);
        }
        for index in 0..senders {
            let agent = self.add(Role::Agent, index, index % zones);
            let proxy = self.add(Role::Proxy, index, index % zones);
            let ip = self.nodes[agent].ip;
            let seed = self.rng.next_u64();
            self.nodes[proxy].follow = Some(Follow::new(ip, Some(ip), false, seed));
        }
    }

    /// All control nodes are voters, and hold the first configuration as chosen.
    fn install_state(&mut self) {
        let voters: Vec<Ipv4Addr> = self.keepers.iter().map(|node| self.nodes[*node].ip).collect();
        let payload = self.first_state(voters[0]).to_payload().expect("a state can be written");
        let ballot = Ballot { round: 1 << 16, proposer: 1, life: 1 };
        let value = RegisterValue { epoch: 0, voters: voters.clone(), payload: payload.clone() };
        let accepted = AcceptedValue { ballot, value };
        let proxies = u32::try_from(self.plan.senders).unwrap_or(u32::MAX);
        for node in &self.keepers {
            let node = &mut self.nodes[*node];
            node.keeper = Some(Keeper::new(node.ip, u64::from(u32::from(node.ip)), &accepted));
            node.feed.learn_value(ChosenValue { ballot, voters: voters.clone(), payload: payload.clone() });
            node.feed.set_proxies(proxies);
        }
    }

    fn first_state(&self, holder: Ipv4Addr) -> ControlState {
        let stores = self.nodes.iter().filter(|node| node.role == Role::Store);
        let current = stores.map(|node| Store {
            name: format!("storage-{}", node.ip),
            ip: node.ip,
            zone: self.plan.zone(node.zone),
            disk: node.disk,
        });
        let taken = TakenVersion { version: 1, digest: [7; 32] };
        ControlState {
            config: self.plan.config(1),
            taken: vec![taken; self.plan.taken],
            fences: BTreeMap::from([(LIST.to_owned(), Fence { number: 1, holder: Some(holder) })]),
            roster: Roster { epoch: 1, current: current.collect(), ..Roster::default() },
            ..ControlState::default()
        }
    }

    /// Adds the `index`th process of a role.
    fn add(&mut self, role: Role, index: usize, zone: usize) -> usize {
        let place = u8::try_from(index % 250).unwrap_or(0) + 1;
        let block = u8::try_from(index / 250).unwrap_or(0);
        let class = match role {
            Role::Keeper => 10,
            Role::Store => 20,
            Role::Agent | Role::Proxy => 30,
        };
        let ip = Ipv4Addr::new(10, class, block, place);
        let node = self.nodes.len();
        if role != Role::Proxy {
            self.by_ip.insert(ip, node);
        }
        let seed = self.rng.next_u64();
        let follow = matches!(role, Role::Agent | Role::Store)
            .then(|| Follow::new(ip, None, role == Role::Store, seed));
        self.nodes.push(Node {
            role,
            ip,
            zone,
            machine_up: true,
            up: true,
            life: 0,
            feed: Feed::default(),
            follow,
            keeper: None,
            disk: rank(&ip.octets(), 1),
            tally: Tally::default(),
            version: 0,
            version_at: 0,
            list_at: 0,
            filled_for: 0,
        });
        node
    }
}

//! Graceful leaves of senders, on a network in memory and in simulated time.

use sender_membership::{Command, Departure, Effect, Info, Node, Settings, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SENDERS: u16 = 4;
const STEP_MS: u64 = 50;
/// Simulated time after which a wait fails: far longer than any wait in these tests takes.
const LIMIT_MS: u64 = 120_000;

fn address(sender: u16) -> SocketAddr {
    ([10, 0, 0, sender as u8], 7000).into()
}

fn settings(sender: u16) -> Settings {
    let info = Info {
        name: format!("n{sender}"),
        zone: "z".to_owned(),
        machine: format!("m{sender}"),
        version: "v".to_owned(),
        address: address(sender),
    };
    Settings::new("test", info, (1..=3).map(address).collect())
}

/// The running senders, and the simulated time.
struct Fleet {
    nodes: BTreeMap<SocketAddr, Node>,
    now: u64,
}

impl Fleet {
    fn start() -> Self {
        let new = |sender: u16| {
            // Each sender starts with the ID of its own folder, as after an earlier start.
            let state = State { folder: u64::from(sender), incarnation: 1, ..State::default() };
            (address(sender), Node::new(settings(sender), state, u64::from(sender), 0))
        };
        Self { nodes: (1..=SENDERS).map(new).collect(), now: 0 }
    }

    /// Delivers all packets, then advances the time by one step.
    fn step(&mut self) {
        loop {
            let effects: Vec<Effect> = self.nodes.values_mut().flat_map(Node::take_effects).collect();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                if let Effect::Send { to, bytes, .. } = effect
                    && let Some(node) = self.nodes.get_mut(&to)
                {
                    node.receive(self.now, &bytes).unwrap();
                }
            }
        }
        self.now += STEP_MS;
        let now = self.now;
        for node in self.nodes.values_mut().filter(|node| node.next_tick().is_some_and(|due| due <= now)) {
            node.tick(now);
        }
    }

    fn run_until(&mut self, condition_name: &str, condition: impl Fn(&Self) -> bool) {
        let limit = self.now + LIMIT_MS;
        while !condition(self) {
            assert!(self.now < limit, "timed out: {condition_name}");
            self.step();
        }
    }

    /// Whether the member lists of all running senders have this many members.
    fn all_have(&self, members: usize) -> bool {
        let has_count = |node: &Node| node.member_list().is_some_and(|list| list.members.len() == members);
        self.nodes.values().all(has_count)
    }

    /// Whether the member lists of all running senders show that this member is leaving.
    fn all_see_leaving(&self, leaver: u64) -> bool {
        let sees_leaving = |node: &Node| {
            node.member_list().and_then(|list| list.members.get(&leaver)).is_some_and(|member| member.leaving)
        };
        self.nodes.values().all(sees_leaving)
    }
}

#[test]
fn other_members_complete_the_leave_of_a_sender_that_ends_before_its_departure() {
    // Given a fleet with a sender whose leave was agreed on,
    let mut fleet = Fleet::start();
    fleet.run_until("all are members", |fleet| fleet.all_have(SENDERS.into()));
    let now = fleet.now;
    let leaver = address(SENDERS);
    fleet.nodes.get_mut(&leaver).unwrap().execute(now, 1, &Command::Leave);
    fleet.run_until("the leave is agreed on", |fleet| {
        fleet.nodes.values().any(|node| {
            let list = node.member_list().unwrap();
            list.members.get(&u64::from(SENDERS)).is_some_and(|member| member.leaving)
        })
    });
    // when the sender ends before it can propose its departure,
    fleet.nodes.remove(&leaver);
    fleet.run_until("the others see that it is leaving", |fleet| {
        fleet.all_see_leaving(SENDERS.into()) || fleet.all_have(usize::from(SENDERS) - 1)
    });
    // then the others record that it left.
    fleet.run_until("it has departed", |fleet| fleet.all_have(usize::from(SENDERS) - 1));
    for node in fleet.nodes.values() {
        let departed: Vec<_> = node.departed().map(|member| (member.folder, member.why)).collect();
        assert_eq!(departed, [(u64::from(SENDERS), Departure::Left)]);
    }
}

#[test]
fn a_sender_that_is_lost_without_leaving_remains_a_member() {
    let mut fleet = Fleet::start();
    fleet.run_until("all are members", |fleet| fleet.all_have(SENDERS.into()));
    fleet.nodes.remove(&address(SENDERS));
    let until = fleet.now + LIMIT_MS / 2;
    while fleet.now < until {
        fleet.step();
    }
    assert!(fleet.all_have(SENDERS.into()));
}

//! Fault schedules, generated from a seed. A schedule never loses more machines at once than the fleet's fault tolerance.

mod generator;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;

/// The role of a machine or process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A control node: a voter of the register.
    #[serde(rename = "keeper")]
    ControlNode,
    /// A storage node.
    Store,
    /// An edge machine and its agent process.
    Agent,
    /// The proxy process of an edge machine.
    Proxy,
}

/// A machine of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its role.
    pub class: Class,
    /// Whether it is present when the system starts for the first time.
    pub first: bool,
}

/// How a machine is isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// A full partition in both directions.
    Cut,
    /// It receives nothing; what it sends arrives.
    CutIncoming,
    /// Nothing that it sends arrives; it receives what others send.
    CutOutgoing,
    /// A partition from the other control nodes only; edge machines, storage nodes and operators reach it.
    PeersCut,
    /// It receives nothing from the other control nodes.
    PeersCutIncoming,
    /// The other control nodes receive nothing from it.
    PeersCutOutgoing,
    /// Its processes are frozen.
    Frozen,
    /// Its messages arrive after the callers' time-outs.
    Slow,
}

/// All ways to isolate a machine.
pub const ISOLATIONS: [Isolation; 8] = [
    Isolation::Cut,
    Isolation::CutIncoming,
    Isolation::CutOutgoing,
    Isolation::PeersCut,
    Isolation::PeersCutIncoming,
    Isolation::PeersCutOutgoing,
    Isolation::Frozen,
    Isolation::Slow,
];

/// The machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The machine of this index.
    Machine(usize),
    /// The control node that holds the singleton lease at that time.
    LeaseHolder,
}

/// A step of a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipStep {
    /// The next set of storage nodes is agreed.
    Agreed,
    /// Its members are being backfilled.
    Filling,
    /// The first of them is in sync.
    Filled,
    /// The next set is the current one.
    Current,
    /// A while after that: the former set releases its data.
    Released,
    /// A voter is added.
    VoterAdded,
    /// A voter is removed.
    VoterRemoved,
}

/// The member that is lost during a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Victim {
    /// The member that joins.
    Newcomer,
    /// A member that stays and is a source of the backfill.
    Source,
    /// The member that leaves.
    Leaver,
    /// The member with the oldest disk.
    Oldest,
}

/// The kind of a fault. Machines are indexes in the schedule's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum FaultKind {
    /// Its processes are frozen.
    Freeze { machine: usize, for_ms: u64 },
    /// The processor share of these machines is a quota, spent after `run_ms` of each tenth of a second: their processes are
    /// silent for the rest of it.
    Throttle { machines: Vec<usize>, run_ms: u64, for_ms: u64 },
    /// Its processes are killed and restarted.
    Kill { machine: usize, back_ms: u64 },
    /// The same for its proxy alone.
    KillProxy { machine: usize, back_ms: u64 },
    /// It loses power; unsynced writes may survive, be lost, or be torn.
    LosePower { machine: usize, back_ms: u64 },
    /// It loses power, and one turn on its disk becomes unreadable.
    Damage { machine: usize, back_ms: u64 },
    /// It loses power and its disk.
    LoseDisk { machine: usize, back_ms: u64 },
    /// A one-way partition.
    Cut { from: usize, to: usize, for_ms: u64 },
    /// It receives nothing from control nodes and edge machines, and uses the storage nodes with its stale state.
    Mislead { machine: usize, for_ms: u64 },
    /// A full partition in both directions.
    CutOff { machine: usize, for_ms: u64 },
    /// `of_thousand` of a thousand messages are lost or late.
    LoseMessages { of_thousand: u64, for_ms: u64 },
    /// A new machine starts, and the old one is removed permanently.
    Replace { old: usize, new: usize, starts_ms: u64, ends_ms: u64 },
    /// A new machine starts.
    Add { machine: usize },
    /// An operator retires it.
    Retire { machine: usize },
    /// Right after a configuration is acknowledged, or after a delay, all processes are killed, or all machines lose power and
    /// some of them their disks.
    All { power: bool, disks: Vec<usize>, back_ms: u64 },
    /// A machine is isolated; operators send it changes meanwhile, and one at the moment of its return.
    Isolate { target: Target, how: Isolation, for_ms: u64 },
    /// `of_thousand` of a thousand responses to operators are lost, so the changes are retried elsewhere.
    LoseAnswers { of_thousand: u64, for_ms: u64 },
    /// Writes to its disk block.
    StallDisk { machine: usize, for_ms: u64 },
    /// Each sync of its disk takes this much longer.
    SlowDisk { machine: usize, sync_ms: u64, for_ms: u64 },
    /// Its disk is full: writes fail.
    RefuseWrites { machine: usize, for_ms: u64 },
    /// The next sync of its disk fails.
    RefuseSync { machine: usize },
    /// Operators send this many changes, eight concurrently including the permanent operators, without pauses.
    Burst { orders: u64 },
    /// All control nodes are killed.
    KillCore { back_ms: u64 },
    /// One member is lost at this step of the next membership change.
    LossAtStep { step: MembershipStep, victim: Victim, wiped: bool, back_ms: u64 },
    /// An operator retires a machine and removes it once that is completed; at that moment others lose their disks.
    RetireThenWipe { machine: usize, wiped: Vec<usize>, back_ms: u64 },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// Its kind.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6} {:?}", self.at_ms, self.kind)
    }
}

/// The machines and faults of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed of all other random choices of the run.
    pub seed: u64,
    /// Machines that may be lost at once.
    pub tolerance: usize,
    /// All machines, including those that start later.
    pub machines: Vec<Machine>,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
    /// End of the last fault, in milliseconds.
    pub calm_ms: u64,
}

/// Maximum delay of the last fault, in milliseconds, while it waits for a configuration to be acknowledged.
pub const LAST_FAULT_DELAY_MS: u64 = 1_500;
/// The first fault, after the register was founded.
const FIRST_FAULT_MS: u64 = 4_500;
const ZONES: usize = 3;

impl Schedule {
    /// A schedule without faults, whose machines are spread over the zones.
    pub fn fleet(seed: u64, tolerance: usize, stores: usize, edges: usize) -> Self {
        let mut schedule =
            Self { seed, tolerance, machines: Vec::new(), faults: Vec::new(), calm_ms: FIRST_FAULT_MS };
        let counts = [(Class::ControlNode, 2 * tolerance + 1), (Class::Store, stores), (Class::Agent, edges)];
        for (class, count) in counts {
            for index in 0..count {
                schedule.add_machine(class, None, index % ZONES, true);
            }
        }
        schedule
    }

    /// Adds a machine and returns its index.
    pub fn add_machine(&mut self, class: Class, name: Option<String>, zone: usize, first: bool) -> usize {
        let number = self.machines.len();
        let (letter, net) = match class {
            Class::ControlNode => ("k", 0),
            Class::Store => ("s", 2),
            Class::Agent | Class::Proxy => ("e", 1),
        };
        self.machines.push(Machine {
            name: name.unwrap_or_else(|| format!("{letter}{number}")),
            ip: Ipv4Addr::new(10, 0, net, number as u8 + 1),
            zone: format!("z{zone}"),
            class,
            first,
        });
        number
    }

    /// Indexes of the machines of a class, including those that start later.
    pub fn machines_of(&self, class: Class) -> Vec<usize> {
        (0..self.machines.len()).filter(|number| self.machines[*number].class == class).collect()
    }

    /// Indexes of the edge machines.
    pub fn edges(&self) -> Vec<usize> {
        let is_edge = |number: &usize| self.machines[*number].class == Class::Agent;
        (0..self.machines.len()).filter(is_edge).collect()
    }
}

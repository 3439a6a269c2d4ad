//! What goes wrong among the senders of a fleet, and when: as a scenario says it, or drawn from a seed.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The senders of a fleet that know one another.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peers {
    /// Zones; senders stand in them by turns.
    pub zones: Vec<String>,
    /// Machines; senders stand on them by turns.
    pub machines: usize,
    /// This many of the first senders are the seeds.
    pub seeds: usize,
    /// Voters, once there are this many senders.
    #[serde(rename = "keepers")]
    pub voters: usize,
    /// Within how many seconds after the last fault all have to have the same view.
    pub settle_s: f64,
    /// How long one that is suspected has to object, in ms.
    pub suspect_ms: u64,
    /// A plain heartbeat from all to all in place of the fleet's machines, to compare with; simulated only.
    pub heartbeat: bool,
    /// What goes wrong.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
    /// Faults drawn from the seed, besides.
    pub chaos: Option<Chaos>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            machines: 6,
            seeds: 3,
            voters: 5,
            settle_s: 12.0,
            suspect_ms: 4_000,
            heartbeat: false,
            faults: Vec::new(),
            chaos: None,
        }
    }
}

/// Faults drawn from the seed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chaos {
    /// How many, by and large.
    pub faults_per_minute: f64,
    /// Of which kinds; all where none is named.
    #[serde(default)]
    pub kinds: Vec<Kind>,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Killed, and started again on the folder at the end.
    Kill,
    /// The same, by SIGTERM.
    Term,
    /// The same, with the folder emptied.
    Empty,
    /// Killed permanently, with the folder.
    Lose,
    /// No processor time (SIGSTOP, SIGCONT).
    Pause,
    /// Short of processor time: `size` ms late each time.
    Starve,
    /// Not there from the start: started at the fault's time.
    Join,
    /// A copy of the folder is started beside the process.
    Copy,
    /// The disk takes nothing.
    Full,
    /// Nothing goes from `senders` to `to`, nor back.
    Part,
    /// Nothing goes from `senders` to `to`.
    Cut,
    /// A share of the datagrams is lost, of each that these send or get.
    Lossy,
    /// Datagrams take up to `size` ms, and overtake each other.
    Delay,
    /// A share of the datagrams comes twice.
    Twice,
    /// A share of the datagrams has a bit flipped.
    Flip,
    /// A share of the connections breaks under a frame.
    Reset,
    /// A connection takes `size` KB a second.
    Throttle,
    /// Strangers send these `size` datagrams a second of random bytes, some of them oversized, and connect and say nothing.
    Garbage,
    /// An operator removes it, after it was killed permanently.
    Remove,
}

/// Those drawn by chaos where none is named. What loses senders permanently is left to schedules: chaos would end with none.
const CHAOS: [Kind; 16] = [
    Kind::Kill,
    Kind::Kill,
    Kind::Term,
    Kind::Empty,
    Kind::Pause,
    Kind::Starve,
    Kind::Full,
    Kind::Part,
    Kind::Cut,
    Kind::Lossy,
    Kind::Delay,
    Kind::Twice,
    Kind::Flip,
    Kind::Reset,
    Kind::Throttle,
    Kind::Garbage,
];

/// One fault.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// For how long, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Whom it meets: `all`, `zone:a`, `machine:m1`, `share:0.3`, or numbers as `0,3-5`.
    pub senders: String,
    /// For cuts, from whom: all others where nothing is said.
    #[serde(default)]
    pub to: Option<String>,
    /// How bad: a share or ms, as the kind says.
    #[serde(default = "size")]
    pub size: f64,
}

fn size() -> f64 {
    0.2
}

impl Fault {
    /// The senders of a fault whose senders are named by number.
    pub fn numbers(&self, senders: usize) -> Vec<usize> {
        let numbers = self.senders.split(',').filter_map(|number| number.trim().parse().ok());
        numbers.filter(|n| *n < senders).collect()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} of {} at {:.1} s for {:.1} s", self.kind, self.senders, self.at_s, self.for_s)?;
        if let Some(to) = &self.to {
            write!(f, " to {to}")?;
        }
        write!(f, ", {}", self.size)
    }
}

/// A fault with its senders as numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct Met {
    /// The fault.
    pub fault: Fault,
    /// Whom it meets.
    pub senders: Vec<usize>,
    /// For links, the other side.
    pub to: Vec<usize>,
}

impl Met {
    /// Whether something sent from one to the other meets the fault.
    pub fn meets(&self, from: usize, to: usize) -> bool {
        let one_way = |from: usize, to: usize| self.senders.contains(&from) && self.to.contains(&to);
        match self.fault.kind {
            Kind::Cut => one_way(from, to),
            Kind::Part => one_way(from, to) || one_way(to, from),
            _ => self.senders.contains(&from) || self.senders.contains(&to),
        }
    }

    /// The same fault with its senders named by number: it is drawn alike from any seed.
    pub fn fixed(&self) -> Fault {
        let selector_text =
            |numbers: &[usize]| numbers.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let is_partition = matches!(self.fault.kind, Kind::Cut | Kind::Part) && !self.to.is_empty();
        Fault {
            senders: selector_text(&self.senders),
            to: is_partition.then(|| selector_text(&self.to)),
            ..self.fault.clone()
        }
    }
}

impl Kind {
    /// Whether it meets what goes between senders.
    pub fn of_links(self) -> bool {
        use Kind::{Cut, Delay, Flip, Lossy, Part, Reset, Throttle, Twice};
        matches!(self, Cut | Part | Lossy | Delay | Twice | Flip | Reset | Throttle)
    }

    /// Whether it takes processes down until its end, or permanently.
    pub fn takes_down(self) -> bool {
        matches!(self, Kind::Kill | Kind::Term | Kind::Empty | Kind::Lose | Kind::Remove)
    }
}

impl Peers {
    /// The zone of a sender.
    pub fn zone(&self, sender: usize) -> &str {
        &self.zones[sender % self.zones.len()]
    }

    /// The machine of a sender.
    pub fn machine(&self, sender: usize) -> String {
        format!("m{}", sender % self.machines)
    }

    /// The numbers that a word for a set stands for.
    pub fn set(&self, selector: &str, senders: usize, rng: &mut ChaCha8Rng) -> Result<Vec<usize>, String> {
        let all = 0..senders;
        let wrong = || format!("{selector:?} names no set of senders");
        let set: Vec<usize> = match selector.split_once(':') {
            Some(("zone", zone)) => all.filter(|n| self.zone(*n) == zone).collect(),
            Some(("machine", machine)) => all.filter(|n| self.machine(*n) == machine).collect(),
            Some(("share", share)) => {
                let share: f64 = share.parse().map_err(|_| wrong())?;
                let count = (share.clamp(0.0, 1.0) * senders as f64).ceil() as usize;
                let mut left: Vec<usize> = all.collect();
                let mut drawn: Vec<usize> = Vec::with_capacity(count);
                for _ in 0..count.clamp(1, senders) {
                    drawn.push(left.swap_remove(rng.random_range(0..left.len())));
                }
                drawn.sort_unstable();
                drawn
            }
            Some(_) => return Err(wrong()),
            None if selector == "all" => all.collect(),
            None => {
                let mut set = Vec::new();
                for part in selector.split(',') {
                    let (first, last) = part.split_once('-').unwrap_or((part, part));
                    let number = |text: &str| text.trim().parse::<usize>().map_err(|_| wrong());
                    set.extend(number(first)?..=number(last)?);
                }
                set.sort_unstable();
                set.dedup();
                set
            }
        };
        if set.is_empty() || set.iter().any(|n| *n >= senders) {
            return Err(wrong());
        }
        Ok(set)
    }

    /// All that no run can have.
    pub fn impossible(&self, senders: usize) -> Vec<String> {
        let mut wrong = Vec::new();
        if self.zones.is_empty() || self.machines == 0 {
            wrong.push("peers: no zone or no machine".to_owned());
            return wrong;
        }
        if !(2..=9).contains(&self.seeds) || self.seeds > senders {
            wrong.push(format!("peers.seeds = {}", self.seeds));
        }
        if self.voters < 3 || self.voters.is_multiple_of(2) {
            wrong.push(format!("peers.keepers = {}", self.voters));
        }
        let time = |x: f64| x.is_finite() && (0.0..=3_600.0).contains(&x);
        if !time(self.settle_s) || self.settle_s == 0.0 {
            wrong.push(format!("peers.settle_s = {}", self.settle_s));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        for (at, fault) in self.faults.iter().enumerate() {
            if !time(fault.at_s) || !time(fault.for_s) {
                wrong.push(format!("peers.fault[{at}]: its time"));
            }
            if !(0.0..=60_000.0).contains(&fault.size) {
                wrong.push(format!("peers.fault[{at}].size = {}", fault.size));
            }
            for selector in [Some(&fault.senders), fault.to.as_ref()].into_iter().flatten() {
                if let Err(e) = self.set(selector, senders, &mut rng) {
                    wrong.push(format!("peers.fault[{at}]: {e}"));
                }
            }
        }
        if let Some(chaos) = &self.chaos
            && !(chaos.faults_per_minute.is_finite() && (0.0..=600.0).contains(&chaos.faults_per_minute))
        {
            wrong.push(format!("peers.chaos.faults_per_minute = {}", chaos.faults_per_minute));
        }
        wrong
    }

    /// The schedule of a seed, in the order of its beginnings. All is over by `seconds`.
    pub fn schedule(&self, senders: usize, seconds: f64, seed: u64) -> Vec<Met> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ced);
        let mut faults = self.faults.clone();
        if let Some(chaos) = &self.chaos {
            faults.extend(draw(chaos, senders, seconds, &mut rng));
        }
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let mut schedule = Vec::new();
        for fault in faults {
            let Ok(met) = self.set(&fault.senders, senders, &mut rng) else { continue };
            let to = match &fault.to {
                Some(selector) => self.set(selector, senders, &mut rng).unwrap_or_default(),
                None => (0..senders).filter(|n| !met.contains(n)).collect(),
            };
            schedule.push(Met { fault, senders: met, to });
        }
        schedule
    }
}

/// Faults at random, one after the other and over each other, each over by the end.
fn draw(chaos: &Chaos, senders: usize, seconds: f64, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let kinds: &[Kind] = if chaos.kinds.is_empty() { &CHAOS } else { &chaos.kinds };
    let count = (chaos.faults_per_minute * seconds / 60.0).round() as usize;
    let mut faults = Vec::new();
    for _ in 0..count {
        let kind = kinds[rng.random_range(0..kinds.len())];
        // One whose folder is emptied is a new member, and one voter fewer permanently: a second one before the first is replaced
        // could be the majority's loss, which no view survives (V6) and a schedule has to ask for.
        if kind == Kind::Empty && faults.iter().any(|fault: &Fault| fault.kind == kind) {
            continue;
        }
        let at_s = seconds * rng.random_range(0.05..0.9);
        let for_s = rng.random_range(0.2..12.0f64).min(seconds - at_s);
        let some = |rng: &mut ChaCha8Rng, max_count: usize| {
            let count = rng.random_range(1..=max_count.max(1));
            let numbers: Vec<String> = (0..count).map(|_| rng.random_range(0..senders).to_string()).collect();
            numbers.join(",")
        };
        let max_count = if kind.of_links() { senders / 2 } else { senders.div_ceil(3) };
        let max_count = if kind == Kind::Empty { 1 } else { max_count };
        let whom = if kind == Kind::Kill && rng.random_range(0..8) == 0 {
            "all".to_owned()
        } else {
            some(rng, max_count)
        };
        let to = (kind == Kind::Cut || (kind == Kind::Part && rng.random_range(0..2) == 0))
            .then(|| some(rng, senders / 2));
        let size = match kind {
            Kind::Starve => rng.random_range(100.0..700.0f64),
            Kind::Delay => rng.random_range(5.0..300.0f64),
            Kind::Throttle => rng.random_range(1.0..50.0f64),
            Kind::Garbage => rng.random_range(5.0..50.0f64),
            _ => rng.random_range(0.02..0.3f64),
        };
        faults.push(Fault { kind, at_s, for_s, senders: whom, to, size });
    }
    faults
}

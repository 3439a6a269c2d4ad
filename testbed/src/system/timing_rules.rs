//! Rules with time limits, evaluated on a history: how soon a configuration and an endpoint list reach the connected proxies,
//! and how soon an operator receives a definite answer.
//!
//! The history is walked in ticks. Each tick knows which machines are lost, which paths are partitioned, and when the control
//! nodes were last disturbed. "In touch" and "stable" have the meaning that the operators' pages define.

use super::check::{Broken, Rule};
use super::history::{Disturbance, Fact, History, OrderAnswer};
use super::schedule::Class;
use std::collections::{BTreeMap, BTreeSet};

/// A step of the walk.
const TICK_MS: u64 = 100;
/// A machine is in touch, and the core is stable, so long after the last disturbance.
const CONTACT_MS: u64 = 3_000;
/// The same for the core after most of it was lost.
const CONTACT_AFTER_MOST_MS: u64 = 2 * CONTACT_MS;
/// A configuration reaches a machine in touch within this after its acknowledgement.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// And within so much more while the core is not stable.
pub const MAX_STRETCH_MS: u64 = 5_000;
/// A list of the platform reaches a machine in touch within this.
pub const DRAIN_MS: u64 = 3_000;
/// An operator gets a clear answer within this.
pub const ACK_MS: u64 = 4_000;

/// A disturbance of one machine.
struct FaultPeriod {
    machine: usize,
    how: Disturbance,
    since: u64,
    until: u64,
}

/// A cut of one path.
struct Cut {
    from: usize,
    to: usize,
    since: u64,
    until: u64,
}

/// The state that a proxy's process applies from a time on.
#[derive(Clone, Copy)]
struct Known {
    at: u64,
    machine: usize,
    /// Configuration version and list number; none before the first ones of an incarnation.
    known_versions: Option<(u64, u64)>,
}

/// A configuration change, from its first request to its first definite answer.
struct RequestRecord {
    started_at: u64,
    clear_at: Option<u64>,
    number: u64,
}

#[derive(Default)]
struct Timeline {
    classes: Vec<Class>,
    faults: Vec<FaultPeriod>,
    partitions: Vec<Cut>,
    lossy: Vec<(u64, u64)>,
    starts: Vec<(u64, usize)>,
    removed: BTreeMap<usize, u64>,
    /// By process.
    known: BTreeMap<usize, Vec<Known>>,
    acknowledged: Vec<(u64, u64)>,
    lists: Vec<(u64, u64)>,
    requests: BTreeMap<u64, RequestRecord>,
    end: u64,
}

impl Timeline {
    fn read(history: &History) -> Self {
        let mut line = Self::default();
        for (at, fact) in history {
            line.apply(*at, fact);
        }
        line.end = history.last().map_or(0, |(at, _)| *at);
        line
    }

    fn apply(&mut self, at: u64, fact: &Fact) {
        match fact {
            Fact::Fleet { classes } => self.classes = classes.clone(),
            Fact::Disturbed { machine, how, until } => {
                self.faults.push(FaultPeriod { machine: *machine, how: *how, since: at, until: *until });
            }
            Fact::PathCut { from, to, until } => {
                self.partitions.push(Cut { from: *from, to: *to, since: at, until: *until });
            }
            Fact::Lossy { until } => self.lossy.push((at, *until)),
            Fact::Removed { machine } => drop(self.removed.insert(*machine, at)),
            Fact::ProcessStarted { node, machine, .. } => {
                self.starts.push((at, *machine));
                if self.classes.get(*machine) == Some(&Class::Agent) {
                    let known = Known { at, machine: *machine, known_versions: None };
                    self.known.entry(*node).or_default().push(known);
                }
            }
            Fact::Knows { node, version, list, .. } => {
                if let Some(known) = self.known.get_mut(node)
                    && let Some(last) = known.last()
                {
                    let next = Known { at, machine: last.machine, known_versions: Some((*version, *list)) };
                    known.push(next);
                }
            }
            Fact::Acknowledged { version, .. } => self.acknowledged.push((at, *version)),
            Fact::Platform { list } => self.lists.push((at, *list)),
            Fact::Ordered { order, number, started_at, answer, .. } => {
                let request = RequestRecord { started_at: *started_at, clear_at: None, number: *number };
                let request = self.requests.entry(*order).or_insert(request);
                request.started_at = request.started_at.min(*started_at);
                if *answer != OrderAnswer::Unclear {
                    request.clear_at = request.clear_at.or(Some(at));
                }
            }
            _ => {}
        }
    }

    fn is(&self, machine: usize, class: Class) -> bool {
        self.classes.get(machine) == Some(&class)
    }

    fn newest(of: &[(u64, u64)], by: Option<u64>) -> u64 {
        let in_time = of.iter().filter(|(at, _)| by.is_some_and(|by| *at <= by));
        in_time.map(|(_, number)| *number).max().unwrap_or_default()
    }
}

/// What holds at one tick.
#[derive(Default)]
struct Tick {
    lost: BTreeSet<usize>,
    troubled: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    lossy: bool,
    /// The core's machines that are there, lost ones too.
    core: Vec<usize>,
    /// Those of them that reach more than half of it.
    connected: BTreeSet<usize>,
    core_disturbed: bool,
}

fn overlaps(since: u64, until: u64, tick: u64) -> bool {
    since < tick + TICK_MS && until >= tick
}

fn borders(since: u64, until: u64, tick: u64) -> bool {
    [since, until].iter().any(|at| (tick..tick + TICK_MS).contains(at))
}

impl Tick {
    fn of(line: &Timeline, tick: u64) -> Self {
        let mut now = Self::default();
        let is_core = |machine: usize| line.is(machine, Class::ControlNode);
        let counts = |machine: usize| is_core(machine) || line.is(machine, Class::Store);
        for fault in line.faults.iter().filter(|other| overlaps(other.since, other.until, tick)) {
            now.troubled.insert(fault.machine);
            if fault.how == Disturbance::Lost {
                now.lost.insert(fault.machine);
            }
            let degraded = matches!(fault.how, Disturbance::Slow | Disturbance::Disk);
            let disturbs = degraded || borders(fault.since, fault.until, tick);
            now.core_disturbed |= counts(fault.machine) && disturbs;
        }
        for cut in line.partitions.iter().filter(|cut| overlaps(cut.since, cut.until, tick)) {
            now.cut.insert((cut.from, cut.to));
            let of_core = counts(cut.from) && counts(cut.to);
            now.core_disturbed |= of_core && borders(cut.since, cut.until, tick);
        }
        for (at, machine) in line.starts.iter().filter(|(at, _)| borders(*at, *at, tick)) {
            now.core_disturbed |= counts(*machine) && *at >= tick;
            now.troubled.insert(*machine);
        }
        now.core_disturbed |=
            line.removed.iter().any(|(machine, at)| counts(*machine) && borders(*at, *at, tick));
        now.lossy = line.lossy.iter().any(|(since, until)| overlaps(*since, *until, tick));
        let is_there = |machine: &usize| {
            is_core(*machine)
                && line.starts.iter().any(|(at, started)| started == machine && *at <= tick)
                && line.removed.get(machine).is_none_or(|at| *at > tick)
        };
        now.core = (0..line.classes.len()).filter(is_there).collect();
        now.connect();
        now
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&(one, other)) || self.cut.contains(&(other, one))
    }

    fn connect(&mut self) {
        let up = |machine: &&usize| !self.lost.contains(machine);
        let reaches = |machine: &usize| {
            let others = self.core.iter().filter(up);
            others.filter(|other| *other == machine || !self.is_cut(*machine, **other)).count()
        };
        let connected = self.core.iter().filter(up).filter(|machine| 2 * reaches(machine) > self.core.len());
        self.connected = connected.copied().collect();
    }

    /// More than half of the core runs and is connected.
    fn has_majority(&self) -> bool {
        2 * self.connected.len() > self.core.len()
    }
}

/// When each condition was last violated, up to the current tick. Times are milliseconds.
#[derive(Default)]
struct Walk {
    last_edge_fault: BTreeMap<usize, u64>,
    core: u64,
    /// No majority of the control nodes was connected.
    last_majority_loss: u64,
    last_message_loss: u64,
    /// By core machine.
    last_unhealthy: BTreeMap<usize, u64>,
}

impl Walk {
    fn step(&mut self, line: &Timeline, now: &Tick, tick: u64) {
        let edges = (0..line.classes.len()).filter(|machine| line.is(*machine, Class::Agent));
        for machine in edges {
            let no_path = now.connected.iter().any(|core| now.is_cut(machine, *core));
            if now.lossy || no_path || now.troubled.contains(&machine) {
                self.last_edge_fault.insert(machine, tick);
            }
        }
        if now.core_disturbed || now.lossy {
            self.core = tick;
        }
        if !now.has_majority() {
            self.last_majority_loss = tick;
        }
        if now.lossy {
            self.last_message_loss = tick;
        }
        for machine in &now.core {
            if !now.connected.contains(machine) || now.troubled.contains(machine) || now.lossy {
                self.last_unhealthy.insert(*machine, tick);
            }
        }
    }

    fn is_stable(&self, tick: u64) -> bool {
        tick > self.core + CONTACT_MS + TICK_MS
            && tick > self.last_majority_loss + CONTACT_AFTER_MOST_MS + TICK_MS
    }

    fn has_paths(&self, machine: usize, tick: u64) -> bool {
        let last = self.last_edge_fault.get(&machine).copied().unwrap_or_default();
        tick > last + CONTACT_MS + TICK_MS
    }

    /// More than half of the core was well for as long as a configuration may take beside an unstable core.
    fn majority_was_fine(&self, now: &Tick, tick: u64) -> bool {
        let since = |machine: &&usize| {
            let last = self.last_unhealthy.get(machine).copied().unwrap_or_default();
            tick > last + CONFIG_APPLY_MS + MAX_STRETCH_MS + TICK_MS
        };
        2 * now.core.iter().filter(since).count() > now.core.len()
    }
}

/// Appends a history's violations of these rules.
pub fn check(history: &History, broken: &mut Vec<Broken>) {
    let line = Timeline::read(history);
    if line.classes.is_empty() {
        return;
    }
    let mut walk = Walk::default();
    let mut stable_since = None;
    let mut stretches: Vec<(u64, u64)> = Vec::new();
    for tick in (0..line.end).step_by(TICK_MS as usize) {
        let now = Tick::of(&line, tick);
        walk.step(&line, &now, tick);
        let stable = walk.is_stable(tick);
        for (node, known) in &line.known {
            check_process(&line, &walk, &now, tick, *node, known, broken);
        }
        match (stable, stable_since) {
            (true, None) => stable_since = Some(tick),
            (false, Some(since)) => {
                stretches.push((since, tick));
                stable_since = None;
            }
            _ => {}
        }
    }
    stretches.extend(stable_since.map(|since| (since, line.end)));
    check_answers(&line, &stretches, broken);
}

fn check_process(
    line: &Timeline,
    walk: &Walk,
    now: &Tick,
    tick: u64,
    node: usize,
    known: &[Known],
    broken: &mut Vec<Broken>,
) {
    let Some(known) = known.iter().rev().find(|known| known.at <= tick) else { return };
    let (Some((version, list)), true) = (known.known_versions, walk.has_paths(known.machine, tick)) else {
        return;
    };
    let stable = walk.is_stable(tick);
    let within = match (stable, walk.majority_was_fine(now, tick)) {
        (true, _) => CONFIG_APPLY_MS,
        (false, true) => CONFIG_APPLY_MS + MAX_STRETCH_MS,
        (false, false) => return,
    };
    let due = Timeline::newest(&line.acknowledged, tick.checked_sub(within));
    if version < due {
        let what = format!("process {node}, in touch, goes by {version}; {due} is {within} ms old");
        broken.push(Broken { rule: Rule::Fresh, at: tick, what });
    }
    let due = Timeline::newest(&line.lists, tick.checked_sub(DRAIN_MS));
    if stable && list < due {
        let what = format!("process {node}, in touch, goes by list {list}; {due} is {DRAIN_MS} ms old");
        broken.push(Broken { rule: Rule::Drain, at: tick, what });
    }
}

/// Checks that each change sent during a stable stretch has a definite answer in time.
fn check_answers(line: &Timeline, stretches: &[(u64, u64)], broken: &mut Vec<Broken>) {
    for request in line.requests.values() {
        let due = request.started_at + ACK_MS;
        let within = |stretch: &&(u64, u64)| stretch.0 <= request.started_at && due < stretch.1;
        if !stretches.iter().any(|stretch| within(&stretch)) {
            continue;
        }
        if request.clear_at.is_none_or(|at| at > due) {
            let what =
                format!("order {}, sent at {}, has no clear answer", request.number, request.started_at);
            broken.push(Broken { rule: Rule::AnswerTime, at: due, what });
        }
    }
}

//! The faults of a run, drawn from its seed: series that overlap, within the losses of disks that are to be borne.

use super::plan::Plan;
use crate::serving_tier::endpoints::mixed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// No fault before this: the applications begin.
const CALM_BEGINNING_MS: u64 = 2_000;
/// No fault later than this before the end of the work.
const CALM_END_MS: u64 = 1_000;
/// Time between two faults, in milliseconds.
const GAP_MS: Range<u64> = 100..2_500;
/// How long a process is away, in milliseconds.
const DOWN_MS: Range<u64> = 50..3_000;
/// How long a process is frozen, in milliseconds.
const FREEZE_MS: Range<u64> = 300..5_000;
/// How long a machine counts as lost after it is back, in milliseconds: `catch_up_s`.
const CATCH_UP_MS: u64 = 6_000;
/// How long an empty machine at another address counts as lost.
const REPLACEMENT_MS: u64 = 12_000;
/// How often the configuration changes, in milliseconds.
const CONFIGURATION_GAP_MS: Range<u64> = 1_500..4_000;
/// For this long, machines lose their disks with few others away; for as long after it any number stops and starts.
const PHASE_MS: u64 = 12_000;
/// The share of faults, outside the times of lost disks, that hit all machines at once.
const HERD_SHARE: f64 = 0.08;

/// What happens to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM and a new start.
    Restart {
        /// Time from its end until its new start.
        down: Duration,
    },
    /// SIGKILL and a new start.
    Kill {
        /// Time from its end until its new start.
        down: Duration,
    },
    /// SIGKILL and a new start on an empty disk.
    Wipe {
        /// Time from its end until its new start.
        down: Duration,
    },
    /// SIGSTOP and SIGCONT.
    Freeze {
        /// Time between the two.
        time: Duration,
    },
    /// Gone for good; an empty machine starts at another address.
    Replace {
        /// The machine that takes its place.
        by: usize,
        /// Time until that machine starts.
        down: Duration,
    },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, from the beginning of the work.
    pub at: Duration,
    /// The machine.
    pub node: usize,
    /// What happens to it.
    pub fault: Fault,
}

/// All that happens in a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Faults by time.
    pub steps: Vec<Step>,
    /// When the operator changes the configuration.
    pub configurations: Vec<Duration>,
}

/// A time during which a machine counts as lost.
struct Loss {
    node: usize,
    from_ms: u64,
    until_ms: u64,
    has_lost_disk: bool,
}

struct Draw<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    in_service: Vec<usize>,
    next_spare: usize,
    losses: Vec<Loss>,
    steps: Vec<Step>,
}

impl Schedule {
    /// Draws the faults of a plan.
    pub fn draw(plan: &Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(mixed(plan.seed));
        let end_ms = u64::try_from(plan.work.as_millis()).unwrap_or(u64::MAX).saturating_sub(CALM_END_MS);
        let configurations = times(&mut rng, CONFIGURATION_GAP_MS, end_ms);
        let faults = if plan.has_faults { times(&mut rng, GAP_MS, end_ms) } else { Vec::new() };
        let nodes = usize::from(plan.control_nodes);
        let mut draw = Draw {
            plan,
            rng,
            in_service: (0..nodes).collect(),
            next_spare: nodes,
            losses: Vec::new(),
            steps: Vec::new(),
        };
        for at_ms in faults {
            let loses_disks = (at_ms / PHASE_MS).is_multiple_of(2);
            if !loses_disks && draw.rng.random_bool(HERD_SHARE) {
                draw.add_herd(at_ms);
            } else {
                draw.add(at_ms, loses_disks);
            }
        }
        let configurations = configurations.into_iter().map(Duration::from_millis).collect();
        Self { steps: draw.steps, configurations }
    }
}

fn times(rng: &mut ChaCha8Rng, gap_ms: Range<u64>, end_ms: u64) -> Vec<u64> {
    let mut times = Vec::new();
    let mut at_ms = CALM_BEGINNING_MS;
    while at_ms < end_ms {
        times.push(at_ms);
        at_ms += rng.random_range(gap_ms.clone());
    }
    times
}

impl Draw<'_> {
    /// One fault of a machine that has none at this time.
    fn add(&mut self, at_ms: u64, loses_disks: bool) {
        let free: Vec<usize> =
            self.in_service.iter().copied().filter(|node| !self.is_lost(*node, at_ms)).collect();
        if free.is_empty() {
            return;
        }
        let node = free[self.rng.random_range(0..free.len())];
        let (fault, lost_ms) = self.draw_fault(loses_disks);
        let has_lost_disk = matches!(fault, Fault::Wipe { .. } | Fault::Replace { .. });
        let until_ms = at_ms + lost_ms;
        // While a disk is lost, no more machines are than may be; otherwise, any number may stop and start.
        let overlapping = self.losses.iter().filter(|loss| loss.until_ms > at_ms);
        let (count, is_disk_lost) = overlapping
            .fold((0, has_lost_disk), |(count, lost), loss| (count + 1, lost || loss.has_lost_disk));
        if (is_disk_lost || loses_disks) && count >= self.plan.tolerated_losses {
            return;
        }
        if let Fault::Replace { by, .. } = fault {
            self.next_spare += 1;
            self.in_service.retain(|other| *other != node);
            self.in_service.push(by);
        }
        let lost = if let Fault::Replace { by, .. } = fault { by } else { node };
        self.losses.push(Loss { node: lost, from_ms: at_ms, until_ms, has_lost_disk });
        self.steps.push(Step { at: Duration::from_millis(at_ms), node, fault });
    }

    fn draw_fault(&mut self, loses_disks: bool) -> (Fault, u64) {
        let down_ms = self.rng.random_range(DOWN_MS);
        let down = Duration::from_millis(down_ms);
        let has_spare = self.next_spare < usize::from(self.plan.control_nodes + self.plan.spares);
        match self.rng.random_range(0..100) {
            0..40 if loses_disks => (Fault::Wipe { down }, down_ms + CATCH_UP_MS),
            40..60 if loses_disks && has_spare => {
                (Fault::Replace { by: self.next_spare, down }, down_ms + REPLACEMENT_MS)
            }
            0..35 => (Fault::Restart { down }, down_ms + CATCH_UP_MS),
            35..75 => (Fault::Kill { down }, down_ms + CATCH_UP_MS),
            _ => {
                let time_ms = self.rng.random_range(FREEZE_MS);
                (Fault::Freeze { time: Duration::from_millis(time_ms) }, time_ms + CATCH_UP_MS)
            }
        }
    }

    /// Kills of all machines at once, where no disk is lost at this time.
    fn add_herd(&mut self, at_ms: u64) {
        if self.losses.iter().any(|loss| loss.until_ms > at_ms && loss.has_lost_disk) {
            return;
        }
        for node in self.in_service.clone() {
            let down_ms = self.rng.random_range(DOWN_MS);
            let fault = Fault::Kill { down: Duration::from_millis(down_ms) };
            let until_ms = at_ms + down_ms + CATCH_UP_MS;
            self.losses.push(Loss { node, from_ms: at_ms, until_ms, has_lost_disk: false });
            self.steps.push(Step { at: Duration::from_millis(at_ms), node, fault });
        }
    }

    fn is_lost(&self, node: usize, at_ms: u64) -> bool {
        self.losses.iter().any(|loss| loss.node == node && (loss.from_ms..loss.until_ms).contains(&at_ms))
    }
}

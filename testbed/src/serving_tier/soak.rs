//! The faults of a soak, drawn from its seed: a series on each machine, which overlap with those of the others.
//!
//! A soak of planned work alone has signals, restarts of edge machines and changes of the configuration: what clients had
//! under way then must be answered, on connections that they keep until the process is gone. One with failures also has
//! processes of every role killed and stopped, whose requests are excepted. No disk is lost in either.
use super::endpoints::mixed;
use super::machines::Role;
use super::start_faults::{FirstStart, StartFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// No fault before this, in milliseconds: the first programs begin.
const CALM_BEGINNING_MS: u64 = 1_000;
/// Time between two faults of one machine, in milliseconds, in a tier of [`SMALL_TIER`] processes.
const GAP_MS: Range<u64> = 500..6_000;
/// Above this number of processes the gaps grow with it, so that the machine of the test bed bears the starts.
const SMALL_TIER: usize = 12;
/// How long a process is away, in milliseconds.
const DOWN_MS: Range<u64> = 50..2_000;
/// How long a process stands still, in milliseconds.
const PAUSE_MS: Range<u64> = 100..2_500;
/// Time between two changes of the configuration, in milliseconds.
const CONFIGURATION_GAP_MS: Range<u64> = 800..3_000;
/// One endpoint becomes another incarnation after each of these times, in milliseconds.
const INCARNATION_GAP_MS: Range<u64> = 2_000..6_000;

/// Which faults a soak has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// Signals, restarts of edge machines and changes of the configuration.
    Planned,
    /// The same, and processes of every role are killed, stopped and restarted.
    Failures,
    /// The first start and all later ones are disturbed: by signals within their first milliseconds, by processes that
    /// are still ending, and by settings that are being written. Some processes are killed or stopped.
    Starts,
    /// A whole day: failures, a storage machine that loses its disk, and in the end a disk that is lost as all machines lose
    /// their power.
    Day,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGHUP.
    Reload,
    /// SIGTERM, and a new start this long after its end.
    Restart {
        /// Time from its end until its new start.
        down: Duration,
    },
    /// SIGKILL, and a new start.
    Kill {
        /// Time from its end until its new start.
        down: Duration,
    },
    /// SIGSTOP and SIGCONT.
    Pause {
        /// Time between the two.
        time: Duration,
    },
    /// A fault around a start.
    Start(StartFault),
}

/// A fault of a series: it follows the one before by `gap`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the end of the one before.
    pub gap: Duration,
    /// What happens.
    pub fault: Fault,
}

/// All that happens in a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The series of each process.
    pub series: Vec<(Role, usize, Vec<Step>)>,
    /// How each process goes through the first start.
    pub first_starts: Vec<FirstStart>,
    /// Gaps between changes of the configuration.
    pub configurations: Vec<Duration>,
    /// Gaps between new incarnations of endpoints.
    pub incarnations: Vec<Duration>,
}

impl Schedule {
    /// Draws a schedule for processes of these roles over `length`.
    pub fn draw(seed: u64, trouble: Trouble, processes: &[(Role, usize)], length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(mixed(seed));
        let gap_factor = (processes.len() / SMALL_TIER).max(1) as u64;
        let series = processes.iter().map(|&(role, number)| {
            let gaps = gaps(&mut rng, &GAP_MS, gap_factor, length);
            let steps = gaps.into_iter().filter_map(|gap| {
                let fault = draw_fault(&mut rng, trouble, role)?;
                Some(Step { gap, fault })
            });
            (role, number, steps.collect())
        });
        let series = series.collect();
        let configurations = gaps(&mut rng, &CONFIGURATION_GAP_MS, 1, length);
        let incarnations = gaps(&mut rng, &INCARNATION_GAP_MS, 1, length);
        let first_starts = match trouble {
            Trouble::Starts => FirstStart::draw_all(&mut rng, processes),
            Trouble::Planned | Trouble::Failures | Trouble::Day => {
                vec![FirstStart::default(); processes.len()]
            }
        };
        Self { series, first_starts, configurations, incarnations }
    }
}

/// Gaps whose sum stays within `length`.
fn gaps(rng: &mut ChaCha8Rng, range: &Range<u64>, factor: u64, length: Duration) -> Vec<Duration> {
    let mut gaps = Vec::new();
    let mut at = Duration::from_millis(CALM_BEGINNING_MS);
    let mut gap = at + Duration::from_millis(factor * rng.random_range(range.clone()));
    at = gap;
    while at < length {
        gaps.push(gap);
        gap = Duration::from_millis(factor * rng.random_range(range.clone()));
        at += gap;
    }
    gaps
}

fn draw_fault(rng: &mut ChaCha8Rng, trouble: Trouble, role: Role) -> Option<Fault> {
    let down = Duration::from_millis(rng.random_range(DOWN_MS));
    let time = Duration::from_millis(rng.random_range(PAUSE_MS));
    let kind = rng.random_range(0..4);
    if trouble == Trouble::Starts && kind > 0 {
        return Some(Fault::Start(StartFault::draw(rng)));
    }
    let is_edge = matches!(role, Role::RequestProxy | Role::ProxyAgent);
    match (trouble, kind) {
        (Trouble::Starts, _) if rng.random() => Some(Fault::Kill { down }),
        (Trouble::Starts, _) => Some(Fault::Pause { time }),
        (_, 0) => Some(Fault::Reload),
        (Trouble::Planned, 1) => Some(Fault::Reload),
        (Trouble::Planned, _) => is_edge.then_some(Fault::Restart { down }),
        (Trouble::Failures | Trouble::Day, 1) => Some(Fault::Restart { down }),
        (Trouble::Failures | Trouble::Day, 2) => Some(Fault::Kill { down }),
        (Trouble::Failures | Trouble::Day, _) => Some(Fault::Pause { time }),
    }
}

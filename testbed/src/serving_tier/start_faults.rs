//! Faults around the start of a process, drawn from a soak's seed: signals within its first milliseconds, a new process beside
//! one that is still ending, settings that are written while it starts or runs.

use super::machines::{Machine, Role};
use crate::fleet::FleetError;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Signals come this long after a start, in microseconds.
const EARLY_US: Range<u64> = 0..30_000;
/// Time from an end to the next start, in milliseconds.
const DOWN_MS: Range<u64> = 0..500;
/// Gap between two hang-ups of a series, in microseconds.
const HANGUP_GAP_US: Range<u64> = 0..5_000;
/// Hang-ups of a series.
const HANGUPS: Range<u32> = 2..12;
/// How long a settings file is empty or incomplete, in milliseconds.
const INCOMPLETE_MS: Range<u64> = 20..1_500;
/// How long after the others a process starts at the first start, in milliseconds.
const FIRST_START_MS: Range<u64> = 0..300;
/// The same for one that starts late.
const LATE_START_MS: Range<u64> = 300..4_000;
/// One process in so many starts late, and one in so many has its settings late.
const LATE_STRIDE: u32 = 4;
/// Hang-ups at an early moment of a start.
const EARLY_HANGUPS: usize = 3;
/// A process that has not begun by then is not waited for with a hang-up.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Hang-ups at these times after a start.
pub type EarlyHangups = [Duration; EARLY_HANGUPS];

/// A fault around the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFault {
    /// A series of SIGHUP.
    Hangups {
        /// How many.
        count: u32,
        /// Between two of them.
        gap: Duration,
    },
    /// SIGTERM, a new start, and signals within its first milliseconds.
    EarlySignals {
        /// Time from its end until its new start.
        down: Duration,
        /// SIGHUP at these times.
        hangups: EarlyHangups,
        /// SIGTERM at this time, and one more start.
        terminated: Option<Duration>,
    },
    /// SIGTERM, and a new process at once, while the former is still ending.
    Overlap,
    /// SIGTERM, and a new start while the settings file is empty.
    LateSettings {
        /// Time until the settings are complete.
        empty_for: Duration,
    },
    /// The settings of the running process are written slowly, with SIGHUP before they are complete and after.
    RewrittenSettings {
        /// Time until the settings are complete.
        incomplete_for: Duration,
    },
}

/// How a process goes through the first start of the whole tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstStart {
    /// Time from the start of the tier to that of the process.
    pub delay: Duration,
    /// SIGHUP at these times after that.
    pub hangups: Option<EarlyHangups>,
    /// Time until its settings are complete.
    pub settings_late: Option<Duration>,
    /// SIGKILL at this time, and another start, which is no first one.
    pub killed: Option<Duration>,
}

fn draw(rng: &mut ChaCha8Rng, range: Range<u64>, unit: fn(u64) -> Duration) -> Duration {
    unit(rng.random_range(range))
}

fn draw_hangups(rng: &mut ChaCha8Rng) -> EarlyHangups {
    let mut hangups = [Duration::ZERO; EARLY_HANGUPS];
    hangups.fill_with(|| draw(rng, EARLY_US, Duration::from_micros));
    hangups.sort();
    hangups
}

impl StartFault {
    /// Draws one.
    pub(super) fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..5) {
            0 => Self::Hangups {
                count: rng.random_range(HANGUPS),
                gap: draw(rng, HANGUP_GAP_US, Duration::from_micros),
            },
            1 => Self::EarlySignals {
                down: draw(rng, DOWN_MS, Duration::from_millis),
                hangups: draw_hangups(rng),
                terminated: rng.random_bool(0.5).then(|| draw(rng, EARLY_US, Duration::from_micros)),
            },
            2 => Self::Overlap,
            3 => Self::LateSettings { empty_for: draw(rng, INCOMPLETE_MS, Duration::from_millis) },
            _ => Self::RewrittenSettings { incomplete_for: draw(rng, INCOMPLETE_MS, Duration::from_millis) },
        }
    }
}

impl FirstStart {
    /// Draws the first start of each of these processes. At most one core machine is killed: one that is killed before its
    /// first write counts as one that has lost its disk, and the tier bears the loss of one.
    pub(super) fn draw_all(rng: &mut ChaCha8Rng, processes: &[(Role, usize)]) -> Vec<Self> {
        let mut has_killed_core = false;
        let mut starts = Vec::new();
        for (role, _) in processes {
            let is_late = rng.random_ratio(1, LATE_STRIDE);
            let delay = if is_late { LATE_START_MS } else { FIRST_START_MS };
            let is_core = *role == Role::ControlNode;
            let is_killed = rng.random_ratio(1, LATE_STRIDE) && !(is_core && has_killed_core);
            has_killed_core |= is_core && is_killed;
            starts.push(Self {
                delay: draw(rng, delay, Duration::from_millis),
                hangups: Some(draw_hangups(rng)),
                settings_late: rng
                    .random_ratio(1, LATE_STRIDE)
                    .then(|| draw(rng, INCOMPLETE_MS, Duration::from_millis)),
                killed: is_killed.then(|| draw(rng, EARLY_US, Duration::from_micros)),
            });
        }
        starts
    }
}

impl Machine {
    async fn hang_up_early(&self, started: Instant, hangups: EarlyHangups) {
        for after in hangups {
            sleep_until(started + after).await;
            while !self.catches(Signal::SIGHUP) && started.elapsed() < BEGIN_TIMEOUT {
                sleep(Duration::from_micros(100)).await;
            }
            self.reload();
        }
    }

    /// Starts the process as a part of the first start of the tier.
    pub(super) async fn start_first(&mut self, start: FirstStart) -> Result<(), FleetError> {
        sleep(start.delay).await;
        let is_late = start.settings_late.is_some();
        if is_late {
            self.start_without_settings()?
        } else {
            self.start()?
        }
        let started = Instant::now();
        if let Some(killed) = start.killed {
            sleep_until(started + killed).await;
            self.kill().await;
            self.set_restarted();
            if is_late { self.start_without_settings()? } else { self.start()? }
        }
        if let Some(hangups) = start.hangups {
            self.hang_up_early(Instant::now(), hangups).await;
        }
        if let Some(late) = start.settings_late {
            sleep(late).await;
            self.write_settings()?;
        }
        Ok(())
    }

    /// Goes through a fault around a start. Returns what went wrong.
    pub async fn go_through(
        &mut self,
        fault: StartFault,
        grace: Duration,
    ) -> Result<Option<String>, FleetError> {
        let mut is_late = false;
        match fault {
            StartFault::Hangups { count, gap } => {
                for _ in 0..count {
                    self.reload();
                    sleep(gap).await;
                }
            }
            StartFault::EarlySignals { down, hangups, terminated } => {
                is_late |= !self.terminate(grace).await;
                sleep(down).await;
                self.start()?;
                let started = Instant::now();
                if let Some(terminated) = terminated {
                    sleep_until(started + terminated).await;
                    is_late |= !self.terminate(grace).await;
                    self.start()?;
                }
                self.hang_up_early(Instant::now(), hangups).await;
            }
            StartFault::Overlap => is_late = !self.start_beside_the_former(grace).await?,
            StartFault::LateSettings { empty_for } => {
                is_late |= !self.terminate(grace).await;
                self.start_without_settings()?;
                sleep(empty_for).await;
                self.write_settings()?;
            }
            StartFault::RewrittenSettings { incomplete_for } => {
                self.write_half_of_the_settings()?;
                self.reload();
                sleep(incomplete_for).await;
                self.write_settings()?;
                self.reload();
            }
        }
        let report = || format!("{} did not end in its time:\n{}", self.name, self.last_lines(5));
        Ok(is_late.then(report))
    }
}

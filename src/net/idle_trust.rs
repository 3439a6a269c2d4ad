//! Learns from broken calls how long idle connections of a service stay usable.
use std::time::Duration;
use tokio::time::Instant;

/// Bounds of the idle-time buckets, in milliseconds.
const IDLE_STEPS: [u64; 7] = [50, 100, 200, 400, 800, 1600, 3200];
/// Weight of one call in the moving averages of broken calls.
const LEARNING_RATE: f64 = 0.1;
/// Excess of the share of broken calls over that of new connections at which connections of an idle time are not reused.
const SUSPECT_SHARE: f64 = 0.08;
/// Time constant of the decay of the learned shares.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The learned limit on idle time. A middlebox may drop connections that were idle for far less than the configured
/// time; a call on such a connection ends as a reset, and may cost a message its only attempt.
pub struct IdleTrust {
    /// Share of broken calls on new connections: the baseline.
    base: f64,
    /// The same for connections by idle time, per bucket of `IDLE_STEPS`; the last bucket is above all steps.
    broken: [f64; IDLE_STEPS.len() + 1],
    decayed_at: Instant,
}

impl IdleTrust {
    /// Starts without observations.
    pub fn new() -> Self {
        Self { base: 0.0, broken: [0.0; IDLE_STEPS.len() + 1], decayed_at: Instant::now() }
    }

    /// Records whether a call's connection broke, with its idle time before the call, or none if it was new.
    pub fn learn(&mut self, idle: Option<Duration>, broke: bool) {
        self.forget();
        let share = match idle {
            Some(idle) => {
                &mut self.broken
                    [IDLE_STEPS.iter().filter(|step| idle.as_millis() >= u128::from(**step)).count()]
            }
            None => &mut self.base,
        };
        *share += LEARNING_RATE * (f64::from(u8::from(broke)) - *share);
    }

    /// Decays the learned shares, so that longer idle times are tried again.
    pub fn forget(&mut self) {
        let decay = (-self.decayed_at.elapsed().as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.broken.iter_mut().for_each(|share| *share *= decay);
        self.decayed_at = Instant::now();
    }

    /// The idle time above which connections break markedly more often than new ones.
    pub fn limit(&self) -> Option<Duration> {
        let suspect = |share: &f64| *share > self.base + SUSPECT_SHARE;
        let step = self.broken[1..].iter().position(suspect)?;
        IDLE_STEPS.get(step).copied().map(Duration::from_millis)
    }
}

impl Default for IdleTrust {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests;

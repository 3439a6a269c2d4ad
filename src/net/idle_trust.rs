//! How long an idle connection can be used, as its service's connections show.
use std::time::Duration;
use tokio::time::Instant;

/// Idle times, in milliseconds, between which connections are told apart when some break.
const IDLE_STEPS: [u64; 7] = [50, 100, 200, 400, 800, 1600, 3200];
/// Weight of one more call in the learned shares of calls that broke.
const TRUST_LEARN: f64 = 0.1;
/// More broken calls than on new connections, as a share, at which a longer idle connection is not used.
const SUSPECT_SHARE: f64 = 0.08;
/// Time over which the learned shares fade.
const TRUST_FADES: Duration = Duration::from_secs(10);

/// What is learned of how long an idle connection can still be used. Something on the way may drop those idle
/// for far less than the settings' time; a call on such a one ends as a reset, and may cost a message its try.
pub struct IdleTrust {
    /// Learned share of calls on new connections that broke: what breaks anyway.
    base: f64,
    /// The same for connections that had been idle up to each of `IDLE_STEPS`, and for longer.
    broken: [f64; IDLE_STEPS.len() + 1],
    at: Instant,
}

impl IdleTrust {
    /// Of a service of which nothing is known yet.
    pub fn new() -> Self {
        Self { base: 0.0, broken: [0.0; IDLE_STEPS.len() + 1], at: Instant::now() }
    }

    /// Takes in whether a connection that had been idle for so long, or was new, broke under its call.
    pub fn learn(&mut self, idle: Option<Duration>, broke: bool) {
        self.forget();
        let share = match idle {
            Some(idle) => {
                &mut self.broken
                    [IDLE_STEPS.iter().filter(|step| idle.as_millis() >= u128::from(**step)).count()]
            }
            None => &mut self.base,
        };
        *share += TRUST_LEARN * (f64::from(u8::from(broke)) - *share);
    }

    /// What is not seen again fades, so that longer idle times are tried again.
    pub fn forget(&mut self) {
        let fading = (-self.at.elapsed().as_secs_f64() / TRUST_FADES.as_secs_f64()).exp();
        self.broken.iter_mut().for_each(|share| *share *= fading);
        self.at = Instant::now();
    }

    /// The idle time from which on connections break markedly more often than new ones.
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

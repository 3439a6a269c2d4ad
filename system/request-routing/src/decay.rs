//! Values that decay exponentially with the time since their last update.

use message_sender::Time;

/// A value that decays from the time of its last update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingValue {
    /// The value at `updated_at`, before any decay.
    pub(crate) value: f64,
    /// Time of the last update.
    pub(crate) updated_at: Time,
}

impl DecayingValue {
    /// No observation yet.
    pub(crate) const ZERO: Self = Self { value: 0.0, updated_at: Time(0) };

    /// Share of the value that remains at `now`, between 0 and 1, for a half-life in microseconds.
    pub(crate) fn remaining_share(&self, now: Time, half_life_micros: f64) -> f64 {
        (-(now.since(self.updated_at) as f64) / half_life_micros).exp2()
    }

    /// The decayed value at `now`, for a half-life in microseconds; never negative.
    pub(crate) fn decayed(&self, now: Time, half_life_micros: f64) -> f64 {
        if self.value <= 0.0 { 0.0 } else { self.value * self.remaining_share(now, half_life_micros) }
    }
}

//! The decision module's clock, from wall time and the monotonic clock.
use message_sender::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The decision module's clock: wall time at the start, so that deadlines stay valid across processes, advanced by the
/// monotonic clock, so that time never jumps within a process.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    wall: u64,
}

impl Clock {
    /// Creates a clock from the current wall time.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall: micros(wall) }
    }

    /// Converts an instant to the module's time.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.wall + micros(instant.saturating_duration_since(self.start)))
    }

    /// Converts the module's time to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.wall))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

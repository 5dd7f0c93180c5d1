//! The clock from which the scheduler's times are taken.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Maximum delay of a timer, in microseconds: one day. Without a limit, a time received from outside the
/// gateway could overflow an [`Instant`].
const MAX_TIMER_DELAY_US: u64 = 86_400_000_000;

/// The scheduler's clock. It reads Unix time once, at its start, and then advances monotonically. Its times
/// can therefore be compared with the start times of storage nodes, which are in Unix time, and a step of the
/// system clock does not move a deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_unix_us: u64,
}

impl Clock {
    /// Returns a clock that starts at the current Unix time, or at 0 if the system clock is before the epoch.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_us: unix_time.as_micros() as u64 }
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub fn now_us(&self) -> u64 {
        self.origin_unix_us + self.origin.elapsed().as_micros() as u64
    }

    /// Returns the time of an instant in microseconds since the Unix epoch. For an instant before the clock's
    /// start, returns its start.
    pub fn us_at(&self, instant: Instant) -> u64 {
        self.origin_unix_us + instant.saturating_duration_since(self.origin).as_micros() as u64
    }

    /// Returns the instant at which the clock reaches `time_us`. For a time before the clock's start, returns
    /// its start; for a time more than one day ahead, returns the instant one day from now.
    pub fn instant_at(&self, time_us: u64) -> Instant {
        let max_offset_us = self.now_us() - self.origin_unix_us + MAX_TIMER_DELAY_US;
        let offset_us = time_us.saturating_sub(self.origin_unix_us).min(max_offset_us);
        self.origin + Duration::from_micros(offset_us)
    }
}

//! The clock that the scheduler's times are read off.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time ahead that a timer is set for, in microseconds: one day, so that no time taken in can
/// overflow an [`Instant`].
const LONGEST_TIMER_US: u64 = 86_400_000_000;

/// The scheduler's clock. It reads Unix time at the start and then runs monotonically, so that the starts of
/// storage nodes, which are given in Unix time, compare with it while no step of the wall clock can move a
/// deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_unix_us: u64,
}

impl Clock {
    /// A clock that shows the present time.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_us: unix_time.as_micros() as u64 }
    }

    /// The time in microseconds.
    pub fn now_us(&self) -> u64 {
        self.origin_unix_us + self.origin.elapsed().as_micros() as u64
    }

    /// The instant at which the clock shows this time; for times before the clock's start, its start.
    pub fn instant_at(&self, time_us: u64) -> Instant {
        let latest_us = self.now_us() - self.origin_unix_us + LONGEST_TIMER_US;
        let ahead_us = time_us.saturating_sub(self.origin_unix_us).min(latest_us);
        self.origin + Duration::from_micros(ahead_us)
    }
}

//! The schedule of a graceful shutdown.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long clients are served once the program is told to end.
pub struct ShutdownSchedule {
    /// How long connected clients continue to be served.
    pub serve_on: Cell<Duration>,
    /// By when every request is to be answered; none until the program is told to end.
    pub answer_by: Cell<Option<Instant>>,
}

impl ShutdownSchedule {
    /// A schedule for a program that has not been told to end.
    pub fn new(serve_on: Duration) -> Self {
        ShutdownSchedule { serve_on: Cell::new(serve_on), answer_by: Cell::new(None) }
    }
}

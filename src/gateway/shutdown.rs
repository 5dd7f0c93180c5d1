//! The schedule of a graceful shutdown: its phases and how long each of them lasts.
//!
//! A shutdown starts at SIGTERM or SIGINT and has these steps:
//!
//! | starts | phase | effect |
//! | --- | --- | --- |
//! | at the signal | `Terminating` | readiness checks fail; new connections are still accepted |
//! | [`ACCEPT_PERIOD`] after the signal | `Draining` | no connection is accepted; open ones are served |
//! | the service period after the signal | `FinalResponses` | each response closes its connection |
//! | [`FINAL_RESPONSES_PERIOD`] later | `ClosingIdle` | idle connections are closed as well |
//! | [`CLOSING_IDLE_PERIOD`] later | | all requests have been answered |
//!
//! The service period of a platform gateway ends as late as possible: only the later phases and a safety
//! margin remain before SIGKILL. Clients keep using their open connections. Closing these connections earlier
//! would leave the clients without a gateway and would not make the restart any faster.

use crate::transport::LifecyclePhase;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after the signal during which new connections are accepted. According to the Protocol page
/// ("Figures"), new connections arrive for up to 0.4 s after SIGTERM, and only requests from the first 0.7 s
/// after SIGTERM have their full deadline before SIGKILL.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Duration of the `FinalResponses` phase, after which idle connections are closed.
const FINAL_RESPONSES_PERIOD: Duration = Duration::from_millis(300);
/// Time from the start of the `ClosingIdle` phase until all requests must have been answered.
const CLOSING_IDLE_PERIOD: Duration = Duration::from_millis(300);
/// Maximum value at which a request deadline counts toward the time of SIGKILL. The platform sends SIGKILL
/// no sooner than the longest deadline, capped at this value, plus [`ACCEPT_PERIOD`] after SIGTERM (Protocol
/// page, "Figures").
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Safety margin between the time by which all requests must have been answered and the earliest SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(200);

/// Runs the shutdown. Stores the length of the service period and, once the shutdown has started, the
/// response deadline.
pub struct ShutdownSchedule {
    /// Time from the signal until the `FinalResponses` phase starts.
    service_period: Cell<Duration>,
    /// Time by which all requests must be answered; `None` until the shutdown starts.
    response_deadline: Cell<Option<Instant>>,
}

impl ShutdownSchedule {
    /// Returns a schedule whose service period is [`ACCEPT_PERIOD`]: the `Draining` phase has no duration.
    pub fn new() -> Self {
        ShutdownSchedule { service_period: Cell::new(ACCEPT_PERIOD), response_deadline: Cell::new(None) }
    }

    /// Returns the time by which all requests must be answered, or `None` if the shutdown has not started.
    pub fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Extends the service period so that all requests are answered [`SIGKILL_MARGIN`] before the platform's
    /// earliest SIGKILL, which depends on the longest deadline of any request class. The service period is
    /// never shorter than [`ACCEPT_PERIOD`].
    pub fn extend_service_period(&self, longest_deadline: Duration) {
        let earliest_sigkill = longest_deadline.min(MAX_COUNTED_DEADLINE) + ACCEPT_PERIOD;
        let time_after_service = SIGKILL_MARGIN + CLOSING_IDLE_PERIOD + FINAL_RESPONSES_PERIOD;
        self.service_period.set(earliest_sigkill.saturating_sub(time_after_service).max(ACCEPT_PERIOD));
    }

    /// Starts the shutdown and advances `phase` up to [`LifecyclePhase::ClosingIdle`].
    pub async fn run(&self, phase: &watch::Sender<LifecyclePhase>) {
        let service_period = self.service_period.get();
        let response_deadline =
            Instant::now() + service_period + FINAL_RESPONSES_PERIOD + CLOSING_IDLE_PERIOD;
        self.response_deadline.set(Some(response_deadline));
        phase.send_replace(LifecyclePhase::Terminating);
        tokio::time::sleep(ACCEPT_PERIOD).await;
        phase.send_replace(LifecyclePhase::Draining);
        tokio::time::sleep(service_period.saturating_sub(ACCEPT_PERIOD)).await;
        phase.send_replace(LifecyclePhase::FinalResponses);
        tokio::time::sleep(FINAL_RESPONSES_PERIOD).await;
        phase.send_replace(LifecyclePhase::ClosingIdle);
    }
}

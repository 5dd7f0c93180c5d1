//! The phases of a graceful shutdown and their times.
//!
//! Counted from SIGTERM or SIGINT:
//!
//! | from | phase | what changes |
//! | --- | --- | --- |
//! | the signal | `Terminating` | health checks say not ready; connections are still accepted |
//! | [`ACCEPT_PERIOD`] | `Draining` | no connection is accepted; connected clients are served |
//! | the service period | `FinalResponses` | each response closes its connection |
//! | [`FINAL_RESPONSES_PERIOD`] later | `ClosingIdle` | idle connections are closed |
//! | [`CLOSING_IDLE_PERIOD`] later | | every request has its final answer |
//!
//! For the platform's gateway the service period lasts as close to SIGKILL as the later phases allow. Clients
//! keep using their open connections; closing those early would leave them without a gateway, and would not
//! make the restart any sooner.

use crate::transport::LifecyclePhase;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long after the signal new connections are accepted. By the Protocol page ("Figures") they arrive for
/// up to 0.4 s after SIGTERM, and only requests of its first 0.7 s have all of their time before SIGKILL.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// How long responses close their connections before idle connections are closed as well.
const FINAL_RESPONSES_PERIOD: Duration = Duration::from_millis(300);
/// How long after idle connections are closed every request has its final answer.
const CLOSING_IDLE_PERIOD: Duration = Duration::from_millis(300);
/// SIGKILL comes no sooner than the longest deadline, counted as this where it is longer, and
/// [`ACCEPT_PERIOD`] after SIGTERM (Protocol page, "Figures").
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long before the earliest SIGKILL every request has its final answer.
const SIGKILL_MARGIN: Duration = Duration::from_millis(200);

/// How long clients are served once the gateway has been told to stop.
pub struct ShutdownSchedule {
    /// How long after the signal connected clients are served.
    service_period: Cell<Duration>,
    /// By when every request is to be answered; none until the gateway is told to stop.
    answer_by: Cell<Option<Instant>>,
}

impl ShutdownSchedule {
    /// A schedule that serves connected clients for as long as connections are accepted.
    pub fn new() -> Self {
        ShutdownSchedule { service_period: Cell::new(ACCEPT_PERIOD), answer_by: Cell::new(None) }
    }

    /// By when every request is to be answered; none until the gateway is told to stop.
    pub fn answer_by(&self) -> Option<Instant> {
        self.answer_by.get()
    }

    /// Extends the service period towards the SIGKILL of the platform, which depends on the longest deadline
    /// of a request.
    pub fn extend_service_period(&self, longest_deadline: Duration) {
        let earliest_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + ACCEPT_PERIOD;
        let ending = SIGKILL_MARGIN + CLOSING_IDLE_PERIOD + FINAL_RESPONSES_PERIOD;
        self.service_period.set(earliest_kill.saturating_sub(ending).max(ACCEPT_PERIOD));
    }

    /// Starts the shutdown and advances the phase until idle connections are closed.
    pub async fn run(&self, phase: &watch::Sender<LifecyclePhase>) {
        let service_period = self.service_period.get();
        let answer_by = Instant::now() + service_period + FINAL_RESPONSES_PERIOD + CLOSING_IDLE_PERIOD;
        self.answer_by.set(Some(answer_by));
        phase.send_replace(LifecyclePhase::Terminating);
        tokio::time::sleep(ACCEPT_PERIOD).await;
        phase.send_replace(LifecyclePhase::Draining);
        tokio::time::sleep(service_period.saturating_sub(ACCEPT_PERIOD)).await;
        phase.send_replace(LifecyclePhase::FinalResponses);
        tokio::time::sleep(FINAL_RESPONSES_PERIOD).await;
        phase.send_replace(LifecyclePhase::ClosingIdle);
    }
}

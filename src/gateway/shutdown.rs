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
//! | [`CLOSING_IDLE_PERIOD`] later | | a platform gateway has answered all requests |
//!
//! A platform gateway serves open connections for as long as possible: after its service period, only the
//! later phases and a safety margin remain before SIGKILL. Clients keep using their open connections. Closing
//! these connections earlier would leave the clients without a gateway, and the platform would not restart
//! the gateway any sooner. The service period of an object gateway is [`ACCEPT_PERIOD`].

use crate::transport::LifecyclePhase;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after the signal during which new connections are accepted. It must be between 0.4 s and 0.7 s:
/// according to the Protocol page ("Figures"), new connections arrive for up to 0.4 s after SIGTERM, and only
/// requests from the first 0.7 s after SIGTERM have their full deadline before SIGKILL.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Duration of the `FinalResponses` phase, after which idle connections are closed.
const FINAL_RESPONSES_PERIOD: Duration = Duration::from_millis(300);
/// Time from the start of the `ClosingIdle` phase until a platform gateway must have answered all requests.
const CLOSING_IDLE_PERIOD: Duration = Duration::from_millis(300);
/// Cap on the request deadline in the platform's formula for the earliest SIGKILL: min(longest deadline, this
/// cap) + [`ACCEPT_PERIOD`] after SIGTERM (Protocol page, "Figures").
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Safety margin between the time by which all requests must have been answered and the earliest SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(200);

/// Runs the shutdown. Stores the length of the service period and, once the shutdown has started, the
/// response deadline.
pub struct ShutdownSchedule {
    /// Time from the signal until the `FinalResponses` phase starts.
    service_period: Cell<Duration>,
    /// Time by which a platform gateway must answer all requests; `None` until the shutdown starts.
    response_deadline: Cell<Option<Instant>>,
}

impl ShutdownSchedule {
    /// Returns a schedule whose service period is [`ACCEPT_PERIOD`], so that the `Draining` phase has no
    /// duration.
    pub fn new() -> Self {
        ShutdownSchedule { service_period: Cell::new(ACCEPT_PERIOD), response_deadline: Cell::new(None) }
    }

    /// Returns the time by which a platform gateway must answer all requests, or `None` if the shutdown has
    /// not started.
    pub fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Extends the service period of a platform gateway so that all requests are answered [`SIGKILL_MARGIN`]
    /// before the platform's earliest SIGKILL. The time of this SIGKILL depends on `longest_deadline`, the
    /// longest deadline of any request class. The service period is never shorter than [`ACCEPT_PERIOD`].
    pub fn extend_service_period(&self, longest_deadline: Duration) {
        let min_time_to_sigkill = longest_deadline.min(MAX_COUNTED_DEADLINE) + ACCEPT_PERIOD;
        let min_time_after_service = SIGKILL_MARGIN + CLOSING_IDLE_PERIOD + FINAL_RESPONSES_PERIOD;
        self.service_period
            .set(min_time_to_sigkill.saturating_sub(min_time_after_service).max(ACCEPT_PERIOD));
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

//! The schedule of a graceful shutdown: its phases and how long each of them lasts.
//!
//! A shutdown starts at SIGTERM or SIGINT and has these steps, at the times of a [`PhaseSchedule`]:
//!
//! | starts | phase | effect |
//! | --- | --- | --- |
//! | at the signal | `Terminating` | readiness checks fail; new connections are still accepted |
//! | `draining` | `Draining` | no connection is accepted; open ones are served |
//! | `final_responses` | `FinalResponses` | each response closes its connection |
//! | `closing_idle` | `ClosingIdle` | idle connections are closed as well |
//! | `answered` | | a platform gateway has answered all requests |
//!
//! A platform gateway serves open connections for as long as possible: after `final_responses`, only the later
//! phases and a safety margin remain before SIGKILL. Clients keep using their open connections. Closing these
//! connections earlier would leave the clients without a gateway, and the platform would not restart the
//! gateway any sooner. An object gateway has no `Draining` phase.

use crate::transport::LifecyclePhase;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum time after the signal during which new connections are accepted. According to the Protocol page
/// ("Figures"), only requests from the first 0.7 s after SIGTERM have their full deadline before SIGKILL.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// Minimum time after the signal during which new connections are accepted. According to the Protocol page
/// ("Figures"), new connections arrive for up to 0.4 s after SIGTERM.
const MIN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// Maximum duration of the `FinalResponses` phase, and maximum time from the start of the `ClosingIdle` phase
/// until a platform gateway must have answered all requests.
const MAX_CLOSING_PERIOD: Duration = Duration::from_millis(300);
/// Duration to which these two periods are shortened before the accept period is shortened as well.
const MIN_CLOSING_PERIOD: Duration = Duration::from_millis(100);
/// Cap on the request deadline in the platform's formula for the earliest SIGKILL: min(longest deadline, this
/// cap) + [`SIGKILL_DELAY`] after SIGTERM (Protocol page, "Figures").
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time from SIGTERM to SIGKILL in this formula, in addition to the deadline.
const SIGKILL_DELAY: Duration = Duration::from_millis(700);
/// Safety margin between the time by which all requests must have been answered and the earliest SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_millis(200);

/// The start of each phase of a shutdown, as the time since the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PhaseSchedule {
    draining: Duration,
    final_responses: Duration,
    closing_idle: Duration,
    /// Time by which a platform gateway must answer all requests.
    answered: Duration,
}

impl PhaseSchedule {
    /// Accepts connections for the whole accept period and has no `Draining` phase.
    const WITHOUT_DRAINING: PhaseSchedule = PhaseSchedule {
        draining: MAX_ACCEPT_PERIOD,
        final_responses: MAX_ACCEPT_PERIOD,
        closing_idle: MAX_ACCEPT_PERIOD.saturating_add(MAX_CLOSING_PERIOD),
        answered: MAX_ACCEPT_PERIOD.saturating_add(MAX_CLOSING_PERIOD).saturating_add(MAX_CLOSING_PERIOD),
    };

    /// Returns the schedule in which all requests are answered [`SIGKILL_MARGIN`] before the platform's
    /// earliest SIGKILL. The time of this SIGKILL depends on the longest deadline of any request class.
    fn before_sigkill(longest_deadline: Duration) -> Self {
        let sigkill = longest_deadline.min(MAX_COUNTED_DEADLINE) + SIGKILL_DELAY;
        let answered = sigkill.saturating_sub(SIGKILL_MARGIN);
        let latest_draining = answered.saturating_sub(2 * MIN_CLOSING_PERIOD);
        let draining = latest_draining.clamp(MIN_ACCEPT_PERIOD, MAX_ACCEPT_PERIOD);
        let closing_period = (answered.saturating_sub(draining) / 2).min(MAX_CLOSING_PERIOD);
        let final_responses = answered.saturating_sub(2 * closing_period);
        PhaseSchedule { draining, final_responses, closing_idle: final_responses + closing_period, answered }
    }
}

/// Runs the shutdown. Stores the schedule and, once the shutdown has started, the response deadline.
pub struct ShutdownSchedule {
    phases: Cell<PhaseSchedule>,
    /// Time by which a platform gateway must answer all requests; `None` until the shutdown starts.
    response_deadline: Cell<Option<Instant>>,
}

impl ShutdownSchedule {
    /// Returns the schedule of an object gateway, which does not depend on the time of SIGKILL.
    pub fn new() -> Self {
        ShutdownSchedule {
            phases: Cell::new(PhaseSchedule::WITHOUT_DRAINING),
            response_deadline: Cell::new(None),
        }
    }

    /// Returns the time by which a platform gateway must answer all requests, or `None` if the shutdown has
    /// not started.
    pub fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Replaces the schedule by that of a platform gateway: all requests are answered [`SIGKILL_MARGIN`]
    /// before the platform's earliest SIGKILL. The time of this SIGKILL depends on `longest_deadline`, the
    /// longest deadline of any request class.
    pub fn answer_before_sigkill(&self, longest_deadline: Duration) {
        self.phases.set(PhaseSchedule::before_sigkill(longest_deadline));
    }

    /// Starts the shutdown and advances `phase` up to [`LifecyclePhase::ClosingIdle`].
    pub async fn run(&self, phase: &watch::Sender<LifecyclePhase>) {
        let signal_at = Instant::now();
        let phases = self.phases.get();
        self.response_deadline.set(Some(signal_at + phases.answered));
        phase.send_replace(LifecyclePhase::Terminating);
        tokio::time::sleep_until(signal_at + phases.draining).await;
        phase.send_replace(LifecyclePhase::Draining);
        tokio::time::sleep_until(signal_at + phases.final_responses).await;
        phase.send_replace(LifecyclePhase::FinalResponses);
        tokio::time::sleep_until(signal_at + phases.closing_idle).await;
        phase.send_replace(LifecyclePhase::ClosingIdle);
    }
}

#[cfg(test)]
mod tests;

use super::{PhaseSchedule, ShutdownSchedule};
use crate::transport::LifecyclePhase;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The platform's earliest SIGKILL, as the time since SIGTERM (Protocol page, "Figures").
fn earliest_sigkill(longest_deadline: Duration) -> Duration {
    longest_deadline.min(Duration::from_secs(3)) + Duration::from_millis(700)
}

/// With a longest deadline under 0.8 s, the gateway kept requests until after SIGKILL or its safety margin.
#[test]
fn requests_are_answered_before_sigkill_however_short_the_deadlines_are() {
    for deadline_ms in (0..5_000).step_by(50) {
        let longest_deadline = Duration::from_millis(deadline_ms);
        let phases = PhaseSchedule::before_sigkill(longest_deadline);
        let PhaseSchedule { draining, final_responses, closing_idle, answered } = phases;
        let margin = Duration::from_millis(200);
        assert_eq!(answered + margin, earliest_sigkill(longest_deadline), "{deadline_ms} ms");
        assert!(draining >= Duration::from_millis(400), "new connections arrive for 0.4 s: {phases:?}");
        assert!(draining <= Duration::from_millis(700), "{phases:?}");
        assert!(draining <= final_responses && final_responses < closing_idle, "{phases:?}");
        assert!(closing_idle < answered, "{phases:?}");
    }
}

/// Runs a shutdown and returns the last phase with the milliseconds from the signal to its start, and those
/// to the response deadline.
async fn run_shutdown(longest_deadline: Duration) -> (LifecyclePhase, u128, u128) {
    let schedule = ShutdownSchedule::new();
    schedule.answer_before_sigkill(longest_deadline);
    let (sender, phase) = watch::channel(LifecyclePhase::Serving);
    let signal_at = Instant::now();
    schedule.run(&sender).await;
    let response_deadline = schedule.response_deadline().unwrap() - signal_at;
    (*phase.borrow(), signal_at.elapsed().as_millis(), response_deadline.as_millis())
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_follows_its_schedule() {
    let short = run_shutdown(Duration::from_millis(400)).await;
    assert_eq!(short, (LifecyclePhase::ClosingIdle, 800, 900));
    let long = run_shutdown(Duration::from_secs(4)).await;
    assert_eq!(long, (LifecyclePhase::ClosingIdle, 3_200, 3_500));
}

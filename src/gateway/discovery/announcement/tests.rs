use super::PollAttempt;
use std::time::Duration;
use tokio::time::Instant;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns the time from the start of a poll to the announcement of what it missed.
fn announced_after(
    failed_after: Duration,
    wait: Option<Duration>,
    reloaded_before: Option<Duration>,
) -> Duration {
    let started_at = Instant::now() + seconds(60);
    let pending_reload_at = reloaded_before.map(|before| started_at - before);
    let attempt = PollAttempt { started_at, wait, pending_reload_at };
    attempt.missed_changes_announced_at(started_at + failed_after) - started_at
}

/// The time that a failed poll took was added to the time until the next one.
#[test]
fn the_announcement_is_counted_from_the_start_of_a_poll() {
    assert_eq!(announced_after(seconds(0), None, None), seconds(6));
    assert_eq!(announced_after(seconds(2), Some(seconds(20)), None), seconds(6));
}

/// A watch that was open has told all changes until it failed.
#[test]
fn a_watch_that_was_open_has_missed_nothing() {
    assert_eq!(announced_after(seconds(10), Some(seconds(20)), None), seconds(16));
    assert_eq!(announced_after(seconds(19), Some(seconds(20)), None), seconds(22));
}

/// After SIGHUP, changes count as announced earlier than after another failed poll.
#[test]
fn the_announcement_after_a_reload_is_counted_from_sighup() {
    assert_eq!(announced_after(seconds(2), Some(seconds(20)), Some(seconds(0))), seconds(4));
    assert_eq!(announced_after(seconds(2), Some(seconds(20)), Some(seconds(1))), seconds(3));
}

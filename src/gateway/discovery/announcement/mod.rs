//! Computes when the platform considers changes announced that a failed poll may have missed.

use std::time::Duration;
use tokio::time::Instant;

/// Time from a change to its announcement, if discovery could be reached ("A Fixed Test for All Future
/// Versions of the Gateway").
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(6);
/// Time from the end of a watch's wait to the announcement of the changes that the watch missed (Protocol
/// page, "Figures").
const WATCH_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(2);
/// Time from SIGHUP to the announcement of what discovery has to tell (Terms of service page, "New
/// configurations and restarts").
const RELOAD_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(4);

/// A poll that is in progress or has failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollAttempt {
    pub(super) started_at: Instant,
    /// Time for which a watch waits for changes; `None` for a request for the complete list.
    pub(super) wait: Option<Duration>,
    /// Time of the last reload of the configuration, if no list has been received since.
    pub(super) pending_reload_at: Option<Instant>,
}

impl PollAttempt {
    /// Returns the earliest time at which a change that the poll missed may count as announced, if the poll
    /// failed at `failed_at`.
    ///
    /// A call waits its turn at discovery before it fails, so that it may have missed all changes since its
    /// start. If it took longer than the announcement delay, it was a watch that was open until it failed.
    pub(super) fn missed_changes_announced_at(&self, failed_at: Instant) -> Instant {
        let was_open_watch = failed_at.saturating_duration_since(self.started_at) >= ANNOUNCEMENT_DELAY;
        let missed_since = if was_open_watch { failed_at } else { self.started_at };
        let after_change = missed_since + ANNOUNCEMENT_DELAY;
        let after_wait = self.wait.map(|wait| self.started_at + wait + WATCH_ANNOUNCEMENT_DELAY);
        let after_reload = self.pending_reload_at.map(|reloaded_at| reloaded_at + RELOAD_ANNOUNCEMENT_DELAY);
        [after_wait, after_reload].into_iter().flatten().fold(after_change, Instant::min)
    }
}

#[cfg(test)]
mod tests;

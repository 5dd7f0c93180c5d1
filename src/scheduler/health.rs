//! The health of a node: consecutive failures, the backoff after them, and attempts that are presumed lost.

use super::Scheduler;

/// An attempt that takes so many times what is expected may be lost.
pub(super) const LOST_AFTER_FACTOR: f64 = 5.0;
/// The backoff doubles up to so many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// How long a node is left alone after failures, in microseconds.
#[derive(Clone, Copy)]
pub(super) struct Backoff {
    /// After the first failure; it doubles with each further one.
    pub(super) initial_us: u64,
    /// At most.
    pub(super) max_us: u64,
}

/// The health of a node.
#[derive(Default)]
pub(super) struct NodeHealth {
    consecutive_failures: u32,
    backoff_until_us: u64,
    /// The total duration of the attempts that have timed out since the last success, in microseconds.
    unanswered_us: f64,
    /// How long the oldest attempt in flight has been so, in microseconds.
    pub(super) oldest_in_flight_us: f64,
}

impl NodeHealth {
    /// Whether the node's latest attempts failed.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the node may be sent an attempt again.
    pub(super) fn backoff_is_over(&self, now_us: u64) -> bool {
        now_us >= self.backoff_until_us
    }

    /// When the backoff ends.
    pub(super) fn backoff_until_us(&self) -> u64 {
        self.backoff_until_us
    }

    /// Records that an attempt succeeded.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.unanswered_us = 0.0;
    }

    /// Records that an attempt timed out after this long; returns the total duration of the attempts that
    /// have timed out since the last success, in microseconds.
    pub(super) fn record_timeout(&mut self, latency_us: u64) -> f64 {
        self.unanswered_us += latency_us as f64;
        self.unanswered_us
    }

    /// Records a failure, which starts a backoff. The first ones are short: a single broken connection says
    /// little of its node, and a pause as long as the objective would fail everything that is queued.
    pub(super) fn record_failure(&mut self, now_us: u64, backoff: Backoff) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until_us = now_us + (backoff.initial_us << doublings).min(backoff.max_us);
    }
}

impl Scheduler {
    /// EXCEPTION: an attempt that takes several times what is expected, while others at its node have since
    /// succeeded, is presumed lost, and no longer fills the window; so is one in flight alone at twice that
    /// time. Guards against answers that are lost on the way, hung workers, and stalled or partitioned nodes;
    /// may overfill a node where a few requests cost far more than their size tells, or that merely pauses.
    pub(super) fn mark_lost_attempts(&mut self) {
        for node in &mut self.nodes {
            node.health.oldest_in_flight_us = 0.0;
        }
        for request in self.requests.values_mut() {
            let units = request.units;
            let Some(attempt) = request.attempt_in_flight_mut() else { continue };
            let node = &mut self.nodes[attempt.node];
            let elapsed_us = (self.now_us - attempt.sent_at_us) as f64;
            node.health.oldest_in_flight_us = node.health.oldest_in_flight_us.max(elapsed_us);
            let ratio = elapsed_us / node.expected_latency_us(units).max(1.0);
            let is_alone = node.in_flight == node.presumed_lost + 1 && !node.health.is_failing();
            let was_overtaken = node.successes >= attempt.node_successes + 2;
            let is_lost =
                (is_alone && ratio > 2.0 * LOST_AFTER_FACTOR) || (was_overtaken && ratio > LOST_AFTER_FACTOR);
            if is_lost && !attempt.presumed_lost {
                attempt.presumed_lost = true;
                node.presumed_lost += 1;
            }
        }
    }
}

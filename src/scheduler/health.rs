//! The health of a node: consecutive failures, the backoff after them, and attempts that are presumed lost.

use super::Scheduler;

/// An attempt that takes so many times what is expected may be lost.
pub(super) const LOST_AFTER_FACTOR: f64 = 5.0;
/// The exponent of the backoff grows up to this.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The health of a node.
#[derive(Default)]
pub(super) struct NodeHealth {
    consecutive_failures: u32,
    retry_at_us: u64,
    /// How long attempts were in flight that ended unanswered since the last answer, in microseconds.
    unanswered_us: f64,
    /// How long the oldest attempt in flight has been so, in microseconds.
    pub(super) oldest_in_flight_us: f64,
}

impl NodeHealth {
    /// Whether the node's latest attempts failed.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the backoff is over.
    pub(super) fn may_be_tried(&self, now_us: u64) -> bool {
        now_us >= self.retry_at_us
    }

    /// When the backoff is over.
    pub(super) fn retry_at_us(&self) -> u64 {
        self.retry_at_us
    }

    /// Records that the node answered.
    pub(super) fn record_answer(&mut self) {
        self.consecutive_failures = 0;
        self.unanswered_us = 0.0;
    }

    /// Records that an attempt ended unanswered after this long; returns how long such attempts took since
    /// the last answer, in microseconds.
    pub(super) fn record_silence(&mut self, latency_us: u64) -> f64 {
        self.unanswered_us += latency_us as f64;
        self.unanswered_us
    }

    /// Records a failure: the node is tried again after a backoff that doubles each time. The first ones are
    /// short: a single connection that broke says little of its node, and a pause as long as the objective
    /// fails everything that is queued.
    pub(super) fn record_failure(&mut self, now_us: u64, initial_backoff_us: u64, max_backoff_us: u64) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.retry_at_us = now_us + (initial_backoff_us << doublings).min(max_backoff_us);
    }
}

impl Scheduler {
    /// EXCEPTION: an attempt that takes several times what is expected, while the node has since answered
    /// others, is presumed lost, and no longer fills the window; so is one in flight alone at twice that
    /// time. Guards against answers that vanish on the way, hung workers, and stalled or partitioned nodes;
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
            let elapsed_ratio = elapsed_us / node.expected_latency(units).max(1.0);
            let is_alone = node.in_flight == node.presumed_lost + 1 && !node.health.is_failing();
            let was_overtaken = node.answers >= attempt.node_answers + 2;
            let is_lost = (is_alone && elapsed_ratio > 2.0 * LOST_AFTER_FACTOR)
                || (was_overtaken && elapsed_ratio > LOST_AFTER_FACTOR);
            if is_lost && !attempt.presumed_lost {
                attempt.presumed_lost = true;
                node.presumed_lost += 1;
            }
        }
    }
}

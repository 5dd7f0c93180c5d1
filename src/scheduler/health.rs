//! The health of a node: consecutive failures, the backoff after them, and the detection of lost attempts.

use super::Scheduler;

/// Multiple of the expected latency of an attempt after which the attempt may be presumed lost.
pub(super) const LOST_AFTER_FACTOR: f64 = 5.0;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The time for which a node is sent no attempts after a failure, in microseconds.
#[derive(Clone, Copy)]
pub(super) struct Backoff {
    /// Backoff after the first failure; doubles with each consecutive failure.
    pub(super) initial_us: u64,
    /// Upper bound of the backoff.
    pub(super) max_us: u64,
}

/// The failures and timeouts of a node since its last success, and its backoff.
#[derive(Default)]
pub(super) struct NodeHealth {
    consecutive_failures: u32,
    backoff_until_us: u64,
    /// Total duration of the attempts that have timed out since the last success, in microseconds.
    total_timed_out_us: f64,
    /// Time since the sending of the oldest attempt that is in flight at the node, including attempts
    /// presumed lost, in microseconds; 0 if none is in flight. Updated by [`Scheduler::mark_lost_attempts`].
    pub(super) oldest_attempt_age_us: f64,
}

impl NodeHealth {
    /// Returns whether a failure has been recorded since the last success.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns whether the backoff has ended; true for a node that has not failed.
    pub(super) fn backoff_is_over(&self, now_us: u64) -> bool {
        now_us >= self.backoff_until_us
    }

    /// Returns the time at which the backoff ends; 0 for a node that has not failed.
    pub(super) fn backoff_until_us(&self) -> u64 {
        self.backoff_until_us
    }

    /// Records that an attempt succeeded: resets the failure count and the total duration of timeouts. A
    /// backoff in progress still runs to its end.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.total_timed_out_us = 0.0;
    }

    /// Records that an attempt timed out after `latency_us`. Returns the total duration of the attempts
    /// that have timed out since the last success, in microseconds.
    pub(super) fn record_timeout(&mut self, latency_us: u64) -> f64 {
        self.total_timed_out_us += latency_us as f64;
        self.total_timed_out_us
    }

    /// Records a failure, which starts a backoff. The first backoffs are short, because a single broken
    /// connection says little about the health of its node, and a backoff as long as the latency objective
    /// would make every queued request fail.
    pub(super) fn record_failure(&mut self, now_us: u64, backoff: Backoff) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until_us = now_us + (backoff.initial_us << doublings).min(backoff.max_us);
    }
}

impl Scheduler {
    /// Marks attempts that are presumed lost, and updates the age of each node's oldest attempt in flight.
    ///
    /// Deviation from the paper: an attempt that takes longer than [`LOST_AFTER_FACTOR`] times its expected
    /// latency is presumed lost if at least two attempts sent to its node have succeeded since it was sent.
    /// An attempt that is the only one in flight at its node, apart from lost ones, is presumed lost after
    /// twice [`LOST_AFTER_FACTOR`] times its expected latency, unless the node is failing. Lost attempts no
    /// longer occupy slots of the concurrency window. This guards against responses lost in the network, hung
    /// workers, and stalled or partitioned nodes. It may overload a node that only pauses, or at which a few
    /// requests cost far more than their size suggests.
    pub(super) fn mark_lost_attempts(&mut self) {
        for node in &mut self.nodes {
            node.health.oldest_attempt_age_us = 0.0;
        }
        for request in self.requests.values_mut() {
            let units = request.units;
            let Some(attempt) = request.attempt_in_flight_mut() else { continue };
            let node = &mut self.nodes[attempt.node];
            let elapsed_us = (self.now_us - attempt.sent_at_us) as f64;
            node.health.oldest_attempt_age_us = node.health.oldest_attempt_age_us.max(elapsed_us);
            let latency_ratio = elapsed_us / node.expected_latency_us(units).max(1.0);
            let is_only_attempt_at_healthy_node =
                node.in_flight == node.presumed_lost + 1 && !node.health.is_failing();
            let was_overtaken = node.successes >= attempt.node_successes + 2;
            let is_lost = (is_only_attempt_at_healthy_node && latency_ratio > 2.0 * LOST_AFTER_FACTOR)
                || (was_overtaken && latency_ratio > LOST_AFTER_FACTOR);
            if is_lost && !attempt.presumed_lost {
                attempt.presumed_lost = true;
                node.presumed_lost += 1;
            }
        }
    }
}

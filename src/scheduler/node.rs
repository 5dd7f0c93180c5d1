//! Tracks the state of a storage node at this gateway.

use super::concurrency_window::{AVERAGING_WEIGHT, ConcurrencyWindow, Pacing};
use super::event::{Endpoint, EndpointState, NodeId, ShardId, ZoneId};
use super::fair_queue::FairQueue;
use super::health::{Backoff, NodeHealth};
use super::slow_start::SlowStartBucket;

/// If the expected latency exceeds this fraction of the tightest latency objective, the node's concurrency
/// window shrinks.
const WINDOW_SHRINK_OBJECTIVE_FRACTION: f64 = 0.18;

/// The index of a node in the scheduler's list of nodes. The index remains valid: a node that is missing from
/// the endpoint list is only marked as removed and stays in the scheduler's list.
pub(super) type NodeIndex = usize;

/// The state of a storage node at this gateway.
pub(super) struct NodeState {
    pub(super) id: NodeId,
    pub(super) zone: ZoneId,
    pub(super) shard: ShardId,
    pub(super) state: EndpointState,
    /// The time at which the grace period of a draining node ends; until then the node may be sent work. 0 if
    /// the node has no grace period.
    pub(super) drain_grace_ends_at_us: u64,
    /// When the node's process started, according to the endpoint list; `None` if that was long ago.
    pub(super) started_at_us: Option<u64>,
    pub(super) window: ConcurrencyWindow,
    pub(super) pacing: Pacing,
    pub(super) health: NodeHealth,
    pub(super) slow_start: SlowStartBucket,
    pub(super) fair_queue: FairQueue,
    /// The number of attempts that were sent to the node and have not been reported as ended, including those
    /// presumed lost.
    pub(super) in_flight: u32,
    /// The number of attempts in flight that are presumed lost.
    pub(super) presumed_lost: u32,
    /// The number of attempts that have succeeded since the node was first listed, including those of earlier
    /// processes.
    pub(super) successes: u64,
    /// The moving average of the latency beyond the service time, in microseconds. The two are tracked
    /// separately, so that large requests do not raise the latency that is expected for small ones.
    queueing_delay_us: f64,
    /// An estimate of the service time, in microseconds per unit: the 12.5th percentile of the recent
    /// latencies per unit; 0 if unknown.
    pub(super) service_time_per_unit_us: f64,
    /// The number of requests, in process or queued, that the node last reported; 0 if it has reported none.
    pub(super) reported_requests: f64,
}

/// Deployment-wide values that the adjustment of a node's concurrency window depends on.
#[derive(Clone, Copy)]
pub(super) struct WindowParameters {
    /// The shortest latency objective of all classes, in microseconds.
    pub(super) tightest_objective_us: f64,
    /// The mean size of a request, in units.
    pub(super) mean_request_units: f64,
}

impl NodeState {
    /// Creates the state of a node that is new to this gateway. The node stays out of service until the
    /// caller applies the state of its endpoint.
    pub(super) fn new(endpoint: &Endpoint, slow_start: SlowStartBucket) -> Self {
        NodeState {
            id: endpoint.node.clone(),
            zone: endpoint.zone,
            shard: endpoint.shard,
            state: EndpointState::Removed,
            drain_grace_ends_at_us: 0,
            started_at_us: endpoint.started_at_us,
            window: ConcurrencyWindow::new(),
            pacing: Pacing::default(),
            health: NodeHealth::default(),
            slow_start,
            fair_queue: FairQueue::default(),
            in_flight: 0,
            presumed_lost: 0,
            successes: 0,
            queueing_delay_us: 0.0,
            service_time_per_unit_us: 0.0,
            reported_requests: 0.0,
        }
    }

    /// Returns the state of the node after its process has restarted. Latencies and failures of the previous
    /// process are discarded. Counts of attempts are preserved, because attempts that were sent to the
    /// previous process may still end.
    pub(super) fn after_restart(&self, endpoint: &Endpoint, slow_start: SlowStartBucket) -> Self {
        NodeState {
            window: ConcurrencyWindow::after_restart(),
            in_flight: self.in_flight,
            presumed_lost: self.presumed_lost,
            successes: self.successes,
            ..NodeState::new(endpoint, slow_start)
        }
    }

    /// Returns whether the node is in service and not draining.
    pub(super) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns whether the node may be sent work.
    ///
    /// Deviation from the paper: a draining node may be sent work for a part of the grace period that the
    /// platform's draining rule grants. Requests for the data of its shard cannot be sent to any other node
    /// until the node's successor is listed, which takes seconds.
    pub(super) fn accepts_work(&self, now_us: u64) -> bool {
        match self.state {
            EndpointState::Ready => true,
            EndpointState::Draining => now_us < self.drain_grace_ends_at_us,
            EndpointState::Removed => false,
        }
    }

    /// Returns whether the node may be sent one more attempt: the node accepts work, its backoff is over, and
    /// its concurrency window has a free slot. The concurrency window of a failing node has one slot.
    pub(super) fn has_capacity(&self, now_us: u64) -> bool {
        let max_in_flight = if self.health.is_failing() { 1.0 } else { self.window.limit() };
        self.accepts_work(now_us)
            && self.health.backoff_is_over(now_us)
            && f64::from(self.in_flight - self.presumed_lost) + 1.0 <= max_in_flight
    }

    /// Returns the expected latency of an attempt of this size, in microseconds.
    pub(super) fn expected_latency_us(&self, units: f64) -> f64 {
        self.queueing_delay_us + self.service_time_per_unit_us * units
    }

    /// Removes an attempt that has ended from the counts of attempts in flight.
    pub(super) fn release_attempt(&mut self, presumed_lost: bool) {
        self.in_flight -= 1;
        self.presumed_lost -= u32::from(presumed_lost);
    }

    /// Records that an attempt succeeded, and adjusts the concurrency window if at least the expected latency
    /// of a request of mean size has passed since the window's previous adjustment.
    pub(super) fn record_success(
        &mut self,
        now_us: u64,
        latency_us: u64,
        units: f64,
        parameters: WindowParameters,
    ) {
        let latency = latency_us as f64;
        let latency_per_unit = latency / units.max(1.0);
        let queueing_delay_us = (latency - self.service_time_per_unit_us * units).max(0.0);
        // After a failure, or at the first sample, the average restarts at half of the measured delay. The
        // sample is then added as usual.
        if self.health.is_failing() || self.window.has_no_samples() {
            self.queueing_delay_us = queueing_delay_us / 2.0;
            self.window.restart_recent_mean(latency_per_unit);
        }
        self.health.record_success();
        self.successes += 1;
        self.queueing_delay_us += AVERAGING_WEIGHT * (queueing_delay_us - self.queueing_delay_us);
        self.window.record(latency_per_unit);
        if !self.window.may_be_adjusted(now_us, self.expected_latency_us(parameters.mean_request_units)) {
            return;
        }
        self.service_time_per_unit_us = self.window.start_adjustment(now_us);
        let expected = self.expected_latency_us(parameters.mean_request_units);
        let expected_latency_is_high =
            expected > WINDOW_SHRINK_OBJECTIVE_FRACTION * parameters.tightest_objective_us;
        self.window.adjust(expected_latency_is_high, self.in_flight);
    }

    /// Records a failure of the node: its concurrency window shrinks to the minimum, and a backoff starts.
    pub(super) fn record_failure(&mut self, now_us: u64, backoff: Backoff) {
        self.window.reset_to_minimum();
        self.health.record_failure(now_us, backoff);
    }
}

//! What this gateway knows of a storage node.

use super::concurrency_window::{AVERAGING_WEIGHT, ConcurrencyWindow, Pacing};
use super::event::{Endpoint, EndpointState, NodeId, ShardId, ZoneId};
use super::fair_queue::FairQueue;
use super::health::{Backoff, NodeHealth};
use super::slow_start::SlowStartBucket;

/// Above this fraction of the tightest objective, the expected latency shrinks the node's window.
const SLOW_OBJECTIVE_FRACTION: f64 = 0.18;

/// The index of a node among those that the scheduler knows.
pub(super) type NodeIndex = usize;

/// A storage node as this gateway sees it.
pub(super) struct NodeState {
    pub(super) id: NodeId,
    pub(super) zone: ZoneId,
    pub(super) shard: ShardId,
    pub(super) state: EndpointState,
    /// While it is draining: until when it may be sent work; 0 if there is no grace.
    pub(super) drain_until_us: u64,
    /// When its process started, as listed, unless that was long ago.
    pub(super) started_at_us: Option<u64>,
    pub(super) window: ConcurrencyWindow,
    pub(super) pacing: Pacing,
    pub(super) health: NodeHealth,
    pub(super) slow_start: SlowStartBucket,
    pub(super) fair_queue: FairQueue,
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// Attempts in flight whose answers are presumed lost.
    pub(super) presumed_lost: u32,
    /// Attempts that have succeeded so far.
    pub(super) successes: u64,
    /// The moving average of the latency beyond the service time, in microseconds. Kept apart from the
    /// service time, so that large requests do not make small ones look late.
    queueing_delay_us: f64,
    /// The service time, in microseconds per unit: the fastest eighth of the samples.
    pub(super) service_time_per_unit_us: f64,
    /// Requests that the node last reported to work on or to have queued.
    pub(super) reported_requests: f64,
}

/// The figures of the deployment that a node's window is adjusted by.
#[derive(Clone, Copy)]
pub(super) struct ServiceScale {
    /// The tightest objective of all classes, in microseconds.
    pub(super) tightest_objective_us: f64,
    /// The mean size of a request, in units.
    pub(super) mean_request_units: f64,
}

impl NodeState {
    /// A node that this gateway has not known before. Its zone, shard and state follow from its endpoint.
    pub(super) fn new(endpoint: &Endpoint, slow_start: SlowStartBucket) -> Self {
        NodeState {
            id: endpoint.node.clone(),
            zone: endpoint.zone,
            shard: endpoint.shard,
            state: EndpointState::Removed,
            drain_until_us: 0,
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

    /// The node after its process has restarted: what was learnt of the process before it, and held against
    /// it, is past, but attempts at that one may still end.
    pub(super) fn after_restart(&self, endpoint: &Endpoint, slow_start: SlowStartBucket) -> Self {
        NodeState {
            window: ConcurrencyWindow::after_restart(),
            in_flight: self.in_flight,
            presumed_lost: self.presumed_lost,
            successes: self.successes,
            ..NodeState::new(endpoint, slow_start)
        }
    }

    /// Whether the node is in service and not draining.
    pub(super) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether the node may be sent work. EXCEPTION: one that is draining may be, for a part of the rule's
    /// grace, as what is bound to its shard has nowhere else to go until its successor is listed, seconds
    /// later.
    pub(super) fn accepts_work(&self, now_us: u64) -> bool {
        match self.state {
            EndpointState::Ready => true,
            EndpointState::Draining => now_us < self.drain_until_us,
            EndpointState::Removed => false,
        }
    }

    /// Whether the node may be sent one more attempt: it accepts work, its backoff is over, and its window
    /// (one attempt while it is failing) has a free slot.
    pub(super) fn has_capacity(&self, now_us: u64) -> bool {
        let max_in_flight = if self.health.is_failing() { 1.0 } else { self.window.limit() };
        self.accepts_work(now_us)
            && self.health.backoff_is_over(now_us)
            && f64::from(self.in_flight - self.presumed_lost) + 1.0 <= max_in_flight
    }

    /// What an attempt of this size is likely to take, in microseconds.
    pub(super) fn expected_latency_us(&self, units: f64) -> f64 {
        self.queueing_delay_us + self.service_time_per_unit_us * units
    }

    /// Handles the end of an attempt.
    pub(super) fn release_attempt(&mut self, presumed_lost: bool) {
        self.in_flight -= 1;
        self.presumed_lost -= u32::from(presumed_lost);
    }

    /// Records that an attempt succeeded.
    pub(super) fn record_success(&mut self, now_us: u64, latency_us: u64, units: f64, scale: ServiceScale) {
        let latency = latency_us as f64;
        let latency_per_unit = latency / units.max(1.0);
        let queueing_delay = (latency - self.service_time_per_unit_us * units).max(0.0);
        if self.health.is_failing() || self.window.has_no_samples() {
            self.queueing_delay_us = queueing_delay / 2.0;
            self.window.restart_recent_mean(latency_per_unit);
        }
        self.health.record_success();
        self.successes += 1;
        self.queueing_delay_us += AVERAGING_WEIGHT * (queueing_delay - self.queueing_delay_us);
        self.window.record(latency_per_unit);
        if !self.window.adjustment_is_due(now_us, self.expected_latency_us(scale.mean_request_units)) {
            return;
        }
        self.service_time_per_unit_us = self.window.update_median(now_us);
        let expected = self.expected_latency_us(scale.mean_request_units);
        let uses_up_objective = expected > SLOW_OBJECTIVE_FRACTION * scale.tightest_objective_us;
        self.window.adjust(uses_up_objective, self.in_flight);
    }

    /// Records a failure of the node: its window starts anew, and the next attempt waits for a backoff.
    pub(super) fn record_failure(&mut self, now_us: u64, backoff: Backoff) {
        self.window.collapse();
        self.health.record_failure(now_us, backoff);
    }
}

//! The end of an attempt: what is learnt of its node and its volume, and what becomes of the request.

use super::Scheduler;
use super::action::Action;
use super::concurrency_window::{OVERLOAD_OBJECTIVE_FRACTION, PacingSignal};
use super::event::{AttemptOutcome, AttemptReport, RequestId};
use super::health::{Backoff, LOST_AFTER_FACTOR};
use super::node::ServiceScale;
use super::request::{AttemptInFlight, PossibleExecution};

/// After a rejection by a node, the backoff starts at this part of the pause, and grows up to so many pauses.
const REJECTION_BACKOFF_DIVISOR: u64 = 4;
const MAX_REJECTION_BACKOFF_PAUSES: u64 = 2;
/// After a broken connection, the backoff starts at this part of the pause, and grows up to so many times the
/// connect timeout.
const CONNECTION_BACKOFF_DIVISOR: u64 = 8;
const MAX_CONNECTION_BACKOFF_TIMEOUTS: u64 = 8;
/// After timeouts, the backoff starts at this part of the connect timeout, and grows up to so many times it.
const TIMEOUT_BACKOFF_DIVISOR: u64 = 4;
const MAX_TIMEOUT_BACKOFF_TIMEOUTS: u64 = 2;
/// The pause after a failure is at most this part of the tightest objective.
const PAUSE_OBJECTIVE_DIVISOR: u64 = 3;

impl Scheduler {
    /// Handles the end of an attempt.
    pub(super) fn end_attempt(&mut self, report: &AttemptReport, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&report.request);
        let Some(attempt) = request.and_then(|request| request.take_attempt()) else { return };
        self.record_served_units(report, &attempt);
        self.record_possible_execution(report, &attempt);
        self.record_volume_rates(report);
        self.record_load_report(report, &attempt);
        self.adjust_pacing(report, &attempt);
        self.nodes[attempt.node].release_attempt(attempt.presumed_lost);
        self.record_outcome(report, &attempt);
        self.conclude(report, actions);
    }

    /// What a node served while it was warm tells what it may be sent the next time that it warms up.
    fn record_served_units(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let node = &self.nodes[attempt.node];
        let succeeded = report.outcome == AttemptOutcome::Succeeded;
        if succeeded && self.slow_start.is_warm(node, self.now_us) {
            let units = self.requests[&report.request].units;
            self.slow_start.record_served(node.shard, units, self.now_us);
        }
    }

    fn record_possible_execution(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let may_still_run = matches!(
            report.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if may_still_run || report.outcome == AttemptOutcome::Failed {
            let execution = PossibleExecution { node: attempt.node, sent_at_us: attempt.sent_at_us };
            self.requests[&report.request].possible_execution.get_or_insert(execution);
        }
        if may_still_run {
            self.delay_block(report.request);
        }
    }

    /// Records what the report tells of the volume's service through other gateways.
    fn record_volume_rates(&mut self, report: &AttemptReport) {
        let request = &self.requests[&report.request];
        let plan = self.settings.plan(request.plan);
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return };
        volume.advance(plan, self.now_us, self.settings.max_request_units);
        if self.settings.reports_other_gateways {
            volume.record_served_elsewhere(report.units_via_other_gateways);
        }
        let metered = report.volume_rate_percent.filter(|_| self.settings.metering_period_us.is_some());
        if let Some(percent) = metered {
            volume.record_metered(percent, plan);
        }
    }

    fn record_load_report(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        if let Some(in_flight) = report.load.in_flight {
            self.nodes[attempt.node].reported_requests = in_flight + report.load.queued.unwrap_or(0.0);
        }
    }

    /// Adjusts the pacing of the attempt's node by how long the attempt took beyond its service.
    fn adjust_pacing(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let tightest_objective_us = self.tightest_objective_us;
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        // The service time is the fastest eighth of the samples; twice that approximates the mean. Without
        // the factor a large request would look as if it had been queued.
        let excess_latency_us =
            (report.latency_us as f64 - 2.0 * node.service_time_per_unit_us * units).max(0.0);
        // A cancelled or timed-out attempt gives only a lower bound, so it counts only if that is already an
        // overload.
        let was_cut = matches!(report.outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut)
            && excess_latency_us > OVERLOAD_OBJECTIVE_FRACTION * tightest_objective_us;
        if !was_cut && report.outcome != AttemptOutcome::Succeeded {
            return;
        }
        // The longest queue to spread out: a mean request from each gateway, less what is served within the
        // objective.
        let fleet_service_us = self.settings.gateway_count as f64
            * node.service_time_per_unit_us
            * self.settings.mean_request_units;
        node.pacing.adjust(&PacingSignal {
            excess_latency_us,
            tightest_objective_us,
            max_interval_us: (fleet_service_us - tightest_objective_us).max(0.0),
            window_is_minimal: node.window.is_minimal() && node.service_time_per_unit_us > 0.0,
            failing: node.health.is_failing(),
        });
    }

    /// Records what the outcome tells of the node's health and latency.
    fn record_outcome(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let now_us = self.now_us;
        let (rejection, connection, timeout) =
            (self.rejection_backoff(), self.connection_backoff(), self.timeout_backoff());
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        // A timeout or a broken connection counts against the node only if no attempt at it has succeeded
        // since.
        let succeeded_since = node.successes != attempt.node_successes;
        match report.outcome {
            AttemptOutcome::Succeeded => self.record_success(report, attempt),
            AttemptOutcome::Rejected => {
                // If the node is draining, its grace is over.
                node.drain_until_us = 0;
                node.record_failure(now_us, rejection);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset if !succeeded_since => {
                node.record_failure(now_us, connection);
            }
            // A timeout at the objective may have been very short. The node counts as failing only when its
            // timeouts since the last success add up to more than a lost attempt takes.
            AttemptOutcome::TimedOut if !succeeded_since => {
                let unanswered_us = node.health.record_timeout(report.latency_us);
                if unanswered_us > LOST_AFTER_FACTOR * node.expected_latency_us(units) {
                    node.record_failure(now_us, timeout);
                }
            }
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }

    fn rejection_backoff(&self) -> Backoff {
        let pause_us = self.failure_pause_us();
        Backoff {
            initial_us: pause_us / REJECTION_BACKOFF_DIVISOR,
            max_us: MAX_REJECTION_BACKOFF_PAUSES * pause_us,
        }
    }

    fn connection_backoff(&self) -> Backoff {
        Backoff {
            initial_us: self.failure_pause_us() / CONNECTION_BACKOFF_DIVISOR,
            max_us: MAX_CONNECTION_BACKOFF_TIMEOUTS * self.connect_time_us(),
        }
    }

    fn timeout_backoff(&self) -> Backoff {
        let connect_us = self.connect_time_us();
        Backoff {
            initial_us: connect_us / TIMEOUT_BACKOFF_DIVISOR,
            max_us: MAX_TIMEOUT_BACKOFF_TIMEOUTS * connect_us,
        }
    }

    /// How long connections may take, at least one batch.
    fn connect_time_us(&self) -> u64 {
        self.settings.connect_timeout_us.max(self.settings.batch_interval_us)
    }

    /// The unit of short backoffs: the connect timeout, or a part of the tightest objective if that is
    /// shorter.
    fn failure_pause_us(&self) -> u64 {
        let objective_us = self.tightest_objective_us as u64;
        let pause_us = self.connect_time_us().min(objective_us / PAUSE_OBJECTIVE_DIVISOR);
        pause_us.max(self.settings.batch_interval_us)
    }

    /// Records the latency of an attempt that succeeded.
    fn record_success(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let scale = ServiceScale {
            tightest_objective_us: self.tightest_objective_us,
            mean_request_units: self.settings.mean_request_units,
        };
        let request = &self.requests[&report.request];
        let node = &mut self.nodes[attempt.node];
        node.record_success(self.now_us, report.latency_us, request.units, scale);
        // A request that was sent behind others waited for them, which says nothing of its class.
        let is_representative = request.reserved || !request.sent_as_background;
        if !request.is_answered() && is_representative {
            let latency_us = self.now_us - request.arrived_at_us;
            self.latency_models[request.class.0].record(self.now_us, latency_us);
        }
    }

    /// Finishes the request, gives it up, or queues it for a retry.
    fn conclude(&mut self, report: &AttemptReport, actions: &mut Vec<Action>) {
        let id = report.request;
        if report.complete || self.requests[&id].is_answered() {
            self.finish(id);
        } else if self.may_be_retried(id, report.outcome) {
            self.enqueue(id);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    fn may_be_retried(&self, id: RequestId, outcome: AttemptOutcome) -> bool {
        let request = &self.requests[&id];
        let attempts_are_spent = self.settings.max_attempts.is_some_and(|max| request.attempts >= max);
        let timed_out_late = outcome == AttemptOutcome::TimedOut && self.now_us >= request.objective_at_us;
        let is_spent = attempts_are_spent || timed_out_late;
        !is_spent && outcome != AttemptOutcome::NotSent && self.may_be_sent(request)
    }
}

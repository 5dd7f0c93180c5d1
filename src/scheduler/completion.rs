//! Handles the end of an attempt: updates the state of its node and volume, and finishes, retries, rejects or
//! fails the request.

use super::Scheduler;
use super::action::Action;
use super::concurrency_window::{DELAY_TARGET_OBJECTIVE_FRACTION, PacingSignal};
use super::event::{AttemptOutcome, AttemptReport, RequestId};
use super::health::{Backoff, LOST_AFTER_FACTOR};
use super::node::WindowParameters;
use super::request::{AttemptInFlight, PossibleExecution};

/// Divisor of the base backoff ([`Scheduler::base_backoff_us`]) that gives the initial backoff after a
/// rejection by a node.
const REJECTION_BACKOFF_DIVISOR: u64 = 4;
/// Maximum backoff after rejections by a node, as a multiple of the base backoff.
const MAX_REJECTION_BACKOFF_FACTOR: u64 = 2;
/// Divisor of the base backoff that gives the initial backoff after a connection failed or broke.
const CONNECTION_BACKOFF_DIVISOR: u64 = 8;
/// Maximum backoff after connections failed or broke, as a multiple of the effective connect timeout
/// ([`Scheduler::effective_connect_timeout_us`]).
const MAX_CONNECTION_BACKOFF_FACTOR: u64 = 8;
/// Divisor of the effective connect timeout that gives the initial backoff after a timeout.
const TIMEOUT_BACKOFF_DIVISOR: u64 = 4;
/// Maximum backoff after timeouts, as a multiple of the effective connect timeout.
const MAX_TIMEOUT_BACKOFF_FACTOR: u64 = 2;
/// Divisor of the tightest latency objective that gives the maximum base backoff. The base backoff is raised
/// to the batch interval if that is longer.
const BASE_BACKOFF_OBJECTIVE_DIVISOR: u64 = 3;

impl Scheduler {
    /// Handles the end of an attempt. Does nothing if the request has no attempt in flight.
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
        self.finish_or_retry(report, actions);
    }

    /// If the attempt succeeded at a warm node, adds its units to the served rate of the node's shard, from
    /// which slow start derives the refill rate of the shard's next node.
    fn record_served_units(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let node = &self.nodes[attempt.node];
        let succeeded = report.outcome == AttemptOutcome::Succeeded;
        if succeeded && self.slow_start.is_warm(node, self.now_us) {
            let units = self.requests[&report.request].units;
            self.slow_start.record_served(node.shard, units, self.now_us);
        }
    }

    /// Records an attempt that may have executed its request. If the request may still be executing, also
    /// delays the other requests for its block that have not been sent yet.
    fn record_possible_execution(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let may_be_executing = matches!(
            report.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if may_be_executing || report.outcome == AttemptOutcome::Failed {
            let execution = PossibleExecution { node: attempt.node, sent_at_us: attempt.sent_at_us };
            self.requests[&report.request].possible_execution.get_or_insert(execution);
        }
        if may_be_executing {
            self.delay_block(report.request);
        }
    }

    /// Records the rate at which the volume is served through other gateways, if the node reports it.
    fn record_volume_rates(&mut self, report: &AttemptReport) {
        let request = &self.requests[&report.request];
        let plan = self.settings.plan(request.plan);
        let Some(volume) = self.volumes.get_mut(request.volume) else { return };
        volume.advance(plan, self.now_us, self.settings.max_request_units);
        if self.settings.nodes_report_other_gateways {
            volume.record_served_via_other_gateways(report.units_via_other_gateways);
        }
        let metered = report.volume_rate_percent.filter(|_| self.settings.metering_period_us.is_some());
        if let Some(percent) = metered {
            volume.set_rate_from_metering(percent, plan);
        }
    }

    fn record_load_report(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        if let Some(in_flight) = report.load.in_flight {
            self.nodes[attempt.node].reported_requests = in_flight + report.load.queued.unwrap_or(0.0);
        }
    }

    /// Adjusts the pacing of the attempt's node to the attempt's queueing delay: its latency beyond its mean
    /// service time.
    fn adjust_pacing(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let tightest_objective_us = self.tightest_objective_us;
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        // `service_time_per_unit_us` is the 12.5th percentile of the recent latencies per unit. Twice that
        // value approximates the mean service time per unit. Without the factor, the service time of a large
        // request would be mistaken for queueing.
        let queueing_delay_us =
            (report.latency_us as f64 - 2.0 * node.service_time_per_unit_us * units).max(0.0);
        // The latency of a cancelled or timed-out attempt is only a lower bound. It is used only if the
        // queueing delay computed from this bound already exceeds the target.
        let bound_exceeds_target =
            matches!(report.outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut)
                && queueing_delay_us > DELAY_TARGET_OBJECTIVE_FRACTION * tightest_objective_us;
        if !bound_exceeds_target && report.outcome != AttemptOutcome::Succeeded {
            return;
        }
        // Upper bound of the pacing interval: if every gateway sends one request of mean size, the node needs
        // `one_request_per_gateway_us` for all of them. A queueing time of up to the tightest objective is
        // acceptable, so the interval never has to be longer than the difference.
        let one_request_per_gateway_us = self.settings.gateway_count as f64
            * node.service_time_per_unit_us
            * self.settings.mean_request_units;
        node.pacing.adjust(&PacingSignal {
            queueing_delay_us,
            tightest_objective_us,
            max_interval_us: (one_request_per_gateway_us - tightest_objective_us).max(0.0),
            window_is_minimal: node.window.is_minimal() && node.service_time_per_unit_us > 0.0,
            node_is_failing: node.health.is_failing(),
        });
    }

    /// Updates the node's health and latency state according to the outcome of the attempt.
    fn record_outcome(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let now_us = self.now_us;
        let (rejection, connection, timeout) =
            (self.rejection_backoff(), self.connection_backoff(), self.timeout_backoff());
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        // A timeout or a connection failure counts as a failure of the node only if no attempt sent to the
        // node has succeeded since this one was sent.
        let succeeded_since = node.successes != attempt.node_successes;
        match report.outcome {
            AttemptOutcome::Succeeded => self.record_success(report, attempt),
            AttemptOutcome::Rejected => {
                // A rejection ends the grace period of a draining node.
                node.drain_grace_ends_at_us = 0;
                node.record_failure(now_us, rejection);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset if !succeeded_since => {
                node.record_failure(now_us, connection);
            }
            // An attempt that times out at its objective may have had very little time. The node counts as
            // failing only if the attempts that timed out since its last success lasted longer in total than
            // LOST_AFTER_FACTOR times the expected latency of this attempt.
            AttemptOutcome::TimedOut if !succeeded_since => {
                let total_timed_out_us = node.health.record_timeout(report.latency_us);
                if total_timed_out_us > LOST_AFTER_FACTOR * node.expected_latency_us(units) {
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
        let base_us = self.base_backoff_us();
        Backoff {
            initial_us: base_us / REJECTION_BACKOFF_DIVISOR,
            max_us: MAX_REJECTION_BACKOFF_FACTOR * base_us,
        }
    }

    fn connection_backoff(&self) -> Backoff {
        Backoff {
            initial_us: self.base_backoff_us() / CONNECTION_BACKOFF_DIVISOR,
            max_us: MAX_CONNECTION_BACKOFF_FACTOR * self.effective_connect_timeout_us(),
        }
    }

    fn timeout_backoff(&self) -> Backoff {
        let connect_timeout_us = self.effective_connect_timeout_us();
        Backoff {
            initial_us: connect_timeout_us / TIMEOUT_BACKOFF_DIVISOR,
            max_us: MAX_TIMEOUT_BACKOFF_FACTOR * connect_timeout_us,
        }
    }

    /// Returns the effective connect timeout, in microseconds: the configured timeout, but at least one batch
    /// interval.
    fn effective_connect_timeout_us(&self) -> u64 {
        self.settings.connect_timeout_us.max(self.settings.batch_interval_us)
    }

    /// Returns the base backoff, from which the backoffs after rejections and connection failures are
    /// derived, in microseconds: the effective connect timeout, or a fraction of the tightest latency
    /// objective if that is shorter; at least one batch interval.
    fn base_backoff_us(&self) -> u64 {
        let objective_us = self.tightest_objective_us as u64;
        let base_us = self.effective_connect_timeout_us().min(objective_us / BASE_BACKOFF_OBJECTIVE_DIVISOR);
        base_us.max(self.settings.batch_interval_us)
    }

    /// Records the latency of a successful attempt in the state of its node. Records the time since the
    /// request's arrival in the latency model of its class.
    fn record_success(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let parameters = WindowParameters {
            tightest_objective_us: self.tightest_objective_us,
            mean_request_units: self.settings.mean_request_units,
        };
        let request = &self.requests[&report.request];
        let node = &mut self.nodes[attempt.node];
        node.record_success(self.now_us, report.latency_us, request.units, parameters);
        // An unreserved request that was selected below the preferred rank had to wait for others. Its
        // latency is not representative of its class.
        let is_representative = request.reserved || !request.sent_from_lower_rank;
        if !request.is_answered() && is_representative {
            let latency_us = self.now_us - request.arrived_at_us;
            self.latency_models[request.class.0].record(self.now_us, latency_us);
        }
    }

    /// Finishes the request if it needs no further attempt, else queues it for a retry, rejects it or fails
    /// it.
    fn finish_or_retry(&mut self, report: &AttemptReport, actions: &mut Vec<Action>) {
        let id = report.request;
        if report.is_final || self.requests[&id].is_answered() {
            self.finish(id);
        } else if self.may_be_retried(id, report.outcome) {
            self.place_and_enqueue(id);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    fn may_be_retried(&self, id: RequestId, outcome: AttemptOutcome) -> bool {
        let request = &self.requests[&id];
        let attempts_exhausted = self.settings.max_attempts.is_some_and(|max| request.attempts >= max);
        let timed_out_past_objective =
            outcome == AttemptOutcome::TimedOut && self.now_us >= request.objective_at_us;
        let must_not_retry = attempts_exhausted || timed_out_past_objective;
        !must_not_retry && outcome != AttemptOutcome::NotSent && self.idempotency_permits_sending(request)
    }
}

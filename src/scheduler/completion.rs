//! The end of an attempt: what is learnt of its node and its volume, and what becomes of the request.

use super::Scheduler;
use super::action::Action;
use super::concurrency_window::{OVERLOAD_OBJECTIVE_FRACTION, PacingSignal};
use super::event::{AttemptOutcome, AttemptReport, RequestId};
use super::health::LOST_AFTER_FACTOR;
use super::node::ServiceScale;
use super::request::{AttemptInFlight, PossibleExecution};

/// The backoff after a rejection by a node starts at this part of the pause, and grows up to so many pauses.
const REJECTION_BACKOFF_DIVISOR: u64 = 4;
const MAX_REJECTION_BACKOFF_PAUSES: u64 = 2;
/// The backoff after a broken connection starts at this part of the pause, and grows up to so many times the
/// connect timeout.
const CONNECTION_BACKOFF_DIVISOR: u64 = 8;
const MAX_CONNECTION_BACKOFF_TIMEOUTS: u64 = 8;
/// The backoff after silence starts at this part of the connect timeout, and grows up to so many times it.
const SILENCE_BACKOFF_DIVISOR: u64 = 4;
const MAX_SILENCE_BACKOFF_TIMEOUTS: u64 = 2;
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
        self.record_queueing_delay(report, &attempt);
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
            self.rest_block(report.request);
        }
    }

    /// Records what the report tells of the volume's service through other gateways.
    fn record_volume_rates(&mut self, report: &AttemptReport) {
        let request = &self.requests[&report.request];
        let plan = &self.settings.plans[request.plan];
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return };
        volume.advance(plan, self.now_us, self.settings.max_request_units);
        if self.settings.reports_other_gateways {
            volume.record_others(report.units_via_other_gateways);
        }
        let metered = report.volume_rate_percent.filter(|_| self.settings.metering_period_us.is_some());
        if let Some(percent) = metered {
            volume.record_metered(percent, plan);
        }
    }

    /// Records how long the attempt was queued at its node, which its pacing follows.
    fn record_queueing_delay(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let tightest_objective_us = self.tightest_objective_us;
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        if let Some(in_flight) = report.load.in_flight {
            node.reported_in_flight = in_flight + report.load.queued.unwrap_or(0.0);
        }
        // Twice the quickest eighth is about a mean: else large requests alone would look like a queue.
        let queueing_delay_us = (report.latency_us as f64 - 2.0 * node.service_time_us * units).max(0.0);
        // An attempt that was cut off tells only that it would have waited longer.
        let was_cut = matches!(report.outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut)
            && queueing_delay_us > OVERLOAD_OBJECTIVE_FRACTION * tightest_objective_us;
        if !was_cut && report.outcome != AttemptOutcome::Succeeded {
            return;
        }
        // One request of each gateway, less what fits in the objective, is the longest queue to be spread
        // out.
        let fleet_request_us =
            self.settings.gateway_count as f64 * node.service_time_us * self.settings.mean_request_units;
        node.pacing.adjust(&PacingSignal {
            queueing_delay_us,
            tightest_objective_us,
            max_interval_us: (fleet_request_us - tightest_objective_us).max(0.0),
            window_is_minimal: node.window.limit <= 1.0 && node.service_time_us > 0.0,
            failing: node.health.is_failing(),
        });
    }

    /// Records what the outcome tells of the node's health and latency.
    fn record_outcome(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let now_us = self.now_us;
        let connect_us = self.settings.connect_timeout_us.max(self.settings.batch_interval_us);
        let objective_us = self.tightest_objective_us as u64;
        let pause_us =
            connect_us.min(objective_us / PAUSE_OBJECTIVE_DIVISOR).max(self.settings.batch_interval_us);
        let units = self.requests[&report.request].units;
        let node = &mut self.nodes[attempt.node];
        // Silence or a broken connection speaks against the node only if it answered nothing since.
        let answered_since = node.answers != attempt.node_answers;
        match report.outcome {
            AttemptOutcome::Succeeded => self.record_success(report, attempt),
            // A node that is full gets a rest; a draining one gets nothing more.
            AttemptOutcome::Rejected => {
                node.drain_until_us = 0;
                let max_backoff_us = MAX_REJECTION_BACKOFF_PAUSES * pause_us;
                node.record_failure(now_us, pause_us / REJECTION_BACKOFF_DIVISOR, max_backoff_us);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset if !answered_since => {
                let max_backoff_us = MAX_CONNECTION_BACKOFF_TIMEOUTS * connect_us;
                node.record_failure(now_us, pause_us / CONNECTION_BACKOFF_DIVISOR, max_backoff_us);
            }
            // An attempt that ends with its objective may have had next to no time. It is silence only once
            // what went unanswered adds up to more than an attempt takes that may be lost.
            AttemptOutcome::TimedOut if !answered_since => {
                let unanswered_us = node.health.record_silence(report.latency_us);
                if unanswered_us > LOST_AFTER_FACTOR * node.expected_latency(units) {
                    let max_backoff_us = MAX_SILENCE_BACKOFF_TIMEOUTS * connect_us;
                    node.record_failure(now_us, connect_us / SILENCE_BACKOFF_DIVISOR, max_backoff_us);
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

    /// Records the latency of an attempt that succeeded.
    fn record_success(&mut self, report: &AttemptReport, attempt: &AttemptInFlight) {
        let scale = ServiceScale {
            tightest_objective_us: self.tightest_objective_us,
            mean_request_units: self.settings.mean_request_units,
        };
        let request = &self.requests[&report.request];
        let node = &mut self.nodes[attempt.node];
        node.record_success(self.now_us, report.latency_us, request.units, scale);
        // What was sent behind others waited for them, and says nothing of its class.
        let is_representative = request.reserved || !request.sent_as_background;
        if !request.is_answered() && is_representative {
            let latency_us = self.now_us - request.arrived_at_us;
            self.latency_models[request.class].record(self.now_us, latency_us);
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
        !is_spent && outcome != AttemptOutcome::NotSent && self.may_be_sent(request, None)
    }
}

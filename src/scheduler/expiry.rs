//! Expiry: answers requests that are about to expire or cannot be served, and removes finished requests.

use super::Scheduler;
use super::action::Action;
use super::event::RequestId;
use super::request::Request;

/// Minimum interval between checks for expiring requests.
const MIN_EXPIRY_INTERVAL_US: u64 = 1_000;
/// The random time that is added to `Retry-After` is at most the wait divided by this.
const RETRY_AFTER_SPREAD_DIVISOR: u64 = 4;

impl Scheduler {
    /// Returns the interval between checks for expiring requests, in microseconds. It is half the grace
    /// period for final answers, so that they are sent in time, but at least the batch interval and
    /// [`MIN_EXPIRY_INTERVAL_US`].
    pub(super) fn expiry_interval_us(&self) -> u64 {
        (self.settings.answer_grace_us / 2).max(self.settings.batch_interval_us).max(MIN_EXPIRY_INTERVAL_US)
    }

    /// Rejects or fails every request that would expire before the next check, with or without an attempt in
    /// flight, and every queued request that can no longer be served. Requests whose response has started are
    /// skipped.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        let next_check_at_us = self.now_us + self.expiry_interval_us() + self.settings.batch_interval_us;
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let request = &self.requests[&id];
            // A new object is first queued again, for the shard that now has the shortest expected wait.
            if request.may_change_shard() && self.cannot_be_served(request) {
                self.enqueue(id);
            }
            let request = &self.requests[&id];
            if request.response_started {
                continue;
            }
            if request.expires_at_us <= next_check_at_us || self.cannot_be_served(request) {
                self.reject_or_fail(id, actions);
            }
        }
    }

    /// Returns whether a queued request should be answered instead of sent, because it cannot be sent in
    /// time, a late answer has too little value, or the idempotency rule forbids sending it.
    fn cannot_be_served(&self, request: &Request) -> bool {
        if !request.is_queued() {
            return false;
        }
        self.is_unsent_past_half_its_timeout(request)
            || self.is_dropped_past_objective(request)
            || !self.may_be_sent(request)
            || self.would_wait_past_expiry(request)
    }

    /// Returns whether a request was never sent and, by the next check, will be past its latency objective
    /// and past half of the time from its arrival to its expiry.
    ///
    /// Deviation from the paper: such a request is rejected. The client still has time to retry, and the
    /// cost of rejecting the request later would exceed the value of a late answer. This keeps queues of
    /// late requests from outliving a surge, at the price of fewer late answers.
    fn is_unsent_past_half_its_timeout(&self, request: &Request) -> bool {
        let half_timeout_us = request.expires_at_us.saturating_sub(request.arrived_at_us) / 2;
        let rejected_at_us = (request.arrived_at_us + half_timeout_us).max(request.objective_at_us);
        request.attempts == 0 && self.now_us + self.expiry_interval_us() >= rejected_at_us
    }

    /// Returns whether the request is past its latency objective and either a late answer has no value or its
    /// volume's rate limit has not admitted it yet.
    fn is_dropped_past_objective(&self, request: &Request) -> bool {
        let has_no_late_value = self.settings.class(request.class).late_weight_factor <= 0.0;
        (request.is_rate_limit_charge_pending() || has_no_late_value) && request.objective_at_us < self.now_us
    }

    /// Returns whether the request would expire before it may be sent to a node of its shard; true if no such
    /// node accepts requests.
    fn would_wait_past_expiry(&self, request: &Request) -> bool {
        let wait_us = self.shortest_node_wait_us(request);
        wait_us.is_none_or(|wait_us| self.now_us.saturating_add(wait_us) >= request.expires_at_us)
    }

    /// Gives the request its final answer: a rejection if the client may safely repeat the request, else a
    /// failure. Does nothing if the request is already answered.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered()) else { return };
        let is_safe_to_repeat = self.may_be_repeated_by_client(request);
        let wait_us = self.expected_wait_us(request);
        // Computed for failures too, so that the sequence of random numbers does not depend on the answer.
        let retry_after_us = self.retry_after_us(wait_us);
        actions.push(if is_safe_to_repeat {
            Action::Reject { request: id, retry_after_us }
        } else {
            Action::Fail { request: id }
        });
        self.finish(id);
    }

    /// Returns the time until the node and the rate limit are expected to admit the request, in microseconds.
    /// Includes the time that the requests queued for its shard take.
    fn expected_wait_us(&self, request: &Request) -> u64 {
        let max_retry_after_us = self.settings.max_retry_after_us.unwrap_or(0);
        let node_wait_us = self.shortest_node_wait_us(request).unwrap_or(max_retry_after_us);
        let wait_us = node_wait_us.saturating_add(self.queue_wait_us(request));
        wait_us.max(self.rate_limit_wait_us(request))
    }

    /// Returns the time that the node of the request's shard is expected to take for the requests queued
    /// for the shard, in microseconds; 0 if no node of the shard accepts requests.
    fn queue_wait_us(&self, request: &Request) -> u64 {
        let shard = request.shard();
        let queued = shard.and_then(|shard| self.queues.get(&shard)).map_or(0, Vec::len) as f64;
        let node = self.nodes.iter().find(|node| Some(node.shard) == shard && node.accepts_work(self.now_us));
        let mean_units = self.settings.mean_request_units;
        node.map_or(0.0, |node| queued * node.expected_latency_us(mean_units) / node.window.limit()) as u64
    }

    /// Returns the time until the rate limit of the request's volume admits it, in microseconds; 0 if the
    /// request is already charged to the limit or its plan has none.
    fn rate_limit_wait_us(&self, request: &Request) -> u64 {
        let volume = self.volumes.get(&request.volume).filter(|_| request.is_rate_limit_charge_pending());
        let rate_limit = self.settings.plan(request.plan).rate_limit;
        // No units are added here: those of the request are already among the volume's uncharged units.
        volume.zip(rate_limit).map_or(0, |(volume, limit)| volume.rate_limit_wait_us(&limit, 0.0))
    }

    /// Returns the `Retry-After` for this wait, in microseconds. A random time is added so that the clients
    /// do not all retry at once. `None` if there is no wait or clients do not honor `Retry-After`.
    pub(super) fn retry_after_us(&mut self, wait_us: u64) -> Option<u64> {
        let max_retry_after_us = self.settings.max_retry_after_us.unwrap_or(0);
        let spread_us = self.rng.u64(0..=max_retry_after_us.min(wait_us) / RETRY_AFTER_SPREAD_DIVISOR);
        let retry_after_us = wait_us.saturating_add(spread_us).min(max_retry_after_us);
        (retry_after_us > 0).then_some(retry_after_us)
    }

    /// Marks a request as answered, so that no further attempt is sent, and removes it once it has no
    /// attempt in flight.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_unanswered = request.mark_answered();
        if was_unanswered
            && request.is_rate_limit_charge_pending()
            && let Some(volume) = self.volumes.get_mut(&request.volume)
        {
            volume.remove_uncharged(request.units);
        }
        if request.attempt_in_flight().is_some() {
            return;
        }
        let request = &self.requests[&id];
        if let Some(block) = self.ordering_block(request) {
            self.ordering.remove(block, id);
        }
        self.requests.swap_remove(&id);
    }
}

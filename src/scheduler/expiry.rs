//! Expiry: rejects or fails requests that are about to expire or cannot be served, and removes finished
//! requests.

use super::Scheduler;
use super::action::Action;
use super::event::{RequestId, ShardId};
use super::request::Request;

/// Lower bound of [`Scheduler::expiry_interval_us`].
const MIN_EXPIRY_INTERVAL_US: u64 = 1_000;
/// Divisor of the wait, or of the maximum `Retry-After` if that is shorter, that gives the maximum of the
/// random time added to the wait.
const RETRY_AFTER_SPREAD_DIVISOR: u64 = 4;

impl Scheduler {
    /// Returns the expiry interval, in microseconds: the time after which a timer triggers the next check for
    /// expiring requests. Every batch of events triggers a check, too. The interval is half the grace period
    /// for final answers, so that they are sent in time, but at least the batch interval and
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
            // Before a request that writes a new object is rejected, it is queued for the shard that now has
            // the shortest expected wait.
            if request.may_change_shard() && self.cannot_be_served(request) {
                self.place_and_enqueue(id);
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

    /// Returns whether a queued request should be rejected or failed instead of sent, because it cannot be
    /// sent in time, a late answer has too little value, or the idempotency rule forbids sending it.
    fn cannot_be_served(&self, request: &Request) -> bool {
        if !request.is_queued() {
            return false;
        }
        self.should_reject_unsent(request)
            || self.should_reject_or_fail_late(request)
            || !self.idempotency_permits_sending(request)
            || self.would_wait_past_expiry(request)
    }

    /// Returns whether a request was never sent and, after one more expiry interval, will be past its latency
    /// objective and past half of the time from its arrival to its expiry.
    ///
    /// Deviation from the paper: such a request is rejected early, while the client can still retry, because
    /// a late answer is worth less than a late rejection would cost. Queues of late requests therefore shrink
    /// soon after a surge, but fewer requests get a late answer.
    fn should_reject_unsent(&self, request: &Request) -> bool {
        let half_timeout_us = request.expires_at_us.saturating_sub(request.arrived_at_us) / 2;
        let rejected_at_us = (request.arrived_at_us + half_timeout_us).max(request.objective_at_us);
        request.attempts == 0 && self.now_us + self.expiry_interval_us() >= rejected_at_us
    }

    /// Returns whether the request is past its latency objective and either a late answer has no value or its
    /// volume's rate limit has not admitted it yet.
    fn should_reject_or_fail_late(&self, request: &Request) -> bool {
        let has_no_late_value = self.settings.class(request.class).late_weight_factor <= 0.0;
        (request.is_rate_limit_charge_pending() || has_no_late_value) && request.objective_at_us < self.now_us
    }

    /// Returns whether the request would expire before it may be sent to a node of its shard; true if no such
    /// node accepts work.
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

    /// Returns how long the request is expected to wait, in microseconds: for a node of its shard, including
    /// the requests queued for the shard, or for the rate limit if that takes longer. If no node of the shard
    /// accepts work, the wait for a node is the maximum `Retry-After`.
    fn expected_wait_us(&self, request: &Request) -> u64 {
        let max_retry_after_us = self.settings.max_retry_after_us.unwrap_or(0);
        let node_wait_us = self.shortest_node_wait_us(request).unwrap_or(max_retry_after_us);
        let wait_us = node_wait_us.saturating_add(self.queue_wait_us(request));
        wait_us.max(self.rate_limit_wait_us(request))
    }

    /// Returns the time that the first node of the request's shard that accepts work is expected to take for
    /// all requests queued for the shard, in microseconds; 0 if no node of the shard accepts work.
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
        let volume = self.volumes.get(request.volume).filter(|_| request.is_rate_limit_charge_pending());
        let rate_limit = self.settings.plan(request.plan).rate_limit;
        // No units are added here: those of the request are already among the volume's uncharged units.
        volume.zip(rate_limit).map_or(0, |(volume, limit)| volume.rate_limit_wait_us(&limit, 0.0))
    }

    /// Returns the `Retry-After` for this wait, in microseconds; `None` if there is no wait or clients do not
    /// honor `Retry-After`. A random time is added, so that the clients do not all retry at once. The sum is
    /// capped at the maximum `Retry-After`, so waits at or above the maximum are not spread.
    pub(super) fn retry_after_us(&mut self, wait_us: u64) -> Option<u64> {
        let max_retry_after_us = self.settings.max_retry_after_us.unwrap_or(0);
        let spread_us = self.rng.u64(0..=max_retry_after_us.min(wait_us) / RETRY_AFTER_SPREAD_DIVISOR);
        let retry_after_us = wait_us.saturating_add(spread_us).min(max_retry_after_us);
        (retry_after_us > 0).then_some(retry_after_us)
    }

    /// Marks a request as answered, so that no further attempt is sent, and removes it if it has no attempt
    /// in flight. Called again when an attempt that was still in flight has ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let queued_shard = request.shard().filter(|_| request.is_queued());
        let was_unanswered = request.mark_answered();
        if was_unanswered
            && request.is_rate_limit_charge_pending()
            && let Some(volume) = self.volumes.get_mut(request.volume)
        {
            volume.remove_uncharged(request.units);
        }
        if request.attempt_in_flight().is_some() {
            return;
        }
        let request = &self.requests[&id];
        let (volume, block) = (request.volume, self.ordering_block(request));
        if let Some(block) = block {
            self.ordering.remove(block, id, self.now_us);
        }
        self.volumes.record_removed(volume);
        self.requests.swap_remove(&id);
        if let Some(shard) = queued_shard {
            self.remove_from_unserved_queue(shard, id);
        }
    }

    /// Removes a request from the queue of its shard if no node holds the shard. Other queues are cleaned by
    /// `dispatch`. Clients can name any shard, so that queues would accumulate.
    fn remove_from_unserved_queue(&mut self, shard: ShardId, id: RequestId) {
        if self.nodes.iter().any(|node| node.shard == shard) {
            return;
        }
        if let Some(queue) = self.queues.get_mut(&shard) {
            queue.retain(|other| *other != id);
            if queue.is_empty() {
                self.queues.remove(&shard);
            }
        }
    }
}

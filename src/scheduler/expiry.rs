//! What is given up, and its final answer.

use super::Scheduler;
use super::action::Action;
use super::event::RequestId;
use super::request::Request;

/// The shortest interval at which queued requests are looked at.
const MIN_EXPIRY_INTERVAL_US: u64 = 1_000;
/// `Retry-After` is extended at random by up to this fraction of the wait.
const RETRY_AFTER_SPREAD_DIVISOR: u64 = 4;

impl Scheduler {
    /// How often queued requests are looked at: often enough to answer within the grace.
    pub(super) fn expiry_interval_us(&self) -> u64 {
        (self.settings.answer_grace_us / 2).max(self.settings.batch_interval_us).max(MIN_EXPIRY_INTERVAL_US)
    }

    /// Gives the final answer to every request that is about to expire, with or without an attempt in flight,
    /// and to queued requests that cannot be served any more.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        let latest_us = self.now_us + self.expiry_interval_us() + self.settings.batch_interval_us;
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let request = &self.requests[&id];
            // A new object is first offered another shard.
            if request.may_be_placed_anew() && self.cannot_be_served(request) {
                self.enqueue(id);
            }
            let request = &self.requests[&id];
            if request.response_started {
                continue;
            }
            if request.expires_at_us <= latest_us || self.cannot_be_served(request) {
                self.reject_or_fail(id, actions);
            }
        }
    }

    /// Whether a queued request should be answered instead of sent: it could not be sent in time, or sending
    /// it would be useless or not allowed.
    fn cannot_be_served(&self, request: &Request) -> bool {
        if !request.is_queued() {
            return false;
        }
        self.is_unsent_past_half_its_time(request)
            || self.is_dropped_past_objective(request)
            || !self.may_be_sent(request)
            || self.waits_past_its_expiry(request)
    }

    /// EXCEPTION: a request that was never sent is given up once it is past its objective and half its time
    /// is over. The client then still has time to retry, and a later rejection costs more than a late answer
    /// earns. Guards against queues of late work that outlive a surge; fewer requests are answered late.
    fn is_unsent_past_half_its_time(&self, request: &Request) -> bool {
        let half_time_us = request.expires_at_us.saturating_sub(request.arrived_at_us) / 2;
        let given_up_at_us = (request.arrived_at_us + half_time_us).max(request.objective_at_us);
        request.attempts == 0 && self.now_us + self.expiry_interval_us() >= given_up_at_us
    }

    /// Whether the request is past its objective and either earns nothing late or has not been admitted by
    /// its volume's rate limit.
    fn is_dropped_past_objective(&self, request: &Request) -> bool {
        let earns_nothing_late = self.settings.class(request.class).late_weight_factor <= 0.0;
        (request.owes_rate_limit() || earns_nothing_late) && request.objective_at_us < self.now_us
    }

    fn waits_past_its_expiry(&self, request: &Request) -> bool {
        let wait_us = self.shortest_node_wait_us(request);
        wait_us.is_none_or(|wait_us| self.now_us.saturating_add(wait_us) >= request.expires_at_us)
    }

    /// Gives the final answer: a rejection where it is true that repeating the request is harmless, else a
    /// failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered()) else { return };
        let is_harmless = self.may_be_repeated_by_client(request);
        let wait_us = self.expected_wait_us(request);
        // Drawn for failures too, so that the sequence of random draws does not depend on the answer.
        let retry_after_us = self.retry_after_us(wait_us);
        actions.push(if is_harmless {
            Action::Reject { request: id, retry_after_us }
        } else {
            Action::Fail { request: id }
        });
        self.finish(id);
    }

    /// When a request's node and rate limit would admit it, behind what is queued for the node, in
    /// microseconds from now.
    fn expected_wait_us(&self, request: &Request) -> u64 {
        let longest_us = self.settings.max_retry_after_us.unwrap_or(0);
        let node_wait_us = self.shortest_node_wait_us(request).unwrap_or(longest_us);
        let wait_us = node_wait_us.saturating_add(self.queue_wait_us(request));
        wait_us.max(self.rate_limit_wait_us(request))
    }

    /// How long the requests queued for the request's shard are expected to take at its node, in
    /// microseconds.
    fn queue_wait_us(&self, request: &Request) -> u64 {
        let shard = request.shard();
        let queued = shard.and_then(|shard| self.queues.get(&shard)).map_or(0, Vec::len) as f64;
        let node = self.nodes.iter().find(|node| Some(node.shard) == shard && node.accepts_work(self.now_us));
        let mean_units = self.settings.mean_request_units;
        node.map_or(0.0, |node| queued * node.expected_latency_us(mean_units) / node.window.limit()) as u64
    }

    /// How long until the rate limit of the request's volume admits it, in microseconds.
    fn rate_limit_wait_us(&self, request: &Request) -> u64 {
        let volume = self.volumes.get(&request.volume).filter(|_| request.owes_rate_limit());
        let rate_limit = self.settings.plan(request.plan).rate_limit;
        // No further units: the request itself is already among the uncharged ones.
        volume.zip(rate_limit).map_or(0, |(volume, limit)| volume.rate_limit_wait_us(&limit, 0.0))
    }

    /// A `Retry-After` for this wait, with a random spread so that clients do not all return at once; none if
    /// the settings allow none.
    pub(super) fn retry_after_us(&mut self, wait_us: u64) -> Option<u64> {
        let longest_us = self.settings.max_retry_after_us.unwrap_or(0);
        let spread_us = self.rng.u64(0..=longest_us.min(wait_us) / RETRY_AFTER_SPREAD_DIVISOR);
        let retry_after_us = wait_us.saturating_add(spread_us).min(longest_us);
        (retry_after_us > 0).then_some(retry_after_us)
    }

    /// Ends a request; an attempt in flight is still waited for, and nothing more is sent.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let had_no_answer = request.mark_answered();
        if had_no_answer
            && request.owes_rate_limit()
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

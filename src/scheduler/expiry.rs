//! What is given up, and its final answer.

use super::Scheduler;
use super::action::Action;
use super::event::RequestId;
use super::request::Request;

/// The shortest interval at which queued requests are looked at.
const MIN_EXPIRY_INTERVAL_US: u64 = 1_000;
/// The advice to come back is spread by up to this part of the wait.
const RETRY_AFTER_SPREAD_DIVISOR: u64 = 4;

impl Scheduler {
    /// How often queued requests are looked at: often enough to answer within the grace.
    pub(super) fn expiry_interval_us(&self) -> u64 {
        (self.settings.answer_grace_us / 2).max(self.settings.batch_interval_us).max(MIN_EXPIRY_INTERVAL_US)
    }

    /// Answers at once what the scheduler has given up on: queued work that it would not send before the time
    /// is up, or that its class no longer allows to be sent.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        let latest_us = self.now_us + self.expiry_interval_us() + self.settings.batch_interval_us;
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let request = &self.requests[&id];
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

    /// Whether a request is queued but will not be sent any more, or in vain, as one that waits for a rate
    /// limit past its objective.
    fn cannot_be_served(&self, request: &Request) -> bool {
        if !request.is_queued() {
            return false;
        }
        self.is_unsent_past_half_its_time(request)
            || self.is_worthless(request)
            || !self.may_be_sent(request, None)
            || self.waits_past_its_expiry(request)
    }

    /// EXCEPTION: a request that has never been sent is given up once it is past its objective and half its
    /// time is over. Its client then still has time to come again, while a rejection later costs more than
    /// the late answer would earn. Guards against queues of late work that outlive a surge; answers fewer
    /// late.
    fn is_unsent_past_half_its_time(&self, request: &Request) -> bool {
        let half_time_us = request.expires_at_us.saturating_sub(request.arrived_at_us) / 2;
        let given_up_at_us = (request.arrived_at_us + half_time_us).max(request.objective_at_us);
        request.attempts == 0 && self.now_us + self.expiry_interval_us() >= given_up_at_us
    }

    /// Whether an answer would earn nothing any more.
    fn is_worthless(&self, request: &Request) -> bool {
        let earns_nothing_late = self.settings.classes[request.class].late_weight_factor <= 0.0;
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
        let shard = request.shard();
        let queued = shard.and_then(|shard| self.queues.get(&shard)).map_or(0, Vec::len) as f64;
        let node = self.nodes.iter().find(|node| Some(node.shard) == shard && node.accepts_work(self.now_us));
        let queue_wait_us = node.map_or(0.0, |node| {
            queued * node.expected_latency(self.settings.mean_request_units) / node.window.limit.max(1.0)
        });
        let node_wait_us =
            self.shortest_node_wait_us(request).unwrap_or(self.settings.max_retry_after_us.unwrap_or(0));
        let wait_us = node_wait_us.saturating_add(queue_wait_us as u64);
        let volume = self.volumes.get(&request.volume).filter(|_| request.owes_rate_limit());
        let rate_limit = self.settings.plans[request.plan].rate_limit;
        let limit_wait_us =
            volume.zip(rate_limit).map_or(0, |(volume, limit)| volume.rate_limit_wait_us(&limit, 0.0));
        wait_us.max(limit_wait_us)
    }

    /// Advice to come back after this wait, spread out so that those who follow it do not come all at once.
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
            volume.unqueue(request.units);
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

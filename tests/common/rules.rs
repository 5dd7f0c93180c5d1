//! The rules of the platform, one function each, checked on every action of a simulated gateway.

use super::fleet::{
    PendingTimer, Retry, SIMULATION_START_US, SentAttempt, SimulatedFleet, TrackedAttempt, TrackedRequest,
    VolumeBucket,
};
use storage_gateway::scheduler::*;

/// Absorbs rounding errors in sums of units.
const ROUNDING: f64 = 1e-6;

/// An attempt that a gateway is about to send.
struct NewAttempt {
    gateway: usize,
    request: u32,
    node: NodeId,
    timeout_us: Option<u64>,
}

impl SimulatedFleet {
    /// Checks an action of the gateway and carries it out.
    pub(super) fn check_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { request, node, timeout_us } => {
                self.check_attempt(NewAttempt { gateway, request: request.0, node, timeout_us });
            }
            Action::Reject { request, .. } => {
                self.check_may_be_rejected(request.0);
                self.finish_request(request.0);
                self.rejected.push(request.0);
            }
            Action::Fail { request } => {
                self.finish_request(request.0);
                self.failed.push(request.0);
            }
            Action::SetTimer { after_us, token } => {
                assert!(after_us > 0);
                self.timers.push(PendingTimer { gateway, due_at_us: self.now_us + after_us, token });
            }
            Action::WatchEndpoints => self.watches_at_us.push(self.now_us),
            Action::CancelAttempt { .. } => {}
        }
    }

    /// Every request has its final answer by its deadline and the grace for answers.
    pub(super) fn check_all_answered_in_time(&self) {
        for (id, tracked) in &self.requests {
            let latest_us = tracked.request.expires_at_us + self.settings.answer_grace_us;
            assert!(tracked.finished || self.now_us <= latest_us, "request {id} was not answered");
        }
    }

    /// A request has one final answer.
    fn finish_request(&mut self, id: u32) {
        let tracked = self.requests.get_mut(&id).expect("a request in flight");
        assert!(!tracked.finished, "second answer for {id}");
        tracked.finished = true;
    }

    /// Rejected requests had no effect, or running them again anywhere is harmless.
    fn check_may_be_rejected(&self, id: u32) {
        let tracked = self.requests.get(&id).expect("a request in flight");
        assert!(!tracked.finished, "second answer for {id}");
        let had_no_effect = tracked.attempts.iter().all(|attempt| !attempt.may_have_run);
        let repeatable_anywhere = matches!(
            self.class_of(tracked).idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. }
        );
        assert!(had_no_effect || repeatable_anywhere, "rejected {id}, which may have run");
    }

    fn check_attempt(&mut self, attempt: NewAttempt) {
        self.check_is_unfinished_and_alone(&attempt);
        self.check_idempotency(&attempt);
        self.check_node_is_available(&attempt);
        self.check_order_of_block(&attempt);
        let is_first = self.requests[&attempt.request].attempts.is_empty();
        if is_first {
            self.check_rate_limit(&attempt);
        } else {
            self.check_retry_budget(&attempt);
        }
        self.record_attempt(&attempt);
        self.check_slow_start(&attempt.node);
    }

    /// An attempt is of an unfinished request of this gateway, goes to the shard of its data, and is the only
    /// one in flight.
    fn check_is_unfinished_and_alone(&self, attempt: &NewAttempt) {
        let (id, shard) = (attempt.request, self.nodes[&attempt.node].shard);
        let tracked = &self.requests[&id];
        assert!(!tracked.finished, "{id} was finished");
        assert_eq!(tracked.gateway, attempt.gateway);
        assert!(tracked.request.shard.is_none_or(|own| own == shard), "{id} sent to another shard");
        assert!(tracked.attempts.iter().all(|earlier| !earlier.in_flight), "two attempts of {id} in flight");
    }

    /// What may have run is repeated only where that is harmless.
    fn check_idempotency(&self, attempt: &NewAttempt) {
        let (id, shard) = (attempt.request, self.nodes[&attempt.node].shard);
        let tracked = &self.requests[&id];
        for earlier in tracked.attempts.iter().filter(|earlier| earlier.may_have_run) {
            match self.class_of(tracked).idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("{id} may have run and must not again"),
                Idempotency::WithKey { scope, window_us } => {
                    assert!(self.now_us <= earlier.sent_at_us + window_us, "{id} repeated too late");
                    let key_is_known = scope == DeduplicationScope::AllNodes || earlier.shard == shard;
                    assert!(key_is_known, "{id} repeated elsewhere");
                }
            }
        }
    }

    /// A node that drains or is gone, for all that the gateway knows, receives no new attempts.
    fn check_node_is_available(&self, attempt: &NewAttempt) {
        let key = (attempt.gateway, attempt.node.clone());
        if let Some(since_us) = self.unavailable_since_us.get(&key) {
            let allowed = self.now_us <= since_us + self.drain_grace_us;
            assert!(allowed, "sent to a node that drains or is gone");
        }
    }

    /// Requests ordered by key run one at a time at a gateway, in order of arrival, and the block rests after
    /// an attempt that may still run.
    fn check_order_of_block(&self, attempt: &NewAttempt) {
        let (gateway, id) = (attempt.gateway, attempt.request);
        let tracked = &self.requests[&id];
        let Some(block) = tracked.request.block.filter(|_| self.class_of(tracked).ordered_by_key) else {
            return;
        };
        for (earlier, other) in self.requests.range(..id) {
            let same_block = other.gateway == gateway && other.request.block == Some(block);
            let open = !other.finished || other.attempts.last().is_some_and(|last| last.in_flight);
            let ordered = self.class_of(other).ordered_by_key;
            assert!(!(same_block && open && ordered), "{id} sent before {earlier}, which came earlier");
        }
        if tracked.attempts.is_empty() {
            let until_us = self.block_rests_until_us.get(&(gateway, block)).copied().unwrap_or(0);
            assert!(self.now_us >= until_us, "{id} sent within the gap of its block");
        }
    }

    /// The retries of a gateway stay within its budget.
    fn check_retry_budget(&mut self, attempt: &NewAttempt) {
        let Some(budget) = self.settings.retry_budget else { return };
        let (now_us, gateway) = (self.now_us, attempt.gateway);
        self.retries.push(Retry { at_us: now_us, gateway });
        let in_window = |retry: &&Retry| retry.gateway == gateway && retry.at_us + budget.window_us >= now_us;
        let retries = self.retries.iter().filter(in_window).count() as f64;
        let is_recent = |tracked: &&TrackedRequest| {
            tracked.gateway == gateway && tracked.arrived_at_us + budget.window_us > now_us
        };
        let recent_requests = self.requests.values().filter(is_recent).count() as f64;
        let allowed = budget.burst + budget.ratio * recent_requests;
        assert!(retries <= allowed + 1e-9, "{retries} retries, {allowed} allowed");
    }

    /// The first attempts of a volume stay within its rate limit, over all gateways.
    fn check_rate_limit(&mut self, attempt: &NewAttempt) {
        let request = &self.requests[&attempt.request].request;
        let Some(limit) = self.settings.plans[request.plan.0].rate_limit else { return };
        let full = VolumeBucket { units: limit.burst, filled_at_us: SIMULATION_START_US };
        let bucket = self.volume_buckets.entry(request.volume).or_insert(full);
        let filled = bucket.units + limit.rate * (self.now_us - bucket.filled_at_us) as f64 / 1e6;
        let units = filled.min(limit.burst) - request.units;
        *bucket = VolumeBucket { units, filled_at_us: self.now_us };
        assert!(units >= -limit.overdraft - ROUNDING, "a volume went beyond its limit: {units}");
    }

    fn record_attempt(&mut self, attempt: &NewAttempt) {
        let node = attempt.node.clone();
        let shard = self.nodes[&node].shard;
        let tracked = self.requests.get_mut(&attempt.request).expect("a request in flight");
        let sent_at_us = self.now_us;
        tracked.attempts.push(TrackedAttempt {
            node: node.clone(),
            sent_at_us,
            shard,
            may_have_run: true,
            in_flight: true,
        });
        self.sent.push(SentAttempt {
            at_us: sent_at_us,
            request: attempt.request,
            node,
            units: tracked.request.units,
            timeout_us: attempt.timeout_us,
        });
    }

    /// All gateways together stay within the allowance of a warming-up node.
    fn check_slow_start(&self, node: &NodeId) {
        let now_us = self.now_us;
        let (Some(policy), Some(started_at_us)) = (self.settings.slow_start, self.nodes[node].started_at_us)
        else {
            return;
        };
        if now_us >= started_at_us + policy.warm_up_us {
            return;
        }
        let age = now_us.saturating_sub(started_at_us) as f64 / policy.warm_up_us as f64;
        let capacity = policy.initial_capacity + (1.0 - policy.initial_capacity) * age;
        let allowed = policy.guaranteed_units * capacity / policy.initial_capacity;
        let since_us = started_at_us.max(now_us.saturating_sub(policy.window_us));
        let in_window = |attempt: &&SentAttempt| attempt.node == *node && attempt.at_us >= since_us;
        let sent: f64 = self.sent.iter().filter(in_window).map(|attempt| attempt.units).sum();
        assert!(sent <= allowed + ROUNDING, "a warming-up node was sent {sent} of {allowed}");
    }

    fn class_of(&self, tracked: &TrackedRequest) -> &RequestClass {
        &self.settings.classes[tracked.request.class.0]
    }
}

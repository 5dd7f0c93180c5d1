//! Checks the actions of simulated gateways against the rules of the platform, with one function per rule.
//! `WatchEndpoints` actions are only recorded, and `CancelAttempt` actions are ignored.

use super::fleet::{
    PendingTimer, Retry, SIMULATION_START_US, SentAttempt, SimulatedFleet, TrackedAttempt, TrackedRequest,
    VolumeBucket,
};
use storage_gateway::scheduler::*;

/// Number of units by which a sum may exceed its bound, to allow for rounding.
const ROUNDING: f64 = 1e-6;

/// An attempt that a gateway is about to send.
struct NewAttempt {
    gateway: usize,
    request: u32,
    node: NodeId,
    timeout_us: Option<u64>,
}

impl SimulatedFleet {
    /// Checks an action of the gateway against the rules, and records its effect.
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
                self.timers.push(PendingTimer { gateway, fires_at_us: self.now_us + after_us, token });
            }
            Action::WatchEndpoints => self.watches_at_us.push(self.now_us),
            Action::CancelAttempt { .. } => {}
        }
    }

    /// Checks that every request is answered by its expiry plus the grace for answers.
    pub(super) fn check_all_answered_in_time(&self) {
        for (id, tracked) in &self.requests {
            let latest_us = tracked.request.expires_at_us + self.settings.answer_grace_us;
            assert!(tracked.finished || self.now_us <= latest_us, "request {id} was not answered");
        }
    }

    /// Records the final answer of a request, and checks that it is the only one.
    fn finish_request(&mut self, id: u32) {
        let tracked = self.requests.get_mut(&id).expect("a request in flight");
        assert!(!tracked.finished, "second answer for {id}");
        tracked.finished = true;
    }

    /// Checks that a rejected request has no final answer yet, and that it either cannot have run or may run
    /// again at any node.
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
        self.check_request_is_sendable(&attempt);
        self.check_idempotency(&attempt);
        self.check_node_is_available(&attempt);
        self.check_ordering(&attempt);
        let is_first = self.requests[&attempt.request].attempts.is_empty();
        if is_first {
            self.check_rate_limit(&attempt);
        } else {
            self.check_retry_budget(&attempt);
        }
        self.record_attempt(&attempt);
        self.check_slow_start(&attempt.node);
    }

    /// Checks that the attempt is for an unfinished request of this gateway, goes to the shard of the
    /// request's data, and is the request's only attempt in flight.
    fn check_request_is_sendable(&self, attempt: &NewAttempt) {
        let (id, shard) = (attempt.request, self.nodes[&attempt.node].shard);
        let tracked = &self.requests[&id];
        assert!(!tracked.finished, "{id} was finished");
        assert_eq!(tracked.gateway, attempt.gateway);
        assert!(tracked.request.shard.is_none_or(|own| own == shard), "{id} sent to another shard");
        assert!(tracked.attempts.iter().all(|earlier| !earlier.in_flight), "two attempts of {id} in flight");
    }

    /// Checks that a request that may have run is sent again only if it is idempotent or has an idempotency
    /// key that the node still recognizes. Unless all nodes recognize the key, only nodes of the shard to
    /// which the earlier attempt was sent are assumed to recognize it; this also applies to
    /// `DeduplicationScope::Zone`.
    fn check_idempotency(&self, attempt: &NewAttempt) {
        let (id, shard) = (attempt.request, self.nodes[&attempt.node].shard);
        let tracked = &self.requests[&id];
        for earlier in tracked.attempts.iter().filter(|earlier| earlier.may_have_run) {
            match self.class_of(tracked).idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("{id} may have run and must not run again"),
                Idempotency::WithKey { scope, deduplication_window_us } => {
                    assert!(
                        self.now_us <= earlier.sent_at_us + deduplication_window_us,
                        "{id} sent again after the window of its idempotency key"
                    );
                    let key_is_known = scope == DeduplicationScope::AllNodes || earlier.shard == shard;
                    assert!(
                        key_is_known,
                        "{id} sent again to a node that does not recognize its idempotency key"
                    );
                }
            }
        }
    }

    /// Checks that an attempt to a draining or removed node is sent at most `checked_drain_grace_us` after
    /// the gateway was notified of that state.
    fn check_node_is_available(&self, attempt: &NewAttempt) {
        let key = (attempt.gateway, attempt.node.clone());
        if let Some(since_us) = self.unavailable_since_us.get(&key) {
            let allowed = self.now_us <= since_us + self.checked_drain_grace_us;
            assert!(allowed, "sent to a node that is draining or gone");
        }
    }

    /// Checks that a gateway sends the requests for an ordered block one at a time, in order of their ids,
    /// and leaves a gap after an attempt that may still be running. Tests assign ids in order of arrival.
    fn check_ordering(&self, attempt: &NewAttempt) {
        let (gateway, id) = (attempt.gateway, attempt.request);
        let tracked = &self.requests[&id];
        let Some(block) = tracked.request.block.filter(|_| self.class_of(tracked).ordered_by_block) else {
            return;
        };
        for (earlier, other) in self.requests.range(..id) {
            let same_block = other.gateway == gateway && other.request.block == Some(block);
            let open = !other.finished || other.attempts.last().is_some_and(|last| last.in_flight);
            let ordered = self.class_of(other).ordered_by_block;
            assert!(
                !(same_block && open && ordered),
                "{id} sent before {earlier}, which arrived earlier and is not finished"
            );
        }
        if tracked.attempts.is_empty() {
            let until_us = self.ordering_gap_ends_at_us.get(&(gateway, block)).copied().unwrap_or(0);
            assert!(self.now_us >= until_us, "{id} sent within the ordering gap of its block");
        }
    }

    /// Counts the attempt as a retry, and checks that the retries of the gateway stay within its budget.
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

    /// Charges the first attempt to the volume's rate limit, and checks that the first attempts sent through
    /// all gateways stay within the limit.
    fn check_rate_limit(&mut self, attempt: &NewAttempt) {
        let request = &self.requests[&attempt.request].request;
        let Some(limit) = self.settings.plans[request.plan.0].rate_limit else { return };
        let full = VolumeBucket { tokens: limit.burst, updated_at_us: SIMULATION_START_US };
        let bucket = self.volume_buckets.entry(request.volume).or_insert(full);
        let filled = bucket.tokens + limit.rate * (self.now_us - bucket.updated_at_us) as f64 / 1e6;
        let tokens = filled.min(limit.burst) - request.units;
        *bucket = VolumeBucket { tokens, updated_at_us: self.now_us };
        assert!(tokens >= -limit.overdraft - ROUNDING, "a volume exceeded its rate limit: {tokens} tokens");
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

    /// Checks that all gateways together have not sent a warming-up node more units within the window of the
    /// policy than the node is guaranteed to sustain.
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
        assert!(sent <= allowed + ROUNDING, "a warming-up node was sent {sent} units, {allowed} allowed");
    }

    fn class_of(&self, tracked: &TrackedRequest) -> &RequestClass {
        &self.settings.classes[tracked.request.class.0]
    }
}

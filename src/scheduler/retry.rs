//! Whether a request may be sent again: idempotency, the retry budget, and the order of requests for one
//! block.

use super::Scheduler;
use super::event::{BlockId, RequestId};
use super::node::NodeIndex;
use super::request::{PossibleExecution, Request};
use super::settings::{DeduplicationScope, Idempotency, RetryBudget};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// RULE retry budget: the requests received and the retries sent within the budget's window.
pub(super) struct RetryUsage {
    budget: Option<RetryBudget>,
    requests_at_us: VecDeque<u64>,
    retries_at_us: VecDeque<u64>,
}

impl RetryUsage {
    pub(super) fn new(budget: Option<RetryBudget>) -> Self {
        RetryUsage { budget, requests_at_us: VecDeque::new(), retries_at_us: VecDeque::new() }
    }

    /// Records that a request was received.
    pub(super) fn record_request(&mut self, now_us: u64) {
        if self.budget.is_some() {
            self.requests_at_us.push_back(now_us);
        }
    }

    /// Records that a retry is sent.
    pub(super) fn record_retry(&mut self, now_us: u64) {
        if self.budget.is_some() {
            self.retries_at_us.push_back(now_us);
        }
    }

    /// Whether one more retry stays within the budget.
    pub(super) fn admits_retry(&mut self, now_us: u64) -> bool {
        let Some(budget) = self.budget else { return true };
        // At the edge of the window a request no longer counts, but a retry still does.
        self.requests_at_us.retain(|at| at + budget.window_us > now_us);
        self.retries_at_us.retain(|at| at + budget.window_us >= now_us);
        let allowed = budget.burst + budget.ratio * self.requests_at_us.len() as f64;
        self.retries_at_us.len() as f64 + 1.0 <= allowed
    }
}

#[derive(Default)]
struct BlockQueue {
    waiting: VecDeque<RequestId>,
    /// The first attempt of the first of them is not sent before this.
    not_before_us: u64,
}

/// RULE ordering: the requests for each block that run one at a time, in order of arrival. Entries are never
/// removed.
#[derive(Default)]
pub(super) struct OrderingQueues(FxHashMap<BlockId, BlockQueue>);

impl OrderingQueues {
    pub(super) fn enqueue(&mut self, block: BlockId, request: RequestId) {
        self.0.entry(block).or_default().waiting.push_back(request);
    }

    pub(super) fn remove(&mut self, block: BlockId, request: RequestId) {
        if let Some(queue) = self.0.get_mut(&block) {
            queue.waiting.retain(|other| *other != request);
        }
    }

    /// Holds back first attempts for a block until then: an attempt that has ended may still be running on
    /// its node. A retry is of the very request that may be running, and is not held back.
    fn delay(&mut self, block: BlockId, until_us: u64) {
        if let Some(queue) = self.0.get_mut(&block) {
            queue.not_before_us = queue.not_before_us.max(until_us);
        }
    }

    /// Whether it is a request's turn.
    fn admits(&self, block: BlockId, id: RequestId, is_first_attempt: bool, now_us: u64) -> bool {
        let Some(queue) = self.0.get(&block) else { return true };
        let is_delayed = is_first_attempt && now_us < queue.not_before_us;
        queue.waiting.front() == Some(&id) && !is_delayed
    }
}

impl Scheduler {
    /// RULE idempotency: whether a request may be sent (again) to some node.
    pub(super) fn may_be_sent(&self, request: &Request) -> bool {
        let Some(earlier) = request.possible_execution else { return true };
        match self.settings.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { window_us, .. } => {
                // The attempt may be written as late as a connect timeout from now; the key must be
                // recognized then.
                let latest_write_at_us = self.now_us + self.settings.connect_timeout_us;
                latest_write_at_us < earlier.sent_at_us + window_us
            }
        }
    }

    /// RULE idempotency: whether a request may be sent (again) to this node.
    pub(super) fn may_be_sent_to(&self, request: &Request, node: NodeIndex) -> bool {
        let is_recognized =
            || match (request.possible_execution, self.settings.class(request.class).idempotency) {
                (Some(earlier), Idempotency::WithKey { scope, .. }) => {
                    self.recognizes_key(scope, node, earlier)
                }
                _ => true,
            };
        self.may_be_sent(request) && is_recognized()
    }

    /// Whether a node recognizes the idempotency key of an earlier attempt.
    fn recognizes_key(&self, scope: DeduplicationScope, node: NodeIndex, earlier: PossibleExecution) -> bool {
        let (node, earlier_node) = (&self.nodes[node], &self.nodes[earlier.node]);
        match scope {
            DeduplicationScope::AllNodes => true,
            DeduplicationScope::Zone => node.zone == earlier_node.zone,
            DeduplicationScope::Shard => node.shard == earlier_node.shard,
        }
    }

    /// Whether a client may repeat the request without harm if it gets no answer.
    pub(super) fn may_be_repeated_by_client(&self, request: &Request) -> bool {
        match self.settings.class(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. } => {
                true
            }
            _ => request.possible_execution.is_none() && request.attempt_in_flight().is_none(),
        }
    }

    /// The block whose requests this one is ordered among, if its class requires order.
    pub(super) fn ordering_block(&self, request: &Request) -> Option<BlockId> {
        request.block.filter(|_| self.settings.class(request.class).ordered_by_key)
    }

    /// Whether it is the request's turn among those for its block.
    pub(super) fn is_next_for_its_block(&self, id: RequestId, request: &Request) -> bool {
        let is_first_attempt = request.attempts == 0;
        self.ordering_block(request)
            .is_none_or(|block| self.ordering.admits(block, id, is_first_attempt, self.now_us))
    }

    /// Holds back first attempts for the request's block for the gap that the settings give.
    pub(super) fn delay_block(&mut self, id: RequestId) {
        let block = self.ordering_block(&self.requests[&id]);
        if let Some(block) = block {
            self.ordering.delay(block, self.now_us + self.settings.ordering_gap_us);
        }
    }
}

//! Decides whether a request may be sent or retried, according to the rules for idempotency, the retry budget
//! and the order of requests for one block.

use super::Scheduler;
use super::event::{BlockId, RequestId};
use super::node::NodeIndex;
use super::request::{PossibleExecution, Request};
use super::settings::{DeduplicationScope, Idempotency, RetryBudget};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The number of ordering queues below which unnecessary ones are not searched for.
const MIN_ORDERING_QUEUES: usize = 1_024;

/// The requests received and the retries sent within the retry window.
///
/// Platform rule (retry budget): the number of retries sent within the retry window must not exceed a fixed
/// burst plus a fixed fraction of the number of requests received within the retry window. Nothing is
/// recorded if there is no budget.
pub(super) struct RetryUsage {
    budget: Option<RetryBudget>,
    request_times_us: VecDeque<u64>,
    retry_times_us: VecDeque<u64>,
}

impl RetryUsage {
    pub(super) fn new(budget: Option<RetryBudget>) -> Self {
        RetryUsage { budget, request_times_us: VecDeque::new(), retry_times_us: VecDeque::new() }
    }

    /// Records that a request is received.
    pub(super) fn record_request(&mut self, now_us: u64) {
        let Some(budget) = self.budget else { return };
        drop_before(&mut self.request_times_us, (now_us + 1).saturating_sub(budget.window_us));
        self.request_times_us.push_back(now_us);
    }

    /// Records that a retry is sent.
    pub(super) fn record_retry(&mut self, now_us: u64) {
        if self.budget.is_some() {
            self.retry_times_us.push_back(now_us);
        }
    }

    /// Returns whether the budget allows one more retry now; always true if there is no budget.
    pub(super) fn admits_retry(&mut self, now_us: u64) -> bool {
        let Some(budget) = self.budget else { return true };
        // A request received exactly one retry window ago no longer counts; a retry sent at that time still
        // does.
        drop_before(&mut self.request_times_us, (now_us + 1).saturating_sub(budget.window_us));
        drop_before(&mut self.retry_times_us, now_us.saturating_sub(budget.window_us));
        let allowed = budget.burst + budget.ratio * self.request_times_us.len() as f64;
        self.retry_times_us.len() as f64 + 1.0 <= allowed
    }
}

/// Removes the times before `start_us` from a queue of increasing times.
fn drop_before(times_us: &mut VecDeque<u64>, start_us: u64) {
    while times_us.front().is_some_and(|at_us| *at_us < start_us) {
        times_us.pop_front();
    }
}

/// The unfinished requests for one block, in order of arrival.
#[derive(Default)]
struct BlockQueue {
    unfinished: VecDeque<RequestId>,
    /// Time before which no request for the block may have its first attempt sent.
    not_before_us: u64,
}

impl BlockQueue {
    fn is_needed(&self, now_us: u64) -> bool {
        !self.unfinished.is_empty() || now_us < self.not_before_us
    }
}

/// The queues of requests for each block, of the classes that require order.
///
/// Platform rule (ordering): the requests of such a class for one block are executed one at a time, in order
/// of arrival.
#[derive(Default)]
pub(super) struct OrderingQueues {
    queues: FxHashMap<BlockId, BlockQueue>,
    /// The number of queues at which those that are not needed are removed.
    max_queues: usize,
}

impl OrderingQueues {
    pub(super) fn len(&self) -> usize {
        self.queues.len()
    }

    pub(super) fn enqueue(&mut self, block: BlockId, request: RequestId) {
        self.queues.entry(block).or_default().unfinished.push_back(request);
    }

    /// Removes a request, and the queues that have become unnecessary. Those of delayed blocks are removed
    /// later.
    pub(super) fn remove(&mut self, block: BlockId, request: RequestId, now_us: u64) {
        if let Some(queue) = self.queues.get_mut(&block) {
            queue.unfinished.retain(|other| *other != request);
            if !queue.is_needed(now_us) {
                self.queues.remove(&block);
            }
        }
        if self.queues.len() > self.max_queues {
            self.queues.retain(|_, queue| queue.is_needed(now_us));
            self.max_queues = 2 * self.queues.len() + MIN_ORDERING_QUEUES;
        }
    }

    /// Delays first attempts for a block until the given time, because an attempt that the gateway considers
    /// ended may still be executing on its node. Retries are not delayed: only the request whose own earlier
    /// attempt may still be executing is retried, so the order is preserved.
    fn delay(&mut self, block: BlockId, until_us: u64) {
        if let Some(queue) = self.queues.get_mut(&block) {
            queue.not_before_us = queue.not_before_us.max(until_us);
        }
    }

    /// Returns whether the request is the first in its block's queue and not delayed.
    fn admits(&self, block: BlockId, id: RequestId, is_first_attempt: bool, now_us: u64) -> bool {
        let Some(queue) = self.queues.get(&block) else { return true };
        let is_delayed = is_first_attempt && now_us < queue.not_before_us;
        queue.unfinished.front() == Some(&id) && !is_delayed
    }
}

impl Scheduler {
    /// Returns whether the idempotency rule permits sending the request to at least some node. Does not check
    /// the deduplication scope; see [`Scheduler::idempotency_permits_sending_to`].
    ///
    /// Platform rule (idempotency): a request that may have been executed is sent again only if its class is
    /// idempotent or nodes still recognize its idempotency key.
    pub(super) fn idempotency_permits_sending(&self, request: &Request) -> bool {
        let Some(earlier_attempt) = request.possible_execution else { return true };
        match self.settings.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey { deduplication_window_us, .. } => {
                // Connecting may delay the attempt by up to the connect timeout. The nodes must still
                // recognize the key when the attempt is written to the connection.
                let latest_write_at_us = self.now_us + self.settings.connect_timeout_us;
                latest_write_at_us < earlier_attempt.sent_at_us + deduplication_window_us
            }
        }
    }

    /// Returns whether the idempotency rule permits a request to be sent, or sent again, to this node.
    ///
    /// Platform rule (idempotency): a request with an idempotency key that may have been executed is sent
    /// again only to nodes that recognize the key.
    pub(super) fn idempotency_permits_sending_to(&self, request: &Request, node: NodeIndex) -> bool {
        let key_is_recognized =
            || match (request.possible_execution, self.settings.class(request.class).idempotency) {
                (Some(earlier_attempt), Idempotency::WithKey { scope, .. }) => {
                    self.recognizes_key(scope, node, earlier_attempt)
                }
                _ => true,
            };
        self.idempotency_permits_sending(request) && key_is_recognized()
    }

    /// Returns whether a node recognizes the idempotency key of an earlier attempt, according to the
    /// deduplication scope.
    fn recognizes_key(
        &self,
        scope: DeduplicationScope,
        node: NodeIndex,
        earlier_attempt: PossibleExecution,
    ) -> bool {
        let (node, earlier_node) = (&self.nodes[node], &self.nodes[earlier_attempt.node]);
        match scope {
            DeduplicationScope::AllNodes => true,
            DeduplicationScope::Zone => node.zone == earlier_node.zone,
            DeduplicationScope::Shard => node.shard == earlier_node.shard,
        }
    }

    /// Returns whether it is safe for the client to repeat the request if the gateway does not serve it.
    pub(super) fn may_be_repeated_by_client(&self, request: &Request) -> bool {
        match self.settings.class(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. } => {
                true
            }
            _ => request.possible_execution.is_none() && request.attempt_in_flight().is_none(),
        }
    }

    /// Returns the block of the request if its class requires the requests for one block to be executed in
    /// order.
    pub(super) fn ordering_block(&self, request: &Request) -> Option<BlockId> {
        request.block.filter(|_| self.settings.class(request.class).ordered_by_block)
    }

    /// Returns whether the order of requests for the block allows the request to be sent; always true if its
    /// class requires no order.
    pub(super) fn is_next_for_block(&self, id: RequestId, request: &Request) -> bool {
        let is_first_attempt = request.attempts == 0;
        self.ordering_block(request)
            .is_none_or(|block| self.ordering.admits(block, id, is_first_attempt, self.now_us))
    }

    /// Delays first attempts for the request's block by the configured ordering gap.
    pub(super) fn delay_block(&mut self, id: RequestId) {
        let block = self.ordering_block(&self.requests[&id]);
        if let Some(block) = block {
            self.ordering.delay(block, self.now_us + self.settings.ordering_gap_us);
        }
    }
}

//! Dispatch: ranks the queued requests and sends them while the nodes' concurrency windows have free slots.

use super::Scheduler;
use super::action::Action;
use super::event::RequestId;
use super::node::{NodeIndex, NodeState};
use super::request::{AttemptInFlight, RateLimitCharge, Request, RequestState};
use super::settings::Idempotency;

/// Maximum gap between two attempts sent to a paced node.
const MAX_PACING_GAP_US: f64 = 5_000_000.0;
/// The gap after an attempt is the pacing interval times a random factor, which ranges from this value to
/// this value plus 1.
const MIN_PACING_GAP_FACTOR: f64 = 0.5;

/// The priority order in which queued requests are considered for a free slot, highest first. While the node
/// is not backlogged, alpha may assign the slot to the ranks below [`DispatchRank::Preferred`] instead.
///
/// A node is backlogged while a latency-bound request in the queue of its shard is past its queueing
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchRank {
    /// If the node is not backlogged: all latency-bound requests. If it is backlogged: latency-bound requests
    /// and urgent background requests, both only if they are within their volume's reservation and can still
    /// meet their latency objective.
    Preferred,
    /// Other background requests within their volume's reservation.
    ReservedBackground,
    /// Latency-bound requests beyond their volume's reservation, if the node is backlogged.
    UnreservedLatencyBound,
    /// Background requests beyond their volume's reservation.
    UnreservedBackground,
    /// Requests that can no longer meet their latency objective, if the node is backlogged.
    WouldMissObjective,
}

impl DispatchRank {
    /// Returns whether requests of this rank are ordered first by weighted fair queueing among their volumes,
    /// and only then by queueing deadline.
    fn uses_fair_queue(self) -> bool {
        !matches!(self, DispatchRank::Preferred | DispatchRank::WouldMissObjective)
    }
}

/// A request in the queue of the node's shard, with its sort keys. Whether the request may be sent now is
/// checked later.
struct Candidate {
    rank: DispatchRank,
    /// The request's start time in the virtual time of the node's fair queue; 0 if its rank does not use fair
    /// queueing.
    virtual_start: f64,
    queueing_deadline_us: u64,
    /// The request's position in the queue.
    position: usize,
}

/// The request that is sent next to a node.
struct Selection {
    /// The request's position in the queue.
    position: usize,
    /// Whether the request was selected from a rank below [`DispatchRank::Preferred`]. Its units are then
    /// charged to the node's fair queue.
    from_lower_rank: bool,
}

impl Scheduler {
    /// Sends queued requests until the concurrency windows of all nodes are full or nothing more may be sent.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut order: Vec<NodeIndex> = (0..self.nodes.len()).collect();
        // Nodes that are not ready come last, so that requests prefer a shard's new node to its draining one.
        // Otherwise the node with the fewest attempts in flight comes first.
        order.sort_by_key(|node| (!self.nodes[*node].is_ready(), self.nodes[*node].in_flight));
        for node in order {
            self.dispatch_to(node, actions);
        }
    }

    /// Sends requests from the queue of the node's shard until the node has no capacity or no request may be
    /// sent to it.
    fn dispatch_to(&mut self, node: NodeIndex, actions: &mut Vec<Action>) {
        let shard = self.nodes[node].shard;
        let Some(mut queue) = self.queues.remove(&shard) else { return };
        queue.retain(|id| {
            self.requests.get(id).is_some_and(|request| request.is_queued() && request.shard() == Some(shard))
        });
        while self.nodes[node].has_capacity(self.now_us) {
            let Some(selection) = self.select_next(node, &queue) else { break };
            let id = queue.remove(selection.position);
            self.requests[&id].sent_from_lower_rank = selection.from_lower_rank;
            self.send(id, node, actions);
        }
        if !queue.is_empty() {
            self.queues.entry(shard).or_default().extend(queue);
        }
    }

    /// Selects the queued request to send to this node next; `None` if no request may be sent now.
    fn select_next(&mut self, node: NodeIndex, queue: &[RequestId]) -> Option<Selection> {
        // Deviation from the paper: a backlogged node does not use earliest-deadline-first order alone,
        // because the requests that have waited longest, many of them too late to earn their full priority
        // weight, would go first. Instead, latency-bound requests beyond their volume's reservation rank
        // below the reserved background requests, and requests that would miss their objective rank last.
        let is_backlogged = queue.iter().any(|id| {
            let request = &self.requests[id];
            !self.is_background(request) && request.queueing_deadline_us < self.now_us
        });
        let candidates = self.ranked_candidates(node, queue, is_backlogged);
        let is_preferred = |candidate: &Candidate| candidate.rank == DispatchRank::Preferred;
        let (preferred, other) = candidates.split_at(candidates.partition_point(is_preferred));
        let preferred = self.first_sendable(preferred, queue, node);
        let other = self.first_sendable(other, queue, node);
        match (preferred, other) {
            (Some(position), None) => Some(Selection { position, from_lower_rank: false }),
            (None, Some(position)) => Some(Selection { position, from_lower_rank: true }),
            (None, None) => None,
            (Some(preferred), Some(other)) => {
                // Deviation from the paper: while the node is backlogged, the preferred request always goes
                // first. Alpha is low after a period of light load and would assign most slots to background
                // requests until it recovers.
                if is_backlogged || self.slot_split.draw_latency_bound(&mut self.rng) {
                    Some(Selection { position: preferred, from_lower_rank: false })
                } else {
                    Some(Selection { position: other, from_lower_rank: true })
                }
            }
        }
    }

    /// Returns the queue position of the first candidate that may be sent to the node now.
    fn first_sendable(
        &mut self,
        candidates: &[Candidate],
        queue: &[RequestId],
        node: NodeIndex,
    ) -> Option<usize> {
        let mut positions = candidates.iter().map(|candidate| candidate.position);
        positions.find(|position| self.may_be_sent_now(queue[*position], node))
    }

    /// Returns all requests in the queue of the node's shard, sorted by rank, then virtual start time, then
    /// queueing deadline.
    fn ranked_candidates(&self, node: NodeIndex, queue: &[RequestId], is_backlogged: bool) -> Vec<Candidate> {
        let node = &self.nodes[node];
        let mut candidates = Vec::with_capacity(queue.len());
        for (position, id) in queue.iter().enumerate() {
            let request = &self.requests[id];
            let rank = self.rank(request, node, is_backlogged);
            let virtual_start =
                if rank.uses_fair_queue() { node.fair_queue.start_time(request.volume) } else { 0.0 };
            candidates.push(Candidate {
                rank,
                virtual_start,
                queueing_deadline_us: request.queueing_deadline_us,
                position,
            });
        }
        candidates.sort_by(|first, second| {
            let by_rank = first.rank.cmp(&second.rank);
            by_rank
                .then(first.virtual_start.total_cmp(&second.virtual_start))
                .then(first.queueing_deadline_us.cmp(&second.queueing_deadline_us))
        });
        candidates
    }

    fn rank(&self, request: &Request, node: &NodeState, is_backlogged: bool) -> DispatchRank {
        if is_backlogged && self.would_miss_objective(request, node) {
            return DispatchRank::WouldMissObjective;
        }
        match (self.is_background(request), request.reserved) {
            // If the node is backlogged, urgent background requests within their reservation have the same
            // rank as latency-bound requests.
            (true, true) if is_backlogged && self.is_urgent(request) => DispatchRank::Preferred,
            (true, true) => DispatchRank::ReservedBackground,
            (true, false) => DispatchRank::UnreservedBackground,
            (false, false) if is_backlogged => DispatchRank::UnreservedLatencyBound,
            (false, _) => DispatchRank::Preferred,
        }
    }

    fn is_background(&self, request: &Request) -> bool {
        request.class == self.background_class
    }

    /// Returns whether a request is past its queueing deadline and close to its latency objective: the time
    /// that remains is less than the tightest objective of all classes.
    fn is_urgent(&self, request: &Request) -> bool {
        let urgent_until_us = self.now_us + self.tightest_objective_us as u64;
        request.queueing_deadline_us < self.now_us && request.objective_at_us < urgent_until_us
    }

    /// Returns whether a request would miss its latency objective if it were sent to this node now.
    fn would_miss_objective(&self, request: &Request, node: &NodeState) -> bool {
        self.now_us + node.expected_latency_us(request.units) as u64 > request.objective_at_us
    }

    /// Returns the priority that this request has if it is sent to this node now, as a fraction of the
    /// highest possible priority.
    fn priority(&self, request: &Request, node: &NodeState) -> f64 {
        let class = self.settings.class(request.class);
        let plan = self.settings.plan(request.plan);
        let unreserved_factor = if request.reserved { 1.0 } else { self.settings.unreserved_weight_factor };
        let late_factor =
            if self.would_miss_objective(request, node) { class.late_weight_factor } else { 1.0 };
        class.priority_weight * plan.priority_factor / self.max_priority * unreserved_factor * late_factor
    }

    /// Returns how long pacing, backoff and slow start delay the sending of this request to a node, in
    /// microseconds. The gap at a paced node is divided by the request's priority, so that requests of lower
    /// priority wait longer.
    pub(super) fn node_wait_us(&self, node: &NodeState, request: &Request) -> u64 {
        let pacing_gap_us = if node.pacing.is_active() {
            (node.pacing.gap_us() / self.priority(request, node)).min(MAX_PACING_GAP_US) as u64
        } else {
            0
        };
        let ready_at_us = (node.pacing.last_sent_at_us() + pacing_gap_us).max(node.health.backoff_until_us());
        let slow_start_wait_us = self.slow_start.wait_us(node, request.units, self.now_us);
        ready_at_us.saturating_sub(self.now_us).max(slow_start_wait_us)
    }

    /// Returns the shortest [`Scheduler::node_wait_us`] among the nodes of the request's shard that accept
    /// work; `None` if no node does.
    pub(super) fn shortest_node_wait_us(&self, request: &Request) -> Option<u64> {
        let shard = request.shard();
        let accepting_nodes =
            self.nodes.iter().filter(|node| node.accepts_work(self.now_us) && Some(node.shard) == shard);
        accepting_nodes.map(|node| self.node_wait_us(node, request)).min()
    }

    /// Returns whether a request may be sent to this node now, according to the node's delays, the
    /// idempotency and ordering rules, the volume's rate limit and the retry budget.
    fn may_be_sent_now(&mut self, id: RequestId, node: NodeIndex) -> bool {
        let request = &self.requests[&id];
        if self.node_wait_us(&self.nodes[node], request) > 0
            || !self.idempotency_permits_sending_to(request, node)
        {
            return false;
        }
        // A retry is withheld from the node of its latest attempt if another node of the shard has capacity.
        if request.last_node == Some(node) && self.another_node_has_capacity(node) {
            return false;
        }
        if !self.is_next_for_block(id, request) || !self.rate_limit_admits(id) {
            return false;
        }
        let is_retry = self.requests[&id].attempts > 0;
        !is_retry || self.retry_usage.admits_retry(self.now_us)
    }

    /// Returns whether another node of the same shard has capacity.
    fn another_node_has_capacity(&self, node: NodeIndex) -> bool {
        let shard = self.nodes[node].shard;
        let mut others = self.nodes.iter().enumerate().filter(|(index, _)| *index != node);
        others.any(|(_, other)| other.shard == shard && other.has_capacity(self.now_us))
    }

    /// Returns whether the rate limit of the request's volume admits it now; true if the request is already
    /// charged to the limit or its plan has none.
    fn rate_limit_admits(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        if !request.is_rate_limit_charge_pending() {
            return true;
        }
        let Some(volume) = self.volumes.get_mut(request.volume) else { return true };
        let plan = self.settings.plan(request.plan);
        volume.advance(plan, self.now_us, self.settings.max_request_units);
        volume.rate_limit_admits(plan, request.units)
    }

    /// Sends an attempt and records it in the retry budget, the rate limit and the state of the node.
    fn send(&mut self, id: RequestId, node_index: NodeIndex, actions: &mut Vec<Action>) {
        let max_fair_queue_volumes = self.volumes.max_len() / self.nodes.len().max(1);
        let request = &mut self.requests[&id];
        let node = &mut self.nodes[node_index];
        node.slow_start = self.slow_start.bucket_after_send(node, request.units, self.now_us);
        self.volumes.record_sent(request.volume);
        if request.attempts > 0 {
            self.retry_usage.record_retry(self.now_us);
        }
        if request.is_rate_limit_charge_pending()
            && let Some(volume) = self.volumes.get_mut(request.volume)
        {
            volume.charge(request.units);
            request.rate_limit_charge = RateLimitCharge::Settled;
        }
        if request.sent_from_lower_rank {
            let weight = self.settings.plan(request.plan).weight;
            node.fair_queue.record_send(request.volume, request.units, weight, max_fair_queue_volumes);
        }
        node.pacing.record_send(self.now_us, MIN_PACING_GAP_FACTOR + self.rng.f64());
        request.attempts += 1;
        request.last_node = Some(node_index);
        request.state = RequestState::InFlight(AttemptInFlight {
            node: node_index,
            sent_at_us: self.now_us,
            node_successes: node.successes,
            presumed_lost: false,
        });
        node.in_flight += 1;
        let node = node.id.clone();
        let timeout_us = self.attempt_timeout_us(id, node_index);
        actions.push(Action::SendAttempt { request: id, node, timeout_us });
    }

    /// Returns the timeout of an attempt, in microseconds from now; `None` if the attempt may last until the
    /// request expires.
    ///
    /// Deviation from the paper: if nodes honor cancellation, an attempt sent to a node whose concurrency
    /// window is at its minimum times out at the request's latency objective. Non-idempotent requests are
    /// excluded, because neither the gateway nor the client may repeat them after a timeout. Requests are
    /// also excluded if the time until their objective is shorter than the expected latency of the attempt,
    /// because the timeout would only waste the node's work.
    fn attempt_timeout_us(&self, id: RequestId, node: NodeIndex) -> Option<u64> {
        let (request, node) = (&self.requests[&id], &self.nodes[node]);
        let idempotency = self.settings.class(request.class).idempotency;
        let may_time_out_early = self.settings.nodes_honor_cancellation
            && idempotency != Idempotency::NonIdempotent
            && node.window.is_minimal();
        let remaining_us = request.objective_at_us.saturating_sub(self.now_us);
        let has_enough_time =
            remaining_us > 0 && remaining_us as f64 >= node.expected_latency_us(request.units);
        (may_time_out_early && has_enough_time).then_some(remaining_us)
    }
}

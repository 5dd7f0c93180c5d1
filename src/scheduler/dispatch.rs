//! Dispatch: queued requests are ranked, and sent while the nodes' windows have free slots.

use super::Scheduler;
use super::action::Action;
use super::event::RequestId;
use super::node::{NodeIndex, NodeState};
use super::request::{AttemptInFlight, RateLimitCharge, Request, RequestState};
use super::settings::Idempotency;

/// The longest gap between two attempts at a paced node.
const MAX_PACING_GAP_US: f64 = 5_000_000.0;
/// The gap after an attempt is the pacing interval times a random factor between this and this plus one.
const MIN_PACING_GAP_FACTOR: f64 = 0.5;

/// The order in which queued requests are considered for a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchRank {
    /// Latency-bound work, unless it falls under a later rank; and, where the node is short of capacity,
    /// reserved background work that is past due and close to its objective.
    LatencyBound,
    /// Background work within its volume's reservation.
    ReservedBackground,
    /// Latency-bound work beyond its volume's reservation, where the node is short of capacity.
    SurplusLatencyBound,
    /// Background work beyond its volume's reservation.
    SurplusBackground,
    /// What can no longer meet its objective, where the node is short of capacity.
    PastObjective,
}

impl DispatchRank {
    /// Whether requests of this rank are queued fairly among their volumes, rather than by due time alone.
    fn is_fairly_queued(self) -> bool {
        !matches!(self, DispatchRank::LatencyBound | DispatchRank::PastObjective)
    }
}

/// A queued request that may be sent next.
struct Candidate {
    rank: DispatchRank,
    /// When it starts in the node's virtual time; 0 if its rank is not queued fairly.
    virtual_start: f64,
    due_at_us: u64,
    /// Its position in the queue.
    position: usize,
}

/// What is sent next to a node.
struct Selection {
    /// The request's position in the queue.
    position: usize,
    /// Whether it is sent with the background work.
    as_background: bool,
}

impl Scheduler {
    /// Fills the nodes' windows from the queues.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut order: Vec<NodeIndex> = (0..self.nodes.len()).collect();
        // A draining node comes last: its successor, once listed, takes the shard's work.
        order.sort_by_key(|node| (!self.nodes[*node].is_ready(), self.nodes[*node].in_flight));
        for node in order {
            self.dispatch_to(node, actions);
        }
    }

    /// Fills a node's window from the queue of its shard.
    fn dispatch_to(&mut self, node: NodeIndex, actions: &mut Vec<Action>) {
        let shard = self.nodes[node].shard;
        let Some(mut queue) = self.queues.remove(&shard) else { return };
        queue.retain(|id| {
            self.requests.get(id).is_some_and(|request| request.is_queued() && request.shard() == Some(shard))
        });
        while self.nodes[node].has_capacity(self.now_us) {
            let Some(selection) = self.select_next(node, &queue) else { break };
            let id = queue.remove(selection.position);
            self.requests[&id].sent_as_background = selection.as_background;
            self.send(id, node, actions);
        }
        if !queue.is_empty() {
            self.queues.entry(shard).or_default().extend(queue);
        }
    }

    /// Which of the queued requests is sent next to this node.
    fn select_next(&mut self, node: NodeIndex, queue: &[RequestId]) -> Option<Selection> {
        // EXCEPTION: if latency-bound work is past due, the node is short of capacity. Earliest-due-first
        // would then serve work that has already lost its full weight, so work beyond its volume's
        // reservation is ranked with the background work, and work that would miss its objective is ranked
        // last.
        let is_short = queue.iter().any(|id| {
            let request = &self.requests[id];
            !self.is_background(request) && request.due_at_us < self.now_us
        });
        let candidates = self.ranked_candidates(node, queue, is_short);
        let is_latency_bound = |candidate: &Candidate| candidate.rank == DispatchRank::LatencyBound;
        let (latency_bound, background) = candidates.split_at(candidates.partition_point(is_latency_bound));
        let latency_bound = self.first_sendable(latency_bound, queue, node);
        let background = self.first_sendable(background, queue, node);
        match (latency_bound, background) {
            (Some(position), None) => Some(Selection { position, as_background: false }),
            (None, Some(position)) => Some(Selection { position, as_background: true }),
            (None, None) => None,
            (Some(latency_bound), Some(background)) => {
                // EXCEPTION: while the node is short, latency-bound work always goes first. Alpha is low
                // after a quiet period and would give most slots to background work until it recovers.
                if is_short || self.slot_split.draw_latency_bound(&mut self.rng) {
                    Some(Selection { position: latency_bound, as_background: false })
                } else {
                    Some(Selection { position: background, as_background: true })
                }
            }
        }
    }

    /// The position in the queue of the first candidate that may be sent now.
    fn first_sendable(
        &mut self,
        candidates: &[Candidate],
        queue: &[RequestId],
        node: NodeIndex,
    ) -> Option<usize> {
        let mut positions = candidates.iter().map(|candidate| candidate.position);
        positions.find(|position| self.may_be_sent_now(queue[*position], node))
    }

    fn ranked_candidates(&self, node: NodeIndex, queue: &[RequestId], is_short: bool) -> Vec<Candidate> {
        let node = &self.nodes[node];
        let mut candidates = Vec::with_capacity(queue.len());
        for (position, id) in queue.iter().enumerate() {
            let request = &self.requests[id];
            let rank = self.rank(request, node, is_short);
            let virtual_start =
                if rank.is_fairly_queued() { node.fair_queue.start_time(request.volume) } else { 0.0 };
            candidates.push(Candidate { rank, virtual_start, due_at_us: request.due_at_us, position });
        }
        candidates.sort_by(|first, second| {
            let by_rank = first.rank.cmp(&second.rank);
            by_rank
                .then(first.virtual_start.total_cmp(&second.virtual_start))
                .then(first.due_at_us.cmp(&second.due_at_us))
        });
        candidates
    }

    fn rank(&self, request: &Request, node: &NodeState, is_short: bool) -> DispatchRank {
        if is_short && self.would_be_late(request, node) {
            return DispatchRank::PastObjective;
        }
        match (self.is_background(request), request.reserved) {
            // Where the node is short, reserved background work competes with latency-bound work once it is
            // pressing.
            (true, true) if is_short && self.is_pressing(request) => DispatchRank::LatencyBound,
            (true, true) => DispatchRank::ReservedBackground,
            (true, false) => DispatchRank::SurplusBackground,
            (false, false) if is_short => DispatchRank::SurplusLatencyBound,
            (false, _) => DispatchRank::LatencyBound,
        }
    }

    fn is_background(&self, request: &Request) -> bool {
        request.class == self.background_class
    }

    /// Whether a request is past due and its objective ends within one tightest objective from now.
    fn is_pressing(&self, request: &Request) -> bool {
        let pressing_until_us = self.now_us + self.tightest_objective_us as u64;
        request.due_at_us < self.now_us && request.objective_at_us < pressing_until_us
    }

    /// Whether a request would miss its objective if it were sent to this node now.
    fn would_be_late(&self, request: &Request, node: &NodeState) -> bool {
        self.now_us + node.expected_latency_us(request.units) as u64 > request.objective_at_us
    }

    /// The priority of this request if it is sent to this node now, relative to the highest possible.
    fn priority(&self, request: &Request, node: &NodeState) -> f64 {
        let class = self.settings.class(request.class);
        let plan = self.settings.plan(request.plan);
        let surplus_factor = if request.reserved { 1.0 } else { self.settings.fair_share_weight_factor };
        let late_factor = if self.would_be_late(request, node) { class.late_weight_factor } else { 1.0 };
        class.priority_weight * plan.priority_factor / self.max_priority * surplus_factor * late_factor
    }

    /// How long until this request may be sent to a node, in microseconds. The gap at a paced node is divided
    /// by the priority, so that less important requests wait longer.
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

    /// The shortest such wait among the nodes of the request's shard that accept work; none if there are
    /// none.
    pub(super) fn shortest_node_wait_us(&self, request: &Request) -> Option<u64> {
        let shard = request.shard();
        let serving =
            self.nodes.iter().filter(|node| node.accepts_work(self.now_us) && Some(node.shard) == shard);
        serving.map(|node| self.node_wait_us(node, request)).min()
    }

    /// Whether the rules allow a request to be sent to this node now.
    fn may_be_sent_now(&mut self, id: RequestId, node: NodeIndex) -> bool {
        let request = &self.requests[&id];
        if self.node_wait_us(&self.nodes[node], request) > 0 || !self.may_be_sent_to(request, node) {
            return false;
        }
        // What failed at a node is retried at another of its shard, where one has capacity.
        if request.last_node == Some(node) && self.another_node_has_capacity(node) {
            return false;
        }
        if !self.is_next_for_its_block(id, request) || !self.rate_limit_admits(id) {
            return false;
        }
        let is_retry = self.requests[&id].attempts > 0;
        !is_retry || self.retry_usage.admits_retry(self.now_us)
    }

    /// Whether another node of the same shard has capacity.
    fn another_node_has_capacity(&self, node: NodeIndex) -> bool {
        let shard = self.nodes[node].shard;
        let mut others = self.nodes.iter().enumerate().filter(|(index, _)| *index != node);
        others.any(|(_, other)| other.shard == shard && other.has_capacity(self.now_us))
    }

    /// Whether the rate limit of a request's volume admits it now.
    fn rate_limit_admits(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        if !request.owes_rate_limit() {
            return true;
        }
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return true };
        let plan = self.settings.plan(request.plan);
        volume.advance(plan, self.now_us, self.settings.max_request_units);
        volume.rate_limit_admits(plan, request.units)
    }

    fn send(&mut self, id: RequestId, node_index: NodeIndex, actions: &mut Vec<Action>) {
        let request = &mut self.requests[&id];
        let node = &mut self.nodes[node_index];
        node.slow_start = self.slow_start.bucket_after(node, request.units, self.now_us);
        if request.attempts > 0 {
            self.retry_usage.record_retry(self.now_us);
        }
        if request.owes_rate_limit()
            && let Some(volume) = self.volumes.get_mut(&request.volume)
        {
            volume.charge(request.units);
            request.rate_limit_charge = RateLimitCharge::Settled;
        }
        if request.sent_as_background {
            let weight = self.settings.plan(request.plan).weight;
            node.fair_queue.serve(request.volume, request.units, weight);
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

    /// EXCEPTION: at an overloaded node an attempt times out at its objective, if nodes honour cancellation.
    /// Non-idempotent requests are excluded, because their clients may be unable to retry; so are requests
    /// with less time left than an attempt takes, which would only waste work.
    fn attempt_timeout_us(&self, id: RequestId, node: NodeIndex) -> Option<u64> {
        let (request, node) = (&self.requests[&id], &self.nodes[node]);
        let idempotency = self.settings.class(request.class).idempotency;
        let may_be_cut = self.settings.cancellation
            && idempotency != Idempotency::NonIdempotent
            && node.window.is_minimal();
        let left_us = request.objective_at_us.saturating_sub(self.now_us);
        let is_enough = left_us > 0 && left_us as f64 >= node.expected_latency_us(request.units);
        (may_be_cut && is_enough).then_some(left_us)
    }
}

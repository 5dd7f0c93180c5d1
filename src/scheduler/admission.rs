//! Admission: decides whether an incoming request is queued or rejected, and chooses a shard for new objects.

use super::Scheduler;
use super::action::Action;
use super::event::{IncomingRequest, RequestId, ShardId};
use super::request::{Placement, RateLimitCharge, Request, RequestState};
use super::volume::Volume;

/// The assumed latency of a node whose service time is unknown, as a fraction of the tightest objective.
const ASSUMED_LATENCY_OBJECTIVE_FRACTION: f64 = 0.25;
/// The factor by which the expected wait at a failing node is multiplied.
const FAILING_NODE_WAIT_FACTOR: f64 = 10.0;
/// The lower bound of a warming-up node's capacity, by which the expected wait at the node is divided.
const MIN_ASSUMED_CAPACITY: f64 = 0.1;
/// The maximum relative increase of an expected wait by a random factor, which spreads new objects over nodes
/// with equal waits.
const MAX_PLACEMENT_JITTER: f64 = 0.1;

/// The result of checking a request against its volume's rate limit and reservation.
enum VolumeAdmission {
    /// The rate limit would not admit the request before its objective and its expiry, or can never admit it.
    /// `wait_us` is the missing tokens divided by the fill rate. This is the time until enough tokens have
    /// accumulated, except for a request that can never be admitted: its tokens never accumulate.
    RateLimited { wait_us: u64 },
    /// The request is queued. `reserved` is true if it is within the volume's reservation.
    Admitted { reserved: bool },
}

impl Scheduler {
    /// Queues a request that has arrived, or rejects it if its class or plan is unknown or its volume's rate
    /// limit would not admit it in time.
    pub(super) fn admit(&mut self, incoming: &IncomingRequest, actions: &mut Vec<Action>) {
        self.retry_usage.record_request(self.now_us);
        if !self.settings.contains(incoming.class, incoming.plan) {
            actions.push(Action::Reject { request: incoming.id, retry_after_us: None });
            return;
        }
        let objective_at_us = self.objective_at_us(incoming);
        let reserved = match self.admit_to_volume(incoming, objective_at_us) {
            VolumeAdmission::RateLimited { wait_us } => {
                let retry_after_us = self.retry_after_us(wait_us);
                actions.push(Action::Reject { request: incoming.id, retry_after_us });
                return;
            }
            VolumeAdmission::Admitted { reserved } => reserved,
        };
        if let Some(shard) = incoming.shard.filter(|_| reserved) {
            let is_held = |shard: ShardId| self.nodes.iter().any(|node| node.shard == shard);
            self.slow_start.record_requested(shard, incoming.units, self.now_us, is_held);
        }
        let request = self.new_request(incoming, objective_at_us, reserved);
        if let Some(block) = self.ordering_block(&request) {
            self.ordering.enqueue(block, incoming.id);
        }
        self.volumes.record_queued(incoming.volume);
        self.requests.insert(incoming.id, request);
        self.place_and_enqueue(incoming.id);
    }

    /// Returns the time by which the request should be answered to meet its latency objective. A class
    /// without an objective counts as a class with an objective of 0. If the client's remaining time is
    /// shorter than the longest that was observed in its class, the client is assumed to have spent the
    /// difference at another gateway.
    fn objective_at_us(&mut self, incoming: &IncomingRequest) -> u64 {
        let class = self.settings.class(incoming.class);
        let remaining_us = incoming.expires_at_us.saturating_sub(self.now_us);
        let longest_timeout_us = &mut self.longest_timeouts_us[incoming.class.0];
        *longest_timeout_us = (*longest_timeout_us).max(remaining_us.min(class.deadline_us));
        let assumed_start_at_us = self.now_us.saturating_sub(longest_timeout_us.saturating_sub(remaining_us));
        // The service time of the first node represents that of all nodes.
        let service_time_us =
            self.nodes.first().map_or(0.0, |node| node.service_time_per_unit_us * incoming.units);
        let stretch_us = (class.objective_stretch * service_time_us) as u64;
        let objective_us = class.latency_objective_us.unwrap_or(0) + stretch_us;
        assumed_start_at_us + objective_us.min(class.deadline_us)
    }

    /// Records the request at its volume, and decides whether it is rejected by the rate limit, admitted
    /// within the reservation, or admitted beyond the reservation. A request that the rate limit cannot admit
    /// before its objective and its expiry is rejected at once, because in the queue it would delay all
    /// requests behind it.
    fn admit_to_volume(&mut self, incoming: &IncomingRequest, objective_at_us: u64) -> VolumeAdmission {
        let plan = self.settings.plan(incoming.plan);
        let (gateway_count, max_request_units) =
            (incoming.volume_gateway_count.max(1.0), self.settings.max_request_units);
        let started_at_us = self.started_at_us;
        let volume = self.volumes.get_or_create(incoming.volume, self.now_us, || {
            Volume::new(plan, gateway_count, max_request_units, started_at_us)
        });
        volume.gateway_count = volume.gateway_count.max(gateway_count);
        volume.advance(plan, self.now_us, max_request_units);
        volume.record_requested(incoming.units);
        if let Some(limit) = &plan.rate_limit {
            let wait_us = volume.rate_limit_wait_us(limit, incoming.units);
            let remaining_us = incoming.expires_at_us.saturating_sub(self.now_us);
            let max_wait_us = objective_at_us.saturating_sub(self.now_us).min(remaining_us);
            if wait_us >= max_wait_us || volume.can_never_admit(limit, incoming.units) {
                return VolumeAdmission::RateLimited { wait_us };
            }
        }
        volume.add_uncharged(incoming.units);
        VolumeAdmission::Admitted { reserved: volume.try_reserve(incoming.units) }
    }

    fn new_request(&self, incoming: &IncomingRequest, objective_at_us: u64, reserved: bool) -> Request {
        let queueing_budget_us = self.latency_models[incoming.class.0].queueing_budget_us;
        Request {
            class: incoming.class,
            plan: incoming.plan,
            volume: incoming.volume,
            block: incoming.block,
            placement: incoming.shard.map_or(Placement::AnyShard(None), Placement::Fixed),
            units: incoming.units,
            arrived_at_us: self.now_us,
            queueing_deadline_us: self.now_us + queueing_budget_us as u64,
            objective_at_us,
            expires_at_us: incoming.expires_at_us,
            state: RequestState::Queued,
            attempts: 0,
            last_node: None,
            possible_execution: None,
            response_started: false,
            reserved,
            sent_from_lower_rank: false,
            rate_limit_charge: match self.settings.plan(incoming.plan).rate_limit {
                Some(_) => RateLimitCharge::Pending,
                None => RateLimitCharge::Settled,
            },
        }
    }

    /// Appends a request to the queue of its shard. If the shard may still be chosen, first chooses the one
    /// with the shortest expected wait. A request without a shard is not added to any queue.
    pub(super) fn place_and_enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.may_change_shard() {
            let chosen = self.choose_shard();
            self.requests[&id].placement = Placement::AnyShard(chosen);
        }
        if let Some(shard) = self.requests[&id].shard() {
            self.queues.entry(shard).or_default().push(id);
        }
    }

    /// Returns the shard of the ready node with the shortest expected wait for a new object; `None` if no
    /// node is ready.
    fn choose_shard(&mut self) -> Option<ShardId> {
        let mut shortest: Option<(f64, ShardId)> = None;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_ready() {
                continue;
            }
            let jitter = 1.0 + MAX_PLACEMENT_JITTER * self.rng.f64();
            let wait_us = self.expected_new_object_wait_us(index) * jitter;
            if shortest.is_none_or(|(shortest_us, _)| wait_us < shortest_us) {
                shortest = Some((wait_us, self.nodes[index].shard));
            }
        }
        shortest.map(|(_, shard)| shard)
    }

    /// Returns the expected wait of a new object at a node, in microseconds. The estimate is higher for a
    /// node that is failing or warming up. The node's latency is assumed to be at least the age of its oldest
    /// attempt in flight.
    fn expected_new_object_wait_us(&self, index: usize) -> f64 {
        let node = &self.nodes[index];
        let mean_units = self.settings.mean_request_units;
        let queued = self.queues.get(&node.shard).map_or(0, Vec::len) as f64;
        let latency_us = if node.service_time_per_unit_us > 0.0 {
            node.expected_latency_us(mean_units)
        } else {
            self.tightest_objective_us * ASSUMED_LATENCY_OBJECTIVE_FRACTION
        };
        let latency_us = latency_us.max(node.health.oldest_attempt_age_us);
        let wait_factor = if node.health.is_failing() {
            FAILING_NODE_WAIT_FACTOR
        } else {
            1.0 / self.slow_start.capacity(node, self.now_us).max(MIN_ASSUMED_CAPACITY)
        };
        let slow_start_wait_us = self.slow_start.wait_us(node, mean_units, self.now_us) as f64;
        let request_count = queued + node.reported_requests.max(f64::from(node.in_flight)) + 1.0;
        request_count * latency_us * wait_factor + slow_start_wait_us
    }
}

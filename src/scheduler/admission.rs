//! Admission: a request arrives, is classified, and is queued or rejected.

use super::Scheduler;
use super::action::Action;
use super::event::{IncomingRequest, RequestId, ShardId};
use super::request::{Placement, RateLimitCharge, Request, RequestState};
use super::volume::Volume;

/// A node whose service time is unknown is assumed to serve a request in this part of the tightest objective.
const ASSUMED_LATENCY_FRACTION: f64 = 0.25;
/// The expected wait at a failing node is multiplied by this.
const FAILING_NODE_PENALTY: f64 = 10.0;
/// The expected wait at a warming-up node is divided by its capacity, or by this if that is larger.
const MIN_ASSUMED_CAPACITY: f64 = 0.1;
/// Expected waits are multiplied by a random factor from one to one plus this, so that equal nodes share new
/// objects.
const PLACEMENT_JITTER: f64 = 0.1;

/// What becomes of a request at its volume.
enum VolumeAdmission {
    /// The rate limit would not admit it within its objective.
    RateLimited { wait_us: u64 },
    /// It is queued.
    Admitted { reserved: bool },
}

impl Scheduler {
    /// Handles a request that has arrived.
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
            self.slow_start.record_requested(shard, incoming.units, self.now_us);
        }
        let request = self.queued_request(incoming, objective_at_us, reserved);
        if let Some(block) = self.ordering_block(&request) {
            self.ordering.enqueue(block, incoming.id);
        }
        self.requests.insert(incoming.id, request);
        self.enqueue(incoming.id);
    }

    /// When an answer no longer earns the full priority weight. A client with less time left than clients of
    /// its class usually have is assumed to have waited for the difference at another gateway.
    fn objective_at_us(&mut self, incoming: &IncomingRequest) -> u64 {
        let class = self.settings.class(incoming.class);
        let left_us = incoming.expires_at_us.saturating_sub(self.now_us);
        let longest_us = &mut self.longest_timeouts_us[incoming.class.0];
        *longest_us = (*longest_us).max(left_us.min(class.deadline_us));
        let began_at_us = self.now_us.saturating_sub(longest_us.saturating_sub(left_us));
        // The first node stands for all.
        let service_time_us =
            self.nodes.first().map_or(0.0, |node| node.service_time_per_unit_us * incoming.units);
        let stretch_us = (class.objective_stretch * service_time_us) as u64;
        let objective_us = class.latency_objective_us.unwrap_or(0) + stretch_us;
        began_at_us + objective_us.min(class.deadline_us)
    }

    /// Counts the request at its volume and decides whether it is rejected by the rate limit, admitted within
    /// the reservation, or admitted beyond it. A request that the rate limit cannot admit within its
    /// objective is rejected at once: queued, it would delay everything behind it.
    fn admit_to_volume(&mut self, incoming: &IncomingRequest, objective_at_us: u64) -> VolumeAdmission {
        let plan = self.settings.plan(incoming.plan);
        let (gateways, max_units) = (incoming.volume_gateways.max(1.0), self.settings.max_request_units);
        let started_at_us = self.started_at_us;
        let volume = self
            .volumes
            .entry(incoming.volume)
            .or_insert_with(|| Volume::new(plan, gateways, max_units, started_at_us));
        volume.gateways = volume.gateways.max(gateways);
        volume.advance(plan, self.now_us, max_units);
        volume.record_requested_here(incoming.units);
        if let Some(limit) = &plan.rate_limit {
            let wait_us = volume.rate_limit_wait_us(limit, incoming.units);
            let left_us = incoming.expires_at_us.saturating_sub(self.now_us);
            let useful_wait_us = objective_at_us.saturating_sub(self.now_us).min(left_us);
            if wait_us >= useful_wait_us || volume.exceeds_burst(limit, incoming.units) {
                return VolumeAdmission::RateLimited { wait_us };
            }
        }
        volume.add_uncharged(incoming.units);
        VolumeAdmission::Admitted { reserved: volume.try_reserve(incoming.units) }
    }

    fn queued_request(&self, incoming: &IncomingRequest, objective_at_us: u64, reserved: bool) -> Request {
        let queueing_budget_us = self.latency_models[incoming.class.0].queueing_budget_us;
        Request {
            class: incoming.class,
            plan: incoming.plan,
            volume: incoming.volume,
            block: incoming.block,
            placement: incoming.shard.map_or(Placement::AnyShard(None), Placement::Fixed),
            units: incoming.units,
            arrived_at_us: self.now_us,
            due_at_us: self.now_us + queueing_budget_us as u64,
            objective_at_us,
            expires_at_us: incoming.expires_at_us,
            state: RequestState::Queued,
            attempts: 0,
            last_node: None,
            possible_execution: None,
            response_started: false,
            reserved,
            sent_as_background: false,
            rate_limit_charge: match self.settings.plan(incoming.plan).rate_limit {
                Some(_) => RateLimitCharge::Pending,
                None => RateLimitCharge::Settled,
            },
        }
    }

    /// Queues a request with those for its shard; a new object goes where it should be served first.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.may_be_placed_anew() {
            let chosen = self.choose_shard();
            self.requests[&id].placement = Placement::AnyShard(chosen);
        }
        if let Some(shard) = self.requests[&id].shard() {
            self.queues.entry(shard).or_default().push(id);
        }
    }

    /// The shard of the node that promises the shortest wait for a new object.
    fn choose_shard(&mut self) -> Option<ShardId> {
        let mut best: Option<(f64, ShardId)> = None;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_ready() {
                continue;
            }
            let jitter = 1.0 + PLACEMENT_JITTER * self.rng.f64();
            let wait_us = self.expected_new_object_wait_us(index) * jitter;
            if best.is_none_or(|(shortest, _)| wait_us < shortest) {
                best = Some((wait_us, self.nodes[index].shard));
            }
        }
        best.map(|(_, shard)| shard)
    }

    /// What a new object is likely to wait at a node, in microseconds. A node that is failing or warming up
    /// counts as slower, and one that has left an attempt unanswered as at least as slow as that.
    fn expected_new_object_wait_us(&self, index: usize) -> f64 {
        let node = &self.nodes[index];
        let mean_units = self.settings.mean_request_units;
        let queued = self.queues.get(&node.shard).map_or(0, Vec::len) as f64;
        let latency_us = if node.service_time_per_unit_us > 0.0 {
            node.expected_latency_us(mean_units)
        } else {
            self.tightest_objective_us * ASSUMED_LATENCY_FRACTION
        };
        let latency_us = latency_us.max(node.health.oldest_in_flight_us);
        let penalty = if node.health.is_failing() {
            FAILING_NODE_PENALTY
        } else {
            1.0 / self.slow_start.capacity(node, self.now_us).max(MIN_ASSUMED_CAPACITY)
        };
        let slow_start_wait_us = self.slow_start.wait_us(node, mean_units, self.now_us) as f64;
        let ahead = queued + node.reported_requests.max(f64::from(node.in_flight)) + 1.0;
        ahead * latency_us * penalty + slow_start_wait_us
    }
}

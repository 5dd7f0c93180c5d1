//! Builders of settings, endpoints, requests, reports and events, with default values for most fields.

use super::{SECOND, TICK};
use storage_gateway::scheduler::*;

/// Returns a request class in which an answer past the latency objective earns a tenth of the priority
/// weight.
pub fn class(
    latency_objective_us: u64,
    deadline_us: u64,
    priority_weight: f64,
    idempotency: Idempotency,
) -> RequestClass {
    RequestClass {
        latency_objective_us: Some(latency_objective_us),
        deadline_us,
        priority_weight,
        late_weight_factor: 0.1,
        idempotency,
        ordered_by_block: false,
        objective_stretch: 0.0,
    }
}

/// Returns settings for three gateways, with all rules of the platform enabled.
///
/// Class 0 is idempotent. Requests of class 1 have an idempotency key, which the nodes of one shard recognize
/// for one second. Class 2 is not idempotent, and its requests are ordered by block. Plan 0 has a rate limit
/// and no reservation; plan 1 has a reservation and no rate limit.
pub fn settings() -> SchedulerSettings {
    SchedulerSettings {
        classes: classes(),
        plans: plans(),
        gateway_index: 0,
        gateway_count: 3,
        batch_interval_us: TICK,
        max_attempts: Some(3),
        nodes_honor_cancellation: true,
        connect_timeout_us: 250_000,
        max_retry_after_us: Some(2 * SECOND),
        answer_grace_us: 8_000,
        endpoints_on_request: false,
        max_poll_interval_us: 10 * SECOND,
        drain_grace_us: 0,
        slow_start: Some(SlowStartPolicy {
            guaranteed_units: 18.0,
            window_us: 2 * SECOND,
            initial_capacity: 0.2,
            warm_up_us: 14 * SECOND,
            overload_factor: 2.5,
        }),
        retry_budget: Some(RetryBudget { burst: 3.0, ratio: 0.1, window_us: 5 * SECOND }),
        ordering_gap_us: 100_000,
        mean_request_units: 2.0,
        max_request_units: 8.0,
        unreserved_weight_factor: 0.3,
        metering_period_us: None,
        nodes_report_other_gateways: false,
        max_tracked_volumes: None,
    }
}

fn classes() -> Vec<RequestClass> {
    let with_key = Idempotency::WithKey { scope: DeduplicationScope::Shard, deduplication_window_us: SECOND };
    vec![
        class(200_000, SECOND, 2.0, Idempotency::Idempotent),
        class(300_000, 2 * SECOND, 2.0, with_key),
        RequestClass { ordered_by_block: true, ..class(800_000, 2_500_000, 1.0, Idempotency::NonIdempotent) },
    ]
}

fn plans() -> Vec<ServicePlan> {
    let plan = |reserved_rate, weight, rate_limit| ServicePlan {
        provisioned_rate: 6.0,
        reserved_rate,
        weight,
        priority_factor: 1.0,
        rate_limit,
    };
    let limit = RateLimit { rate: 36.0, burst: 54.0, overdraft: 8.0 };
    vec![plan(0.0, 1.0, Some(limit)), plan(6.0, 3.0, None)]
}

/// Returns an endpoint of the shard, in zone 0 for an even shard and in zone 1 for an odd one. A
/// `started_at_us` of 0 means that the node started long ago.
pub fn endpoint(name: &str, shard: u32, state: EndpointState, started_at_us: u64) -> Endpoint {
    Endpoint {
        node: name.into(),
        zone: ZoneId(shard % 2),
        shard: ShardId(shard),
        state,
        started_at_us: (started_at_us > 0).then_some(started_at_us),
    }
}

/// Returns ready endpoints named n0, n1 and so on, one per shard. Their nodes started long ago.
pub fn ready_endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(|shard| endpoint(&format!("n{shard}"), shard, EndpointState::Ready, 0)).collect()
}

pub fn snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints))
}

pub fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Delta(endpoints))
}

pub fn cached(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Cached(endpoints))
}

pub fn poll_failed() -> Event {
    Event::EndpointsUpdated(EndpointUpdate::PollFailed { announced_by_us: None })
}

/// Returns a request of plan 1 with a size of 2 units. Its volume and its block have the same number as the
/// request, so that requests with different ids share neither.
pub fn incoming_request(id: u32, class: usize, shard: u32, expires_at_us: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(id),
        class: ClassIndex(class),
        plan: PlanIndex(1),
        volume: VolumeId(u64::from(id)),
        volume_gateway_count: 1.0,
        block: Some(BlockId(u64::from(id))),
        shard: Some(ShardId(shard)),
        units: 2.0,
        expires_at_us,
    }
}

pub fn arrival(id: u32, class: usize, shard: u32, expires_at_us: u64) -> Event {
    Event::RequestArrived(incoming_request(id, class, shard, expires_at_us))
}

/// Returns the report of an ended attempt. Only a successful attempt is final, which means that the request
/// needs no further attempt.
pub fn attempt_report(request: u32, node: &str, outcome: AttemptOutcome, latency_us: u64) -> AttemptReport {
    AttemptReport {
        request: RequestId(request),
        outcome,
        latency_us,
        is_final: outcome == AttemptOutcome::Succeeded,
        node: node.into(),
        volume_rate_percent: None,
        units_via_other_gateways: 0.0,
        load: LoadReport::default(),
    }
}

pub fn attempt_ended(request: u32, node: &str, outcome: AttemptOutcome, latency_us: u64) -> Event {
    Event::AttemptEnded(attempt_report(request, node, outcome, latency_us))
}

/// Delivers a batch of events to a scheduler and returns its actions.
pub fn deliver(scheduler: &mut Scheduler, now_us: u64, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.handle(now_us, events, &mut actions);
    actions
}

/// Returns one scheduler per gateway, each seeded with the gateway's index plus `seed_offset`.
pub fn schedulers(settings: &SchedulerSettings, seed_offset: u64, now_us: u64) -> Vec<Scheduler> {
    let new = |index| scheduler(settings, index, index as u64 + seed_offset, now_us);
    (0..settings.gateway_count).map(new).collect()
}

/// Returns the scheduler of the gateway with this index.
pub fn scheduler(settings: &SchedulerSettings, gateway_index: usize, seed: u64, now_us: u64) -> Scheduler {
    Scheduler::new(SchedulerSettings { gateway_index, ..settings.clone() }, seed, now_us)
}

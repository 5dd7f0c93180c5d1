//! Tests of the rules of the platform. Each test runs a sequence of events for one rule, and the simulated
//! fleet checks the gateways' actions against all rules.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// Returns a fleet of three gateways with three ready nodes and all rules enabled.
fn fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::with_ready_nodes(settings(), 3);
    fleet.advance();
    fleet
}

/// Returns a request of volume 7, which has a rate limit and whose requests arrive through three gateways.
fn limited_request(id: u32, shard: u32, expires_at_us: u64) -> IncomingRequest {
    IncomingRequest {
        plan: PlanIndex(0),
        volume: VolumeId(7),
        volume_gateway_count: 3.0,
        ..incoming_request(id, 0, shard, expires_at_us)
    }
}

#[test]
fn every_request_is_answered_in_time() {
    let mut fleet = fleet();
    fleet.submit_to_shard(1, 0, 0); // in flight until its deadline
    fleet.submit_to_shard(2, 0, 9); // no node serves its shard
    fleet.submit_to_shard(3, 1, 0);
    fleet.run_for(3 * SECOND);
    assert!(fleet.requests.values().all(|tracked| tracked.finished));
    assert!(fleet.rejected.contains(&2), "a request that was never sent is rejected");
    assert!(fleet.failed.contains(&3), "a request with an idempotency key that may have run fails");
}

#[test]
fn no_attempt_follows_a_final_answer() {
    let mut fleet = fleet();
    fleet.submit_to_shard(1, 0, 0);
    fleet.advance();
    fleet.run_for(SECOND);
    assert!(fleet.requests[&1].finished);
    fleet.queue_event(0, Event::ClientDisconnected(RequestId(1)));
    fleet.queue_event(0, attempt_ended(1, "n0", AttemptOutcome::ConnectionReset, 1));
    fleet.queue_event(0, attempt_ended(77, "unknown", AttemptOutcome::Succeeded, 1));
    fleet.queue_event(0, Event::ResponseStarted(RequestId(1)));
    fleet.queue_event(0, Event::TimerFired(123));
    fleet.run_for(SECOND);
    assert_eq!(fleet.sent.len(), 1);
}

#[test]
fn non_idempotent_requests_are_retried_only_if_they_did_not_run() {
    let mut fleet = fleet();
    fleet.submit_to_shard(1, 2, 0);
    fleet.submit_to_shard(2, 2, 1);
    fleet.advance();
    fleet.finish_attempt(1, AttemptOutcome::Rejected);
    fleet.finish_attempt(2, AttemptOutcome::ConnectionReset);
    fleet.run_for(2 * SECOND);
    assert_eq!(
        fleet.requests[&1].attempts.len(),
        2,
        "retried, because the node rejected it without reading it"
    );
    assert_eq!(fleet.requests[&2].attempts.len(), 1);
    assert!(fleet.failed.contains(&2));
}

#[test]
fn requests_with_an_idempotency_key_are_retried_only_within_its_window() {
    let mut within = fleet();
    within.submit_to_shard(1, 1, 0);
    within.advance();
    within.finish_attempt(1, AttemptOutcome::Failed);
    within.run_for(100_000);
    assert_eq!(within.requests[&1].attempts.len(), 2, "retried within the window");
    let mut past = fleet();
    past.submit_to_shard(1, 1, 0);
    past.advance();
    let draining = endpoint("n0", 0, EndpointState::Draining, 0);
    past.update_endpoints_everywhere(EndpointUpdate::Delta, &[draining]);
    past.finish_attempt(1, AttemptOutcome::Failed);
    past.run_for(1_200_000);
    let successor = endpoint("n9", 0, EndpointState::Ready, 0);
    past.update_endpoints_everywhere(EndpointUpdate::Delta, &[successor]);
    past.run_for(SECOND);
    assert_eq!(past.requests[&1].attempts.len(), 1, "not retried past the window");
    assert!(past.failed.contains(&1));
}

const DRAIN_GRACE_US: u64 = 2 * SECOND;

/// Returns a fleet in which draining nodes may still be sent work for `DRAIN_GRACE_US`.
fn fleet_with_drain_grace(settings: SchedulerSettings) -> SimulatedFleet {
    let settings = SchedulerSettings { drain_grace_us: DRAIN_GRACE_US, ..settings };
    let mut fleet = SimulatedFleet::new(settings);
    fleet.checked_drain_grace_us = DRAIN_GRACE_US;
    fleet.update_endpoints_everywhere(EndpointUpdate::Snapshot, &ready_endpoints(3));
    fleet
}

/// Returns a fleet after three phases: first `failed_polls` failed polls, then an update of this kind that
/// contains `other_endpoints` and the draining node n0, and then 30 requests for the shard of n0, one every
/// 100 ms.
fn fleet_with_draining_node(
    update: UpdateKind,
    failed_polls: usize,
    other_endpoints: &[Endpoint],
) -> SimulatedFleet {
    let without_slow_start_and_retry_budget =
        SchedulerSettings { slow_start: None, retry_budget: None, ..settings() };
    let mut fleet = fleet_with_drain_grace(without_slow_start_and_retry_budget);
    (0..failed_polls).for_each(|_| fleet.fail_polls());
    fleet.advance();
    let mut endpoints = vec![endpoint("n0", 0, EndpointState::Draining, 0)];
    endpoints.extend_from_slice(other_endpoints);
    fleet.update_endpoints_everywhere(update, &endpoints);
    for id in 0..30 {
        fleet.submit_to_shard(id, 0, 0);
        fleet.run_answering_after(100_000, 10_000);
    }
    fleet
}

#[test]
fn draining_nodes_serve_their_shard_within_the_grace() {
    let fleet = fleet_with_draining_node(EndpointUpdate::Delta, 0, &[]);
    let sent = fleet.sent.len();
    assert!(
        (12..20).contains(&sent),
        "attempts stop once a connection might be established only after the grace: {sent}"
    );
    let successor = endpoint("n9", 0, EndpointState::Ready, 0);
    let fleet = fleet_with_draining_node(EndpointUpdate::Delta, 0, &[successor]);
    assert!(
        fleet.sent.iter().all(|attempt| *attempt.node == *"n9"),
        "requests are sent to the successor of the node"
    );
    // After a failed poll, or with a snapshot, the node may have started to drain long before the update. The
    // grace then counts as over.
    assert!(fleet_with_draining_node(EndpointUpdate::Delta, 1, &[]).sent.is_empty());
    assert!(fleet_with_draining_node(EndpointUpdate::Snapshot, 0, &[]).sent.is_empty());
}

#[test]
fn requests_rejected_by_a_draining_node_are_not_retried() {
    let mut fleet = fleet_with_drain_grace(settings());
    let draining = endpoint("n0", 0, EndpointState::Draining, 0);
    fleet.update_endpoints_everywhere(EndpointUpdate::Delta, &[draining]);
    fleet.submit_to_shard(1, 0, 0);
    fleet.advance();
    fleet.finish_attempt(1, AttemptOutcome::Rejected);
    fleet.advance();
    assert_eq!(fleet.rejected, [1], "rejected at once, not retried");
}

#[test]
fn draining_and_removed_nodes_receive_no_new_attempts() {
    let mut fleet = fleet();
    let draining = endpoint("n0", 0, EndpointState::Draining, 0);
    let removed = endpoint("n1", 1, EndpointState::Removed, 0);
    fleet.update_endpoints_everywhere(EndpointUpdate::Delta, &[draining]);
    fleet.update_endpoints_everywhere(EndpointUpdate::Delta, &[removed]);
    fleet.submit_to_shard(1, 0, 0);
    fleet.submit_to_shard(2, 0, 1);
    fleet.submit_to_shard(3, 0, 2);
    fleet.advance();
    assert_eq!(fleet.requests_sent_since(0), [3]);
    // A snapshot removes the nodes that it does not list. A failed poll changes nothing.
    fleet.update_endpoints_everywhere(EndpointUpdate::Snapshot, &ready_endpoints(2));
    fleet.queue_event(0, poll_failed());
    fleet.submit_to_shard(4, 0, 2);
    fleet.submit_to_shard(5, 0, 0);
    fleet.run_for(10 * TICK);
    assert!(fleet.requests[&4].attempts.is_empty());
    assert_eq!(fleet.requests[&5].attempts.len(), 1, "the snapshot lists the node as ready");
}

#[test]
fn warming_up_nodes_are_sent_no_more_than_their_allowance() {
    let mut fleet = fleet();
    let started_at_us = fleet.now_us;
    let started = endpoint("n0", 0, EndpointState::Ready, started_at_us);
    fleet.update_endpoints_everywhere(EndpointUpdate::Delta, &[started]);
    for id in 0..600 {
        let expires_at_us = fleet.now_us + SECOND;
        fleet.submit((id % 3) as usize, incoming_request(id, 0, 0, expires_at_us));
        fleet.run_answering_after(24_000, 10_000);
    }
    let is_early = |attempt: &&SentAttempt| attempt.at_us < started_at_us + SECOND;
    let early_units: f64 = fleet.sent.iter().filter(is_early).count() as f64 * 2.0;
    assert!(early_units >= 4.0, "the node is sent work from its start: {early_units} units");
    let is_late = |attempt: &&SentAttempt| attempt.at_us > started_at_us + 10 * SECOND;
    let late = fleet.sent.iter().filter(is_late).count();
    assert!(late > 60, "the allowance grows as the node warms up: {late}");
}

#[test]
fn requests_ordered_by_block_run_one_at_a_time() {
    let mut fleet = fleet();
    for id in 1..=3 {
        let expires_at_us = fleet.now_us + 2_500_000;
        let request = incoming_request(id, 2, id - 1, expires_at_us);
        fleet.submit(0, IncomingRequest { block: Some(BlockId(5)), ..request });
    }
    fleet.advance();
    assert_eq!(fleet.sent.len(), 1);
    fleet.finish_attempt(1, AttemptOutcome::ConnectionReset);
    fleet.run_for(50_000);
    assert_eq!(fleet.sent.len(), 1, "the ordering gap follows an attempt that may still be running");
    fleet.run_for(100_000);
    assert_eq!(fleet.sent.len(), 2);
    fleet.finish_attempt(2, AttemptOutcome::Succeeded);
    fleet.run_for(10_000);
    assert_eq!(fleet.sent.len(), 3, "no ordering gap follows an answer");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut fleet = fleet();
    for round in 0..8 {
        for id in 0..10 {
            fleet.submit_to_shard(round * 10 + id, 0, id % 3);
        }
        for _ in 0..100 {
            for attempt in fleet.in_flight() {
                fleet.finish_attempt(attempt.request, AttemptOutcome::Failed);
            }
            fleet.advance();
        }
    }
    let retries: usize =
        fleet.requests.values().map(|tracked| tracked.attempts.len().saturating_sub(1)).sum();
    assert!(retries >= 8, "the budget is used: {retries} retries");
}

/// Guards against exceeding a rate limit through several gateways or by restarts. One volume requests far
/// more than its limit through three gateways, one of which is restarted repeatedly.
#[test]
fn a_rate_limit_holds_across_gateways_and_restarts() {
    const UNITS: f64 = 4.0;
    let mut fleet = fleet();
    let mut id = 0;
    for round in 0..400 {
        for gateway in [0, 0, 1, 2] {
            id += 1;
            let request = limited_request(id, id % 3, fleet.now_us + SECOND);
            fleet.submit(gateway, IncomingRequest { units: UNITS, ..request });
        }
        if round % 60 == 59 {
            fleet.restart_gateway(0, &ready_endpoints(3));
        }
        fleet.run_answering_after(20_000, 4_000);
    }
    let sent = fleet.sent.len() as f64 * UNITS;
    assert!(sent > 200.0, "the limit is used: {sent} of about 288 units");
    assert!(!fleet.rejected.is_empty());
}

#[test]
fn requests_beyond_a_rate_limit_are_rejected_at_once() {
    let mut fleet = fleet();
    for id in 0..60 {
        let request = limited_request(id, 0, fleet.now_us + SECOND);
        fleet.submit(0, request);
    }
    fleet.advance();
    assert!(fleet.rejected.len() > 30, "{} rejected at once", fleet.rejected.len());
}

/// Guards against a volume that bypasses its rate limit by changing its plan. Requests of one volume may have
/// different plans. A request whose plan has no limit must not add tokens that requests of the limited plan
/// can use.
#[test]
fn a_plan_without_a_rate_limit_gives_no_tokens_to_a_limited_plan() {
    let mut fleet = fleet();
    fleet.run_for(5 * SECOND);
    let expires_at_us = fleet.now_us + SECOND;
    let unlimited = IncomingRequest { plan: PlanIndex(1), ..limited_request(1, 0, expires_at_us) };
    fleet.submit(0, limited_request(0, 0, expires_at_us));
    fleet.submit(0, unlimited);
    fleet.advance();
    let sent_before = fleet.sent.len();
    for id in 2..12 {
        fleet.submit(0, limited_request(id, id % 3, expires_at_us));
    }
    fleet.advance();
    assert_eq!(fleet.sent.len(), sent_before, "the overdraft is used up and no tokens are left");
}

#[test]
fn a_failed_poll_of_the_endpoint_list_is_retried_once() {
    let on_request = SchedulerSettings { endpoints_on_request: true, ..settings() };
    let mut fleet = SimulatedFleet::with_ready_nodes(on_request, 3);
    fleet.advance();
    assert_eq!(fleet.watches_at_us.len(), 3, "each gateway watches the list from its start");
    fleet.queue_event(0, poll_failed());
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.watches_at_us.len(), 4, "a failed poll is retried, once");
    fleet.submit_to_shard(1, 0, 0);
    fleet.advance();
    assert_eq!(fleet.sent.len(), 1, "the cached list stays in use");
}

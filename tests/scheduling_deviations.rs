//! Tests of the ordinary scheduling path, and of the departures from it that comments in `src/scheduler/`
//! mark as `Deviation from the paper:`.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// Returns a fleet of one gateway with three ready nodes, without slow start and retry budget.
fn single_gateway() -> SimulatedFleet {
    SimulatedFleet::without_slow_start_and_retry_budget(1, 3)
}

/// Like `single_gateway`, after this many requests, each of which was answered after the latency.
fn gateway_with_history(count: u32, latency_us: u64) -> SimulatedFleet {
    let mut fleet = single_gateway();
    for id in 0..count {
        fleet.submit_of_class(id, 0);
        fleet.advance();
        fleet.run_answering_after(latency_us + 2 * TICK, latency_us);
    }
    fleet
}

#[test]
fn requests_are_sent_by_queueing_deadline_until_the_initial_window_of_four_is_full() {
    let mut fleet = single_gateway();
    // Without measurements, latencies are assumed to be exponential. The queueing deadline of class 1 is then
    // later than that of class 0.
    for id in 0..6 {
        fleet.submit_of_class(id, if id % 2 == 0 { 1 } else { 0 });
    }
    fleet.advance();
    assert_eq!(fleet.requests_sent_since(0), [1, 3, 5, 0], "four requests, earliest queueing deadline first");
}

#[test]
fn the_window_shrinks_to_one_if_latency_is_a_large_fraction_of_the_objective() {
    let mut fleet = gateway_with_history(20, 150_000);
    for id in 100..110 {
        fleet.submit_of_class(id, 0);
    }
    fleet.advance();
    assert_eq!(
        fleet.in_flight().len(),
        1,
        "one attempt at a time, as latency is three quarters of the objective"
    );
}

#[test]
fn a_single_broken_connection_does_not_delay_queued_requests_past_their_objective() {
    let mut fleet = gateway_with_history(20, 10_000);
    fleet.submit_of_class(100, 0);
    fleet.advance();
    fleet.finish_attempt(100, AttemptOutcome::ConnectionReset);
    fleet.submit_of_class(101, 0);
    fleet.run_answering_after(60_000, 10_000);
    assert!(
        fleet.requests[&101].finished && fleet.requests[&100].finished,
        "both are answered well within the objective of 200 ms"
    );
    // If the node has answered another request since the attempt was sent, the broken connection does not
    // count as a failure of the node.
    fleet.submit_of_class(102, 0);
    fleet.submit_of_class(103, 0);
    fleet.advance();
    fleet.finish_attempt(102, AttemptOutcome::Succeeded);
    fleet.finish_attempt(103, AttemptOutcome::ConnectionReset);
    (104..107).for_each(|id| fleet.submit_of_class(id, 0));
    fleet.advance();
    assert!(fleet.in_flight().len() > 1, "the window is unchanged");
}

#[test]
fn fast_failures_do_not_count_as_fast_service() {
    let mut fleet = single_gateway();
    for id in 0..100 {
        fleet.submit_of_class(id, 0);
        fleet.advance();
        for attempt in fleet.in_flight() {
            fleet.finish_attempt(attempt.request, AttemptOutcome::ConnectFailed);
        }
        fleet.advance();
    }
    assert!(fleet.sent.len() < 10, "backoff limits the attempts at a failing node: {}", fleet.sent.len());
}

#[test]
fn a_failing_node_receives_one_attempt_at_a_time_until_it_answers() {
    let mut fleet = single_gateway();
    fleet.submit_of_class(0, 0);
    fleet.advance();
    fleet.finish_attempt(0, AttemptOutcome::ConnectFailed);
    fleet.advance();
    for id in 1..20 {
        fleet.submit_of_class(id, 1);
    }
    fleet.run_for(300_000);
    assert_eq!(fleet.in_flight().len(), 1, "one attempt at a time while the node is failing");
    fleet.run_answering_after(1_500_000, 5_000);
    let has_ended_attempt =
        |tracked: &&TrackedRequest| tracked.attempts.iter().any(|attempt| !attempt.in_flight);
    let attempted = fleet.requests.values().filter(has_ended_attempt).count();
    assert!(attempted >= 15, "{attempted} of 20 requests have an ended attempt once the node answers");
}

#[test]
fn lost_attempts_do_not_occupy_the_concurrency_window() {
    let mut fleet = gateway_with_history(30, 10_000);
    // Every third request is never answered.
    let before = fleet.sent.len();
    for id in 100..400 {
        fleet.submit_of_class(id, 1);
        for attempt in fleet.in_flight() {
            let is_lost = attempt.request % 3 == 0;
            if !is_lost && attempt.sent_at_us + 10_000 <= fleet.now_us {
                fleet.finish_attempt(attempt.request, AttemptOutcome::Succeeded);
            }
        }
        fleet.run_for(10_000);
    }
    let sent = fleet.sent.len() - before;
    assert!(sent > 250, "{sent} of 300 requests sent while a third of the attempts is lost");
}

#[test]
fn requests_within_a_reservation_precede_those_beyond_one_at_a_backlogged_node() {
    let mut fleet = gateway_with_history(60, 50_000);
    // Volume 900 requests far more than its reservation of 6 units per second plus one request of maximum
    // size. Then a request of another volume arrives.
    for id in 1_000..1_040 {
        fleet.submit_from_volume(id, 0, 900);
    }
    fleet.run_answering_after(100_000, 50_000);
    let submitted_at_us = fleet.now_us;
    fleet.submit_from_volume(2_000, 0, 901);
    fleet.run_answering_after(400_000, 50_000);
    let attempt =
        fleet.sent.iter().find(|attempt| attempt.request == 2_000).expect("an attempt of request 2000");
    let waited_us = attempt.at_us - submitted_at_us;
    assert!(waited_us <= 150_000, "sent after {waited_us} us, with 30 requests queued before it");
}

#[test]
fn background_requests_are_not_starved_while_there_is_capacity() {
    let mut fleet = single_gateway();
    for id in 0..200 {
        fleet.submit_of_class(id, if id % 10 == 0 { 2 } else { 0 });
        fleet.run_answering_after(30_000, 10_000);
    }
    fleet.run_answering_after(SECOND, 10_000);
    let rejected = fleet.rejected.iter().filter(|id| *id % 10 == 0).count();
    assert_eq!(rejected, 0, "no background request is rejected");
}

#[test]
fn new_objects_are_not_sent_to_slow_nodes() {
    let mut fleet = single_gateway();
    for id in 0..60 {
        let expires_at_us = fleet.now_us + SECOND;
        fleet.submit(0, incoming_request(id, 0, id % 3, expires_at_us));
        fleet.advance();
        for _ in 0..60 {
            fleet.answer_attempts_after(|attempt| if &*attempt.node == "n0" { 100_000 } else { 10_000 });
            fleet.advance();
        }
    }
    let before = fleet.sent.len();
    for id in 100..120 {
        let expires_at_us = fleet.now_us + SECOND;
        let new_object = IncomingRequest { shard: None, ..incoming_request(id, 1, 0, expires_at_us) };
        fleet.submit(0, new_object);
        fleet.advance();
        fleet.run_answering_after(20_000, 10_000);
    }
    let to_slow_node = fleet.sent[before..].iter().filter(|attempt| &*attempt.node == "n0").count();
    assert!(to_slow_node <= 2, "{to_slow_node} of 20 went to the slow node");
}

/// Returns degenerate settings with one class and one plan. The class has this latency objective, and its
/// deadline and priority weight are 0. The provisioned rate, the batch interval, the answer grace, the
/// request sizes and all fields of slow start are also 0, and the rate limit is almost 0.
fn zero_settings(latency_objective_us: Option<u64>) -> SchedulerSettings {
    let limit = RateLimit { rate: 1e-9, ..settings().plans[0].rate_limit.unwrap() };
    SchedulerSettings {
        classes: vec![RequestClass { latency_objective_us, ..class(0, 0, 0.0, Idempotency::Idempotent) }],
        plans: vec![ServicePlan {
            provisioned_rate: 0.0,
            rate_limit: Some(limit),
            ..settings().plans[0].clone()
        }],
        batch_interval_us: 0,
        answer_grace_us: 0,
        gateway_count: 1,
        mean_request_units: 0.0,
        max_request_units: 0.0,
        slow_start: Some(SlowStartPolicy {
            guaranteed_units: 0.0,
            window_us: 0,
            initial_capacity: 0.0,
            warm_up_us: 0,
            overload_factor: 0.0,
        }),
        ..settings()
    }
}

#[test]
fn requests_are_answered_with_degenerate_settings() {
    let empty_settings = SchedulerSettings { classes: vec![], plans: vec![], ..settings() };
    for settings in [zero_settings(Some(0)), zero_settings(None), empty_settings] {
        let mut scheduler = Scheduler::new(settings, 1, 10);
        let zero = IncomingRequest {
            class: ClassIndex(0),
            plan: PlanIndex(0),
            units: 0.0,
            volume_gateway_count: 0.0,
            ..incoming_request(1, 0, 0, 5)
        };
        let unknown =
            IncomingRequest { id: RequestId(2), class: ClassIndex(9), plan: PlanIndex(9), ..zero.clone() };
        let started_in_future = endpoint("n0", 0, EndpointState::Ready, u64::MAX / 4);
        let events = [
            Event::RequestArrived(zero),
            snapshot(vec![started_in_future]),
            Event::RequestArrived(unknown),
            Event::TimerFired(3),
        ];
        let mut actions = deliver(&mut scheduler, 10, &events);
        actions.extend(deliver(&mut scheduler, 10_000_000, &[Event::TimerFired(0)]));
        let answered = |id| {
            actions.iter().any(|action| match action {
                Action::Reject { request, .. } | Action::Fail { request } => request.0 == id,
                _ => false,
            })
        };
        assert!(answered(1) && answered(2), "{actions:?}");
    }
}

/// In each of `rounds` rounds, submits a background request and a latency-bound request, and lets the node
/// answer them. Returns in how many rounds the background request was sent first.
fn rounds_with_background_first(fleet: &mut SimulatedFleet, rounds: u32) -> usize {
    let mut count = 0;
    for id in (1_000..1_000 + 2 * rounds).step_by(2) {
        fleet.submit_of_class(id, 2);
        fleet.submit_of_class(id + 1, 0);
        let before = fleet.sent.len();
        fleet.run_answering_after(150_000, 50_000);
        let sent = fleet.requests_sent_since(before);
        let first = sent.into_iter().find(|request| *request >= 1_000).expect("sent");
        count += usize::from(first == id);
    }
    count
}

#[test]
fn alpha_starts_at_one_and_falls_to_its_lower_bound_if_objectives_are_met() {
    let mut fleet = single_gateway();
    let background_first = rounds_with_background_first(&mut fleet, 7);
    assert_eq!(background_first, 0, "without measurements, latency-bound requests are sent first");
    let mut fleet = gateway_with_history(80, 50_000);
    let background_first = rounds_with_background_first(&mut fleet, 20);
    assert!(
        (12..=19).contains(&background_first),
        "the background request is first in about nine of ten rounds, because alpha has a positive lower \
         bound: {background_first} of 20"
    );
}

#[test]
fn the_fair_queue_alternates_between_background_volumes() {
    let mut fleet = gateway_with_history(60, 50_000);
    for (id, volume) in [(100, 900), (101, 900), (102, 900), (103, 901)] {
        fleet.submit_from_volume(id, 2, volume);
    }
    fleet.run_answering_after(300_000, 50_000);
    let sent: Vec<u32> = fleet.requests_sent_since(0).into_iter().filter(|id| *id >= 100).collect();
    assert_eq!(sent, [100, 103, 101, 102]);
}

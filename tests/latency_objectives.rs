//! Tests of how measured latencies and latency objectives determine queueing deadlines and attempt timeouts.

mod common;
use common::*;
use storage_gateway::scheduler::*;

fn last_sent(fleet: &SimulatedFleet) -> &SentAttempt {
    fleet.sent.last().expect("an attempt")
}

/// Guards against a latency model that is never fitted at a low request rate. At two requests per second,
/// only about 10 completions are younger than 5 s, too few for a fit, but the latest 50 are retained
/// regardless of their age. After 30 steady latencies, the latency budget of class 0 is near its objective.
/// Its queueing deadline is then later than that of class 1, which has no completions yet.
#[test]
fn the_latency_model_is_fitted_at_a_low_rate() {
    for (count, first) in [(4, 1_000), (30, 1_001)] {
        let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(40, 1);
        fleet.submit_one_by_one(0..count, 50_000, 450_000);
        fleet.submit_of_class(500, 0);
        fleet.advance();
        fleet.submit_of_class(1_000, 0);
        fleet.submit_of_class(1_001, 1);
        fleet.advance();
        let before = fleet.sent.len();
        let oldest = fleet.in_flight().remove(0);
        fleet.finish_attempt(oldest.request, AttemptOutcome::Succeeded);
        fleet.run_answering_after(SECOND / 2, 50_000);
        let sent = fleet.requests_sent_since(before);
        assert_eq!(sent.into_iter().find(|id| *id >= 1_000), Some(first), "after {count} completions");
    }
}

/// Guards against a volume at its rate limit whose requests are all sent late. The gateway drops a request
/// that could be sent only after its objective, in favor of requests that can still meet theirs.
#[test]
fn rate_limited_requests_are_not_sent_after_their_objective() {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(1, 1);
    fleet.run_for(5 * SECOND);
    for id in 0..400 {
        let expires_at_us = fleet.now_us + 2_500_000;
        let request = IncomingRequest {
            plan: PlanIndex(0),
            volume: VolumeId(7),
            volume_gateway_count: 3.0,
            units: 1.0 + f64::from(id % 3),
            ..incoming_request(id, (id % 2) as usize, 0, expires_at_us)
        };
        fleet.submit(0, request);
        fleet.run_answering_after(10_000, 5_000);
    }
    for attempt in &fleet.sent {
        let tracked = &fleet.requests[&attempt.request];
        let objective_us = fleet.settings.classes[tracked.request.class.0].latency_objective_us.unwrap();
        let waited_us = attempt.at_us - tracked.arrived_at_us;
        assert!(
            waited_us <= objective_us + 10_000,
            "{} was sent {waited_us} us after its arrival",
            attempt.request
        );
    }
    assert!(fleet.sent.len() > 20);
}

/// If the concurrency window has shrunk to one, an attempt times out at its latency objective and the request
/// is not retried. The attempt of a non-idempotent request does not time out at the objective.
#[test]
fn attempts_at_a_slow_node_time_out_at_their_objective() {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(3, 1);
    fleet.submit_of_class(0, 0);
    fleet.advance();
    let timeouts: Vec<_> = fleet.sent.iter().map(|attempt| (attempt.request, attempt.timeout_us)).collect();
    assert_eq!(timeouts, [(0, None)], "no timeout unless the node is slow");
    fleet.submit_one_by_one(1..21, 150_000, 0);
    for (id, class, timeout_us) in [(100, 0, Some(200_000)), (101, 2, None)] {
        fleet.submit_of_class(id, class);
        fleet.advance();
        let last = last_sent(&fleet);
        assert_eq!((last.request, last.timeout_us), (id, timeout_us));
        fleet.run_for(timeout_us.unwrap_or(0));
        let outcome = match timeout_us {
            Some(_) => AttemptOutcome::TimedOut,
            None => AttemptOutcome::Succeeded,
        };
        fleet.finish_attempt(id, outcome);
        fleet.run_for(SECOND / 2);
        assert_eq!(fleet.requests[&id].attempts.len(), 1);
    }
    assert!(fleet.rejected.contains(&100));
}

/// Guards against treating a healthy node as failing because attempts had too little time. After such an
/// attempt times out, the next request is sent at once. An attempt gets no timeout if less time remains until
/// its objective than it is expected to take. The node still counts as failing once the durations of its
/// unanswered attempts add up.
#[test]
fn attempts_with_little_time_left_do_not_count_as_node_failures() {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(3, 1);
    fleet.submit_of_class(0, 0);
    fleet.advance();
    fleet.submit_one_by_one(1..21, 150_000, 0);
    // Only 10 ms remain until the latency objective of this request.
    let expires_at_us = fleet.now_us + SECOND - 190_000;
    fleet.submit(0, incoming_request(100, 0, 0, expires_at_us));
    fleet.advance();
    let last = last_sent(&fleet);
    assert_eq!((last.request, last.timeout_us), (100, None), "a timeout would only waste the attempt");
    fleet.run_for(20_000);
    fleet.finish_attempt(100, AttemptOutcome::TimedOut);
    fleet.advance();
    fleet.submit_of_class(101, 0);
    fleet.advance();
    fleet.advance();
    assert_eq!(last_sent(&fleet).request, 101, "sent at once");
    for id in 102..112 {
        fleet.run_for(200_000);
        if fleet.requests[&(id - 1)].attempts.last().is_some_and(|attempt| attempt.in_flight) {
            fleet.finish_attempt(id - 1, AttemptOutcome::TimedOut);
        }
        fleet.submit_of_class(id, 0);
    }
    fleet.run_for(2 * TICK);
    assert!(
        fleet.requests[&111].attempts.is_empty(),
        "a node that does not answer is not sent attempts during its backoff"
    );
}

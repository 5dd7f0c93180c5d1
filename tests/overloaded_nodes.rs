//! Tests of how gateways limit attempts at a node that is overloaded or does not answer, and of how they
//! return to their ordinary rate.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// Number of attempts that one gateway sent in two seconds.
struct SentInTwoSeconds {
    /// Immediately after attempts at a previously fast node took 700 ms each.
    while_overloaded: usize,
    /// After the node has been fast again for seven seconds.
    after_recovery: usize,
}

/// Submits a request every 50 ms, answers attempts after 40 ms, and returns the number of attempts sent.
fn sent_while_fast(fleet: &mut SimulatedFleet, ids: std::ops::Range<u32>) -> usize {
    let before = fleet.sent.len();
    for id in ids {
        fleet.submit_of_class(id, 1);
        fleet.run_answering_after(50_000, 40_000);
    }
    fleet.sent.len() - before
}

fn sent_to_an_overloaded_node(gateways: usize) -> SentInTwoSeconds {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(gateways, 1);
    fleet.submit_one_by_one(0..40, 40_000, 0);
    fleet.submit_one_by_one(100..108, 700_000, 0);
    let while_overloaded = sent_while_fast(&mut fleet, 200..240);
    sent_while_fast(&mut fleet, 300..400);
    SentInTwoSeconds { while_overloaded, after_recovery: sent_while_fast(&mut fleet, 500..540) }
}

#[test]
fn attempts_at_an_overloaded_node_are_paced_only_in_large_fleets() {
    let few = sent_to_an_overloaded_node(3).while_overloaded;
    let SentInTwoSeconds { while_overloaded: many, after_recovery } = sent_to_an_overloaded_node(80);
    assert!(many + 10 <= few, "one of 80 gateways sends less than one of 3: {many} and {few} attempts");
    assert!(after_recovery > 30, "low latencies end the pacing: {after_recovery}");
}

/// Whether the node answers attempts.
#[derive(Clone, Copy, PartialEq)]
enum NodeBehavior {
    Answering,
    Silent,
}

/// Submits 200 requests in ten seconds and returns the number of attempts sent. Attempts at a silent node end
/// when they time out.
fn sent_in_ten_seconds(fleet: &mut SimulatedFleet, first_id: u32, node: NodeBehavior) -> usize {
    let before = fleet.sent.len();
    for id in first_id..first_id + 200 {
        // Plan 0 has no reservation, so its requests earn only about a third of their priority weight.
        let expires_at_us = fleet.now_us + SECOND;
        fleet.submit(0, IncomingRequest { plan: PlanIndex(0), ..incoming_request(id, 0, 0, expires_at_us) });
        fleet.run_for(50_000);
        for attempt in fleet.in_flight() {
            match node {
                NodeBehavior::Answering => {
                    fleet.finish_attempt(attempt.request, AttemptOutcome::Succeeded);
                }
                NodeBehavior::Silent => finish_if_timed_out(fleet, &attempt),
            }
        }
    }
    fleet.sent.len() - before
}

/// Ends the attempt as timed out once it has lasted as long as the timeout of its request's first attempt.
fn finish_if_timed_out(fleet: &mut SimulatedFleet, attempt: &InFlightAttempt) {
    let first = fleet.sent.iter().find(|sent| sent.request == attempt.request);
    let timeout_us = first.and_then(|first| first.timeout_us).unwrap_or(0);
    if timeout_us > 0 && fleet.now_us >= attempt.sent_at_us + timeout_us {
        fleet.finish_attempt(attempt.request, AttemptOutcome::TimedOut);
    }
}

/// Guards against a gateway that overloads a silent node or does not resume its ordinary rate. While a node
/// answers no attempt before its objective, the gateway sends only occasional attempts. Once the node answers
/// again, the gateway returns to its ordinary scheduling within ten seconds, and sends at the full rate for
/// most of that time.
#[test]
fn a_gateway_recovers_from_a_period_without_answers() {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(80, 1);
    fleet.submit_one_by_one(0..40, 40_000, 0);
    fleet.submit_one_by_one(100..112, 60_000, 0);
    let silent = sent_in_ten_seconds(&mut fleet, 1_000, NodeBehavior::Silent);
    let answering = sent_in_ten_seconds(&mut fleet, 2_000, NodeBehavior::Answering);
    assert!(silent <= 25, "{silent} attempts in ten seconds without an answer");
    assert!(answering >= 150, "{answering} attempts in ten seconds after the node answers again");
}

/// Guards against sending new objects to a node that does not answer. The node has no measured latency, but
/// its attempt in flight has already taken longer than attempts take at another node.
#[test]
fn new_objects_are_not_sent_to_a_node_that_does_not_answer() {
    let without_slow_start = SchedulerSettings { slow_start: None, ..settings() };
    let mut scheduler = Scheduler::new(without_slow_start, 1, SECOND);
    let unanswered = arrival(1, 1, 0, 3 * SECOND);
    deliver(&mut scheduler, SECOND, &[snapshot(ready_endpoints(2)), unanswered]);
    let mut now_us = SECOND;
    for id in 10..20 {
        deliver(&mut scheduler, now_us, &[arrival(id, 0, 1, now_us + SECOND)]);
        now_us += 120_000;
        let answer = attempt_ended(id, "n1", AttemptOutcome::Succeeded, 120_000);
        deliver(&mut scheduler, now_us, &[answer]);
    }
    let new_object = IncomingRequest { shard: None, ..incoming_request(30, 1, 0, now_us + 2 * SECOND) };
    let actions = deliver(&mut scheduler, now_us + 1, &[Event::RequestArrived(new_object)]);
    let node = actions.iter().find_map(|action| match action {
        Action::SendAttempt { request: RequestId(30), node, .. } => Some(node.to_string()),
        _ => None,
    });
    assert_eq!(node.as_deref(), Some("n1"));
}

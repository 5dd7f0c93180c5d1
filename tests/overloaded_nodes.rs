//! How gateways treat a node that is overloaded or silent, and how they come back to it.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// What one gateway sent in two seconds.
struct SentInTwoSeconds {
    /// After a node, once quick, made every attempt wait 700 ms.
    while_overloaded: usize,
    /// When the node had been quick again for a while.
    after_recovery: usize,
}

/// Submits requests every 50 ms, answered after 40 ms, and returns how many attempts were sent.
fn sent_while_quick(fleet: &mut SimulatedFleet, ids: std::ops::Range<u32>) -> usize {
    let before = fleet.sent.len();
    for id in ids {
        fleet.submit_of_class(id, 1);
        fleet.run_answering_after(50_000, 40_000);
    }
    fleet.sent.len() - before
}

fn sent_to_an_overloaded_node(gateways: usize) -> SentInTwoSeconds {
    let mut fleet = SimulatedFleet::unrestricted(gateways, 1);
    fleet.submit_one_by_one(0..40, 40_000, 0);
    fleet.submit_one_by_one(100..108, 700_000, 0);
    let while_overloaded = sent_while_quick(&mut fleet, 200..240);
    sent_while_quick(&mut fleet, 300..400);
    SentInTwoSeconds { while_overloaded, after_recovery: sent_while_quick(&mut fleet, 500..540) }
}

#[test]
fn attempts_are_paced_at_an_overloaded_node_of_many_gateways_only() {
    let few = sent_to_an_overloaded_node(3).while_overloaded;
    let SentInTwoSeconds { while_overloaded: many, after_recovery } = sent_to_an_overloaded_node(80);
    assert!(many + 10 <= few, "one of 80 gateways sends less than one of 3: {many}, {few}");
    assert!(after_recovery > 30, "quick answers end it: {after_recovery}");
}

/// Whether the node answers attempts.
#[derive(Clone, Copy, PartialEq)]
enum NodeBehaviour {
    Answering,
    Silent,
}

/// Submits 200 requests in ten seconds and returns how many attempts were sent. At a silent node, attempts
/// end with their timeouts.
fn sent_in_ten_seconds(fleet: &mut SimulatedFleet, first_id: u32, node: NodeBehaviour) -> usize {
    let before = fleet.sent.len();
    for id in first_id..first_id + 200 {
        // Beyond any reservation, hence with a third of the weight.
        let expires_at_us = fleet.now_us + SECOND;
        fleet.submit(0, IncomingRequest { plan: PlanIndex(0), ..incoming_request(id, 0, 0, expires_at_us) });
        fleet.run_for(50_000);
        for attempt in fleet.in_flight() {
            match node {
                NodeBehaviour::Answering => {
                    fleet.finish_attempt(attempt.request, AttemptOutcome::Succeeded);
                }
                NodeBehaviour::Silent => finish_if_timed_out(fleet, &attempt),
            }
        }
    }
    fleet.sent.len() - before
}

/// Ends the attempt if the timeout of its request's first attempt has passed.
fn finish_if_timed_out(fleet: &mut SimulatedFleet, attempt: &InFlightAttempt) {
    let first = fleet.sent.iter().find(|sent| sent.request == attempt.request);
    let timeout_us = first.and_then(|first| first.timeout_us).unwrap_or(0);
    if timeout_us > 0 && fleet.now_us >= attempt.sent_at_us + timeout_us {
        fleet.finish_attempt(attempt.request, AttemptOutcome::TimedOut);
    }
}

/// A node that answers no attempt before its objective is left alone but for an attempt now and then; once it
/// answers again, the gateway is back at its ordinary path within the next ten seconds, most of them at full
/// rate.
#[test]
fn a_gateway_recovers_from_a_period_without_answers() {
    let mut fleet = SimulatedFleet::unrestricted(80, 1);
    fleet.submit_one_by_one(0..40, 40_000, 0);
    fleet.submit_one_by_one(100..112, 60_000, 0);
    let silent = sent_in_ten_seconds(&mut fleet, 1_000, NodeBehaviour::Silent);
    let answering = sent_in_ten_seconds(&mut fleet, 2_000, NodeBehaviour::Answering);
    assert!(silent <= 25, "{silent} attempts in ten seconds, all in vain");
    assert!(answering >= 150, "{answering} attempts in ten seconds once answers are quick");
}

/// A node that has left an attempt unanswered for longer than another node takes gets no new objects
/// meanwhile, though no answer of its own is evidence against it.
#[test]
fn new_objects_avoid_a_node_that_answers_nothing() {
    let unrestricted = SchedulerSettings { slow_start: None, ..settings() };
    let mut scheduler = Scheduler::new(unrestricted, 1, SECOND);
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

//! Tests of final answers. A request that the scheduler decides not to send is answered in the same batch,
//! with a `Retry-After` if the wait is known. A request that can still be sent is not answered.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Rejected { retry_after_us: Option<u64> },
    Failed,
}

impl Answer {
    fn is_rejection(self) -> bool {
        matches!(self, Answer::Rejected { .. })
    }

    fn retry_after_us(self) -> Option<u64> {
        match self {
            Answer::Rejected { retry_after_us } => retry_after_us,
            Answer::Failed => None,
        }
    }
}

/// Returns the final answer to the request among the actions; `None` if there is none.
fn answer(actions: &[Action], id: u32) -> Option<Answer> {
    actions.iter().find_map(|action| match action {
        Action::Reject { request, retry_after_us } if request.0 == id => {
            Some(Answer::Rejected { retry_after_us: *retry_after_us })
        }
        Action::Fail { request } if request.0 == id => Some(Answer::Failed),
        _ => None,
    })
}

fn is_rejected_with_retry_after(actions: &[Action], id: u32) -> bool {
    matches!(answer(actions, id), Some(Answer::Rejected { retry_after_us: Some(1..) }))
}

/// Returns a scheduler with one ready node, n0.
fn scheduler_with_one_node(settings: SchedulerSettings) -> Scheduler {
    let mut scheduler = Scheduler::new(settings, 1, SECOND);
    deliver(&mut scheduler, SECOND, &[snapshot(ready_endpoints(1))]);
    scheduler
}

fn ended(id: u32, outcome: AttemptOutcome, latency_us: u64) -> Event {
    attempt_ended(id, "n0", outcome, latency_us)
}

#[test]
fn requests_without_a_node_in_service_are_rejected_at_once() {
    let mut scheduler = scheduler_with_one_node(settings());
    let actions = deliver(&mut scheduler, SECOND, &[arrival(1, 0, 7, 2 * SECOND)]);
    assert!(is_rejected_with_retry_after(&actions, 1), "{actions:?}");
    // Queued requests are rejected as soon as their node is removed.
    let queued: Vec<_> = (10..30).map(|id| arrival(id, 0, 0, 2 * SECOND)).collect();
    let actions = deliver(&mut scheduler, SECOND, &queued);
    assert!(answer(&actions, 29).is_none(), "the request is queued");
    let removed = vec![endpoint("n0", 0, EndpointState::Removed, 0)];
    let actions = deliver(&mut scheduler, SECOND + 1_000, &[delta(removed)]);
    assert!(is_rejected_with_retry_after(&actions, 29), "{actions:?}");
}

#[test]
fn requests_that_expire_within_a_backoff_are_rejected_at_once() {
    let mut scheduler = scheduler_with_one_node(settings());
    for round in 0..7 {
        let now_us = (2 + 5 * round) * SECOND;
        let id = round as u32;
        deliver(&mut scheduler, now_us, &[arrival(id, 0, 0, now_us + SECOND)]);
        deliver(&mut scheduler, now_us + 1, &[ended(id, AttemptOutcome::ConnectFailed, 1)]);
    }
    let now_us = 32 * SECOND + 2;
    let short = deliver(&mut scheduler, now_us, &[arrival(50, 0, 0, now_us + SECOND / 4)]);
    let rejection = answer(&short, 50).expect("answered at once");
    let retry_after_us = rejection.retry_after_us();
    assert!(
        retry_after_us.is_some_and(|after_us| after_us > SECOND / 4),
        "Retry-After lasts until the backoff is over: {rejection:?}"
    );
    let long = deliver(&mut scheduler, now_us, &[arrival(51, 0, 0, now_us + 5 * SECOND)]);
    assert_eq!(answer(&long, 51), None, "the request can be sent before it expires");
}

#[test]
fn requests_that_may_not_be_retried_are_answered_at_once() {
    // Class 0 is idempotent, requests of class 1 have an idempotency key, and those of class 2 must not run
    // twice.
    for (class, outcome, rejected) in [
        (0, AttemptOutcome::Failed, None),
        (1, AttemptOutcome::Failed, None),
        (2, AttemptOutcome::Failed, Some(false)),
        (2, AttemptOutcome::ConnectionReset, Some(false)),
        (0, AttemptOutcome::NotSent, Some(true)),
    ] {
        let mut scheduler = scheduler_with_one_node(settings());
        deliver(&mut scheduler, SECOND, &[arrival(1, class, 0, 2 * SECOND)]);
        let actions = deliver(&mut scheduler, SECOND + 50_000, &[ended(1, outcome, 50_000)]);
        let answered = answer(&actions, 1).map(Answer::is_rejection);
        assert_eq!(answered, rejected, "class {class} after {outcome:?}");
    }
    let single_attempt = SchedulerSettings { max_attempts: Some(1), ..settings() };
    let mut scheduler = scheduler_with_one_node(single_attempt);
    deliver(&mut scheduler, SECOND, &[arrival(1, 0, 0, 2 * SECOND)]);
    let actions = deliver(&mut scheduler, SECOND + 1, &[ended(1, AttemptOutcome::Rejected, 1)]);
    assert!(answer(&actions, 1).is_some(), "the maximum of one attempt is reached");
}

/// Guards against retries whose idempotency key nodes no longer recognize. A write with an idempotency key
/// that may have run is retried only while the node recognizes the key, and fails after that.
#[test]
fn writes_fail_once_the_window_of_their_idempotency_key_has_passed() {
    const WINDOW_US: u64 = SECOND;
    let unlimited = SchedulerSettings { max_attempts: None, retry_budget: None, ..settings() };
    let mut scheduler = scheduler_with_one_node(unlimited);
    deliver(&mut scheduler, SECOND, &[arrival(1, 1, 0, 3 * SECOND)]);
    let reset = ended(1, AttemptOutcome::ConnectionReset, 1_000);
    let actions = deliver(&mut scheduler, SECOND + 1_000, &[reset]);
    assert_eq!(answer(&actions, 1), None, "the node still recognizes the key");
    let answered = (1..400).find_map(|step| {
        let now_us = SECOND + 1_000 + step * 5_000;
        // The connection of every retry breaks.
        let mut actions = deliver(&mut scheduler, now_us, &[Event::TimerFired(0)]);
        if actions.iter().any(|action| matches!(action, Action::SendAttempt { .. })) {
            let reset = ended(1, AttemptOutcome::ConnectionReset, 1);
            actions.extend(deliver(&mut scheduler, now_us + 1, &[reset]));
        }
        answer(&actions, 1).map(|answer| (now_us, answer))
    });
    let (at_us, answer) = answered.expect("answered");
    assert!(
        !answer.is_rejection() && at_us <= SECOND + WINDOW_US + 10_000,
        "failed after {} us",
        at_us - SECOND
    );
}

#[test]
fn requests_past_their_objective_are_dropped_if_late_answers_earn_nothing() {
    for (late_weight_factor, is_dropped) in [(0.0, true), (0.1, false)] {
        let mut settings = SchedulerSettings { max_attempts: None, ..settings() };
        settings.classes[0].late_weight_factor = late_weight_factor;
        let mut scheduler = scheduler_with_one_node(settings);
        let arrivals: Vec<_> = (0..20).map(|id| arrival(id, 0, 0, 2 * SECOND)).collect();
        deliver(&mut scheduler, SECOND, &arrivals);
        let actions = deliver(&mut scheduler, SECOND + 201_000, &[Event::TimerFired(0)]);
        assert_eq!(answer(&actions, 19).is_some(), is_dropped, "late weight factor {late_weight_factor}");
    }
}

#[test]
fn rate_limited_requests_get_a_spread_retry_after_and_disconnected_clients_no_answer() {
    let mut scheduler = scheduler_with_one_node(settings());
    let of_one_volume = |id| IncomingRequest {
        plan: PlanIndex(0),
        volume: VolumeId(3),
        ..incoming_request(id, 0, 0, 2 * SECOND)
    };
    let arrivals: Vec<_> = (0..60).map(|id| Event::RequestArrived(of_one_volume(id))).collect();
    let actions = deliver(&mut scheduler, 2 * SECOND - 500_000, &arrivals);
    let retry_after_us: Vec<Option<u64>> =
        (0..60).filter_map(|id| answer(&actions, id)).map(Answer::retry_after_us).collect();
    assert!(
        retry_after_us.len() > 10 && retry_after_us.iter().all(|after_us| matches!(after_us, Some(1..))),
        "{retry_after_us:?}"
    );
    let mut spread = retry_after_us.clone();
    spread.dedup();
    assert!(
        spread.len() * 2 > retry_after_us.len(),
        "clients that honor Retry-After do not all retry at once"
    );
    let disconnects: Vec<_> = (0..60).map(|id| Event::ClientDisconnected(RequestId(id))).collect();
    let after = deliver(&mut scheduler, 2 * SECOND - 400_000, &disconnects);
    assert!((0..60).all(|id| answer(&after, id).is_none()), "disconnected clients get no answer");
}

#[test]
fn attempts_of_disconnected_clients_are_cancelled_if_cancellation_is_enabled() {
    for nodes_honor_cancellation in [true, false] {
        let mut scheduler =
            Scheduler::new(SchedulerSettings { nodes_honor_cancellation, ..settings() }, 1, 10);
        let arrivals = [snapshot(ready_endpoints(1)), arrival(1, 0, 0, SECOND), arrival(2, 0, 7, SECOND)];
        deliver(&mut scheduler, 10, &arrivals);
        let disconnects = [1, 2, 3].map(|id| Event::ClientDisconnected(RequestId(id)));
        let actions = deliver(&mut scheduler, 20_000, &disconnects);
        let is_cancellation = |action: &&Action| matches!(action, Action::CancelAttempt { .. });
        let cancellations: Vec<_> = actions.iter().filter(is_cancellation).collect();
        let expected = Action::CancelAttempt { request: RequestId(1), attempt_index: 0 };
        assert_eq!(cancellations, if nodes_honor_cancellation { vec![&expected] } else { vec![] });
    }
}

/// Guards against a queue of late requests that outlives a surge. A request that was never sent is rejected
/// once it is past its latency objective and half of its time to expiry. Its client can then still retry, and
/// the rejection costs no more than that retry. A request that was sent stays open until it is answered.
#[test]
fn unsent_requests_are_rejected_after_half_their_time_to_expiry() {
    let mut fleet = SimulatedFleet::without_slow_start_and_retry_budget(1, 1);
    let expires_at_us = fleet.now_us + SECOND;
    for id in 0..40 {
        fleet.submit(0, incoming_request(id, 0, 0, expires_at_us));
    }
    fleet.run_for(SECOND / 2 - 20_000);
    assert!(
        fleet.rejected.is_empty(),
        "requests are queued while they can be sent in time: {:?}",
        fleet.rejected
    );
    fleet.run_for(40_000);
    let (unsent, sent): (Vec<_>, Vec<_>) =
        fleet.requests.values().partition(|tracked| tracked.attempts.is_empty());
    assert!(unsent.len() > 20);
    assert!(unsent.iter().all(|tracked| tracked.finished), "unsent requests are rejected");
    assert!(sent.iter().all(|tracked| !tracked.finished), "sent requests are still open");
}

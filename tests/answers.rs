//! What the module has given up on is answered in the batch in which that is decided, with advice on when to
//! come back where that is known; what it would still send is not.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// The final answer among these actions: whether it is a refusal, and its advice.
fn answer(actions: &[Action], id: u32) -> Option<(bool, u64)> {
    actions.iter().find_map(|a| match a {
        Action::Reject { request, retry_after_us } if request.0 == id => {
            Some((true, retry_after_us.unwrap_or(0)))
        }
        Action::Fail { request } if request.0 == id => Some((false, 0)),
        _ => None,
    })
}

fn start(set: SchedulerSettings, node: Endpoint) -> Scheduler {
    let mut s = Scheduler::new(set, 1, SECOND);
    s.handle(SECOND, &[snapshot(vec![node])], &mut Vec::new());
    s
}

fn at(s: &mut Scheduler, now: u64, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    s.handle(now, events, &mut actions);
    actions
}

fn ended(id: u32, ending: AttemptOutcome, latency: u64) -> Event {
    Event::AttemptEnded(attempt_report(id, "n0", ending, latency))
}

fn live() -> Endpoint {
    endpoint("n0", 0, EndpointState::Ready, 0)
}

#[test]
fn no_node_in_service_for_the_data() {
    let mut s = start(settings(), live());
    let came = at(&mut s, SECOND, &[Event::RequestArrived(incoming_request(1, 0, 7, 2 * SECOND))]);
    assert!(answer(&came, 1).is_some_and(|(refused, advice)| refused && advice > 0), "{came:?}");
    // Held work is answered as soon as its node leaves.
    let busy: Vec<_> =
        (10..30).map(|id| Event::RequestArrived(incoming_request(id, 0, 0, 2 * SECOND))).collect();
    assert!(answer(&at(&mut s, SECOND, &busy), 29).is_none(), "held for a slot");
    let gone = vec![endpoint("n0", 0, EndpointState::Removed, 0)];
    let left = at(&mut s, SECOND + 1_000, &[delta(gone)]);
    assert!(answer(&left, 29).is_some_and(|(refused, advice)| refused && advice > 0), "{left:?}");
}

#[test]
fn a_pause_longer_than_the_client_waits() {
    let mut s = start(settings(), live());
    for round in 0..7 {
        let now = (2 + 5 * round) * SECOND;
        at(&mut s, now, &[Event::RequestArrived(incoming_request(round as u32, 0, 0, now + SECOND))]);
        at(&mut s, now + 1, &[ended(round as u32, AttemptOutcome::ConnectFailed, 1)]);
    }
    let now = 32 * SECOND + 2;
    let short = at(&mut s, now, &[Event::RequestArrived(incoming_request(50, 0, 0, now + SECOND / 4))]);
    let (refused, advice) = answer(&short, 50).expect("answered at once");
    assert!(refused && advice > SECOND / 4, "to come when the pause is over: {advice}");
    let long = at(&mut s, now, &[Event::RequestArrived(incoming_request(51, 0, 0, now + 5 * SECOND))]);
    assert_eq!(answer(&long, 51), None, "this one would still be sent");
}

#[test]
fn attempts_spent_and_effects() {
    // Class 2 must not run twice; class 1 carries a key, class 0 may run again.
    for (class, ending, refused) in [
        (0, AttemptOutcome::Failed, None),
        (1, AttemptOutcome::Failed, None),
        (2, AttemptOutcome::Failed, Some(false)),
        (2, AttemptOutcome::ConnectionReset, Some(false)),
        (0, AttemptOutcome::NotSent, Some(true)),
    ] {
        let mut s = start(settings(), live());
        at(&mut s, SECOND, &[Event::RequestArrived(incoming_request(1, class, 0, 2 * SECOND))]);
        let actions = at(&mut s, SECOND + 50_000, &[ended(1, ending, 50_000)]);
        assert_eq!(answer(&actions, 1).map(|a| a.0), refused, "class {class} after {ending:?}");
    }
    let mut s = start(SchedulerSettings { max_attempts: Some(1), ..settings() }, live());
    at(&mut s, SECOND, &[Event::RequestArrived(incoming_request(1, 0, 0, 2 * SECOND))]);
    assert!(
        answer(&at(&mut s, SECOND + 1, &[ended(1, AttemptOutcome::Rejected, 1)]), 1).is_some(),
        "its one attempt is spent"
    );
}

/// A keyed write that may have run waits for its node, and fails when a repeat would no longer be dropped.
#[test]
fn the_window_of_a_key_passes_while_held() {
    let mut s = start(SchedulerSettings { max_attempts: None, retry_budget: None, ..settings() }, live());
    let window = SECOND;
    at(&mut s, SECOND, &[Event::RequestArrived(incoming_request(1, 1, 0, 3 * SECOND))]);
    let reset = at(&mut s, SECOND + 1_000, &[ended(1, AttemptOutcome::ConnectionReset, 1_000)]);
    assert_eq!(answer(&reset, 1), None, "a repeat is still harmless");
    let mut last = None;
    for step in 1..400 {
        let now = SECOND + 1_000 + step * 5_000;
        // Something else always breaks before its turn comes.
        let mut actions = at(&mut s, now, &[Event::TimerFired(0)]);
        if actions.iter().any(|a| matches!(a, Action::SendAttempt { .. })) {
            actions.extend(at(&mut s, now + 1, &[ended(1, AttemptOutcome::ConnectionReset, 1)]));
        }
        if let Some(a) = answer(&actions, 1) {
            last = Some((now, a.0));
            break;
        }
    }
    let (when, refused) = last.expect("answered");
    assert!(!refused && when <= SECOND + window + 10_000, "failed after {} us", when - SECOND);
}

#[test]
fn aim_passed_with_nothing_left_to_earn() {
    for (late_weight_factor, expected) in [(0.0, true), (0.1, false)] {
        let mut set = SchedulerSettings { max_attempts: None, ..settings() };
        set.classes[0].late_weight_factor = late_weight_factor;
        let mut s = start(set, live());
        let all: Vec<_> =
            (0..20).map(|id| Event::RequestArrived(incoming_request(id, 0, 0, 2 * SECOND))).collect();
        at(&mut s, SECOND, &all);
        let actions = at(&mut s, SECOND + 201_000, &[Event::TimerFired(0)]);
        assert_eq!(answer(&actions, 19).is_some(), expected, "late weight factor {late_weight_factor}");
    }
}

#[test]
fn the_limit_and_clients_that_left() {
    let mut s = start(settings(), live());
    let asks: Vec<_> = (0..60)
        .map(|id| {
            Event::RequestArrived(IncomingRequest {
                plan: 0,
                volume: VolumeId(3),
                ..incoming_request(id, 0, 0, 2 * SECOND)
            })
        })
        .collect();
    let actions = at(&mut s, 2 * SECOND - 500_000, &asks);
    let advice: Vec<u64> = (0..60).filter_map(|id| answer(&actions, id)).map(|a| a.1).collect();
    assert!(advice.len() > 10 && advice.iter().all(|a| *a > 0), "{advice:?}");
    let mut spread = advice.clone();
    spread.dedup();
    assert!(spread.len() * 2 > advice.len(), "those that heed it do not come back at once");
    let gone: Vec<_> = (0..60).map(|id| Event::ClientDisconnected(RequestId(id))).collect();
    let after = at(&mut s, 2 * SECOND - 400_000, &gone);
    assert!((0..60).all(|id| answer(&after, id).is_none()), "nothing is owed to who has left");
}

/// What was never sent is given up past its aim and half its time, when its client can still come again and a
/// refusal costs no more than that; what was sent once is seen through.
#[test]
fn unsent_work_is_given_up_at_half_its_time() {
    let mut w = World::new(SchedulerSettings {
        gateway_count: 1,
        slow_start: None,
        retry_budget: None,
        ..settings()
    });
    w.list_all(EndpointUpdate::Cached, &[live()]);
    w.step();
    let came = w.now;
    for id in 0..40 {
        w.arrive(0, incoming_request(id, 0, 0, came + SECOND));
    }
    w.run(SECOND / 2 - 20_000);
    assert!(w.refused.is_empty(), "held while it could still leave in time: {:?}", w.refused);
    w.run(40_000);
    let unsent = w.requests.values().filter(|t| t.attempts.is_empty());
    assert!(unsent.clone().count() > 20);
    assert!(unsent.clone().all(|t| t.finished), "given up");
    assert!(w.requests.values().filter(|t| !t.attempts.is_empty()).all(|t| !t.finished), "seen through");
}

//! The core without any wire: a carrier that only notes what it is given, and a clock that stands still until
//! something waits for it.

mod common;

use common::{endpoint, incoming_request, settings};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use storage_gateway::routing::{
    Attempt, AttemptResult, AttemptTransport, Clock, FinalAnswer, RequestMetrics, RequestRouter, RouterHandle,
};
use storage_gateway::scheduler::{AttemptOutcome, EndpointState, EndpointUpdate};
use tokio::task::LocalSet;

type Attempts = Rc<RefCell<Vec<Attempt<&'static str>>>>;

struct RecordingTransport(Attempts);

impl AttemptTransport<&'static str> for RecordingTransport {
    fn start(&mut self, attempt: Attempt<&'static str>) {
        self.0.borrow_mut().push(attempt);
    }
    fn watch_endpoints(&mut self) {}
}

/// Runs a test against a router that knows one node of shard 1.
fn with_router<F: Future<Output = ()>>(
    test: impl FnOnce(RouterHandle<&'static str, u32>, Attempts, Clock, Rc<RequestMetrics>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let (clock, metrics, attempts) =
            (Clock::start(), Rc::<RequestMetrics>::default(), Attempts::default());
        let (core, router) = RequestRouter::new(settings(), 1, clock, metrics.clone());
        tokio::task::spawn_local(core.run(RecordingTransport(attempts.clone())));
        router.endpoints_updated(EndpointUpdate::Snapshot(vec![endpoint("n1", 1, EndpointState::Ready, 0)]));
        test(router, attempts, clock, metrics).await;
    });
}

async fn sent(attempts: &Attempts) -> Attempt<&'static str> {
    loop {
        if let Some(attempt) = attempts.borrow_mut().pop() {
            return attempt;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_second_outcome_or_answer_finds_nothing_owed() {
    with_router(|router, attempts, clock, metrics| async move {
        let pending = router.submit(incoming_request(0, 0, 1, clock.now_us() + 900_000), "payload");
        let attempt = sent(&attempts).await;
        assert_eq!((*attempt.payload, attempt.number), ("payload", 0));
        for response in [7, 8] {
            let result = AttemptResult {
                response: Some(response),
                ..AttemptResult::without_response(AttemptOutcome::Succeeded)
            };
            router.attempt_ended(attempt.request, attempt.number, result);
        }
        assert!(matches!(pending.await, FinalAnswer::Served(7)));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!((metrics.served.get(), metrics.failed.get() + metrics.rejected.get()), (1, 0));
        assert_eq!(metrics.by_name()["attempts_ok"], 1);
    });
}

#[test]
fn a_client_that_leaves_has_its_attempt_called_off() {
    with_router(|router, attempts, clock, metrics| async move {
        let pending = router.submit(incoming_request(0, 0, 1, clock.now_us() + 900_000), "payload");
        let attempt = sent(&attempts).await;
        drop(pending);
        assert!(attempt.cancelled.await.is_err(), "dropped, not sent");
        assert_eq!(metrics.abandoned.get(), 1);
    });
}

#[test]
fn silence_is_answered_before_the_client_gives_up() {
    with_router(|router, attempts, clock, _| async move {
        let expires = clock.now_us() + 900_000;
        let pending = router.submit(incoming_request(0, 2, 1, expires), "payload");
        let attempt = sent(&attempts).await;
        assert!(attempt.deadline <= clock.instant_at(expires));
        assert!(matches!(pending.await, FinalAnswer::Failed), "it may have run and must not again");
        assert!(clock.now_us() <= expires);
    });
}

#[test]
fn what_no_node_can_serve_is_refused_at_once() {
    with_router(|router, _, clock, _| async move {
        let began = clock.now_us();
        let answer = router.submit(incoming_request(0, 0, 9, began + 900_000), "payload").await;
        assert!(matches!(answer, FinalAnswer::Rejected { retry_after_us: Some(1..) }));
        assert!(clock.now_us() < began + 100_000, "held back for {} us", clock.now_us() - began);
    });
}

#[test]
fn a_begun_answer_is_the_clients_and_outlives_the_deadline() {
    with_router(|router, attempts, clock, metrics| async move {
        let pending = router.submit(incoming_request(0, 0, 1, clock.now_us() + 900_000), "payload");
        let attempt = sent(&attempts).await;
        router.response_started(attempt.request, 5);
        assert!(matches!(pending.await, FinalAnswer::Served(5)));
        tokio::time::sleep(Duration::from_secs(3)).await;
        router.attempt_ended(
            attempt.request,
            attempt.number,
            AttemptResult::without_response(AttemptOutcome::ConnectionReset),
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(attempts.borrow().is_empty(), "nothing may go on with an answer that has begun");
        assert_eq!((metrics.served.get(), metrics.failed.get()), (1, 0));
    });
}

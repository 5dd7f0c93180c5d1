//! Tests the request router without sockets. The transport only records the attempts that the router starts,
//! and the paused clock advances only when every task is waiting for a timer.

mod common;

use common::{endpoint, incoming_request, settings};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use storage_gateway::routing::{
    Attempt, AttemptResult, AttemptTransport, Clock, FinalAnswer, PendingAnswer, RequestMetrics,
    RequestRouter, RouterHandle,
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

/// A router whose endpoint list contains one node, which serves shard 1, with the parts that tests inspect.
struct RouterFixture {
    router: RouterHandle<&'static str, u32>,
    attempts: Attempts,
    clock: Clock,
    metrics: Rc<RequestMetrics>,
}

impl RouterFixture {
    fn start() -> Self {
        let (clock, metrics, attempts) =
            (Clock::start(), Rc::<RequestMetrics>::default(), Attempts::default());
        let (actor, router) = RequestRouter::new(settings(), 1, clock, metrics.clone());
        tokio::task::spawn_local(actor.run(RecordingTransport(attempts.clone())));
        let node = endpoint("n1", 1, EndpointState::Ready, 0);
        router.endpoints_updated(EndpointUpdate::Snapshot(vec![node]));
        RouterFixture { router, attempts, clock, metrics }
    }

    /// Submits a request that expires 900 ms from now.
    fn submit(&self, class: usize, shard: u32) -> PendingAnswer<&'static str, u32> {
        let expires_at_us = self.clock.now_us() + 900_000;
        self.router.submit(incoming_request(0, class, shard, expires_at_us), "payload")
    }

    /// Waits until an attempt has been started, and removes it from the recorded attempts.
    async fn next_attempt(&self) -> Attempt<&'static str> {
        loop {
            if let Some(attempt) = self.attempts.borrow_mut().pop() {
                return attempt;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Runs a test with a new router on a runtime whose clock is paused.
fn with_router<Test: Future<Output = ()>>(test: impl FnOnce(RouterFixture) -> Test) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async { test(RouterFixture::start()).await });
}

#[test]
fn only_the_first_result_of_an_attempt_is_delivered() {
    with_router(|fixture| async move {
        let pending = fixture.submit(0, 1);
        let attempt = fixture.next_attempt().await;
        assert_eq!((*attempt.payload, attempt.index), ("payload", 0));
        for response in [7, 8] {
            let result = AttemptResult {
                response: Some(response),
                ..AttemptResult::without_response(AttemptOutcome::Succeeded)
            };
            fixture.router.attempt_ended(attempt.request, attempt.index, result);
        }
        assert!(matches!(pending.await, FinalAnswer::Served(7)));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let metrics = &fixture.metrics;
        assert_eq!((metrics.served.get(), metrics.failed.get() + metrics.rejected.get()), (1, 0));
        assert_eq!(metrics.by_name()["attempts_ok"], 1);
    });
}

#[test]
fn attempts_of_disconnected_clients_are_cancelled() {
    with_router(|fixture| async move {
        let pending = fixture.submit(0, 1);
        let attempt = fixture.next_attempt().await;
        drop(pending);
        assert!(attempt.cancelled.await.is_err(), "the sender must be dropped without a value");
        assert_eq!(fixture.metrics.client_disconnected.get(), 1);
    });
}

#[test]
fn unanswered_requests_fail_before_they_expire() {
    with_router(|fixture| async move {
        let expires_at_us = fixture.clock.now_us() + 900_000;
        let pending = fixture.submit(2, 1);
        let attempt = fixture.next_attempt().await;
        assert!(attempt.deadline <= fixture.clock.instant_at(expires_at_us));
        assert!(matches!(pending.await, FinalAnswer::Failed), "must not be retried after possible execution");
        assert!(fixture.clock.now_us() <= expires_at_us);
    });
}

#[test]
fn requests_that_no_node_can_serve_are_rejected_at_once() {
    with_router(|fixture| async move {
        let submitted_at_us = fixture.clock.now_us();
        let answer = fixture.submit(0, 9).await;
        assert!(matches!(answer, FinalAnswer::Rejected { retry_after_us: Some(1..) }));
        let waited_us = fixture.clock.now_us() - submitted_at_us;
        assert!(waited_us < 100_000, "rejected only after {waited_us} us");
    });
}

#[test]
fn requests_with_a_started_response_neither_expire_nor_retry() {
    with_router(|fixture| async move {
        let pending = fixture.submit(0, 1);
        let attempt = fixture.next_attempt().await;
        fixture.router.response_started(attempt.request, 5);
        assert!(matches!(pending.await, FinalAnswer::Served(5)));
        tokio::time::sleep(Duration::from_secs(3)).await;
        let reset = AttemptResult::without_response(AttemptOutcome::ConnectionReset);
        fixture.router.attempt_ended(attempt.request, attempt.index, reset);
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert!(fixture.attempts.borrow().is_empty(), "retried after its response had started");
        assert_eq!((fixture.metrics.served.get(), fixture.metrics.failed.get()), (1, 0));
    });
}

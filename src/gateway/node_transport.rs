//! The path of an attempt from the router to a storage node and back, which both front ends share.

use super::node_registry::NodeRegistry;
use crate::protocol::node_response::{self, NodeResponseHead};
use crate::routing::{Attempt, AttemptResult, RouterHandle};
use crate::scheduler::{AttemptOutcome, RequestId};
use crate::transport::{Exchange, ExchangeEvent, ExchangeFailure, StreamedBody, StreamingRule};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a front end submits with a request: how its protocol writes the request to a storage node and reads
/// the response.
pub trait AttemptPayload: 'static {
    /// What the front end gets of a storage node's response.
    type Response: 'static;

    /// The request for one attempt, which may take this long.
    fn encode(&self, time_left: Duration) -> Request<Full<Bytes>>;

    /// Whether the head of a response shows that the storage node served the request.
    fn accepts_response(&self, status: StatusCode, headers: &HeaderMap) -> bool;

    /// A response that has been read completely.
    fn complete_response(response: Response<Bytes>) -> Self::Response;

    /// A response whose body follows; none in a protocol whose [`ResponsePolicy`] streams nothing.
    fn streamed_response(_response: Response<StreamedBody>) -> Option<Self::Response> {
        None
    }
}

/// How long and how large a storage node's response may be, and whether it is streamed.
pub struct ResponsePolicy {
    /// A response that has begun is malformed once nothing more of it has arrived for this time.
    pub stall_timeout: Duration,
    /// The longest body that is read completely, in bytes.
    pub max_body_len: usize,
    /// Which responses are streamed.
    pub streaming: StreamingRule,
}

/// Starts an attempt at its storage node; its end is reported to the router.
pub fn start_attempt<P: AttemptPayload>(
    router: &RouterHandle<P, P::Response>,
    nodes: &NodeRegistry,
    attempt: Attempt<P>,
    policy: ResponsePolicy,
) {
    match nodes.pool(&attempt.node) {
        Some(pool) => pool.execute(build_exchange(router.clone(), attempt, policy)),
        None => router.attempt_ended(
            attempt.request,
            attempt.index,
            AttemptResult::without_response(AttemptOutcome::ConnectFailed),
        ),
    }
}

fn build_exchange<P: AttemptPayload>(
    router: RouterHandle<P, P::Response>,
    attempt: Attempt<P>,
    policy: ResponsePolicy,
) -> Exchange {
    let Attempt { request, index, node: _, payload, deadline, cancelled, start_permit } = attempt;
    let mut reporter =
        AttemptReporter { router, request, index, payload: payload.clone(), streamed_head: None };
    Exchange {
        build_request: Box::new(move || {
            let time_left = deadline.saturating_duration_since(Instant::now());
            start_permit.is_valid().then(|| payload.encode(time_left))
        }),
        deadline,
        cancelled,
        stall_timeout: policy.stall_timeout,
        streaming: policy.streaming,
        max_body_len: policy.max_body_len,
        on_event: Box::new(move |event| reporter.report(event)),
    }
}

/// Reports what becomes of one attempt to the router.
struct AttemptReporter<P: AttemptPayload> {
    router: RouterHandle<P, P::Response>,
    request: RequestId,
    /// The attempt's index among the request's attempts, from 0.
    index: u32,
    payload: Rc<P>,
    /// The head of a response whose body is being streamed.
    streamed_head: Option<NodeResponseHead>,
}

impl<P: AttemptPayload> AttemptReporter<P> {
    fn report(&mut self, event: ExchangeEvent) {
        let result = match event {
            ExchangeEvent::StreamStarted(response) => return self.report_stream(response),
            ExchangeEvent::Completed(response) => {
                let head = self.parse_head(&response);
                result_with_head(head, Some(P::complete_response(response)))
            }
            ExchangeEvent::StreamCompleted => match self.streamed_head.take() {
                Some(head) => result_with_head(head, None),
                None => AttemptResult::without_response(AttemptOutcome::Succeeded),
            },
            ExchangeEvent::Failed(failure) => AttemptResult::without_response(outcome_of(failure)),
        };
        self.router.attempt_ended(self.request, self.index, result);
    }

    fn report_stream(&mut self, response: Response<StreamedBody>) {
        self.streamed_head = Some(self.parse_head(&response));
        if let Some(response) = P::streamed_response(response) {
            self.router.response_started(self.request, response);
        }
    }

    fn parse_head<B>(&self, response: &Response<B>) -> NodeResponseHead {
        let headers = response.headers();
        node_response::parse_response_head(response.status(), headers, |status| {
            self.payload.accepts_response(status, headers)
        })
    }
}

/// The result of an attempt to which the storage node responded.
fn result_with_head<R>(head: NodeResponseHead, response: Option<R>) -> AttemptResult<R> {
    let NodeResponseHead { outcome, volume_rate_percent, units_via_other_gateways, load } = head;
    AttemptResult { outcome, response, volume_rate_percent, units_via_other_gateways, load }
}

/// The outcome of an attempt whose exchange brought no complete response.
fn outcome_of(failure: ExchangeFailure) -> AttemptOutcome {
    match failure {
        ExchangeFailure::DescriptorsExhausted | ExchangeFailure::NotStarted => AttemptOutcome::NotSent,
        ExchangeFailure::NotDelivered => AttemptOutcome::ConnectFailed,
        ExchangeFailure::ConnectionReset => AttemptOutcome::ConnectionReset,
        // The node itself is healthy: it responded.
        ExchangeFailure::MalformedResponse => AttemptOutcome::Failed,
        ExchangeFailure::TimedOut => AttemptOutcome::TimedOut,
        ExchangeFailure::Cancelled => AttemptOutcome::Cancelled,
    }
}

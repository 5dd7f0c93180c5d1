//! Sends attempts to storage nodes and reports their results to the router, for both front ends.

use super::node_registry::NodeRegistry;
use crate::protocol::node_response::{self, NodeResponseHead};
use crate::routing::{Attempt, AttemptResult, RouterHandle};
use crate::scheduler::{AttemptOutcome, RequestId};
use crate::transport::{
    Exchange, ExchangeEvent, ExchangeFailure, ResponseMemory, StreamedBody, StreamingRule,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The payload that a front end submits with a request. Encodes the request to a storage node and evaluates
/// the response according to the front end's protocol.
pub trait AttemptPayload: 'static {
    /// The form in which the front end receives a storage node's response.
    type Response: 'static;

    /// Encodes the request for one attempt. `time_left` is the time until the attempt's deadline.
    fn encode(&self, time_left: Duration) -> Request<Full<Bytes>>;

    /// Returns whether the head of a response shows that the storage node served the request.
    fn accepts_response(&self, status: StatusCode, headers: &HeaderMap) -> bool;

    /// Converts a response that has been read completely.
    fn complete_response(response: Response<Bytes>) -> Self::Response;

    /// Converts a response whose body is streamed. Protocols that stream responses must override this method;
    /// the default returns `None`.
    fn streamed_response(_response: Response<StreamedBody>) -> Option<Self::Response> {
        None
    }
}

/// Limits on a storage node's response, and the rule by which it is streamed.
pub struct ResponsePolicy {
    /// Duration after which a response that has begun counts as stalled if nothing more of it arrives; see
    /// [`Exchange::stall_timeout`].
    pub stall_timeout: Duration,
    /// Maximum length of a body that is read completely, in bytes.
    pub max_body_len: usize,
    /// Decides which responses are streamed.
    pub streaming: StreamingRule,
    /// Limits the memory of the responses that are read completely; `None` for no limit.
    pub response_memory: Option<ResponseMemory>,
}

/// Sends an attempt to its storage node and reports the attempt's result to `router`. If the node is no
/// longer registered, the outcome is [`AttemptOutcome::ConnectFailed`].
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
            start_permit.try_start().then(|| payload.encode(time_left))
        }),
        deadline,
        cancelled,
        stall_timeout: policy.stall_timeout,
        streaming: policy.streaming,
        response_memory: policy.response_memory,
        max_body_len: policy.max_body_len,
        on_event: Box::new(move |event| reporter.report(event)),
    }
}

/// Reports the response and the end of one attempt to the router.
struct AttemptReporter<P: AttemptPayload> {
    router: RouterHandle<P, P::Response>,
    request: RequestId,
    /// The attempt's index among the request's attempts, from 0.
    index: u32,
    payload: Rc<P>,
    /// The head of a response whose body is being streamed; `None` if no stream has started.
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
                // Cannot occur: a stream completes only after `StreamStarted`, which stores the head.
                None => AttemptResult::without_response(AttemptOutcome::Succeeded),
            },
            ExchangeEvent::Failed(failure) => AttemptResult::without_response(outcome_of_failure(failure)),
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

/// Returns the result of an attempt to which the storage node responded.
fn result_with_head<R>(head: NodeResponseHead, response: Option<R>) -> AttemptResult<R> {
    let NodeResponseHead { outcome, volume_rate_percent, units_via_other_gateways, load } = head;
    AttemptResult { outcome, response, volume_rate_percent, units_via_other_gateways, load }
}

/// Returns the outcome of an attempt whose exchange failed.
fn outcome_of_failure(failure: ExchangeFailure) -> AttemptOutcome {
    match failure {
        ExchangeFailure::ConnectionLimitReached | ExchangeFailure::CancelledBeforeSent => {
            AttemptOutcome::NotSent
        }
        ExchangeFailure::RequestNotWritten => AttemptOutcome::ConnectFailed,
        ExchangeFailure::ConnectionReset => AttemptOutcome::ConnectionReset,
        // The node responded, so the outcome must not count against its health: only this response and its
        // connection are unusable.
        ExchangeFailure::InvalidResponse | ExchangeFailure::ResponseMemoryExhausted => AttemptOutcome::Failed,
        ExchangeFailure::TimedOut => AttemptOutcome::TimedOut,
        ExchangeFailure::Cancelled => AttemptOutcome::Cancelled,
    }
}

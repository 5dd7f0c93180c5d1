//! Front end for the object API: authorizes clients' requests, submits them to the router and responds.

mod body;
mod idempotency;
mod incoming_request;
mod rejection;
mod response;
mod routed_request;
mod transport;

pub use body::BodyMemory;
pub use transport::{NodeResponse, ObjectPayload, ObjectTransport};

use super::frontend::{Frontend, HealthStatus};
use super::inventory::RackRegistry;
use super::metrics::GatewayMetrics;
use super::object_limits::ObjectLimits;
use super::tenants::TenantRegistry;
use crate::protocol::object::{ApiError, UploadKey, header_value};
use crate::routing::{Clock, FinalAnswer, RouterHandle};
use crate::transport::{Admission, GuardedBody, LifecyclePhase, RequestContext, ResponseBody, full_body};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rejection::Rejection;
use response::{client_response, forwarded_response};
use routed_request::RoutedRequest;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Front end for the object API.
pub struct ObjectFrontend {
    /// Handle to the router, to which requests are submitted.
    pub router: RouterHandle<ObjectPayload, NodeResponse>,
    /// The router's clock; request expiry times refer to it.
    pub clock: Clock,
    /// The tenants, whose bearer tokens authorize requests.
    pub tenants: TenantRegistry,
    /// Maps the names of racks to the scheduler's shards.
    pub racks: RackRegistry,
    /// Secret key that signs and verifies upload ids.
    pub upload_key: UploadKey,
    /// Limits on the size and duration of requests and responses.
    pub limits: ObjectLimits,
    /// Limits the memory that all requests together reserve for bodies.
    pub memory: BodyMemory,
    /// Counts rejected requests.
    pub metrics: Rc<GatewayMetrics>,
    /// Phase of the graceful shutdown, which the readiness check reports.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// Number from which the id of the next request is made; wraps around after `u64::MAX`.
    pub next_request_number: Cell<u64>,
}

impl Frontend for ObjectFrontend {
    async fn handle(&self, request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody> {
        let request_id = self.generate_request_id();
        let head_only = request.method() == Method::HEAD;
        let resource = request.uri().path().to_string();
        let result = match HealthStatus::for_path(&resource, &self.phase) {
            Some(health) => health_response(health),
            None => self.serve(request, context, &request_id).await,
        };
        let mut response =
            result.unwrap_or_else(|rejection| rejection.into_response(head_only, &resource, &request_id));
        response.headers_mut().insert("x-amz-request-id", header_value(request_id));
        response
    }
}

impl ObjectFrontend {
    fn generate_request_id(&self) -> String {
        let number = self.next_request_number.get();
        self.next_request_number.set(number.wrapping_add(1));
        format!("{number:016x}")
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
        request_id: &str,
    ) -> Result<Response<ResponseBody>, Rejection> {
        if context.admission == Admission::Overloaded {
            self.metrics.overload.increment();
            return Err(Rejection::overloaded());
        }
        let received_at_us = self.clock.now_us();
        let (head, body) = request.into_parts();
        let routed = self.route(head, received_at_us)?;
        let memory = self.reserve_memory(&routed.request)?;
        let body = tokio::select! {
            biased;
            body = self.read_request_body(&routed.request, body) => body?,
            () = context.body.abandoned() => {
                self.metrics.overload.increment();
                return Err(Rejection::overloaded());
            }
        };
        context.body.complete();
        let node_request = routed.node_request(body, request_id).map_err(|error| self.bad_request(error))?;
        let incoming = self.incoming_request(&routed, &node_request.body)?;
        let payload = ObjectPayload { request: node_request, _memory: memory.clone() };
        let answer = self.router.submit(incoming, payload).await;
        let response = self.response(answer, routed)?;
        Ok(response.map(|body| GuardedBody::new(body, memory).boxed()))
    }

    fn response(
        &self,
        answer: FinalAnswer<NodeResponse>,
        routed: RoutedRequest,
    ) -> Result<Response<ResponseBody>, Rejection> {
        match answer {
            FinalAnswer::Served(NodeResponse::Complete(response)) => {
                client_response(response, routed, &self.upload_key)
            }
            FinalAnswer::Served(NodeResponse::Streamed(response)) => {
                let (head, body) = response.into_parts();
                Ok(forwarded_response(&head, body.boxed_unsync()))
            }
            FinalAnswer::Rejected { retry_after_us } => Err(Rejection::slow_down(retry_after_us)),
            FinalAnswer::Failed => Err(ApiError::internal_error().into()),
        }
    }

    /// Counts a rejected request and returns its rejection. Used for requests that are malformed or
    /// unauthorized, or whose body is incomplete or too slow. Requests with an unknown bucket or upload,
    /// without `Content-Length`, or with a malformed `Req-Deadline` are not counted.
    fn bad_request(&self, error: ApiError) -> Rejection {
        self.metrics.bad_requests.increment();
        error.into()
    }
}

fn health_response(health: HealthStatus) -> Result<Response<ResponseBody>, Rejection> {
    match health {
        HealthStatus::Alive | HealthStatus::Ready => Ok(Response::new(full_body(health.text()))),
        HealthStatus::Stopping => Err(Rejection::slow_down(None)),
    }
}

//! The front end for the platform's protocol, and its transport to the storage nodes.

use super::frontend::{BodyError, HealthStatus, RESPONSE_MARGIN_US, read_body};
use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use super::node_transport::{AttemptPayload, ResponseLimits, start_attempt};
use super::shutdown::ShutdownSchedule;
use crate::protocol::client_request::{self, ForwardedRequest, NameTable, ParsedRequest, RequestError};
use crate::routing::{Attempt, AttemptTransport, Clock, FinalAnswer, RouterHandle};
use crate::scheduler::{IncomingRequest, RequestId};
use crate::transport::{Admission, LifecyclePhase, RequestContext, ResponseBody, StreamingRule, full_body};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How long a client may take over a request, from its first byte to its last. By "A Fixed Test for All
/// Future Versions of the Gateway", a client that stops halfway is owed an error within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_600);

/// A response that has begun and of which nothing has come for so long is malformed: storage nodes write a
/// response at once. No page states this time.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// The longest time that a client is taken to wait, whatever it states, in microseconds.
const MAX_CLIENT_TIMEOUT_US: u64 = 600_000_000;

/// The front end for the platform's protocol.
pub struct PlatformFrontend {
    /// Where requests are submitted.
    pub router: RouterHandle<ForwardedRequest, Bytes>,
    /// The router's clock.
    pub clock: Clock,
    /// How requests name classes and plans.
    pub names: NameTable,
    /// The counters.
    pub metrics: Rc<GatewayMetrics>,
    /// Whether the program still serves.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// When a client should come back that is rejected for want of connections, in microseconds; none if
    /// there is no advice.
    pub overload_retry_after_us: Option<u64>,
    /// When requests are to be answered during a graceful shutdown.
    pub shutdown: Rc<ShutdownSchedule>,
    /// The ids of the requests in progress.
    pub open: RefCell<FxHashSet<HeaderValue>>,
}

/// Registers a request's id for as long as the request is in progress.
struct OpenRequestId<'a> {
    open: &'a RefCell<FxHashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenRequestId<'a> {
    /// None if a request with this id is in progress. Guards against clients that use another's id: storage
    /// nodes and the rules identify a request by it.
    fn register(open: &'a RefCell<FxHashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        open.borrow_mut().insert(id.clone()).then(|| OpenRequestId { open, id: id.clone() })
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

/// The answer to a client.
struct PlatformResponse {
    status: StatusCode,
    body: Bytes,
    retry_after_us: Option<u64>,
}

impl PlatformResponse {
    fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        PlatformResponse { status, body: body.into(), retry_after_us: None }
    }

    fn unavailable(text: &'static str, retry_after_us: Option<u64>) -> Self {
        PlatformResponse { retry_after_us, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, text) }
    }
}

impl From<HealthStatus> for PlatformResponse {
    fn from(health: HealthStatus) -> Self {
        let status = match health {
            HealthStatus::Alive | HealthStatus::Ready => StatusCode::OK,
            HealthStatus::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        };
        PlatformResponse::new(status, health.text())
    }
}

impl From<FinalAnswer<Bytes>> for PlatformResponse {
    fn from(answer: FinalAnswer<Bytes>) -> Self {
        match answer {
            FinalAnswer::Served(body) => PlatformResponse::new(StatusCode::OK, body),
            FinalAnswer::Rejected { retry_after_us } => {
                PlatformResponse::unavailable("refused\n", retry_after_us)
            }
            FinalAnswer::Failed => PlatformResponse::new(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

/// Why a request is not submitted to the router.
enum Rejection {
    /// Too many connections are open.
    Overloaded,
    /// The head is malformed or names something unknown.
    Malformed(RequestError),
    /// A request with the same id is in progress.
    DuplicateId,
    /// The body is longer than the protocol allows.
    BodyTooLarge,
    /// The body broke off or did not come in time.
    BodyIncomplete,
}

impl PlatformFrontend {
    /// Answers one request.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
    ) -> Response<ResponseBody> {
        let answer = match HealthStatus::for_path(request.uri().path(), &self.phase) {
            Some(health) => health.into(),
            None => self.serve(request, context).await.unwrap_or_else(|rejection| self.reject(rejection)),
        };
        client_request::response(answer.status, answer.body, answer.retry_after_us).map(full_body)
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
    ) -> Result<PlatformResponse, Rejection> {
        if context.admission == Admission::Overloaded {
            return Err(Rejection::Overloaded);
        }
        let (head, body) = request.into_parts();
        let parsed = client_request::decode(&head, context.conflicting_length, &self.names)
            .map_err(Rejection::Malformed)?;
        let _open = self.register_id(&head)?;
        let body = read_request_body(body, context.started_at).await?;
        let incoming = self.incoming_request(&parsed);
        Ok(self.router.submit(incoming, ForwardedRequest { head, body }).await.into())
    }

    fn register_id(&self, head: &Parts) -> Result<OpenRequestId<'_>, Rejection> {
        head.headers
            .get("req-id")
            .and_then(|id| OpenRequestId::register(&self.open, id))
            .ok_or(Rejection::DuplicateId)
    }

    fn incoming_request(&self, parsed: &ParsedRequest) -> IncomingRequest {
        IncomingRequest {
            id: RequestId(0),
            class: parsed.class,
            plan: parsed.plan,
            volume: parsed.volume,
            volume_gateways: parsed.volume_gateways,
            block: Some(parsed.block),
            shard: parsed.shard,
            units: parsed.units,
            expires_at_us: self.expires_at_us(parsed.timeout_us),
        }
    }

    /// When a request must be answered. Its time counts from its last byte; during a graceful shutdown it has
    /// no more than that leaves.
    fn expires_at_us(&self, client_timeout_us: u64) -> u64 {
        let timeout_us = client_timeout_us.min(MAX_CLIENT_TIMEOUT_US).saturating_sub(RESPONSE_MARGIN_US);
        let until_shutdown_us = match self.shutdown.answer_by.get() {
            Some(answer_by) => (answer_by - Instant::now()).as_micros() as u64,
            None => timeout_us,
        };
        self.clock.now_us() + timeout_us.min(until_shutdown_us)
    }

    fn reject(&self, rejection: Rejection) -> PlatformResponse {
        self.count(&rejection);
        match rejection {
            Rejection::Overloaded => {
                PlatformResponse::unavailable("too many connections\n", self.overload_retry_after_us)
            }
            Rejection::Malformed(cause) => {
                let status = match cause {
                    RequestError::Length => StatusCode::LENGTH_REQUIRED,
                    _ => StatusCode::BAD_REQUEST,
                };
                PlatformResponse::new(status, format!("{cause}\n"))
            }
            Rejection::DuplicateId => {
                PlatformResponse::new(StatusCode::CONFLICT, "a request of this id is open\n")
            }
            Rejection::BodyTooLarge => {
                PlatformResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Rejection::BodyIncomplete => {
                PlatformResponse::new(StatusCode::BAD_REQUEST, "the body broke off\n")
            }
        }
    }

    fn count(&self, rejection: &Rejection) {
        let counter = match rejection {
            Rejection::Overloaded => &self.metrics.overload,
            Rejection::BodyTooLarge => &self.metrics.bodies_too_large,
            Rejection::Malformed(_) | Rejection::DuplicateId | Rejection::BodyIncomplete => {
                &self.metrics.bad_requests
            }
        };
        counter.increment();
    }
}

async fn read_request_body(body: Incoming, started_at: Instant) -> Result<Bytes, Rejection> {
    // A body that states that it is too large is not waited for.
    if body.size_hint().lower() > client_request::BODY_MOST as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let deadline = started_at + REQUEST_READ_TIMEOUT;
    read_body(body, client_request::BODY_MOST, deadline).await.map_err(|cause| match cause {
        BodyError::TooLong => Rejection::BodyTooLarge,
        BodyError::Incomplete | BodyError::TimedOut => Rejection::BodyIncomplete,
    })
}

impl AttemptPayload for ForwardedRequest {
    type Response = Bytes;

    fn encode(&self, time_left: Duration) -> Request<Full<Bytes>> {
        client_request::encode(self, time_left)
    }

    fn accepts_response(&self, status: StatusCode, _: &HeaderMap) -> bool {
        status == StatusCode::OK
    }

    fn complete_response(response: Response<Bytes>) -> Bytes {
        response.into_body()
    }
}

/// Takes the router's attempts to the storage nodes.
pub struct PlatformTransport {
    /// Where the ends of attempts are reported.
    pub router: RouterHandle<ForwardedRequest, Bytes>,
    /// The storage nodes.
    pub nodes: NodeRegistry,
    /// Starts a watch of the endpoint list.
    pub watch: mpsc::UnboundedSender<()>,
}

impl AttemptTransport<ForwardedRequest> for PlatformTransport {
    fn start(&mut self, attempt: Attempt<ForwardedRequest>) {
        let limits = ResponseLimits {
            stall_timeout: RESPONSE_STALL_TIMEOUT,
            max_body_len: client_request::BODY_MOST,
            streaming: StreamingRule::never(),
        };
        start_attempt(&self.router, &self.nodes, attempt, limits);
    }

    fn watch_endpoints(&mut self) {
        // The endpoint watcher lives as long as the program.
        let _ = self.watch.send(());
    }
}

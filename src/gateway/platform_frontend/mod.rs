//! Front end for the platform's protocol: decodes clients' requests, submits them to the router and responds.

mod request_ids;
mod request_memory;
mod response;
mod transport;

pub use request_ids::RequestIds;
pub use request_memory::RequestMemory;
pub use transport::{PlatformPayload, PlatformTransport};

use super::body_reader::{BodyError, read_body};
use super::frontend::{Frontend, HealthStatus, RESPONSE_MARGIN_US};
use super::metrics::GatewayMetrics;
use super::shutdown::ShutdownSchedule;
use crate::protocol::client_request::{
    self, ForwardedHead, ForwardedRequest, NameTable, ParsedRequest, RequestError,
};
use crate::protocol::common_headers::REQUEST_ID;
use crate::routing::{Clock, RouterHandle};
use crate::scheduler::IncomingRequest;
use crate::transport::{Admission, LifecyclePhase, RequestContext, ResponseBody, full_body};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use request_ids::RequestIdGuard;
use response::{PlatformResponse, Rejection};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Maximum duration for receiving a request, from its first byte to its last. According to "A Fixed Test for
/// All Future Versions of the Gateway", a client that stops sending halfway must receive an error within 3 s.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Maximum time for which a client is assumed to wait, in microseconds. Longer times in `Req-Deadline` count
/// as this.
const MAX_CLIENT_TIMEOUT_US: u64 = 600_000_000;

/// Front end for the platform's protocol.
pub struct PlatformFrontend {
    /// Handle to the router, to which requests are submitted.
    pub router: RouterHandle<PlatformPayload, Bytes>,
    /// The router's clock; request expiry times refer to it.
    pub clock: Clock,
    /// Maps the class and plan names in requests to their indices in the scheduler's settings.
    pub names: NameTable,
    /// Counts rejected requests.
    pub metrics: Rc<GatewayMetrics>,
    /// Phase of the graceful shutdown, which the readiness check reports.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// `Retry-After` of the response if too many connections are open, in microseconds; `None` to send no
    /// `Retry-After`.
    pub overload_retry_after_us: Option<u64>,
    /// The shutdown schedule, which limits the expiry of requests once a shutdown has started.
    pub shutdown: Rc<ShutdownSchedule>,
    /// Ids of the requests in progress and of recent requests, which must not be used again.
    pub request_ids: RequestIds,
    /// Limits the memory of all requests together.
    pub memory: RequestMemory,
}

impl Frontend for PlatformFrontend {
    async fn handle(&self, request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody> {
        let response = match HealthStatus::for_path(request.uri().path(), &self.phase) {
            Some(health) => health.into(),
            None => self.serve(request, context).await.unwrap_or_else(|rejection| self.reject(rejection)),
        };
        client_request::response(response.status, response.body, response.retry_after_us).map(full_body)
    }
}

impl PlatformFrontend {
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
        let mut id_guard = self.register_id(&head)?;
        check_stated_body_len(&body)?;
        let forwarded_head = ForwardedHead::copy_of(&head);
        drop(head);
        let read_deadline = context.started_at + REQUEST_READ_TIMEOUT;
        let payload = tokio::select! {
            biased;
            payload = self.receive_payload(forwarded_head, body, read_deadline) => payload?,
            () = context.body.abandoned() => return Err(Rejection::Overloaded),
        };
        context.body.complete();
        let incoming = self.incoming_request(&parsed);
        let answer = self.router.submit(incoming, payload);
        id_guard.mark_used(answer.start_permit());
        Ok(answer.await.into())
    }

    /// Reads the body of a request, as far as the memory for requests allows.
    async fn receive_payload(
        &self,
        head: ForwardedHead,
        body: Incoming,
        deadline: Instant,
    ) -> Result<PlatformPayload, BodyError> {
        let mut buffer = self.memory.start_body(head.text_len(), client_request::MAX_BODY_LEN)?;
        let evicted = buffer.evicted();
        let append = |data: &[u8]| Ok(buffer.append(data)?);
        tokio::select! {
            biased;
            read = read_body(body, client_request::MAX_BODY_LEN, append) => read?,
            () = evicted => return Err(BodyError::OutOfMemory),
            // Guards against clients that stop sending halfway and would occupy their connection.
            () = sleep_until(deadline) => return Err(BodyError::TimedOut),
        }
        let (body, reservation) = buffer.finish()?;
        Ok(PlatformPayload::new(ForwardedRequest { head, body }, reservation))
    }

    /// Registers the request's id, which [`client_request::decode`] has checked.
    fn register_id(&self, head: &Parts) -> Result<RequestIdGuard<'_>, Rejection> {
        let missing = Rejection::Malformed(RequestError::InvalidHeader(REQUEST_ID));
        let id = head.headers.get(REQUEST_ID).ok_or(missing)?;
        self.request_ids.register(id).map_err(Rejection::DuplicateId)
    }

    fn incoming_request(&self, parsed: &ParsedRequest) -> IncomingRequest {
        IncomingRequest {
            id: self.router.next_request_id(),
            class: parsed.class,
            plan: parsed.plan,
            volume: parsed.volume,
            volume_gateway_count: parsed.volume_gateway_count,
            block: Some(parsed.block),
            shard: parsed.shard,
            units: parsed.units,
            expires_at_us: self.expires_at_us(parsed.timeout_us),
        }
    }

    fn reject(&self, rejection: Rejection) -> PlatformResponse {
        rejection.count(&self.metrics);
        rejection.into_response(self.overload_retry_after_us)
    }

    /// Returns the time at which a request expires, on the router's clock. Call this function once the
    /// request has been received completely: the request expires `client_timeout_us`, capped at
    /// [`MAX_CLIENT_TIMEOUT_US`], minus [`RESPONSE_MARGIN_US`] after the call. During a graceful shutdown,
    /// the request expires no later than the shutdown's response deadline.
    fn expires_at_us(&self, client_timeout_us: u64) -> u64 {
        let timeout_us = client_timeout_us.min(MAX_CLIENT_TIMEOUT_US).saturating_sub(RESPONSE_MARGIN_US);
        let until_shutdown_us = match self.shutdown.response_deadline() {
            Some(response_deadline) => {
                response_deadline.saturating_duration_since(Instant::now()).as_micros() as u64
            }
            None => timeout_us,
        };
        self.clock.now_us() + timeout_us.min(until_shutdown_us)
    }
}

/// Rejects a request whose stated body length exceeds the limit, without waiting for the body.
fn check_stated_body_len(body: &Incoming) -> Result<(), Rejection> {
    if body.size_hint().lower() > client_request::MAX_BODY_LEN as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    Ok(())
}

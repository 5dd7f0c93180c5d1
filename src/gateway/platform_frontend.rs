use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use super::shutdown::ShutdownSchedule;
use crate::protocol::client_request::{self, ForwardedRequest, NameTable, RequestError};
use crate::protocol::node_response::{self, NodeResponseHead};
use crate::routing::{Attempt, AttemptResult, AttemptTransport, Clock, FinalAnswer, RouterHandle};
use crate::scheduler::{AttemptOutcome, IncomingRequest, RequestId};
use crate::transport::{
    Admission, Exchange, ExchangeEvent, LifecyclePhase, RequestContext, ResponseBody, StreamingRule,
    full_body,
};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Kept of a client's time for the way back and for this loop's own delay, in microseconds.
const MARGIN: u64 = 10_000;
/// How long a client may take over a request, from its first byte to its last; one that is not done by then
/// is owed an error within 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2_600);
/// An answer that has begun and of which nothing has come for so long is spoilt: nodes write one at once.
const STALL: Duration = Duration::from_millis(100);
/// No client waits longer than this, in microseconds, whatever it says.
const LONGEST: u64 = 600_000_000;

/// The front for the platform's protocol.
pub struct PlatformFrontend {
    /// The core.
    pub router: RouterHandle<ForwardedRequest, Bytes>,
    /// Its clock.
    pub clock: Clock,
    /// How requests name classes and plans.
    pub names: NameTable,
    /// What it counts.
    pub metrics: Rc<GatewayMetrics>,
    /// Whether the program still serves.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// When a client that finds no room is to come back, in microseconds; none: no advice.
    pub overload_retry_after_us: Option<u64>,
    /// How the program ends.
    pub shutdown: Rc<ShutdownSchedule>,
    /// The ids of the requests that are open.
    pub open: RefCell<FxHashSet<HeaderValue>>,
}

/// Keeps an id for as long as its request is open.
struct OpenId<'a>(&'a RefCell<FxHashSet<HeaderValue>>, HeaderValue);

impl<'a> OpenId<'a> {
    /// None: a request of this id is open already. Guards against clients that borrow another's id: storage
    /// nodes and the rules know a request by it.
    fn take(open: &'a RefCell<FxHashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        open.borrow_mut().insert(id.clone()).then(|| OpenId(open, id.clone()))
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

impl PlatformFrontend {
    /// Answers one request.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
    ) -> Response<ResponseBody> {
        let (status, body, retry_after) = self.decide(request, context).await;
        client_request::response(status, body, retry_after).map(full_body)
    }

    fn too_large(&self) -> (StatusCode, Bytes, Option<u64>) {
        self.metrics.bodies_too_large.increment();
        (StatusCode::PAYLOAD_TOO_LARGE, Bytes::from_static(b"the body is too large\n"), None)
    }

    async fn decide(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
    ) -> (StatusCode, Bytes, Option<u64>) {
        let plain = |status: StatusCode, text: String| (status, text.into(), None);
        match request.uri().path() {
            // The front exists only once the known list has been told, so here it can serve.
            client_request::READINESS_PATH if *self.phase.borrow() == LifecyclePhase::Serving => {
                return plain(StatusCode::OK, "ready\n".into());
            }
            client_request::READINESS_PATH => {
                return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".into());
            }
            client_request::LIVENESS_PATH => return plain(StatusCode::OK, "alive\n".into()),
            _ => {}
        }
        if context.admission == Admission::Overloaded {
            self.metrics.overload.increment();
            let text = Bytes::from_static(b"too many connections\n");
            return (StatusCode::SERVICE_UNAVAILABLE, text, self.overload_retry_after_us);
        }
        let (head, body) = request.into_parts();
        let ask = match client_request::decode(&head, context.conflicting_length, &self.names) {
            Ok(ask) => ask,
            Err(e) => {
                self.metrics.bad_requests.increment();
                let status = match e {
                    RequestError::Length => StatusCode::LENGTH_REQUIRED,
                    _ => StatusCode::BAD_REQUEST,
                };
                return plain(status, format!("{e}\n"));
            }
        };
        let Some(_open) = head.headers.get("req-id").and_then(|id| OpenId::take(&self.open, id)) else {
            self.metrics.bad_requests.increment();
            return plain(StatusCode::CONFLICT, "a request of this id is open\n".into());
        };
        // What says that it will be too large is not waited for.
        if body.size_hint().lower() > client_request::MAX_BODY_LEN as u64 {
            return self.too_large();
        }
        // A client that stops halfway must not hold its connection for ever.
        let whole = Limited::new(body, client_request::MAX_BODY_LEN).collect();
        let body = match tokio::time::timeout_at(context.started_at + REQUEST_TIME, whole).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return self.too_large(),
            Ok(Err(_)) | Err(_) => {
                self.metrics.bad_requests.increment();
                return plain(StatusCode::BAD_REQUEST, "the body broke off\n".into());
            }
        };
        // A request's time counts from its last byte; one that came while the program stops has no longer
        // than that takes.
        let time = ask.timeout_us.min(LONGEST).saturating_sub(MARGIN);
        let stops = self.shutdown.answer_by.get().map_or(time, |by| (by - Instant::now()).as_micros() as u64);
        let expires = self.clock.now_us() + time.min(stops);
        let arrival = IncomingRequest {
            id: RequestId(0),
            class: ask.class,
            plan: ask.plan,
            volume: ask.volume,
            volume_gateways: ask.volume_gateways,
            block: Some(ask.block),
            shard: ask.shard,
            units: ask.units,
            expires_at_us: expires,
        };
        match self.router.submit(arrival, ForwardedRequest { head, body }).await {
            FinalAnswer::Served(body) => (StatusCode::OK, body, None),
            FinalAnswer::Rejected { retry_after_us } => {
                (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"refused\n"), retry_after_us)
            }
            FinalAnswer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n".into()),
        }
    }
}

/// Takes the core's attempts to the storage nodes.
pub struct PlatformTransport {
    /// The core.
    pub router: RouterHandle<ForwardedRequest, Bytes>,
    /// The nodes.
    pub nodes: NodeRegistry,
    /// Where the list is asked for.
    pub watch: mpsc::UnboundedSender<()>,
}

impl AttemptTransport<ForwardedRequest> for PlatformTransport {
    fn start(&mut self, attempt: Attempt<ForwardedRequest>) {
        let Attempt { request, number, node, payload, deadline, cancelled, interest } = attempt;
        let router = self.router.clone();
        let Some(pool) = self.nodes.pool(&node) else {
            return router.attempt_ended(
                request,
                number,
                AttemptResult::without_response(AttemptOutcome::ConnectFailed),
            );
        };
        pool.execute(Exchange {
            build_request: Box::new(move || {
                let left = deadline.saturating_duration_since(Instant::now());
                interest.remains().then(|| client_request::encode(&payload, left))
            }),
            deadline,
            cancelled,
            stall_timeout: STALL,
            streaming: StreamingRule::never(),
            max_body_len: client_request::MAX_BODY_LEN,
            on_event: Box::new(move |end| router.attempt_ended(request, number, report(end))),
        });
    }

    fn watch_endpoints(&mut self) {
        // The list's actor lives as long as the program.
        let _ = self.watch.send(());
    }
}

/// The report of an attempt that brought an answer.
pub fn report_of<R>(told: NodeResponseHead, reply: Option<R>) -> AttemptResult<R> {
    let NodeResponseHead { outcome, volume_rate_percent, units_via_other_gateways, load } = told;
    AttemptResult { outcome, response: reply, volume_rate_percent, units_via_other_gateways, load }
}

/// The outcome of an attempt whose job brought no answer, or one that has been reported.
pub fn ending(end: &ExchangeEvent) -> AttemptOutcome {
    match end {
        ExchangeEvent::Completed(_) | ExchangeEvent::StreamStarted(_) | ExchangeEvent::StreamCompleted => {
            AttemptOutcome::Succeeded
        }
        ExchangeEvent::DescriptorsExhausted | ExchangeEvent::NotStarted => AttemptOutcome::NotSent,
        ExchangeEvent::ConnectFailed => AttemptOutcome::ConnectFailed,
        ExchangeEvent::ConnectionReset => AttemptOutcome::ConnectionReset,
        // The node is well, and said so.
        ExchangeEvent::MalformedResponse => AttemptOutcome::Failed,
        ExchangeEvent::TimedOut => AttemptOutcome::TimedOut,
        ExchangeEvent::Cancelled => AttemptOutcome::Cancelled,
    }
}

fn report(end: ExchangeEvent) -> AttemptResult<Bytes> {
    match end {
        ExchangeEvent::Completed(answer) => {
            let told = node_response::parse_response_head(answer.status(), answer.headers(), |s| {
                s == StatusCode::OK
            });
            report_of(told, Some(answer.into_body()))
        }
        end => AttemptResult::without_response(ending(&end)),
    }
}

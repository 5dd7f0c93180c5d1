use crate::gateway::inventory::RackRegistry;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::node_registry::NodeRegistry;
use crate::gateway::platform_frontend::{ending, report_of};
use crate::gateway::tenants::{Tenant, Tenants, digest};
use crate::protocol::client_request;
use crate::protocol::node_response::{self, NodeResponseHead};
use crate::protocol::object::{
    self, ApiError, NodeRequest, ObjectPath, ObjectRequest, Operation, Upload, UploadKey, header_value,
};
use crate::routing::{Attempt, AttemptResult, AttemptTransport, Clock, FinalAnswer, RouterHandle};
use crate::scheduler::{AttemptOutcome, BlockId, IncomingRequest, RequestId, VolumeId};
use crate::transport::{
    Admission, Exchange, ExchangeEvent, GuardedBody, LifecyclePhase, RequestContext, ResponseBody,
    StreamedBody, StreamingRule, full_body,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

/// The classes of the object API, as the scheduler numbers them.
pub const READ: usize = 0;
/// See [`READ`].
pub const WRITE: usize = 1;
/// How long a client may take over a body.
const BODY_TIME: Duration = Duration::from_secs(60);
/// The largest answer other than an object's bytes: a full list of parts is well below.
const ANSWER_MOST: usize = 1 << 20;
/// Kept of a client's time for the way back and for this loop's own delay, in microseconds.
const MARGIN: u64 = 10_000;

/// Room for bodies in memory; held for as long as one of them may be there.
type Room = Arc<OwnedSemaphorePermit>;

/// What the core carries for the front: a request to a storage node, and the room for it.
pub struct Payload {
    sending: NodeRequest,
    _room: Room,
}

/// A storage node's answer.
pub enum Reply {
    /// There whole.
    Whole(Response<Bytes>),
    /// Its body is to follow.
    Streamed(Response<StreamedBody>),
}

/// The limits of the front.
#[derive(Clone, Copy, Debug)]
pub struct ObjectLimits {
    /// The largest body taken.
    pub body_most: u64,
    /// The largest answer that is read whole, and so may be tried again, before the client gets any of it.
    pub buffer: u64,
    /// An answer of which nothing has come for so long has stalled.
    pub stall: Duration,
    /// Bytes to a unit of the scheduler.
    pub unit: u64,
    /// The most units of a request.
    pub most_units: u64,
    /// How many gateways serve the tenants.
    pub gateways: usize,
    /// How long each class's clients wait, in microseconds.
    pub deadlines: [u64; 2],
}

/// The front for the object API.
pub struct ObjectFrontend {
    /// The core.
    pub router: RouterHandle<Payload, Reply>,
    /// Its clock.
    pub clock: Clock,
    /// The tenants.
    pub tenants: Tenants,
    /// The racks.
    pub racks: RackRegistry,
    /// What signs upload ids.
    pub key: UploadKey,
    /// The limits.
    pub limits: ObjectLimits,
    /// A permit for each KiB that bodies may take up in all.
    pub memory: Arc<Semaphore>,
    /// What it counts.
    pub metrics: Rc<GatewayMetrics>,
    /// Whether the program still serves.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// The next request's id.
    pub next: Cell<u64>,
}

type Served = Result<Response<ResponseBody>, (ApiError, Option<u64>)>;

/// A fault without advice on when to come back.
fn plain(fault: ApiError) -> (ApiError, Option<u64>) {
    (fault, None)
}

impl ObjectFrontend {
    /// Answers one request.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        context: RequestContext,
    ) -> Response<ResponseBody> {
        let id = self.next.get();
        self.next.set(id.wrapping_add(1));
        let id = format!("{id:016x}");
        let head_only = request.method() == Method::HEAD;
        let resource = request.uri().path().to_string();
        let served = match (resource.as_str(), context.admission) {
            (client_request::LIVENESS_PATH, _) => Ok(Response::new(full_body("alive\n"))),
            (client_request::READINESS_PATH, _) if *self.phase.borrow() == LifecyclePhase::Serving => {
                Ok(Response::new(full_body("ready\n")))
            }
            (client_request::READINESS_PATH, _) => Err(plain(ApiError::slow_down())),
            (_, Admission::Overloaded) => {
                self.metrics.overload.increment();
                Err((ApiError::slow_down(), Some(1_000_000)))
            }
            (_, Admission::Admitted) => self.serve(request, &id).await,
        };
        let mut response = served.unwrap_or_else(|(fault, retry_after)| {
            let text = if head_only { String::new() } else { object::encode_error(&fault, &resource, &id) };
            let mut response = Response::new(full_body(text));
            *response.status_mut() = fault.status;
            *response.headers_mut() = *fault.headers;
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
            if fault.status == StatusCode::UNAUTHORIZED {
                headers.insert("www-authenticate", HeaderValue::from_static("Bearer"));
            }
            if let Some(retry_after) = retry_after {
                // Whole seconds: other clients than the platform's read no fractions.
                headers.insert(RETRY_AFTER, retry_after.div_ceil(1_000_000).into());
            }
            response
        });
        response.headers_mut().insert("x-amz-request-id", header_value(id));
        response
    }

    async fn serve(&self, request: Request<Incoming>, id: &str) -> Served {
        let came = self.clock.now_us();
        let (head, body) = request.into_parts();
        let tenant = object::bearer_token(&head.headers).and_then(|t| self.tenants.with_token(t));
        let bad = |fault: ApiError| {
            self.metrics.bad_requests.increment();
            plain(fault)
        };
        let tenant = tenant.ok_or_else(|| bad(ApiError::access_denied()))?;
        let ask = object::decode(&head).map_err(bad)?;
        if !tenant.volumes.contains(&ask.bucket) {
            return Err(plain(ApiError::no_such_bucket()));
        }
        let path = ObjectPath { tenant: &tenant.name, bucket: &ask.bucket, key: &ask.key };
        let upload = match ask.operation.upload_id() {
            Some(token) => {
                Some(self.key.verify(path, token).ok_or_else(|| plain(ApiError::no_such_upload()))?)
            }
            None => None,
        };
        // An upload stays on the rack where it began, even if the tenant's racks have changed since.
        let rack = match &upload {
            Some(upload) => upload.rack.clone(),
            None => tenant
                .rack(&ask.bucket, &ask.key)
                .cloned()
                .ok_or_else(|| plain(ApiError::internal_error()))?,
        };
        let room = self.room(&ask)?;
        let body = self.body(&ask, body).await?;
        let body = match ask.operation {
            Operation::CompleteUpload { .. } => {
                object::encode_complete(object::decode_complete(&body).map_err(bad)?).into()
            }
            _ => body,
        };
        let node_upload = upload.as_ref().map(|u| u.node_id.as_str());
        let mut sending = NodeRequest::new(&ask, &tenant.name, node_upload, &head.headers, body);
        sending.headers.insert("host", HeaderValue::from_static("origin.svc"));
        sending.headers.insert("req-id", header_value(id.into()));
        if ask.operation.writes() {
            let key = idempotency_key(&ask, &tenant, &head, &sending.body, id);
            sending.headers.insert("idempotency-key", header_value(key));
        }
        let arrival = self.arrival(&ask, &tenant, &rack, &head, &sending.body, came)?;
        let answer = self.router.submit(arrival, Payload { sending, _room: room.clone() }).await;
        let response = match answer {
            FinalAnswer::Served(Reply::Whole(reply)) => self.whole(reply, &ask, path, rack)?,
            FinalAnswer::Served(Reply::Streamed(reply)) => {
                let (from, body) = reply.into_parts();
                let mut response = Response::new(body.boxed_unsync());
                *response.status_mut() = from.status;
                *response.headers_mut() = object::headers_to_client(&from.headers);
                response
            }
            FinalAnswer::Rejected { retry_after_us } => return Err((ApiError::slow_down(), retry_after_us)),
            FinalAnswer::Failed => return Err(plain(ApiError::internal_error())),
        };
        Ok(response.map(|body| GuardedBody::new(body, room).boxed()))
    }

    /// Room in memory for the bodies of a request and of its answer.
    fn room(&self, ask: &ObjectRequest) -> Result<Room, (ApiError, Option<u64>)> {
        let bytes = match &ask.operation {
            o if o.has_body() => {
                let needs = || {
                    ApiError::new(
                        StatusCode::LENGTH_REQUIRED,
                        "MissingContentLength",
                        "Needs Content-Length.",
                    )
                };
                let length = ask.length.ok_or_else(|| plain(needs()))?;
                if length > self.limits.body_most {
                    self.metrics.bodies_too_large.increment();
                    return Err(plain(ApiError::entity_too_large()));
                }
                length
            }
            Operation::Read { head: false, range } => {
                range.as_ref().and_then(|r| r.max_len()).unwrap_or(u64::MAX).min(self.limits.buffer)
            }
            _ => 0,
        };
        let kib = u32::try_from(bytes / 1024 + 1).unwrap_or(u32::MAX);
        match self.memory.clone().try_acquire_many_owned(kib) {
            Ok(room) => Ok(Arc::new(room)),
            Err(_) => {
                self.metrics.overload.increment();
                Err((ApiError::slow_down(), Some(1_000_000)))
            }
        }
    }

    async fn body(&self, ask: &ObjectRequest, body: Incoming) -> Result<Bytes, (ApiError, Option<u64>)> {
        let most = if ask.operation.has_body() { ask.length.unwrap_or(0) } else { 0 };
        let limited = Limited::new(body, usize::try_from(most).unwrap_or(usize::MAX));
        match tokio::time::timeout(BODY_TIME, limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) => {
                self.metrics.bad_requests.increment();
                let message = "The body is not as long as was said.";
                Err(plain(ApiError::new(StatusCode::BAD_REQUEST, "IncompleteBody", message)))
            }
            Err(_) => {
                self.metrics.bad_requests.increment();
                let message = "The body took too long.";
                Err(plain(ApiError::new(StatusCode::REQUEST_TIMEOUT, "RequestTimeout", message)))
            }
        }
    }

    fn arrival(
        &self,
        ask: &ObjectRequest,
        tenant: &Tenant,
        rack: &str,
        head: &Parts,
        body: &Bytes,
        came: u64,
    ) -> Result<IncomingRequest, (ApiError, Option<u64>)> {
        let class = if ask.operation.writes() { WRITE } else { READ };
        let stated = match head
            .headers
            .get("req-deadline")
            .map(|v| v.to_str().ok().and_then(client_request::parse_timeout))
        {
            Some(Some(wait)) => came + wait.min(self.limits.deadlines[class]),
            Some(None) => return Err(plain(ApiError::invalid_argument("Req-Deadline is malformed."))),
            None => u64::MAX,
        };
        let length = match &ask.operation {
            Operation::Read { range: Some(range), .. } => range.max_len().unwrap_or(self.limits.unit),
            _ => body.len() as u64,
        };
        let units = 1 + (length / self.limits.unit).min(self.limits.most_units.saturating_sub(1));
        let hashed = |fields: &[&str]| {
            digest(fields).first_chunk().map_or(0, |first: &[u8; 8]| u64::from_be_bytes(*first))
        };
        Ok(IncomingRequest {
            id: RequestId(0),
            class,
            plan: tenant.plan,
            volume: VolumeId(hashed(&[&tenant.name, &ask.bucket])),
            volume_gateways: self.limits.gateways as f64,
            block: Some(BlockId(hashed(&[&tenant.name, &ask.bucket, &ask.key]))),
            shard: Some(self.racks.shard(rack)),
            units: units as f64,
            // Without a word from the client, its time runs from the end of its body.
            expires_at_us: stated.min(self.clock.now_us() + self.limits.deadlines[class]) - MARGIN,
        })
    }

    /// The client's answer from a storage node's, under the names that the client knows.
    fn whole(&self, reply: Response<Bytes>, ask: &ObjectRequest, path: ObjectPath, rack: String) -> Served {
        let (from, body) = reply.into_parts();
        if from.status.is_client_error() {
            let (code, message) = object::decode_error(&body).unwrap_or_else(|| {
                let reason = from.status.canonical_reason().unwrap_or("Error");
                (reason.replace(' ', ""), format!("{reason}."))
            });
            let mut fault = ApiError::new(from.status, &code, &message);
            *fault.headers = object::headers_to_client(&from.headers);
            fault.headers.remove(CONTENT_LENGTH);
            return Err(plain(fault));
        }
        let ObjectPath { bucket, key, .. } = path;
        let text = match &ask.operation {
            Operation::InitiateUpload => object::decode_initiated(&body).map(|node_id| {
                let upload = self.key.sign(path, &Upload { rack, node_id });
                object::encode_initiated(bucket, key, &upload)
            }),
            Operation::CompleteUpload { .. } => match object::decode_completed(&body) {
                Some(etag) => Some(object::encode_completed(&format!("/{bucket}/{key}"), bucket, key, &etag)),
                // S3 may begin a completion with 200 and end it with an error.
                None => match object::decode_error(&body) {
                    Some((code, message)) => {
                        let status = StatusCode::INTERNAL_SERVER_ERROR;
                        return Err(plain(ApiError::new(status, &code, &message)));
                    }
                    None => None,
                },
            },
            Operation::ListParts { upload_id: upload, .. } => {
                object::decode_listing(&body).map(|l| object::encode_listing(l, bucket, key, upload))
            }
            _ => {
                let mut response = Response::new(full_body(body));
                *response.status_mut() = from.status;
                *response.headers_mut() = object::headers_to_client(&from.headers);
                return Ok(response);
            }
        };
        let Some(text) = text else { return Err(plain(ApiError::internal_error())) };
        let mut response = Response::new(full_body(text));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
        Ok(response)
    }
}

/// The key by which the storage nodes of a rack know a repeat of a write. A part and a completion are the
/// same however often a client sends them; for all else only the client can say so.
fn idempotency_key(ask: &ObjectRequest, tenant: &Tenant, head: &Parts, body: &Bytes, id: &str) -> String {
    let given = head.headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    let told = match (&ask.operation, given) {
        (_, Some(given)) => format!("given {given}"),
        (Operation::UploadPart { upload_id: upload, number }, None) => format!("part {upload} {number}"),
        (Operation::CompleteUpload { upload_id: upload }, None) => format!("complete {upload}"),
        _ => format!("request {id}"),
    };
    let mut hash = sha2::Sha256::default();
    for part in [told.as_bytes(), tenant.name.as_bytes(), ask.bucket.as_bytes(), ask.key.as_bytes(), body] {
        sha2::Digest::update(&mut hash, (part.len() as u64).to_be_bytes());
        sha2::Digest::update(&mut hash, part);
    }
    let hash = sha2::Digest::finalize(hash);
    hash.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// Takes the core's attempts to the storage nodes.
pub struct ObjectTransport {
    /// The core.
    pub router: RouterHandle<Payload, Reply>,
    /// The nodes.
    pub nodes: NodeRegistry,
    /// The limits.
    pub limits: ObjectLimits,
}

impl AttemptTransport<Payload> for ObjectTransport {
    fn start(&mut self, attempt: Attempt<Payload>) {
        let Attempt { request, number, node, payload, deadline, cancelled, interest } = attempt;
        let router = self.router.clone();
        let Some(pool) = self.nodes.pool(&node) else {
            return router.attempt_ended(
                request,
                number,
                AttemptResult::without_response(AttemptOutcome::ConnectFailed),
            );
        };
        let sending = payload.clone();
        let fits =
            move |status: StatusCode, headers: &HeaderMap| sending.sending.accepts_response(status, headers);
        let may_stream = payload.sending.may_stream;
        let streams = fits.clone();
        let mut begun: Option<NodeResponseHead> = None;
        pool.execute(Exchange {
            build_request: Box::new(move || {
                let left = deadline.saturating_duration_since(Instant::now());
                interest.remains().then(|| payload.sending.encode(left))
            }),
            deadline,
            cancelled,
            stall_timeout: self.limits.stall,
            streaming: StreamingRule {
                min_body_len: self.limits.buffer,
                accepts: Box::new(move |status, headers| {
                    may_stream && status.is_success() && streams(status, headers)
                }),
            },
            max_body_len: ANSWER_MOST.max(self.limits.buffer as usize),
            on_event: Box::new(move |end| {
                let read = |status: StatusCode, headers: &HeaderMap| {
                    node_response::parse_response_head(status, headers, |s| fits(s, headers))
                };
                let report = match end {
                    ExchangeEvent::Completed(answer) => {
                        let told = read(answer.status(), answer.headers());
                        report_of(told, Some(Reply::Whole(answer)))
                    }
                    ExchangeEvent::StreamStarted(answer) => {
                        begun = Some(read(answer.status(), answer.headers()));
                        return router.response_started(request, Reply::Streamed(answer));
                    }
                    ExchangeEvent::StreamCompleted => match begun.take() {
                        Some(told) => report_of(told, None),
                        None => AttemptResult::without_response(AttemptOutcome::Succeeded),
                    },
                    end => AttemptResult::without_response(ending(&end)),
                };
                router.attempt_ended(request, number, report);
            }),
        });
    }

    fn watch_endpoints(&mut self) {
        // The inventory's actor tells of its own accord; the scheduler is set up not to ask.
    }
}

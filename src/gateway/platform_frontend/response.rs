//! Responses to clients, and the reasons for which a request is rejected.

use super::request_ids::DuplicateId;
use crate::gateway::body_reader::BodyError;
use crate::gateway::frontend::HealthStatus;
use crate::gateway::metrics::GatewayMetrics;
use crate::protocol::client_request::RequestError;
use crate::routing::FinalAnswer;
use bytes::Bytes;
use hyper::StatusCode;

/// The contents of a response to a client.
pub(super) struct PlatformResponse {
    pub status: StatusCode,
    pub body: Bytes,
    /// `Retry-After` of the response, in microseconds; `None` to send no `Retry-After`.
    pub retry_after_us: Option<u64>,
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

/// Reasons why a request is not submitted to the router.
pub(super) enum Rejection {
    /// Too many connections are open.
    Overloaded,
    /// Too much memory is in use for requests.
    OutOfMemory,
    /// The head of the request is malformed, or the class or the plan is unknown.
    Malformed(RequestError),
    /// The id of the request has been used by another request.
    DuplicateId(DuplicateId),
    /// The body is longer than the protocol allows.
    BodyTooLarge,
    /// The body is incomplete, malformed, or was not received in time.
    BodyIncomplete,
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLong => Rejection::BodyTooLarge,
            BodyError::Incomplete | BodyError::TimedOut => Rejection::BodyIncomplete,
            BodyError::OutOfMemory => Rejection::OutOfMemory,
        }
    }
}

impl Rejection {
    /// Increments the counters for this kind of rejection.
    pub fn count(&self, metrics: &GatewayMetrics) {
        if let Rejection::DuplicateId(_) = self {
            metrics.duplicate_ids.increment();
        }
        let counter = match self {
            Rejection::Overloaded | Rejection::OutOfMemory => &metrics.overload,
            Rejection::BodyTooLarge => &metrics.bodies_too_large,
            Rejection::Malformed(_) | Rejection::DuplicateId(_) | Rejection::BodyIncomplete => {
                &metrics.bad_requests
            }
        };
        counter.increment();
    }

    /// Returns the response to the client. `overload_retry_after_us` is its `Retry-After` if too many
    /// connections are open or too much memory is in use, in microseconds; `None` to send no `Retry-After`.
    pub fn into_response(self, overload_retry_after_us: Option<u64>) -> PlatformResponse {
        match self {
            Rejection::Overloaded => {
                PlatformResponse::unavailable("too many connections\n", overload_retry_after_us)
            }
            Rejection::OutOfMemory => {
                PlatformResponse::unavailable("too many long requests\n", overload_retry_after_us)
            }
            Rejection::Malformed(cause) => malformed(cause),
            Rejection::DuplicateId(cause) => duplicate_id(cause),
            Rejection::BodyTooLarge => {
                PlatformResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Rejection::BodyIncomplete => {
                PlatformResponse::new(StatusCode::BAD_REQUEST, "the body broke off\n")
            }
        }
    }
}

fn duplicate_id(cause: DuplicateId) -> PlatformResponse {
    let text = match cause {
        DuplicateId::InProgress => "a request of this id is open\n",
        DuplicateId::RecentlyUsed => "the id of the request has been used\n",
    };
    PlatformResponse::new(StatusCode::CONFLICT, text)
}

fn malformed(cause: RequestError) -> PlatformResponse {
    let status = match cause {
        RequestError::AmbiguousLength => StatusCode::LENGTH_REQUIRED,
        _ => StatusCode::BAD_REQUEST,
    };
    PlatformResponse::new(status, format!("{cause}\n"))
}

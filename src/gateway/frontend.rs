//! What the front ends have in common: answering requests, health checks, bodies of requests, and the margin for the way
//! back.

use crate::protocol::health;
use crate::transport::{LifecyclePhase, RequestContext, ResponseBody};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, WWW_AUTHENTICATE};
use hyper::{Request, Response};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// Answers the requests of one listener.
pub trait Frontend {
    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody>;
}

/// Subtracted from a client's time for the way back and for this event loop's own delay, in microseconds.
pub const RESPONSE_MARGIN_US: u64 = 10_000;

/// The answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// The program runs.
    Alive,
    /// The program serves requests.
    Ready,
    /// The program is shutting down.
    Stopping,
}

impl HealthStatus {
    /// The answer to a request for this path; none if that is no health check.
    ///
    /// A front end exists only once the router has the first endpoint list, so it is ready from its start.
    pub fn for_path(path: &str, phase: &watch::Receiver<LifecyclePhase>) -> Option<Self> {
        match path {
            health::LIVENESS_PATH => Some(HealthStatus::Alive),
            health::READINESS_PATH if *phase.borrow() == LifecyclePhase::Serving => Some(HealthStatus::Ready),
            health::READINESS_PATH => Some(HealthStatus::Stopping),
            _ => None,
        }
    }

    /// The body of the answer.
    pub fn text(self) -> &'static str {
        match self {
            HealthStatus::Alive => "alive\n",
            HealthStatus::Ready => "ready\n",
            HealthStatus::Stopping => "stopping\n",
        }
    }
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// The connection broke, or the body is malformed.
    Incomplete,
    /// It was not complete in time.
    TimedOut,
}

/// Reads the body of a request completely. The deadline guards against clients that stop halfway and would
/// occupy their connection indefinitely.
///
/// # Errors
///
/// Returns an error if the body is longer than `max_len` bytes, breaks off, or is not complete by the
/// deadline.
pub async fn read_body(body: Incoming, max_len: usize, deadline: Instant) -> Result<Bytes, BodyError> {
    match timeout_at(deadline, Limited::new(body, max_len).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Incomplete),
        Err(_) => Err(BodyError::TimedOut),
    }
}

/// States that a bearer token is needed, as HTTP requires of every response with status 401.
pub fn add_bearer_challenge(headers: &mut HeaderMap) {
    headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
}

//! Code that the front ends share: the [`Frontend`] trait, health checks, and the margin for sending a
//! response.

use crate::protocol::health;
use crate::transport::{LifecyclePhase, RequestContext, ResponseBody};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, WWW_AUTHENTICATE};
use hyper::{Request, Response};
use tokio::sync::watch;

/// Serves the requests of one listener.
pub trait Frontend {
    /// Handles one request and returns the response to send. Errors are converted to responses as well.
    async fn handle(&self, request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody>;
}

/// Time that is subtracted from a client's deadline, in microseconds. It covers the transfer of the response
/// and delays of the gateway's event loop.
pub const RESPONSE_MARGIN_US: u64 = 10_000;

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// Result of the liveness check: the process is running.
    Alive,
    /// Result of the readiness check while the gateway serves requests.
    Ready,
    /// Result of the readiness check once a shutdown has been requested.
    Stopping,
}

impl HealthStatus {
    /// Returns the result of the health check at `path`; `None` if `path` is not that of a health check.
    ///
    /// The router receives the first endpoint list before the front end serves its first request, so a front
    /// end is ready from its start.
    pub fn for_path(path: &str, phase: &watch::Receiver<LifecyclePhase>) -> Option<Self> {
        match path {
            health::LIVENESS_PATH => Some(HealthStatus::Alive),
            health::READINESS_PATH if *phase.borrow() == LifecyclePhase::Serving => Some(HealthStatus::Ready),
            health::READINESS_PATH => Some(HealthStatus::Stopping),
            _ => None,
        }
    }

    /// Returns the body of the response to the health check.
    pub fn text(self) -> &'static str {
        match self {
            HealthStatus::Alive => "alive\n",
            HealthStatus::Ready => "ready\n",
            HealthStatus::Stopping => "stopping\n",
        }
    }
}

/// Adds the `WWW-Authenticate` header that asks for a bearer token. HTTP requires this header in every
/// response with status 401.
pub fn add_bearer_challenge(headers: &mut HeaderMap) {
    headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
}

//! Reads request bodies, and limits the memory for request bodies and for buffered responses.

use super::{ObjectFrontend, Rejection};
use crate::gateway::body_reader::{BodyError, collect_body};
use crate::gateway::object_limits::{BYTES_PER_MEMORY_PERMIT, ObjectLimits};
use crate::protocol::object::{ApiError, ObjectRequest, Operation};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Maximum duration for reading the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits the total memory that requests reserve. A semaphore permit represents [`BYTES_PER_MEMORY_PERMIT`]
/// bytes.
///
/// A request with a body reserves memory for that body only, and a read for the part of the response that may
/// be buffered. All other requests reserve only the minimum of one permit.
pub struct BodyMemory(Arc<Semaphore>);

/// The memory that one request has reserved. The reservation ends when the last clone is dropped.
#[derive(Clone)]
pub struct BodyPermit {
    _permit: Arc<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Creates a limit of `bytes`, rounded down to a multiple of [`BYTES_PER_MEMORY_PERMIT`].
    pub fn new(bytes: u64) -> Self {
        BodyMemory(Arc::new(Semaphore::new((bytes / BYTES_PER_MEMORY_PERMIT) as usize)))
    }

    /// Reserves more than `bytes` bytes, but at most one permit more. Returns `None` if less memory is
    /// available.
    fn try_reserve(&self, bytes: u64) -> Option<BodyPermit> {
        let permits = u32::try_from(bytes / BYTES_PER_MEMORY_PERMIT + 1).unwrap_or(u32::MAX);
        let permit = self.0.clone().try_acquire_many_owned(permits).ok()?;
        Some(BodyPermit { _permit: Arc::new(permit) })
    }
}

impl ObjectFrontend {
    /// Reserves memory for the body of a request, or for the buffered response if the operation has no body.
    /// Rejects the request if its body is too large or less memory is available.
    pub(super) fn reserve_memory(&self, request: &ObjectRequest) -> Result<BodyPermit, Rejection> {
        let bytes = if request.operation.has_body() {
            self.request_body_len(request)?
        } else {
            buffered_response_len(request, &self.limits)
        };
        self.memory.try_reserve(bytes).ok_or_else(|| {
            self.metrics.overload.increment();
            Rejection::overloaded()
        })
    }

    fn request_body_len(&self, request: &ObjectRequest) -> Result<u64, Rejection> {
        let length = request.length.ok_or_else(ApiError::missing_content_length)?;
        if length > self.limits.max_body_len {
            self.metrics.bodies_too_large.increment();
            return Err(ApiError::entity_too_large().into());
        }
        Ok(length)
    }

    /// Reads the body of a request. Rejects the request if the body is not as long as the request states, or
    /// not complete within [`BODY_READ_TIMEOUT`].
    pub(super) async fn read_request_body(
        &self,
        request: &ObjectRequest,
        body: Incoming,
    ) -> Result<Bytes, Rejection> {
        let length = if request.operation.has_body() { request.length.unwrap_or(0) } else { 0 };
        let max_len = usize::try_from(length).unwrap_or(usize::MAX);
        let reading = timeout(BODY_READ_TIMEOUT, collect_body(body, max_len));
        reading.await.unwrap_or(Err(BodyError::TimedOut)).map_err(|cause| self.bad_request(body_error(cause)))
    }
}

/// Returns the number of bytes to reserve for a response: the part of a read that may be buffered, at most
/// `response_buffer_len` and at most the requested range; 0 for all other operations.
fn buffered_response_len(request: &ObjectRequest, limits: &ObjectLimits) -> u64 {
    match &request.operation {
        Operation::Read { head_only: false, range } => range
            .as_ref()
            .and_then(|range| range.max_len())
            .unwrap_or(u64::MAX)
            .min(limits.response_buffer_len),
        _ => 0,
    }
}

fn body_error(cause: BodyError) -> ApiError {
    match cause {
        // The memory of this API is reserved before a body is read, so that it cannot run out here.
        BodyError::TooLong | BodyError::Incomplete | BodyError::OutOfMemory => {
            let message = "The body is not as long as was said.";
            ApiError::new(StatusCode::BAD_REQUEST, "IncompleteBody", message)
        }
        BodyError::TimedOut => {
            let message = "The body took too long.";
            ApiError::new(StatusCode::REQUEST_TIMEOUT, "RequestTimeout", message)
        }
    }
}

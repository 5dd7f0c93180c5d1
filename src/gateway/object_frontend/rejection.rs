//! Error responses of the object API.

use crate::gateway::frontend::add_bearer_challenge;
use crate::protocol::object::{ApiError, encode_error};
use crate::transport::{ResponseBody, full_body};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// `Retry-After` of the response if too many connections are open or too much memory is reserved, in
/// microseconds.
const OVERLOAD_RETRY_AFTER_US: u64 = 1_000_000;

/// The reason why a request is not served, and the `Retry-After` of the error response.
#[derive(Debug)]
pub struct Rejection {
    /// Status, headers, error code and message of the response.
    pub error: ApiError,
    /// The `Retry-After` of the response, in microseconds; `None` to send none.
    pub retry_after_us: Option<u64>,
}

impl From<ApiError> for Rejection {
    fn from(error: ApiError) -> Self {
        Rejection { error, retry_after_us: None }
    }
}

impl Rejection {
    /// Returns a rejection of a request that had no effect and can safely be retried.
    pub fn slow_down(retry_after_us: Option<u64>) -> Self {
        Rejection { error: ApiError::slow_down(), retry_after_us }
    }

    /// Returns the rejection of a request because too many connections are open or too much memory is
    /// reserved.
    pub fn overloaded() -> Self {
        Rejection::slow_down(Some(OVERLOAD_RETRY_AFTER_US))
    }

    /// Returns the error response to a request for this resource. The response has no body if `head_only` is
    /// set, for HEAD requests.
    pub fn into_response(self, head_only: bool, resource: &str, request_id: &str) -> Response<ResponseBody> {
        let Rejection { error, retry_after_us } = self;
        let text = if head_only { String::new() } else { encode_error(&error, resource, request_id) };
        let mut response = Response::new(full_body(text));
        *response.status_mut() = error.status;
        *response.headers_mut() = *error.headers;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
        if error.status == StatusCode::UNAUTHORIZED {
            add_bearer_challenge(headers);
        }
        if let Some(retry_after_us) = retry_after_us {
            // Rounded up to whole seconds, because only the platform's clients accept fractions.
            headers.insert(RETRY_AFTER, retry_after_us.div_ceil(1_000_000).into());
        }
        response
    }
}

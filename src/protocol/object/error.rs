//! Errors of the object API, with S3's error codes.

use hyper::StatusCode;
use hyper::header::HeaderMap;

/// An error response to a client of the object API.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// S3 error code, such as `NoSuchKey`.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Additional headers of the response, such as the `Content-Range` with the object's size if the
    /// requested range is beyond its end.
    pub headers: Box<HeaderMap>,
}

impl ApiError {
    /// Creates an error without additional headers.
    pub fn new(status: StatusCode, code: &str, message: &str) -> ApiError {
        ApiError { status, code: code.into(), message: message.into(), headers: Box::default() }
    }

    /// The request has no bearer token of a tenant.
    pub fn access_denied() -> ApiError {
        ApiError::new(StatusCode::UNAUTHORIZED, "AccessDenied", "A bearer token of a tenant is needed.")
    }

    /// The bucket in the path is not a volume of the tenant.
    pub fn no_such_bucket() -> ApiError {
        ApiError::new(StatusCode::NOT_FOUND, "NoSuchBucket", "The tenant has no such volume.")
    }

    /// No gateway issued the upload id for this object.
    pub fn no_such_upload() -> ApiError {
        ApiError::new(StatusCode::NOT_FOUND, "NoSuchUpload", "The upload does not exist.")
    }

    /// A header, the path or the query of the request is malformed; `message` describes the fault.
    pub fn invalid_argument(message: &str) -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidArgument", message)
    }

    /// The bucket's name violates S3's naming rules.
    pub fn invalid_bucket_name() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidBucketName", "The bucket's name is not valid.")
    }

    /// The key is longer than S3's limit of 1024 bytes.
    pub fn key_too_long() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "KeyTooLongError", "The key is too long.")
    }

    /// The XML in the body is malformed, names no part, or contains a part number out of range.
    pub fn malformed_xml() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "MalformedXML", "The XML is not well-formed or not valid.")
    }

    /// The request to complete an upload does not name the parts in ascending order of their numbers.
    pub fn invalid_part_order() -> ApiError {
        let message = "The parts are not in ascending order.";
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidPartOrder", message)
    }

    /// The request has a body but no `Content-Length`, or uses a transfer coding.
    pub fn missing_content_length() -> ApiError {
        ApiError::new(StatusCode::LENGTH_REQUIRED, "MissingContentLength", "Needs Content-Length.")
    }

    /// The body exceeds the largest size that the gateway is configured to accept.
    pub fn entity_too_large() -> ApiError {
        let message = "The body exceeds the largest allowed size.";
        ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, "EntityTooLarge", message)
    }

    /// No operation of the object API uses the method.
    pub fn method_not_allowed() -> ApiError {
        let message = "The method is not allowed here.";
        ApiError::new(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", message)
    }

    /// The request is for an S3 operation or feature that the gateway does not support.
    pub fn not_implemented() -> ApiError {
        let message = "The gateway does not offer this operation.";
        ApiError::new(StatusCode::NOT_IMPLEMENTED, "NotImplemented", message)
    }

    /// The gateway rejected the request, which had no effect. The client may retry it.
    pub fn slow_down() -> ApiError {
        ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "SlowDown", "Please try again later.")
    }

    /// The request failed, and it is unknown whether it took effect.
    pub fn internal_error() -> ApiError {
        let message = "The request failed; it may have taken effect.";
        ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "InternalError", message)
    }
}

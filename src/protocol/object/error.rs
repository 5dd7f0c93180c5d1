//! The errors of the object API, with S3's codes.

use hyper::StatusCode;
use hyper::header::HeaderMap;

/// An error as a client receives it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// The status.
    pub status: StatusCode,
    /// S3's code.
    pub code: String,
    /// An explanation for people.
    pub message: String,
    /// Headers that belong to the error, such as the size that a range exceeded.
    pub headers: Box<HeaderMap>,
}

impl ApiError {
    /// An error with this status, code and message.
    pub fn new(status: StatusCode, code: &str, message: &str) -> ApiError {
        ApiError { status, code: code.into(), message: message.into(), headers: Box::default() }
    }

    /// The request carries no valid token.
    pub fn access_denied() -> ApiError {
        ApiError::new(StatusCode::UNAUTHORIZED, "AccessDenied", "A bearer token of a tenant is needed.")
    }

    /// The tenant has no such volume.
    pub fn no_such_bucket() -> ApiError {
        ApiError::new(StatusCode::NOT_FOUND, "NoSuchBucket", "The tenant has no such volume.")
    }

    /// The upload id was not given out for this object, or the upload has ended.
    pub fn no_such_upload() -> ApiError {
        ApiError::new(StatusCode::NOT_FOUND, "NoSuchUpload", "The upload does not exist.")
    }

    /// A part of the request is malformed.
    pub fn invalid_argument(message: &str) -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidArgument", message)
    }

    /// The bucket's name breaks S3's rules.
    pub fn invalid_bucket_name() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidBucketName", "The bucket's name is not valid.")
    }

    /// The key is longer than S3 allows.
    pub fn key_too_long() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "KeyTooLongError", "The key is too long.")
    }

    /// The XML in the body is malformed or does not state what it should.
    pub fn malformed_xml() -> ApiError {
        ApiError::new(StatusCode::BAD_REQUEST, "MalformedXML", "The XML is not well-formed or not valid.")
    }

    /// The parts of a completed upload are not in order.
    pub fn invalid_part_order() -> ApiError {
        let message = "The parts are not in ascending order.";
        ApiError::new(StatusCode::BAD_REQUEST, "InvalidPartOrder", message)
    }

    /// The length of the body is not stated.
    pub fn missing_content_length() -> ApiError {
        ApiError::new(StatusCode::LENGTH_REQUIRED, "MissingContentLength", "Needs Content-Length.")
    }

    /// The body is larger than allowed.
    pub fn entity_too_large() -> ApiError {
        let message = "The body exceeds the largest allowed size.";
        ApiError::new(StatusCode::PAYLOAD_TOO_LARGE, "EntityTooLarge", message)
    }

    /// The method exists in no operation.
    pub fn method_not_allowed() -> ApiError {
        let message = "The method is not allowed here.";
        ApiError::new(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", message)
    }

    /// The operation is one of S3's that the gateway lacks.
    pub fn not_implemented() -> ApiError {
        let message = "The gateway does not offer this operation.";
        ApiError::new(StatusCode::NOT_IMPLEMENTED, "NotImplemented", message)
    }

    /// The request was rejected and had no effect; a retry is harmless.
    pub fn slow_down() -> ApiError {
        ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "SlowDown", "Please try again later.")
    }

    /// The request failed; it may have taken effect.
    pub fn internal_error() -> ApiError {
        let message = "The request failed; it may have taken effect.";
        ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, "InternalError", message)
    }
}

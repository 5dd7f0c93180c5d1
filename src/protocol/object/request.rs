//! Decodes clients' requests to the object API.

use super::{ApiError, ByteRange, MAX_PART_NUMBER};
use hyper::Method;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;
use std::ops::RangeInclusive;

/// Maximum length of a key, in bytes, which is S3's limit.
const MAX_KEY_LEN: usize = 1024;
/// Lengths that S3 allows for a bucket's name, in bytes.
const BUCKET_NAME_LEN: RangeInclusive<usize> = 3..=63;

/// An operation of the object API.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read an object, a range of an object, or only the response head.
    Read {
        /// Whether the response has no body (HEAD instead of GET).
        head_only: bool,
        /// The range, if the request has exactly one well-formed `Range` header with one range; otherwise the
        /// response is the complete object.
        range: Option<ByteRange>,
    },
    /// Store an object.
    Put,
    /// Delete an object.
    Delete,
    /// Start a multipart upload.
    InitiateUpload,
    /// Store a part of an upload.
    UploadPart {
        /// The upload id that a gateway issued to the client, not verified yet.
        upload_id: String,
        /// Number of the part, from 1 to 10,000.
        number: u32,
    },
    /// List the parts that have been stored for an upload, one page per request.
    ListParts {
        /// The upload id that a gateway issued to the client, not verified yet.
        upload_id: String,
        /// The query parameters that select a page of the list, unchanged, each with a leading `&`.
        paging: String,
    },
    /// Assemble the parts of an upload into an object.
    CompleteUpload {
        /// The upload id that a gateway issued to the client, not verified yet.
        upload_id: String,
    },
    /// End an upload and discard its parts.
    AbortUpload {
        /// The upload id that a gateway issued to the client, not verified yet.
        upload_id: String,
    },
}

impl Operation {
    /// Returns whether the operation is a write: it changes objects or uploads.
    pub fn writes(&self) -> bool {
        !matches!(self, Operation::Read { .. } | Operation::ListParts { .. })
    }

    /// Returns the client's upload id, for operations that belong to an upload that has been started.
    pub fn upload_id(&self) -> Option<&str> {
        match self {
            Operation::UploadPart { upload_id, .. }
            | Operation::ListParts { upload_id, .. }
            | Operation::CompleteUpload { upload_id }
            | Operation::AbortUpload { upload_id } => Some(upload_id),
            _ => None,
        }
    }

    /// Returns whether a request for the operation has a body.
    pub fn has_body(&self) -> bool {
        matches!(self, Operation::Put | Operation::UploadPart { .. } | Operation::CompleteUpload { .. })
    }
}

/// The contents of the head of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectRequest {
    /// Name of the bucket, which is a volume of the tenant.
    pub bucket: String,
    /// The object's key, percent-decoded; 1 to 1024 bytes.
    pub key: String,
    /// The requested operation.
    pub operation: Operation,
    /// Length of the body in bytes, from `Content-Length`; `None` if the header is missing or malformed.
    pub length: Option<u64>,
}

/// Returns whether a bucket's name consists of 3 to 63 lower-case letters, digits, hyphens or dots, and starts
/// and ends with a letter or digit. These are not all of S3's rules: S3 also forbids adjacent dots and the
/// form of an IP address, for example.
pub fn is_valid_bucket_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    let ends = [name.bytes().next(), name.bytes().last()];
    BUCKET_NAME_LEN.contains(&name.len())
        && name.bytes().all(is_allowed)
        && ends.iter().flatten().all(u8::is_ascii_alphanumeric)
}

/// Decodes the head of a client's request.
///
/// # Errors
///
/// Returns an error if the path or the query is malformed, if the operation is not supported, or if the
/// request has a `Transfer-Encoding` or a body that is signed chunk by chunk. A malformed `Content-Length`
/// gives a `length` of `None`, and a malformed `Range` is ignored.
pub fn decode(head: &Parts) -> Result<ObjectRequest, ApiError> {
    let (bucket, key) = decode_path(head.uri.path())?;
    check_body_framing(&head.headers)?;
    let query = Query::decode(head.uri.query().unwrap_or_default())?;
    let operation = decode_operation(head, query)?;
    Ok(ObjectRequest { bucket, key, operation, length: content_length(&head.headers) })
}

fn decode_path(path: &str) -> Result<(String, String), ApiError> {
    let path = path.trim_start_matches('/');
    let (bucket, key) = path.split_once('/').ok_or_else(ApiError::not_implemented)?;
    if !is_valid_bucket_name(bucket) {
        return Err(ApiError::invalid_bucket_name());
    }
    let key = percent_decode(key)?;
    // A path without a key is for an operation on the bucket, none of which is supported.
    if key.is_empty() {
        return Err(ApiError::not_implemented());
    }
    if key.len() > MAX_KEY_LEN {
        return Err(ApiError::key_too_long());
    }
    Ok((bucket.to_owned(), key))
}

fn percent_decode(text: &str) -> Result<String, ApiError> {
    let decoded = percent_decode_str(text).decode_utf8();
    decoded
        .map(|text| text.into_owned())
        .map_err(|_| ApiError::invalid_argument("The key or the query is not UTF-8."))
}

/// Rejects requests whose body has a transfer coding or is signed chunk by chunk.
fn check_body_framing(headers: &HeaderMap) -> Result<(), ApiError> {
    // A body without a definite length would allow request smuggling.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(ApiError::missing_content_length());
    }
    // The gateway does not remove the chunk signatures, which would be stored as part of the object.
    let is_chunk_signed = header_contains(headers, "content-encoding", "aws-chunked")
        || header_contains(headers, "x-amz-content-sha256", "STREAMING-");
    if is_chunk_signed {
        return Err(ApiError::not_implemented());
    }
    Ok(())
}

fn header_contains(headers: &HeaderMap, name: &str, text: &str) -> bool {
    let text = text.as_bytes();
    headers.get(name).is_some_and(|value| value.as_bytes().windows(text.len()).any(|window| window == text))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The query parameters of a request, which select the operation together with the method.
#[derive(Default)]
struct Query<'a> {
    /// Whether `uploads` is present, which starts an upload.
    has_uploads: bool,
    upload_id: Option<String>,
    part_number: Option<&'a str>,
    /// See [`Operation::ListParts`].
    paging: String,
}

impl<'a> Query<'a> {
    fn decode(text: &'a str) -> Result<Query<'a>, ApiError> {
        let mut query = Query::default();
        for parameter in text.split('&').filter(|parameter| !parameter.is_empty()) {
            let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            match name {
                "uploads" => query.has_uploads = true,
                "uploadId" => query.upload_id = Some(percent_decode(value)?),
                "partNumber" => query.part_number = Some(value),
                "max-parts" | "part-number-marker" if value.parse::<u32>().is_ok() => {
                    query.paging.push_str(&format!("&{name}={value}"));
                }
                // Some clients add the operation's name, which the method and the other parameters determine.
                "x-id" => {}
                _ => return Err(ApiError::not_implemented()),
            }
        }
        Ok(query)
    }
}

fn decode_operation(head: &Parts, query: Query) -> Result<Operation, ApiError> {
    let Query { has_uploads, upload_id, part_number, paging } = query;
    match (&head.method, has_uploads, upload_id, part_number) {
        (&Method::GET, false, None, None) => {
            Ok(Operation::Read { head_only: false, range: single_range(&head.headers) })
        }
        (&Method::HEAD, false, None, None) => {
            Ok(Operation::Read { head_only: true, range: single_range(&head.headers) })
        }
        (&Method::PUT, false, None, None) if head.headers.contains_key("x-amz-copy-source") => {
            Err(ApiError::not_implemented())
        }
        (&Method::PUT, false, None, None) => Ok(Operation::Put),
        (&Method::DELETE, false, None, None) => Ok(Operation::Delete),
        (&Method::POST, true, None, None) => Ok(Operation::InitiateUpload),
        (&Method::PUT, false, Some(upload_id), Some(number)) => {
            Ok(Operation::UploadPart { upload_id, number: parse_part_number(number)? })
        }
        (&Method::GET, false, Some(upload_id), None) => Ok(Operation::ListParts { upload_id, paging }),
        (&Method::POST, false, Some(upload_id), None) => Ok(Operation::CompleteUpload { upload_id }),
        (&Method::DELETE, false, Some(upload_id), None) => Ok(Operation::AbortUpload { upload_id }),
        (&Method::GET | &Method::HEAD | &Method::PUT | &Method::POST | &Method::DELETE, ..) => {
            Err(ApiError::not_implemented())
        }
        _ => Err(ApiError::method_not_allowed()),
    }
}

fn parse_part_number(text: &str) -> Result<u32, ApiError> {
    let number = text.parse().ok().filter(|number| (1..=MAX_PART_NUMBER).contains(number));
    number.ok_or_else(|| ApiError::invalid_argument("partNumber must be a number from 1 to 10000."))
}

/// Returns the range of a request that has exactly one `Range` header with one well-formed range.
fn single_range(headers: &HeaderMap) -> Option<ByteRange> {
    let mut values = headers.get_all(header::RANGE).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    ByteRange::decode(value.to_str().ok()?)
}

//! A client's request to the object API.

use super::{ApiError, ByteRange, MAX_PART_NUMBER};
use hyper::Method;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;
use std::ops::RangeInclusive;

/// The longest key, in bytes, which is S3's own limit.
const MAX_KEY_LEN: usize = 1024;
/// How long a bucket's name may be, in bytes, by S3's rules.
const BUCKET_NAME_LEN: RangeInclusive<usize> = 3..=63;

/// The operation that is requested.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read an object, a range of it, or only its head.
    Read {
        /// Whether the response goes without the body.
        head_only: bool,
        /// The range, if exactly one is stated and well-formed; otherwise the response is the complete
        /// object.
        range: Option<ByteRange>,
    },
    /// Store an object.
    Put,
    /// Delete an object.
    Delete,
    /// Begin a multipart upload.
    InitiateUpload,
    /// Store a part of an upload.
    UploadPart {
        /// The client's id of the upload.
        upload_id: String,
        /// The number of the part.
        number: u32,
    },
    /// List the parts of an upload.
    ListParts {
        /// The client's id of the upload.
        upload_id: String,
        /// The parameters that select a page of the list, each with a `&` before it, as they came.
        paging: String,
    },
    /// Assemble the parts of an upload to an object.
    CompleteUpload {
        /// The client's id of the upload.
        upload_id: String,
    },
    /// Discard the parts of an upload.
    AbortUpload {
        /// The client's id of the upload.
        upload_id: String,
    },
}

impl Operation {
    /// Whether the operation changes anything.
    pub fn writes(&self) -> bool {
        !matches!(self, Operation::Read { .. } | Operation::ListParts { .. })
    }

    /// The client's id of the upload that the operation belongs to.
    pub fn upload_id(&self) -> Option<&str> {
        match self {
            Operation::UploadPart { upload_id, .. }
            | Operation::ListParts { upload_id, .. }
            | Operation::CompleteUpload { upload_id }
            | Operation::AbortUpload { upload_id } => Some(upload_id),
            _ => None,
        }
    }

    /// Whether the request has a body.
    pub fn has_body(&self) -> bool {
        matches!(self, Operation::Put | Operation::UploadPart { .. } | Operation::CompleteUpload { .. })
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectRequest {
    /// The bucket: a volume of the tenant.
    pub bucket: String,
    /// The key, decoded.
    pub key: String,
    /// The operation.
    pub operation: Operation,
    /// The length of the body in bytes, if stated.
    pub length: Option<u64>,
}

/// Whether S3's rules allow this name for a bucket.
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
/// Returns an error if the path, the query or a header is malformed, or the operation is not offered.
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
    // The operations on a bucket itself.
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

/// Rejects bodies whose length is not stated plainly, and those that are signed chunk by chunk.
fn check_body_framing(headers: &HeaderMap) -> Result<(), ApiError> {
    // Another request could be smuggled in a body of unstated length.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(ApiError::missing_content_length());
    }
    // The signatures would be stored among the object's bytes.
    let is_chunk_signed = header_contains(headers, "content-encoding", "aws-chunked")
        || header_contains(headers, "x-amz-content-sha256", "STREAMING-");
    if is_chunk_signed {
        return Err(ApiError::not_implemented());
    }
    Ok(())
}

fn header_contains(headers: &HeaderMap, name: &str, word: &str) -> bool {
    let word = word.as_bytes();
    headers.get(name).is_some_and(|value| value.as_bytes().windows(word.len()).any(|window| window == word))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The parameters of a request that select the operation.
#[derive(Default)]
struct Query<'a> {
    /// Whether an upload is to begin.
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
                // Clients name the operation here as well.
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

/// The range of a request that states exactly one.
fn single_range(headers: &HeaderMap) -> Option<ByteRange> {
    let mut values = headers.get_all(header::RANGE).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    ByteRange::decode(value.to_str().ok()?)
}

//! Encodes and decodes the XML bodies of the object API, which clients, gateways and storage nodes exchange.

use super::{ApiError, MAX_PART_NUMBER};
use serde::{Deserialize, Serialize};

/// XML declaration at the start of every document.
const PROLOG: &str = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n";
/// S3's XML namespace, which clients expect.
const NAMESPACE: &str = "http://s3.amazonaws.com/doc/2006-03-01/";

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireError {
    code: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    resource: String,
    #[serde(default)]
    request_id: String,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireInitiationResult {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    bucket: String,
    key: String,
    upload_id: String,
}

#[derive(Serialize, Deserialize)]
struct WireCompletionRequest {
    #[serde(rename = "Part", default)]
    parts: Vec<CompletedPart>,
}

/// A part in the request to complete an upload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedPart {
    /// Number of the part, from 1 to 10,000 in a valid request.
    #[serde(rename = "PartNumber")]
    pub number: u32,
    /// Entity tag from the response to the request that stored the part.
    #[serde(rename = "ETag")]
    pub etag: String,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireCompletionResult {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    #[serde(default)]
    location: String,
    bucket: String,
    key: String,
    #[serde(rename = "ETag")]
    etag: String,
}

/// A part in the list of an upload's parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedPart {
    /// Number of the part, as the storage node reports it.
    #[serde(rename = "PartNumber")]
    pub number: u32,
    /// Time at which the part was stored, as the storage node formats it; `None` if not reported.
    #[serde(rename = "LastModified", skip_serializing_if = "Option::is_none")]
    pub last_modified: Option<String>,
    /// Entity tag of the part.
    #[serde(rename = "ETag")]
    pub etag: String,
    /// Size of the part in bytes.
    #[serde(rename = "Size")]
    pub size: u64,
}

/// One page of the list of an upload's parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PartsList {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    /// Name of the bucket: the storage node's in its response, the client's in the response to the client.
    pub bucket: String,
    /// Key of the object.
    pub key: String,
    /// Upload id: the storage node's in its response, the client's in the response to the client.
    pub upload_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    part_number_marker: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_part_number_marker: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_parts: Option<u32>,
    #[serde(default)]
    is_truncated: bool,
    /// The parts on this page.
    #[serde(rename = "Part", default)]
    pub parts: Vec<ListedPart>,
}

impl PartsList {
    /// Creates a complete list of parts, with an empty bucket, key and upload id.
    pub fn new(parts: Vec<ListedPart>) -> PartsList {
        PartsList { parts, ..PartsList::default() }
    }
}

fn encode(root: &str, value: &impl Serialize) -> String {
    let document =
        quick_xml::se::to_string_with_root(root, value).expect("text and numbers can be serialized");
    format!("{PROLOG}{document}")
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    quick_xml::de::from_str(std::str::from_utf8(body).ok()?).ok()
}

/// Encodes the body of an error response.
pub fn encode_error(error: &ApiError, resource: &str, request_id: &str) -> String {
    let wire = WireError {
        code: error.code.clone(),
        message: error.message.clone(),
        resource: resource.into(),
        request_id: request_id.into(),
    };
    encode("Error", &wire)
}

/// The contents of a storage node's error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorBody {
    /// S3 error code, such as `NoSuchUpload`, as the storage node reports it.
    pub code: String,
    /// Human-readable description; empty if the node sends none.
    pub message: String,
}

/// Decodes a storage node's error response; returns `None` if the body is malformed.
pub fn decode_error(body: &[u8]) -> Option<ErrorBody> {
    decode::<WireError>(body).map(|WireError { code, message, .. }| ErrorBody { code, message })
}

/// Encodes the response to a client that started an upload. `upload_id` is the client's upload id.
pub fn encode_initiation_result(bucket: &str, key: &str, upload_id: &str) -> String {
    let wire = WireInitiationResult {
        namespace: NAMESPACE.into(),
        bucket: bucket.into(),
        key: key.into(),
        upload_id: upload_id.into(),
    };
    encode("InitiateMultipartUploadResult", &wire)
}

/// Decodes a storage node's response to the start of an upload and returns the node's id of the upload.
/// Returns `None` if the body is malformed or the id is empty.
pub fn decode_initiation_result(body: &[u8]) -> Option<String> {
    decode::<WireInitiationResult>(body).map(|result| result.upload_id).filter(|id| !id.is_empty())
}

/// Decodes a client's request to complete an upload and returns the parts to assemble.
///
/// # Errors
///
/// Returns an error if the XML is malformed or contains no part, if a part number is out of range, or if the
/// part numbers are not in ascending order.
pub fn decode_completion_request(body: &[u8]) -> Result<Vec<CompletedPart>, ApiError> {
    let WireCompletionRequest { parts } = decode(body).ok_or_else(ApiError::malformed_xml)?;
    if parts.is_empty() || parts.iter().any(|part| !(1..=MAX_PART_NUMBER).contains(&part.number)) {
        return Err(ApiError::malformed_xml());
    }
    if !parts.is_sorted_by(|part, next| part.number < next.number) {
        return Err(ApiError::invalid_part_order());
    }
    Ok(parts)
}

/// Encodes the request to a storage node to assemble these parts.
pub fn encode_completion_request(parts: Vec<CompletedPart>) -> String {
    encode("CompleteMultipartUpload", &WireCompletionRequest { parts })
}

/// Decodes a storage node's response to the completion of an upload and returns the entity tag of the
/// assembled object. Returns `None` if the body is malformed.
pub fn decode_completion_result(body: &[u8]) -> Option<String> {
    decode::<WireCompletionResult>(body).map(|result| result.etag)
}

/// Encodes the response to a client that completed an upload. `location` is the path of the object.
pub fn encode_completion_result(location: &str, bucket: &str, key: &str, etag: &str) -> String {
    let wire = WireCompletionResult {
        namespace: NAMESPACE.into(),
        location: location.into(),
        bucket: bucket.into(),
        key: key.into(),
        etag: etag.into(),
    };
    encode("CompleteMultipartUploadResult", &wire)
}

/// Decodes a storage node's list of parts; returns `None` if the body is malformed.
pub fn decode_parts_list(body: &[u8]) -> Option<PartsList> {
    decode(body)
}

/// Encodes a storage node's list of parts for a client, with the bucket, key and upload id that the client
/// uses.
pub fn encode_parts_list(listing: PartsList, bucket: &str, key: &str, upload_id: &str) -> String {
    let wire = PartsList {
        namespace: NAMESPACE.into(),
        bucket: bucket.into(),
        key: key.into(),
        upload_id: upload_id.into(),
        ..listing
    };
    encode("ListPartsResult", &wire)
}

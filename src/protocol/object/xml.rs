//! The XML bodies of the object API, toward clients and storage nodes.

use super::{ApiError, MAX_PART_NUMBER};
use serde::{Deserialize, Serialize};

/// What every document begins with.
const PROLOG: &str = "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n";
/// S3's namespace, which clients expect.
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
struct WireInitiated {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    bucket: String,
    key: String,
    upload_id: String,
}

#[derive(Serialize, Deserialize)]
struct WireComplete {
    #[serde(rename = "Part", default)]
    parts: Vec<CompletedPart>,
}

/// A part as a client names it in the request to complete the upload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedPart {
    /// Its number.
    #[serde(rename = "PartNumber")]
    pub number: u32,
    /// The entity tag that storing the part returned.
    #[serde(rename = "ETag")]
    pub etag: String,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireCompleted {
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
    /// Its number.
    #[serde(rename = "PartNumber")]
    pub number: u32,
    /// When it was stored, if stated.
    #[serde(rename = "LastModified", skip_serializing_if = "Option::is_none")]
    pub modified: Option<String>,
    /// Its entity tag.
    #[serde(rename = "ETag")]
    pub etag: String,
    /// Its size in bytes.
    #[serde(rename = "Size")]
    pub size: u64,
}

/// A page of the list of an upload's parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PartsList {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    /// The bucket.
    pub bucket: String,
    /// The key.
    pub key: String,
    /// The upload id.
    pub upload_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    part_number_marker: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_part_number_marker: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_parts: Option<u32>,
    #[serde(default)]
    is_truncated: bool,
    /// The parts.
    #[serde(rename = "Part", default)]
    pub parts: Vec<ListedPart>,
}

impl PartsList {
    /// A complete list of parts, for no upload yet.
    pub fn new(parts: Vec<ListedPart>) -> PartsList {
        PartsList { parts, ..PartsList::default() }
    }
}

fn encode(root: &str, value: &impl Serialize) -> String {
    let document = quick_xml::se::to_string_with_root(root, value).expect("text and numbers can be written");
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

/// What a storage node's error response states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorBody {
    /// S3's code of the error.
    pub code: String,
    /// The error in words.
    pub message: String,
}

/// Decodes a storage node's error response.
pub fn decode_error(body: &[u8]) -> Option<ErrorBody> {
    decode::<WireError>(body).map(|WireError { code, message, .. }| ErrorBody { code, message })
}

/// Encodes the response to a client that began an upload.
pub fn encode_initiation_result(bucket: &str, key: &str, upload_id: &str) -> String {
    let wire = WireInitiated {
        namespace: NAMESPACE.into(),
        bucket: bucket.into(),
        key: key.into(),
        upload_id: upload_id.into(),
    };
    encode("InitiateMultipartUploadResult", &wire)
}

/// Decodes the storage node's id of an upload that was begun.
pub fn decode_initiation_result(body: &[u8]) -> Option<String> {
    decode::<WireInitiated>(body).map(|initiated| initiated.upload_id).filter(|id| !id.is_empty())
}

/// Decodes the parts that a client wants assembled.
///
/// # Errors
///
/// Returns an error if the XML is malformed, names no part, or names parts out of bounds or order.
pub fn decode_completion_request(body: &[u8]) -> Result<Vec<CompletedPart>, ApiError> {
    let WireComplete { parts } = decode(body).ok_or_else(ApiError::malformed_xml)?;
    if parts.is_empty() || parts.iter().any(|part| !(1..=MAX_PART_NUMBER).contains(&part.number)) {
        return Err(ApiError::malformed_xml());
    }
    if !parts.is_sorted_by(|part, next| part.number < next.number) {
        return Err(ApiError::invalid_part_order());
    }
    Ok(parts)
}

/// Encodes the request to a storage node to assemble parts.
pub fn encode_completion_request(parts: Vec<CompletedPart>) -> String {
    encode("CompleteMultipartUpload", &WireComplete { parts })
}

/// Decodes the entity tag of the assembled object.
pub fn decode_completion_result(body: &[u8]) -> Option<String> {
    decode::<WireCompleted>(body).map(|completed| completed.etag)
}

/// Encodes the response to a client that completed an upload.
pub fn encode_completion_result(location: &str, bucket: &str, key: &str, etag: &str) -> String {
    let wire = WireCompleted {
        namespace: NAMESPACE.into(),
        location: location.into(),
        bucket: bucket.into(),
        key: key.into(),
        etag: etag.into(),
    };
    encode("CompleteMultipartUploadResult", &wire)
}

/// Decodes a storage node's list of parts.
pub fn decode_parts_list(body: &[u8]) -> Option<PartsList> {
    decode(body)
}

/// Encodes the list of parts for a client, under the names that the client knows.
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

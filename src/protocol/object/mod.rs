//! Messages of the object API, between clients, gateways and storage nodes. The API is a subset of S3 with
//! path-style addressing, byte ranges and multipart uploads.

mod error;
mod headers;
mod node_request;
mod range;
mod request;
mod upload;
mod xml;

pub use error::ApiError;
pub use headers::{bearer_token, header_value, headers_to_client};
pub use node_request::NodeRequest;
pub use range::ByteRange;
pub use request::{ObjectRequest, Operation, decode, is_valid_bucket_name};
pub use upload::{ObjectPath, Upload, UploadKey};
pub use xml::{
    CompletedPart, ErrorBody, ListedPart, PartsList, decode_completion_request, decode_completion_result,
    decode_error, decode_initiation_result, decode_parts_list, encode_completion_request,
    encode_completion_result, encode_error, encode_initiation_result, encode_parts_list,
};

/// Highest part number of a multipart upload, which is S3's limit.
const MAX_PART_NUMBER: u32 = 10_000;

//! The object API: S3's path addressing, ranges and multipart uploads, toward clients and storage nodes.

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
    CompletePart, ErrorBody, ListedPart, Listing, decode_completion_request, decode_completion_result,
    decode_error, decode_initiated, decode_listing, encode_completion_request, encode_completion_result,
    encode_error, encode_initiated, encode_listing,
};

/// The highest number of a part, S3's own limit.
const MAX_PART_NUMBER: u32 = 10_000;

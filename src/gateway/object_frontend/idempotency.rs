//! Computes the idempotency keys of writes.

use super::routed_request::RoutedRequest;
use crate::gateway::hashing::hash_fields;
use crate::protocol::common_headers::IDEMPOTENCY_KEY;
use crate::protocol::object::Operation;
use bytes::Bytes;

/// Number of bytes of the hash that a key contains, as hex digits.
const KEY_LEN: usize = 16;

/// Returns the key by which the storage nodes of a rack recognize a repeated write.
///
/// Requests to store the same part, or to complete the same upload, have the same key if their bodies are
/// equal, because they are repetitions of one write. For other operations, only the client can declare
/// requests to be the same write, by sending an idempotency key of its own. Without one, each request has a
/// different key.
pub(super) fn idempotency_key(routed: &RoutedRequest, body: &Bytes, request_id: &str) -> String {
    let request = &routed.request;
    let write = describe_write(routed, request_id);
    let fields: [&[u8]; 5] = [
        write.as_bytes(),
        routed.tenant.name.as_bytes(),
        request.bucket.as_bytes(),
        request.key.as_bytes(),
        body,
    ];
    hash_fields(&fields).iter().take(KEY_LEN).map(|byte| format!("{byte:02x}")).collect()
}

fn describe_write(routed: &RoutedRequest, request_id: &str) -> String {
    let client_key = routed.headers.get(IDEMPOTENCY_KEY).and_then(|value| value.to_str().ok());
    match (&routed.request.operation, client_key) {
        (_, Some(given)) => format!("given {given}"),
        (Operation::UploadPart { upload_id, number }, None) => format!("part {upload_id} {number}"),
        (Operation::CompleteUpload { upload_id }, None) => format!("complete {upload_id}"),
        _ => format!("request {request_id}"),
    }
}

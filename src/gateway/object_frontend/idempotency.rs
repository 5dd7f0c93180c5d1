//! Computes the idempotency keys of writes.

use super::routed_request::RoutedRequest;
use crate::gateway::hashing::hash_fields;
use crate::protocol::common_headers::IDEMPOTENCY_KEY;
use crate::protocol::object::Operation;
use bytes::Bytes;

/// Length of a key, in bytes of the hash that it is taken from.
const KEY_LEN: usize = 16;

/// Returns the key by which the storage nodes of a rack recognize a repeated write.
///
/// If a client repeats a request to store a part or to complete an upload, both requests are the same write
/// and have the same key. For other operations only the client can declare requests to be the same write, by
/// sending an idempotency key of its own; without one, each request has a different key.
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

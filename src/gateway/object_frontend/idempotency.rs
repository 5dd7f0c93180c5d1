//! The idempotency key of a write.

use super::routed_request::RoutedRequest;
use crate::protocol::object::Operation;
use bytes::Bytes;
use sha2::{Digest, Sha256};

/// Bytes of the hash that make a key.
const KEY_LEN: usize = 16;

/// The key by which the storage nodes of a rack recognise a repeated write. Storing a part and completing an
/// upload are the same write however often a client sends them; of all else only the client can say so, by a
/// key of its own.
pub(super) fn idempotency_key(routed: &RoutedRequest, body: &Bytes, request_id: &str) -> String {
    let request = &routed.request;
    let write = describe_write(routed, request_id);
    let fields = [
        write.as_bytes(),
        routed.tenant.name.as_bytes(),
        request.bucket.as_bytes(),
        request.key.as_bytes(),
        body,
    ];
    let mut hash = Sha256::default();
    for field in fields {
        // The lengths keep neighbouring fields apart.
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().iter().take(KEY_LEN).map(|byte| format!("{byte:02x}")).collect()
}

fn describe_write(routed: &RoutedRequest, request_id: &str) -> String {
    let client_key = routed.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    match (&routed.request.operation, client_key) {
        (_, Some(given)) => format!("given {given}"),
        (Operation::UploadPart { upload_id, number }, None) => format!("part {upload_id} {number}"),
        (Operation::CompleteUpload { upload_id }, None) => format!("complete {upload_id}"),
        _ => format!("request {request_id}"),
    }
}

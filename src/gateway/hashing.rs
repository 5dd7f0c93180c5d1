//! The hash function for object placement, ids of volumes, blocks and requests, and idempotency keys.

use sha2::{Digest, Sha256};

/// Length of a SHA-256 hash, in bytes.
pub const HASH_LEN: usize = 32;

/// Returns the SHA-256 hash of a sequence of fields. Each field is preceded by its length, which
/// makes the boundaries between fields unambiguous.
pub fn hash_fields<T: AsRef<[u8]>>(fields: &[T]) -> [u8; HASH_LEN] {
    let mut hash = Sha256::new();
    for field in fields {
        let field = field.as_ref();
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}

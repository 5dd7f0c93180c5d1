//! The hash from which object placement, volume and block numbers, and idempotency keys are derived.

use sha2::{Digest, Sha256};

/// The length of a SHA-256 hash, in bytes.
pub const HASH_LEN: usize = 32;

/// Hashes fields, each with its length before it: neighbouring fields cannot be confused.
pub fn hash_fields<T: AsRef<[u8]>>(fields: &[T]) -> [u8; HASH_LEN] {
    let mut hash = Sha256::new();
    for field in fields {
        let field = field.as_ref();
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}

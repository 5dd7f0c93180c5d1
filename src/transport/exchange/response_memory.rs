//! Limits the memory of the responses that are being read from storage nodes or written to clients.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length up to which a response needs no reservation, in bytes. The limit on connections bounds the sum of
/// these.
const FREE_RESPONSE_LEN: usize = 4 * 1024;

/// A budget for the memory of the responses to all requests. A response waits for its memory before its body
/// is read, so that the rest of it stays in the sockets. Clones share the budget.
#[derive(Clone)]
pub struct ResponseMemory(Arc<Semaphore>);

/// Memory that is reserved for one response; `None` if it needs no reservation.
pub(super) type ResponseReservation = Option<OwnedSemaphorePermit>;

/// The data of a response, and the reservation of its memory.
struct ReservedData {
    data: Vec<u8>,
    _reservation: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl ResponseMemory {
    /// Creates a budget of this many bytes. It should allow for several responses of the maximum length.
    pub fn new(bytes: usize) -> Self {
        ResponseMemory(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }

    /// Waits until the budget allows for a response of this length, in bytes.
    pub(super) async fn reserve(&self, len: usize) -> ResponseReservation {
        if len <= FREE_RESPONSE_LEN {
            return None;
        }
        let permits = u32::try_from(len).unwrap_or(u32::MAX);
        // Acquiring fails only if the semaphore is closed, which does not happen.
        self.0.clone().acquire_many_owned(permits).await.ok()
    }
}

/// Returns the data as bytes that hold the reservation until the last clone is dropped.
pub(super) fn into_bytes(data: Vec<u8>, reservation: ResponseReservation) -> Bytes {
    match reservation {
        Some(reservation) => Bytes::from_owner(ReservedData { data, _reservation: reservation }),
        None => data.into(),
    }
}

//! Limits and request classes of the object API.

use crate::protocol::object::Operation;
use crate::scheduler::ClassIndex;
use std::time::Duration;

/// Number of bytes of body memory per permit of the semaphore that limits it.
pub const BYTES_PER_MEMORY_PERMIT: u64 = 1024;
/// Maximum memory that is reserved for a body in addition to its length, in bytes: one permit.
pub const BODY_MEMORY_OVERHEAD: u64 = BYTES_PER_MEMORY_PERMIT;

/// Request classes of the object API, in the order of the classes in the scheduler's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectClass {
    /// Requests that do not change any object or upload.
    Read = 0,
    /// Requests that change an object or an upload.
    Write = 1,
}

impl ObjectClass {
    /// Returns the class of requests for this operation.
    pub fn of(operation: &Operation) -> Self {
        if operation.writes() { ObjectClass::Write } else { ObjectClass::Read }
    }

    /// Returns the index of the class in the scheduler's settings.
    pub fn index(self) -> ClassIndex {
        ClassIndex(self as usize)
    }
}

/// Limits that the object front end applies to requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct ObjectLimits {
    /// Maximum length of a request's body, in bytes. Longer bodies are rejected.
    pub max_body_len: u64,
    /// Maximum length of an object's data, in bytes, that is read completely before any of it is sent to the
    /// client, so that a failed attempt can be retried. Longer data is streamed.
    pub response_buffer_len: u64,
    /// Duration after which a response that has begun counts as stalled if nothing more of it arrives.
    pub stall_timeout: Duration,
    /// Number of bytes per unit of request size in the scheduler.
    pub unit_len: u64,
    /// Maximum size of a request, in units. Larger requests count as this many units.
    pub max_units: u64,
    /// Number of gateways that receive the tenants' requests.
    pub gateway_count: usize,
    /// Time for which clients wait for reads, in microseconds. A client can only state a shorter time.
    pub read_deadline_us: u64,
    /// Time for which clients wait for writes, in microseconds. A client can only state a shorter time.
    pub write_deadline_us: u64,
}

impl ObjectLimits {
    /// Returns the time for which clients wait for requests of this class, in microseconds.
    pub fn deadline_us(&self, class: ObjectClass) -> u64 {
        match class {
            ObjectClass::Read => self.read_deadline_us,
            ObjectClass::Write => self.write_deadline_us,
        }
    }
}

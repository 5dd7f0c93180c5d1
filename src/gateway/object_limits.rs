//! The limits of the object API, and its request classes.

use crate::protocol::object::Operation;
use crate::scheduler::ClassIndex;
use std::time::Duration;

/// Bytes to a permit of the memory for bodies.
pub const BYTES_PER_MEMORY_PERMIT: u64 = 1024;
/// What is reserved for a body beside its own bytes, at most, in bytes: one permit.
pub const BODY_MEMORY_OVERHEAD: u64 = BYTES_PER_MEMORY_PERMIT;

/// The classes of the object API's requests; the scheduler's settings list them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectClass {
    /// Requests that change nothing.
    Read = 0,
    /// Requests that change an object or an upload.
    Write = 1,
}

impl ObjectClass {
    /// The class of requests for this operation.
    pub fn of(operation: &Operation) -> Self {
        if operation.writes() { ObjectClass::Write } else { ObjectClass::Read }
    }

    /// The class's number in the scheduler's settings.
    pub fn index(self) -> ClassIndex {
        ClassIndex(self as usize)
    }
}

/// The limits of the object front end.
#[derive(Clone, Copy, Debug)]
pub struct ObjectLimits {
    /// The longest body of a request, in bytes.
    pub max_body_len: u64,
    /// The longest response, in bytes, that is read completely before the client gets any of it, so that a
    /// failed attempt can be retried.
    pub response_buffer_len: u64,
    /// A response has stalled once nothing of it has arrived for this time.
    pub stall_timeout: Duration,
    /// Bytes to a unit of the scheduler.
    pub unit_len: u64,
    /// The maximum number of units that a request counts for.
    pub max_units: u64,
    /// How many gateways serve the tenants.
    pub gateway_count: usize,
    /// How long clients wait for reads, in microseconds.
    pub read_deadline_us: u64,
    /// How long clients wait for writes, in microseconds.
    pub write_deadline_us: u64,
}

impl ObjectLimits {
    /// How long this class's clients wait, in microseconds.
    pub fn deadline_us(&self, class: ObjectClass) -> u64 {
        match class {
            ObjectClass::Read => self.read_deadline_us,
            ObjectClass::Write => self.write_deadline_us,
        }
    }
}

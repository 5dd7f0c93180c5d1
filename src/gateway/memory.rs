//! Divides the gateway's memory between its connections, the requests and the responses.

use super::descriptors::ConnectionBudget;

/// Memory of the process without connections, requests and responses, in bytes.
const PROCESS_MEMORY: usize = 6 * 1024 * 1024;
/// Maximum memory of a connection in addition to its request and its response, in bytes: mainly its read
/// buffers, of 16 KiB for a message head and 4 KiB ahead of it.
const CONNECTION_MEMORY: usize = 20 * 1024;
/// Part of the remaining memory that requests may reserve.
const REQUEST_FRACTION: f64 = 0.5;
/// Part of the remaining memory that responses may reserve. The rest allows for freed memory that the
/// allocator cannot reuse.
const RESPONSE_FRACTION: f64 = 0.25;
/// Part of the gateway's memory that remains for requests and responses even if its connections could use up
/// all of it.
const MIN_REMAINING_FRACTION: f64 = 0.125;

/// The part of the gateway's memory for the state of volumes is 1 divided by this number.
const VOLUME_MEMORY_DIVISOR: usize = 32;
/// Memory of the state of one volume, in bytes.
const VOLUME_MEMORY: usize = 128;

/// The memory that the requests and the responses of all clients may reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Memory that requests may reserve, in bytes.
    pub requests: usize,
    /// Memory that responses may reserve, in bytes.
    pub responses: usize,
    /// Maximum number of volumes whose state the scheduler keeps.
    pub volumes: usize,
}

/// Divides `memory`, the maximum memory of the process in bytes, after subtracting that of all connections
/// that may be open.
pub fn divide_memory(memory: usize, connections: &ConnectionBudget) -> MemoryBudget {
    let clients = connections.clients.max_served + connections.clients.max_rejected;
    let nodes = connections.nodes.permits.available_permits();
    let fixed = PROCESS_MEMORY + (clients + nodes) * CONNECTION_MEMORY;
    let min_remaining = memory as f64 * MIN_REMAINING_FRACTION;
    let remaining = (memory.saturating_sub(fixed) as f64).max(min_remaining);
    MemoryBudget {
        requests: (remaining * REQUEST_FRACTION) as usize,
        responses: (remaining * RESPONSE_FRACTION) as usize,
        volumes: memory / VOLUME_MEMORY_DIVISOR / VOLUME_MEMORY,
    }
}

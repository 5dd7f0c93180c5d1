//! Divides the gateway's memory between its connections, the requests and the responses.

use super::descriptors::{ConnectionBudget, RESERVED_DESCRIPTORS};
use crate::protocol::client_request;

/// Memory of the process without connections, requests and responses, in bytes.
const PROCESS_MEMORY: usize = 6 * 1024 * 1024;
/// Maximum memory of a connection in addition to what its request and its response reserve, in bytes: mainly
/// its read buffers, of 16 KiB for a message head and 4 KiB ahead of it.
const CONNECTION_MEMORY: usize = 25 * 1024;
/// Part of the gateway's memory that connections may use.
const CONNECTION_FRACTION: f64 = 0.625;
/// Least memory that requests, and that responses, may reserve, in bytes. It allows for several of the maximum
/// length.
const MIN_BUDGET: usize = 4 * client_request::MAX_BODY_LEN;
/// Part that requests may reserve of the memory beside the connections.
const REQUEST_FRACTION: f64 = 0.5;
/// Part that responses may reserve of the memory beside the connections. The rest allows for freed memory that the
/// allocator cannot reuse.
const RESPONSE_FRACTION: f64 = 0.25;
/// The part of the gateway's memory for the state of volumes is 1 divided by this number.
const VOLUME_MEMORY_DIVISOR: usize = 32;
/// Memory of the state of one volume, in bytes.
const VOLUME_MEMORY: usize = 128;

/// The memory that the requests and the responses of all clients may reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Memory for requests, in bytes.
    pub requests: usize,
    /// Memory for responses, in bytes.
    pub responses: usize,
    /// Maximum number of volumes whose state the scheduler keeps.
    pub volumes: usize,
}

/// Returns the number of descriptors that can be used for connections with this memory, in bytes.
pub fn descriptors_within(memory: usize, descriptors: usize) -> usize {
    let max_connections = (memory as f64 * CONNECTION_FRACTION) as usize / CONNECTION_MEMORY;
    descriptors.min(RESERVED_DESCRIPTORS + max_connections)
}

/// Divides `memory`, the maximum memory of the process in bytes, after subtracting that of all connections
/// that may be open.
pub fn divide_memory(memory: usize, connections: &ConnectionBudget) -> MemoryBudget {
    let clients = connections.clients.max_served + connections.clients.max_rejected;
    let nodes = connections.nodes.permits.available_permits();
    let fixed = PROCESS_MEMORY + (clients + nodes) * CONNECTION_MEMORY;
    let remaining = memory.saturating_sub(fixed) as f64;
    MemoryBudget {
        requests: MIN_BUDGET.max((remaining * REQUEST_FRACTION) as usize),
        responses: MIN_BUDGET.max((remaining * RESPONSE_FRACTION) as usize),
        volumes: memory / VOLUME_MEMORY_DIVISOR / VOLUME_MEMORY,
    }
}

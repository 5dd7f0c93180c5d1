//! Divides the gateway's file descriptors between client connections and connections to storage nodes.

use crate::transport::{ConnectionLimits, PoolLimits};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Number of descriptors reserved for the listeners, the connection to discovery and the async runtime.
pub const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of descriptors to divide, even if the configured limit is lower.
const MIN_DIVIDED_DESCRIPTORS: usize = 16;
/// Fraction of the descriptors that is used for connections to storage nodes. Clients rarely use more than a
/// third of the descriptors. With only a quarter for nodes, a busy gateway ran out of them, and a request
/// cannot be served if there is no descriptor for its attempt.
const NODE_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };
/// Fraction of the descriptors that is used for client connections whose requests are rejected because of
/// overload. It can be small because such a connection is open only until the rejection has been sent.
const REJECTED_CLIENT_FRACTION: Fraction = Fraction { numerator: 1, denominator: 10 };
/// Time after which the gateway closes an idle connection to a storage node, as a fraction of the time after
/// which the node itself closes it. The margin is large because a request that is written to a connection is
/// lost if the node has already closed it.
const IDLE_TIMEOUT_FRACTION: Fraction = Fraction { numerator: 3, denominator: 5 };

#[derive(Clone, Copy)]
struct Fraction {
    numerator: u32,
    denominator: u32,
}

impl Fraction {
    /// Returns this fraction of `count`, rounded down.
    fn of(self, count: usize) -> usize {
        count * self.numerator as usize / self.denominator as usize
    }

    fn of_duration(self, duration: Duration) -> Duration {
        duration * self.numerator / self.denominator
    }
}

/// Timeouts of connections to storage nodes.
#[derive(Clone, Copy, Debug)]
pub struct NodeConnectionTimeouts {
    /// Time after which an attempt to connect has failed.
    pub connect: Duration,
    /// Time after which a storage node closes an idle connection.
    pub node_idle: Duration,
}

/// Connection limits for clients and for storage nodes.
pub struct ConnectionBudget {
    /// Maximum numbers of client connections that are served, and of those that are rejected as overload.
    pub clients: ConnectionLimits,
    /// Maximum number of connections to all storage nodes together, and their timeouts.
    pub nodes: PoolLimits,
}

/// Divides `descriptors`, the maximum number of open file descriptors of the gateway, between client
/// connections and connections to storage nodes.
pub fn divide_descriptors(descriptors: usize, timeouts: NodeConnectionTimeouts) -> ConnectionBudget {
    let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DIVIDED_DESCRIPTORS);
    let max_node_connections = NODE_FRACTION.of(available);
    let max_rejected = REJECTED_CLIENT_FRACTION.of(available);
    ConnectionBudget {
        clients: ConnectionLimits {
            max_served: available - max_node_connections - max_rejected,
            max_rejected,
        },
        nodes: PoolLimits {
            permits: Arc::new(Semaphore::new(max_node_connections)),
            connect_timeout: timeouts.connect,
            idle_timeout: IDLE_TIMEOUT_FRACTION.of_duration(timeouts.node_idle),
        },
    }
}

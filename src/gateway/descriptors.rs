//! The division of a gateway's file descriptors among clients and storage nodes.

use crate::transport::{ConnectionLimits, PoolLimits};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Descriptors that stay free for the listener, discovery, and what the runtime needs.
const RESERVED_DESCRIPTORS: usize = 32;
/// The fewest descriptors that are divided, however low the limit is set.
const MIN_DIVIDED_DESCRIPTORS: usize = 16;
/// Two fifths of the descriptors are for connections to storage nodes. Clients rarely use more than a third.
/// With only a quarter for nodes, a busy gateway ran out, and a request whose attempt finds no descriptor
/// cannot be served.
const NODE_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };
/// A tenth is for connections of clients that are rejected: they hold one only for as long as that takes.
const REJECTED_CLIENT_FRACTION: Fraction = Fraction { numerator: 1, denominator: 10 };
/// Idle connections to storage nodes are closed after three fifths of the time for which the node keeps them,
/// well before the node closes them: a request written to a closed connection is lost.
const IDLE_TIMEOUT_FRACTION: Fraction = Fraction { numerator: 3, denominator: 5 };

#[derive(Clone, Copy)]
struct Fraction {
    numerator: u32,
    denominator: u32,
}

impl Fraction {
    /// This fraction of a count, rounded down.
    fn of(self, count: usize) -> usize {
        count * self.numerator as usize / self.denominator as usize
    }

    fn of_duration(self, duration: Duration) -> Duration {
        duration * self.numerator / self.denominator
    }
}

/// How long connections to storage nodes may take and stay.
#[derive(Clone, Copy, Debug)]
pub struct NodeConnectionTimeouts {
    /// A connection that is not established by then has failed.
    pub connect: Duration,
    /// How long storage nodes keep an idle connection.
    pub node_idle: Duration,
}

/// The limits on each side of a gateway.
pub struct ConnectionBudget {
    /// Connections from clients.
    pub clients: ConnectionLimits,
    /// Connections to storage nodes.
    pub nodes: PoolLimits,
}

/// Divides the descriptors that a gateway may hold among clients and storage nodes.
pub fn divide_descriptors(descriptors: usize, timeouts: NodeConnectionTimeouts) -> ConnectionBudget {
    let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DIVIDED_DESCRIPTORS);
    let for_nodes = NODE_FRACTION.of(available);
    let max_rejected = REJECTED_CLIENT_FRACTION.of(available);
    ConnectionBudget {
        clients: ConnectionLimits { max_served: available - for_nodes - max_rejected, max_rejected },
        nodes: PoolLimits {
            permits: Arc::new(Semaphore::new(for_nodes)),
            connect_timeout: timeouts.connect,
            idle_timeout: IDLE_TIMEOUT_FRACTION.of_duration(timeouts.node_idle),
        },
    }
}

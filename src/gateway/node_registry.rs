//! Registry of the storage nodes in the endpoint list and their connection pools.

use crate::protocol::endpoint_list::{EndpointRecord, ListKind};
use crate::scheduler::{Endpoint, EndpointState, NodeId};
use crate::transport::{ConnectionPool, PoolLimits};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

struct RegisteredNode {
    address: SocketAddr,
    started_at_us: Option<u64>,
    pool: ConnectionPool,
}

impl RegisteredNode {
    fn new(record: &EndpointRecord, limits: PoolLimits) -> Self {
        RegisteredNode {
            address: record.address,
            started_at_us: record.started_at_us,
            pool: ConnectionPool::start(record.address, limits),
        }
    }

    fn update(&mut self, record: &EndpointRecord) {
        if self.address != record.address {
            self.address = record.address;
            self.pool.address_changed(record.address);
        }
        if self.started_at_us < record.started_at_us {
            self.started_at_us = record.started_at_us;
            self.pool.node_restarted();
        }
    }
}

/// The storage nodes in the endpoint list, each with a connection pool. Clones share one registry.
#[derive(Clone)]
pub struct NodeRegistry {
    limits: PoolLimits,
    zone_names: Rc<Vec<String>>,
    nodes: Rc<RefCell<FxHashMap<NodeId, RegisteredNode>>>,
}

impl NodeRegistry {
    /// Creates an empty registry. `limits` apply to the pools of all nodes. The number of a zone is the
    /// position of its name in `zone_names`.
    pub fn new(limits: PoolLimits, zone_names: Vec<String>) -> Self {
        NodeRegistry { limits, zone_names: Rc::new(zone_names), nodes: Rc::default() }
    }

    /// Returns the connection pool of a node; `None` if the node is not in the registry.
    pub fn pool(&self, node: &NodeId) -> Option<ConnectionPool> {
        self.nodes.borrow().get(node).map(|node| node.pool.clone())
    }

    /// Applies a complete endpoint list or a list of changes. Starts the pools of new nodes, updates the
    /// pools of nodes that moved or restarted, and drops the pools of removed nodes. Returns the records,
    /// converted for the scheduler.
    pub fn apply(&self, kind: ListKind, records: &[EndpointRecord]) -> Vec<Endpoint> {
        let mut nodes = self.nodes.borrow_mut();
        for record in records {
            let id: NodeId = record.name.as_str().into();
            match nodes.get_mut(&id) {
                Some(node) => node.update(record),
                None => {
                    nodes.insert(id, RegisteredNode::new(record, self.limits.clone()));
                }
            }
        }
        // A draining node keeps its pool, because the platform's rules allow the scheduler to send it
        // attempts for a while. A node that is removed, or that a snapshot does not contain, receives no more
        // attempts, so its pool is dropped.
        let find = |id: &NodeId| records.iter().find(|record| *record.name == **id);
        match kind {
            ListKind::Snapshot => nodes.retain(|id, _| find(id).is_some()),
            ListKind::Delta => {
                nodes.retain(|id, _| find(id).is_none_or(|record| record.state != EndpointState::Removed));
            }
        }
        records.iter().map(|record| record.to_endpoint(&self.zone_names)).collect()
    }
}

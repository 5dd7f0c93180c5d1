//! The storage nodes that the endpoint list has named, each with its connection pool.

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

/// The storage nodes that the endpoint list has named, each with its connection pool. Clones share one
/// registry.
#[derive(Clone)]
pub struct NodeRegistry {
    limits: PoolLimits,
    zones: Rc<Vec<String>>,
    nodes: Rc<RefCell<FxHashMap<NodeId, RegisteredNode>>>,
}

impl NodeRegistry {
    /// An empty registry. Zones get the numbers of these names.
    pub fn new(limits: PoolLimits, zones: Vec<String>) -> Self {
        NodeRegistry { limits, zones: Rc::new(zones), nodes: Rc::default() }
    }

    /// The connection pool of a node, if the endpoint list names it.
    pub fn pool(&self, node: &NodeId) -> Option<ConnectionPool> {
        self.nodes.borrow().get(node).map(|node| node.pool.clone())
    }

    /// Applies an endpoint list or changes to it; returns the endpoints that the scheduler is to be notified
    /// of.
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
        // The scheduler may still send to a node that has just started to drain, for as long as the rules
        // allow. One that a snapshot no longer names, or that is removed, is not sent to any more, and its
        // pool ends.
        let named = |id: &NodeId| records.iter().find(|record| *record.name == **id);
        match kind {
            ListKind::Snapshot => nodes.retain(|id, _| named(id).is_some()),
            ListKind::Delta => {
                nodes.retain(|id, _| named(id).is_none_or(|record| record.state != EndpointState::Removed));
            }
        }
        records.iter().map(|record| record.to_endpoint(&self.zones)).collect()
    }
}

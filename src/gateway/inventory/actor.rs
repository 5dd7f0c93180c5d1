//! The actor that owns the inventory and the operator's drains, and publishes endpoints and their changes.

use super::file::{InventoryReadError, read};
use super::racks::RackRegistry;
use crate::gateway::node_registry::NodeRegistry;
use crate::protocol::admin::NodeView;
use crate::protocol::endpoint_list::{EndpointRecord, ListKind};
use crate::protocol::inventory::InventoryNode;
use crate::routing::RouterHandle;
use crate::scheduler::{EndpointState, EndpointUpdate};
use std::collections::BTreeSet;
use std::path::PathBuf;
use tokio::sync::{mpsc, oneshot};

/// A command to the inventory's actor.
pub enum InventoryCommand {
    /// Read the file again; replies with the number of storage nodes that it names.
    Reload(oneshot::Sender<Result<usize, InventoryReadError>>),
    /// Drain a storage node.
    DrainNode {
        /// The node's name.
        node: String,
        /// Replies whether there is such a node.
        reply: oneshot::Sender<bool>,
    },
    /// Return a storage node to the state that the file gives.
    ReturnNode {
        /// The node's name.
        node: String,
        /// Replies whether there is such a node.
        reply: oneshot::Sender<bool>,
    },
    /// List all storage nodes.
    ListNodes(oneshot::Sender<Vec<NodeView>>),
}

/// The actor that owns the inventory and the operator's drains.
pub struct InventoryActor<P, R> {
    path: PathBuf,
    inventory: Vec<InventoryNode>,
    /// The names of the nodes that the operator drains.
    drained: BTreeSet<String>,
    racks: RackRegistry,
    nodes: NodeRegistry,
    router: RouterHandle<P, R>,
}

impl<P, R> InventoryActor<P, R> {
    /// An actor for the inventory file at `path`, which names the storage nodes in `inventory`. It numbers
    /// their racks in `racks`, and sends endpoint updates to `nodes` and `router`.
    pub fn new(
        path: PathBuf,
        inventory: Vec<InventoryNode>,
        racks: RackRegistry,
        nodes: NodeRegistry,
        router: RouterHandle<P, R>,
    ) -> Self {
        InventoryActor { path, inventory, drained: BTreeSet::new(), racks, nodes, router }
    }

    /// Publishes the inventory, then handles commands until nobody can send any.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<InventoryCommand>) {
        self.publish();
        while let Some(command) = commands.recv().await {
            self.handle_command(command);
        }
    }

    /// Whoever sent a command may have left; then nobody takes the reply.
    fn handle_command(&mut self, command: InventoryCommand) {
        match command {
            InventoryCommand::Reload(reply) => {
                let _ = reply.send(self.reload());
            }
            InventoryCommand::DrainNode { node, reply } => {
                let _ = reply.send(self.drain_node(node));
            }
            InventoryCommand::ReturnNode { node, reply } => {
                let _ = reply.send(self.return_node(&node));
            }
            InventoryCommand::ListNodes(reply) => {
                let _ = reply.send(self.inventory.iter().map(|node| self.view(node)).collect());
            }
        }
    }

    /// Reads the file again; a node that it no longer names is no longer drained either.
    fn reload(&mut self) -> Result<usize, InventoryReadError> {
        self.inventory = read(&self.path)?;
        self.drained.retain(|name| contains_node(&self.inventory, name));
        self.publish();
        Ok(self.inventory.len())
    }

    /// Starts draining a node; returns whether the inventory names it.
    fn drain_node(&mut self, node: String) -> bool {
        let known = contains_node(&self.inventory, &node);
        if known {
            self.drained.insert(node);
        }
        self.publish();
        known
    }

    /// Ends draining a node; returns whether the inventory names it.
    fn return_node(&mut self, node: &str) -> bool {
        self.drained.remove(node);
        self.publish();
        contains_node(&self.inventory, node)
    }

    fn publish(&self) {
        let records: Vec<_> = self.inventory.iter().map(|node| self.endpoint_record(node)).collect();
        let endpoints = self.nodes.apply(ListKind::Snapshot, &records);
        self.router.endpoints_updated(EndpointUpdate::Snapshot(endpoints));
    }

    fn endpoint_record(&self, node: &InventoryNode) -> EndpointRecord {
        EndpointRecord {
            name: node.name.clone(),
            address: node.address,
            zone: node.zone.clone(),
            shard: self.racks.shard(&node.rack),
            state: self.state(node),
            started_at_us: node.started_at_us,
        }
    }

    fn state(&self, node: &InventoryNode) -> EndpointState {
        match node.state {
            EndpointState::Ready if self.drained.contains(&node.name) => EndpointState::Draining,
            state => state,
        }
    }

    fn view(&self, node: &InventoryNode) -> NodeView {
        NodeView {
            name: node.name.clone(),
            address: node.address.to_string(),
            zone: node.zone.clone(),
            rack: node.rack.clone(),
            state: match self.state(node) {
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
                EndpointState::Removed => "gone",
            },
            drained_here: self.drained.contains(&node.name),
        }
    }
}

fn contains_node(inventory: &[InventoryNode], name: &str) -> bool {
    inventory.iter().any(|node| node.name == name)
}

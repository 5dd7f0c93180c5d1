//! The actor that owns the inventory and the set of nodes that operators drain. It publishes the resulting
//! endpoints to the router.

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

/// A command to the inventory actor. Each command contains the channel for its reply.
pub enum InventoryCommand {
    /// Read the inventory file again. The reply is the number of storage nodes in the file.
    Reload(oneshot::Sender<Result<usize, InventoryReadError>>),
    /// Drain a storage node at this gateway.
    DrainNode {
        /// Name of the node.
        node: String,
        /// The reply is whether the inventory contains the node.
        reply: oneshot::Sender<bool>,
    },
    /// End the drain of a storage node. The node then has the state that the inventory file states.
    ReturnNode {
        /// Name of the node.
        node: String,
        /// The reply is whether the inventory contains the node.
        reply: oneshot::Sender<bool>,
    },
    /// List all storage nodes, in the order of the inventory file.
    ListNodes(oneshot::Sender<Vec<NodeView>>),
}

/// The actor that owns the inventory and the set of nodes that operators drain.
pub struct InventoryActor<P, R> {
    path: PathBuf,
    inventory: Vec<InventoryNode>,
    /// Names of the nodes that operators drain. All of them are in the inventory.
    drained_nodes: BTreeSet<String>,
    racks: RackRegistry,
    nodes: NodeRegistry,
    router: RouterHandle<P, R>,
}

impl<P, R> InventoryActor<P, R> {
    /// Creates an actor for the inventory file at `path`, whose content at startup is `inventory`. The actor
    /// registers racks in `racks`, and sends endpoint updates to `nodes` and `router`.
    pub fn new(
        path: PathBuf,
        inventory: Vec<InventoryNode>,
        racks: RackRegistry,
        nodes: NodeRegistry,
        router: RouterHandle<P, R>,
    ) -> Self {
        InventoryActor { path, inventory, drained_nodes: BTreeSet::new(), racks, nodes, router }
    }

    /// Publishes the inventory, then handles commands until all senders of `commands` are dropped.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<InventoryCommand>) {
        self.publish();
        while let Some(command) = commands.recv().await {
            self.handle_command(command);
        }
    }

    /// Handles a command. The reply is dropped if the sender of the command no longer waits for it.
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
                let _ = reply.send(self.inventory.iter().map(|node| self.node_view(node)).collect());
            }
        }
    }

    /// Reads the inventory file again and publishes its endpoints. Ends the drains of nodes that are no
    /// longer in the file.
    fn reload(&mut self) -> Result<usize, InventoryReadError> {
        self.inventory = read(&self.path)?;
        self.drained_nodes.retain(|name| contains_node(&self.inventory, name));
        self.publish();
        Ok(self.inventory.len())
    }

    /// Drains a node; returns whether it is in the inventory.
    fn drain_node(&mut self, node: String) -> bool {
        let in_inventory = contains_node(&self.inventory, &node);
        if in_inventory {
            self.drained_nodes.insert(node);
        }
        self.publish();
        in_inventory
    }

    /// Ends the drain of a node; returns whether the node is in the inventory.
    fn return_node(&mut self, node: &str) -> bool {
        self.drained_nodes.remove(node);
        self.publish();
        contains_node(&self.inventory, node)
    }

    /// Publishes all endpoints as a snapshot, to the registry of nodes and to the router.
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
            shard: self.racks.shard_for_rack(&node.rack),
            state: self.state(node),
            started_at_us: node.started_at_us,
        }
    }

    /// Returns the state of a node: draining if an operator drains it and it is ready in the inventory,
    /// otherwise its state in the inventory.
    fn state(&self, node: &InventoryNode) -> EndpointState {
        match node.state {
            EndpointState::Ready if self.drained_nodes.contains(&node.name) => EndpointState::Draining,
            state => state,
        }
    }

    fn node_view(&self, node: &InventoryNode) -> NodeView {
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
            drained_here: self.drained_nodes.contains(&node.name),
        }
    }
}

fn contains_node(inventory: &[InventoryNode], name: &str) -> bool {
    inventory.iter().any(|node| node.name == name)
}

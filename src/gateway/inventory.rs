//! The inventory of storage nodes, which takes the place of discovery where an operator runs the gateway: an
//! actor publishes the file's endpoints and their changes.

use super::node_registry::NodeRegistry;
use crate::protocol::admin::NodeView;
use crate::protocol::endpoint_list::{EndpointRecord, ListKind};
use crate::protocol::inventory::{self, Format, InventoryFault, InventoryNode};
use crate::routing::RouterHandle;
use crate::scheduler::{EndpointState, EndpointUpdate, ShardId};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Why an inventory file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryReadError {
    /// The file's name says neither CSV nor YAML.
    #[error("{path}: the name must end in .csv, .yaml or .yml")]
    UnknownFormat {
        /// The file.
        path: String,
    },
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's content is invalid.
    #[error("{path}: {places}", places = join_errors(.errors))]
    Invalid {
        /// The file.
        path: String,
        /// Every place that is invalid.
        errors: Vec<InventoryFault>,
    },
}

fn join_errors(errors: &[InventoryFault]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Reads an inventory file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or any part of it is invalid.
pub fn read(path: &Path) -> Result<Vec<InventoryNode>, InventoryReadError> {
    let name = path.display().to_string();
    let Some(format) = Format::from_path(path) else {
        return Err(InventoryReadError::UnknownFormat { path: name });
    };
    match std::fs::read_to_string(path) {
        Ok(text) => inventory::decode(&text, format)
            .map_err(|errors| InventoryReadError::Invalid { path: name, errors }),
        Err(source) => Err(InventoryReadError::Unreadable { path: name, source }),
    }
}

/// The racks that have been named, numbered as the scheduler's shards. A rack keeps its number. Clones share
/// one registry.
#[derive(Clone, Default)]
pub struct RackRegistry(Rc<RefCell<Vec<String>>>);

impl RackRegistry {
    /// The number of a rack; a new rack gets the next one.
    pub fn shard(&self, rack: &str) -> ShardId {
        let mut racks = self.0.borrow_mut();
        let index = racks.iter().position(|known| known == rack).unwrap_or_else(|| {
            racks.push(rack.into());
            racks.len() - 1
        });
        ShardId(index as u32)
    }
}

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

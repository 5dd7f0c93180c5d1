//! The inventory of storage nodes, which takes the place of discovery where an operator runs the gateway: an
//! actor publishes the file's endpoints and their changes.

use super::node_registry::NodeRegistry;
use crate::protocol::admin::NodeView;
use crate::protocol::endpoint_list::{EndpointRecord, ListKind};
use crate::protocol::inventory::{self, Format, InventoryError, InventoryNode};
use crate::routing::RouterHandle;
use crate::scheduler::{EndpointState, EndpointUpdate, ShardId};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Why an inventory file is not accepted; the previous inventory stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
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
        errors: Vec<InventoryError>,
    },
}

fn join_errors(errors: &[InventoryError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Reads an inventory file.
///
/// # Errors
///
/// If the file cannot be read, or any part of it is invalid.
pub fn read(path: &Path) -> Result<Vec<InventoryNode>, ReloadError> {
    let name = path.display().to_string();
    let Some(format) = Format::from_path(path) else { return Err(ReloadError::UnknownFormat { path: name }) };
    match std::fs::read_to_string(path) {
        Ok(text) => {
            inventory::decode(&text, format).map_err(|errors| ReloadError::Invalid { path: name, errors })
        }
        Err(source) => Err(ReloadError::Unreadable { path: name, source }),
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
    Reload(oneshot::Sender<Result<usize, ReloadError>>),
    /// Drain a storage node, or return it to the state that the file gives.
    SetDrained {
        /// The node's name.
        node: String,
        /// Whether to drain it.
        drained: bool,
        /// Replies whether there is such a node.
        reply: oneshot::Sender<bool>,
    },
    /// List all storage nodes.
    ListNodes(oneshot::Sender<Vec<NodeView>>),
}

/// The actor that owns the inventory and the operator's drains.
pub struct InventoryActor<P, R> {
    /// The file.
    pub path: PathBuf,
    /// The storage nodes that it names.
    pub inventory: Vec<InventoryNode>,
    /// The racks, numbered as the scheduler's shards.
    pub racks: RackRegistry,
    /// The storage nodes' connection pools.
    pub nodes: NodeRegistry,
    /// Where endpoint updates go.
    pub router: RouterHandle<P, R>,
}

impl<P, R> InventoryActor<P, R> {
    /// Publishes the inventory, then handles commands until nobody can send any.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<InventoryCommand>) {
        let mut drained = BTreeSet::new();
        self.publish(&drained);
        while let Some(command) = commands.recv().await {
            self.handle_command(command, &mut drained);
        }
    }

    /// Whoever sent a command may have left; then nobody takes the reply.
    fn handle_command(&mut self, command: InventoryCommand, drained: &mut BTreeSet<String>) {
        match command {
            InventoryCommand::Reload(reply) => {
                let _ = reply.send(self.reload(drained));
            }
            InventoryCommand::SetDrained { node, drained: drain, reply } => {
                let _ = reply.send(self.set_drained(node, drain, drained));
            }
            InventoryCommand::ListNodes(reply) => {
                let _ = reply.send(self.inventory.iter().map(|node| view(node, drained)).collect());
            }
        }
    }

    /// Reads the file again; a node that it no longer names is no longer drained either.
    fn reload(&mut self, drained: &mut BTreeSet<String>) -> Result<usize, ReloadError> {
        self.inventory = read(&self.path)?;
        drained.retain(|name| self.names(name));
        self.publish(drained);
        Ok(self.inventory.len())
    }

    /// Starts or ends draining a node; returns whether the inventory names it.
    fn set_drained(&self, node: String, drain: bool, drained: &mut BTreeSet<String>) -> bool {
        let known = self.names(&node);
        if drain && known {
            drained.insert(node);
        } else {
            drained.remove(&node);
        }
        self.publish(drained);
        known
    }

    fn names(&self, name: &str) -> bool {
        self.inventory.iter().any(|node| node.name == name)
    }

    fn publish(&self, drained: &BTreeSet<String>) {
        let records: Vec<_> = self.inventory.iter().map(|node| self.endpoint_record(node, drained)).collect();
        let endpoints = self.nodes.apply(ListKind::Snapshot, &records);
        self.router.endpoints_updated(EndpointUpdate::Snapshot(endpoints));
    }

    fn endpoint_record(&self, node: &InventoryNode, drained: &BTreeSet<String>) -> EndpointRecord {
        EndpointRecord {
            name: node.name.clone(),
            address: node.address,
            zone: node.zone.clone(),
            shard: self.racks.shard(&node.rack),
            state: state(node, drained),
            started_at_us: node.started_at_us,
        }
    }
}

fn state(node: &InventoryNode, drained: &BTreeSet<String>) -> EndpointState {
    match node.state {
        EndpointState::Ready if drained.contains(&node.name) => EndpointState::Draining,
        state => state,
    }
}

fn view(node: &InventoryNode, drained: &BTreeSet<String>) -> NodeView {
    NodeView {
        name: node.name.clone(),
        address: node.address.to_string(),
        zone: node.zone.clone(),
        rack: node.rack.clone(),
        state: match state(node, drained) {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        },
        drained_here: drained.contains(&node.name),
    }
}

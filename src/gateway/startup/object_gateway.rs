//! Starts an object gateway, which serves the object API and the administration API, and gets its storage
//! nodes from an inventory.

use super::{GatewayContext, RunningTasks, listen, spawn_server};
use crate::gateway::admin_frontend::AdminFrontend;
use crate::gateway::config::object::{InventorySource, ObjectGatewayConfig};
use crate::gateway::descriptors::{ConnectionBudget, NodeConnectionTimeouts, divide_descriptors};
use crate::gateway::error::RunError;
use crate::gateway::inventory::{InventoryActor, InventoryCommand, RackRegistry};
use crate::gateway::node_registry::NodeRegistry;
use crate::gateway::object_frontend::{
    BodyMemory, NodeResponse, ObjectFrontend, ObjectPayload, ObjectTransport,
};
use crate::gateway::object_limits::ObjectLimits;
use crate::gateway::reload::reload_inventory;
use crate::gateway::signals::hangup_signal;
use crate::protocol::inventory::InventoryNode;
use crate::routing::{RequestRouter, RouterHandle};
use crate::scheduler::SchedulerSettings;
use crate::transport::ConnectionLimits;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

/// Limits for connections to the administration API, sufficient for a few operators and their tools.
const ADMIN_CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits { max_served: 16, max_rejected: 4 };

/// Starts the gateway's actors, then its servers for the object API and the administration API.
///
/// # Errors
///
/// Returns an error if the SIGHUP handler cannot be installed, or if a listener cannot be bound.
pub async fn start(config: ObjectGatewayConfig, context: GatewayContext) -> Result<RunningTasks, RunError> {
    let hangup = hangup_signal()?;
    let ConnectionBudget { clients, nodes: pool_limits } = connection_budget(&config);
    let nodes = NodeRegistry::new(pool_limits, zone_names(&config.inventory.nodes));
    let gateway_actors =
        GatewayActors::start(config.inventory, config.settings, config.limits, nodes, &context);
    let GatewayActors { router, racks, inventory, tasks: mut actors } = gateway_actors;
    let GatewayContext { metrics, phase, clock, .. } = context;
    // The inventory actor ends when all command senders are dropped, and the end of an actor stops the
    // gateway with an error. This task keeps a sender until the process ends, and thus beyond the end of the
    // administration API's server.
    actors.push(spawn_local(reload_inventory(hangup, inventory.clone(), metrics.clone())));
    let object_frontend = Rc::new(ObjectFrontend {
        router,
        clock,
        tenants: config.tenants.clone(),
        racks,
        upload_key: config.upload_key,
        limits: config.limits,
        memory: BodyMemory::new(config.body_memory),
        metrics: metrics.clone(),
        phase: phase.clone(),
        next_request_number: Cell::new(fastrand::u64(..)),
    });
    let admin_frontend = Rc::new(AdminFrontend {
        token_hash: config.admin_token_hash,
        tenants: config.tenants,
        inventory,
        metrics,
        phase: phase.clone(),
    });
    let object_listener = listen(config.listen).await?;
    let admin_listener = listen(config.admin_listen).await?;
    let servers = vec![
        spawn_server(object_listener, clients, phase.clone(), object_frontend),
        spawn_server(admin_listener, ADMIN_CONNECTION_LIMITS, phase, admin_frontend),
    ];
    Ok(RunningTasks { servers, actors })
}

fn connection_budget(config: &ObjectGatewayConfig) -> ConnectionBudget {
    let max_admin_connections = ADMIN_CONNECTION_LIMITS.max_served + ADMIN_CONNECTION_LIMITS.max_rejected;
    let timeouts = NodeConnectionTimeouts {
        connect: Duration::from_micros(config.settings.connect_timeout_us),
        node_idle: config.node_idle_timeout,
    };
    divide_descriptors(config.descriptors.saturating_sub(max_admin_connections), timeouts)
}

/// Returns the names of the nodes' zones, sorted and without duplicates.
fn zone_names(nodes: &[InventoryNode]) -> Vec<String> {
    let names: BTreeSet<String> = nodes.iter().map(|node| node.zone.clone()).collect();
    names.into_iter().collect()
}

/// The tasks of the router actor and the inventory actor, and the handles through which other parts of the
/// gateway use them.
struct GatewayActors {
    router: RouterHandle<ObjectPayload, NodeResponse>,
    racks: RackRegistry,
    inventory: mpsc::UnboundedSender<InventoryCommand>,
    tasks: Vec<JoinHandle<()>>,
}

impl GatewayActors {
    fn start(
        source: InventorySource,
        settings: SchedulerSettings,
        limits: ObjectLimits,
        nodes: NodeRegistry,
        context: &GatewayContext,
    ) -> GatewayActors {
        let racks = RackRegistry::default();
        let metrics = context.metrics.requests.clone();
        let (router_actor, router) = RequestRouter::new(settings, fastrand::u64(..), context.clock, metrics);
        let (inventory, commands) = mpsc::unbounded_channel();
        let inventory_actor =
            InventoryActor::new(source.file, source.nodes, racks.clone(), nodes.clone(), router.clone());
        let transport = ObjectTransport { router: router.clone(), nodes, limits };
        let tasks =
            vec![spawn_local(inventory_actor.run(commands)), spawn_local(router_actor.run(transport))];
        GatewayActors { router, racks, inventory, tasks }
    }
}

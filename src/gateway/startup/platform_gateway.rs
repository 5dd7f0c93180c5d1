//! Starts a platform gateway, which serves the platform's protocol and gets its storage nodes from discovery.

use super::{GatewayContext, RunningTasks, listen, spawn_server};
use crate::gateway::config::platform::PlatformConfig;
use crate::gateway::descriptors::{ConnectionBudget, NodeConnectionTimeouts, divide_descriptors};
use crate::gateway::discovery::{DiscoveryTarget, EndpointWatcher, WatchWaits};
use crate::gateway::error::RunError;
use crate::gateway::memory::{descriptors_within, divide_memory};
use crate::gateway::node_registry::NodeRegistry;
use crate::gateway::platform_frontend::{PlatformFrontend, PlatformTransport, RequestIds, RequestMemory};
use crate::gateway::reload::reload_discovery_address;
use crate::gateway::signals::hangup_signal;
use crate::routing::RequestRouter;
use crate::scheduler::SchedulerSettings;
use crate::transport::ResponseMemory;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Minimum connect timeout, which applies if the settings specify none or a very short one.
const MIN_CONNECT_TIMEOUT_US: u64 = 1_000;
/// Starts the gateway's actors, then its server.
///
/// # Errors
///
/// Returns an error if the SIGHUP handler cannot be installed, or if the listener cannot be bound.
pub async fn start(config: PlatformConfig, context: GatewayContext) -> Result<RunningTasks, RunError> {
    let GatewayContext { shutdown, metrics, phase, clock } = context;
    let hangup = hangup_signal()?;
    shutdown.answer_before_sigkill(longest_deadline(&config.settings));
    let connections = connection_budget(&config);
    let memory = divide_memory(config.memory, &connections);
    let ConnectionBudget { clients, nodes: pool_limits } = connections;
    let nodes = NodeRegistry::new(pool_limits, config.zone_names);
    let overload_retry_after_us = config.settings.max_retry_after_us;
    let watch_waits = WatchWaits::new(config.settings.gateway_index, config.settings.gateway_count);
    let lists_are_pushed = !config.settings.endpoints_on_request;
    let settings = SchedulerSettings { max_tracked_volumes: Some(memory.volumes), ..config.settings };
    let (router_actor, router) = RequestRouter::new(settings, config.seed, clock, metrics.requests.clone());
    let (watch_commands, watch_command_receiver) = mpsc::unbounded_channel();
    let (discovery_sender, discovery) =
        watch::channel(DiscoveryTarget { address: config.discovery, reloaded_at: None });
    let watcher = EndpointWatcher {
        discovery,
        lists_are_pushed,
        watch_waits,
        cached_list: config.cached_list,
        nodes: nodes.clone(),
        router: router.clone(),
        clock,
        metrics: metrics.clone(),
    };
    let response_memory = ResponseMemory::new(memory.responses);
    let transport = PlatformTransport { router: router.clone(), nodes, watch_commands, response_memory };
    let actors = vec![
        spawn_local(watcher.run(watch_command_receiver)),
        spawn_local(router_actor.run(transport)),
        spawn_local(reload_discovery_address(hangup, discovery_sender, metrics.clone())),
    ];
    let frontend = Rc::new(PlatformFrontend {
        router,
        clock,
        names: config.names,
        metrics,
        phase: phase.clone(),
        overload_retry_after_us,
        shutdown,
        request_ids: RequestIds::new(),
        memory: RequestMemory::new(memory.requests),
    });
    let listener = listen(config.listen).await?;
    let server = spawn_server(listener, clients, phase, frontend);
    Ok(RunningTasks { servers: vec![server], actors })
}

fn longest_deadline(settings: &SchedulerSettings) -> Duration {
    let longest_us = settings.classes.iter().map(|class| class.deadline_us).max();
    Duration::from_micros(longest_us.unwrap_or(0))
}

fn connection_budget(config: &PlatformConfig) -> ConnectionBudget {
    let connect_timeout_us = config.settings.connect_timeout_us.max(MIN_CONNECT_TIMEOUT_US);
    let timeouts = NodeConnectionTimeouts {
        connect: Duration::from_micros(connect_timeout_us),
        node_idle: config.node_idle_timeout,
    };
    divide_descriptors(descriptors_within(config.memory, config.descriptors), timeouts)
}

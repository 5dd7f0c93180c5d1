//! Reloads the discovery address or the inventory on SIGHUP. If the file cannot be read or is invalid, the
//! previous configuration or inventory stays in effect.
//!
//! When discovery moves to another address, the platform writes a new configuration and sends SIGHUP. It
//! counts a gateway that exits on SIGHUP as crashed (Terms of service page, "New configurations and
//! restarts").

use super::config::platform::PlatformConfig;
use super::discovery::DiscoveryTarget;
use super::inventory::InventoryCommand;
use super::log;
use super::metrics::GatewayMetrics;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Reads the platform's configuration file on each SIGHUP and publishes its discovery address and the time of
/// the signal. Changes to all other settings in the file are ignored.
pub async fn reload_discovery_address(
    mut hangup: Signal,
    discovery: watch::Sender<DiscoveryTarget>,
    metrics: Rc<GatewayMetrics>,
) {
    while hangup.recv().await.is_some() {
        let reloaded_at = Some(Instant::now());
        match PlatformConfig::load() {
            Ok(config) => {
                metrics.reloads.increment();
                let address = config.discovery;
                discovery.send_replace(DiscoveryTarget { address, reloaded_at });
                log::write(format_args!("configuration reloaded, discovery at {address}"));
            }
            Err(error) => {
                metrics.reloads_failed.increment();
                log::write(format_args!(
                    "reload failed, the previous configuration stays in effect: {error}"
                ));
            }
        }
    }
}

/// Reloads the inventory on each SIGHUP, like the reload operation of the administration API. Returns once
/// the inventory actor has ended.
pub async fn reload_inventory(
    mut hangup: Signal,
    inventory: mpsc::UnboundedSender<InventoryCommand>,
    metrics: Rc<GatewayMetrics>,
) {
    while hangup.recv().await.is_some() {
        let (reply, result) = oneshot::channel();
        // Sending fails only if the inventory actor has ended; `result` is then an error, too.
        let _ = inventory.send(InventoryCommand::Reload(reply));
        match result.await {
            Ok(Ok(node_count)) => {
                metrics.reloads.increment();
                log::write(format_args!("inventory reloaded, {node_count} storage nodes"));
            }
            Ok(Err(error)) => {
                metrics.reloads_failed.increment();
                log::write(format_args!("reload failed, the previous inventory stays in effect: {error}"));
            }
            Err(_) => return,
        }
    }
}

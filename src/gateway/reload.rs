//! Reloads on SIGHUP. A file that cannot be read changes nothing: what was in effect before stays.
//!
//! The platform moves discovery this way, and counts a gateway that ends on SIGHUP as crashed (Terms of
//! service page, "New configurations and restarts").

use super::config::platform::PlatformConfig;
use super::inventory::InventoryCommand;
use super::log;
use super::metrics::GatewayMetrics;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};

/// Reads the platform's configuration on each SIGHUP and moves to the discovery address in it. All else in
/// the file keeps the value it had at the start.
pub async fn reload_discovery_address(
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
    metrics: Rc<GatewayMetrics>,
) {
    while hangup.recv().await.is_some() {
        match PlatformConfig::load() {
            Ok(config) => {
                metrics.reloads.increment();
                let new_address = config.discovery;
                discovery_address.send_if_modified(|address| {
                    let previous = std::mem::replace(address, new_address);
                    previous != new_address
                });
                log::write(format_args!("configuration reloaded, discovery at {new_address}"));
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

/// Reads the inventory on each SIGHUP, as the administration's reload does.
pub async fn reload_inventory(
    mut hangup: Signal,
    inventory: mpsc::UnboundedSender<InventoryCommand>,
    metrics: Rc<GatewayMetrics>,
) {
    while hangup.recv().await.is_some() {
        let (reply, result) = oneshot::channel();
        // The inventory's actor lives as long as the gateway.
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

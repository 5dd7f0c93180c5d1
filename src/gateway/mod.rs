//! The gateway process: configuration, signals, metrics, and the startup and wiring of the actors.
//!
//! There are two kinds of gateway:
//! - The platform gateway serves the platform's protocol. The platform provides its configuration, and it
//!   polls discovery for storage nodes.
//! - The object gateway serves the object API and an administration API. An operator's configuration file
//!   configures it, and it reads the storage nodes from an inventory.
//!
//! | area | both kinds | platform gateway | object gateway |
//! | --- | --- | --- | --- |
//! | startup | `config`, `startup`, `error`, `log` | | |
//! | lifecycle | `signals`, `shutdown`, `reload` | | |
//! | front ends | `frontend`, `body_reader` | `platform_frontend` | `object_frontend`, `admin_frontend` |
//! | object API | | | `tenants`, `object_limits`, `hashing` |
//! | storage nodes | `node_registry`, `node_transport` | `discovery` | `inventory` |
//! | limits | `descriptors` | `memory` | |
//! | metrics | `metrics` | | |
//!
//! `hashing` is used for object placement, idempotency keys, and ids of volumes, blocks and requests.

mod admin_frontend;
mod body_reader;
mod config;
mod descriptors;
mod discovery;
mod error;
mod frontend;
mod hashing;
mod inventory;
pub mod log;
mod memory;
mod metrics;
mod node_registry;
mod node_transport;
mod object_frontend;
mod object_limits;
mod platform_frontend;
mod reload;
mod shutdown;
mod signals;
mod startup;
mod tenants;

pub use config::ConfigError;
pub use error::{GatewayError, RunError};

use config::object::ObjectGatewayConfig;
use config::platform::PlatformConfig;
use std::path::Path;

/// Runs a platform gateway until it has shut down after SIGTERM or SIGINT. The environment variable
/// `GW_CONFIG` contains the path of the configuration file.
///
/// # Errors
///
/// Returns an error if the configuration is missing or invalid, or if the gateway cannot run.
pub fn run_platform_gateway() -> Result<(), GatewayError> {
    let config = PlatformConfig::load()?;
    startup::run(|context| startup::platform_gateway::start(config, context))?;
    Ok(())
}

/// Runs an object gateway until it has shut down after SIGTERM or SIGINT. `config_file` is the path of the
/// operator's configuration file.
///
/// # Errors
///
/// Returns an error if the configuration is missing or invalid, or if the gateway cannot run.
pub fn run_object_gateway(config_file: &Path) -> Result<(), GatewayError> {
    let config = ObjectGatewayConfig::load(config_file)?;
    startup::run(|context| startup::object_gateway::start(config, context))?;
    Ok(())
}

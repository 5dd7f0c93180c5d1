//! The program: configuration, signals, metrics, and the wiring of the actors.
//!
//! There are two kinds of gateway. One speaks the platform's protocol, is configured by the platform and
//! polls discovery for storage nodes; the other serves the object API and an administration API, is
//! configured by an operator's file and reads storage nodes from an inventory. Both start in `startup` and
//! share the rest.
//!
//! | subject | modules |
//! | --- | --- |
//! | started first | `config`, `startup`, `error`, `log` |
//! | lifecycle | `signals`, `shutdown`, `reload` |
//! | front ends | `frontend` (shared), `platform_frontend`, `object_frontend`, `admin_frontend` |
//! | object API | `tenants`, `object_limits`, and `hashing` for the placement of objects |
//! | storage nodes | `discovery` or `inventory`, then `node_registry`, `node_transport`, `descriptors` |
//! | metrics | `metrics` |

mod admin_frontend;
mod config;
mod descriptors;
mod discovery;
mod error;
mod frontend;
mod hashing;
mod inventory;
pub mod log;
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

/// Serves the platform's protocol, as configured by the file that `GW_CONFIG` names, until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the configuration is missing or invalid, or the gateway cannot run.
pub fn run_platform_gateway() -> Result<(), GatewayError> {
    let config = PlatformConfig::load()?;
    startup::run(|context| startup::platform_gateway::start(config, context))?;
    Ok(())
}

/// Serves the object API and the administration API, as configured by an operator's file, until SIGTERM or
/// SIGINT.
///
/// # Errors
///
/// Returns an error if the configuration is missing or invalid, or the gateway cannot run.
pub fn run_object_gateway(config_file: &Path) -> Result<(), GatewayError> {
    let config = ObjectGatewayConfig::load(config_file)?;
    startup::run(|context| startup::object_gateway::start(config, context))?;
    Ok(())
}

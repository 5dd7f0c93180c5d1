//! Reads the platform's configuration file, which is JSON.

use super::ConfigError;
use crate::protocol::client_request::{NameTable, NamedClass};
use crate::protocol::endpoint_list::{self, EndpointList};
use crate::protocol::settings::PlatformSettings;
use crate::scheduler::{Idempotency, RequestClass, SchedulerSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of open file descriptors if the configuration does not specify it: the platform's limit on
/// scored days (Deployment page, "Limits").
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Memory of the process if the configuration does not specify it, in megabytes: the most that the platform
/// gives on scored days (Deployment page, "Limits").
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Number of bytes in a megabyte of the configuration.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Time after which a storage node closes an idle connection if the settings do not specify it: the value of
/// `connIdleUs` in the example settings on the Wire page.
const DEFAULT_NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Deserialize)]
struct PlatformConfigFile<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: LimitsSection,
    /// Decoded separately, because a malformed list must not invalidate the configuration.
    #[serde(borrow, rename = "known")]
    cached_list: Option<&'a RawValue>,
    settings: PlatformSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    #[serde(rename = "sockets")]
    descriptors: usize,
    memory_mb: f64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection { descriptors: DEFAULT_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// Faults in the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The file is not JSON, or does not have the expected fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings define no request class or no service plan, so that no request can be served.
    #[error("the settings define no class or no plan")]
    NoClassOrPlan,
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("the seed is not a hexadecimal number of at most 64 bits")]
    InvalidSeed,
}

/// The configuration of a platform gateway.
pub struct PlatformConfig {
    /// Address on which the gateway accepts client connections.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the scheduler's random number generator.
    pub seed: u64,
    /// Maximum number of open file descriptors of the process; 1024 if the file does not specify it.
    pub descriptors: usize,
    /// Memory that the process may use, in bytes; 192 MB if the file does not specify it.
    pub memory: usize,
    /// The most recent endpoint list that this gateway had before it started, which may be out of date;
    /// `None` if the file contains none or a malformed one.
    pub cached_list: Option<EndpointList>,
    /// Names by which requests refer to classes and plans.
    pub names: NameTable,
    /// Names of the zones, ordered by zone number.
    pub zone_names: Vec<String>,
    /// Time after which a storage node closes an idle connection; 15 s if the settings do not specify it.
    pub node_idle_timeout: Duration,
    /// Settings of the scheduler, with at least one request class and one service plan.
    pub settings: SchedulerSettings,
}

impl PlatformConfig {
    /// Reads the configuration file at the path in the environment variable `GW_CONFIG`.
    ///
    /// # Errors
    ///
    /// Returns an error if the variable is not set, the file cannot be read, or its content is invalid.
    pub fn load() -> Result<PlatformConfig, ConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::PathNotSet)?;
        let json = match std::fs::read(&path) {
            Ok(json) => json,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        PlatformConfig::decode(&json).map_err(|source| ConfigError::InvalidPlatformConfig { path, source })
    }

    fn decode(json: &[u8]) -> Result<PlatformConfig, PlatformConfigError> {
        let file: PlatformConfigFile = serde_json::from_slice(json)?;
        let settings = file.settings.to_scheduler_settings();
        if settings.classes.is_empty() || settings.plans.is_empty() {
            return Err(PlatformConfigError::NoClassOrPlan);
        }
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| PlatformConfigError::InvalidSeed)?;
        Ok(PlatformConfig {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            descriptors: file.limits.descriptors,
            memory: (file.limits.memory_mb * BYTES_PER_MB) as usize,
            cached_list: file.cached_list.and_then(decode_cached_list),
            names: name_table(&file.settings, &settings),
            zone_names: file.settings.zone_names(),
            node_idle_timeout: node_idle_timeout(&file.settings),
            settings,
        })
    }
}

/// Returns `None` if the list is malformed. This is not an error, because discovery provides a current list.
fn decode_cached_list(json: &RawValue) -> Option<EndpointList> {
    endpoint_list::decode(json.get().as_bytes()).ok()
}

fn name_table(platform_settings: &PlatformSettings, settings: &SchedulerSettings) -> NameTable {
    let class_writes = platform_settings.class_writes();
    let named_class = |(index, (name, class)): (usize, (String, &RequestClass))| NamedClass {
        name,
        writes: class_writes.get(index).copied(),
        requires_idempotency_key: matches!(class.idempotency, Idempotency::WithKey { .. }),
    };
    let classes = platform_settings.class_names().into_iter().zip(&settings.classes);
    NameTable {
        classes: classes.enumerate().map(named_class).collect(),
        plans: platform_settings.plan_names(),
    }
}

fn node_idle_timeout(platform_settings: &PlatformSettings) -> Duration {
    platform_settings.node_idle_timeout_us().map_or(DEFAULT_NODE_IDLE_TIMEOUT, Duration::from_micros)
}

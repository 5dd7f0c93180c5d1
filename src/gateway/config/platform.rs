//! The platform's configuration file.

use super::ConfigError;
use crate::protocol::client_request::{NameTable, NamedClass};
use crate::protocol::endpoint_list::{self, EndpointList};
use crate::protocol::settings::PlatformSettings;
use crate::scheduler::{Idempotency, RequestClass, SchedulerSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

/// The descriptors that a gateway may hold if the platform does not state them: the limit of scored days
/// (Deployment page, "Limits").
const DEFAULT_DESCRIPTORS: usize = 1024;
/// How long storage nodes keep an idle connection if the settings do not state it: `connIdleUs` of the
/// settings in the Wire page's example.
const DEFAULT_NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Deserialize)]
struct PlatformConfigFile<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: LimitsSection,
    /// Decoded on its own: it may be malformed without harm.
    #[serde(borrow, rename = "known")]
    cached_list: Option<&'a RawValue>,
    settings: PlatformSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    #[serde(rename = "sockets")]
    descriptors: usize,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection { descriptors: DEFAULT_DESCRIPTORS }
    }
}

/// What is wrong with a platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// It is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Without a request class or a service plan nothing can be served.
    #[error("the settings name no class or no plan")]
    NoClassOrPlan,
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("the seed is not a hex number")]
    InvalidSeed,
}

/// The configuration of a gateway that speaks the platform's protocol.
pub struct PlatformConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The file descriptors that the process may hold.
    pub descriptors: usize,
    /// The endpoint list as this gateway last had it; may be old.
    pub cached_list: Option<EndpointList>,
    /// How requests name classes and plans.
    pub names: NameTable,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// How long storage nodes keep an idle connection.
    pub node_idle_timeout: Duration,
    /// The scheduler's settings.
    pub settings: SchedulerSettings,
}

impl PlatformConfig {
    /// Reads the file that `GW_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Returns an error if the variable is not set, the file cannot be read, or its contents are invalid.
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
            cached_list: file.cached_list.and_then(decode_cached_list),
            names: name_table(&file.settings, &settings),
            zones: file.settings.zone_names(),
            node_idle_timeout: node_idle_timeout(&file.settings),
            settings,
        })
    }
}

/// A list that cannot be read is as good as none: discovery will send one.
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

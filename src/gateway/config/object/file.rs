//! The structure of the operator's configuration file: its sections, keys and default values.
//!
//! Fields have the names that the gateway uses; serde attributes state the keys in the file.

use crate::protocol::admin::TenantDefinition;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectConfigFile {
    pub gateway: GatewaySection,
    pub object: ObjectSection,
    pub admin: AdminSection,
    pub inventory: InventorySection,
    #[serde(rename = "class")]
    pub classes: ClassesSection,
    #[serde(rename = "plan")]
    pub plans: Vec<PlanSection>,
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<TenantDefinition>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySection {
    pub listen: SocketAddr,
    /// Number of gateways that serve the tenants.
    #[serde(default = "default_gateway_count", rename = "gateways")]
    pub count: usize,
    /// Number of this gateway among all gateways, from 0.
    #[serde(default, rename = "number")]
    pub index: usize,
    /// Maximum number of open file descriptors of the process.
    #[serde(default = "default_descriptors", rename = "sockets")]
    pub descriptors: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectSection {
    /// Maximum size of a request body, which contains an object or a part, in bytes.
    #[serde(default = "default_max_body_len", rename = "body_most")]
    pub max_body_len: u64,
    /// Maximum length of a response that is read completely before any of it is sent to the client, in bytes.
    #[serde(default = "default_response_buffer_len", rename = "buffer")]
    pub response_buffer_len: u64,
    /// Maximum memory that all concurrent requests together reserve for bodies, in bytes.
    #[serde(default = "default_body_memory", rename = "memory")]
    pub body_memory: u64,
    /// Time without any received data after which a response has stalled.
    #[serde(default = "default_stall_timeout_ms", rename = "stall_ms")]
    pub stall_timeout_ms: u64,
    /// Time after which a storage node closes an idle connection.
    #[serde(default = "default_node_idle_timeout_ms", rename = "node_idle_ms")]
    pub node_idle_timeout_ms: u64,
    /// Number of bytes that the scheduler counts as one unit of work.
    #[serde(default = "default_unit_len", rename = "unit")]
    pub unit_len: u64,
    /// Path of the file with the secret that signs upload ids, relative to the configuration file. All
    /// gateways must have the same secret.
    pub upload_secret_file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSection {
    pub listen: SocketAddr,
    /// SHA-256 of the administration API's bearer token, as 64 hex digits.
    pub token_sha256: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventorySection {
    /// Path of the inventory file, relative to the configuration file.
    pub file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassesSection {
    pub read: ClassSection,
    pub write: ClassSection,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    pub deadline_ms: u64,
    #[serde(default = "default_factor", rename = "worth")]
    pub priority_weight: f64,
    /// Time for which the nodes of a rack recognize an idempotency key. Used for writes only.
    #[serde(default, rename = "repeat_window_ms")]
    pub deduplication_window_ms: u64,
}

/// A service plan. Rates are in units per second and apply to each volume.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSection {
    pub name: String,
    #[serde(rename = "rate")]
    pub provisioned_rate: f64,
    #[serde(default, rename = "reserve")]
    pub reserved_rate: f64,
    #[serde(default = "default_factor")]
    pub weight: f64,
    #[serde(default = "default_factor", rename = "price")]
    pub priority_factor: f64,
}

fn default_gateway_count() -> usize {
    1
}

/// The neutral weight or factor.
fn default_factor() -> f64 {
    1.0
}

/// The platform's limit on scored days (Deployment page, "Limits").
fn default_descriptors() -> usize {
    1024
}

fn default_max_body_len() -> u64 {
    8 << 20
}

fn default_response_buffer_len() -> u64 {
    256 << 10
}

/// A request body takes up to twice its size in memory while it is being assembled. All bodies together must
/// stay well below the gateway's memory limit of 192 MB (Deployment page, "Limits").
fn default_body_memory() -> u64 {
    48 << 20
}

fn default_stall_timeout_ms() -> u64 {
    1_000
}

/// The value of `connIdleUs` in the example settings on the Wire page.
fn default_node_idle_timeout_ms() -> u64 {
    15_000
}

fn default_unit_len() -> u64 {
    64 << 10
}

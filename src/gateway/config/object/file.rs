//! The operator's file as it is written: its sections, keys and defaults.

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
    /// How many gateways serve the tenants.
    #[serde(default = "default_gateway_count", rename = "gateways")]
    pub count: usize,
    /// Which of them this one is, from 0.
    #[serde(default, rename = "number")]
    pub index: usize,
    /// File descriptors that the process may hold.
    #[serde(default = "default_descriptors", rename = "sockets")]
    pub descriptors: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectSection {
    /// The largest object or part in one request, in bytes.
    #[serde(default = "default_max_body_len", rename = "body_most")]
    pub max_body_len: u64,
    /// The longest response that is read completely before the client gets any of it, in bytes.
    #[serde(default = "default_response_buffer_len", rename = "buffer")]
    pub response_buffer_len: u64,
    /// The memory for all bodies, in bytes.
    #[serde(default = "default_body_memory", rename = "memory")]
    pub body_memory: u64,
    #[serde(default = "default_stall_timeout_ms", rename = "stall_ms")]
    pub stall_timeout_ms: u64,
    #[serde(default = "default_node_idle_timeout_ms", rename = "node_idle_ms")]
    pub node_idle_timeout_ms: u64,
    /// How many bytes the scheduler counts as one unit of work.
    #[serde(default = "default_unit_len", rename = "unit")]
    pub unit_len: u64,
    pub upload_secret_file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSection {
    pub listen: SocketAddr,
    pub token_sha256: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventorySection {
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
    /// For writes: how long the nodes of a rack recognize an idempotency key.
    #[serde(default, rename = "repeat_window_ms")]
    pub deduplication_window_ms: u64,
}

/// A service plan. Rates are units per second for one volume.
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

/// A weight or factor that changes nothing.
fn default_factor() -> f64 {
    1.0
}

/// The limit of the platform's scored days (Deployment page, "Limits").
fn default_descriptors() -> usize {
    1024
}

fn default_max_body_len() -> u64 {
    8 << 20
}

fn default_response_buffer_len() -> u64 {
    256 << 10
}

/// A request body takes up to twice its size while it is put together; all of them must stay well within the
/// 192 MB that a gateway may have (Deployment page, "Limits").
fn default_body_memory() -> u64 {
    48 << 20
}

fn default_stall_timeout_ms() -> u64 {
    1_000
}

/// As `connIdleUs` of the settings in the Wire page's example.
fn default_node_idle_timeout_ms() -> u64 {
    15_000
}

fn default_unit_len() -> u64 {
    64 << 10
}

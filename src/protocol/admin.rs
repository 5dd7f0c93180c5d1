//! Requests and JSON documents of the administration API, which is JSON over HTTP.

use serde::{Deserialize, Serialize};

/// An operation of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminOperation {
    /// Report whether the gateway is serving or stopping.
    ReportHealth,
    /// Report the gateway's counters, by name.
    ReportCounters,
    /// List all tenants.
    ListTenants,
    /// Return the definition of the tenant with this name, without its token hash.
    ShowTenant(String),
    /// Add or replace the tenant with this name; the request body contains a [`TenantDefinition`].
    PutTenant(String),
    /// Remove the tenant with this name.
    DeleteTenant(String),
    /// List all storage nodes in the inventory.
    ListNodes,
    /// Drain the storage node with this name, at this gateway only.
    DrainNode(String),
    /// End an operator's drain: the storage node with this name returns to its state in the inventory.
    ReturnNode(String),
    /// Read the inventory file again.
    ReloadInventory,
}

/// Reasons why a request matches no operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// No operation has this path.
    #[error("no such path")]
    UnknownPath,
    /// The path is known, but not with this method.
    #[error("no such method here")]
    MethodNotAllowed,
}

/// Decodes the operation from the method and path of a request.
///
/// # Errors
///
/// Returns an error if no operation has this path, or if the path does not support this method.
pub fn decode(method: &str, path: &str) -> Result<AdminOperation, AdminRequestError> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    Ok(match (method, segments.as_slice()) {
        ("GET", ["v1", "health"]) => AdminOperation::ReportHealth,
        ("GET", ["v1", "counters"]) => AdminOperation::ReportCounters,
        ("GET", ["v1", "tenants"]) => AdminOperation::ListTenants,
        ("GET", ["v1", "tenants", name]) => AdminOperation::ShowTenant(name.to_string()),
        ("PUT", ["v1", "tenants", name]) => AdminOperation::PutTenant(name.to_string()),
        ("DELETE", ["v1", "tenants", name]) => AdminOperation::DeleteTenant(name.to_string()),
        ("GET", ["v1", "nodes"]) => AdminOperation::ListNodes,
        ("POST", ["v1", "nodes", name, "drain"]) => AdminOperation::DrainNode(name.to_string()),
        ("POST", ["v1", "nodes", name, "return"]) => AdminOperation::ReturnNode(name.to_string()),
        ("POST", ["v1", "inventory", "reload"]) => AdminOperation::ReloadInventory,
        (_, segments) if is_known_path(segments) => return Err(AdminRequestError::MethodNotAllowed),
        _ => return Err(AdminRequestError::UnknownPath),
    })
}

fn is_known_path(segments: &[&str]) -> bool {
    matches!(
        segments,
        ["v1", "health" | "counters" | "tenants" | "nodes"]
            | ["v1", "tenants", _]
            | ["v1", "nodes", _, "drain" | "return"]
            | ["v1", "inventory", "reload"]
    )
}

/// The definition of a tenant, in the configuration file and in requests to the administration API.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDefinition {
    /// The tenant's name, unique among tenants. The administration API takes it from the path; in a request
    /// body it may be missing or empty, and must otherwise equal the name in the path.
    #[serde(default)]
    pub name: String,
    /// Name of the service plan that applies to each of the tenant's volumes.
    pub plan: String,
    /// Names of the tenant's volumes, which are buckets in the object API.
    pub volumes: Vec<String>,
    /// Names of the racks that store the tenant's objects; at least one.
    pub racks: Vec<String>,
    /// SHA-256 of the tenant's bearer token, as 64 hex digits. The token itself is never stored.
    pub token_sha256: String,
}

/// A tenant in responses of the administration API, without its token hash.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TenantView {
    /// The tenant's name, unique among tenants.
    pub name: String,
    /// Name of the service plan that applies to each of the tenant's volumes.
    pub plan: String,
    /// Names of the tenant's volumes, which are buckets in the object API.
    pub volumes: Vec<String>,
    /// Names of the racks that store the tenant's objects.
    pub racks: Vec<String>,
}

/// A storage node in responses of the administration API.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeView {
    /// The node's name in the inventory.
    pub name: String,
    /// IP address and port on which the node listens.
    pub address: String,
    /// Name of the node's zone, called `room` in the inventory and in the API; empty if the inventory states
    /// none.
    #[serde(rename = "room")]
    pub zone: String,
    /// Name of the node's rack.
    pub rack: String,
    /// `ready`, `draining` or `gone`, including the effect of an operator's drain.
    pub state: &'static str,
    /// Whether an operator has drained the node at this gateway, regardless of its state in the inventory.
    pub drained_here: bool,
}

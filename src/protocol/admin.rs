//! The administration API: JSON over HTTP.

use serde::{Deserialize, Serialize};

/// An operation of the administration.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminOperation {
    /// Report whether the gateway serves.
    ReportHealth,
    /// Report the counters.
    ReportCounters,
    /// List all tenants.
    ListTenants,
    /// Show the tenant with this name.
    ShowTenant(String),
    /// Add or replace the tenant with this name; its definition is in the body.
    PutTenant(String),
    /// Remove the tenant with this name.
    DeleteTenant(String),
    /// List all storage nodes.
    ListNodes,
    /// Drain the storage node with this name.
    DrainNode(String),
    /// Return the storage node with this name to the state that the inventory states.
    ReturnNode(String),
    /// Reload the inventory.
    ReloadInventory,
}

/// Why a request names no operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// No operation has this path.
    #[error("no such path")]
    UnknownPath,
    /// Operations have this path, but none of them this method.
    #[error("no such method here")]
    MethodNotAllowed,
}

/// Decodes the operation from method and path.
///
/// # Errors
///
/// Returns an error if no operation has this path, or none with this path has this method.
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

/// A tenant as an operator defines it, in the configuration and in requests to the administration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDefinition {
    /// Its name; the administration takes it from the path.
    #[serde(default)]
    pub name: String,
    /// The plan of its volumes.
    pub plan: String,
    /// Its volumes: the buckets of the object API.
    pub volumes: Vec<String>,
    /// The racks that hold its objects.
    pub racks: Vec<String>,
    /// The SHA-256 of its token, in hex. The token itself is never stored.
    pub token_sha256: String,
}

/// A tenant as the administration shows it, without its token.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TenantView {
    /// Its name.
    pub name: String,
    /// The plan of its volumes.
    pub plan: String,
    /// Its volumes.
    pub volumes: Vec<String>,
    /// The racks that hold its objects.
    pub racks: Vec<String>,
}

/// A storage node as the administration shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    #[serde(rename = "room")]
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Whether an operator has drained it at this gateway.
    pub drained_here: bool,
}

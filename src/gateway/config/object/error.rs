//! Errors in the operator's configuration file.

use crate::gateway::inventory::InventoryReadError;
use crate::gateway::tenants::TenantError;
use crate::protocol::object::UploadKey;
use std::io;

/// Faults in the operator's configuration file, or in a file that it references. Messages use the names of
/// the sections and keys in the file.
#[derive(Debug, thiserror::Error)]
pub enum ObjectConfigError {
    /// The file is not TOML, or has missing, unknown or malformed keys.
    #[error("line {line}: {message}")]
    Toml {
        /// Line number, from 1.
        line: usize,
        /// Message of the TOML parser, with line breaks replaced by spaces.
        message: String,
    },
    /// The administration API would be reachable from other machines: its address is not a loopback address.
    #[error("admin.listen must be a loopback address")]
    AdminNotLoopback,
    /// The hash of the administration API's token is malformed.
    #[error("admin.token_sha256 must be 64 hex digits")]
    InvalidAdminTokenHash,
    /// A limit or timeout in the section `[object]` is zero.
    #[error("the limits and timeouts in [object] must be above 0")]
    ZeroObjectLimit,
    /// The memory for bodies is too small for the longest allowed body, which would always be rejected.
    #[error("object.memory is too small for one body")]
    BodyMemoryTooSmall,
    /// The latency objective of a class is zero or not below the deadline, or the deadline is above one hour.
    #[error("a class needs 0 < aim_ms < deadline_ms <= 3600000")]
    InvalidClassTimes,
    /// The priority weight of a class is negative or not finite.
    #[error("the worth of a class must be a finite number, 0 or above")]
    InvalidClassWeight,
    /// A rate, weight or factor of a plan is negative or not finite.
    #[error("a plan's figures must be 0 or above")]
    InvalidPlan,
    /// One of two faults: the file defines no plan, or this gateway's number is not below the number of
    /// gateways.
    #[error("there must be at least one plan, and gateway.number must be below gateway.gateways")]
    NoPlanOrInvalidGatewayNumber,
    /// The file that contains the upload secret cannot be read.
    #[error("{path}: {source}")]
    UploadSecretUnreadable {
        /// Path of the secret file.
        path: String,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The upload secret is shorter than [`UploadKey::MIN_SECRET_LEN`].
    #[error("the upload secret must have at least {} bytes", UploadKey::MIN_SECRET_LEN)]
    UploadSecretTooShort,
    /// The inventory file cannot be read or is invalid.
    #[error(transparent)]
    Inventory(#[from] InventoryReadError),
    /// The definition of a tenant is invalid, or the file contains two tenants with the same name.
    #[error(transparent)]
    Tenant(#[from] TenantError),
}

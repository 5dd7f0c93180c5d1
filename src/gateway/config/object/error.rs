//! What can be wrong with an operator's file.

use crate::gateway::inventory::InventoryReadError;
use crate::gateway::tenants::TenantError;
use crate::protocol::object::UploadKey;
use std::io;

/// What is wrong with an operator's file. Messages name sections and keys as the file has them.
#[derive(Debug, thiserror::Error)]
pub enum ObjectConfigError {
    /// The file is not TOML of the expected form.
    #[error("line {line}: {message}")]
    Toml {
        /// The line, from 1.
        line: usize,
        /// The parser's message, in one line.
        message: String,
    },
    /// The administration API would be reachable from other machines.
    #[error("admin.listen must be a loopback address")]
    AdminNotLoopback,
    /// The hash of the administration's token is malformed.
    #[error("admin.token_sha256 must be 64 hex digits")]
    InvalidAdminTokenHash,
    /// A limit or time of `[object]` is zero.
    #[error("the figures of [object] must be above 0")]
    ZeroObjectLimit,
    /// A body that could never get its memory would be rejected for ever.
    #[error("object.memory is too small for one body")]
    BodyMemoryTooSmall,
    /// The times of a class are out of order or out of range.
    #[error("a class needs 0 < aim_ms < deadline_ms <= 3600000")]
    InvalidClassTimes,
    /// The priority weight of a class is negative or not a number.
    #[error("a class's worth must be 0 or above")]
    InvalidClassWeight,
    /// A rate or factor of a plan is negative or not a number.
    #[error("a plan's figures must be 0 or above")]
    InvalidPlan,
    /// There is no plan, or this gateway's number is not among the gateways.
    #[error("there must be a plan, and gateway.number below gateway.gateways")]
    NoPlanOrInvalidGatewayNumber,
    /// The file with the upload secret cannot be read.
    #[error("{path}: {source}")]
    UploadSecretUnreadable {
        /// The file's path.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The upload secret is too short to sign with.
    #[error("the upload secret needs {} bytes or more", UploadKey::MIN_SECRET_LEN)]
    UploadSecretTooShort,
    /// The inventory cannot be read or is malformed.
    #[error(transparent)]
    Inventory(#[from] InventoryReadError),
    /// A tenant's definition is invalid.
    #[error(transparent)]
    Tenant(#[from] TenantError),
}

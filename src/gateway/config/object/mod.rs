//! Reads and validates the operator's configuration file, which configures the object API and the
//! administration API.

mod error;
mod file;
mod settings;

pub use error::ObjectConfigError;

use super::ConfigError;
use crate::gateway::inventory;
use crate::gateway::object_limits::{BODY_MEMORY_OVERHEAD, ObjectLimits};
use crate::gateway::tenants::{TenantRegistry, TokenHash};
use crate::protocol::inventory::InventoryNode;
use crate::protocol::object::UploadKey;
use crate::scheduler::SchedulerSettings;
use file::{
    AdminSection, ClassSection, ClassesSection, GatewaySection, ObjectConfigFile, ObjectSection, PlanSection,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum deadline of a class, in milliseconds: one hour. The gateway defines this limit, not the platform.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The configuration of an object gateway.
pub struct ObjectGatewayConfig {
    /// Address on which the object API listens.
    pub listen: SocketAddr,
    /// Address on which the administration API listens; a loopback address.
    pub admin_listen: SocketAddr,
    /// Hash of the bearer token that the administration API requires.
    pub admin_token_hash: TokenHash,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: usize,
    /// Maximum memory that all concurrent requests together reserve for bodies, in bytes.
    pub body_memory: u64,
    /// Time after which a storage node closes an idle connection.
    pub node_idle_timeout: Duration,
    /// Limits of the object front end.
    pub limits: ObjectLimits,
    /// Key that signs upload ids; the same at all gateways.
    pub upload_key: UploadKey,
    /// The inventory file and the storage nodes that it contained at startup.
    pub inventory: InventorySource,
    /// The tenants that the file defines.
    pub tenants: TenantRegistry,
    /// Settings of the scheduler: the classes and plans in the file, and constants that the file does not
    /// contain.
    pub settings: SchedulerSettings,
}

/// An inventory file and its content at startup.
pub struct InventorySource {
    /// Path of the inventory file, which is read again on each reload.
    pub file: PathBuf,
    /// The storage nodes in the file at startup.
    pub nodes: Vec<InventoryNode>,
}

impl ObjectGatewayConfig {
    /// Reads the configuration file, and the secret file and the inventory file that it references.
    ///
    /// # Errors
    ///
    /// Returns an error if any of the files cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<ObjectGatewayConfig, ConfigError> {
        let path_text = path.display().to_string();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path: path_text, source }),
        };
        let config_dir = path.parent().unwrap_or(Path::new("."));
        ObjectGatewayConfig::decode(&text, config_dir)
            .map_err(|source| ConfigError::InvalidObjectConfig { path: path_text, source })
    }

    fn decode(text: &str, config_dir: &Path) -> Result<ObjectGatewayConfig, ObjectConfigError> {
        let file = parse(text)?;
        let admin_token_hash = validate_admin(&file.admin)?;
        validate_object(&file.object)?;
        validate_classes(&file.classes)?;
        validate_plans(&file.plans)?;
        validate_gateway(&file.gateway, &file.plans)?;
        let upload_key = read_upload_key(&config_dir.join(&file.object.upload_secret_file))?;
        let inventory = read_inventory(config_dir.join(&file.inventory.file))?;
        let plan_names = file.plans.iter().map(|plan| plan.name.clone()).collect();
        Ok(ObjectGatewayConfig {
            listen: file.gateway.listen,
            admin_listen: file.admin.listen,
            admin_token_hash,
            descriptors: file.gateway.descriptors,
            body_memory: file.object.body_memory,
            node_idle_timeout: Duration::from_millis(file.object.node_idle_timeout_ms),
            limits: object_limits(&file),
            upload_key,
            inventory,
            settings: settings::scheduler_settings(&file),
            tenants: TenantRegistry::new(plan_names, file.tenants)?,
        })
    }
}

fn parse(text: &str) -> Result<ObjectConfigFile, ObjectConfigError> {
    toml::from_str(text).map_err(|error| {
        // Errors are logged in one line, so the parser's excerpt of the file is omitted.
        let start = error.span().map_or(0, |span| span.start);
        ObjectConfigError::Toml {
            line: text[..start].matches('\n').count() + 1,
            message: error.message().replace('\n', " "),
        }
    })
}

/// Validates the section of the administration API and returns the hash of the API's token. The API must
/// listen on a loopback address.
fn validate_admin(admin: &AdminSection) -> Result<TokenHash, ObjectConfigError> {
    if !admin.listen.ip().is_loopback() {
        return Err(ObjectConfigError::AdminNotLoopback);
    }
    TokenHash::parse(&admin.token_sha256).ok_or(ObjectConfigError::InvalidAdminTokenHash)
}

fn validate_object(object: &ObjectSection) -> Result<(), ObjectConfigError> {
    let must_be_positive = [
        object.max_body_len,
        object.response_buffer_len,
        object.unit_len,
        object.stall_timeout_ms,
        object.node_idle_timeout_ms,
    ];
    if must_be_positive.contains(&0) {
        return Err(ObjectConfigError::ZeroObjectLimit);
    }
    let longest_body = object.max_body_len.max(object.response_buffer_len);
    if object.body_memory < longest_body + BODY_MEMORY_OVERHEAD {
        return Err(ObjectConfigError::BodyMemoryTooSmall);
    }
    Ok(())
}

fn validate_classes(classes: &ClassesSection) -> Result<(), ObjectConfigError> {
    let classes = [&classes.read, &classes.write];
    if !classes.into_iter().all(has_valid_times) {
        return Err(ObjectConfigError::InvalidClassTimes);
    }
    if !classes.into_iter().all(|class| is_finite_and_not_negative(class.priority_weight)) {
        return Err(ObjectConfigError::InvalidClassWeight);
    }
    Ok(())
}

fn has_valid_times(class: &ClassSection) -> bool {
    let objective_ms = class.latency_objective_ms;
    objective_ms > 0 && objective_ms < class.deadline_ms && class.deadline_ms <= MAX_DEADLINE_MS
}

fn validate_plans(plans: &[PlanSection]) -> Result<(), ObjectConfigError> {
    let is_valid = |plan: &PlanSection| {
        [plan.provisioned_rate, plan.reserved_rate, plan.weight, plan.priority_factor]
            .into_iter()
            .all(is_finite_and_not_negative)
    };
    if plans.iter().all(is_valid) { Ok(()) } else { Err(ObjectConfigError::InvalidPlan) }
}

fn is_finite_and_not_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// Checks that the file defines a plan, and that this gateway's number is below the number of gateways.
fn validate_gateway(gateway: &GatewaySection, plans: &[PlanSection]) -> Result<(), ObjectConfigError> {
    // The second condition also rejects a gateway count of 0.
    if plans.is_empty() || gateway.index >= gateway.count {
        return Err(ObjectConfigError::NoPlanOrInvalidGatewayNumber);
    }
    Ok(())
}

fn read_upload_key(path: &Path) -> Result<UploadKey, ObjectConfigError> {
    let secret = std::fs::read(path).map_err(|source| ObjectConfigError::UploadSecretUnreadable {
        path: path.display().to_string(),
        source,
    })?;
    UploadKey::new(secret.trim_ascii()).ok_or(ObjectConfigError::UploadSecretTooShort)
}

fn read_inventory(file: PathBuf) -> Result<InventorySource, ObjectConfigError> {
    let nodes = inventory::read(&file)?;
    Ok(InventorySource { file, nodes })
}

fn object_limits(file: &ObjectConfigFile) -> ObjectLimits {
    let deadline_us = |class: &ClassSection| class.deadline_ms * 1_000;
    ObjectLimits {
        max_body_len: file.object.max_body_len,
        response_buffer_len: file.object.response_buffer_len,
        stall_timeout: Duration::from_millis(file.object.stall_timeout_ms),
        unit_len: file.object.unit_len,
        max_units: settings::MAX_REQUEST_UNITS,
        gateway_count: file.gateway.count,
        read_deadline_us: deadline_us(&file.classes.read),
        write_deadline_us: deadline_us(&file.classes.write),
    }
}

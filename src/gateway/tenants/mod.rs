//! The tenants of the object API: their plans, volumes, racks and tokens.

use super::hashing::{HASH_LEN, hash_fields};
use crate::protocol::admin::{TenantDefinition, TenantView};
use crate::protocol::inventory::is_plain_name;
use crate::protocol::object::is_valid_bucket_name;
use crate::scheduler::PlanIndex;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Volume names that would hide a path of the gateway's own.
const RESERVED_VOLUME_NAMES: [&str; 1] = ["health"];

/// The longest name of a tenant, in bytes; [`TenantFault::InvalidName`] states it too.
const MAX_NAME_LEN: usize = 40;

/// The hash that is stored of a token, in place of the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHash([u8; HASH_LEN]);

impl TokenHash {
    /// The hash of a token. Tokens are long and random, so a plain hash suffices: there is nothing to guess.
    pub fn of(token: &str) -> Self {
        TokenHash(Sha256::digest(token.as_bytes()).into())
    }

    /// Parses a hash of 64 hex digits; none if the text is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        if !text.is_ascii() || text.len() != 2 * HASH_LEN {
            return None;
        }
        let bytes = (0..HASH_LEN).map(|index| u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok());
        let bytes = bytes.collect::<Option<Vec<u8>>>()?;
        bytes.try_into().ok().map(TokenHash)
    }
}

/// Why a tenant is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// The configuration defines it twice.
    #[error("tenant '{0}' is there twice")]
    Duplicate(String),
    /// Its definition is invalid.
    #[error("tenant '{tenant}': {fault}")]
    Invalid {
        /// The tenant's name.
        tenant: String,
        /// What is wrong.
        fault: TenantFault,
    },
}

/// What is wrong with a tenant's definition.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantFault {
    /// The tenant's name is invalid.
    #[error("a name is 1 to 40 lower-case letters, digits or hyphens")]
    InvalidName,
    /// No plan has this name.
    #[error("unknown plan '{0}'")]
    UnknownPlan(String),
    /// The name of a volume is invalid.
    #[error("'{0}' is not allowed as a volume's name")]
    InvalidVolumeName(String),
    /// There is no rack, or one has an invalid name.
    #[error("racks must name one rack or more")]
    InvalidRacks,
    /// The token's hash cannot be parsed.
    #[error("token_sha256 must be 64 hex digits")]
    InvalidTokenHash,
    /// The token identifies another tenant.
    #[error("another tenant has the same token")]
    TokenInUse,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its plan.
    pub plan: PlanIndex,
    /// Its volumes: the buckets of the object API.
    pub volumes: Vec<String>,
    /// The racks that hold its objects.
    pub racks: Vec<String>,
    token_hash: TokenHash,
}

impl Tenant {
    /// The rack that holds an object, by rendezvous hashing: the tenant's rack with the highest hash of rack
    /// and object. Every gateway finds the same rack, and when a rack is removed only its own objects
    /// migrate.
    pub fn rack(&self, bucket: &str, key: &str) -> Option<&String> {
        self.racks.iter().max_by_key(|rack| hash_fields(&[rack.as_str(), &self.name, bucket, key]))
    }
}

/// The tenants, by name. Clones share one registry.
#[derive(Clone)]
pub struct TenantRegistry {
    plans: Rc<Vec<String>>,
    tenants: Rc<RefCell<BTreeMap<String, Rc<Tenant>>>>,
}

impl TenantRegistry {
    /// The tenants of a configuration, and the names of the plans, in the order of their numbers.
    ///
    /// # Errors
    ///
    /// Returns an error if a definition is invalid, or a tenant is defined twice.
    pub fn new(plans: Vec<String>, definitions: Vec<TenantDefinition>) -> Result<Self, TenantError> {
        let registry = TenantRegistry { plans: Rc::new(plans), tenants: Rc::default() };
        for definition in definitions {
            if registry.tenants.borrow().contains_key(&definition.name) {
                return Err(TenantError::Duplicate(definition.name));
            }
            registry.put(definition)?;
        }
        Ok(registry)
    }

    /// Adds or replaces a tenant.
    ///
    /// # Errors
    ///
    /// Returns an error if the definition is invalid; then nothing changes.
    pub fn put(&self, definition: TenantDefinition) -> Result<(), TenantError> {
        let name = definition.name.clone();
        let tenant = self
            .validate(definition)
            .map_err(|fault| TenantError::Invalid { tenant: name.clone(), fault })?;
        self.tenants.borrow_mut().insert(name, Rc::new(tenant));
        Ok(())
    }

    fn validate(&self, definition: TenantDefinition) -> Result<Tenant, TenantFault> {
        let TenantDefinition { name, plan, volumes, racks, token_sha256 } = definition;
        if !is_tenant_name(&name) {
            return Err(TenantFault::InvalidName);
        }
        let Some(plan) = self.plans.iter().position(|known| *known == plan) else {
            return Err(TenantFault::UnknownPlan(plan));
        };
        if let Some(volume) = volumes.iter().find(|volume| !is_volume_name(volume)) {
            return Err(TenantFault::InvalidVolumeName(volume.clone()));
        }
        if racks.is_empty() || !racks.iter().all(|rack| is_plain_name(rack)) {
            return Err(TenantFault::InvalidRacks);
        }
        let token_hash = TokenHash::parse(&token_sha256).ok_or(TenantFault::InvalidTokenHash)?;
        if self.tenants.borrow().values().any(|other| other.token_hash == token_hash && other.name != name) {
            return Err(TenantFault::TokenInUse);
        }
        Ok(Tenant { name, plan: PlanIndex(plan), volumes, racks, token_hash })
    }

    /// Removes a tenant; returns whether it existed.
    pub fn remove(&self, name: &str) -> bool {
        self.tenants.borrow_mut().remove(name).is_some()
    }

    /// The tenant with this token. Hashes are compared, so the time taken reveals nothing of a token.
    pub fn with_token(&self, token: &str) -> Option<Rc<Tenant>> {
        let token_hash = TokenHash::of(token);
        self.tenants.borrow().values().find(|tenant| tenant.token_hash == token_hash).cloned()
    }

    /// The tenants as the administration API shows them.
    pub fn views(&self) -> Vec<TenantView> {
        let view = |tenant: &Rc<Tenant>| TenantView {
            name: tenant.name.clone(),
            plan: self.plans[tenant.plan.0].clone(),
            volumes: tenant.volumes.clone(),
            racks: tenant.racks.clone(),
        };
        self.tenants.borrow().values().map(view).collect()
    }
}

fn is_tenant_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_LEN).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_volume_name(name: &str) -> bool {
    is_valid_bucket_name(name) && !RESERVED_VOLUME_NAMES.contains(&name)
}

#[cfg(test)]
mod tests;

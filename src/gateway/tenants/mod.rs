//! The tenants of the object API: validates their definitions, identifies tenants by their tokens, and
//! assigns objects to racks.

use super::hashing::{HASH_LEN, hash_fields};
use crate::protocol::admin::{TenantDefinition, TenantView};
use crate::protocol::inventory::is_plain_name;
use crate::protocol::object::is_valid_bucket_name;
use crate::scheduler::PlanIndex;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Names that a volume must not have, because its path would conflict with a path of the gateway itself.
const RESERVED_VOLUME_NAMES: [&str; 1] = ["health"];

/// Maximum length of a tenant's name, in bytes. The message of [`TenantFault::InvalidName`] contains the same
/// number.
const MAX_NAME_LEN: usize = 40;

/// The SHA-256 hash of a bearer token. Tokens are stored only in this form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHash([u8; HASH_LEN]);

impl TokenHash {
    /// Returns the hash of `token`. A plain hash is sufficient because tokens are long and random, and
    /// therefore cannot be guessed.
    pub fn of(token: &str) -> Self {
        TokenHash(Sha256::digest(token.as_bytes()).into())
    }

    /// Parses a hash of 64 hex digits; returns `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        if !text.is_ascii() || text.len() != 2 * HASH_LEN {
            return None;
        }
        let bytes = (0..HASH_LEN).map(|index| u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok());
        let bytes = bytes.collect::<Option<Vec<u8>>>()?;
        bytes.try_into().ok().map(TokenHash)
    }
}

/// Reasons why a tenant is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// The configuration file defines two tenants with this name.
    #[error("tenant '{0}' is there twice")]
    Duplicate(String),
    /// The definition of the tenant is invalid.
    #[error("tenant '{tenant}': {fault}")]
    Invalid {
        /// Name of the tenant, possibly invalid itself.
        tenant: String,
        /// The fault in the definition.
        fault: TenantFault,
    },
}

/// Faults in the definition of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantFault {
    /// The name is empty, is longer than 40 bytes or contains a character that is not allowed.
    #[error("a name is 1 to 40 lower-case letters, digits or hyphens")]
    InvalidName,
    /// The configuration defines no service plan with this name.
    #[error("unknown plan '{0}'")]
    UnknownPlan(String),
    /// This volume name is not a valid bucket name, or is reserved.
    #[error("'{0}' is not allowed as a volume's name")]
    InvalidVolumeName(String),
    /// The definition contains no rack, or a rack with an invalid name.
    #[error("racks must name one rack or more")]
    InvalidRacks,
    /// The token's hash does not consist of 64 hex digits.
    #[error("token_sha256 must be 64 hex digits")]
    InvalidTokenHash,
    /// Another tenant already has this token, so the token would not identify one tenant.
    #[error("another tenant has the same token")]
    TokenInUse,
}

/// A tenant whose definition is valid.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's name, unique among tenants.
    pub name: String,
    /// The service plan that applies to each of the tenant's volumes.
    pub plan: PlanIndex,
    /// Names of the tenant's volumes, which are buckets in the object API.
    pub volumes: Vec<String>,
    /// Names of the racks that store the tenant's objects; at least one.
    pub racks: Vec<String>,
    token_hash: TokenHash,
}

impl Tenant {
    /// Returns the rack that stores an object. Never returns `None` for a validated tenant, which has at
    /// least one rack.
    ///
    /// The rack is selected by rendezvous hashing: it is the one for which the hash of rack, tenant, bucket
    /// and key is highest. All gateways select the same rack. If a rack is removed, only objects that were
    /// assigned to it are assigned to another rack; the gateway does not move their data.
    pub fn rack_for_object(&self, bucket: &str, key: &str) -> Option<&String> {
        self.racks.iter().max_by_key(|rack| hash_fields(&[rack.as_str(), &self.name, bucket, key]))
    }
}

/// The tenants, by name, and the names of the service plans. Clones share one registry.
#[derive(Clone)]
pub struct TenantRegistry {
    plans: Rc<Vec<String>>,
    tenants: Rc<RefCell<BTreeMap<String, Rc<Tenant>>>>,
}

impl TenantRegistry {
    /// Creates a registry with the tenants in `definitions`. `plans` are the names of the service plans,
    /// ordered by plan index.
    ///
    /// # Errors
    ///
    /// Returns an error if a definition is invalid, or if two tenants have the same name.
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

    /// Validates a definition, and adds the tenant or replaces the tenant with the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if the definition is invalid. The registry is not changed in this case.
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

    /// Removes the tenant with this name; returns whether it existed.
    pub fn remove(&self, name: &str) -> bool {
        self.tenants.borrow_mut().remove(name).is_some()
    }

    /// Returns the tenant with this token. Compares hashes instead of tokens, so that the duration of the
    /// comparison reveals nothing about the tokens.
    pub fn find_by_token(&self, token: &str) -> Option<Rc<Tenant>> {
        let token_hash = TokenHash::of(token);
        self.tenants.borrow().values().find(|tenant| tenant.token_hash == token_hash).cloned()
    }

    /// Returns all tenants, ordered by name, in the form for responses of the administration API.
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

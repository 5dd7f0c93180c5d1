//! Validates inventories, independently of their file format.

use super::{Field, InventoryFault, InventoryNode, Row};
use crate::protocol::endpoint_list::MAX_START_MS;
use crate::scheduler::EndpointState;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 64;

/// Returns whether a name needs no escaping in paths, ids and log lines: it has 1 to 64 characters, all of
/// them ASCII letters, digits, `-`, `_` or `.`.
pub fn is_plain_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_LEN).contains(&name.len()) && name.bytes().all(is_plain)
}

/// Validates the rows of an inventory file.
///
/// # Errors
///
/// Returns the faults of all invalid nodes, or a single fault if the file contains no node.
pub fn validate(rows: Vec<Row>) -> Result<Vec<InventoryNode>, Vec<InventoryFault>> {
    let mut validator = Validator::default();
    if rows.is_empty() {
        validator.faults.push(InventoryFault::new(1, "hosts", "the inventory names no host"));
    }
    let nodes = rows.iter().filter_map(|row| validator.validate_node(row)).collect();
    if validator.faults.is_empty() { Ok(nodes) } else { Err(validator.faults) }
}

/// The names and addresses of the rows validated so far, and the faults found in them.
#[derive(Default)]
struct Validator {
    names: BTreeSet<String>,
    addresses: BTreeSet<SocketAddr>,
    faults: Vec<InventoryFault>,
}

impl Validator {
    /// Validates one node and records its faults; returns `None` if there are any. Checks all fields even
    /// after a fault, so that the operator sees all faults at once.
    fn validate_node(&mut self, row: &Row) -> Option<InventoryNode> {
        let name = self.validate_name(row);
        let name = self.record_fault(name);
        let address = self.validate_address(row);
        let address = self.record_fault(address);
        let rack = self.record_fault(validate_rack(row));
        let state = self.record_fault(validate_state(row));
        let started_at_us = self.record_fault(validate_start(row));
        Some(InventoryNode {
            name: name?,
            address: address?,
            zone: field(row, "room").value,
            rack: rack?,
            state: state?,
            started_at_us: started_at_us?,
        })
    }

    fn record_fault<T>(&mut self, result: Result<T, InventoryFault>) -> Option<T> {
        result.map_err(|fault| self.faults.push(fault)).ok()
    }

    fn validate_name(&mut self, row: &Row) -> Result<String, InventoryFault> {
        let name = &row.name;
        if !is_plain_name(name) {
            return Err(InventoryFault::new(row.line, "name", format!("'{name}' is not a plain name")));
        }
        if !self.names.insert(name.clone()) {
            return Err(InventoryFault::new(row.line, "name", format!("'{name}' is there twice")));
        }
        Ok(name.clone())
    }

    fn validate_address(&mut self, row: &Row) -> Result<SocketAddr, InventoryFault> {
        let Field { value, line } = field(row, "address");
        let Some(address) = value.parse::<SocketAddr>().ok().filter(|address| address.port() != 0) else {
            let message = format!("'{value}' is not an IP address and port");
            return Err(InventoryFault::new(line, "address", message));
        };
        if !self.addresses.insert(address) {
            return Err(InventoryFault::new(line, "address", format!("'{address}' is there twice")));
        }
        Ok(address)
    }
}

fn validate_rack(row: &Row) -> Result<String, InventoryFault> {
    let Field { value: rack, line } = field(row, "rack");
    if !is_plain_name(&rack) {
        return Err(InventoryFault::new(line, "rack", format!("'{rack}' is not a plain name")));
    }
    Ok(rack)
}

fn validate_state(row: &Row) -> Result<EndpointState, InventoryFault> {
    let Field { value, line } = field(row, "state");
    match value.as_str() {
        "" | "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Removed),
        other => {
            let message = format!("'{other}' is not ready, draining or gone");
            Err(InventoryFault::new(line, "state", message))
        }
    }
}

/// Returns when the node's process last started, in Unix time in microseconds; `None` if the file states no
/// time or 0.
fn validate_start(row: &Row) -> Result<Option<u64>, InventoryFault> {
    let Field { value, line } = field(row, "since_ms");
    if value.is_empty() {
        return Ok(None);
    }
    match value.parse::<u64>() {
        Ok(since_ms) if since_ms <= MAX_START_MS => Ok((since_ms > 0).then_some(since_ms * 1_000)),
        // The value is not a number, or exceeds `MAX_START_MS`.
        _ => {
            let message = format!("'{value}' is not a time in milliseconds");
            Err(InventoryFault::new(line, "since_ms", message))
        }
    }
}

/// Returns the field with this name, or an empty field at the row's line if the row has no such field.
fn field(row: &Row, name: &str) -> Field {
    let missing = || Field { value: String::new(), line: row.line };
    row.fields.get(name).cloned().unwrap_or_else(missing)
}

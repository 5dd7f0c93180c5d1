//! Decodes and validates the operator's inventory of storage nodes.
//!
//! An inventory file is in one of the formats that configuration tools write: CSV with one row for each node,
//! or an Ansible inventory in YAML, with groups that have hosts, vars and children. One fault invalidates the
//! complete file.

mod csv;
mod validation;
mod yaml;

#[cfg(test)]
mod tests;

pub use validation::is_plain_name;

use crate::scheduler::EndpointState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// The format of an inventory file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Comma-separated values with a header row, in files with the extension `csv`.
    Csv,
    /// An Ansible inventory in YAML, in files with the extension `yaml` or `yml`.
    Yaml,
}

impl Format {
    /// Returns the format for the file's extension; `None` if the extension is missing or unknown.
    pub fn from_path(path: &Path) -> Option<Format> {
        match path.extension()?.to_str()? {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// A fault in an inventory file. The administration API returns it as JSON, with these fields.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize)]
#[error("line {line}, {field}: {message}")]
pub struct InventoryFault {
    /// Line number, from 1.
    pub line: usize,
    /// Name of the column, variable or group with the fault; `row` (CSV) or `document` (YAML) if the file
    /// cannot be parsed at this line.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl InventoryFault {
    fn new(line: usize, field: &str, message: impl Into<String>) -> InventoryFault {
        InventoryFault { line, field: field.into(), message: message.into() }
    }
}

/// A storage node in a valid inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryNode {
    /// The node's name: unique in the inventory, and valid according to [`is_plain_name`].
    pub name: String,
    /// IP address and port on which the node listens; unique in the inventory.
    pub address: SocketAddr,
    /// Name of the node's zone, called `room` in the file; empty if the file states none.
    pub zone: String,
    /// Name of the node's rack. All nodes of a rack store the same data.
    pub rack: String,
    /// Whether the node is in service (the default), draining or removed.
    pub state: EndpointState,
    /// When the node's process last started, in Unix time in microseconds; `None` if the file states no time
    /// or 0.
    pub started_at_us: Option<u64>,
}

/// A storage node before validation: its name, its line in the file and its fields.
#[derive(Clone, Default)]
struct Row {
    name: String,
    line: usize,
    fields: Fields,
}

/// The fields of a storage node, by column or variable name.
type Fields = BTreeMap<String, Field>;

#[derive(Clone, Default)]
struct Field {
    value: String,
    line: usize,
}

/// Decodes and validates the text of an inventory file.
///
/// # Errors
///
/// Returns the faults of the file if it is malformed or any of its nodes is invalid. The faults of all
/// invalid nodes are returned together.
pub fn decode(text: &str, format: Format) -> Result<Vec<InventoryNode>, Vec<InventoryFault>> {
    let rows = match format {
        Format::Csv => csv::decode_rows(text)?,
        Format::Yaml => yaml::decode_rows(text).map_err(|fault| vec![fault])?,
    };
    validation::validate(rows)
}

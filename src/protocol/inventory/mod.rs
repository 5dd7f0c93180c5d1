//! The inventory of storage nodes, in the forms in which configuration tools keep it: CSV with a row for each
//! node, or YAML with Ansible's groups of hosts, vars and children. A file is valid as a whole or not at all.

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
    /// Comma-separated values with a header row.
    Csv,
    /// An Ansible inventory.
    Yaml,
}

impl Format {
    /// The format that the file's extension stands for.
    pub fn from_path(path: &Path) -> Option<Format> {
        match path.extension()?.to_str()? {
            "csv" => Some(Format::Csv),
            "yaml" | "yml" => Some(Format::Yaml),
            _ => None,
        }
    }
}

/// One fault of an inventory file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize)]
#[error("line {line}, {field}: {message}")]
pub struct InventoryFault {
    /// The line, from 1.
    pub line: usize,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl InventoryFault {
    fn new(line: usize, field: &str, message: impl Into<String>) -> InventoryFault {
        InventoryFault { line, field: field.into(), message: message.into() }
    }
}

/// A storage node as the inventory describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryNode {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, which the file calls `room`; empty if it states none.
    pub zone: String,
    /// Its rack; all nodes of a rack store the same data.
    pub rack: String,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// When its process last started, in Unix time and microseconds, if that was not long ago.
    pub started_at_us: Option<u64>,
}

/// A node before validation: where the file names it, and its fields.
#[derive(Clone, Default)]
struct Row {
    name: String,
    line: usize,
    fields: Fields,
}

/// The fields of a node by name.
type Fields = BTreeMap<String, Field>;

#[derive(Clone, Default)]
struct Field {
    value: String,
    line: usize,
}

/// Decodes and validates a file.
///
/// # Errors
///
/// Returns an error if the file is malformed, or its nodes are not valid: then all their faults are listed.
pub fn decode(text: &str, format: Format) -> Result<Vec<InventoryNode>, Vec<InventoryFault>> {
    let rows = match format {
        Format::Csv => csv::decode_rows(text)?,
        Format::Yaml => yaml::decode_rows(text).map_err(|error| vec![error])?,
    };
    validation::validate(rows)
}

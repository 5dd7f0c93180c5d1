//! Reads the inventory file.

use crate::protocol::inventory::{self, Format, InventoryFault, InventoryNode};
use std::path::Path;

/// Reasons why an inventory file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryReadError {
    /// The extension of the file is not `csv`, `yaml` or `yml`.
    #[error("{path}: the name must end in .csv, .yaml or .yml")]
    UnknownFormat {
        /// Path of the inventory file.
        path: String,
    },
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the inventory file.
        path: String,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {places}", places = join_faults(.faults))]
    Invalid {
        /// Path of the inventory file.
        path: String,
        /// All faults in the file.
        faults: Vec<InventoryFault>,
    },
}

fn join_faults(faults: &[InventoryFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Reads and validates an inventory file, whose format follows from its extension.
///
/// # Errors
///
/// Returns an error if the extension is unknown, the file cannot be read, or any part of it is invalid.
pub fn read(path: &Path) -> Result<Vec<InventoryNode>, InventoryReadError> {
    let name = path.display().to_string();
    let Some(format) = Format::from_path(path) else {
        return Err(InventoryReadError::UnknownFormat { path: name });
    };
    match std::fs::read_to_string(path) {
        Ok(text) => inventory::decode(&text, format)
            .map_err(|faults| InventoryReadError::Invalid { path: name, faults }),
        Err(source) => Err(InventoryReadError::Unreadable { path: name, source }),
    }
}

//! The inventory file.

use crate::protocol::inventory::{self, Format, InventoryFault, InventoryNode};
use std::path::Path;

/// Why an inventory file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryReadError {
    /// The file's name says neither CSV nor YAML.
    #[error("{path}: the name must end in .csv, .yaml or .yml")]
    UnknownFormat {
        /// The file.
        path: String,
    },
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's content is invalid.
    #[error("{path}: {places}", places = join_errors(.errors))]
    Invalid {
        /// The file.
        path: String,
        /// Every place that is invalid.
        errors: Vec<InventoryFault>,
    },
}

fn join_errors(errors: &[InventoryFault]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Reads an inventory file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or any part of it is invalid.
pub fn read(path: &Path) -> Result<Vec<InventoryNode>, InventoryReadError> {
    let name = path.display().to_string();
    let Some(format) = Format::from_path(path) else {
        return Err(InventoryReadError::UnknownFormat { path: name });
    };
    match std::fs::read_to_string(path) {
        Ok(text) => inventory::decode(&text, format)
            .map_err(|errors| InventoryReadError::Invalid { path: name, errors }),
        Err(source) => Err(InventoryReadError::Unreadable { path: name, source }),
    }
}

//! Configuration files, and what can be wrong with them.

pub mod object;
pub mod platform;

use object::ObjectConfigError;
use platform::PlatformConfigError;

/// Why a configuration was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Nothing says where the platform's configuration is.
    #[error("no configuration: GW_CONFIG is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The platform's configuration is invalid.
    #[error("configuration {path}: {source}")]
    InvalidPlatformConfig {
        /// The file's path.
        path: String,
        /// What is wrong.
        source: PlatformConfigError,
    },
    /// The operator's configuration is invalid.
    #[error("configuration {path}: {source}")]
    InvalidObjectConfig {
        /// The file's path.
        path: String,
        /// What is wrong.
        source: ObjectConfigError,
    },
}

//! Reads and validates the configuration files of both kinds of gateway.

pub mod object;
pub mod platform;

use object::ObjectConfigError;
use platform::PlatformConfigError;

/// Reasons why a configuration cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable `GW_CONFIG`, which names the platform's configuration file, is not set.
    #[error("no configuration: GW_CONFIG is not set")]
    PathNotSet,
    /// The configuration file cannot be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// Path of the configuration file.
        path: String,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The content of the platform's configuration file is invalid.
    #[error("configuration {path}: {source}")]
    InvalidPlatformConfig {
        /// Path of the configuration file.
        path: String,
        /// The fault in the configuration.
        source: PlatformConfigError,
    },
    /// The content of the operator's configuration file, or of a file that it references, is invalid.
    #[error("configuration {path}: {source}")]
    InvalidObjectConfig {
        /// Path of the configuration file.
        path: String,
        /// The fault in the configuration.
        source: ObjectConfigError,
    },
}

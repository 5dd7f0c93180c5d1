//! The errors with which a gateway ends.

use super::config::ConfigError;
use std::io;
use std::net::SocketAddr;

/// Why the gateway did not start, or broke down.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration is valid, but the gateway could not run.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// Why a gateway with a valid configuration could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The asynchronous runtime could not be built.
    #[error("runtime: {source}")]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("signals: {source}")]
    SignalHandler {
        /// The system's error.
        source: io::Error,
    },
    /// A listener could not be bound.
    #[error("listening on {address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address of a bound listener is unknown.
    #[error("listening: {source}")]
    LocalAddress {
        /// The system's error.
        source: io::Error,
    },
    /// An actor that runs for as long as the gateway has ended.
    #[error("an actor has stopped")]
    ActorStopped,
}

//! Errors that prevent the gateway from starting or make it exit.

use super::config::ConfigError;
use std::io;
use std::net::SocketAddr;

/// Reasons why the gateway did not start, or exited with a failure.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration is valid, but the gateway could not start or did not keep running.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// Reasons why a gateway with a valid configuration could not start or did not keep running.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The asynchronous runtime could not be built.
    #[error("cannot build the asynchronous runtime: {source}")]
    Runtime {
        /// The error from the operating system.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("cannot install a signal handler: {source}")]
    SignalHandler {
        /// The error from the operating system.
        source: io::Error,
    },
    /// A listener could not be bound to its address.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address from the configuration file.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The local address of a bound listener could not be determined.
    #[error("cannot determine the local address of a listener: {source}")]
    LocalAddress {
        /// The error from the operating system.
        source: io::Error,
    },
    /// An actor ended although the gateway was still running.
    #[error("an actor ended while the gateway was running")]
    ActorStopped,
}

//! Paths of the health checks.

/// Path of the readiness check, which reports whether the gateway accepts requests.
pub const READINESS_PATH: &str = "/health/ready";
/// Path of the liveness check, which reports whether the gateway process is running.
pub const LIVENESS_PATH: &str = "/health/live";

//! The paths of the health checks.

/// The path of the readiness check: whether the gateway takes requests.
pub const READINESS_PATH: &str = "/health/ready";
/// The path of the liveness check: whether the gateway runs.
pub const LIVENESS_PATH: &str = "/health/live";

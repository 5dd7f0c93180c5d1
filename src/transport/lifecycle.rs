//! The phases of a graceful shutdown that listeners and connections respond to.

/// The phase that the graceful shutdown has reached. Phases are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum LifecyclePhase {
    /// Normal operation: no shutdown has been requested.
    Serving,
    /// Shutdown has been requested; new connections are still accepted.
    Terminating,
    /// New connections are no longer accepted; open connections are still served.
    Draining,
    /// Each response closes its connection, by `Connection: close`.
    FinalResponses,
    /// Idle connections are closed as well.
    ClosingIdle,
}

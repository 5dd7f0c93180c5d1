//! The phases of a graceful shutdown, as listeners and connections see them.

/// How far the program has come in its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum LifecyclePhase {
    /// In service.
    Serving,
    /// About to stop: still accepting connections.
    Terminating,
    /// No longer accepting; open connections are still served.
    Draining,
    /// Each response closes its connection.
    FinalResponses,
    /// Idle connections are closed as well.
    ClosingIdle,
}

//! Handles Unix signals.
//!
//! - SIGTERM and SIGINT start a graceful shutdown.
//! - SIGUSR1 writes all metrics to the log.
//! - SIGHUP reloads the discovery address (platform gateway) or the inventory (object gateway); see
//!   [`reload`](super::reload).

use super::error::RunError;
use super::metrics::GatewayMetrics;
use super::shutdown::ShutdownSchedule;
use crate::transport::LifecyclePhase;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// The installed handlers for SIGTERM, SIGINT and SIGUSR1.
pub struct SignalHandlers {
    terminate: Signal,
    interrupt: Signal,
    log_metrics: Signal,
}

impl SignalHandlers {
    /// Installs the handlers. Signals that arrive before [`run`](Self::run) are handled once it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> Result<Self, RunError> {
        Ok(SignalHandlers {
            terminate: install_handler(SignalKind::terminate())?,
            interrupt: install_handler(SignalKind::interrupt())?,
            log_metrics: install_handler(SignalKind::user_defined1())?,
        })
    }

    /// Starts the shutdown on the first SIGTERM or SIGINT, and logs the metrics on each SIGUSR1. Further
    /// SIGTERM and SIGINT signals have no effect.
    pub async fn run(
        mut self,
        phase: watch::Sender<LifecyclePhase>,
        shutdown: Rc<ShutdownSchedule>,
        metrics: Rc<GatewayMetrics>,
    ) {
        let on_terminate = async {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
            shutdown.run(&phase).await;
        };
        let on_log_metrics = async {
            while self.log_metrics.recv().await.is_some() {
                metrics.log();
            }
        };
        tokio::join!(on_terminate, on_log_metrics);
    }
}

/// Installs the handler for SIGHUP and returns the stream of these signals.
///
/// # Errors
///
/// Returns an error if the handler cannot be installed.
pub fn hangup_signal() -> Result<Signal, RunError> {
    install_handler(SignalKind::hangup())
}

fn install_handler(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|source| RunError::SignalHandler { source })
}

//! Starts and runs a gateway: creates the async runtime, then the actors and servers of the platform gateway
//! or of the object gateway.

pub mod object_gateway;
pub mod platform_gateway;

use super::error::RunError;
use super::frontend::Frontend;
use super::log;
use super::metrics::GatewayMetrics;
use super::shutdown::ShutdownSchedule;
use super::signals::SignalHandlers;
use crate::routing::Clock;
use crate::transport::{self, ConnectionLimits, LifecyclePhase};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};

/// Objects that both kinds of gateway receive at startup.
pub struct GatewayContext {
    shutdown: Rc<ShutdownSchedule>,
    metrics: Rc<GatewayMetrics>,
    phase: watch::Receiver<LifecyclePhase>,
    clock: Clock,
}

/// The tasks of a running gateway.
pub struct RunningTasks {
    /// Each server ends during the shutdown, once all its connections are closed.
    servers: Vec<JoinHandle<()>>,
    /// Actors run for as long as the gateway; if one ends, the gateway exits with an error.
    actors: Vec<JoinHandle<()>>,
}

/// Starts a gateway and runs it until its graceful shutdown after SIGTERM or SIGINT is complete. Logs the
/// metrics at the end.
///
/// # Errors
///
/// Returns an error if a resource of the operating system is not available, or if an actor ends.
pub fn run<F>(start: impl FnOnce(GatewayContext) -> F) -> Result<(), RunError>
where
    F: Future<Output = Result<RunningTasks, RunError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| RunError::Runtime { source })?;
    let metrics = Rc::new(GatewayMetrics::default());
    let result = LocalSet::new().block_on(&runtime, start_and_wait(start, metrics.clone()));
    metrics.log();
    result
}

async fn start_and_wait<F>(
    start: impl FnOnce(GatewayContext) -> F,
    metrics: Rc<GatewayMetrics>,
) -> Result<(), RunError>
where
    F: Future<Output = Result<RunningTasks, RunError>>,
{
    let (phase_sender, phase) = watch::channel(LifecyclePhase::Serving);
    let shutdown = Rc::new(ShutdownSchedule::new());
    let signals = SignalHandlers::install()?.run(phase_sender, shutdown.clone(), metrics.clone());
    let tasks = start(GatewayContext { shutdown, metrics, phase, clock: Clock::start() }).await?;
    tokio::select! {
        () = wait_for_all(tasks.servers) => Ok(()),
        () = wait_for_any(tasks.actors) => Err(RunError::ActorStopped),
        // Runs the shutdown and handles SIGUSR1. Never completes, so the servers end first.
        () = signals => Ok(()),
    }
}

async fn wait_for_all(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        // An error means that the server panicked, and it has ended in this case too.
        let _ = task.await;
    }
}

/// Returns once any of the tasks has ended.
async fn wait_for_any(tasks: Vec<JoinHandle<()>>) {
    let mut set = JoinSet::new();
    for task in tasks {
        set.spawn_local(task);
    }
    set.join_next().await;
}

/// Starts a server that accepts connections from `listener` and answers their requests with `frontend`.
fn spawn_server<T: Frontend + 'static>(
    listener: TcpListener,
    limits: ConnectionLimits,
    phase: watch::Receiver<LifecyclePhase>,
    frontend: Rc<T>,
) -> JoinHandle<()> {
    spawn_local(transport::serve(listener, limits, phase, move |request, context| {
        let frontend = frontend.clone();
        async move { frontend.handle(request, context).await }
    }))
}

/// Binds a listener to `address` and logs its local address.
async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address).await.map_err(|source| RunError::Bind { address, source })?;
    // If the configured port is 0, the operating system chooses the port, and the log must contain this port.
    let local_address = listener.local_addr().map_err(|source| RunError::LocalAddress { source })?;
    log::write(format_args!("serving on {local_address}"));
    Ok(listener)
}

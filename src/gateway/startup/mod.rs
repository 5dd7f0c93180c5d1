//! Starts a gateway: the runtime, and the actors and servers of either kind.

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

/// What a gateway of either kind is started with.
pub struct GatewayContext {
    shutdown: Rc<ShutdownSchedule>,
    metrics: Rc<GatewayMetrics>,
    phase: watch::Receiver<LifecyclePhase>,
    clock: Clock,
}

/// The tasks of a running gateway.
pub struct RunningTasks {
    /// Each ends when the shutdown has reached it and its connections are closed.
    servers: Vec<JoinHandle<()>>,
    /// These run for as long as the gateway.
    actors: Vec<JoinHandle<()>>,
}

/// Starts a gateway and runs it until SIGTERM or SIGINT, and then until every request is answered.
///
/// # Errors
///
/// Returns an error if the system denies what the gateway needs, or an actor ends.
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
        () = wait_for_first(tasks.actors) => Err(RunError::ActorStopped),
        // Drives the shutdown and never ends by itself: the servers end first.
        () = signals => Ok(()),
    }
}

async fn wait_for_all(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        // A server that panicked has ended as well.
        let _ = task.await;
    }
}

async fn wait_for_first(tasks: Vec<JoinHandle<()>>) {
    let mut set = JoinSet::new();
    for task in tasks {
        set.spawn_local(task);
    }
    set.join_next().await;
}

/// Starts a server that has the front end answer the requests of a listener.
fn spawn_server<T: Frontend + 'static>(
    listener: TcpListener,
    limits: ConnectionLimits,
    phase: watch::Receiver<LifecyclePhase>,
    frontend: Rc<T>,
) -> JoinHandle<()> {
    spawn_local(transport::serve(listener, limits, phase, move |request, context| {
        let frontend = frontend.clone();
        async move { frontend.answer(request, context).await }
    }))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address).await.map_err(|source| RunError::Bind { address, source })?;
    // The address in full: with port 0 the system chooses the port.
    let local_address = listener.local_addr().map_err(|source| RunError::LocalAddress { source })?;
    log::write(format_args!("serving on {local_address}"));
    Ok(listener)
}

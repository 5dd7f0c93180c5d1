//! The accept loop of one listener, including its graceful shutdown.

use super::ResponseBody;
use super::client_connection::{ClientConnection, RequestContext};
use super::connection_table::{ConnectionLimits, ConnectionTable};
use super::lifecycle::LifecyclePhase;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;

/// Interval at which connections are checked for eviction while a connection limit is reached.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// An accepted connection and its permit, which limits the number of open connections.
struct AcceptedConnection {
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
}

/// Accepts connections and serves their requests with `service`.
///
/// Stops accepting once `phase` is past [`LifecyclePhase::Terminating`], and returns once all connections are
/// closed. Must be called on a `LocalSet`.
pub async fn serve<S, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    phase: watch::Receiver<LifecyclePhase>,
    service: S,
) where
    S: Fn(Request<Incoming>, RequestContext) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let service = Rc::new(service);
    let table = Rc::new(ConnectionTable::new(limits));
    let permits = Arc::new(Semaphore::new(limits.max_open()));
    let mut connections = JoinSet::new();
    let mut draining = pin!(wait_for_draining(phase.clone()));
    loop {
        // Guards against hundreds of connections without requests, and against clients that keep sending
        // after their last response. They would use up the limits, and clients with requests would wait in
        // the kernel's accept queue.
        table.evict_stale();
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &permits) => accepted,
            Some(_) = connections.join_next() => continue,
            () = &mut draining => break,
            () = tokio::time::sleep(EVICTION_INTERVAL), if table.is_limit_reached() => continue,
        };
        let Ok(AcceptedConnection { stream, permit }) = accepted else {
            // The process has run out of descriptors, or the client disconnected before it was accepted.
            // Neither may stop the listener or cause a busy loop.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let slot = table.insert();
        let (service, table, phase) = (service.clone(), table.clone(), phase.clone());
        connections.spawn_local(async move {
            ClientConnection::new(stream, slot.clone(), table.clone(), phase, service).serve().await;
            table.remove(&slot);
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Resolves once new connections must no longer be accepted.
async fn wait_for_draining(mut phase: watch::Receiver<LifecyclePhase>) {
    drop(phase.wait_for(|phase| *phase > LifecyclePhase::Terminating).await);
}

/// Accepts a connection once a permit is available. Until then, new connections wait in the kernel's accept
/// queue, whose length limits their number.
async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<AcceptedConnection> {
    let permit = permits.clone().acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok(AcceptedConnection { stream, permit })
}

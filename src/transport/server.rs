//! The accept loop of one listener, from its first connection to its graceful shutdown.

use super::ResponseBody;
use super::client_connection::{ClientConnection, RequestContext};
use super::connection_table::ConnectionTable;
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

/// How often a full listener looks for connections to evict.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// How long to wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// How many connections a listener holds open.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections whose requests are served.
    pub served: usize,
    /// Connections beyond those, whose requests are rejected.
    pub rejected: usize,
}

/// A connection, and its permit to be open.
struct AcceptedConnection {
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
}

/// Accepts and serves connections until the phase is past [`LifecyclePhase::Terminating`] and all of them are
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
    let table = Rc::new(ConnectionTable::new(limits.served));
    let permits = Arc::new(Semaphore::new(limits.served + limits.rejected));
    let mut connections = JoinSet::new();
    let mut draining = pin!(wait_for_draining(phase.clone()));
    loop {
        // Guards against silent connections by the hundred: they would fill the table, and clients with
        // requests would wait in the kernel's queue.
        table.evict_stale();
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &permits) => accepted,
            Some(_) = connections.join_next() => continue,
            () = &mut draining => break,
            () = tokio::time::sleep(EVICTION_INTERVAL), if table.is_full() => continue,
        };
        let Ok(AcceptedConnection { stream, permit }) = accepted else {
            // Out of descriptors, or the client disconnected in between: neither may end the listener, nor
            // make it spin.
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

/// Resolves once no more connections are to be accepted.
async fn wait_for_draining(mut phase: watch::Receiver<LifecyclePhase>) {
    drop(phase.wait_for(|phase| *phase > LifecyclePhase::Terminating).await);
}

/// Accepts a connection once there is a permit for it. Without one nothing is accepted: the kernel's queue
/// holds what comes, up to its length.
async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> io::Result<AcceptedConnection> {
    let permit = permits.clone().acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok(AcceptedConnection { stream, permit })
}
